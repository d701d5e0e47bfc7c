#include "t/lib-domain.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/chart.h"
#include "replica/core.h"

#define MAX_VMS 64
#define TICK_MS 100

struct fake_vm
{
  struct str name;
  bool up, silent;
  char replica[32];
  int64_t generation;
  bool unloaded;
  clk_ms ready_at;
  clk_ms changed_at; /* last change of its state */
  uint32_t load;
  int64_t fence;
};

struct dom
{
  struct dom_options opt;
  struct rep *reps[2];
  size_t nreps;
  size_t current; /* index of the core that script lines refer to */
  int64_t owner_rev;
  struct cfg *cfg;
  clk_ms now;
  struct fake_vm vms[MAX_VMS];
  size_t nvms;
  struct buf value;
  int64_t revision, mod_rev;
  char store_mode[8];
  struct buf log;
  unsigned orders, wrong_loads;
  char last_views[16][64];
};

static struct cfg *
parse_config (const char *json, int64_t revision)
{
  struct fnd_list findings = { 0 };
  struct buf text = BUF_INIT;
  struct cfg *cfg = cfg_parse (str_from (json), revision, &findings);

  fnd_print (&findings, &text);
  cr_assert (cfg, "%s", buf_c (&text));
  buf_free (&text);
  fnd_free (&findings);
  return cfg;
}

struct dom *
dom_new (const struct dom_options *opt, uint64_t seed)
{
  struct dom *d = xcalloc (1, sizeof *d);
  struct rep_options ro = { .domain = STR ("d"),
                            .key = STR ("a"),
                            .owner_key = STR ("o"),
                            .no_budget = opt->no_budget };
  struct rep_event ev = { .kind = REP_CONFIG };

  d->opt = *opt;
  d->revision = 10;
  d->cfg = parse_config (opt->config, 1);
  for (size_t i = 0; i < d->cfg->nvms; i++)
    d->vms[d->nvms++] = (struct fake_vm){ .name = d->cfg->vms[i].name,
                                          .up = true,
                                          .unloaded = true };
  snprintf (d->store_mode, sizeof d->store_mode, "up");
  ev.cfg = d->cfg;
  for (d->nreps = 0; d->nreps < (opt->two_cores ? 2 : 1); d->nreps++)
    {
      d->reps[d->nreps] = rep_new (&ro, seed + d->nreps);
      rep_event (d->reps[d->nreps], 0, &ev);
    }
  return d;
}

void
dom_free (struct dom *d)
{
  for (size_t i = 0; i < d->nreps; i++)
    rep_free (d->reps[i]);
  cfg_unref (d->cfg);
  buf_free (&d->value);
  buf_free (&d->log);
  free (d);
}

static struct fake_vm *
find_vm (struct dom *d, struct str name)
{
  for (size_t i = 0; i < d->nvms; i++)
    if (str_eq (d->vms[i].name, name))
      return &d->vms[i];
  return NULL;
}

static void
handle_probe (struct dom *d, struct rep *rep, struct str name)
{
  struct fake_vm *vm = find_vm (d, name);
  struct rep_event ev = { .kind = REP_PROBED, .vm = name };

  if (vm->silent)
    return;
  if (!vm->up)
    ev.kind = REP_PROBE_FAILED;
  ev.member = (struct rep_member_state){
    .replica = str_from (vm->replica),
    .generation = vm->generation,
    .ready = !vm->unloaded && d->now >= vm->ready_at,
    .unloaded = vm->unloaded,
    .inflight_tokens = vm->load,
    .fence = vm->fence,
  };
  rep_event (rep, d->now, &ev);
}

static bool
assigned (struct dom *d, struct str vm, struct str replica)
{
  struct asn a = { 0 };
  const struct asn_entry *e;
  bool ok;

  if (d->value.len && !asn_parse (buf_str (&d->value), &a))
    return false;
  e = asn_holder (&a, vm);
  ok = e && str_is (replica, e->name);
  asn_free (&a);
  return ok;
}

