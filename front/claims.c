#include <stdlib.h>
#include <string.h>

#include "fleet/hash.h"
#include "fleet/member.h"
#include "front/callers.h"
#include "front/claims.h"
#include "route/record-names.h"

/** Timer interval in ms while claim requests are pending; the resolution of
    their deadlines. */
#define TICK_MS 10

/* Pending claim requests by id. */

static struct claims_request **
bucket_of (struct gw_claims *c, uint64_t id)
{
  return &c->buckets[id % CLAIMS_BUCKETS];
}

static struct claims_request *
ask_new (struct gw_claims *c, const struct clm_request *ask)
{
  struct claims_request *a = xcalloc (1, sizeof *a);
  struct claims_request **bucket;

  a->id = ++c->last_id;
  a->request = *ask;
  a->request.id = a->id;
  buf_add (&a->answer, ask->response);
  a->request.response = buf_str (&a->answer);
  bucket = bucket_of (c, a->id);
  a->chain = *bucket;
  *bucket = a;
  c->open++;
  return a;
}

static struct claims_request *
find_ask (struct gw_claims *c, uint64_t id)
{
  struct claims_request *a = *bucket_of (c, id);

  while (a && a->id != id)
    a = a->chain;
  return a;
}

static void
ask_unlink (struct gw_claims *c, struct claims_request *a)
{
  struct claims_request **at = bucket_of (c, a->id);

  while (*at != a)
    at = &(*at)->chain;
  *at = a->chain;
  c->open--;
}

static void
ask_free (struct claims_request *a)
{
  for (size_t i = 0; i < CLM_MAX_TARGETS; i++)
    free (a->targets[i]);
  buf_free (&a->answer);
  buf_free (&a->result_answer);
  free (a);
}

/* Choice of the targets. */

static bool
is_home_candidate (const struct gw_claims *c, const struct gw_node *n)
{
  return n->peer.port != 0 && !str_is (n->name, c->g->set.node)
         && (n->status == MBR_ALIVE || n->status == MBR_SUSPECT);
}

/**
 * Picks the first nodes by rendezvous hash that precede this node.  The last
 * target is always the core of this node.
 * @return the number of targets, with this node
 */
static unsigned
choose_targets (struct gw_claims *c, struct claims_request *a)
{
  size_t n = 0, names_n = 0, picked;
  const struct gw_node *nodes
      = c->g->view ? gw_view_nodes (c->g->view, &n) : NULL;
  struct str *names = xcalloc (n + 1, sizeof *names);
  size_t order[CLM_MAX_TARGETS - 1];
  char role[32];
  unsigned ntargets = 0;

  names[names_n++] = str_from (c->g->set.node);
  for (size_t i = 0; i < n; i++)
    if (is_home_candidate (c, &nodes[i]))
      names[names_n++] = nodes[i].name;
  snprintf (role, sizeof role, "claim/%02x", clm_shard (a->request.key));
  picked = hash_pick_k (str_from (role), names, names_n, order,
                        CLM_MAX_TARGETS - 1);
  for (size_t i = 0; i < picked && order[i] != 0; i++)
    a->targets[ntargets++] = str_dup (names[order[i]]);
  free (names);
  return ntargets + 1;
}

/* Results are delivered by a timer callback, never within gw_claims_request().
 */

static void
ignore (void *ctx, const struct clm_reply *reply)
{
}

/** Release the claim of an attempt that will not be sent. */
static void
release_claim (struct gw_claims *c, const struct claims_request *a)
{
  struct clm_request ask = a->request;

  if (ask.kind != CLM_ACQUIRE)
    return;
  ask.kind = CLM_RELEASE;
  ask.response = STR_EMPTY;
  gw_claims_request (c, &ask, a->traced ? &a->trace : NULL, CLM_MAX_WAIT_MS,
                     ignore, NULL);
}

static void
on_deliver (uv_timer_t *t)
{
  struct gw_claims *c = t->data;
  struct claims_request *a;

  while ((a = c->done) != NULL)
    {
      c->done = a->next_done;
      /* The process was paused after the grant arrived; the grant may have
         expired. */
      if (a->result.verdict == CLM_GRANTED && clk_now () >= a->asker.deadline)
        {
          a->result.verdict = CLM_UNAVAILABLE;
          release_claim (c, a);
        }
      a->cb (a->ctx, &a->result);
      ask_free (a);
    }
  claims_after_event (c);
}

static void
queue_result (struct gw_claims *c, struct claims_request *a,
              const struct clm_reply *reply)
{
  ask_unlink (c, a);
  a->result = *reply;
  buf_add (&a->result_answer, reply->response);
  a->result.response = buf_str (&a->result_answer);
  if (c->done)
    c->done_last->next_done = a;
  else
    c->done = a;
  c->done_last = a;
  uv_timer_start (&c->deliver, on_deliver, 0, 0);
}

/* Local claim requests. */

static void do_requester_action (struct gw_claims *c, struct claims_request *a,
                                 enum clm_requester_action what,
                                 const struct clm_reply *reply);

