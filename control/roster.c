#include "control/roster.h"

#include <stdlib.h>
#include <string.h>

#include "base/json.h"

/* Range of the exponential backoff between attempts. */
#define BACKOFF_MIN_MS CLK_SECOND
#define BACKOFF_MAX_MS (30 * CLK_SECOND)

struct ctl_roster
{
  struct ctl *c;
  uv_timer_t timer;
  struct buf prefix; /* roster/ZONE/ */
  struct buf key;
  struct buf value; /* key and value are this node's record */
  clk_ms backoff;
  ctl_roster_seed seed;
  void *ctx;
};

static void read_zone (struct ctl_roster *r);

static void
on_retry (uv_timer_t *t)
{
  read_zone (t->data);
}

static void
schedule_retry (struct ctl_roster *r)
{
  uint64_t jitter = rng_below (&r->c->rng, (uint64_t)r->backoff / 2 + 1);

  uv_timer_start (&r->timer, on_retry, (uint64_t)r->backoff / 2 + jitter, 0);
  r->backoff *= 2;
  if (r->backoff > BACKOFF_MAX_MS)
    r->backoff = BACKOFF_MAX_MS;
}

static bool
parse_record (struct str value, uint64_t *boot, struct net_addr *swim)
{
  json_object *root = jsn_parse (value);
  bool ok = jsn_get (root, "boot")
            && net_addr_parse (jsn_str (root, "swim"), false, swim);

  if (ok)
    *boot = (uint64_t)jsn_int (root, "boot");
  json_object_put (root);
  return ok;
}

/* After a write without a response, a read shows whether it was applied. */
static void
on_written (void *ctx, const struct store_result *res)
{
  struct ctl_roster *r = ctx;

  if (res->status == STORE_OK)
    LOG (roster_written, LOG_S ("at", buf_str (&r->key)));
  else
    schedule_retry (r);
}

static void
write_record (struct ctl_roster *r, int64_t mod_rev)
{
  struct store_compare unchanged = { buf_str (&r->key), mod_rev };
  struct store_put put = { buf_str (&r->key), buf_str (&r->value), 0 };
  struct store_txn txn
      = { .compares = &unchanged, .ncompares = 1, .puts = &put, .nputs = 1 };

  store_txn (r->c->store, STORE_ROSTER, &txn, on_written, r);
}

/*
 * Replaces the record of an earlier process (lower boot number) but not of a
 * later one: a process suspended while its VM was replaced would direct
 * joining nodes to an address that no longer exists.
 */
static void
update_own_record (struct ctl_roster *r, const struct store_kv *own)
{
  struct net_addr swim;
  uint64_t boot = 0;

  if (own != NULL && !parse_record (own->value, &boot, &swim))
    boot = 0;
  if (boot > r->c->boot)
    LOG (roster_outranked, LOG_I ("boot", r->c->boot), LOG_I ("other", boot));
  else if (own != NULL && str_eq (own->value, buf_str (&r->value)))
    LOG (roster_written, LOG_S ("at", buf_str (&r->key)));
  else
    write_record (r, own != NULL ? own->mod_rev : 0);
}

static void
on_records (void *ctx, const struct store_result *res)
{
  struct ctl_roster *r = ctx;
  const struct store_kv *own = NULL;

  if (res->status != STORE_OK)
    {
      schedule_retry (r);
      return;
    }
  for (size_t i = 0; i < res->nkvs; i++)
    {
      struct net_addr swim;
      uint64_t boot;

      if (str_eq (res->kvs[i].key, buf_str (&r->key)))
        own = &res->kvs[i];
      else if (parse_record (res->kvs[i].value, &boot, &swim))
        r->seed (r->ctx, &swim);
    }
  update_own_record (r, own);
}

static void
read_zone (struct ctl_roster *r)
{
  struct buf end = BUF_INIT;

  store_prefix_end (buf_str (&r->prefix), &end);
  store_range (r->c->store, STORE_ROSTER, buf_str (&r->prefix), buf_str (&end),
               on_records, r);
  buf_free (&end);
}

static void
add_addr (struct buf *out, const char *key, const struct net_addr *a)
{
  struct buf text = BUF_INIT;

  net_addr_format (a, &text);
  buf_addf (out, ",\"%s\":", key);
  buf_add_json (out, buf_str (&text));
  buf_free (&text);
}

struct ctl_roster *
ctl_roster_start (struct ctl *c, const struct mbr_node *self,
                  ctl_roster_seed seed, void *ctx)
{
  struct ctl_roster *r = xcalloc (1, sizeof *r);

  r->c = c;
  r->seed = seed;
  r->ctx = ctx;
  r->backoff = BACKOFF_MIN_MS;
  buf_addf (&r->prefix, "%sroster/%s/", c->set.store_prefix, c->set.zone);
  buf_addf (&r->key, "%s%s", buf_c (&r->prefix), c->set.node);
  buf_addf (&r->value, "{\"boot\":%llu", (unsigned long long)c->boot);
  add_addr (&r->value, "swim", &self->swim);
  add_addr (&r->value, "peer", &self->peer);
  buf_add_char (&r->value, '}');
  uv_timer_init (c->loop, &r->timer);
  r->timer.data = r;
  read_zone (r);
  return r;
}

static void
on_closed (uv_handle_t *h)
{
  struct ctl_roster *r = h->data;

  buf_free (&r->prefix);
  buf_free (&r->key);
  buf_free (&r->value);
  free (r);
}

void
ctl_roster_stop (struct ctl_roster *r)
{
  store_forget (r->c->store, r);
  uv_close ((uv_handle_t *)&r->timer, on_closed);
}
