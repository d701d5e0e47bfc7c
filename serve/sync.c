#include "serve/node-int.h"
#include "serve/invalid-entries.h"

#include <stdlib.h>

/**
 * Poll interval of the leader.  Other nodes receive the list from the leader
 * and poll less often.
 */
#define POLL_LEADER_MS ((clk_ms)300)
/** Poll interval of the leader while a replica is being formed: each step of
    the formation waits for a server's report. */
#define POLL_FORMING_MS ((clk_ms)100)
/** When an order has ended, the list is read at once, because the next step of
    a repair depends on it.  bks_poll_interval() lengthens this interval if the
    list is long, and srv_sync_read_soon() delays the read by the added
    time. */
#define POLL_SOON_MS ((clk_ms)50)

/** Factor on the interval of nodes other than the leader, after the first
    start of the whole system (settings.first_start) until the first request:
    the leader sends them the list long before the first replica opens. */
#define START_POLL_FACTOR 4

/** Delay after a failed read, and the shortest interval of nodes other than
    the leader. */
#define POLL_RETRY_MS ((clk_ms)200)
/** After a pause of this process, requests are deferred until a new list is
    read, for at most this time. */
#define RESUME_WAIT_MS ((clk_ms)500)

struct srv_sync
{
  struct srv *s;
  struct inv *unparsed; /* entries of the list that could not be parsed */
  struct buf range_end;
  bool reading;
  clk_ms read_sent_at;
  clk_ms next_read_at;
  clk_ms reported_current_at; /* latest time at which this node's list
                                 equalled the store's, as reported by the
                                 leader */
  clk_ms resumed_at;       /* end of the last pause of this process; 0: none */
  clk_ms last_read_at;     /* when this node's last successful read was sent */
  uint64_t lists_differed; /* reports of the leader about another list */
  int64_t store_era; /* restore counter of the store, from the last successful
                        read; see struct store_result */
  bool store_ok;
};

static void
log_store_state (struct srv_sync *y, bool ok)
{
  if (ok && !y->store_ok)
    LOG (store_back, LOG_C ("read", "servers"));
  else if (!ok && y->store_ok)
    LOG (store_lost, LOG_C ("read", "servers"));
  y->store_ok = ok;
}

/* --- backend servers --------------------------------------------------- */

static void
apply_servers (struct srv_sync *y, const struct store_result *r)
{
  struct srv *s = y->s;
  struct bks_entry *list = xcalloc (r->nkvs + 1, sizeof *list);
  struct arena text = { 0 };
  size_t n = 0;

  inv_begin_list (y->unparsed);
  for (size_t i = 0; i < r->nkvs; i++)
    {
      const struct store_kv *kv = &r->kvs[i];
      const char *wrong;
      if (s->adapter->parse_server (kv->key, kv->value, &text, &list[n],
                                    &wrong))
        n++;
      else if (inv_record (y->unparsed, kv->key, kv->value))
        LOG (entry_not_taken, LOG_S ("key", kv->key), LOG_C ("field", wrong),
             LOG_I ("revision", kv->mod_rev));
    }
  inv_end_list (y->unparsed);
  if (bks_update (s->backends, clk_now (), y->read_sent_at, list, n))
    srv_endpoints_changed (s);
  srv_leader_servers_changed (s);
  srv_peers_send_servers (s);
  arena_free (&text);
  free (list);
}

static clk_ms
poll_ms (const struct srv *s)
{
  clk_ms ms = bks_direct_poll_ms (s->settings.drain_ms, srv_is_leaf (s));

  if (srv_is_leader (s))
    return bks_leader_poll_interval (
        s->backends,
        srv_leader_is_forming (s) ? POLL_FORMING_MS : POLL_LEADER_MS,
        s->settings.drain_ms);
  if (s->settings.first_start && !s->had_traffic)
    ms = bks_direct_poll_ms (s->settings.drain_ms, false) * START_POLL_FACTOR;
  return ms > POLL_RETRY_MS ? ms : POLL_RETRY_MS;
}

/**
 * A node that holds another list than the leader goes on reading the list by
 * itself.  Otherwise a difference would last until the entry changes again:
 * a server that left while this node was cut off got requests for good.
 */
