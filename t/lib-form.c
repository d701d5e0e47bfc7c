#include "t/lib-form.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve/form.h"

#define MAX_VMS 256
#define STEP_MS 50
#define LIST_MS 100
#define JOIN_MS 200
#define LOAD_MS 2000

struct vm
{
  char id[16], domain[8], model[16], replica[32], members[256];
  char previous_model[16]; /* reported until the VM is ready for the next */
  int64_t started_at;
  char preloaded[16], preloading[16]; /* in host memory; being preloaded */
  clk_ms preloaded_at;
  int64_t generation;
  unsigned rank;
  enum bks_member_state state;
  clk_ms ready_at;
  bool killed, hung, silent, disconnected, expired, draining;
  bool busy;        /**< it runs requests, so that a close waits */
  struct vm *shown; /**< another server that its entry shows; NULL: itself */
};

struct delayed_order
{
  struct frm_action a;
  char vm[16], replica[32], model[16], members[256];
  bool lost;
};

struct world
{
  struct frm *cores[2];
  bool leading[2];
  struct bks *lists[2];
  struct avl *avail;       /**< for both cores */
  struct evc *evacuations; /**< likewise */
  int64_t revision;        /**< of `evacuations` */
  struct tbl *config;
  clk_ms now, last_list_at;
  clk_ms list_ms; /**< interval between two lists */
  struct vm vms[MAX_VMS];
  size_t n;
  struct delayed_order delayed[16];
  size_t ndelayed;
  const char *delayed_kind;
  bool drop_delayed, delay_all, apply_on_join, list_incomplete, hide_orders;
  bool reads_fail;  /* of the first core */
  double demand[2]; /**< requests for each model */
  char logged_joins[64][32];
  size_t nlogged_joins;
  struct buf log;
};

static const char *const order_names[]
    = { "join", "open", "close", "leave", "preload" };

static struct tbl *
make_config (void)
{
  struct tbl *t = tbl_new ();
  struct tbl_service *s
      = arena_alloc (&t->arena, 1, sizeof (struct tbl_service));
  struct tbl_model *m = arena_alloc (&t->arena, 2, sizeof (struct tbl_model));

  m[0] = (struct tbl_model){ STR ("big"), 3, 0.6, 1, LOAD_MS, JOIN_MS };
  m[1] = (struct tbl_model){ STR ("small"), 2, 0.4, 1, LOAD_MS, JOIN_MS };
  s->name = STR ("lm");
  s->models = m;
  s->nmodels = 2;
  s->capacity = 8;
  s->loads_per_s = 10;
  t->services = s;
  t->nservices = 1;
  tbl_sort (t);
  return t;
}

static struct vm *
find (struct world *w, struct str id)
{
  for (size_t i = 0; i < w->n; i++)
    if (str_is (id, w->vms[i].id))
      return &w->vms[i];
  return NULL;
}

/* --- simulated servers ------------------------------------------------- */

static struct vm *
leader_of (struct world *w, const struct vm *vm)
{
  for (size_t i = 0; i < w->n; i++)
    if (w->vms[i].rank == 0 && w->vms[i].replica[0]
        && strcmp (w->vms[i].replica, vm->replica) == 0)
      return &w->vms[i];
  return NULL;
}

static void
check_single_membership (struct world *w, const struct vm *vm,
                         const char *replica)
{
  const struct vm *leader = vm->replica[0] ? leader_of (w, vm) : NULL;

  if (leader && !leader->killed && strcmp (vm->replica, replica) != 0
      && (leader->state == BKS_OPEN || leader->state == BKS_CLOSING))
    buf_addf (&w->log, "VIOLATION %s joins %s while %s is open\n", vm->id,
              replica, vm->replica);
}

static void
check_all_ready (struct world *w, const struct vm *leader)
{
  unsigned ready = 0, wanted = 1;

  for (const char *c = leader->members; *c; c++)
    wanted += *c == ' ';
  for (size_t i = 0; i < w->n; i++)
    ready += strcmp (w->vms[i].replica, leader->replica) == 0
             && w->vms[i].state >= BKS_READY && !w->vms[i].killed;
  if (ready != wanted)
    buf_addf (&w->log, "VIOLATION %s opens with %u of %u ready\n",
              leader->replica, ready, wanted);
}

