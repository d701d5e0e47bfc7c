#include "builtin/assign-world.h"

#include <stdlib.h>
#include <string.h>

#include "base/chart.h"

#define MAX_VMS 128
#define MAX_REPLICAS 64

/* Step while something goes on, and while only time passes. */
#define STEP_MS ((clk_ms)1000)
#define LONG_STEP_MS ((clk_ms)10000)
#define QUIET_MS ((clk_ms)90000)

/* After its weights are there a member joins its replica. */
#define JOIN_MS ((clk_ms)10000)
/* A VM that was free for a while is lent to other work, and has to be taken
   back first. */
#define LENT_AFTER_MS ((clk_ms)60000)
#define TAKE_BACK_MS ((clk_ms)10000)

struct vm_state
{
  clk_ms away_until; /* 0: is there */
  char replica[16];
  int64_t generation;
  bool unloaded;
  double left_gb;    /* still to load */
  clk_ms loads_from; /* taken back before */
  clk_ms ready_at;   /* once all is loaded */
  clk_ms free_since;
};

struct awd
{
  struct awd_shape shape;
  struct rep *rep;
  struct cfg *cfg;
  clk_ms now, active_at;
  struct vm_state vms[MAX_VMS];
  size_t nvms;
  struct buf value;
  int64_t revision;
  clk_ms whole_at[MAX_REPLICAS];
  unsigned whole;
};

static void
add_vms (const struct awd_shape *s, struct buf *out)
{
  unsigned n = s->replicas * s->vms + s->spares;

  for (unsigned i = 0; i < n; i++)
    buf_addf (out, "%s\"v%03u\":{\"addr\":\"127.0.0.1:%u\"%s}", i ? "," : "",
              i, 1000 + i,
              i >= s->replicas * s->vms ? ",\"spare_only\":true" : "");
}

struct cfg *
awd_config (const struct awd_shape *s)
{
  struct fnd_list findings = { 0 };
  struct buf text = BUF_INIT;
  struct cfg *cfg;

  buf_add_c (&text, "{\"domains\":{\"d\":{\"zone\":\"z\",\"checks_fence\":"
                    "true,\"vms\":{");
  add_vms (s, &text);
  buf_addf (&text,
            "}}},\"models\":{\"m\":{\"mode\":\"manage\",\"vms\":%u,"
            "\"replicas\":%u,\"weight_gb\":%f,\"capacity\":16,"
            "\"tokens_per_s\":900}},\"replicas\":{",
            s->vms, s->replicas, s->weight_gb);
  for (unsigned i = 0; i < s->replicas; i++)
    buf_addf (&text,
              "%s\"r%02u\":{\"model\":\"m\",\"domain\":\"d\",\"mode\":"
              "\"manage\",\"vms\":[]}",
              i ? "," : "", i);
  buf_addf (&text,
            "},\"policy\":{\"downtime_weight\":%f,\"stranded_weight\":%f,"
            "\"weight_gb_per_s\":%f,\"vm_return_ms\":%lld}}",
            s->downtime_weight, s->stranded_weight, s->gb_per_s,
            (long long)s->vm_return_ms);
  cfg = cfg_parse (buf_str (&text), 1, &findings);
  fnd_free (&findings);
  buf_free (&text);
  return cfg;
}

struct awd *
awd_new (struct cfg *cfg, const struct awd_shape *shape,
         enum rep_repair_policy rule, bool no_budget, uint64_t seed)
{
  struct awd *w = xcalloc (1, sizeof *w);
  struct rep_options opt = { .domain = STR ("d"),
                             .key = STR ("assignment"),
                             .owner_key = STR ("owner"),
                             .repair_policy = rule,
                             .no_budget = no_budget };
  struct rep_event config = { .kind = REP_CONFIG };
  struct rep_event owner = { .kind = REP_OWNER, .on = true, .fence = 1 };

  w->shape = *shape;
  w->cfg = cfg_ref (cfg);
  w->nvms = cfg->nvms < MAX_VMS ? cfg->nvms : MAX_VMS;
  w->revision = 1;
  for (size_t i = 0; i < w->nvms; i++)
    w->vms[i].unloaded = true;
  w->rep = rep_new (&opt, seed);
  config.cfg = cfg;
  rep_event (w->rep, 0, &config);
  rep_event (w->rep, 0, &owner);
  return w;
}

