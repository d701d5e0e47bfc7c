#include <stdlib.h>
#include <string.h>

#include "base/chart.h"
#include "replica/owner.h"

/* Renewals and late ticks are measured in parts of the lease's time. */
#define RENEW_PART 3
#define RETRY_PART 6

/* Actions wait here until the shell fetches them; one event adds at most
   three, and a full ring would be a fault of the caller. */
#define QUEUE 16

/** What the call that is under way was for. */
enum call
{
  CALL_NONE,
  CALL_GRANT,
  CALL_TAKE,
  CALL_SETTLE, /* read: did the uncertain take happen? */
  CALL_KEEP,
  CALL_CHECK /* read after a lapse: is the key still ours? */
};

struct own
{
  struct own_options opt;
  struct buf key, value;
  const struct chart *chart;
  struct rng rng;
  enum own_state state;
  bool want;
  bool uncertain; /* an earlier take under this lease may still land */
  int64_t lease;
  int64_t fence;
  clk_ms last_tick;
  clk_ms order_until; /* two thirds of ttl after the last renewal's sending */
  clk_ms wait_until;
  clk_ms next_call;
  enum call call;
  uint64_t token;
  clk_ms sent_at;
  struct store_compare compare;
  struct store_put put;
  struct own_action queue[QUEUE];
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
  struct own_action *a = &o->queue[(o->head + o->count) % QUEUE];

  if (o->count == QUEUE)
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
  o->head = (o->head + 1) % QUEUE;
  o->count--;
  return true;
}

static void
step (struct own *o, const char *event)
{
  int next = chart_step (o->chart, o->state, chart_event (o->chart, event));

  if (next == CHART_REFUSED)
    abort ();
  o->state = (enum own_state)next;
}

/* Start a store call; its answer is known by the token. */
static struct own_action *
call (struct own *o, clk_ms now, enum call what, enum own_action_kind kind)
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
  clk_ms part = o->opt.ttl / RETRY_PART;

  return part + (clk_ms)rng_below (&o->rng, (uint64_t)part + 1);
}

static void
revoke (struct own *o, int64_t lease)
{
  if (lease)
    push (o, OWN_REVOKE)->lease = lease;
}

/* Leave the domain.  Revoking ends the key at once; it also makes a take that
   is still under way fail, as the store refuses a put under a lease that it
   does not know.  So no late write can bring back a key that nobody renews. */
static void
leave (struct own *o, clk_ms now, const char *event)
{
  if (o->state == OWN_HOLDING || o->state == OWN_WAITING)
    push (o, OWN_LOST);
  revoke (o, o->lease);
  step (o, event);
  o->lease = 0;
  o->fence = 0;
  o->uncertain = false;
  o->call = CALL_NONE;
  o->next_call = now + retry_delay (o);
}