static bool
in_replica (const struct vm *vm, const struct delayed_order *o)
{
  return strcmp (vm->replica, o->replica) == 0
         && vm->generation == o->a.generation;
}

static enum frm_result
execute_join (struct world *w, struct vm *vm, const struct delayed_order *o)
{
  bool warm = strcmp (vm->model, o->model) == 0
              || strcmp (vm->preloaded, o->model) == 0;

  if (o->a.generation < vm->generation)
    return FRM_OUTDATED;
  if (in_replica (vm, o))
    return FRM_ACCEPTED;
  check_single_membership (w, vm, o->replica);
  snprintf (vm->previous_model, sizeof vm->previous_model, "%s", vm->model);
  snprintf (vm->replica, sizeof vm->replica, "%s", o->replica);
  snprintf (vm->model, sizeof vm->model, "%s", o->model);
  snprintf (vm->members, sizeof vm->members, "%s", o->members);
  vm->generation = o->a.generation;
  vm->rank = 0;
  for (const char *c = strstr (o->members, vm->id); c > o->members; c--)
    vm->rank += c[-1] == ' ';
  vm->state = BKS_JOINING;
  vm->ready_at = w->now + (warm ? JOIN_MS : LOAD_MS);
  if (!warm)
    snprintf (vm->preloaded, sizeof vm->preloaded, "%s", o->model);
  return FRM_ACCEPTED;
}

static enum frm_result
execute_order (struct world *w, const struct delayed_order *o)
{
  struct vm *vm = find (w, str_from (o->vm));

  if (o->a.order == FRM_JOIN)
    return execute_join (w, vm, o);
  if (o->a.order == FRM_PRELOAD)
    {
      snprintf (vm->preloading, sizeof vm->preloading, "%s", o->model);
      vm->preloaded_at = w->now + LOAD_MS;
      return FRM_ACCEPTED;
    }
  if (!in_replica (vm, o))
    return FRM_REJECTED;
  if (o->a.order == FRM_OPEN)
    {
      if (vm->state != BKS_READY)
        return vm->state == BKS_OPEN ? FRM_ACCEPTED : FRM_REJECTED;
      check_all_ready (w, vm);
      vm->state = BKS_OPEN;
    }
  else if (o->a.order == FRM_CLOSE && vm->state >= BKS_OPEN)
    vm->state = vm->busy && !o->a.force ? BKS_CLOSING : BKS_READY;
  else if (o->a.order == FRM_LEAVE)
    {
      vm->replica[0] = '\0';
      vm->state = BKS_NO_REPLICA;
    }
  return FRM_ACCEPTED;
}

/* --- orders ------------------------------------------------------------ */

static bool
is_join_logged (struct world *w, const char *replica)
{
  for (size_t i = 0; i < w->nlogged_joins; i++)
    if (strcmp (w->logged_joins[i], replica) == 0)
      return true;
  snprintf (w->logged_joins[w->nlogged_joins++ % 64], 32, "%s", replica);
  return false;
}

/** Logs the order unless the log ends with the same one. */
static void
log_once (struct world *w, const char *text)
{
  size_t n = strlen (text);

  if (w->log.len < n || memcmp (w->log.ptr + w->log.len - n, text, n) != 0)
    buf_add_c (&w->log, text);
}

static void
log_order (struct world *w, const struct delayed_order *o)
{
  char text[128];

  if (w->hide_orders)
    return;
  if (o->a.order == FRM_PRELOAD)
    buf_addf (&w->log, "preload %s %s\n", o->model, o->vm);
  else if (o->a.order != FRM_JOIN)
    {
      snprintf (text, sizeof text, "%s%s %s %s\n",
                o->a.order == FRM_CLOSE && o->a.force ? "force-" : "",
                order_names[o->a.order], o->replica, o->vm);
      log_once (w, text);
    }
  else if (!is_join_logged (w, o->replica))
    buf_addf (&w->log, "join %s %s: %s\n", o->replica, o->model, o->members);
}