static bool
execute_order (struct dom *d, struct fake_vm *vm, enum rep_order order,
               struct str replica, int64_t generation, int64_t fence)
{
  if (!vm->up || vm->silent)
    return false;
  if (d->opt.checks_fence && fence < vm->fence)
    return false;
  if (fence > vm->fence)
    vm->fence = fence;
  vm->changed_at = d->now;
  if (order == REP_UNLOAD)
    {
      vm->unloaded = true;
      vm->replica[0] = 0;
      vm->generation = 0;
      return true;
    }
  snprintf (vm->replica, sizeof vm->replica, "%.*s", STR_ARG (replica));
  vm->generation = generation;
  vm->ready_at = d->now + (vm->unloaded ? d->opt.load_ms : 0);
  vm->unloaded = false;
  return true;
}

static void
handle_order (struct dom *d, struct rep *rep, const struct rep_action *a)
{
  struct fake_vm *vm = find_vm (d, a->vm->name);
  struct rep_event ev
      = { .kind = REP_ORDER_RESPONSE, .vm = a->vm->name, .token = a->token };

  ev.on = execute_order (d, vm, a->order, a->replica, a->generation, a->fence);
  d->orders++;
  if (ev.on && a->order == REP_LOAD && !assigned (d, a->vm->name, a->replica))
    d->wrong_loads++;
  buf_addf (&d->log, "%lld %s%s %.*s: %.*s/%lld", (long long)d->now,
            rep == d->reps[0] ? "" : "(2) ",
            a->order == REP_LOAD ? "load" : "unload", STR_ARG (a->vm->name),
            STR_ARG (a->replica), (long long)a->generation);
  if (a->order == REP_LOAD)
    buf_addf (&d->log, " %u of %u", a->rank, a->world);
  buf_addf (&d->log, "%s\n", ev.on ? "" : " (refused)");
  rep_event (rep, d->now, &ev);
}

static void
log_txn (struct dom *d, struct rep *rep, struct str value)
{
  struct asn a = { 0 };

  cr_assert (asn_parse (value, &a), "invalid assignment: %.*s",
             STR_ARG (value));
  buf_addf (&d->log, "%lld %swrite", (long long)d->now,
            rep == d->reps[0] ? "" : "(2) ");
  for (size_t i = 0; i < a.n; i++)
    {
      const struct asn_entry *e = &a.entries[i];

      buf_addf (&d->log, " %s/%lld%s=", e->name, (long long)e->generation,
                e->phase == ASN_RELEASING ? " releasing" : "");
      for (size_t v = 0; v < e->nvms; v++)
        buf_addf (&d->log, "%s%s", v ? "+" : "", e->vms[v]);
      if (e->joining.vm)
        buf_addf (&d->log, " (%s for %s)", e->joining.vm, e->joining.replaces);
    }
  for (size_t i = 0; i < a.ndrained; i++)
    buf_addf (&d->log, " drained %s", a.drained[i]);
  asn_free (&a);
}

static void
handle_txn (struct dom *d, struct rep *rep, const struct rep_action *a)
{
  struct store_result res = { .status = STORE_OK };
  struct rep_event ev
      = { .kind = REP_STORE_RESPONSE, .token = a->token, .result = &res };
  bool one_shot
      = strcmp (d->store_mode, "up") && strcmp (d->store_mode, "down");

  log_txn (d, rep, a->txn.puts[0].value);
  if (strcmp (d->store_mode, "race") == 0)
    d->mod_rev = ++d->revision;
  if (strcmp (d->store_mode, "down") == 0)
    res.status = STORE_UNAVAILABLE;
  else if (a->txn.compares[0].mod_rev != d->mod_rev
           || (a->txn.ncompares == 2
               && a->txn.compares[1].mod_rev != d->owner_rev))
    res.status = STORE_CONFLICT;
  else
    {
      buf_clear (&d->value);
      buf_add (&d->value, a->txn.puts[0].value);
      res.revision = d->mod_rev = ++d->revision;
      if (strcmp (d->store_mode, "lost") == 0)
        res.status = STORE_UNCERTAIN;
    }
  if (one_shot)
    snprintf (d->store_mode, sizeof d->store_mode, "up");
  buf_addf (&d->log, "%s\n",
            res.status == STORE_OK            ? ""
            : res.status == STORE_CONFLICT    ? " (conflict)"
            : res.status == STORE_UNAVAILABLE ? " (store down)"
                                              : " (answer lost)");
  rep_event (rep, d->now, &ev);
}

