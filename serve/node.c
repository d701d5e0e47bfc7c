#include "serve/node-int.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "lapisline.h"

#define TICK_MS 10
/** A tick that is later than this shows that the process was suspended or got
    no CPU time. */
#define PAUSE_THRESHOLD_MS ((clk_ms)500)

/** Log rate limit per event, in lines per second.  It is above the normal rate
    of any event.  At 15 us per line, 60 lines take less than a hundredth of a
    core. */
#define LOG_LINES_PER_S 60

/** Interval at which denied retries are logged. */
#define DENIED_RETRIES_LOG_MS CLK_SECOND

/** New requests are accepted for this long after SIGTERM, until clients have
    received addresses without this node. */
#define SHUTDOWN_ACCEPT_MS ((clk_ms)3000)
/** Part of the grace period that is reserved for a clean exit before
    SIGKILL. */
#define SHUTDOWN_MARGIN_MS ((clk_ms)400)

bool
srv_is_ready (const struct srv *s)
{
  return s->active_config && bks_has_list (s->backends) && !s->stopping_since;
}

/** Log the number of accepting endpoints of each model or service if it has
    changed. */
static void
log_endpoints (struct srv *s, const struct dsp_endpoint *list, size_t n)
{
  struct buf text = BUF_INIT;

  for (size_t i = 0; i < n; i++)
    {
      struct str name = list[i].model.len ? list[i].model : list[i].service;
      size_t accepting_count = 0;
      bool first = true;
      for (size_t k = 0; k < n; k++)
        {
          struct str other
              = list[k].model.len ? list[k].model : list[k].service;
          if (!str_eq (name, other))
            continue;
          first = first && k >= i;
          accepting_count += list[k].accepting;
        }
      if (first)
        buf_addf (&text, "%s%.*s=%zu", text.len ? " " : "", STR_ARG (name),
                  accepting_count);
    }
  if (!str_eq (buf_str (&text), buf_str (&s->logged_endpoints)))
    LOG (servers_changed, LOG_S ("places", buf_str (&text)),
         LOG_I ("version", bks_version (s->backends)));
  buf_clear (&s->logged_endpoints);
  buf_add (&s->logged_endpoints, buf_str (&text));
  buf_free (&text);
}

void
srv_endpoints_changed (struct srv *s)
{
  size_t n;

  if (!s->active_config || !bks_has_list (s->backends))
    return;
  srv_cold_list_changed (s);
  const struct dsp_endpoint *list
      = bks_endpoints (s->backends, s->active_config, s->evacuations, &n);
  log_endpoints (s, list, n);
  dsp_set_endpoints (s->dispatch, clk_now (), list, n);
  srv_run_actions (s);
}

void
srv_evacuation_ended (struct srv *s, struct str zone)
{
  LOG (evacuation_ended, LOG_S ("zone", zone),
       LOG_I ("revision", evc_state (s->evacuations).revision),
       LOG_S ("source", srv_evacuation_source (s)),
       LOG_I ("servers", bks_count_in_zone (s->backends, zone)));
  srv_zone_may_be_cold (s, zone);
}

/* --- shutdown ----------------------------------------------------------- */

static void
begin_shutdown (struct srv *s)
{
  if (s->stopping_since)
    return;
  s->stopping_since = clk_now ();
  LOG (serve_leaving, LOG_I ("open", dsp_count_open (s->dispatch)));
  srv_register_revoke (s);
}

/** Refuse new requests SHUTDOWN_ACCEPT_MS after SIGTERM; stop the event loop
    just before the grace period ends. */
static void
tick_shutdown (struct srv *s, clk_ms now)
{
  clk_ms elapsed = now - s->stopping_since;

  if (elapsed < SHUTDOWN_ACCEPT_MS)
    return;
  dsp_stop_accepting (s->dispatch);
  if (elapsed > s->settings.grace_ms - SHUTDOWN_MARGIN_MS)
    uv_stop (&s->loop);
}

static void
on_term (uv_signal_t *h, int signum)
{
  (void)signum;
  begin_shutdown (h->data);
}

static void
on_hangup (uv_signal_t *h, int signum)
{
  struct srv *s = h->data;
  struct srv_settings settings_read = { 0 };
  struct fnd_list findings = { 0 };
  struct buf text = BUF_INIT;

  (void)signum;
  if (s->adapter->read_settings (s->settings_path, &settings_read, &findings))
    LOG (serve_reloaded, LOG_S ("settings", str_from (s->settings_path)));
  else
    {
      fnd_print (&findings, &text);
      LOG (serve_settings_bad, LOG_S ("findings", buf_str (&text)));
    }
  arena_free (&settings_read.text);
  fnd_free (&findings);
  buf_free (&text);
}

/* --- ticks -------------------------------------------------------------- */

/** This process has resumed after a pause.  Messages that arrived in the
    meantime are still in the socket buffers. */
static void
handle_resume (struct srv *s, clk_ms now, clk_ms ms)
{
  LOG (serve_paused, LOG_I ("ms", ms));
  srv_peers_resumed (s, now, ms);
  srv_leader_resumed (s, now, ms);
  lim_resumed (s->limits, now);
  psn_resumed (s->poison, now);
  srv_config_resumed (s, now);
  srv_sync_resumed (s, now);
}

void
srv_check_pause (struct srv *s, clk_ms now)
{
  clk_ms ms = now - s->last_tick_at;

  if (s->last_tick_at == 0 || ms <= PAUSE_THRESHOLD_MS)
    return;
  s->last_tick_at = now;
  handle_resume (s, now, ms);
}

/** Log the services whose retry budget has denied retries since the last
    call. */
