#include "t/lib-dispatch.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve/dispatch.h"

#define MAX_ENDPOINTS 32

struct fixture
{
  struct dsp *d;
  struct psn *poison;
  struct lim *limits;
  struct avl *avail;
  struct evc *evacuations;
  int64_t revision; /* of `evacuations` */
  struct tbl *config;
  clk_ms now;
  struct dsp_endpoint endpoints[MAX_ENDPOINTS];
  char names[MAX_ENDPOINTS][16];
  char zones[MAX_ENDPOINTS][16];
  bool unlisted[MAX_ENDPOINTS];
  size_t n;
  unsigned attempt[100];
  bool show_delays;
  bool submit_proxied;
  struct buf log;
};

static struct tbl *
make_config (void)
{
  struct tbl *t = tbl_new ();
  struct tbl_service *s = arena_alloc (&t->arena, 2, sizeof *s);
  struct tbl_route *r = arena_alloc (&t->arena, 8, sizeof *r);
  struct tbl_target *to = arena_alloc (&t->arena, 2, sizeof *to);

  s[0].name = STR ("lm");
  s[1].name = STR ("app");
  to[0] = (struct tbl_target){ &s[0], 1 };
  to[1] = (struct tbl_target){ &s[1], 1 };
  r[0] = (struct tbl_route){ .name = STR ("stream"),
                             .prefix = STR ("/a/"),
                             .kind = TBL_STREAM,
                             .resumable = true,
                             .latency_goal_ms = 400,
                             .max_attempts = 2,
                             .targets = &to[0],
                             .ntargets = 1 };
  r[1] = (struct tbl_route){ .name = STR ("once"),
                             .prefix = STR ("/b/"),
                             .kind = TBL_AT_MOST_ONCE,
                             .latency_goal_ms = 200,
                             .max_attempts = 2,
                             .targets = &to[1],
                             .ntargets = 1 };
  r[2] = (struct tbl_route){ .name = STR ("safe"),
                             .prefix = STR ("/c/"),
                             .kind = TBL_IDEMPOTENT,
                             .latency_goal_ms = 200,
                             .max_attempts = 2,
                             .targets = &to[1],
                             .ntargets = 1 };
  r[3] = r[0];
  r[3].name = STR ("stream3");
  r[4] = r[2];
  r[4].name = STR ("safe3");
  r[3].max_attempts = r[4].max_attempts = 3;
  r[5] = r[0];
  r[5].name = STR ("tell");
  r[5].resumable = false;
  r[6] = r[0];
  r[6].name = STR ("stream1");
  r[7] = r[1];
  r[7].name = STR ("once1");
  r[6].max_attempts = r[7].max_attempts = 1;
  t->services = s;
  t->nservices = 2;
  t->routes = r;
  t->nroutes = 8;
  return t;
}

static const struct tbl_route *
find_route (const struct fixture *b, const char *name)
{
  for (size_t i = 0; i < b->config->nroutes; i++)
    if (str_is (b->config->routes[i].name, name))
      return &b->config->routes[i];
  cr_assert (false, "no route %s", name);
  return NULL;
}

/* --- actions ----------------------------------------------------------- */

static void
log_send (struct fixture *b, const struct dsp_action *a)
{
  b->attempt[a->id] = a->attempt;
  buf_addf (&b->log, "send %d %.*s%s", (int)a->id, STR_ARG (a->server),
            a->resume ? " resume" : "");
  if (a->priority != 1)
    buf_addf (&b->log, " p%u", a->priority);
  buf_add_char (&b->log, '\n');
}

static void
log_cancel (struct fixture *b, const struct dsp_action *a)
{
  buf_addf (&b->log, "cancel %d", (int)a->id);
  if (a->attempt != b->attempt[a->id])
    buf_addf (&b->log, ".%u", a->attempt);
  buf_add_char (&b->log, '\n');
}

static void
log_error (struct fixture *b, const struct dsp_action *a)
{
  buf_addf (&b->log, "error %d %s %d%s", (int)a->id, dsp_code_name (a->code),
            dsp_code_status (a->code), a->retry_after_ms ? " retry" : "");
  if (b->show_delays && a->retry_after_ms)
    buf_addf (&b->log, " %lld", (long long)a->retry_after_ms);
  buf_add_char (&b->log, '\n');
}

