#include <stdio.h>
#include <string.h>

#include "base/json.h"
#include "platform/names.h"
#include "standins/rack.h"

static void
add_text (json_object *o, const char *key, const char *text)
{
  json_object_object_add (o, key, json_object_new_string (text));
}

static bool
is_in_replica (const struct server *s, const struct server *leader)
{
  return strcmp (s->replica, leader->replica) == 0
         && s->generation == leader->generation;
}

/** The running leader of the replica that the server is in, or NULL. */
static const struct server *
find_leader (const struct server *s)
{
  const struct server *leader
      = s->replica[0] ? rack_find_server (s->rack, s->members[0]) : NULL;

  return leader && !leader->dead && is_in_replica (s, leader) ? leader : NULL;
}

void
rack_join_record (struct server *s, json_object *order)
{
  static clk_ms first_at;
  const struct server *leader = find_leader (s);
  json_object *o = json_object_new_object ();

  if (!first_at)
    first_at = clk_now ();
  json_object_object_add (o, "ms",
                          json_object_new_int64 (clk_now () - first_at));
  add_text (o, "server", s->id);
  add_text (o, "replica", jsn_text (order, "group"));
  json_object_object_add (o, "generation",
                          json_object_new_int64 (jsn_int (order, "epoch")));
  json_object_object_add (o, "fence",
                          json_object_new_int64 (jsn_int (order, "fence")));
  add_text (o, "left", s->replica);
  if (leader)
    {
      add_text (o, "leader", leader->id);
      add_text (o, "leader_state", rack_server_state_name (leader));
    }
  json_object_array_add (s->rack->joins, o);
}

/** Whether all members run and are in the replica that @p leader leads. */
static bool
is_complete (const struct server *leader)
{
  for (unsigned i = 1; i < leader->nmembers; i++)
    {
      const struct server *m
          = rack_find_server (leader->rack, leader->members[i]);
      if (!m || m->dead || m->unresponsive || !is_in_replica (m, leader))
        return false;
    }
  return true;
}

static void
check_replica (struct server *leader, clk_ms now)
{
  if (leader->dead || leader->member_state != MEMBER_OPEN
      || is_complete (leader))
    leader->incomplete_since = 0;
  else if (!leader->incomplete_since)
    leader->incomplete_since = now;
  else if (now - leader->incomplete_since >= leader->rack->stall_ms)
    {
      leader->member_state = MEMBER_BROKEN;
      rack_server_publish (leader);
    }
}

void
rack_join_tick (struct rack *r)
{
  clk_ms now = clk_now ();

  for (size_t i = 0; i < r->nservers; i++)
    {
      if (r->stall_ms)
        check_replica (&r->servers[i], now);
      if (r->servers[i].publish_at && now >= r->servers[i].publish_at)
        rack_server_write_entry (&r->servers[i]);
    }
}

void
rack_join_expire_entries (struct rack *r, clk_ms ms)
{
  for (size_t i = 0; i < r->nservers; i++)
    {
      struct server *s = &r->servers[i];
      char key[64];
      snprintf (key, sizeof key, PLT_PREFIX_SERVERS "%s", s->id);
      rack_store_remove (r, key);
      if (!s->dead)
        s->publish_at
            = clk_now () + 1 + (clk_ms)rng_below (&r->rng, (uint64_t)ms);
    }
}