static void
copy_order (struct delayed_order *o, const struct frm_action *a)
{
  size_t at = 0;

  o->a = *a;
  snprintf (o->vm, sizeof o->vm, "%.*s", STR_ARG (a->vm));
  snprintf (o->replica, sizeof o->replica, "%.*s", STR_ARG (a->replica));
  snprintf (o->model, sizeof o->model, "%.*s", STR_ARG (a->model));
  o->members[0] = '\0';
  for (size_t i = 0; i < a->nmembers; i++)
    at += (size_t)snprintf (o->members + at, sizeof o->members - at, "%s%.*s",
                            i ? " " : "", STR_ARG (a->members[i]));
}

static void
apply_delayed (struct world *w)
{
  w->apply_on_join = false;
  for (; w->ndelayed > 0; w->ndelayed--)
    execute_order (w, &w->delayed[w->ndelayed - 1]);
}

static bool
responds (const struct vm *vm)
{
  return !vm->killed && !vm->hung && !vm->silent && !vm->disconnected;
}

static enum frm_probe_result
probe_result (const struct vm *vm)
{
  if (responds (vm))
    return vm->busy && vm->state >= BKS_OPEN ? FRM_PROBE_SERVING
                                             : FRM_PROBE_ANSWERED;
  return vm->silent && !vm->killed && !vm->hung && !vm->disconnected
             ? FRM_PROBE_SILENT
             : FRM_PROBE_UNREACHABLE;
}

static void
handle_order (struct world *w, size_t core, const struct frm_action *a)
{
  struct delayed_order o = { 0 };
  const struct vm *vm;
  enum frm_result result = FRM_UNANSWERED;

  copy_order (&o, a);
  vm = find (w, a->vm);
  if (w->apply_on_join && a->order == FRM_JOIN)
    apply_delayed (w);
  log_order (w, &o);
  if (w->delayed_kind && strcmp (w->delayed_kind, order_names[a->order]) == 0)
    {
      if (!w->drop_delayed
          && w->ndelayed < sizeof w->delayed / sizeof w->delayed[0])
        w->delayed[w->ndelayed++] = o;
      if (!w->delay_all)
        w->delayed_kind = NULL;
    }
  else if (vm && responds (vm))
    result = execute_order (w, &o);
  frm_order_done (w->cores[core], w->now, a->token, result);
}

static void
handle_actions (struct world *w, size_t core)
{
  struct frm_action a;

  while (frm_next_action (w->cores[core], &a))
    {
      const struct vm *vm = find (w, a.vm);
      if (a.kind == FRM_ORDER)
        handle_order (w, core, &a);
      else
        frm_probe_done (w->cores[core], w->now, a.token,
                        vm ? probe_result (vm) : FRM_PROBE_UNREACHABLE);
      free ((void *)a.members);
    }
}

/* --- time -------------------------------------------------------------- */

/**
 * Model that the VM reports: the previous one while it joins, and none after
 * it has left a replica, although it keeps the weights.
 */
static struct str
reported_model (const struct vm *vm)
{
  if (vm->state == BKS_NO_REPLICA)
    return STR_EMPTY;
  return str_from (vm->state == BKS_JOINING ? vm->previous_model : vm->model);
}

static void
read_list (struct world *w, size_t core)
{
  struct bks_entry list[MAX_VMS];
  size_t n = 0;

  if (core == 0 && w->reads_fail)
    {
      bks_read_failed (w->lists[0], w->now);
      return;
    }
  for (size_t i = 0; i < w->n; i++)
    {
      const struct vm *own = &w->vms[i], *vm = own;
      if (own->killed || own->disconnected || own->expired)
        continue;
      if (own->shown)
        vm = own->shown;
      list[n++]
          = (struct bks_entry){ .id = str_from (own->id),
                                .start_time = own->started_at,
                                .service = STR ("lm"),
                                .zone = str_from (vm->domain),
                                .domain = str_from (vm->domain),
                                .capacity = 8,
                                .draining = vm->draining,
                                .model = reported_model (vm),
                                .preloaded = { str_from (vm->preloaded) },
                                .npreloaded = vm->preloaded[0] != '\0',
                                .replica = str_from (vm->replica),
                                .generation = vm->generation,
                                .rank = vm->rank,
                                .member_state = vm->state };
    }
  bks_update (w->lists[core], w->now, w->now, list, n);
  frm_set_servers (w->cores[core], w->now, w->lists[core], w->config,
                   !w->list_incomplete);
}

