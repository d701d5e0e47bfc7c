#include "serve/node-int.h"

#include <stdlib.h>

/*
 * Leadership: at most one node at a time, the leader, sends orders to the
 * backend servers.  The leader holds a key in the store under a lease; the
 * revision at which the key was created is the fencing number of all its
 * orders.
 */

/** Lease of the leader key.  A failed leader is replaced after about this
    time. */
#define LEASE_MS ((clk_ms)1200)
/** Delay between the attempts of two nodes of consecutive rank to become
    leader.  It exceeds the time after which watches report that the first
    attempt succeeded.  So usually only one node makes an attempt, which takes
    three billed store calls. */
#define ATTEMPT_STAGGER_MS ((clk_ms)250)
/** Above this total delay, the shorter ATTEMPT_LATE_STAGGER_MS applies: if
    none of the preceding ranks has made an attempt by then, nearly all nodes
    are down. */
#define ATTEMPT_STAGGER_LIMIT_MS ((clk_ms)3000)
#define ATTEMPT_LATE_STAGGER_MS ((clk_ms)50)
/** A node makes no attempt for this long after its start.  By then the entries
    of all nodes that start together are in the store; otherwise the first one
    to register would become leader, even if it is the smallest. */
#define START_WAIT_MS ((clk_ms)500)
/** A leader key of this node that it does not hold is removed after this time;
    usually the end of its lease has removed it by then. */
#define STALE_KEY_MS ((clk_ms)300)
/** A node that has not reached the servers of a model's service for this long,
    while another node does, is not leader: it could neither form nor check
    replicas. */
#define CUT_OFF_MS ((clk_ms)1000)
/** Timeout of an order's answer.  The server answers from memory; the timeout
    leaves room for one retransmission of a lost packet after 200 ms. */
#define ORDER_TIMEOUT_MS ((clk_ms)300)
/** Timeout of a probe's answer.  The server answers from memory, so a few
    round trips between availability zones are enough. */
#define PROBE_TIMEOUT_MS ((clk_ms)200)
#define ORDER_CONNECT_MS ((clk_ms)250)
/** Connect timeout of a probe.  It may be shorter, as a server counts as
    silent only after its second unanswered probe. */
#define PROBE_CONNECT_MS ((clk_ms)150)
/** HTTP 421 Misdirected Request: the address now belongs to another server,
    so the probed server no longer exists. */
#define STATUS_MISDIRECTED 421

/** Limit on the part of a probe's response that is kept. */
#define REPORT_MAX_BYTES ((size_t)16384)

/** Limit on concurrent orders and probes.  Each uses a new connection, and a
    thousand servers may join at a start; the roughly four thousand file
    descriptors of a small VM are needed for client connections. */
#define CALLS_MAX 64

struct server_call;

struct srv_leader
{
  struct srv *s;
  struct own *own;
  struct frm *form;
  struct buf key;
  bool other_is_leader;
  int64_t own_key_rev;    /* revision of the leader key if it names this
                             process; 0: it does not */
  clk_ms idle_since;      /* since when this node holds no leader key */
  bool removal_in_flight; /* of a leader key that this node does not hold */
  clk_ms vacant_since;    /* when the leader key was first found missing; 0: it
                             exists */
  clk_ms
      cut_off_since; /* since when this node, but not all others, has not
                        reached the servers of a model; 0: it reaches them */
  clk_ms started;
  clk_ms next_tick;
  struct server_call *calls;
  unsigned ncalls;
};

/** An order or a probe in flight. */
struct server_call
{
  struct srv_leader *lead;
  struct server_call *next;
  struct httpc_call *http;
  uint64_t token;
  uint64_t sent_fence; /* fencing number at the time of sending */
  bool is_order;
  enum frm_order_kind order;
  bool connected;
  bool sent;
  int status;
  struct buf report; /* response body of a probe */
  char *vm;
  uint64_t process; /* dsp_endpoint_hash() without a generation */
};

