#include "front/gateway.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/folder.h"
#include "front/poison.h"
#include "lapisline.h"
#include "store/etcd.h"

/** Size of the ring of trace spans: some minutes of a busy node, 10 MB. */
#define MAX_SPANS 65536

/** Timeout of one store call. */
#define STORE_MS (2 * CLK_SECOND)

#define STOP_TICK_MS ((clk_ms)50)

/** Time without open requests before the process exits: finished claims may
    still be in transit to their home. */
#define LINGER_MS ((clk_ms)300)

struct process
{
  struct gw g; /**< first field: gw_set_draining() casts it to the process */
  uv_loop_t loop;
  uv_signal_t term, interrupt;
  uv_timer_t timer;
  bool stopping;
  bool refusing;
  clk_ms refuse_at;
  clk_ms idle_since; /**< 0: requests are open */
};

/* ---- draining and shutdown ---- */

/**
 * Responses to GET /v1/address that name this node are valid for a limited
 * time.  New requests are accepted until the last of these has expired;
 * otherwise callers that use a valid address would be refused.
 */
static void
begin_drain (struct process *p)
{
  if (p->g.leaving)
    return;
  p->g.leaving = true;
  p->refuse_at = clk_now () + cfg_leave_ms (p->g.cfg);
  if (p->g.view != NULL)
    gw_view_report (p->g.view);
}

static void
begin_refusing (struct process *p)
{
  p->refusing = true;
  gw_callers_refuse (p->g.callers, true);
}

static bool
idle_long_enough (struct process *p, clk_ms now)
{
  if (gw_callers_open (p->g.callers) > 0)
    p->idle_since = 0;
  else if (p->idle_since == 0)
    p->idle_since = now;
  return p->idle_since != 0 && now - p->idle_since >= LINGER_MS;
}

static void
on_stop_tick (uv_timer_t *t)
{
  struct process *p = t->data;
  clk_ms now = clk_now ();

  if (!p->g.leaving || now < p->refuse_at)
    return;
  if (!p->refusing)
    begin_refusing (p);
  if (!p->stopping)
    return;
  gw_callers_close_port (p->g.callers);
  if (idle_long_enough (p, now))
    uv_stop (&p->loop);
}

void
gw_set_draining (struct gw *g, bool leaving)
{
  struct process *p = (struct process *)g;

  if (leaving)
    begin_drain (p);
  else if (g->leaving && !p->stopping)
    {
      g->leaving = false;
      p->refusing = false;
      gw_callers_refuse (g->callers, false);
    }
}

/** A second signal has no effect, so no open request is aborted. */
static void
on_signal (uv_signal_t *s, int number)
{
  struct process *p = s->data;

  (void)number;
  if (p->stopping)
    return;
  p->stopping = true;
  LOG (process_stopping, LOG_C ("process", "gateway"));
  begin_drain (p);
}

/* ---- configuration ---- */

void
gw_config_changed (struct gw *g, struct cfg *cfg)
{
  struct cfg *old = g->cfg;

  g->cfg = cfg;
  gw_callers_config (g->callers);
  gw_probe_config_changed (g->probe);
  gw_slots_check (g->slots);
  cfg_unref (old);
  LOG (config_in_force, LOG_I ("revision", cfg->revision));
}

static void
print_findings (const struct fnd_list *l)
{
  struct buf text = BUF_INIT;

  fnd_print (l, &text);
  fputs (buf_c (&text), stderr);
  buf_free (&text);
}

/** Load the configuration from a folder, to evaluate the gateway without a
    control process. */
static bool
load_folder (struct gw *g, const char *path)
{
  struct fnd_list findings = { 0 };
  struct cfg_folder folder = { 0 };
  struct buf merged = BUF_INIT;
  struct cfg *cfg = NULL;

  cfg_folder_read (path, &folder, &findings);
  cfg = cfg_folder_check (&folder, &merged, &findings);
  print_findings (&findings);
  fnd_free (&findings);
  cfg_folder_free (&folder);
  buf_free (&merged);
  if (cfg != NULL)
    gw_config_changed (g, cfg);
  return cfg != NULL;
}

