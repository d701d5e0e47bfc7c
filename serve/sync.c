#include "serve/node-int.h"
#include "serve/unread.h"

#include <stdlib.h>

/**
 * How often the list of backend servers is read by the node that forms
 * replicas, and while one is on its way, when each step waits for a report.
 * The others hear of changes from that node.
 */
#define POLL_DUTY_MS ((clk_ms)300)
#define POLL_BUSY_MS ((clk_ms)100)
/** When an order has ended, the list is read at once, as the next step of a
    repair waits for what it shows.  Where the list is long this waits, by what
    such a pause would grow with its length. */
#define POLL_HURRY_MS ((clk_ms)50)

/** When the whole system starts there is nothing to serve yet, and whoever
   forms replicas tells the list long before there is; until then a node reads
   it this many times more seldom. */
#define START_READS_PART 4

/** After a failed read, and while nothing is known yet. */
#define POLL_AGAIN_MS ((clk_ms)200)
/** A watch that ended is begun again after this. */
#define WATCH_AGAIN_MS ((clk_ms)100)
/** Part of the time in which a configuration has to be in force for which the
    next one is not looked for.  Operators push some dozen versions within two
    seconds at times, and each is a priced call and a whole document for every
    node; by this they come in few. */
#define CONFIG_PAUSE_PART 4
/** Among very many nodes the one that forms replicas tells which revision is
   in force, and the others read it once when it is newer; a watch at each was
   a third of all store calls.  One that was not told for so long, as a part of
    the time in which a configuration has to be in force, watches by itself. */
#define CONFIG_UNTOLD_PART 0.6
/** What all go by, the one that forms replicas reads again this often, so that
    a watch that has gone silent holds up nobody. */
#define CONFIG_CHECK_MS ((clk_ms)1000)

struct srv_sync
{
  struct srv *s;
  struct unr *unread; /* entries of the list that can't be read */
  struct buf config_end, servers_end;
  struct store_watch *watch; /* of the configuration */
  bool reading_config;
  clk_ms asked_config;
  clk_ms next_config; /* CLK_NEVER: it is watched */
  clk_ms next_watch;  /* CLK_NEVER: the watch runs, or the whole is read */
  int64_t revision;   /* up to which configurations were seen */
  int64_t in_force;   /* revision of the newest one that was read */
  clk_ms told_at;     /* when the revision in force was told last; 0: never */
  bool reading_servers;
  clk_ms asked_servers;
  clk_ms next_servers;
  clk_ms read_at; /* sending of the last good read of this node's own */
  bool store_ok;
};

static void
note_store (struct srv_sync *y, bool ok)
{
  if (ok && !y->store_ok)
    LOG (store_back, LOG_C ("read", "servers"));
  else if (!ok && y->store_ok)
    LOG (store_lost, LOG_C ("read", "servers"));
  y->store_ok = ok;
}

/* --- configuration ----------------------------------------------------- */

static void
log_findings (struct fnd_list *findings, int64_t revision)
{
  struct buf text = BUF_INIT;

  fnd_print (findings, &text);
  LOG (table_not_taken, LOG_I ("revision", revision),
       LOG_S ("findings", buf_str (&text)));
  buf_free (&text);
  fnd_free (findings);
}

/**
 * What is in force never goes back: an answer of the store that was under way
 * while a newer one came must not undo it.
 */
static void
take_config (struct srv_sync *y, const struct store_kv *kv)
{
  struct srv *s = y->s;
  struct fnd_list findings = { 0 };
  struct tbl *t;

  if (!str_is (kv->key, s->ad->config_key))
    return;
  if (kv->mod_rev > y->in_force)
    y->in_force = kv->mod_rev;
  t = s->ad->table (kv->value, &findings);
  if (!t)
    {
      log_findings (&findings, kv->mod_rev);
      return;
    }
  fnd_free (&findings);
  if (s->table && t->version <= s->table->version)
    {
      tbl_unref (t);
      return;
    }
  LOG (table_in_force, LOG_I ("version", t->version),
       LOG_I ("revision", kv->mod_rev), LOG_I ("routes", t->nroutes));
  tbl_unref (s->table);
  s->table = t;
  srv_places_changed (s);
}

