#include "serve/node-int.h"

#include <stdlib.h>

/*
 * The configuration in force.  In a small deployment each node watches it in
 * the store.  In a large one, watches and reads by every node would be most of
 * all store calls, so a few nodes announce the version to the others and push
 * each new document.  The push also reaches nodes that the store rejects.
 * currency.h decides how fresh the configuration is and what follows from
 * that.
 */

/** A document is pushed only if sending it takes no longer than this on the
    node's link.  A longer one would delay the list of backend servers; its
    version is only announced, and each node reads it from the store. */
#define PUSH_MAX_MS ((clk_ms)500)
/** Time from the start of this process in which it is linked to other nodes,
    if there are any.  Their entries in the store don't tell: after a restore
    they may be missing. */
#define ANNOUNCEMENT_WAIT_MS ((clk_ms)2000)
/** Shortest interval of the reads that end evacuations after a restore. */
#define KEPT_READ_INTERVAL_MS CLK_SECOND
/** Space in a frame for everything but the document. */
#define FRAME_OVERHEAD ((size_t)1024)

/** How a configuration reached this node. */
enum source
{
  SOURCE_READ,
  SOURCE_WATCH,
  SOURCE_NODE
};

struct srv_config
{
  struct srv *s;
  struct str range; /* start of the keys that are read and watched: of
                       config_key alone, or of all keys of the operators where
                       zones may be evacuated */
  struct buf range_end;
  struct buf document; /* document in force; empty if it doesn't fit into a
                          frame */
  struct store_watch *watch;
  struct cur fresh;
  int64_t seen_revision; /* store revision up to which changes were seen */
  bool was_following;    /* last logged relies_on_announcements() */
  clk_ms kept_read_at;   /* when the read for srv_evacuations_need_read() was
                            last sent */
};

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

clk_ms
srv_config_age (const struct srv *s, clk_ms now)
{
  const struct cur *c = &s->config->fresh;

  return c->confirmed_at ? now - c->confirmed_at : -1;
}

static void
activate (struct srv_config *c, struct tbl *t, const struct store_kv *kv,
          enum source from)
{
  static const char *const names[] = {
    [SOURCE_READ] = "read", [SOURCE_WATCH] = "watch", [SOURCE_NODE] = "node"
  };
  struct srv *s = c->s;

  LOG (table_in_force, LOG_I ("version", t->version),
       LOG_I ("revision", kv->mod_rev), LOG_I ("routes", t->nroutes),
       LOG_C ("from", names[from]),
       LOG_I ("known_age_ms", srv_config_age (s, clk_now ())));
  buf_clear (&c->document);
  if (kv->value.len + FRAME_OVERHEAD <= LINK_MAX_FRAME)
    buf_add (&c->document, kv->value);
  tbl_unref (s->active_config);
  s->active_config = t;
  cur_set_version (&c->fresh, t->version);
  srv_ingress_config_changed (s);
  srv_endpoints_changed (s);
}

/**
 * Put a configuration in force if it is newer than the present one.  A read
 * may return an older one after a newer version was pushed.
 * @retval false  it could not be parsed
 */
static bool
apply_config (struct srv_config *c, const struct store_kv *kv,
              enum source from)
{
  struct srv *s = c->s;
  struct fnd_list findings = { 0 };
  struct tbl *t;

  if (!str_is (kv->key, s->adapter->config_key))
    return true;
  t = s->adapter->parse_config (kv->value, &findings);
  if (!t)
    {
      log_findings (&findings, kv->mod_rev);
      return false;
    }
  fnd_free (&findings);
  if (s->active_config && t->version <= s->active_config->version)
    tbl_unref (t);
  else
    activate (c, t, kv, from);
  return true;
}

/* --- the watch ---------------------------------------------------------- */

static void
on_config_events (void *ctx, int64_t revision,
                  const struct store_watch_event *ev, size_t n)
{
  struct srv_config *c = ctx;

  store_watch_stop (c->watch);
  c->watch = NULL;
  c->seen_revision = revision;
  cur_watch_fired (&c->fresh, clk_now ());
  /* Before the configuration, which other nodes then learn to be in force
     here. */
  srv_evacuations_watched (c->s, ev, n);
  for (size_t i = 0; i < n; i++)
    if (!ev[i].deleted)
      apply_config (c, &ev[i].kv, SOURCE_WATCH);
}

static void
on_config_end (void *ctx, enum store_status why)
{
  struct srv_config *c = ctx;

  (void)why; /* whatever the reason, the configuration is read again */
  c->watch = NULL;
  cur_watch_failed (&c->fresh, clk_now ());
}

static void
watch_config (struct srv_config *c)
{
  static const struct store_watch_cb cb = { on_config_events, on_config_end };
  struct srv *s = c->s;

  c->watch = store_watch (s->store, c->range, buf_str (&c->range_end),
                          c->seen_revision + 1, &cb, c);
}