/* --- calls to backend servers ------------------------------------------ */

static bool
on_connected (void *ctx)
{
  struct server_call *c = ctx;

  c->connected = true;
  /* The lease may have expired while the connection was being opened. */
  if (c->is_order && !own_may_order (c->lead->own, clk_now ()))
    return false;
  /* For a probe, the established connection shows that a process listens
     there. */
  c->sent = srv_may_call_server (c->lead->s, c->process);
  return c->sent;
}

static void
on_head (void *ctx, int status, const struct http_header *h, size_t n)
{
  struct server_call *c = ctx;
  struct srv *s = c->lead->s;
  struct srv_notice_source from = { .server = str_from (c->vm),
                                    .process = c->process,
                                    .what = c->is_order ? "order" : "probe" };
  struct avl_notice notice;

  c->status = status;
  s->adapter->parse_notice (status, h, n, &notice);
  if (status != STATUS_MISDIRECTED)
    srv_notice_received (s, &from, &notice);
}

static void
on_body (void *ctx, struct str bytes)
{
  struct server_call *c = ctx;

  if (!c->is_order && c->report.len + bytes.len <= REPORT_MAX_BYTES)
    buf_add (&c->report, bytes);
}

static void run_form_actions (struct srv_leader *lead);

static enum frm_result
call_result (const struct server_call *c, enum httpc_end end)
{
  if (c->status)
    return c->lead->s->adapter->order_result (c->status);
  if (end == HTTPC_CONNECT_FAILED && !c->sent)
    return FRM_UNANSWERED;
  return FRM_UNANSWERED;
}

static enum frm_probe_result
probe_result (const struct server_call *c, enum httpc_end end)
{
  if (!c->connected || c->status == STATUS_MISDIRECTED)
    return FRM_PROBE_UNREACHABLE;
  /* A process that stands still closes no connection. */
  if (!c->status && end == HTTPC_BROKEN)
    return FRM_PROBE_UNREACHABLE;
  if (c->status == 200
      && c->lead->s->adapter->reports_requests (buf_str (&c->report)))
    return FRM_PROBE_SERVING;
  /* A server that is not sent the probe because of its pause listens. */
  return c->status || !c->sent ? FRM_PROBE_ANSWERED : FRM_PROBE_SILENT;
}

static void
unlink_call (struct server_call *c)
{
  struct server_call **p = &c->lead->calls;

  while (*p != c)
    p = &(*p)->next;
  *p = c->next;
  c->lead->ncalls--;
}

static void
on_end (void *ctx, enum httpc_end end)
{
  struct server_call *c = ctx;
  struct srv_leader *lead = c->lead;
  clk_ms now = clk_now ();

  unlink_call (c);
  if (c->sent_fence == (uint64_t)own_fence (lead->own) && c->is_order)
    {
      enum frm_result result = call_result (c, end);
      LOG (order_ended, LOG_C ("server", c->vm), LOG_I ("number", c->token),
           LOG_I ("status", c->status));
      frm_order_done (lead->form, now, c->token, result);
      /* Read the list again at once, except after an accepted join: the server
         is not ready immediately. */
      if (c->order != FRM_JOIN || result != FRM_ACCEPTED)
        srv_sync_read_soon (lead->s, now);
    }
  else if (c->sent_fence == (uint64_t)own_fence (lead->own))
    frm_probe_done (lead->form, now, c->token, probe_result (c, end));
  buf_free (&c->report);
  free (c->vm);
  free (c);
  run_form_actions (lead);
}

