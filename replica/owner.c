#include <stdlib.h>
#include <string.h>

#include "base/chart.h"
#include "replica/owner.h"

/* Renewal interval and retry delay as fractions of the lease's TTL. */
#define RENEW_FRACTION 3
#define RETRY_FRACTION 6

/* Queue of actions until the caller fetches them.  One event adds at most
   three, so a full queue is a bug in the caller. */
#define QUEUE_SIZE 16

/** Purpose of the store call in progress. */
enum call
{
  CALL_NONE,
  CALL_GRANT,
  CALL_WRITE_KEY,
  CALL_READ_BACK, /* read: was the uncertain write applied? */
  CALL_KEEPALIVE,
  CALL_CHECK /* read after a lapse: does this node still hold the key? */
};

struct own
{
  struct own_options opt;
  struct buf key, value;
  const struct chart *chart;
  struct rng rng;
  enum own_state state;
  bool want;
  bool uncertain; /* an earlier write with this lease may still be applied */
  int64_t lease;
  int64_t fence;
  clk_ms last_tick;
  clk_ms order_until; /* two thirds of ttl after the last renewal was sent */
  clk_ms wait_until;
  clk_ms next_call;
  enum call call;
  uint64_t token;
  clk_ms sent_at;
  struct store_compare compare;
  struct store_put put;
  struct own_action queue[QUEUE_SIZE];
  size_t head, count;
};

struct own *
own_new (const struct own_options *opt, uint64_t seed)
{
  struct own *o = xcalloc (1, sizeof *o);

  o->opt = *opt;
  buf_add (&o->key, opt->key);
  o->opt.key = buf_str (&o->key);
  buf_add_c (&o->value, "{\"node\":");
  buf_add_json (&o->value, opt->node);
  buf_addf (&o->value, ",\"boot\":%llu}", (unsigned long long)opt->boot);
  o->chart = chart_embedded ("owner");
  rng_seed (&o->rng, seed);
  o->state = (enum own_state)chart_initial (o->chart);
  return o;
}

void
own_free (struct own *o)
{
  if (!o)
    return;
  buf_free (&o->key);
  buf_free (&o->value);
  free (o);
}

static struct own_action *
push (struct own *o, enum own_action_kind kind)
{
  struct own_action *a = &o->queue[(o->head + o->count) % QUEUE_SIZE];

  if (o->count == QUEUE_SIZE)
    abort ();
  o->count++;
  memset (a, 0, sizeof *a);
  a->kind = kind;
  return a;
}

bool
own_next (struct own *o, struct own_action *out)
{
  if (!o->count)
    return false;
  *out = o->queue[o->head];
  o->head = (o->head + 1) % QUEUE_SIZE;
  o->count--;
  return true;
}

static void
apply_event (struct own *o, const char *event)
{
  int next = chart_step (o->chart, o->state, chart_event (o->chart, event));

  if (next == CHART_REFUSED)
    abort ();
  o->state = (enum own_state)next;
}

/* Start a store call; its response carries the token. */
static struct own_action *
start_call (struct own *o, clk_ms now, enum call what,
            enum own_action_kind kind)
{
  struct own_action *a = push (o, kind);

  o->call = what;
  o->sent_at = now;
  a->token = ++o->token;
  return a;
}

static clk_ms
retry_delay (struct own *o)
{
  clk_ms base = o->opt.ttl / RETRY_FRACTION;

  return base + (clk_ms)rng_below (&o->rng, (uint64_t)base + 1);
}

static void
revoke (struct own *o, int64_t lease)
{
  if (lease)
    push (o, OWN_REVOKE)->lease = lease;
}

/* Release the domain.  Revoking the lease deletes the key immediately and
   makes a write of the key that is still in flight fail, as the store rejects
   a put with an unknown lease.  So no delayed write can recreate a key that no
   node renews. */
static void
release (struct own *o, clk_ms now, const char *event)
{
  if (o->state == OWN_HOLDING || o->state == OWN_WAITING)
    push (o, OWN_LOST);
  revoke (o, o->lease);
  apply_event (o, event);
  o->lease = 0;
  o->fence = 0;
  o->uncertain = false;
  o->call = CALL_NONE;
  o->next_call = now + retry_delay (o);
}

static void
send_write_key (struct own *o, clk_ms now)
{
  struct own_action *a = start_call (o, now, CALL_WRITE_KEY, OWN_TXN);
  o->compare = (struct store_compare){ buf_str (&o->key), 0 };
  o->put
      = (struct store_put){ buf_str (&o->key), buf_str (&o->value), o->lease };
  a->key = buf_str (&o->key);
  a->txn.compares = &o->compare;
  a->txn.ncompares = 1;
  a->txn.puts = &o->put;
  a->txn.nputs = 1;
  a->lease = o->lease;
}