static void
report_demand (struct world *w, size_t core)
{
  const struct tbl_service *s = &w->config->services[0];

  for (size_t k = 0; w->config->nservices && k < s->nmodels; k++)
    frm_demand (w->cores[core], w->now, s->name, s->models[k].name,
                w->demand[k]);
}

static void
advance (struct world *w)
{
  w->now += STEP_MS;
  for (size_t i = 0; i < w->n; i++)
    {
      struct vm *vm = &w->vms[i];
      if (vm->state == BKS_JOINING && w->now >= vm->ready_at)
        vm->state = BKS_READY;
      if (vm->preloading[0] && w->now >= vm->preloaded_at)
        {
          memcpy (vm->preloaded, vm->preloading, sizeof vm->preloaded);
          vm->preloading[0] = '\0';
        }
    }
  for (size_t c = 0; c < 2; c++)
    {
      if (w->now - w->last_list_at >= w->list_ms)
        read_list (w, c);
      report_demand (w, c);
      frm_tick (w->cores[c], w->now);
      handle_actions (w, c);
    }
  if (w->now - w->last_list_at >= w->list_ms)
    w->last_list_at = w->now;
}

static void
set_leader_node (struct world *w, size_t core, int64_t fence)
{
  if (w->leading[!core])
    frm_set_leading (w->cores[!core], w->now, false, 0);
  frm_set_leading (w->cores[core], w->now, true, fence);
  w->leading[core] = true;
  w->leading[!core] = false;
}

/* --- script ------------------------------------------------------------ */

static void
add_vms (struct world *w, const char *domain, int n)
{
  int had = 0;

  for (size_t i = 0; i < w->n; i++)
    had += strcmp (w->vms[i].domain, domain) == 0;
  for (int i = 1; i <= n; i++)
    {
      struct vm *vm = &w->vms[w->n++];
      snprintf (vm->domain, sizeof vm->domain, "%s", domain);
      snprintf (vm->id, sizeof vm->id, "%s%d", domain, had + i);
      vm->started_at = w->now;
    }
}

static void
show (struct world *w)
{
  for (size_t i = 0; i < w->n; i++)
    {
      const struct vm *vm = &w->vms[i];
      if (vm->killed || vm->rank != 0 || !vm->replica[0])
        continue;
      if (vm->state == BKS_OPEN)
        buf_addf (&w->log, "%s %s is open: %s\n", vm->replica, vm->model,
                  vm->members);
      else if (vm->state == BKS_READY && vm->replica[0] == 's')
        buf_addf (&w->log, "%s is warm for %s\n", vm->id, vm->model);
    }
}

/** Logs the number of open replicas of each model in the domain. */
static void
count (struct world *w, const char *domain)
{
  const struct tbl_service *s = &w->config->services[0];

  buf_addf (&w->log, "%s:", domain);
  for (size_t k = 0; k < s->nmodels; k++)
    {
      unsigned n = 0;
      for (size_t i = 0; i < w->n; i++)
        n += strcmp (w->vms[i].domain, domain) == 0 && !w->vms[i].killed
             && w->vms[i].rank == 0 && w->vms[i].state == BKS_OPEN
             && str_is (s->models[k].name, w->vms[i].model);
      buf_addf (&w->log, " %u %.*s", n, STR_ARG (s->models[k].name));
    }
  buf_addf (&w->log, "\n");
}

static void
show_plan (struct world *w)
{
  struct frm_model list[FRM_MODEL_ROWS];
  size_t n = frm_models (w->cores[0], list);

  for (size_t i = 0; i < n; i++)
    buf_addf (&w->log,
              "%.*s: wanted %u, formed %u, requests %.0f, reassigned %u\n",
              STR_ARG (list[i].name), list[i].planned, list[i].open_or_forming,
              list[i].requests, (unsigned)list[i].reassigned);
}

