#include "serve/node-int.h"

#include <stdlib.h>

/*
 * The configuration in force.  Few nodes watch it in the store.  Among many
 * the one that forms replicas does, and tells the others each new one, as a
 * watch and a read by each of them are most of all calls to the store.  What
 * is told also reaches nodes that the store turns away.
 */

/** After a watch ended the whole is read. */
#define WATCH_AGAIN_MS ((clk_ms)100)
/** Part of the time in which a configuration has to be in force for which the
    next one is not looked for.  Operators push some dozen versions within two
    seconds at times, and each is a priced call and a whole document for every
    node; by this they come in few. */
#define PAUSE_PART 4
/** A node that was not told for so long, as a part of the time in which a
    configuration has to be in force, looks for itself. */
#define UNHEARD_PART 0.6
/** What all go by, the one that forms replicas reads again this often, so that
    a watch that has gone silent holds up nobody. */
#define CHECK_MS ((clk_ms)1000)
/** After a failed read. */
#define READ_AGAIN_MS ((clk_ms)200)
/** A document is told if that takes no longer on the link of the node that
    tells it.  A longer one would hold up the list of backend servers; of that
    only the revision is told, and each node reads it. */
#define TELL_MS ((clk_ms)500)
/** Beside it in a frame. */
#define FRAME_REST ((size_t)1024)

/** How a configuration came to this node. */
enum source
{
  SOURCE_READ,
  SOURCE_WATCH,
  SOURCE_NODE /* another one handed it on */
};

struct srv_config
{
  struct srv *s;
  struct buf end;  /* of the range that is the key alone */
  struct buf text; /* of the newest revision, if it may be told */
  struct store_watch *watch;
  bool reading;
  clk_ms asked;
  clk_ms next_read;    /* CLK_NEVER: it is watched, or told */
  clk_ms next_watch;   /* CLK_NEVER: the watch runs, or the whole is read */
  int64_t seen;        /* revision up to which changes were seen */
  int64_t in_force;    /* revision of the newest one that was read */
  clk_ms announced_at; /* when the teller last read the store; 0: never */
  clk_ms known_at;     /* when what is in force was last the newest, as far as
                          is known here; 0: never */
  bool told;           /* is_announced(), as it was logged last */
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

static void
note_newest (struct srv_config *c, const struct store_kv *kv)
{
  c->in_force = kv->mod_rev;
  buf_clear (&c->text);
  if (kv->value.len + FRAME_REST <= LINK_MAX_FRAME)
    buf_add (&c->text, kv->value);
}

static void
note_known (struct srv_config *c, clk_ms at)
{
  if (at > c->known_at)
    c->known_at = at;
}

clk_ms
srv_config_age (const struct srv *s, clk_ms now)
{
  const struct srv_config *c = s->config;

  return c->known_at ? now - c->known_at : -1;
}

/**
 * What is in force never goes back: an answer of the store that was under way
 * while a newer one came must not undo it.
 */
static void
take_config (struct srv_config *c, const struct store_kv *kv, enum source from)
{
  static const char *const names[] = {
    [SOURCE_READ] = "read", [SOURCE_WATCH] = "watch", [SOURCE_NODE] = "node"
  };
  struct srv *s = c->s;
  struct fnd_list findings = { 0 };
  struct tbl *t;

  if (!str_is (kv->key, s->ad->config_key))
    return;
  if (kv->mod_rev > c->in_force)
    note_newest (c, kv);
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
       LOG_I ("revision", kv->mod_rev), LOG_I ("routes", t->nroutes),
       LOG_C ("from", names[from]),
       LOG_I ("known_age_ms", srv_config_age (s, clk_now ())));
  tbl_unref (s->table);
  s->table = t;
  srv_places_changed (s);
}

static void
on_config_events (void *ctx, int64_t revision,
                  const struct store_watch_event *ev, size_t n)
{
  struct srv_config *c = ctx;

  store_watch_stop (c->watch);
  c->watch = NULL;
  c->seen = revision;
  c->next_watch = clk_now () + c->s->set.apply_ms / PAUSE_PART;
  for (size_t i = 0; i < n; i++)
    if (!ev[i].deleted)
      take_config (c, &ev[i].kv, SOURCE_WATCH);
}

static void
on_config_end (void *ctx, enum store_status why)
{
  struct srv_config *c = ctx;

  (void)why; /* whatever ended it, the whole is read again */
  c->watch = NULL;
  c->next_read = clk_now () + WATCH_AGAIN_MS;
}

static void
watch_config (struct srv_config *c)
{
  static const struct store_watch_cb cb = { on_config_events, on_config_end };
  struct srv *s = c->s;

  c->watch = store_watch (s->store, str_from (s->ad->config_key),
                          buf_str (&c->end), c->seen + 1, &cb, c);
}