static void
take_actions (struct fixture *b)
{
  struct dsp_action a;

  while (dsp_next_action (b->d, &a))
    switch (a.kind)
      {
      case DSP_ACT_SEND:
        log_send (b, &a);
        break;
      case DSP_ACT_CANCEL:
        log_cancel (b, &a);
        break;
      case DSP_ACT_FORWARD:
        buf_addf (&b->log, "forward %d\n", (int)a.id);
        break;
      case DSP_ACT_COMPLETE:
        buf_addf (&b->log, "complete %d\n", (int)a.id);
        break;
      case DSP_ACT_RESPOND_ERROR:
        log_error (b, &a);
        break;
      case DSP_ACT_TRUNCATE:
        buf_addf (&b->log, "truncate %d %s\n", (int)a.id,
                  dsp_code_name (a.code));
        break;
      case DSP_ACT_RELEASE:
        break;
      case DSP_ACT_STALLED:
        buf_addf (&b->log, "stalled %.*s\n", STR_ARG (a.server));
        break;
      case DSP_ACT_CHECK_PROCESS:
        buf_addf (&b->log, "check %.*s\n", STR_ARG (a.server));
        break;
      }
}

/* --- script ------------------------------------------------------------ */

static void
add_endpoints (struct fixture *b, const char *service, int n,
               unsigned capacity, bool model)
{
  for (int i = 0; i < n; i++)
    {
      snprintf (b->names[b->n], sizeof b->names[0], "%s%d", service, i + 1);
      b->endpoints[b->n]
          = (struct dsp_endpoint){ .server = str_from (b->names[b->n]),
                                   .service = model ? STR ("lm") : STR ("app"),
                                   .model = model ? STR ("m") : STR_EMPTY,
                                   .zone = STR ("z"),
                                   .capacity = capacity,
                                   .accepting = true };
      b->n++;
    }
  dsp_set_endpoints (b->d, b->now, b->endpoints, b->n);
}

/** Adds nodes 10.0.0.1 to 10.0.0.N that may send requests on. */
static void
set_proxies (struct fixture *b, int n, bool reach_servers)
{
  struct dsp_proxy list[MAX_ENDPOINTS] = { 0 };

  for (int i = 0; i < n; i++)
    {
      snprintf (list[i].front.host, sizeof list[i].front.host, "10.0.0.%d",
                i + 1);
      list[i].front.port = 80;
      if (!reach_servers)
        {
          list[i].unreachable[0] = str_hash (STR ("lm"), 0);
          list[i].unreachable[1] = str_hash (STR ("app"), 0);
          list[i].nunreachable = 2;
        }
    }
  dsp_set_proxies (b->d, b->now, list, (size_t)n);
}

/** @param digest  see "submit" in lib-dispatch.h */
static void
submit (struct fixture *b, uint64_t id, const char *route, const char *digest,
        bool late, unsigned priority)
{
  const struct tbl_route *r = find_route (b, route);
  const char *letters = strchr (digest, '.');
  uint64_t parts[16];
  struct dsp_request q
      = { .id = id,
          .route = r,
          .config = b->config,
          .service = r->targets[0].service,
          .deadline = b->now + 2000,
          .waited_ms = late ? r->latency_goal_ms : 0,
          .digest = atoi (digest) ? (uint64_t)atoi (digest) : 1000 + id,
          .parts = parts,
          .priority = priority,
          .proxied = b->submit_proxied };

  for (letters = letters ? letters + 1 : ""; *letters; letters++)
    parts[q.nparts++] = (uint64_t)*letters;
  if (r->kind == TBL_STREAM)
    q.model = STR ("m");
  dsp_submit (b->d, b->now, &q);
}

static void
report_load (struct fixture *b, const char *server, unsigned n,
             unsigned streaming, clk_ms age)
{
  struct dsp_endpoint_load c
      = { .endpoint = dsp_endpoint_hash (str_from (server), 0, 0),
          .in_flight = n,
          .streaming = streaming,
          .last_event_at = b->now - age };

  dsp_set_peer_load (b->d, b->now, b->now - age, 7, &c, 1);
}

static void
report_ended (struct fixture *b, const char *server)
{
  struct dsp_endpoint_load c
      = { .endpoint = dsp_endpoint_hash (str_from (server), 0, 0),
          .last_event_at = b->now,
          .process_ended = true };

  dsp_set_peer_load (b->d, b->now, b->now, 8, &c, 1);
}

static void
finish_check (struct fixture *b, const char *server,
              enum dsp_liveness liveness)
{
  dsp_process_checked (b->d, b->now,
                       dsp_endpoint_hash (str_from (server), 0, 0), liveness);
}