static void
on_config_events (void *ctx, int64_t revision,
                  const struct store_watch_event *ev, size_t n)
{
  struct srv_sync *y = ctx;

  store_watch_stop (y->watch);
  y->watch = NULL;
  y->revision = revision;
  y->next_watch = clk_now () + y->s->set.apply_ms / CONFIG_PAUSE_PART;
  for (size_t i = 0; i < n; i++)
    if (!ev[i].deleted)
      take_config (y, &ev[i].kv);
}

static void
on_config_end (void *ctx, enum store_status why)
{
  struct srv_sync *y = ctx;

  (void)why; /* whatever ended it, the whole is read again */
  y->watch = NULL;
  y->next_config = clk_now () + WATCH_AGAIN_MS;
}

static void
watch_config (struct srv_sync *y)
{
  static const struct store_watch_cb cb = { on_config_events, on_config_end };
  struct srv *s = y->s;

  y->next_watch = CLK_NEVER;
  y->watch = store_watch (s->store, str_from (s->ad->config_key),
                          buf_str (&y->config_end), y->revision + 1, &cb, y);
}

/** Whether the node that forms replicas tells this one what is in force. */
static bool
is_told (const struct srv_sync *y, clk_ms now)
{
  clk_ms most = (clk_ms)((double)y->s->set.apply_ms * CONFIG_UNTOLD_PART);

  return y->told_at && now - y->told_at < most && srv_register_follows (y->s);
}

int64_t
srv_sync_config (const struct srv *s)
{
  return s->sync->in_force;
}

/** When the next version may be read: of a storm only some are. */
static clk_ms
config_due (const struct srv_sync *y, clk_ms now)
{
  clk_ms due = y->asked_config + y->s->set.apply_ms / CONFIG_PAUSE_PART;

  return due > now ? due : now;
}

void
srv_sync_config_told (struct srv *s, clk_ms now, int64_t revision)
{
  struct srv_sync *y = s->sync;

  y->told_at = now;
  if (!is_told (y, now))
    return;
  if (y->watch)
    store_watch_stop (y->watch);
  y->watch = NULL;
  y->next_watch = CLK_NEVER;
  if (revision > y->in_force && y->next_config == CLK_NEVER)
    y->next_config = config_due (y, now);
}

/** Who is told no more watches again; who tells others looks again. */
static void
check_config (struct srv_sync *y, clk_ms now)
{
  bool idle = !y->reading_config && y->next_config == CLK_NEVER;

  if (!idle)
    return;
  if (!y->watch && y->next_watch == CLK_NEVER && !is_told (y, now))
    y->next_config = now;
  else if (srv_duty_holds (y->s) && srv_peers_nodes (y->s) > HUB_MESH_MOST)
    y->next_config = now + CONFIG_CHECK_MS;
}

static void
on_config (void *ctx, const struct store_result *r)
{
  struct srv_sync *y = ctx;
  struct srv *s = y->s;

  y->reading_config = false;
  pau_ended (&s->store_pause, clk_now (), r->status, &s->rng);
  if (r->status != STORE_OK)
    {
      y->next_config = clk_now () + POLL_AGAIN_MS;
      return;
    }
  for (size_t i = 0; i < r->nkvs; i++)
    take_config (y, &r->kvs[i]);
  y->next_config = CLK_NEVER;
  y->revision = r->revision;
  if (y->watch || y->next_watch != CLK_NEVER)
    return; /* a second look; check_config() says when the next is due */
  if (!is_told (y, clk_now ()))
    watch_config (y);
}

static void
read_config (struct srv_sync *y)
{
  struct srv *s = y->s;

  y->reading_config = true;
  y->asked_config = clk_now ();
  pau_called (&s->store_pause);
  store_range (s->store, STORE_CONFIG, str_from (s->ad->config_key),
               buf_str (&y->config_end), on_config, y);
}

/* --- backend servers --------------------------------------------------- */

