#include "serve/node-int.h"

#include <stdlib.h>

/*
 * Leadership: at any time one node, the leader, sends orders to the backend
 * servers.  The leader holds a key in the store under a lease; the revision
 * at which the key was created is the fencing number of all its orders.
 */

/** Lease of the leader key.  After the leader has died, a new one takes over
    no later than this. */
#define LEASE_MS ((clk_ms)1200)
/** Delay between the attempts of two nodes of consecutive rank to become
    leader.  It exceeds the time after which a watch reports the first
    success, so that only one node makes an attempt, which takes three priced
    store calls. */
#define TURN_MS ((clk_ms)250)
/** From this total delay on, attempts follow each other at the shorter
    TURN_LATE_MS: if the nodes of all lower ranks have made no attempt by
    then, nearly all nodes are down. */
#define TURN_MOST_MS ((clk_ms)3000)
#define TURN_LATE_MS ((clk_ms)50)
/** A node makes no attempt for this long after its start.  By then the
    entries of the nodes that start together with it are in the store; the
    first node to register may be the smallest one. */
#define START_MS ((clk_ms)500)
/** Timeout of an order's answer.  The server answers from memory; the timeout
    leaves room for one retransmission of a lost packet after 200 ms. */
#define ORDER_MS ((clk_ms)300)
/** Timeout of a probe's answer.  The server answers from memory, so a few
    round trips between availability zones are enough. */
#define ASK_MS ((clk_ms)200)
#define CONNECT_MS ((clk_ms)250)
/** Connect timeout of a probe.  It may be shorter, as a server counts as
    silent only after its second unanswered probe. */
#define ASK_CONNECT_MS ((clk_ms)150)
/** HTTP 421 Misdirected Request: the address now belongs to another server,
    so the probed server no longer exists. */
#define STATUS_MISDIRECTED 421

/** Limit on concurrent orders and probes.  Each uses a connection of its own,
    a thousand servers may join at a start, and a small VM's roughly four
    thousand file descriptors are reserved for its callers. */
#define CALLS_MOST 64

struct duty_call;

struct srv_duty
{
  struct srv *s;
  struct own *own;
  struct frm *form;
  struct buf key;
  bool held_by_other;
  clk_ms free_since; /* when the leader key disappeared; 0: it exists */
  clk_ms started;
  clk_ms next_tick;
  struct duty_call *calls;
  unsigned ncalls;
};

/** An order or a probe in flight. */
struct duty_call
{
  struct srv_duty *d;
  struct duty_call *next;
  struct httpc_call *http;
  uint64_t token;
  uint64_t term; /* fencing number at the time of sending */
  bool is_order;
  enum frm_order_kind order;
  bool sent;
  int status;
  char *vm;
};

/* --- calls to backend servers ------------------------------------------ */

static bool
on_connected (void *ctx)
{
  struct duty_call *c = ctx;

  /* The lease may have expired while the connection was being opened. */
  if (c->is_order && !own_may_order (c->d->own, clk_now ()))
    return false;
  c->sent = true;
  return true;
}

static void
on_head (void *ctx, int status, const struct http_header *h, size_t n)
{
  struct duty_call *c = ctx;

  c->status = status;
}

static void
on_body (void *ctx, struct str bytes)
{
}

static void carry_out (struct srv_duty *d);

static enum frm_result
result_of (const struct duty_call *c, enum httpc_end end)
{
  if (c->status)
    return c->d->s->ad->order_result (c->status);
  if (end == HTTPC_CONNECT_FAILED && !c->sent)
    return FRM_UNANSWERED;
  return FRM_UNANSWERED;
}

static void
unlink_call (struct duty_call *c)
{
  struct duty_call **p = &c->d->calls;

  while (*p != c)
    p = &(*p)->next;
  *p = c->next;
  c->d->ncalls--;
}