void
awd_free (struct awd *w)
{
  rep_free (w->rep);
  cfg_unref (w->cfg);
  buf_free (&w->value);
  free (w);
}

static bool
is_ready (const struct vm_state *m, clk_ms now)
{
  return !m->unloaded && m->left_gb <= 0 && now >= m->ready_at;
}

static void
answer_probe (struct awd *w, size_t i)
{
  const struct vm_state *m = &w->vms[i];
  struct rep_event ev = { .kind = REP_PROBED, .vm = w->cfg->vms[i].name };

  if (m->away_until)
    {
      ev.kind = REP_PROBE_FAILED;
      rep_event (w->rep, w->now, &ev);
    }
  ev.member = (struct rep_member_state){
    .replica = str_from (m->replica),
    .generation = m->generation,
    .ready = is_ready (m, w->now),
    .unloaded = m->unloaded,
  };
  rep_event (w->rep, w->now, &ev);
}

static void
load (struct awd *w, struct vm_state *m, const struct rep_action *a)
{
  memcpy (m->replica, a->replica.ptr, a->replica.len);
  m->replica[a->replica.len] = 0;
  m->generation = a->generation;
  m->ready_at = w->now + JOIN_MS;
  if (!m->unloaded)
    return;
  m->unloaded = false;
  m->left_gb = w->shape.weight_gb / w->shape.vms;
  m->loads_from = w->now;
  if (w->now - m->free_since >= LENT_AFTER_MS)
    m->loads_from += TAKE_BACK_MS;
}

static void
make_blank (struct awd *w, struct vm_state *m)
{
  m->unloaded = true;
  m->replica[0] = 0;
  m->generation = 0;
  m->left_gb = 0;
  m->free_since = w->now;
}

static void
take_order (struct awd *w, const struct rep_action *a)
{
  struct vm_state *m = &w->vms[a->vm - w->cfg->vms];
  struct rep_event ev = { .kind = REP_ORDER_RESPONSE,
                          .vm = a->vm->name,
                          .token = a->token,
                          .on = !m->away_until };

  w->active_at = w->now;
  if (ev.on && a->order == REP_LOAD)
    load (w, m, a);
  else if (ev.on)
    make_blank (w, m);
  rep_event (w->rep, w->now, &ev);
}

static void
take_store (struct awd *w, const struct rep_action *a)
{
  struct store_kv kv = { 0 };
  struct store_result res = { .status = STORE_OK };
  struct rep_event ev
      = { .kind = REP_STORE_RESPONSE, .token = a->token, .result = &res };

  if (a->kind == REP_STORE_TXN)
    {
      w->active_at = w->now;
      buf_clear (&w->value);
      buf_add (&w->value, a->txn.puts[0].value);
      res.revision = ++w->revision;
    }
  kv.value = buf_str (&w->value);
  kv.mod_rev = w->revision;
  res.kvs = &kv;
  res.nkvs = w->value.len != 0;
  rep_event (w->rep, w->now, &ev);
}

/* Orders first: their strings are valid only until the next event. */
static void
pump (struct awd *w)
{
  struct rep_action a[4 * MAX_VMS];
  size_t n = 0;

  while (n < 4 * MAX_VMS && rep_next (w->rep, &a[n]))
    n++;
  for (size_t i = 0; i < n; i++)
    if (a[i].kind == REP_SEND_ORDER)
      take_order (w, &a[i]);
  for (size_t i = 0; i < n; i++)
    if (a[i].kind == REP_STORE_TXN || a[i].kind == REP_STORE_READ)
      take_store (w, &a[i]);
  if (n)
    pump (w);
}

static bool
is_loading (const struct awd *w, const struct vm_state *m)
{
  return !m->away_until && !m->unloaded && m->left_gb > 0
         && w->now >= m->loads_from;
}