static void
call_server (struct srv_leader *lead, const struct frm_action *a)
{
  static const struct httpc_callbacks cb
      = { on_connected, on_head, on_body, on_end };
  struct srv *s = lead->s;
  struct server_call *c = xcalloc (1, sizeof *c);
  struct buf body = BUF_INIT;
  struct http_header h[]
      = { { str_from (s->adapter->expect_header), a->vm },
          { STR ("content-type"), STR ("application/json") } };
  bool order = a->kind == FRM_ORDER;
  struct httpc_request r
      = { .to = a->addr,
          .method = order ? STR ("POST") : STR ("GET"),
          .path = str_from (order ? s->adapter->order_path
                                  : s->adapter->report_path),
          .headers = h,
          .nheaders = order ? 2 : 1,
          .connect_ms = order ? ORDER_CONNECT_MS : PROBE_CONNECT_MS,
          .progress_ms = order ? ORDER_TIMEOUT_MS : PROBE_TIMEOUT_MS,
          .total_ms = order ? ORDER_TIMEOUT_MS : PROBE_TIMEOUT_MS,
          .fresh = true };

  c->lead = lead;
  c->token = a->token;
  c->is_order = order;
  c->order = a->order;
  c->sent_fence = (uint64_t)own_fence (lead->own);
  c->vm = str_dup (a->vm);
  c->process = a->process;
  c->next = lead->calls;
  lead->calls = c;
  lead->ncalls++;
  if (order)
    s->adapter->format_order (a, &body);
  if (order)
    LOG (order_sent, LOG_S ("server", a->vm), LOG_I ("number", a->token),
         LOG_S ("order", buf_str (&body)));
  r.body = buf_str (&body);
  c->http = httpc_start (s->http, &r, &cb, c);
  buf_free (&body);
}

static void
run_form_actions (struct srv_leader *lead)
{
  struct frm_action a;

  while (lead->ncalls < CALLS_MAX && frm_next_action (lead->form, &a))
    {
      if (own_may_order (lead->own, clk_now ()))
        call_server (lead, &a);
      free ((void *)a.members);
    }
}

/* --- the lease of the leader key ---------------------------------------- */

/** A store call for the lease; the ownership core identifies it by its
    token. */
struct lease_call
{
  struct srv_leader *lead;
  uint64_t token;
};

static void run_lease_actions (struct srv_leader *lead);

static void
on_lease_result (void *ctx, const struct store_result *r)
{
  struct lease_call *c = ctx;
  struct srv_leader *lead = c->lead;
  uint64_t token = c->token;

  free (c);
  own_on_store_response (lead->own, clk_now (), token, r);
  run_lease_actions (lead);
}

static void
become_leader (struct srv_leader *lead, int64_t fence)
{
  clk_ms now = clk_now ();

  LOG (duty_gained, LOG_I ("fence", fence));
  frm_set_leading (lead->form, now, true, fence);
  srv_peers_became_leader (lead->s, now);
  srv_sync_read_soon (lead->s, now);
}

static void
lose_leadership (struct srv_leader *lead)
{
  LOG (duty_lost, LOG_I ("fence", own_fence (lead->own)));
  frm_set_leading (lead->form, clk_now (), false, 0);
}

static void
run_lease_action (struct srv_leader *lead, const struct own_action *a)
{
  struct store *st = lead->s->store;
  struct lease_call *c = xcalloc (1, sizeof *c);

  c->lead = lead;
  c->token = a->token;
  switch (a->kind)
    {
    case OWN_GRANT:
      store_lease_grant (st, a->ttl, on_lease_result, c);
      return;
    case OWN_TXN:
      store_txn (st, STORE_OWNERSHIP, &a->txn, on_lease_result, c);
      return;
    case OWN_RANGE:
      store_range (st, STORE_OWNERSHIP, a->key, STR_EMPTY, on_lease_result, c);
      return;
    case OWN_KEEPALIVE:
      store_lease_keep (st, a->lease, on_lease_result, c);
      return;
    case OWN_REVOKE:
      store_lease_revoke (st, a->lease, on_lease_result, c);
      return;
    case OWN_ACQUIRED:
      become_leader (lead, a->fence);
      break;
    case OWN_LOST:
      lose_leadership (lead);
      break;
    }
  free (c);
}