static void
on_end (void *ctx, enum httpc_end end)
{
  struct duty_call *c = ctx;
  struct srv_duty *d = c->d;
  clk_ms now = clk_now ();

  unlink_call (c);
  if (c->term == (uint64_t)own_fence (d->own) && c->is_order)
    {
      enum frm_result result = result_of (c, end);
      LOG (order_ended, LOG_C ("server", c->vm), LOG_I ("number", c->token),
           LOG_I ("status", c->status));
      frm_order_done (d->form, now, c->token, result);
      /* A server that accepted a join is not ready immediately; for any other
         result the list is read again at once. */
      if (c->order != FRM_JOIN || result != FRM_ACCEPTED)
        srv_sync_hurry (d->s, now);
    }
  else if (c->term == (uint64_t)own_fence (d->own))
    frm_asked (d->form, now, c->token,
               c->status != 0 && c->status != STATUS_MISDIRECTED);
  free (c->vm);
  free (c);
  carry_out (d);
}

static void
call_server (struct srv_duty *d, const struct frm_action *a)
{
  static const struct httpc_callbacks cb
      = { on_connected, on_head, on_body, on_end };
  struct srv *s = d->s;
  struct duty_call *c = xcalloc (1, sizeof *c);
  struct buf body = BUF_INIT;
  struct http_header h[]
      = { { str_from (s->ad->expect_header), a->vm },
          { STR ("content-type"), STR ("application/json") } };
  bool order = a->kind == FRM_ORDER;
  struct httpc_request r
      = { .to = a->addr,
          .method = order ? STR ("POST") : STR ("GET"),
          .path = str_from (order ? s->ad->order_path : s->ad->report_path),
          .headers = h,
          .nheaders = order ? 2 : 1,
          .connect_ms = order ? CONNECT_MS : ASK_CONNECT_MS,
          .progress_ms = order ? ORDER_MS : ASK_MS,
          .fresh = true };

  c->d = d;
  c->token = a->token;
  c->is_order = order;
  c->order = a->order;
  c->term = (uint64_t)own_fence (d->own);
  c->vm = str_dup (a->vm);
  c->next = d->calls;
  d->calls = c;
  d->ncalls++;
  if (order)
    s->ad->order (a, &body);
  if (order)
    LOG (order_sent, LOG_S ("server", a->vm), LOG_I ("number", a->token),
         LOG_S ("order", buf_str (&body)));
  r.body = buf_str (&body);
  c->http = httpc_start (s->http, &r, &cb, c);
  buf_free (&body);
}

static void
carry_out (struct srv_duty *d)
{
  struct frm_action a;

  while (d->ncalls < CALLS_MOST && frm_next (d->form, &a))
    {
      if (own_may_order (d->own, clk_now ()))
        call_server (d, &a);
      free ((void *)a.members);
    }
}

/* --- the lease of the leader key ---------------------------------------- */

/** A store call for the lease; the ownership core identifies it by its
    token. */
struct lease_call
{
  struct srv_duty *d;
  uint64_t token;
};

static void lease_act (struct srv_duty *d);

static void
on_lease (void *ctx, const struct store_result *r)
{
  struct lease_call *c = ctx;
  struct srv_duty *d = c->d;
  uint64_t token = c->token;

  free (c);
  own_store_answer (d->own, clk_now (), token, r);
  lease_act (d);
}

static void
gained (struct srv_duty *d, int64_t fence)
{
  clk_ms now = clk_now ();

  LOG (duty_gained, LOG_I ("fence", fence));
  frm_owner (d->form, now, true, fence);
  srv_sync_hurry (d->s, now);
}

static void
lost (struct srv_duty *d)
{
  LOG (duty_lost, LOG_I ("fence", own_fence (d->own)));
  frm_owner (d->form, clk_now (), false, 0);
}

static void
lease_do (struct srv_duty *d, const struct own_action *a)
{
  struct store *st = d->s->store;
  struct lease_call *c = xcalloc (1, sizeof *c);

  c->d = d;
  c->token = a->token;
  switch (a->kind)
    {
    case OWN_GRANT:
      store_lease_grant (st, a->ttl, on_lease, c);
      return;
    case OWN_TXN:
      store_txn (st, STORE_OWNERSHIP, &a->txn, on_lease, c);
      return;
    case OWN_RANGE:
      store_range (st, STORE_OWNERSHIP, a->key, STR_EMPTY, on_lease, c);
      return;
    case OWN_KEEP:
      store_lease_keep (st, a->lease, on_lease, c);
      return;
    case OWN_REVOKE:
      store_lease_revoke (st, a->lease, on_lease, c);
      return;
    case OWN_GAINED:
      gained (d, a->fence);
      break;
    case OWN_LOST:
      lost (d);
      break;
    }
  free (c);
}