static void
send_to_own_core (struct gw_claims *c, struct claims_request *a)
{
  clk_ms now = clk_now ();

  a->request.wait_ms = a->asker.deadline > now ? a->asker.deadline - now : 1;
  a->request.final = a->asker.ntargets == 1;
  a->sent_to_target = true;
  clm_request (c->core, now, &a->request);
}

/**
 * Passes an unconfirmed release to the core of this node.  The release may be
 * lost if this process was paused until the deadline had passed or the home
 * that received it died; the key would then be refused for the whole window
 * although no request ran.  The core keeps a release until it is written, and
 * a duplicate release has no effect.
 */
static void
release_at_own_core (struct gw_claims *c, struct claims_request *a)
{
  if (a->request.kind == CLM_RELEASE && a->asker.ntried < a->asker.ntargets)
    send_to_own_core (c, a);
}

static void
send_to_target (struct gw_claims *c, struct claims_request *a)
{
  const char *name = a->targets[a->asker.ntried - 1];

  a->sent_to_target = false;
  if (!name)
    {
      send_to_own_core (c, a);
      return;
    }
  switch (claims_peers_send (c, name, a))
    {
    case CLAIMS_SENT:
      a->sent_to_target = true;
      break;
    case CLAIMS_CONNECTING:
      break;
    case CLAIMS_UNREACHABLE:
      do_requester_action (
          c, a, clm_requester_unreachable (&a->asker, clk_now ()), NULL);
    }
}

static void
do_requester_action (struct gw_claims *c, struct claims_request *a,
                     enum clm_requester_action what,
                     const struct clm_reply *reply)
{
  struct clm_reply unavailable
      = { .verdict = CLM_UNAVAILABLE,
          .retry_after_ms = reply ? reply->retry_after_ms : 0 };

  switch (what)
    {
    case CLM_REQUESTER_NONE:
      break;
    case CLM_REQUESTER_SEND:
      send_to_target (c, a);
      break;
    case CLM_REQUESTER_REPLY:
      queue_result (c, a, reply ? reply : &unavailable);
      break;
    case CLM_REQUESTER_REPLY_AND_RELEASE:
      /* queue_result() copies the response that the reply points to;
         release_claim() may call the core of this node, which frees it. */
      queue_result (c, a, reply ? reply : &unavailable);
      release_claim (c, a);
      break;
    case CLM_REQUESTER_RELEASE:
      release_claim (c, a);
      break;
    case CLM_REQUESTER_GIVE_UP_AND_RELEASE:
      release_claim (c, a);
      release_at_own_core (c, a);
      queue_result (c, a, &unavailable);
      break;
    case CLM_REQUESTER_GIVE_UP:
      release_at_own_core (c, a);
      queue_result (c, a, &unavailable);
    }
}

void
gw_claims_request (struct gw_claims *c, const struct clm_request *ask,
                   const struct trc_id *trace, clk_ms wait_ms, gw_claim_cb cb,
                   void *ctx)
{
  struct claims_request *a = ask_new (c, ask);
  unsigned ntargets = choose_targets (c, a);

  a->cb = cb;
  a->ctx = ctx;
  a->traced = trace != NULL;
  if (trace != NULL)
    a->trace = *trace;
  do_requester_action (
      c, a, clm_requester_start (&a->asker, clk_now (), wait_ms, ntargets),
      NULL);
  claims_after_event (c);
}

/* Replies, and claim requests of other gateways. */

/** Record the span of a claim request that this node handled as the home for
    another gateway. */
static void
record_home_span (struct gw_claims *c, const struct claims_request *a,
                  const struct clm_reply *reply)
{
  struct trc_id id = trc_child (&a->trace, &c->g->rng);

  gw_span (c->g, &id, a->trace.span, "gateway.claim-home",
           str_from (rec_verdict_names[reply->verdict]), a->began_at);
}

static void
read_trace (struct claims_request *a, const Lapis__ClaimAsk *m)
{
  a->traced = m->trace.len == sizeof a->trace.trace
              && m->span.len == sizeof a->trace.span;
  if (!a->traced)
    return;
  memcpy (a->trace.trace, m->trace.data, m->trace.len);
  memcpy (a->trace.span, m->span.data, m->span.len);
}

void
claims_reply_received (struct gw_claims *c, uint64_t id,
                       const struct clm_reply *reply)
{
  struct claims_request *a = find_ask (c, id);

  if (!a)
    return;
  if (!a->remote)
    {
      do_requester_action (
          c, a,
          clm_requester_on_verdict (&a->asker, clk_now (), reply->verdict),
          reply);
      return;
    }
  if (a->traced)
    record_home_span (c, a, reply);
  if (a->link)
    claims_peers_reply (a->link, a->remote_id, reply);
  ask_unlink (c, a);
  ask_free (a);
}