static void
run_lease_actions (struct srv_leader *lead)
{
  struct own_action a;

  while (own_next (lead->own, &a))
    run_lease_action (lead, &a);
}

bool
srv_is_leader (const struct srv *s)
{
  return s->leader && own_state (s->leader->own) == OWN_HOLDING;
}

/** Delay after which a node of this rank makes its attempt to become
    leader. */
static clk_ms
attempt_delay_ms (unsigned rank)
{
  clk_ms delay = (clk_ms)rank * ATTEMPT_STAGGER_MS;

  if (delay <= ATTEMPT_STAGGER_LIMIT_MS)
    return delay;
  return ATTEMPT_STAGGER_LIMIT_MS
         + (clk_ms)(rank - ATTEMPT_STAGGER_LIMIT_MS / ATTEMPT_STAGGER_MS)
               * ATTEMPT_LATE_STAGGER_MS;
}

static bool
is_cut_off (const struct srv *s)
{
  const struct tbl *t = s->active_config;

  for (size_t i = 0; t && i < t->nservices; i++)
    if (t->services[i].nmodels
        && dsp_is_cut_off (s->dispatch, t->services[i].name))
      return true;
  return false;
}

static void
update_cut_off (struct srv_leader *lead, clk_ms now)
{
  if (!is_cut_off (lead->s))
    lead->cut_off_since = 0;
  else if (!lead->cut_off_since)
    lead->cut_off_since = now;
}

/** Whether this node should become or stay leader: no other node is leader
    and, if this node is not either, the nodes of the preceding ranks have had
    time for their attempts. */
static bool
should_lead (const struct srv_leader *lead, clk_ms now)
{
  const struct srv *s = lead->s;

  if (s->stopping_since || !s->active_config
      || (lead->cut_off_since && now - lead->cut_off_since >= CUT_OFF_MS))
    return false;
  if (own_state (lead->own) != OWN_IDLE)
    return !lead->other_is_leader;
  if (!lead->vacant_since || !srv_register_leader_vacant (s))
    return false;
  return now - lead->started >= START_WAIT_MS
         && now - lead->vacant_since >= attempt_delay_ms (srv_node_rank (s));
}

void
srv_leader_key_changed (struct srv *s, const struct srv_leader_key *key)
{
  struct srv_leader *lead = s->leader;
  clk_ms now = clk_now ();
  bool held = key->revision != 0;

  lead->other_is_leader = held && !str_eq (key->node, s->settings.node);
  lead->own_key_rev = held && !lead->other_is_leader && key->boot == s->boot
                          ? key->revision
                          : 0;
  if (held)
    lead->vacant_since = 0;
  else if (!lead->vacant_since)
    lead->vacant_since = now;
}

void
srv_leader_servers_changed (struct srv *s)
{
  struct srv_leader *lead = s->leader;

  if (!s->active_config)
    return;
  frm_set_servers (lead->form, clk_now (), s->backends, s->active_config,
                   s->store_was_empty
                       || bks_is_stable (s->backends, clk_now ()));
  run_form_actions (lead);
}

void
srv_leader_resumed (struct srv *s, clk_ms now, clk_ms ms)
{
  frm_resumed (s->leader->form, now, ms);
}

const struct frm_stats *
srv_leader_stats (const struct srv *s)
{
  return frm_stats (s->leader->form);
}

struct frm *
srv_leader_form (const struct srv *s)
{
  return s->leader->form;
}

size_t
srv_leader_models (const struct srv *s, struct frm_model *out)
{
  return frm_models (s->leader->form, out);
}

bool
srv_leader_is_forming (const struct srv *s)
{
  return srv_is_leader (s) && frm_wants_fast_poll (s->leader->form);
}

void
srv_leader_endpoint_stalled_or_ended (struct srv *s, uint64_t endpoint)
{
  if (srv_is_leader (s))
    frm_stalled (s->leader->form, clk_now (), endpoint);
}