static void
show_mix (struct world *w)
{
  struct frm_mix mix[FRM_MODEL_ROWS];
  bool changed;
  size_t n = frm_mix (w->cores[0], w->now, mix, &changed);

  for (size_t i = 0; i < n; i++)
    buf_addf (&w->log, "%.*s %.1f ", STR_ARG (mix[i].model), mix[i].requests);
  buf_addf (&w->log, "%s\n", changed ? "changed" : "unchanged");
}

static void
set_model (struct world *w, const char *command, const char *name, int n)
{
  struct tbl_service *s = &w->config->services[0];

  for (size_t k = 0; k < s->nmodels; k++)
    {
      struct tbl_model *m = &s->models[k];
      if (!str_is (m->name, name))
        continue;
      if (strcmp (command, "size") == 0)
        m->size = (unsigned)n;
      else if (strcmp (command, "work-share") == 0)
        m->work_share = n / 100.0;
      else if (strcmp (command, "time-factor") == 0)
        m->time_factor = n / 100.0;
      else if (strcmp (command, "stored-mix") == 0)
        for (size_t c = 0; c < 2; c++)
          frm_set_stored_mix (w->cores[c], s->name, m->name, n);
      else
        w->demand[k] = n;
    }
}

/**
 * Restarts the VM under its id: it has lost its state and weights, but its
 * host's memory keeps the preloaded model.
 */
static void
restart_vm (const struct world *w, struct vm *vm)
{
  struct vm fresh = { .started_at = w->now };

  memcpy (fresh.id, vm->id, sizeof fresh.id);
  memcpy (fresh.domain, vm->domain, sizeof fresh.domain);
  memcpy (fresh.preloaded, vm->preloaded, sizeof fresh.preloaded);
  *vm = fresh;
}

static void
set_vm_state (struct vm *vm, const char *command)
{
  cr_assert_not_null (vm);
  if (strcmp (command, "kill") == 0)
    vm->killed = true;
  else if (strcmp (command, "hang") == 0)
    vm->hung = true;
  else if (strcmp (command, "silence") == 0)
    vm->silent = true;
  else if (strcmp (command, "restore") == 0)
    vm->silent = vm->hung = vm->disconnected = vm->expired = false;
  else if (strcmp (command, "disconnect") == 0)
    vm->disconnected = true;
  else if (strcmp (command, "expire") == 0)
    vm->expired = true;
  else if (strcmp (command, "drain") == 0)
    vm->draining = true;
  else if (strcmp (command, "clear-host") == 0)
    vm->preloaded[0] = '\0';
  else if (strcmp (command, "broken") == 0)
    vm->state = BKS_BROKEN;
  else
    cr_assert (false, "unknown command: %s", command);
}

static void
set_domain_state (struct world *w, const char *command, const char *domain)
{
  for (size_t i = 0; i < w->n; i++)
    {
      struct vm *vm = &w->vms[i];
      if (strcmp (vm->domain, domain) != 0)
        continue;
      if (strcmp (command, "clear-hosts") == 0)
        vm->preloaded[0] = '\0';
      else if (strcmp (command, "restart-domain") == 0)
        restart_vm (w, vm);
      else
        vm->busy = strcmp (command, "busy") == 0;
      if (!vm->busy && vm->state == BKS_CLOSING)
        vm->state = BKS_READY;
    }
}

static void
delay_orders (struct world *w, const char *kind, bool drop, bool all)
{
  for (size_t i = 0; i < sizeof order_names / sizeof order_names[0]; i++)
    if (strcmp (kind, order_names[i]) == 0)
      w->delayed_kind = order_names[i];
  w->drop_delayed = drop;
  w->delay_all = all;
}

/** A new configuration holds the service, or doesn't. */
static void
set_configured (struct world *w, bool on)
{
  struct tbl *t = make_config ();

  t->nservices = on;
  tbl_sort (t);
  tbl_unref (w->config);
  w->config = t;
}