static void
take_servers (struct srv_sync *y, const struct store_result *r)
{
  struct srv *s = y->s;
  struct bks_entry *list = xcalloc (r->nkvs + 1, sizeof *list);
  struct arena text = { 0 };
  size_t n = 0;

  unr_begin (y->unread);
  for (size_t i = 0; i < r->nkvs; i++)
    {
      const struct store_kv *kv = &r->kvs[i];
      const char *wrong;
      if (s->ad->server (kv->key, kv->value, &text, &list[n], &wrong))
        n++;
      else if (unr_note (y->unread, kv->key, kv->value))
        LOG (entry_not_taken, LOG_S ("key", kv->key), LOG_C ("field", wrong),
             LOG_I ("revision", kv->mod_rev));
    }
  unr_end (y->unread);
  if (bks_update (s->backends, clk_now (), y->asked_servers, list, n))
    srv_places_changed (s);
  srv_duty_servers (s);
  srv_peers_servers (s);
  arena_free (&text);
  free (list);
}

static clk_ms
poll_ms (const struct srv *s)
{
  clk_ms ms = bks_untold_ms (s->set.drain_ms);

  if (srv_duty_holds (s))
    return bks_pace (s->backends,
                     srv_duty_busy (s) ? POLL_BUSY_MS : POLL_DUTY_MS);
  if (s->set.first_start && !s->traffic)
    ms *= START_READS_PART;
  return ms > POLL_AGAIN_MS ? ms : POLL_AGAIN_MS;
}

void
srv_sync_heard (struct srv *s, clk_ms now, clk_ms age_ms)
{
  struct srv_sync *y = s->sync;
  clk_ms next = now - age_ms + poll_ms (s);

  if (!srv_duty_holds (s) && next > y->next_servers)
    y->next_servers = next;
}

clk_ms
srv_sync_list_age (const struct srv *s, clk_ms now)
{
  return bks_known (s->backends) ? now - bks_asked_at (s->backends) : -1;
}

size_t
srv_sync_unread (const struct srv *s)
{
  return unr_count (s->sync->unread);
}

clk_ms
srv_sync_age (const struct srv *s, clk_ms now)
{
  return now - s->sync->read_at;
}

static void
on_servers (void *ctx, const struct store_result *r)
{
  struct srv_sync *y = ctx;
  struct srv *s = y->s;
  clk_ms now = clk_now ();

  y->reading_servers = false;
  pau_ended (&s->store_pause, now, r->status, &s->rng);
  note_store (y, r->status == STORE_OK);
  if (r->status != STORE_OK)
    {
      bks_unreadable (s->backends, now);
      y->next_servers = now + POLL_AGAIN_MS;
      return;
    }
  y->read_at = y->asked_servers;
  take_servers (y, r);
  y->next_servers = y->asked_servers + poll_ms (s);
}

static void
read_servers (struct srv_sync *y, clk_ms now)
{
  struct srv *s = y->s;

  y->reading_servers = true;
  pau_called (&s->store_pause);
  y->asked_servers = now;
  store_range (s->store, STORE_ASSIGNMENT, str_from (s->ad->servers_prefix),
               buf_str (&y->servers_end), on_servers, y);
}

void
srv_sync_hurry (struct srv *s, clk_ms now)
{
  struct srv_sync *y = s->sync;
  clk_ms more = bks_pace (s->backends, POLL_HURRY_MS) - POLL_HURRY_MS;
  clk_ms next = y->asked_servers + more;

  if (next < now)
    next = now;
  if (next < y->next_servers)
    y->next_servers = next;
}

void
srv_sync_tick (struct srv *s, clk_ms now)
{
  struct srv_sync *y = s->sync;

  check_config (y, now);
  if (!y->reading_config && now >= y->next_config
      && pau_may_call (&s->store_pause, now))
    read_config (y);
  if (now >= y->next_watch)
    watch_config (y);
  if (!y->reading_servers && now >= y->next_servers
      && pau_may_call (&s->store_pause, now))
    read_servers (y, now);
}

void
srv_sync_start (struct srv *s)
{
  struct srv_sync *y = xcalloc (1, sizeof *y);

  y->s = s;
  y->store_ok = true;
  y->next_watch = CLK_NEVER;
  if (s->set.first_start)
    y->next_servers = clk_now () + poll_ms (s);
  y->unread = unr_new ();
  s->sync = y;
  store_prefix_end (str_from (s->ad->config_key), &y->config_end);
  store_prefix_end (str_from (s->ad->servers_prefix), &y->servers_end);
  srv_sync_tick (s, clk_now ());
}