/** Whether announcements replace the watch of this node. */
static bool
relies_on_announcements (const struct srv_config *c, clk_ms now)
{
  return cur_has_announcements (&c->fresh, now)
         && !srv_peers_is_announcer (c->s) && srv_is_leaf (c->s);
}

static void
check_watch (struct srv_config *c, clk_ms now)
{
  bool following = relies_on_announcements (c, now);

  if (following != c->was_following)
    LOG (config_followed, LOG_I ("follows", following),
         LOG_I ("version", c->fresh.version),
         LOG_I ("known_age_ms", srv_config_age (c->s, now)));
  c->was_following = following;
  if (following)
    {
      if (c->watch)
        store_watch_stop (c->watch);
      c->watch = NULL;
      cur_watch_stopped (&c->fresh);
    }
  else if (!c->watch && cur_may_watch (&c->fresh, now))
    watch_config (c);
}

/* --- reading ------------------------------------------------------------ */

static void
on_config (void *ctx, const struct store_result *r)
{
  struct srv_config *c = ctx;
  struct srv *s = c->s;
  enum cur_read_result result
      = r->status == STORE_OK ? CUR_READ_OK : CUR_READ_FAILED;

  pau_call_ended (&s->store_backoff, clk_now (), r->status, &s->rng);
  srv_evacuations_read (s, r);
  for (size_t i = 0; i < r->nkvs; i++)
    if (!apply_config (c, &r->kvs[i], SOURCE_READ))
      result = CUR_READ_UNPARSABLE;
  if (r->status == STORE_OK)
    c->seen_revision = r->revision;
  cur_read_done (&c->fresh, clk_now (), result);
}

static void
read_config (struct srv_config *c, clk_ms now)
{
  struct srv *s = c->s;

  cur_read_sent (&c->fresh, now);
  pau_call_started (&s->store_backoff);
  store_range (s->store, STORE_CONFIG, c->range, buf_str (&c->range_end),
               on_config, c);
}

/* --- announcements and pushes ------------------------------------------- */

int64_t
srv_config_version (const struct srv *s)
{
  return s->config->fresh.version;
}

clk_ms
srv_config_confirmed_at (const struct srv *s)
{
  return s->config->fresh.confirmed_at;
}

bool
srv_config_document (const struct srv *s, size_t nodes, struct str *text)
{
  const struct srv_config *c = s->config;
  double ms = 0;

  *text = buf_str (&c->document);
  if (s->settings.link_bytes_per_s > 0)
    ms = (double)(text->len * nodes) * (double)CLK_SECOND
         / s->settings.link_bytes_per_s;
  return text->len > 0 && ms <= (double)PUSH_MAX_MS;
}

void
srv_config_pushed (struct srv *s, int64_t version, struct str text)
{
  struct store_kv kv
      = { .key = str_from (s->adapter->config_key), .value = text };

  if (version > srv_config_version (s))
    apply_config (s->config, &kv, SOURCE_NODE);
}

void
srv_config_announced (struct srv *s, clk_ms now,
                      const struct cur_announcement *a)
{
  cur_on_announcement (&s->config->fresh, now, a);
}

/* --- time --------------------------------------------------------------- */

enum cur_state
srv_config_state (const struct srv *s, clk_ms now)
{
  return cur_state (&s->config->fresh, now);
}

void
srv_config_resumed (struct srv *s, clk_ms now)
{
  cur_on_resume (&s->config->fresh, now);
}

/** Whether a read of this node's own is due after a restore, although the
    announcements of other nodes confirm the configuration: only a read ends
    evacuations that the restored store lacks. */
static bool
is_kept_read_due (struct srv_config *c, clk_ms now)
{
  if (c->fresh.reading || !srv_evacuations_need_read (c->s, now)
      || now < c->kept_read_at + KEPT_READ_INTERVAL_MS)
    return false;
  c->kept_read_at = now;
  return true;
}

void
srv_config_tick (struct srv *s, clk_ms now)
{
  struct srv_config *c = s->config;

  if ((cur_should_read (&c->fresh, now, srv_peers_is_announcer (s))
       || is_kept_read_due (c, now))
      && pau_may_call (&s->store_backoff, now))
    read_config (c, now);
  check_watch (c, now);
}

/** The reads that confirm the configuration also find evacuated zones, and
   have to be frequent enough for both. */
static clk_ms
limit_ms (const struct srv *s)
{
  return s->evacuations
                 && s->settings.evacuation_ms < s->settings.config_apply_ms
             ? s->settings.evacuation_ms
             : s->settings.config_apply_ms;
}

void
srv_config_start (struct srv *s)
{
  struct srv_config *c = xcalloc (1, sizeof *c);

  c->s = s;
  cur_init (&c->fresh, limit_ms (s));
  cur_expect_announcement (&c->fresh, clk_now () + ANNOUNCEMENT_WAIT_MS);
  c->range = str_from (s->evacuations ? s->adapter->operator_prefix
                                      : s->adapter->config_key);
  store_prefix_end (c->range, &c->range_end);
  s->config = c;
  srv_config_tick (s, clk_now ());
}