/** Logs the servers that this node reports to others as ended. */
static void
log_ended (struct fixture *b)
{
  size_t n;
  const struct dsp_endpoint_load *own = dsp_own_load (b->d, &n);

  for (size_t i = 0; i < n; i++)
    for (size_t k = 0; own[i].process_ended && k < b->n; k++)
      if (dsp_endpoint_hash (str_from (b->names[k]), 0, 0) == own[i].endpoint)
        buf_addf (&b->log, "ended %s\n", b->names[k]);
}

static void
block (struct fixture *b, bool is_part, uint64_t id)
{
  psn_apply (b->poison, b->now,
             &(struct psn_update){ .kind = PSN_BLOCKED,
                                   .id = { is_part, id },
                                   .hold_ms = PSN_HOLD_MS });
  dsp_poison_blocked (b->d, b->now);
}

static void
set_limit (struct fixture *b, const char *server, const char *rate)
{
  struct lim_update update = { .limited = strcmp (rate, "none") != 0 };

  update.server = dsp_endpoint_hash (str_from (server), 0, 0);
  update.rate = atof (rate);
  lim_apply_update (b->limits, b->now, &update);
  dsp_permits_granted (b->d, b->now);
}

static void
set_cold (struct fixture *b, const char *server, clk_ms ms)
{
  lim_configure_cold (b->limits, b->now,
                      &(struct lim_cold_bound){ 26, 1.5, 5 });
  lim_set_cold (b->limits, b->now, dsp_endpoint_hash (str_from (server), 0, 0),
                26, b->now + ms);
}

static void
grant_permit (struct fixture *b, const char *server)
{
  uint64_t process = dsp_endpoint_hash (str_from (server), 0, 0);

  if (lim_is_cold (b->limits, process))
    lim_add_cold_permits (b->limits, b->now, process, 1,
                          lim_cold_left (b->limits, b->now, process));
  else
    lim_add_permits (b->limits, b->now, process, 1);
  dsp_permits_granted (b->d, b->now);
}

/** A response of the server carries this notice. */
static void
give_notice (struct fixture *b, const char *server, clk_ms pause_ms,
             bool leaving)
{
  struct avl_notice notice
      = { .leaving = leaving, .retry_after_ms = pause_ms };

  avl_on_notice (b->avail, b->now, dsp_endpoint_hash (str_from (server), 0, 0),
                 &notice);
}

/** Forms the replica anew: the same server leads its next generation. */
static void
form_again (struct fixture *b, const char *name)
{
  for (size_t i = 0; i < b->n; i++)
    if (strcmp (b->names[i], name) == 0)
      b->endpoints[i].generation++;
  dsp_set_endpoints (b->d, b->now, b->endpoints, b->n);
}

/** @param which  id of the request, and the number of its attempt if that is
    not the latest: "ID" or "ID.N" */
static void
response_event (struct fixture *b, const char *command, const char *which)
{
  uint64_t id = (uint64_t)atoi (which);
  const char *number = strchr (which, '.');
  unsigned at = number ? (unsigned)atoi (number + 1) : b->attempt[id];

  if (strcmp (command, "sent") == 0)
    dsp_request_sent (b->d, b->now, id, at);
  else if (strcmp (command, "connect-failed") == 0)
    dsp_connect_failed (b->d, b->now, id, at);
  else if (strcmp (command, "ok") == 0)
    dsp_response_head (b->d, b->now, id, at, DSP_RESPONSE_OK);
  else if (strcmp (command, "error") == 0)
    dsp_response_head (b->d, b->now, id, at, DSP_RESPONSE_ERROR);
  else if (strcmp (command, "final") == 0)
    dsp_response_head (b->d, b->now, id, at, DSP_RESPONSE_FINAL);
  else if (strcmp (command, "not-executed") == 0)
    dsp_response_head (b->d, b->now, id, at, DSP_RESPONSE_NOT_EXECUTED);
  else if (strcmp (command, "event") == 0)
    dsp_data_received (b->d, b->now, id, at, true);
  else if (strcmp (command, "bytes") == 0)
    dsp_data_received (b->d, b->now, id, at, false);
  else if (strcmp (command, "complete") == 0)
    dsp_response_complete (b->d, b->now, id, at);
  else if (strcmp (command, "closed") == 0)
    dsp_response_closed (b->d, b->now, id, at, false);
  else if (strcmp (command, "closed-empty") == 0)
    dsp_response_closed (b->d, b->now, id, at, true);
  else if (strcmp (command, "interrupted") == 0)
    dsp_response_interrupted (b->d, b->now, id, at);
  else if (strcmp (command, "client-gone") == 0)
    dsp_client_disconnected (b->d, b->now, id);
  else
    cr_assert (false, "unknown command: %s", command);
}