static void
send_keepalive (struct own *o, clk_ms now)
{
  start_call (o, now, CALL_KEEPALIVE, OWN_KEEPALIVE)->lease = o->lease;
}

static void
send_read (struct own *o, clk_ms now, enum call what)
{
  start_call (o, now, what, OWN_RANGE)->key = buf_str (&o->key);
}

/* Time counts from the sending of the request, before the store starts the new
   TTL, so the lease ends earlier by this node's clock than at the store. */
static void
extend_order_time (struct own *o)
{
  o->order_until = o->sent_at + 2 * o->opt.ttl / 3;
}

/*
 * This node holds the key, with fencing number `fence`.
 *
 * Backend servers that check fencing numbers reject orders of a previous owner
 * once they have seen one of the new owner, so orders may be sent at once.
 *
 * Servers that ignore them execute the last order that arrives.  This node
 * could write the key only after the previous owner's lease had expired, or
 * was revoked once that owner had stopped; the previous owner stopped when its
 * clock reached two thirds of the lease.  Two kinds of its orders can still
 * arrive: orders in flight, for at most order_flight_ms, and orders sent later
 * because of clock skew.  So the first order waits for another ttl plus
 * order_flight_ms.  Not covered: a previous owner that is suspended for longer
 * than that between its check and its write.  Its order then reaches a VM that
 * may belong to another replica.  The VM reports
 * replica and generation with every probe, so the mismatch makes that replica
 * incomplete within REP_PROBE_VALID_MS and the owner repeats its order: the
 * state is wrong for seconds, but no request is served with it.
 */
static void
on_acquired (struct own *o, clk_ms now, int64_t fence)
{
  if (!o->fence)
    o->wait_until = now + o->opt.ttl + o->opt.order_flight_ms;
  o->fence = fence;
  o->uncertain = false;
  if (now >= o->order_until)
    {
      if (o->state != OWN_LAPSED)
        apply_event (o, "lapse");
      o->next_call = now;
      return;
    }
  o->next_call = o->sent_at + o->opt.ttl / RENEW_FRACTION;
  if (!o->opt.checks_fence && now < o->wait_until)
    {
      apply_event (o, "taken_wait");
      return;
    }
  apply_event (o, "taken");
  push (o, OWN_ACQUIRED)->fence = fence;
}

static bool
is_own_key (const struct own *o, const struct store_result *r)
{
  return r->nkvs == 1 && r->kvs[0].lease == o->lease
         && str_eq (r->kvs[0].value, buf_str (&o->value));
}

static void
on_grant (struct own *o, clk_ms now, const struct store_result *r)
{
  if (r->status != STORE_OK)
    {
      apply_event (o, "failed");
      o->next_call = now + retry_delay (o);
      return;
    }
  o->lease = r->lease;
  extend_order_time (o);
  apply_event (o, "granted");
  send_write_key (o, now);
}

static void
on_write_response (struct own *o, clk_ms now, const struct store_result *r)
{
  switch (r->status)
    {
    case STORE_OK:
      on_acquired (o, now, r->revision);
      return;
    case STORE_UNCERTAIN:
      o->uncertain = true;
      send_read (o, now, CALL_READ_BACK);
      return;
    case STORE_CONFLICT:
      /* After a lost response, the existing key may be from this node. */
      if (o->uncertain)
        send_read (o, now, CALL_READ_BACK);
      else
        release (o, now, "failed");
      return;
    case STORE_GONE:
      release (o, now, "failed");
      return;
    default:
      o->next_call = now + retry_delay (o);
    }
}

static void
on_read_back (struct own *o, clk_ms now, const struct store_result *r)
{
  if (r->status != STORE_OK)
    o->next_call = now + retry_delay (o);
  else if (is_own_key (o, r))
    on_acquired (o, now, r->kvs[0].create_rev);
  else if (r->nkvs)
    release (o, now, "failed");
  else
    /* The key is absent, and the lost write may still be applied.  Writing
       again with the same lease is safe: only one of the two can find the key
       absent. */
    send_write_key (o, now);
}