/* All VMs that load share the weight store's rate. */
static void
load_all (struct awd *w, clk_ms span)
{
  unsigned n = 0;
  double each;

  for (size_t i = 0; i < w->nvms; i++)
    n += is_loading (w, &w->vms[i]);
  each = n ? w->shape.gb_per_s * (double)span / 1000 / n : 0;
  for (size_t i = 0; i < w->nvms; i++)
    {
      struct vm_state *m = &w->vms[i];

      if (!is_loading (w, m))
        continue;
      w->active_at = w->now;
      m->left_gb -= each;
      if (m->left_gb <= 0)
        m->ready_at = w->now + JOIN_MS;
    }
}

static void
return_vms (struct awd *w)
{
  for (size_t i = 0; i < w->nvms; i++)
    {
      struct vm_state *m = &w->vms[i];

      if (!m->away_until || w->now < m->away_until)
        continue;
      m->away_until = 0;
      make_blank (w, m);
      w->active_at = w->now;
    }
}

static void
count_whole (struct awd *w)
{
  size_t n;
  const struct rep_view *v = rep_views (w->rep, w->now, &n);

  w->whole = 0;
  for (size_t i = 0; i < n; i++)
    if (v[i].complete)
      w->whole_at[w->whole++] = w->now;
}

static void
step (struct awd *w, clk_ms span)
{
  struct rep_event tick = { .kind = REP_TICK };

  w->now += span;
  load_all (w, span);
  return_vms (w);
  for (size_t i = 0; i < w->nvms; i++)
    answer_probe (w, i);
  rep_event (w->rep, w->now, &tick);
  pump (w);
}

void
awd_idle (struct awd *w, unsigned seconds)
{
  struct rep_event tick = { .kind = REP_TICK };

  for (unsigned i = 0; i < 10 * seconds; i++)
    {
      w->now += 100;
      for (size_t v = i % 10; v < w->nvms; v += 10)
        answer_probe (w, v);
      rep_event (w->rep, w->now, &tick);
      pump (w);
    }
}

static bool
is_quiet (const struct awd *w)
{
  return w->now - w->active_at > QUIET_MS;
}

static bool
all_there (const struct awd *w)
{
  for (size_t i = 0; i < w->nvms; i++)
    if (w->vms[i].away_until)
      return false;
  return true;
}

clk_ms
awd_settle (struct awd *w, clk_ms most)
{
  clk_ms start = w->now;
  unsigned before = 0;

  w->active_at = w->now;
  while (before < w->shape.replicas && w->now - start < most)
    {
      clk_ms kept[MAX_REPLICAS];

      memcpy (kept, w->whole_at, sizeof kept);
      step (w, STEP_MS);
      count_whole (w);
      /* Only those that are new get this time. */
      memcpy (w->whole_at, kept, before * sizeof *kept);
      before = w->whole;
    }
  return w->now - start;
}

static void
strike (struct awd *w, const struct awd_fault *f)
{
  for (unsigned i = f->first; i < f->first + f->n && i < w->nvms; i++)
    if (w->vms[i].away_until < w->now + f->away)
      w->vms[i].away_until = w->now + f->away;
  w->active_at = w->now;
}

void
awd_run (struct awd *w, const struct awd_fault *faults, size_t n, clk_ms until)
{
  size_t next = 0;

  while (w->now < until)
    {
      clk_ms to
          = next < n && faults[next].at < until ? faults[next].at : until;
      clk_ms span = is_quiet (w) ? LONG_STEP_MS : STEP_MS;

      count_whole (w);
      /* Nothing can change before the next fault. */
      if (is_quiet (w) && all_there (w) && w->whole == w->shape.replicas)
        span = to - w->now;
      if (span > to - w->now)
        span = to - w->now;
      if (span > 0)
        step (w, span);
      while (next < n && faults[next].at <= w->now)
        strike (w, &faults[next++]);
    }
}

unsigned
awd_whole (const struct awd *w)
{
  return w->whole;
}

clk_ms
awd_now (const struct awd *w)
{
  return w->now;
}

const clk_ms *
awd_whole_at (const struct awd *w)
{
  return w->whole_at;
}

void
awd_measures (const struct awd *w, double *downtime, double *stranded)
{
  rep_downtime_stats (w->rep, downtime, stranded);
  *downtime /= 1000;
  *stranded /= 1000;
}