static void
report_demand (struct srv_leader *lead, clk_ms now)
{
  const struct tbl *t = lead->s->active_config;

  for (size_t i = 0; t && i < t->nservices; i++)
    for (size_t k = 0; k < t->services[i].nmodels; k++)
      {
        struct str service = t->services[i].name;
        struct str model = t->services[i].models[k].name;
        frm_demand (lead->form, now, service, model,
                    dsp_demand (lead->s->dispatch, service, model));
        frm_urgency (lead->form, service, model,
                     dsp_mean_priority (lead->s->dispatch, service, model));
      }
}

static void
on_stale_key_removed (void *ctx, const struct store_result *r)
{
  struct srv_leader *lead = ctx;

  lead->removal_in_flight = false;
  lead->idle_since = clk_now ();
  /* On a conflict, the key has changed since it was read. */
  if (r->status == STORE_OK || r->status == STORE_CONFLICT)
    lead->own_key_rev = 0;
  pau_call_ended (&lead->s->store_backoff, lead->idle_since, r->status,
                  &lead->s->rng);
}

/**
 * Removes a leader key of this process that it does not hold.  After a restore
 * of the store its lease is not ended, as it may be another node's: the key
 * may be in the copy, or the store executed a late write of it under a lease
 * that it has assigned again.  Nobody could become leader for as long as that
 * lease is renewed.
 */
static void
remove_stale_key (struct srv_leader *lead, clk_ms now)
{
  struct srv *s = lead->s;
  struct str key = buf_str (&lead->key);
  struct store_compare unchanged = { key, lead->own_key_rev };
  struct store_txn txn = {
    .compares = &unchanged, .ncompares = 1, .deletes = &key, .ndeletes = 1
  };

  if (own_state (lead->own) != OWN_IDLE)
    lead->idle_since = now;
  if (!lead->own_key_rev || lead->removal_in_flight
      || !srv_register_seen_restore (s)
      || now - lead->idle_since < STALE_KEY_MS
      || !pau_may_call (&s->store_backoff, now))
    return;
  lead->removal_in_flight = true;
  pau_call_started (&s->store_backoff);
  store_txn (s->store, STORE_OWNERSHIP, &txn, on_stale_key_removed, lead);
}

void
srv_leader_tick (struct srv *s, clk_ms now)
{
  struct srv_leader *lead = s->leader;

  remove_stale_key (lead, now);
  update_cut_off (lead, now);
  own_set_wanted (lead->own, now, should_lead (lead, now));
  own_tick (lead->own, now);
  run_lease_actions (lead);
  if (s->had_traffic)
    frm_traffic_started (lead->form);
  if (now < lead->next_tick)
    return;
  lead->next_tick = now + FRM_TICK_MS;
  report_demand (lead, now);
  frm_tick (lead->form, now);
  run_form_actions (lead);
  srv_plan_log_changes (s, lead->form, now);
  srv_mix_tick (s, now);
}

void
srv_leader_start (struct srv *s)
{
  struct srv_leader *lead = xcalloc (1, sizeof *lead);
  struct frm_options form = { .avail = s->avail,
                              .evacuations = s->evacuations,
                              .stall_ms = s->settings.stall_ms,
                              .ceiling_window_s = s->settings.ceiling_window_s,
                              .ceiling_over = s->settings.ceiling_over };
  struct own_options own
      = { .node = s->settings.node,
          .boot = s->boot,
          .ttl = s->settings.lease_min_ms > LEASE_MS ? s->settings.lease_min_ms
                                                     : LEASE_MS,
          .checks_fence = true,
          .order_flight_ms = ORDER_TIMEOUT_MS };

  lead->s = s;
  lead->started = clk_now ();
  s->leader = lead;
  srv_plan_start (s);
  buf_addf (&lead->key, "%sduty", s->adapter->own_prefix);
  own.key = buf_str (&lead->key);
  lead->form = frm_new (&form);
  lead->own = own_new (&own, rng_next (&s->rng));
}