static void
run (struct fixture *b, int ms)
{
  for (int t = 0; t < ms; t += 20)
    {
      b->now += 20;
      psn_tick (b->poison, b->now);
      dsp_tick (b->d, b->now);
      take_actions (b);
    }
}

/** Simulates a suspension of the process: its first tick afterwards comes
    before the received data is read. */
static void
suspend (struct fixture *b, int ms)
{
  b->now += ms;
  dsp_tick (b->d, b->now);
  take_actions (b);
}

static void
run_with_events (struct fixture *b, int ms, uint64_t id)
{
  for (int t = 0; t < ms; t += 10)
    {
      b->now += 10;
      dsp_data_received (b->d, b->now, id, b->attempt[id], true);
      if (b->now >= dsp_next_tick (b->d))
        dsp_tick (b->d, b->now);
      take_actions (b);
    }
}

static void
close_endpoint (struct fixture *b, const char *name)
{
  for (size_t i = 0; i < b->n; i++)
    if (strcmp (b->names[i], name) == 0)
      b->endpoints[i].accepting = false;
  dsp_set_endpoints (b->d, b->now, b->endpoints, b->n);
}

static void
set_listed_endpoints (struct fixture *b)
{
  struct dsp_endpoint listed[MAX_ENDPOINTS];
  size_t n = 0;

  for (size_t i = 0; i < b->n; i++)
    if (!b->unlisted[i])
      listed[n++] = b->endpoints[i];
  dsp_set_endpoints (b->d, b->now, listed, n);
}

static void
set_zone (struct fixture *b, const char *name, const char *zone)
{
  for (size_t i = 0; i < b->n; i++)
    if (strcmp (b->names[i], name) == 0)
      {
        snprintf (b->zones[i], sizeof b->zones[i], "%s", zone);
        b->endpoints[i].zone = str_from (b->zones[i]);
      }
  dsp_set_endpoints (b->d, b->now, b->endpoints, b->n);
}

static void
set_evacuated (struct fixture *b, const char *zone, bool evacuated)
{
  evc_apply_change (b->evacuations, b->now, 1, ++b->revision, str_from (zone),
                    evacuated);
  for (size_t i = 0; i < b->n; i++)
    if (str_is (b->endpoints[i].zone, zone))
      {
        b->endpoints[i].evacuated = evacuated;
        b->endpoints[i].accepting = !evacuated;
      }
  set_listed_endpoints (b);
}

static void
unlist_endpoint (struct fixture *b, const char *name)
{
  for (size_t i = 0; i < b->n; i++)
    b->unlisted[i] = b->unlisted[i] || strcmp (b->names[i], name) == 0;
  set_listed_endpoints (b);
}

/** Commands for evacuated zones; false: it is another command. */
static bool
run_zone_command (struct fixture *b, const char *command, const char *x,
                  const char *y)
{
  if (strcmp (command, "zone") == 0)
    set_zone (b, x, y);
  else if (strcmp (command, "evacuate") == 0
           || strcmp (command, "return") == 0)
    set_evacuated (b, x, command[0] == 'e');
  else if (strcmp (command, "unlist") == 0)
    unlist_endpoint (b, x);
  else
    return false;
  return true;
}

/** Commands for nodes that reach no server; false: it is another command. */
static bool
run_path_command (struct fixture *b, const char *command, const char *x,
                  const char *y)
{
  if (strcmp (command, "proxies") == 0)
    set_proxies (b, atoi (x), strcmp (y, "cut") != 0);
  else if (strcmp (command, "proxied") == 0)
    b->submit_proxied = true;
  else if (strcmp (command, "direct") == 0)
    b->submit_proxied = false;
  else if (strcmp (command, "own-ended") == 0)
    log_ended (b);
  else if (strcmp (command, "denied") == 0)
    buf_addf (&b->log, "denied %d\n", (int)dsp_stats (b->d)->retries_denied);
  else if (strcmp (command, "demand") == 0)
    buf_addf (&b->log, "demand %.1f\n",
              dsp_demand (b->d, STR ("lm"), STR ("m")));
  else if (strcmp (command, "cut-off") == 0)
    buf_addf (&b->log, "cut-off %s\n",
              dsp_is_cut_off (b->d, str_from (x)) ? "yes" : "no");
  else
    return false;
  return true;
}

