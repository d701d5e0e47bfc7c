#include "control/control.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "store/etcd.h"

#define STORE_TIMEOUT_MS (2 * CLK_SECOND)

/* Interval at which a leaving process checks whether it can exit. */
#define LEAVE_CHECK_INTERVAL_MS ((clk_ms)100)

/*
 * Time for gossip to announce the leave and for the store call that releases
 * owned domains.  Without it the others would declare the node dead and wait
 * for its leases to expire.
 */
#define LEAVE_MIN_MS CLK_SECOND

#define MAX_SPANS 4096

/* Limit of loop iterations that wait for closing handles. */
#define MAX_CLOSE_ITERATIONS 1000

struct process
{
  struct ctl ctl; /* must be first: see process_of() */
  uv_loop_t loop;
  uv_signal_t sigterm;
  uv_signal_t sigint;
  uv_timer_t leave_check;
  clk_ms leave_started_at;
  bool finished;
};

static struct process *
process_of (struct ctl *c)
{
  return (struct process *)c;
}

void
ctl_config_changed (struct ctl *c, struct cfg *cfg, struct str text)
{
  struct cfg *old = c->cfg;
  c->cfg = cfg_ref (cfg);
  if (c->domains)
    ctl_domains_on_config (c->domains);
  if (c->views)
    ctl_views_on_config (c->views);
  if (old)
    cfg_unref (old);
}

void
ctl_member_changed (struct ctl *c, const struct mbr_node *node)
{
  if (c->peers)
    ctl_peers_on_member_changed (c->peers, node);
  if (c->spread)
    ctl_spread_on_members_changed (c->spread);
  if (c->domains)
    ctl_domains_on_members_changed (c->domains);
  if (c->views)
    ctl_views_schedule (c->views);
}

void
ctl_evidence_changed (struct ctl *c)
{
  if (c->views)
    ctl_views_schedule (c->views);
}

/* In reverse order of the start.  Pointers are cleared because modules still
   running may notify the others. */
static void
stop_modules (struct ctl *c)
{
#define STOP(name)                                                            \
  do                                                                          \
    {                                                                         \
      if (c->name)                                                            \
        ctl_##name##_stop (c->name);                                          \
      c->name = NULL;                                                         \
    }                                                                         \
  while (0)
  STOP (admin);
  STOP (views);
  STOP (shares);
  STOP (domains);
  STOP (spread);
  STOP (peers);
  STOP (swim);
#undef STOP
}

static void
finish (struct process *p)
{
  if (p->finished)
    return;
  p->finished = true;
  stop_modules (&p->ctl);
  uv_close ((uv_handle_t *)&p->sigterm, NULL);
  uv_close ((uv_handle_t *)&p->sigint, NULL);
  uv_close ((uv_handle_t *)&p->leave_check, NULL);
}

/*
 * Clients use an address response until it expires, and until then the gateway
 * serves them and keeps its link open.  The process exits once that link is
 * closed or the last address response that names this node has expired.
 */
static void
on_leave_check (uv_timer_t *t)
{
  struct process *p = t->data;
  clk_ms elapsed = clk_now () - p->leave_started_at;
  bool linked = ctl_views_linked (p->ctl.views);
  if (elapsed < LEAVE_MIN_MS
      || (linked && elapsed < cfg_leave_ms (p->ctl.cfg)))
    return;
  if (linked)
    LOG (gateway_still_linked, LOG_I ("after_ms", elapsed));
  finish (p);
}

void
ctl_leave (struct ctl *c)
{
  struct process *p = process_of (c);
  if (c->leaving)
    return;
  c->leaving = true;
  p->leave_started_at = clk_now ();
  LOG (process_stopping, LOG_I ("boot", c->boot));
  ctl_swim_leave (c->swim);
  ctl_domains_on_members_changed (c->domains);
  ctl_views_schedule (c->views);
  uv_timer_start (&p->leave_check, on_leave_check, LEAVE_CHECK_INTERVAL_MS,
                  LEAVE_CHECK_INTERVAL_MS);
}

static void
on_signal (uv_signal_t *h, int signum)
{
  ctl_leave (h->data);
}

static bool
start_modules (struct ctl *c, struct buf *err)
{
  return (c->swim = ctl_swim_start (c, err)) != NULL
         && (c->peers = ctl_peers_start (c, err)) != NULL
         && (c->spread = ctl_spread_start (c, err)) != NULL
         && (c->domains = ctl_domains_start (c, err)) != NULL
         && (c->shares = ctl_shares_start (c, err)) != NULL
         && (c->views = ctl_views_start (c, err)) != NULL
         && (c->admin = ctl_admin_start (c, err)) != NULL;
}

static void
print_ready (const struct ctl *c)
{
  const struct settings *s = &c->set;
  printf ("ready control swim=%s:%u peer=%s:%u admin=%s:%u\n",
          s->control_swim.host, ctl_swim_port (c->swim), s->control_peer.host,
          ctl_peers_port (c->peers), s->control_admin.host,
          ctl_admin_port (c->admin));
  fflush (stdout);
}

static void
init_process (struct process *p, struct settings *set)
{
  struct ctl *c = &p->ctl;
  struct etcd_options store
      = { .endpoints = c->set.endpoints, .call_ms = STORE_TIMEOUT_MS };
  struct store_budget budget
      = { .writes = settings_writes (set, SETTINGS_CONTROL_WRITES),
          .reads = set->store_reads };
  c->set = *set;
  store.nendpoints = c->set.nendpoints;
  c->loop = &p->loop;
  c->boot = (uint64_t)clk_wall ();
  rng_seed (&c->rng, rng_entropy ());
  uv_loop_init (&p->loop);
  c->http = httpc_new (c->loop);
  c->store = etcd_store_new (c->loop, c->http, &store, &budget);
  c->met = met_new ();
  c->spans = trc_ring_new (MAX_SPANS);
  uv_signal_init (c->loop, &p->sigterm);
  uv_signal_init (c->loop, &p->sigint);
  uv_timer_init (c->loop, &p->leave_check);
  p->sigterm.data = p->sigint.data = c;
  p->leave_check.data = p;
}

static void
free_process (struct process *p)
{
  struct ctl *c = &p->ctl;
  store_free (c->store);
  httpc_free (c->http);
  for (int i = 0; i < MAX_CLOSE_ITERATIONS && uv_loop_alive (&p->loop); i++)
    uv_run (&p->loop, UV_RUN_NOWAIT);
  uv_loop_close (&p->loop);
  if (c->cfg)
    cfg_unref (c->cfg);
  met_free (c->met);
  trc_ring_free (c->spans);
  settings_free (&c->set);
  free (p);
}

bool
ctl_run (struct settings *set, struct buf *err)
{
  struct process *p = xcalloc (1, sizeof *p);
  signal (SIGPIPE, SIG_IGN);
  init_process (p, set);
  bool started = start_modules (&p->ctl, err);
  if (started)
    {
      uv_signal_start (&p->sigterm, on_signal, SIGTERM);
      uv_signal_start (&p->sigint, on_signal, SIGINT);
      LOG (process_started, LOG_I ("boot", p->ctl.boot));
      print_ready (&p->ctl);
      /* uv_stop() doesn't work here: closing a server makes h2o run the loop
         once more, which resets the stop flag, and uv_run() would then never
         return. */
      while (!p->finished)
        uv_run (&p->loop, UV_RUN_ONCE);
      LOG (process_stopped, LOG_I ("boot", p->ctl.boot));
    }
  finish (p);
  free_process (p);
  return started;
}
