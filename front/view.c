#include <stdlib.h>
#include <string.h>

#include "front/view.h"

#define TICK_MS ((clk_ms)250)
#define REPORT_MS CLK_SECOND
#define RECONNECT_MS (CLK_SECOND / 2)

/** The control process sends a view or a heartbeat each second.  If nothing
    arrives for this time, it is considered lost, even if the connection is
    still open. */
#define SILENCE_MS ((clk_ms)2500)

/** A view arrives every 1 to 1.5 s and its probe results are valid for up to
    3 s.  The gateway starts to probe when a view is late, before the results
    expire.  If it waited until the link is closed, every request would be
    refused in between. */
#define VIEW_LATE_MS ((clk_ms)1600)

/** A restarted control process receives all state again within 5 s.  Until
   then its views may lack a backend server that shuts down. */
#define NEW_LINK_MS ((clk_ms)6000)

struct gw_view
{
  struct gw *g;
  struct link *link;
  struct link_secret secret;
  uv_timer_t timer;
  bool up;
  bool view_received; /**< since the link is up */
  clk_ms view_at;     /**< when the last one was received */
  clk_ms link_up_at;
  clk_ms reported_at;
  clk_ms connect_at;
  struct net_addr http, peer;
  struct view_lists lists;
  struct view_config config;
};

/* ---- frames from the control process ---- */

static void
apply_shares (struct gw *g, const Lapis__View *v)
{
  for (size_t i = 0; i < v->n_shares; i++)
    {
      const Lapis__ShareGrant *s = v->shares[i];
      struct gw_share share = { .account = str_from (s->account),
                                .tokens_per_s = s->tokens_per_s,
                                .concurrency = s->concurrency,
                                .valid_ms = s->valid_ms };
      gw_callers_set_share (g->callers, &share);
    }
}

/** Counts dead nodes too, until they are removed from the view.  A node that
   is only partitioned continues to serve, and with a count that is too low the
    shares would add up to more than the limit. */
static size_t
count_gateways (const struct gw_view *v)
{
  size_t n = 0;

  for (size_t i = 0; i < v->lists.nnodes; i++)
    n += str_is (v->lists.nodes[i].region, v->g->set.region);
  return n ? n : 1;
}

/**
 * A server that continues to shut down is not reported as available in
 * between, as queued requests would be sent to it.  Its shutdown is reported
 * to the core with each view, as a new configuration may have added the server
 * again.
 */
static void
apply_lists (struct gw_view *v, const Lapis__View *view)
{
  struct gw_callers *callers = v->g->callers;
  struct view_lists old = v->lists, *l = &v->lists;

  view_lists_read (l, &old, v->g->cfg, view,
                   clk_now () - v->link_up_at < NEW_LINK_MS);
  for (size_t i = 0; i < old.nleaving; i++)
    if (!view_lists_is_leaving (l, old.shutting_down[i]))
      gw_callers_backend_shutdown (callers, old.shutting_down[i], false);
  for (size_t i = 0; i < l->nleaving; i++)
    gw_callers_backend_shutdown (callers, l->shutting_down[i], true);
  view_lists_free (&old);
}

static void
apply_view (struct gw_view *v, const Lapis__View *view)
{
  struct gw *g = v->g;

  v->view_received = true;
  v->view_at = clk_now ();
  view_config_view (&v->config, g, view);
  apply_lists (v, view);
  gw_probe_view_received (g->probe);
  gw_callers_nodes (g->callers, count_gateways (v));
  apply_shares (g, view);
  gw_claims_nodes (g->claims);
  gw_slots_check (g->slots);
  gw_set_draining (g, view->leaving);
}

static void
answer_trace (struct gw_view *v, struct link *l, const Lapis__TraceAsk *ask)
{
  Lapis__TraceAnswer answer = LAPIS__TRACE_ANSWER__INIT;
  Lapis__Frame frame = LAPIS__FRAME__INIT;
  struct buf json = BUF_INIT;

  if (ask->trace.len != 16)
    return;
  trc_ring_json (v->g->spans, ask->trace.data, str_from (v->g->set.node),
                 &json);
  answer.id = ask->id;
  answer.json.data = (uint8_t *)json.ptr;
  answer.json.len = json.len;
  frame.body_case = LAPIS__FRAME__BODY_TRACE_ANSWER;
  frame.trace_answer = &answer;
  link_send (l, &frame);
  buf_free (&json);
}

static void
on_frame (void *ctx, struct link *l, const Lapis__Frame *frame)
{
  struct gw_view *v = ctx;

  if (frame->body_case == LAPIS__FRAME__BODY_VIEW)
    apply_view (v, frame->view);
  else if (frame->body_case == LAPIS__FRAME__BODY_CONFIG_CHUNK)
    view_config_chunk (&v->config, v->g, frame->config_chunk);
  else if (frame->body_case == LAPIS__FRAME__BODY_TRACE_ASK)
    answer_trace (v, l, frame->trace_ask);
}

/* ---- frames to the control process ---- */

static void
send_hello (struct gw_view *v)
{
  Lapis__Hello hello = LAPIS__HELLO__INIT;
  Lapis__Frame frame = LAPIS__FRAME__INIT;
  struct buf http = BUF_INIT, peer = BUF_INIT;

  net_addr_format (&v->http, &http);
  net_addr_format (&v->peer, &peer);
  hello.node = v->g->set.node;
  hello.boot = v->g->boot;
  hello.role = (char *)"gateway";
  hello.zone = v->g->set.zone;
  hello.region = v->g->set.region;
  hello.http_addr = (char *)buf_c (&http);
  hello.peer_addr = (char *)buf_c (&peer);
  frame.body_case = LAPIS__FRAME__BODY_HELLO;
  frame.hello = &hello;
  link_send (v->link, &frame);
  buf_free (&http);
  buf_free (&peer);
}