/* ---- startup and shutdown ---- */

static struct store *
open_store (struct gw *g)
{
  struct etcd_options opt = { .endpoints = g->set.endpoints,
                              .nendpoints = g->set.nendpoints,
                              .call_ms = STORE_MS };
  struct store_budget budget
      = { settings_writes (&g->set, SETTINGS_GATEWAY_WRITES),
          g->set.store_reads };

  return etcd_store_new (g->loop, g->http, &opt, &budget);
}

static bool
start_modules (struct gw *g, bool with_control, struct buf *err)
{
  g->http = httpc_new (g->loop);
  g->store = open_store (g);
  g->met = met_new ();
  g->spans = trc_ring_new (MAX_SPANS);
  g->probe = gw_probe_start (g);
  g->poison = gw_poison_start (g);
  g->callers = gw_callers_start (g, err);
  if (g->callers == NULL)
    return false;
  g->claims = gw_claims_start (g, err);
  if (g->claims == NULL)
    return false;
  g->slots = gw_slots_start (g);
  if (with_control)
    g->view = gw_view_start (g, err);
  return !with_control || g->view != NULL;
}

static void
print_ready (struct gw *g)
{
  struct net_addr http = g->set.gateway_http, peer = g->set.gateway_peer;
  struct buf a = BUF_INIT, b = BUF_INIT;

  http.port = gw_callers_port (g->callers);
  peer.port = gw_claims_port (g->claims);
  net_addr_format (&http, &a);
  net_addr_format (&peer, &b);
  printf ("ready gateway http=%s peer=%s\n", buf_c (&a), buf_c (&b));
  fflush (stdout);
  if (g->view != NULL)
    gw_view_connect (g->view, &http, &peer);
  else
    gw_probe_tick (g->probe, true);
  buf_free (&a);
  buf_free (&b);
}

static void
start_handles (struct process *p)
{
  uv_signal_init (&p->loop, &p->term);
  uv_signal_init (&p->loop, &p->interrupt);
  p->term.data = p;
  p->interrupt.data = p;
  uv_signal_start (&p->term, on_signal, SIGTERM);
  uv_signal_start (&p->interrupt, on_signal, SIGINT);
  uv_timer_init (&p->loop, &p->timer);
  p->timer.data = p;
  uv_timer_start (&p->timer, on_stop_tick, STOP_TICK_MS, STOP_TICK_MS);
}

static int
serve (struct process *p, const struct gw_options *opt)
{
  struct buf err = BUF_INIT;
  int code = EXIT_FAILED;

  if (!start_modules (&p->g, opt->config == NULL, &err))
    {
      fprintf (stderr, "lapisline gateway: %s\n", buf_c (&err));
      goto done;
    }
  if (opt->config != NULL && !load_folder (&p->g, opt->config))
    {
      code = EXIT_INPUT;
      goto done;
    }
  start_handles (p);
  LOG (process_started, LOG_C ("process", "gateway"));
  print_ready (&p->g);
  uv_run (&p->loop, UV_RUN_DEFAULT);
  LOG (process_stopped, LOG_C ("process", "gateway"));
  code = EXIT_DONE;
done:
  buf_free (&err);
  return code;
}

int
gw_run (const struct gw_options *opt)
{
  struct process *p = xcalloc (1, sizeof *p);
  struct fnd_list findings = { 0 };
  unsigned need
      = SETTINGS_NEED_GATEWAY | (opt->config ? 0 : SETTINGS_NEED_CONTROL);
  bool read = settings_read (opt->settings, need, &p->g.set, &findings);

  print_findings (&findings);
  fnd_free (&findings);
  if (!read)
    {
      free (p);
      return EXIT_INPUT;
    }
  log_setup (p->g.set.log_format, p->g.set.log_level,
             str_from (p->g.set.node));
  uv_loop_init (&p->loop);
  p->g.loop = &p->loop;
  p->g.record = opt->record;
  p->g.boot = (uint64_t)clk_wall ();
  rng_seed (&p->g.rng, rng_entropy ());
  /* The process exits afterwards, which releases memory and sockets. */
  return serve (p, opt);
}