static void
log_denied_retries (struct srv *s, clk_ms now)
{
  struct dsp_denied_retries b;
  char limit[32];

  if (now < s->next_denied_log_at)
    return;
  s->next_denied_log_at = now + DENIED_RETRIES_LOG_MS;
  while (dsp_next_denied_retries (s->dispatch, &b))
    {
      snprintf (limit, sizeof limit, "%.1f", b.limit);
      LOG (retries_denied, LOG_S ("service", b.service),
           LOG_I ("denied", b.denied), LOG_I ("requests", b.requests),
           LOG_I ("retries", b.retries), LOG_C ("limit", limit),
           LOG_I ("nodes", b.nodes));
    }
}

static void
log_path_changes (struct srv *s)
{
  struct dsp_path_change c;

  while (dsp_next_path_change (s->dispatch, &c))
    if (c.state == DSP_PATH_OK)
      LOG (servers_reached, LOG_S ("service", c.service));
    else
      LOG (servers_unreachable, LOG_S ("service", c.service),
           LOG_C ("paths", dsp_path_name (c.state)));
}

static void
on_tick (uv_timer_t *t)
{
  struct srv *s = t->data;
  clk_ms now = clk_now ();

  srv_check_pause (s, now);
  s->last_tick_at = now;
  if (now >= dsp_next_tick (s->dispatch))
    {
      dsp_tick (s->dispatch, now);
      srv_run_actions (s);
    }
  log_denied_retries (s, now);
  log_path_changes (s);
  srv_config_tick (s, now);
  srv_evacuation_tick (s, now);
  srv_ingress_tick (s, now);
  srv_sync_tick (s, now);
  srv_cold_tick (s, now);
  srv_register_tick (s, now);
  srv_leader_tick (s, now);
  srv_peers_tick (s, now);
  srv_poison_tick (s, now);
  if (s->stopping_since)
    tick_shutdown (s, now);
}

/* --- start and run ------------------------------------------------------ */

static void
start_cores (struct srv *s)
{
  struct dsp_options opt = { .zone = s->settings.zone,
                             .retry_ratio = s->settings.retry_ratio,
                             .retry_slack = s->settings.retry_slack,
                             .retry_window_ms = s->settings.retry_window_ms,
                             .stall_ms = s->settings.stall_ms };

  if (!s->settings.first_start)
    opt.earlier_retries_until = clk_now () + s->settings.retry_window_ms;
  s->poison = opt.poison = psn_new ();
  s->limits = opt.limits = lim_new (str_hash (s->settings.node, s->boot));
  s->avail = opt.avail = avl_new ();
  srv_evacuation_start (s);
  opt.evacuations = s->evacuations;
  srv_metrics_start (s);
  s->backends = bks_new ();
  s->dispatch = dsp_new (&opt, rng_next (&s->rng));
  srv_cold_start (s);
}

static void
start_signal (struct srv *s, uv_signal_t *h, uv_signal_cb cb, int signum)
{
  uv_signal_init (&s->loop, h);
  h->data = s;
  uv_signal_start (h, cb, signum);
}

static bool
start (struct srv *s, struct buf *err)
{
  start_signal (s, &s->term, on_term, SIGTERM);
  start_signal (s, &s->interrupt, on_term, SIGINT);
  start_signal (s, &s->hangup, on_hangup, SIGHUP);
  start_cores (s);
  if (!srv_ingress_start (s, err) || !srv_address_start (s, err))
    return false;
  s->http = httpc_new (&s->loop);
  s->store = s->adapter->open_store (&s->loop, s->http, &s->settings);
  srv_leader_start (s);
  srv_config_start (s);
  srv_sync_start (s);
  srv_poison_store_start (s);
  srv_mix_start (s);
  srv_register_start (s);
  uv_timer_init (&s->loop, &s->tick);
  s->tick.data = s;
  uv_timer_start (&s->tick, on_tick, TICK_MS, TICK_MS);
  return true;
}

static bool
read_settings (struct srv *s)
{
  struct fnd_list findings = { 0 };
  struct buf text = BUF_INIT;
  bool ok
      = s->adapter->read_settings (s->settings_path, &s->settings, &findings);

  fnd_print (&findings, &text);
  fputs (buf_c (&text), stderr);
  buf_free (&text);
  fnd_free (&findings);
  return ok;
}

int
srv_run (const struct srv_options *opt)
{
  struct srv *s = xcalloc (1, sizeof *s);
  struct buf err = BUF_INIT;
  int code = EXIT_INPUT;

  signal (SIGHUP, SIG_IGN); /* the default action would terminate the process
                               until a handler is installed */
  s->adapter = opt->adapter;
  s->settings_path = opt->settings;
  rng_seed (&s->rng, rng_entropy ());
  s->boot = (uint64_t)clk_wall ();
  if (!read_settings (s))
    goto done;
  log_setup (opt->log_format, opt->log_level, s->settings.node);
  log_output (STDOUT_FILENO, LOG_LINES_PER_S);
  uv_loop_init (&s->loop);
  code = EXIT_FAILED;
  if (!start (s, &err))
    {
      fprintf (stderr, "lapisline serve: %s\n", buf_c (&err));
      goto done;
    }
  LOG (serve_started, LOG_S ("zone", s->settings.zone),
       LOG_I ("boot", s->boot));
  uv_run (&s->loop, UV_RUN_DEFAULT);
  LOG (serve_stopped, LOG_I ("open", dsp_count_open (s->dispatch)));
  code = EXIT_DONE;
done:
  /* After the start, sockets and timers are left to the kernel to release. */
  buf_free (&err);
  if (code == EXIT_INPUT)
    {
      arena_free (&s->settings.text);
      free (s);
    }
  return code;
}