/** Whether the node that forms replicas tells this one what is in force. */
static bool
is_announced (const struct srv_config *c, clk_ms now)
{
  clk_ms most = (clk_ms)((double)c->s->set.apply_ms * UNHEARD_PART);

  return c->announced_at && now - c->announced_at < most
         && srv_register_follows (c->s);
}

int64_t
srv_config_revision (const struct srv *s)
{
  return s->config->in_force;
}

bool
srv_config_text (const struct srv *s, size_t nodes, struct str *text)
{
  const struct srv_config *c = s->config;
  double ms = 0;

  *text = buf_str (&c->text);
  if (s->set.link_bytes_per_s > 0)
    ms = (double)(text->len * nodes) * (double)CLK_SECOND
         / s->set.link_bytes_per_s;
  return text->len > 0 && ms <= (double)TELL_MS;
}

void
srv_config_pushed (struct srv *s, int64_t revision, struct str text)
{
  struct store_kv kv = { .key = str_from (s->ad->config_key),
                         .value = text,
                         .mod_rev = revision };

  if (revision > s->config->in_force)
    take_config (s->config, &kv, SOURCE_NODE);
}

/** When the next version may be read: of a storm only some are. */
static clk_ms
config_due (const struct srv_config *c, clk_ms now)
{
  clk_ms due = c->asked + c->s->set.apply_ms / PAUSE_PART;

  return due > now ? due : now;
}

void
srv_config_announced (struct srv *s, clk_ms now, int64_t revision,
                      clk_ms age_ms)
{
  struct srv_config *c = s->config;

  c->announced_at = now - age_ms;
  if (!is_announced (c, now))
    return;
  if (revision <= c->in_force)
    note_known (c, c->announced_at);
  if (c->watch)
    store_watch_stop (c->watch);
  c->watch = NULL;
  c->next_watch = CLK_NEVER;
  if (revision > c->in_force && c->next_read == CLK_NEVER)
    c->next_read = config_due (c, now);
}

/** Who is told no more watches again; who tells others looks again. */
static void
check_config (struct srv_config *c, clk_ms now)
{
  bool idle = !c->reading && c->next_read == CLK_NEVER;

  if (c->told != is_announced (c, now))
    {
      c->told = !c->told;
      LOG (config_followed, LOG_I ("follows", c->told),
           LOG_I ("revision", c->in_force),
           LOG_I ("known_age_ms", srv_config_age (c->s, now)));
    }
  if (!idle)
    return;
  if (!c->watch && c->next_watch == CLK_NEVER && !is_announced (c, now))
    c->next_read = now;
  else if (srv_duty_holds (c->s) && srv_peers_nodes (c->s) > HUB_MESH_MOST)
    c->next_read = now + CHECK_MS;
}

static void
on_config (void *ctx, const struct store_result *r)
{
  struct srv_config *c = ctx;
  struct srv *s = c->s;

  c->reading = false;
  pau_ended (&s->store_pause, clk_now (), r->status, &s->rng);
  if (r->status != STORE_OK)
    {
      c->next_read = clk_now () + READ_AGAIN_MS;
      return;
    }
  for (size_t i = 0; i < r->nkvs; i++)
    take_config (c, &r->kvs[i], SOURCE_READ);
  note_known (c, c->asked);
  /* After a start this read will do until somebody tells the next. */
  if (!c->announced_at && s->table)
    c->announced_at = c->asked;
  c->next_read = CLK_NEVER;
  c->seen = r->revision;
  if (c->watch || c->next_watch != CLK_NEVER)
    return; /* a second look; check_config() says when the next is due */
  /* By then the links are up after a start, and it is told. */
  c->next_watch = clk_now () + s->set.apply_ms / PAUSE_PART;
}

static void
read_config (struct srv_config *c)
{
  struct srv *s = c->s;

  c->reading = true;
  c->asked = clk_now ();
  pau_called (&s->store_pause);
  store_range (s->store, STORE_CONFIG, str_from (s->ad->config_key),
               buf_str (&c->end), on_config, c);
}

void
srv_config_tick (struct srv *s, clk_ms now)
{
  struct srv_config *c = s->config;

  check_config (c, now);
  if (!c->reading && now >= c->next_read
      && pau_may_call (&s->store_pause, now))
    read_config (c);
  if (now < c->next_watch)
    return;
  c->next_watch = CLK_NEVER;
  if (!is_announced (c, now))
    watch_config (c);
}

void
srv_config_start (struct srv *s)
{
  struct srv_config *c = xcalloc (1, sizeof *c);

  c->s = s;
  c->next_watch = CLK_NEVER;
  store_prefix_end (str_from (s->ad->config_key), &c->end);
  s->config = c;
  srv_config_tick (s, clk_now ());
}