static void
handle_read (struct dom *d, struct rep *rep, const struct rep_action *a)
{
  struct store_kv kv = { .value = buf_str (&d->value), .mod_rev = d->mod_rev };
  struct store_result res = { .status = STORE_OK,
                              .kvs = &kv,
                              .nkvs = d->mod_rev != 0 && d->value.len };
  struct rep_event ev
      = { .kind = REP_STORE_RESPONSE, .token = a->token, .result = &res };

  if (strcmp (d->store_mode, "down") == 0)
    res.status = STORE_UNAVAILABLE;
  rep_event (rep, d->now, &ev);
}

static void
log_views (struct dom *d)
{
  const struct chart *chart = chart_embedded ("replica");
  const struct rep_view *views;
  size_t n;

  views = rep_views (d->reps[0], d->now, &n);
  for (size_t i = 0; i < n && i < 16; i++)
    {
      char line[64];

      snprintf (line, sizeof line, "%.*s/%lld %s%s%s",
                STR_ARG (views[i].replica), (long long)views[i].generation,
                chart_state_name (chart, views[i].state),
                views[i].complete ? " serves" : "",
                views[i].draining ? " no new work" : "");
      if (strcmp (line, d->last_views[i]) == 0)
        continue;
      memcpy (d->last_views[i], line, sizeof line);
      buf_addf (&d->log, "%lld %s\n", (long long)d->now, line);
    }
}

/* Handles orders first: their strings are valid only until the next event. */
static void
handle_orders (struct dom *d, struct rep *rep, const struct rep_action *a,
               size_t n)
{
  for (size_t i = 0; i < n; i++)
    if (a[i].kind == REP_SEND_ORDER)
      handle_order (d, rep, &a[i]);
}

static void
run_core_actions (struct dom *d, struct rep *rep)
{
  struct rep_action a[256];
  size_t n = 0;

  while (n < 256 && rep_next (rep, &a[n]))
    n++;
  handle_orders (d, rep, a, n);
  for (size_t i = 0; i < n; i++)
    if (a[i].kind == REP_PROBE)
      handle_probe (d, rep, a[i].vm->name);
    else if (a[i].kind == REP_STORE_TXN)
      handle_txn (d, rep, &a[i]);
    else if (a[i].kind == REP_STORE_READ)
      handle_read (d, rep, &a[i]);
  if (n)
    run_core_actions (d, rep);
}

static void
run_actions (struct dom *d)
{
  for (size_t i = 0; i < d->nreps; i++)
    run_core_actions (d, d->reps[i]);
  log_views (d);
}

void
dom_run_until (struct dom *d, clk_ms to)
{
  struct rep_event tick = { .kind = REP_TICK };

  while (d->now + TICK_MS <= to)
    {
      d->now += TICK_MS;
      for (size_t i = 0; i < d->nreps; i++)
        rep_event (d->reps[i], d->now, &tick);
      run_actions (d);
    }
}

static void
change_vm (struct dom *d, const char *verb, char **args)
{
  struct fake_vm *vm = find_vm (d, str_from (args[0]));

  if (strcmp (verb, "work"))
    vm->changed_at = d->now;
  if (strcmp (verb, "kill") == 0)
    vm->up = false;
  else if (strcmp (verb, "dead") == 0)
    vm->silent = true;
  else if (strcmp (verb, "work") == 0)
    vm->load = (uint32_t)atoi (args[1]);
  else if (strcmp (verb, "late") == 0)
    execute_order (d, vm, REP_LOAD, str_from (args[1]), atoi (args[2]),
                   atoi (args[3]));
  else
    {
      vm->up = true;
      vm->silent = false;
      vm->load = 0;
      vm->unloaded = strcmp (verb, "blank") == 0;
      vm->replica[0] = 0;
      vm->generation = 0;
      if (!vm->unloaded && strcmp (args[1], "-"))
        snprintf (vm->replica, sizeof vm->replica, "%s", args[1]);
      if (!vm->unloaded)
        vm->generation = atoi (args[2]);
    }
}