static void
fill_demand (struct gw_view *v, Lapis__Report *r)
{
  size_t n;
  const struct rt_demand *d
      = rt_demands (gw_callers_core (v->g->callers), clk_now (), &n);

  r->demand = xcalloc (n + 1, sizeof *r->demand);
  for (size_t i = 0; i < n; i++)
    {
      Lapis__ShareDemand *s = xcalloc (1, sizeof *s);
      lapis__share_demand__init (s);
      s->account = str_dup (d[i].account);
      s->tokens_per_s = d[i].tokens_per_s;
      s->concurrency = d[i].concurrency;
      r->demand[r->n_demand++] = s;
    }
}

static void
fill_observed (struct gw_view *v, Lapis__Report *r)
{
  size_t n;
  const struct rt_server_stats *t
      = rt_get_server_stats (gw_callers_core (v->g->callers), &n);

  r->observed = xcalloc (n + 1, sizeof *r->observed);
  for (size_t i = 0; i < n; i++)
    {
      Lapis__ReplicaObserved *o = xcalloc (1, sizeof *o);
      lapis__replica_observed__init (o);
      o->replica = str_dup (t[i].name);
      o->in_flight = t[i].in_flight;
      o->errors = (uint32_t)t[i].failed;
      r->observed[r->n_observed++] = o;
    }
}

static void
report_free (Lapis__Report *r)
{
  for (size_t i = 0; i < r->n_demand; i++)
    {
      free (r->demand[i]->account);
      free (r->demand[i]);
    }
  for (size_t i = 0; i < r->n_observed; i++)
    {
      free (r->observed[i]->replica);
      free (r->observed[i]);
    }
  free (r->demand);
  free (r->observed);
}

static void
send_report (struct gw_view *v)
{
  Lapis__Report r = LAPIS__REPORT__INIT;
  Lapis__Frame frame = LAPIS__FRAME__INIT;

  r.boot = v->g->boot;
  r.open_requests = (uint32_t)gw_callers_open (v->g->callers);
  r.config_revision = v->g->cfg ? (uint64_t)v->g->cfg->revision : 0;
  r.leaving = v->g->leaving;
  fill_demand (v, &r);
  fill_observed (v, &r);
  frame.body_case = LAPIS__FRAME__BODY_REPORT;
  frame.report = &r;
  link_send (v->link, &frame);
  report_free (&r);
  v->reported_at = clk_now ();
}

void
gw_view_report (struct gw_view *v)
{
  if (v->up)
    send_report (v);
}

/* ---- the link ---- */

static void
on_state (void *ctx, struct link *l, enum link_state state)
{
  struct gw_view *v = ctx;

  if (l != v->link)
    return;
  v->up = state == LINK_UP;
  v->view_received = false;
  view_config_clear (&v->config);
  if (state == LINK_UP)
    {
      v->link_up_at = clk_now ();
      LOG (control_linked, LOG_C ("node", v->g->set.node));
      send_hello (v);
      send_report (v);
    }
  else if (state == LINK_DOWN)
    {
      v->link = NULL;
      v->connect_at = clk_now () + RECONNECT_MS;
    }
}

static const struct link_callbacks callbacks = { on_state, on_frame };

static void
close_silent_link (struct gw_view *v)
{
  LOG (control_silent, LOG_I ("ms", link_idle_ms (v->link)));
  link_close (v->link);
  v->link = NULL;
  v->up = false;
  v->view_received = false;
  v->connect_at = 0;
}

static void
on_tick (uv_timer_t *t)
{
  struct gw_view *v = t->data;
  clk_ms now = clk_now ();

  /* The connection may be dead although it is open: replace it. */
  if (v->up && link_idle_ms (v->link) > SILENCE_MS)
    close_silent_link (v);
  if (v->link == NULL && now >= v->connect_at)
    v->link = link_connect (v->g->loop, &v->g->set.control_peer, &v->secret,
                            &callbacks, v);
  if (v->up && now - v->reported_at >= REPORT_MS)
    send_report (v);
  gw_probe_tick (v->g->probe,
                 !v->view_received || now - v->view_at > VIEW_LATE_MS);
}

/* ---- startup and shutdown ---- */

struct gw_view *
gw_view_start (struct gw *g, struct buf *err)
{
  struct gw_view *v = xcalloc (1, sizeof *v);

  (void)err;
  v->g = g;
  memcpy (v->secret.key, g->set.secret, sizeof v->secret.key);
  uv_timer_init (g->loop, &v->timer);
  v->timer.data = v;
  return v;
}

void
gw_view_connect (struct gw_view *v, const struct net_addr *http,
                 const struct net_addr *peer)
{
  v->http = *http;
  v->peer = *peer;
  uv_timer_start (&v->timer, on_tick, 0, TICK_MS);
}

bool
gw_view_is_recent (const struct gw_view *v)
{
  return v == NULL || v->view_at == 0 || clk_now () - v->view_at < SILENCE_MS;
}

const struct gw_node *
gw_view_nodes (const struct gw_view *v, size_t *n)
{
  *n = v->lists.nnodes;
  return v->lists.nodes;
}

const struct rt_replica *
gw_view_replicas (const struct gw_view *v, size_t *n)
{
  *n = v->lists.nreplicas;
  return v->lists.replicas;
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct gw_view *v = h->data;

  view_lists_free (&v->lists);
  view_config_clear (&v->config);
  free (v);
}

void
gw_view_stop (struct gw_view *v)
{
  if (v->link != NULL)
    link_close (v->link);
  uv_close ((uv_handle_t *)&v->timer, on_timer_closed);
}