/** A response of the server carries this notice. */
static void
give_notice (struct world *w, const struct vm *vm, clk_ms pause_ms,
             bool leaving)
{
  struct avl_notice notice
      = { .leaving = leaving, .retry_after_ms = pause_ms };

  avl_on_notice (w->avail, w->now,
                 dsp_endpoint_hash (str_from (vm->id), vm->started_at, 0),
                 &notice);
}

/** Suspends both cores' processes; the backend servers go on.  Their first
    ticks come before they read a list. */
static void
suspend (struct world *w, clk_ms ms)
{
  w->now += ms;
  for (size_t i = 0; i < 2; i++)
    {
      frm_resumed (w->cores[i], w->now, ms);
      frm_tick (w->cores[i], w->now);
    }
}

static struct frm_options
make_options (const struct world *w, clk_ms stall_ms)
{
  return (struct frm_options){ .stall_ms = stall_ms,
                               .ceiling_window_s = 5,
                               .ceiling_over = 1.1,
                               .avail = w->avail,
                               .evacuations = w->evacuations };
}

static void
make_cores (struct world *w, clk_ms stall_ms)
{
  struct frm_options opt = make_options (w, stall_ms);

  for (size_t i = 0; i < 2; i++)
    {
      frm_free (w->cores[i]);
      w->cores[i] = frm_new (&opt);
    }
}

/** Runs a command that adds to the log or shortens it.
    @return false if it is another one. */
static bool
run_log_command (struct world *w, const char *command, const char *a)
{
  if (strcmp (command, "show") == 0)
    show (w);
  else if (strcmp (command, "count-open") == 0)
    count (w, a);
  else if (strcmp (command, "count-orders") == 0)
    buf_addf (&w->log, "%u orders\n",
              (unsigned)frm_stats (w->cores[0])->orders);
  else if (strcmp (command, "plan") == 0)
    show_plan (w);
  else if (strcmp (command, "mix") == 0)
    show_mix (w);
  else if (strcmp (command, "no-order-log") == 0)
    w->hide_orders = true;
  else
    return false;
  return true;
}

/** Commands for evacuated zones; false: it is another command. */
static bool
run_zone_command (struct world *w, const char *command, const char *zone)
{
  bool evacuated = strcmp (command, "evacuate") == 0;

  if (!evacuated && strcmp (command, "return") != 0)
    return false;
  evc_apply_change (w->evacuations, w->now, 1, ++w->revision, str_from (zone),
                    evacuated);
  return true;
}

/** Commands for options and the configuration; false: it is another command.
 */
static bool
run_option_command (struct world *w, const char *command, const char *a)
{
  if (strcmp (command, "stall-ms") == 0)
    make_cores (w, atoi (a));
  else if (strcmp (command, "drop-service") == 0
           || strcmp (command, "add-service") == 0)
    set_configured (w, command[0] == 'a');
  else if (strcmp (command, "load-rate") == 0)
    w->config->services[0].loads_per_s = atoi (a);
  else if (strcmp (command, "list-interval") == 0)
    w->list_ms = atoi (a);
  else
    return false;
  return true;
}

/** Another writer has copied the entry of server @p n of the VM's domain. */
static void
mimic (struct world *w, struct vm *vm, int n)
{
  char id[16];

  snprintf (id, sizeof id, "%.8s%d", vm->domain, n);
  vm->shown = xmalloc (sizeof *vm);
  *vm->shown = *find (w, str_from (id));
}

/** Commands for one server; false: it is another command. */
static bool
run_server_command (struct world *w, const char *command, struct vm *vm, int n)
{
  if (strcmp (command, "mimic") == 0)
    mimic (w, vm, n);
  else if (strcmp (command, "pause") == 0)
    give_notice (w, vm, n, false);
  else if (strcmp (command, "leave") == 0)
    give_notice (w, vm, 0, true);
  else if (strcmp (command, "restart") == 0)
    restart_vm (w, vm);
  else
    return false;
  return true;
}

