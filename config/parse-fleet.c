#include <stdlib.h>
#include <string.h>

#include "config/json.h"
#include "config/parse.h"

#define MAX_VMS_OF_REPLICA 16

const char *const prs_modes[] = { "observe", "route", "manage", NULL };

void
prs_entries (struct prs *p, const struct rd_at *at, struct json_object *json,
             const char *key, size_t size, prs_entry_fn fn, void **out,
             size_t *n)
{
  struct json_object *map
      = rd_member (&p->rd, at, json, key, json_type_object);
  struct rd_at here = { at, str_from (key), 0 };
  struct str *names;

  *n = 0;
  if (!map)
    return;
  names = cfj_keys (map, n);
  *out = arena_alloc (p->rd.arena, *n + 1, size);
  for (size_t i = 0; i < *n; i++)
    {
      struct rd_at entry = { &here, names[i], 0 };
      void *to = (char *)*out + i * size;
      rd_check_name (&p->rd, &entry, names[i]);
      *(struct str *)to = arena_str (p->rd.arena, names[i]);
      fn (p, &entry, json_object_object_get (map, names[i].ptr), to);
    }
  free (names);
}

static void
read_vm (struct prs *p, const struct rd_at *at, struct json_object *json,
         void *out)
{
  static const struct rd_field fields[] = {
    RD_REMOTE ("addr", offsetof (struct cfg_vm, addr), true),
    RD_FIELD ("spare_only", RD_BOOL, offsetof (struct cfg_vm, spare_only),
              false),
  };

  rd_object (&p->rd, at, json, fields, RD_LEN (fields), out);
}

static void
append_vms (struct cfg *c, struct cfg_domain *d, const struct cfg_vm *vms,
            size_t n)
{
  d->first_vm = c->nvms;
  d->nvms = n;
  c->vms = xrealloc (c->vms, (c->nvms + n + 1) * sizeof *c->vms);
  for (size_t i = 0; i < n; i++)
    {
      c->vms[c->nvms] = vms[i];
      c->vms[c->nvms++].domain = d->name;
    }
}

static void
read_domain (struct prs *p, const struct rd_at *at, struct json_object *json,
             void *out)
{
  static const struct rd_field fields[] = {
    RD_FIELD ("zone", RD_NAME, offsetof (struct cfg_domain, zone), true),
    RD_FIELD ("checks_fence", RD_BOOL,
              offsetof (struct cfg_domain, checks_fence), false),
    RD_KNOWN ("vms", true),
  };
  void *vms = NULL;
  size_t n;

  rd_object (&p->rd, at, json, fields, RD_LEN (fields), out);
  prs_entries (p, at, json, "vms", sizeof (struct cfg_vm), read_vm, &vms, &n);
  append_vms (p->cfg, out, vms, n);
}

/* The VMs of all domains grow in one array; it moves to the arena at the
   end, as an arena can't grow an array in place. */
static void
move_vms_to_arena (struct prs *p)
{
  struct cfg *c = p->cfg;
  struct cfg_vm *vms = arena_alloc (p->rd.arena, c->nvms + 1, sizeof *c->vms);

  if (c->nvms)
    memcpy (vms, c->vms, c->nvms * sizeof *vms);
  free (c->vms);
  c->vms = vms;
}

static int
compare_vms (const void *a, const void *b, void *ctx)
{
  const struct cfg_vm *vms = ctx;

  return str_cmp (vms[*(const size_t *)a].name, vms[*(const size_t *)b].name);
}

static void
index_vms (struct prs *p)
{
  size_t n = p->cfg->nvms;

  p->vms_by_name = arena_alloc (p->rd.arena, n + 1, sizeof (size_t));
  for (size_t i = 0; i < n; i++)
    p->vms_by_name[i] = i;
  qsort_r (p->vms_by_name, n, sizeof (size_t), compare_vms, p->cfg->vms);
}

void
prs_domains (struct prs *p)
{
  void *out = NULL;

  prs_entries (p, &p->root, p->top, "domains", sizeof (struct cfg_domain),
               read_domain, &out, &p->cfg->ndomains);
  p->cfg->domains = out;
  move_vms_to_arena (p);
  index_vms (p);
}