void
srv_sync_list_confirmed (struct srv *s, clk_ms current_at, uint64_t digest)
{
  struct srv_sync *y = s->sync;
  clk_ms next = current_at + poll_ms (s);

  if (digest == 0 || digest != bks_digest (s->backends))
    {
      y->lists_differed++;
      return;
    }
  if (current_at > y->reported_current_at)
    y->reported_current_at = current_at;
  if (!srv_is_leader (s) && next > y->next_read_at)
    y->next_read_at = next;
}

clk_ms
srv_sync_list_age (const struct srv *s, clk_ms now)
{
  const struct srv_sync *y = s->sync;

  if (!bks_has_list (s->backends))
    return -1;
  return now
         - (y->reported_current_at > y->last_read_at ? y->reported_current_at
                                                     : y->last_read_at);
}

uint64_t
srv_sync_lists_differed (const struct srv *s)
{
  return s->sync->lists_differed;
}

size_t
srv_sync_unparsed (const struct srv *s)
{
  return inv_count (s->sync->unparsed);
}

/** Whether the list is so old that it may show servers as available that have
    started to drain. */
static bool
is_outdated (const struct srv *s, clk_ms now)
{
  return srv_sync_list_age (s, now) > s->settings.drain_ms / 2;
}

void
srv_sync_resumed (struct srv *s, clk_ms now)
{
  s->sync->resumed_at = now;
  if (is_outdated (s, now))
    s->sync->next_read_at = now;
}

bool
srv_sync_is_resuming (const struct srv *s, clk_ms now)
{
  const struct srv_sync *y = s->sync;

  return y->resumed_at && now - y->resumed_at < RESUME_WAIT_MS
         && is_outdated (s, now);
}

clk_ms
srv_sync_read_age (const struct srv *s, clk_ms now)
{
  return now - s->sync->last_read_at;
}

static void
on_servers (void *ctx, const struct store_result *r)
{
  struct srv_sync *y = ctx;
  struct srv *s = y->s;
  clk_ms now = clk_now ();

  y->reading = false;
  pau_call_ended (&s->store_backoff, now, r->status, &s->rng);
  log_store_state (y, r->status == STORE_OK);
  if (r->status != STORE_OK)
    {
      bks_read_failed (s->backends, now);
      y->next_read_at = now + POLL_RETRY_MS;
      return;
    }
  /* The list may have changed between this read, whose response came late, and
     the one that the leader has confirmed. */
  if (y->read_sent_at < y->reported_current_at && !srv_is_leader (s))
    return;
  y->last_read_at = y->read_sent_at;
  if (y->store_era && r->era > y->store_era)
    bks_store_restored (s->backends, now);
  y->store_era = r->era;
  apply_servers (y, r);
  y->next_read_at = y->read_sent_at + poll_ms (s);
}

static void
read_servers (struct srv_sync *y, clk_ms now)
{
  struct srv *s = y->s;

  y->reading = true;
  pau_call_started (&s->store_backoff);
  y->read_sent_at = now;
  store_range (s->store, STORE_ASSIGNMENT,
               str_from (s->adapter->servers_prefix), buf_str (&y->range_end),
               on_servers, y);
}

void
srv_sync_read_soon (struct srv *s, clk_ms now)
{
  struct srv_sync *y = s->sync;
  clk_ms extra_delay
      = bks_poll_interval (s->backends, POLL_SOON_MS) - POLL_SOON_MS;
  clk_ms next = y->read_sent_at + extra_delay;

  if (next < now)
    next = now;
  if (next < y->next_read_at)
    y->next_read_at = next;
}

void
srv_sync_tick (struct srv *s, clk_ms now)
{
  struct srv_sync *y = s->sync;

  if (!y->reading && now >= y->next_read_at
      && pau_may_call (&s->store_backoff, now))
    read_servers (y, now);
}

void
srv_sync_start (struct srv *s)
{
  struct srv_sync *y = xcalloc (1, sizeof *y);

  y->s = s;
  y->store_ok = true;
  if (s->settings.first_start)
    y->next_read_at = clk_now () + poll_ms (s);
  y->unparsed = inv_new ();
  s->sync = y;
  store_prefix_end (str_from (s->adapter->servers_prefix), &y->range_end);
  srv_sync_tick (s, clk_now ());
}