static void
send_take (struct own *o, clk_ms now)
{
  struct own_action *a = call (o, now, CALL_TAKE, OWN_TXN);
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
send_keep (struct own *o, clk_ms now)
{
  call (o, now, CALL_KEEP, OWN_KEEPALIVE)->lease = o->lease;
}

static void
send_read (struct own *o, clk_ms now, enum call what)
{
  call (o, now, what, OWN_RANGE)->key = buf_str (&o->key);
}

/* The time counts from the sending: the store began the lease's new time
   after that, so our idea of its end always comes before the store's. */
static void
extend (struct own *o)
{
  o->order_until = o->sent_at + 2 * o->opt.ttl / 3;
}

/*
 * The key is ours under `fence`.
 *
 * Backend servers that check fencing numbers refuse every order of an older
 * owner as soon as they have seen one of ours, so orders may go at once.
 * Others obey whatever reaches them last.  For those: our key could be
 * written only because the old one had vanished, hence the old owner's lease
 * was over (or revoked after it had stopped).  By its own clock it stopped at
 * two thirds of that lease.  What can still come is an order already on its
 * way, which lives at most order_flight_ms, and what a skewed clock lets
 * through; so we let another ttl and order_flight_ms pass before the first
 * order.  Not covered: an old owner that is frozen between its check and its
 * write for longer than that.  Its order then lands on a VM that we may have
 * given another task.  The VM reports replica and generation with every
 * probe, the mismatch makes its replica not whole within the evidence time,
 * and the owner orders again: wrong for seconds, never served.
 */
static void
taken (struct own *o, clk_ms now, int64_t fence)
{
  if (!o->fence)
    o->wait_until = now + o->opt.ttl + o->opt.order_flight_ms;
  o->fence = fence;
  o->uncertain = false;
  if (now >= o->order_until)
    {
      if (o->state != OWN_LAPSED)
        step (o, "lapse");
      o->next_call = now;
      return;
    }
  o->next_call = o->sent_at + o->opt.ttl / RENEW_PART;
  if (!o->opt.checks_fence && now < o->wait_until)
    {
      step (o, "taken_wait");
      return;
    }
  step (o, "taken");
  push (o, OWN_ACQUIRED)->fence = fence;
}

static bool
is_ours (const struct own *o, const struct store_result *r)
{
  return r->nkvs == 1 && r->kvs[0].lease == o->lease
         && str_eq (r->kvs[0].value, buf_str (&o->value));
}

static void
on_grant (struct own *o, clk_ms now, const struct store_result *r)
{
  if (r->status != STORE_OK)
    {
      step (o, "failed");
      o->next_call = now + retry_delay (o);
      return;
    }
  o->lease = r->lease;
  extend (o);
  step (o, "granted");
  send_take (o, now);
}

static void
on_take (struct own *o, clk_ms now, const struct store_result *r)
{
  switch (r->status)
    {
    case STORE_OK:
      taken (o, now, r->revision);
      return;
    case STORE_UNCERTAIN:
      o->uncertain = true;
      send_read (o, now, CALL_SETTLE);
      return;
    case STORE_CONFLICT:
      /* After a lost answer the key that is in the way may be our own. */
      if (o->uncertain)
        send_read (o, now, CALL_SETTLE);
      else
        leave (o, now, "failed");
      return;
    case STORE_GONE:
      leave (o, now, "failed");
      return;
    default:
      o->next_call = now + retry_delay (o);
    }
}

static void
on_settle (struct own *o, clk_ms now, const struct store_result *r)
{
  if (r->status != STORE_OK)
    o->next_call = now + retry_delay (o);
  else if (is_ours (o, r))
    taken (o, now, r->kvs[0].create_rev);
  else if (r->nkvs)
    leave (o, now, "failed");
  else
    /* Not there yet, and the lost write may still land.  Taking again under
       the same lease is safe: only one of the two can find no key. */
    send_take (o, now);
}

static void
on_keep (struct own *o, clk_ms now, const struct store_result *r)
{
  if (r->status == STORE_GONE)
    leave (o, now, "gone");
  else if (r->status != STORE_OK)
    o->next_call = now + retry_delay (o);
  else if (o->state == OWN_LAPSED)
    {
      extend (o);
      send_read (o, now, CALL_CHECK);
    }
  else
    {
      extend (o);
      o->next_call = o->sent_at + o->opt.ttl / RENEW_PART;
    }
}

/* Renewed after a lapse; the key may have changed hands meanwhile. */
static void
on_check (struct own *o, clk_ms now, const struct store_result *r)
{
  if (r->status != STORE_OK)
    o->next_call = now + retry_delay (o);
  else if (!is_ours (o, r) || (o->fence && r->kvs[0].create_rev != o->fence))
    leave (o, now, "gone");
  else
    taken (o, now, r->kvs[0].create_rev);
}

/* An answer that nobody waits for any more.  A lease that it brings would
   stay until its time is over and count at the store: give it back. */
static void
late_answer (struct own *o, const struct store_result *r)
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
      late_answer (o, r);
      return;
    }
  o->call = CALL_NONE;
  switch (what)
    {
    case CALL_GRANT:
      on_grant (o, now, r);
      break;
    case CALL_TAKE:
      on_take (o, now, r);
      break;
    case CALL_SETTLE:
      on_settle (o, now, r);
      break;
    case CALL_KEEP:
      on_keep (o, now, r);
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
    leave (o, now, "give_up");
}

static void
lapse (struct own *o, clk_ms now)
{
  if (o->state != OWN_TAKING)
    push (o, OWN_LOST);
  step (o, "lapse");
  o->call = CALL_NONE;
  o->next_call = now;
}

/* What to ask the store for next, when nothing is under way. */
static void
call_next (struct own *o, clk_ms now)
{
  switch (o->state)
    {
    case OWN_IDLE:
      if (o->want)
        {
          step (o, "ask");
          call (o, now, CALL_GRANT, OWN_GRANT)->ttl = o->opt.ttl;
        }
      break;
    case OWN_TAKING:
      if (o->uncertain)
        send_read (o, now, CALL_SETTLE);
      else
        send_take (o, now);
      break;
    case OWN_GRANTING:
      break;
    default:
      send_keep (o, now);
    }
}

/* A lost answer to a call of ours must not stop the renewals. */
static void
expire_call (struct own *o, clk_ms now)
{
  if (o->call == CALL_NONE || now - o->sent_at < o->opt.ttl / RENEW_PART)
    return;
  if (o->call == CALL_TAKE)
    o->uncertain = true;
  if (o->state == OWN_GRANTING)
    step (o, "failed");
  o->call = CALL_NONE;
  o->next_call = now;
}

void
own_tick (struct own *o, clk_ms now)
{
  /* A tick that comes late tells of a pause: the process was stopped or the
     VM slept, and others may have acted meanwhile.  Read again first. */
  bool paused = o->last_tick && now - o->last_tick > o->opt.ttl / RENEW_PART;
  bool has_lease = o->state == OWN_TAKING || o->state == OWN_WAITING
                   || o->state == OWN_HOLDING;

  o->last_tick = now;
  if (has_lease && (paused || now >= o->order_until))
    lapse (o, now);
  expire_call (o, now);
  if (o->state == OWN_WAITING && now >= o->wait_until)
    {
      step (o, "waited");
      push (o, OWN_ACQUIRED)->fence = o->fence;
    }
  if (o->call == CALL_NONE && now >= o->next_call)
    call_next (o, now);
}

bool
own_may_order (const struct own *o, clk_ms now)
{
  return o->state == OWN_HOLDING && now < o->order_until
         && now - o->last_tick <= o->opt.ttl / RENEW_PART;
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