static void
read_model (struct prs *p, const struct rd_at *at, struct json_object *json,
            void *out)
{
#define AT(member) offsetof (struct cfg_model, member)
  static const struct rd_field fields[] = {
    RD_ENUM ("mode", AT (mode), true, prs_modes),
    RD_RANGE ("vms", RD_UNSIGNED, AT (vms), true, 1, MAX_VMS_OF_REPLICA),
    RD_RANGE ("replicas", RD_UNSIGNED, AT (replicas), false, 0, 10000),
    RD_RANGE ("weight_gb", RD_NUMBER, AT (weight_gb), false, 0, 1e6),
    RD_RANGE ("capacity", RD_UNSIGNED, AT (capacity), false, 1, 100000),
    RD_RANGE ("tokens_per_s", RD_NUMBER, AT (tokens_per_s), false, 1, 1e7),
    RD_FIELD ("can_resume", RD_BOOL, AT (can_resume), false),
    RD_RANGE ("first_byte_ms", RD_MS, AT (first_byte_ms), false, 1, 3600000),
    RD_RANGE ("progress_ms", RD_MS, AT (progress_ms), false, 1, 3600000),
    RD_KNOWN ("not_run_status", false),
  };
#undef AT
  struct cfg_model *m = out;

  m->mode = CFG_OBSERVE;
  m->capacity = 16;
  m->tokens_per_s = 500;
  m->first_byte_ms = 10000;
  m->progress_ms = 5000;
  rd_object (&p->rd, at, json, fields, RD_LEN (fields), m);
  m->nnot_run = rd_statuses (&p->rd, at, json, m->not_run_status);
}

void
prs_models (struct prs *p)
{
  void *out = NULL;

  prs_entries (p, &p->root, p->top, "models", sizeof (struct cfg_model),
               read_model, &out, &p->cfg->nmodels);
  p->cfg->models = out;
}

static bool
find_vm (const struct prs *p, struct str name, size_t *out)
{
  size_t lo = 0;
  size_t hi = p->cfg->nvms;

  while (lo < hi)
    {
      size_t mid = (lo + hi) / 2;
      int order = str_cmp (p->cfg->vms[p->vms_by_name[mid]].name, name);
      if (order == 0)
        {
          *out = p->vms_by_name[mid];
          return true;
        }
      if (order < 0)
        lo = mid + 1;
      else
        hi = mid;
    }
  return false;
}

static void
read_members (struct prs *p, const struct rd_at *at, struct json_object *json,
              struct cfg_replica *rep)
{
  size_t n;
  struct str *names
      = rd_strings (&p->rd, at, json, "vms", RD_TEXT, MAX_VMS_OF_REPLICA, &n);
  struct rd_at list = { at, STR ("vms"), 0 };

  for (size_t i = 0; i < n; i++)
    {
      struct rd_at element = { &list, STR_EMPTY, i };
      if (find_vm (p, names[i], &rep->vms[rep->nvms]))
        rep->nvms++;
      else if (names[i].ptr)
        rd_error (&p->rd, &element, "no domain has a VM '%.*s'",
                  STR_ARG (names[i]));
    }
}

static void
read_replica (struct prs *p, const struct rd_at *at, struct json_object *json,
              void *out)
{
#define AT(member) offsetof (struct cfg_replica, member)
  static const struct rd_field fields[] = {
    RD_FIELD ("model", RD_NAME, AT (model), true),
    RD_FIELD ("domain", RD_NAME, AT (domain), true),
    RD_ENUM ("mode", AT (mode), true, prs_modes),
    RD_KNOWN ("vms", false),
  };
#undef AT

  rd_object (&p->rd, at, json, fields, RD_LEN (fields), out);
  read_members (p, at, json, out);
}

void
prs_replicas (struct prs *p)
{
  void *out = NULL;

  prs_entries (p, &p->root, p->top, "replicas", sizeof (struct cfg_replica),
               read_replica, &out, &p->cfg->nreplicas);
  p->cfg->replicas = out;
}