/* Returns true if the verb is an event of the core. */
static bool
parse_core_event (const char *verb, char **args, struct rep_event *ev)
{
  if (strcmp (verb, "owner") == 0)
    *ev = (struct rep_event){ .kind = REP_OWNER,
                              .on = true,
                              .fence = atoi (args[0]) };
  else if (strcmp (verb, "unowner") == 0)
    *ev = (struct rep_event){ .kind = REP_OWNER };
  else if (strcmp (verb, "leaving") == 0 || strcmp (verb, "listed") == 0)
    *ev = (struct rep_event){ .kind = REP_VM_LISTED,
                              .vm = str_from (args[0]),
                              .on = *verb == 'l' && verb[1] == 'i' };
  else if (strcmp (verb, "drain") == 0 || strcmp (verb, "undrain") == 0)
    *ev = (struct rep_event){ .kind = REP_DRAIN,
                              .replica = str_from (args[0]),
                              .on = *verb == 'd' };
  else
    return false;
  return true;
}

static void
apply_next_config (struct dom *d)
{
  struct rep_event ev
      = { .kind = REP_CONFIG, .cfg = parse_config (d->opt.next_config, 2) };

  for (size_t i = 0; i < d->nreps; i++)
    rep_event (d->reps[i], d->now, &ev);
  cfg_unref ((struct cfg *)ev.cfg);
}

void
dom_run_line (struct dom *d, const char *line)
{
  char text[128], *save, *verb, *args[4] = { "", "", "", "" };
  struct rep_event ev;

  snprintf (text, sizeof text, "%s", line);
  verb = strtok_r (text, " ", &save);
  for (size_t i = 0; i < 4; i++)
    {
      char *arg = strtok_r (NULL, " ", &save);

      if (!arg)
        break;
      args[i] = arg;
    }
  if (strcmp (verb, "owner") == 0)
    d->owner_rev = atoi (args[0]);
  if (parse_core_event (verb, args, &ev))
    rep_event (d->reps[d->current], d->now, &ev);
  else if (strcmp (verb, "usurp") == 0)
    d->owner_rev = atoi (args[0]);
  else if (strcmp (verb, "accept") == 0)
    apply_next_config (d);
  else if (strcmp (verb, "as") == 0)
    d->current = *args[0] == '2' && d->nreps > 1;
  else if (strcmp (verb, "store") == 0)
    snprintf (d->store_mode, sizeof d->store_mode, "%s", args[0]);
  else if (strcmp (verb, "run"))
    change_vm (d, verb, args);
  run_actions (d);
}

static const char *
run_script (struct dom *d, const char *script)
{
  char line[128];

  for (const char *p = script; *p; p += strcspn (p, "\n") + 1)
    {
      size_t len = strcspn (p, "\n");
      char *rest;

      cr_assert_lt (len, sizeof line);
      memcpy (line, p, len);
      line[len] = 0;
      dom_run_until (d, strtoll (line, &rest, 10));
      dom_run_line (d, rest + 1);
    }
  return buf_c (&d->log);
}

/* Whether the VM is a ready member of the replica, or changed within the last
   REP_PROBE_VALID_MS. */
static bool
was_member (const struct dom *d, const struct fake_vm *vm,
            const struct rep_replica *p)
{
  bool is = vm->up && !vm->silent && !vm->unloaded
            && strcmp (vm->replica, p->name) == 0
            && vm->generation == p->generation && d->now >= vm->ready_at;

  return is || d->now - vm->changed_at <= REP_PROBE_VALID_MS + TICK_MS;
}

unsigned
dom_false_complete (struct dom *d)
{
  unsigned n = 0;

  for (size_t c = 0; c < d->nreps; c++)
    for (size_t i = 0; i < d->reps[c]->nreplicas; i++)
      {
        const struct rep *r = d->reps[c];
        const struct rep_replica *p = &r->replicas[i];

        if (!p->complete || d->now - p->probed_at >= REP_PROBE_VALID_MS)
          continue;
        for (size_t v = 0; v < p->nvms; v++)
          n += !was_member (d, find_vm (d, r->vms[p->vms[v]].cfg->name), p);
      }
  return n;
}

clk_ms
dom_now (const struct dom *d)
{
  return d->now;
}

unsigned
dom_orders (const struct dom *d)
{
  return d->orders;
}

unsigned
dom_wrong_loads (const struct dom *d)
{
  return d->wrong_loads;
}

void
dom_check (const struct dom_options *opt, const char *script, const char *want)
{
  struct dom *d = dom_new (opt, 1);

  cr_expect_str_eq (run_script (d, script), want);
  cr_expect_eq (dom_wrong_loads (d), 0);
  dom_free (d);
}