static void
lease_act (struct srv_duty *d)
{
  struct own_action a;

  while (own_next (d->own, &a))
    lease_do (d, &a);
}

bool
srv_duty_holds (const struct srv *s)
{
  return s->duty && own_state (s->duty->own) == OWN_HOLDING;
}

/** Delay after which a node of this rank makes its attempt to become
    leader. */
static clk_ms
turn_ms (unsigned rank)
{
  clk_ms turn = (clk_ms)rank * TURN_MS;

  if (turn <= TURN_MOST_MS)
    return turn;
  return TURN_MOST_MS + (clk_ms)(rank - TURN_MOST_MS / TURN_MS) * TURN_LATE_MS;
}

/** Whether this node should try to become leader, or stay leader: no other
    node is leader, and the nodes of lower rank have had time for their
    attempts. */
static bool
wants (const struct srv_duty *d, clk_ms now)
{
  const struct srv *s = d->s;

  if (s->leaving_since || !s->table)
    return false;
  if (own_state (d->own) != OWN_IDLE)
    return !d->held_by_other;
  if (!d->free_since || !srv_register_duty_free (s))
    return false;
  return now - d->started >= START_MS
         && now - d->free_since >= turn_ms (srv_register_rank (s));
}

void
srv_duty_key (struct srv *s, bool held, struct str holder)
{
  struct srv_duty *d = s->duty;
  clk_ms now = clk_now ();

  d->held_by_other = held && !str_eq (holder, s->set.node);
  if (held)
    d->free_since = 0;
  else if (!d->free_since)
    d->free_since = now;
}

void
srv_duty_servers (struct srv *s)
{
  struct srv_duty *d = s->duty;

  if (!s->table)
    return;
  frm_servers (d->form, clk_now (), s->backends, s->table,
               s->first_start || bks_settled (s->backends, clk_now ()));
  carry_out (d);
}

const struct frm_figures *
srv_duty_figures (const struct srv *s)
{
  return frm_figures (s->duty->form);
}

size_t
srv_duty_models (const struct srv *s, struct frm_model *out)
{
  return frm_models (s->duty->form, out);
}

bool
srv_duty_busy (const struct srv *s)
{
  return srv_duty_holds (s) && frm_busy (s->duty->form);
}

void
srv_duty_stalled (struct srv *s, uint64_t place)
{
  if (srv_duty_holds (s))
    frm_stalled (s->duty->form, clk_now (), place);
}

static void
tell_demand (struct srv_duty *d, clk_ms now)
{
  const struct tbl *t = d->s->table;

  for (size_t i = 0; t && i < t->nservices; i++)
    for (size_t k = 0; k < t->services[i].nmodels; k++)
      {
        struct str service = t->services[i].name;
        struct str model = t->services[i].models[k].name;
        frm_demand (d->form, now, service, model,
                    dsp_demand (d->s->dispatch, service, model));
      }
}

void
srv_duty_tick (struct srv *s, clk_ms now)
{
  struct srv_duty *d = s->duty;

  own_want (d->own, now, wants (d, now));
  own_tick (d->own, now);
  lease_act (d);
  if (s->traffic)
    frm_traffic (d->form);
  if (now < d->next_tick)
    return;
  d->next_tick = now + FRM_TICK_MS;
  tell_demand (d, now);
  frm_tick (d->form, now);
  carry_out (d);
  srv_plan_look (s, d->form, now);
}

void
srv_duty_start (struct srv *s)
{
  struct srv_duty *d = xcalloc (1, sizeof *d);
  struct frm_options form = { .stall_ms = s->set.stall_ms,
                              .ceiling_window_s = s->set.ceiling_window_s,
                              .ceiling_over = s->set.ceiling_over };
  struct own_options own
      = { .node = s->set.node,
          .boot = s->boot,
          .ttl = s->set.lease_least_ms > LEASE_MS ? s->set.lease_least_ms
                                                  : LEASE_MS,
          .checks_fence = true,
          .order_flight_ms = ORDER_MS };

  d->s = s;
  d->started = clk_now ();
  s->duty = d;
  srv_plan_start (s);
  buf_addf (&d->key, "%sduty", s->ad->own_prefix);
  own.key = buf_str (&d->key);
  d->form = frm_new (&form);
  d->own = own_new (&own, rng_next (&s->rng));
}