static void
run_command (struct fixture *b, const char *command, const char *x,
             const char *y, const char *z)
{
  if (strcmp (command, "endpoints") == 0 || strcmp (command, "replicas") == 0)
    add_endpoints (b, x, atoi (y), (unsigned)atoi (z), command[0] == 'r');
  else if (strcmp (command, "close") == 0)
    close_endpoint (b, x);
  else if (strcmp (command, "nodes") == 0)
    dsp_set_node_count (b->d, b->now, (unsigned)atoi (x),
                        (unsigned)atoi (y[0] ? y : x));
  else if (strcmp (command, "peer-load") == 0)
    report_load (b, x, (unsigned)atoi (y), (unsigned)atoi (z), 0);
  else if (strcmp (command, "peer-load-late") == 0)
    report_load (b, x, (unsigned)atoi (y), (unsigned)atoi (y), atoi (z));
  else if (strcmp (command, "submit") == 0
           || strcmp (command, "submit-late") == 0)
    submit (b, (uint64_t)atoi (x), y, z, strcmp (command, "submit-late") == 0,
            0);
  else if (strcmp (command, "submit-low") == 0)
    submit (b, (uint64_t)atoi (x), y, "", false, 1);
  else if (strcmp (command, "limit") == 0)
    set_limit (b, x, y);
  else if (strcmp (command, "cold") == 0)
    set_cold (b, x, atoi (y));
  else if (strcmp (command, "permit") == 0)
    grant_permit (b, x);
  else if (strcmp (command, "pause") == 0)
    give_notice (b, x, atoi (y), false);
  else if (strcmp (command, "leave") == 0)
    give_notice (b, x, 0, true);
  else if (strcmp (command, "form-again") == 0)
    form_again (b, x);
  else if (strcmp (command, "delays") == 0)
    b->show_delays = true;
  else if (strcmp (command, "peer-ended") == 0)
    report_ended (b, x);
  else if (strcmp (command, "refused") == 0)
    finish_check (b, x, DSP_CONN_REFUSED);
  else if (strcmp (command, "crashed") == 0)
    finish_check (b, x, DSP_ENDED);
  else if (strcmp (command, "alive") == 0)
    finish_check (b, x, DSP_ALIVE);
  else if (strcmp (command, "unknown") == 0)
    finish_check (b, x, DSP_UNREACHABLE);
  else if (strcmp (command, "block") == 0)
    block (b, false, (uint64_t)atoi (x));
  else if (strcmp (command, "block-part") == 0)
    block (b, true, (uint64_t)x[0]);
  else if (strcmp (command, "run") == 0)
    run (b, atoi (x));
  else if (strcmp (command, "suspend") == 0)
    suspend (b, atoi (x));
  else if (strcmp (command, "run-events") == 0)
    run_with_events (b, atoi (x), (uint64_t)atoi (y));
  else if (strcmp (command, "shutdown") == 0)
    dsp_stop_accepting (b->d);
  else if (!run_path_command (b, command, x, y)
           && !run_zone_command (b, command, x, y))
    response_event (b, command, x);
  take_actions (b);
}

static void
check_no_load_left (struct fixture *b)
{
  size_t n;
  const struct dsp_endpoint_load *own = dsp_own_load (b->d, &n);

  for (size_t i = 0; dsp_count_open (b->d) == 0 && i < n; i++)
    cr_expect (!own[i].in_flight && !own[i].streaming
                   && !own[i].pending_prefill,
               "%u requests, %u streams, %u tokens counted after the end",
               own[i].in_flight, own[i].streaming, own[i].pending_prefill);
}

void
dispatch_play (const char *script, const char *expected)
{
  struct dsp_options opt = { .zone = STR ("z"),
                             .retry_ratio = 0.2,
                             .retry_slack = 10,
                             .retry_window_ms = 10000,
                             .stall_ms = 4000 };
  struct fixture b = { .now = 100000, .config = make_config () };
  char *copy = xstrdup (script), *next = copy, *text;

  b.poison = opt.poison = psn_new ();
  b.limits = opt.limits = lim_new (1);
  b.avail = opt.avail = avl_new ();
  opt.evacuations = b.evacuations = evc_new ();
  lim_set_role (b.limits, b.now, false, 1);
  b.d = dsp_new (&opt, 1);
  while ((text = strsep (&next, "\n")) != NULL)
    {
      char command[16] = "", x[16] = "", y[16] = "", z[16] = "";
      if (sscanf (text, " %15s %15s %15s %15s", command, x, y, z) > 0)
        run_command (&b, command, x, y, z);
    }
  cr_expect_str_eq (buf_c (&b.log), expected, "got:\n%s\nexpected:\n%s",
                    buf_c (&b.log), expected);
  check_no_load_left (&b);
  dsp_free (b.d);
  psn_free (b.poison);
  lim_free (b.limits);
  avl_free (b.avail);
  evc_free (b.evacuations);
  tbl_unref (b.config);
  buf_free (&b.log);
  free (copy);
}