static void
on_keepalive (struct own *o, clk_ms now, const struct store_result *r)
{
  if (r->status == STORE_GONE)
    release (o, now, "gone");
  else if (r->status != STORE_OK)
    o->next_call = now + retry_delay (o);
  else if (o->state == OWN_LAPSED)
    {
      extend_order_time (o);
      send_read (o, now, CALL_CHECK);
    }
  else
    {
      extend_order_time (o);
      o->next_call = o->sent_at + o->opt.ttl / RENEW_FRACTION;
    }
}

/* The lease was renewed after a lapse; another node may have taken the key in
   between. */
static void
on_check (struct own *o, clk_ms now, const struct store_result *r)
{
  if (r->status != STORE_OK)
    o->next_call = now + retry_delay (o);
  else if (!is_own_key (o, r)
           || (o->fence && r->kvs[0].create_rev != o->fence))
    release (o, now, "gone");
  else
    on_acquired (o, now, r->kvs[0].create_rev);
}

/* Response to a call that was abandoned.  A lease that it grants would stay in
   the store until it expires, so revoke it. */
static void
on_late_response (struct own *o, const struct store_result *r)
{
  if (r->status == STORE_OK && r->lease && r->lease != o->lease)
    revoke (o, r->lease);
}

void
own_on_store_response (struct own *o, clk_ms now, uint64_t token,
                       const struct store_result *r)
{
  enum call what = o->call;

  if (token != o->token || what == CALL_NONE)
    {
      on_late_response (o, r);
      return;
    }
  o->call = CALL_NONE;
  switch (what)
    {
    case CALL_GRANT:
      on_grant (o, now, r);
      break;
    case CALL_WRITE_KEY:
      on_write_response (o, now, r);
      break;
    case CALL_READ_BACK:
      on_read_back (o, now, r);
      break;
    case CALL_KEEPALIVE:
      on_keepalive (o, now, r);
      break;
    case CALL_CHECK:
      on_check (o, now, r);
      break;
    case CALL_NONE:
      break;
    }
}

void
own_set_wanted (struct own *o, clk_ms now, bool want)
{
  o->want = want;
  if (!want && o->state != OWN_IDLE)
    release (o, now, "give_up");
}

static void
lapse (struct own *o, clk_ms now)
{
  if (o->state != OWN_TAKING)
    push (o, OWN_LOST);
  apply_event (o, "lapse");
  o->call = CALL_NONE;
  o->next_call = now;
}

/* Start the next store call; none is in progress. */
static void
call_next (struct own *o, clk_ms now)
{
  switch (o->state)
    {
    case OWN_IDLE:
      if (o->want)
        {
          apply_event (o, "ask");
          start_call (o, now, CALL_GRANT, OWN_GRANT)->ttl = o->opt.ttl;
        }
      break;
    case OWN_TAKING:
      if (o->uncertain)
        send_read (o, now, CALL_READ_BACK);
      else
        send_write_key (o, now);
      break;
    case OWN_GRANTING:
      break;
    default:
      send_keepalive (o, now);
    }
}

/* Time out a call, so that a lost response does not stop the renewals. */
static void
expire_call (struct own *o, clk_ms now)
{
  if (o->call == CALL_NONE || now - o->sent_at < o->opt.ttl / RENEW_FRACTION)
    return;
  if (o->call == CALL_WRITE_KEY)
    o->uncertain = true;
  if (o->state == OWN_GRANTING)
    apply_event (o, "failed");
  o->call = CALL_NONE;
  o->next_call = now;
}

void
own_tick (struct own *o, clk_ms now)
{
  /* A late tick means that the process was stopped or the VM suspended.
     Another node may have become owner, so read the key first. */
  bool paused
      = o->last_tick && now - o->last_tick > o->opt.ttl / RENEW_FRACTION;
  bool has_lease = o->state == OWN_TAKING || o->state == OWN_WAITING
                   || o->state == OWN_HOLDING;

  o->last_tick = now;
  if (has_lease && (paused || now >= o->order_until))
    lapse (o, now);
  expire_call (o, now);
  if (o->state == OWN_WAITING && now >= o->wait_until)
    {
      apply_event (o, "waited");
      push (o, OWN_ACQUIRED)->fence = o->fence;
    }
  if (o->call == CALL_NONE && now >= o->next_call)
    call_next (o, now);
}

bool
own_may_order (const struct own *o, clk_ms now)
{
  return o->state == OWN_HOLDING && now < o->order_until
         && now - o->last_tick <= o->opt.ttl / RENEW_FRACTION;
}

int64_t
own_fence (const struct own *o)
{
  return o->fence;
}

enum own_state
own_state (const struct own *o)
{
  return o->state;
}