void
claims_request_received (struct gw_claims *c, struct link *l,
                         const Lapis__ClaimAsk *m)
{
  struct clm_request ask
      = { .kind = (enum clm_kind)m->kind,
          .response_status = (int)m->answer_status,
          .response = str_make (m->answer.data, m->answer.len) };
  struct claims_request *a;

  if (m->key.len != 16 || m->attempt.len != 16 || m->fingerprint.len != 16
      || m->kind > CLM_FINISH)
    return;
  memcpy (ask.key, m->key.data, 16);
  memcpy (ask.attempt, m->attempt.data, 16);
  memcpy (ask.fingerprint, m->fingerprint.data, 16);
  a = ask_new (c, &ask);
  a->remote = true;
  a->remote_id = m->id;
  a->link = l;
  a->began_at = clk_now ();
  read_trace (a, m);
  clm_request (c->core, clk_now (), &a->request);
  claims_after_event (c);
}

static void
for_each_ask (struct gw_claims *c,
              void (*fn) (struct gw_claims *c, struct claims_request *a,
                          void *arg),
              void *arg)
{
  for (size_t i = 0; i < CLAIMS_BUCKETS; i++)
    for (struct claims_request *a = c->buckets[i], *next; a; a = next)
      {
        next = a->chain;
        fn (c, a, arg);
      }
}

static void
clear_link (struct gw_claims *c, struct claims_request *a, void *arg)
{
  if (a->link == arg)
    a->link = NULL;
}

void
claims_link_down (struct gw_claims *c, struct link *l)
{
  for_each_ask (c, clear_link, l);
}

static bool
waits_for (const struct claims_request *a, const char *name)
{
  const char *target;

  if (a->remote || a->asker.done)
    return false;
  target = a->targets[a->asker.ntried - 1];
  return target && strcmp (target, name) == 0;
}

static void
send_if_waiting (struct gw_claims *c, struct claims_request *a, void *arg)
{
  if (waits_for (a, arg) && !a->sent_to_target)
    send_to_target (c, a);
}

static void
try_next_target (struct gw_claims *c, struct claims_request *a, void *arg)
{
  clk_ms now = clk_now ();

  if (!waits_for (a, arg))
    return;
  do_requester_action (c, a,
                       a->sent_to_target
                           ? clm_requester_target_lost (&a->asker, now)
                           : clm_requester_unreachable (&a->asker, now),
                       NULL);
}

void
claims_peer_up (struct gw_claims *c, const char *name)
{
  for_each_ask (c, send_if_waiting, (void *)name);
  claims_after_event (c);
}

void
claims_peer_down (struct gw_claims *c, const char *name)
{
  for_each_ask (c, try_next_target, (void *)name);
  claims_after_event (c);
}

/* Event loop: timer, startup and shutdown. */

static void
tick_ask (struct gw_claims *c, struct claims_request *a, void *arg)
{
  if (!a->remote)
    do_requester_action (c, a, clm_requester_tick (&a->asker, clk_now ()),
                         NULL);
}

static void
on_timer (uv_timer_t *t)
{
  struct gw_claims *c = t->data;

  if (c->g->cfg)
    clm_set_window (c->core, c->g->cfg->limits.claim_window_ms);
  clm_tick (c->core, clk_now ());
  claims_core_run (c);
  for_each_ask (c, tick_ask, NULL);
  claims_after_event (c);
  claims_core_metrics (c);
}

void
claims_after_event (struct gw_claims *c)
{
  bool busy;

  claims_core_run (c);
  busy = c->open > 0 || clm_next_wakeup (c->core) != CLK_NEVER;
  if (busy && !uv_is_active ((uv_handle_t *)&c->timer))
    uv_timer_start (&c->timer, on_timer, TICK_MS, TICK_MS);
  else if (!busy && uv_is_active ((uv_handle_t *)&c->timer))
    {
      uv_timer_stop (&c->timer);
      claims_core_metrics (c);
    }
}

struct gw_claims *
gw_claims_start (struct gw *g, struct buf *err)
{
  struct gw_claims *c = xcalloc (1, sizeof *c);

  c->g = g;
  if (!claims_peers_listen (c, err))
    {
      free (c);
      return NULL;
    }
  claims_core_start (c);
  uv_timer_init (g->loop, &c->timer);
  uv_timer_init (g->loop, &c->deliver);
  c->timer.data = c->deliver.data = c;
  return c;
}

uint16_t
gw_claims_port (const struct gw_claims *c)
{
  return link_server_port (c->server);
}

void
gw_claims_nodes (struct gw_claims *c)
{
  claims_peers_check (c);
}

static void
on_closed (uv_handle_t *h)
{
  struct gw_claims *c = h->data;

  if (h == (uv_handle_t *)&c->deliver)
    free (c);
}

static void
remove_ask (struct gw_claims *c, struct claims_request *a, void *arg)
{
  ask_unlink (c, a);
  ask_free (a);
}

void
gw_claims_stop (struct gw_claims *c)
{
  if (!c)
    return;
  claims_peers_stop (c);
  claims_core_stop (c);
  for_each_ask (c, remove_ask, NULL);
  for (struct claims_request *a; (a = c->done) != NULL;)
    {
      c->done = a->next_done;
      ask_free (a);
    }
  uv_close ((uv_handle_t *)&c->timer, on_closed);
  uv_close ((uv_handle_t *)&c->deliver, on_closed);
}