static void
run_command (struct world *w, const char *command, const char *a, int n)
{
  struct vm *vm = find (w, str_from (a));

  if (strcmp (command, "vms") == 0)
    add_vms (w, a, n);
  else if (strcmp (command, "lead") == 0)
    set_leader_node (w, 0, atoi (a));
  else if (strcmp (command, "lead-other") == 0)
    set_leader_node (w, 1, atoi (a));
  else if (strcmp (command, "run") == 0)
    for (int t = 0; t < atoi (a); t += STEP_MS)
      advance (w);
  else if (strcmp (command, "delay") == 0 || strcmp (command, "drop") == 0)
    delay_orders (w, a, command[1] == 'r', false);
  else if (strcmp (command, "delay-all") == 0
           || strcmp (command, "drop-all") == 0)
    delay_orders (w, a, command[1] == 'r', true);
  else if (strcmp (command, "clear-hosts") == 0
           || strcmp (command, "restart-domain") == 0
           || strcmp (command, "busy") == 0 || strcmp (command, "idle") == 0)
    set_domain_state (w, command, a);
  else if (strcmp (command, "suspend") == 0)
    suspend (w, atoi (a));
  else if (strcmp (command, "respond") == 0)
    w->delayed_kind = NULL;
  else if (strcmp (command, "apply") == 0)
    apply_delayed (w);
  else if (strcmp (command, "incomplete") == 0
           || strcmp (command, "complete") == 0)
    w->list_incomplete = command[0] == 'i';
  else if (strcmp (command, "store-fails") == 0
           || strcmp (command, "store-works") == 0)
    w->reads_fail = command[6] == 'f';
  else if (strcmp (command, "apply-on-join") == 0)
    w->apply_on_join = true;
  else if (strcmp (command, "traffic") == 0)
    frm_traffic_started (w->cores[0]);
  else if (strcmp (command, "host-memory") == 0)
    w->config->services[0].host_cache_models = 1;
  else if (strcmp (command, "report-stall") == 0)
    for (size_t c = 0; c < 2; c++)
      frm_stalled (w->cores[c], w->now,
                   dsp_endpoint_hash (str_from (vm->id), vm->started_at,
                                      vm->generation));
  else if (strcmp (command, "size") == 0 || strcmp (command, "work-share") == 0
           || strcmp (command, "time-factor") == 0
           || strcmp (command, "demand") == 0
           || strcmp (command, "stored-mix") == 0)
    set_model (w, command, a, n);
  else if (!run_server_command (w, command, vm, n)
           && !run_log_command (w, command, a)
           && !run_zone_command (w, command, a)
           && !run_option_command (w, command, a))
    set_vm_state (vm, command);
}

static void
run_script (struct world *w, const char *script)
{
  char command[16], a[16];
  int n;

  while (*script)
    {
      int used = 0;
      command[0] = a[0] = '\0';
      n = 0;
      if (sscanf (script, " %15[-a-z]%n", command, &used) < 1)
        break;
      script += used;
      /* Arguments on the same line. */
      if (*script == ' ')
        {
          sscanf (script, " %15[a-zA-Z0-9]%n", a, &used);
          script += used;
          if (*script == ' ' && sscanf (script, " %d%n", &n, &used) == 1)
            script += used;
        }
      run_command (w, command, a, n);
      while (*script == '\n' || *script == ' ')
        script++;
    }
}

void
form_check (const char *script, const char *expected)
{
  struct world w
      = { .now = 1000, .list_ms = LIST_MS, .config = make_config () };

  w.avail = avl_new ();
  w.evacuations = evc_new ();
  make_cores (&w, 1000);
  for (size_t i = 0; i < 2; i++)
    w.lists[i] = bks_new ();
  run_script (&w, script);
  cr_expect_str_eq (buf_c (&w.log), expected, "got:\n%s\nexpected:\n%s",
                    buf_c (&w.log), expected);
  for (size_t i = 0; i < 2; i++)
    {
      frm_free (w.cores[i]);
      bks_free (w.lists[i]);
    }
  avl_free (w.avail);
  evc_free (w.evacuations);
  tbl_unref (w.config);
  for (size_t i = 0; i < w.n; i++)
    free (w.vms[i].shown);
  buf_free (&w.log);
}
