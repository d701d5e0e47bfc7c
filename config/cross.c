#include <stdlib.h>
#include <string.h>

#include "config/nearest.h"
#include "config/parse.h"

/** A member or element below @p up on the stack of the caller. */
#define KEY(up, s) (&(struct rd_at){ (up), (s), 0 })
#define INDEX(up, i) (&(struct rd_at){ (up), STR_EMPTY, (i) })
#define KIND(p, lit) KEY (&(p)->root, STR (lit))

static void
check_vm_names (struct prs *p)
{
  const struct cfg_vm *vms = p->cfg->vms;

  for (size_t i = 1; i < p->cfg->nvms; i++)
    {
      const struct cfg_vm *a = &vms[p->vms_by_name[i - 1]];
      const struct cfg_vm *b = &vms[p->vms_by_name[i]];
      if (str_eq (a->name, b->name))
        rd_error (&p->rd,
                  KEY (KEY (KEY (KIND (p, "domains"), b->domain), STR ("vms")),
                       b->name),
                  "VM '%.*s' is in domain '%.*s' as well", STR_ARG (b->name),
                  STR_ARG (a->domain));
    }
}

/** An address in use, and by what. */
struct use
{
  const struct net_addr *addr;
  struct str kind;  /**< "domains" or "services" */
  struct str owner; /**< domain or service */
  struct str list;  /**< "vms" or "backends" */
  struct str name;
};

static int
compare_uses (const void *a, const void *b)
{
  const struct use *x = a;
  const struct use *y = b;
  int order = strcmp (x->addr->host, y->addr->host);

  if (order)
    return order;
  if (x->addr->port != y->addr->port)
    return x->addr->port < y->addr->port ? -1 : 1;
  /* Keep the findings in one order for one document. */
  order = str_cmp (x->kind, y->kind);
  if (!order)
    order = str_cmp (x->owner, y->owner);
  return order ? order : str_cmp (x->name, y->name);
}

static size_t
collect_uses (const struct cfg *c, struct use *out)
{
  size_t n = 0;

  for (size_t i = 0; i < c->nvms; i++)
    out[n++] = (struct use){ &c->vms[i].addr, STR ("domains"),
                             c->vms[i].domain, STR ("vms"), c->vms[i].name };
  for (size_t i = 0; i < c->nservices; i++)
    for (size_t j = 0; j < c->services[i].nbackends; j++)
      out[n++]
          = (struct use){ &c->services[i].backends[j].addr, STR ("services"),
                          c->services[i].name, STR ("backends"),
                          c->services[i].backends[j].name };
  return n;
}

static size_t
count_uses (const struct cfg *c)
{
  size_t n = c->nvms;

  for (size_t i = 0; i < c->nservices; i++)
    n += c->services[i].nbackends;
  return n;
}

/* Two names for one address: orders and load meant for one backend server
   would reach the other, and a replica would count one VM as two. */
static void
check_addresses (struct prs *p)
{
  struct use *uses = xcalloc (count_uses (p->cfg) + 1, sizeof *uses);
  size_t n = collect_uses (p->cfg, uses);

  qsort (uses, n, sizeof *uses, compare_uses);
  for (size_t i = 1; i < n; i++)
    {
      const struct use *a = &uses[i - 1];
      const struct use *b = &uses[i];
      if (b->addr->port == 0 || !net_addr_eq (a->addr, b->addr))
        continue;
      rd_error (
          &p->rd,
          KEY (KEY (KEY (KEY (KEY (&p->root, b->kind), b->owner), b->list),
                    b->name),
               STR ("addr")),
          "is the address of '%.*s' of '%.*s' as well", STR_ARG (a->name),
          STR_ARG (a->owner));
    }
  free (uses);
}

/** Names of an array of structures that begin with their name. */
static struct str *
names_of (const void *entries, size_t n, size_t size)
{
  struct str *names = xcalloc (n + 1, sizeof *names);

  for (size_t i = 0; i < n; i++)
    names[i] = *(const struct str *)((const char *)entries + i * size);
  return names;
}

static void
report_unknown (struct prs *p, const struct rd_at *at, const char *what,
                struct str name, const struct str *known, size_t n)
{
  size_t pick = near_pick (name, known, n);

  if (pick < n)
    rd_error (&p->rd, at, "there is no %s '%.*s'; did you mean '%.*s'?", what,
              STR_ARG (name), STR_ARG (known[pick]));
  else
    rd_error (&p->rd, at, "there is no %s '%.*s'", what, STR_ARG (name));
}

static void
check_replica_names (struct prs *p, const struct rd_at *at,
                     const struct cfg_replica *rep)
{
  const struct cfg *c = p->cfg;
  struct str *names;

  if (rep->model.len && !cfg_model (c, rep->model))
    {
      names = names_of (c->models, c->nmodels, sizeof *c->models);
      report_unknown (p, KEY (at, STR ("model")), "model", rep->model, names,
                      c->nmodels);
      free (names);
    }
  if (rep->domain.len && !cfg_domain (c, rep->domain))
    {
      names = names_of (c->domains, c->ndomains, sizeof *c->domains);
      report_unknown (p, KEY (at, STR ("domain")), "domain", rep->domain,
                      names, c->ndomains);
      free (names);
    }
}

static void
check_replica_size (struct prs *p, const struct rd_at *at,
                    const struct cfg_replica *rep)
{
  const struct cfg_model *m = cfg_model (p->cfg, rep->model);

  if (!m || m->vms == 0 || rep->nvms == m->vms)
    return;
  if (rep->nvms == 0 && rep->mode == CFG_MANAGE)
    return;
  rd_error (&p->rd, KEY (at, STR ("vms")),
            "has %zu VMs; a replica of '%.*s' has %u", rep->nvms,
            STR_ARG (m->name), m->vms);
}

static void
check_member (struct prs *p, const struct rd_at *at,
              const struct cfg_replica *rep, size_t i,
              const struct cfg_replica **holder)
{
  size_t vm = rep->vms[i];
  const struct cfg_vm *v = &p->cfg->vms[vm];
  const struct rd_at *here = INDEX (KEY (at, STR ("vms")), i);

  if (holder[vm])
    rd_error (&p->rd, here, "VM '%.*s' belongs to replica '%.*s' %s",
              STR_ARG (v->name), STR_ARG (holder[vm]->name),
              holder[vm] == rep ? "twice" : "as well");
  holder[vm] = rep;
  if (!str_eq (v->domain, rep->domain))
    rd_error (&p->rd, here,
              "VM '%.*s' is in domain '%.*s', the replica in '%.*s'",
              STR_ARG (v->name), STR_ARG (v->domain), STR_ARG (rep->domain));
  if (v->spare_only)
    rd_error (&p->rd, here, "VM '%.*s' is spare only", STR_ARG (v->name));
}

static void
check_replicas (struct prs *p)
{
  const struct cfg *c = p->cfg;
  const struct cfg_replica **holder = xcalloc (c->nvms + 1, sizeof *holder);

  for (size_t i = 0; i < c->nreplicas; i++)
    {
      const struct cfg_replica *rep = &c->replicas[i];
      const struct rd_at *at = KEY (KIND (p, "replicas"), rep->name);
      check_replica_names (p, at, rep);
      check_replica_size (p, at, rep);
      for (size_t j = 0; j < rep->nvms; j++)
        check_member (p, at, rep, j, holder);
    }
  free (holder);
}

/** Models and services share the names that accounts are allowed. */
static void
check_service_names (struct prs *p)
{
  for (size_t i = 0; i < p->cfg->nservices; i++)
    {
      const struct cfg_service *s = &p->cfg->services[i];
      const struct rd_at *at = KEY (KIND (p, "services"), s->name);
      if (cfg_model (p->cfg, s->name))
        rd_error (&p->rd, at, "a model has this name as well");
      if (s->nbackends == 0)
        rd_warn (&p->rd, at, "has no backend server");
    }
}

static struct str *
target_names (const struct cfg *c, size_t *n)
{
  struct str *names = xcalloc (c->nmodels + c->nservices + 1, sizeof *names);

  *n = 0;
  for (size_t i = 0; i < c->nmodels; i++)
    names[(*n)++] = c->models[i].name;
  for (size_t i = 0; i < c->nservices; i++)
    names[(*n)++] = c->services[i].name;
  return names;
}

static void
check_may (struct prs *p, const struct rd_at *at, const struct cfg_account *a)
{
  size_t n;
  struct str *targets = target_names (p->cfg, &n);

  for (size_t i = 0; i < a->nmay; i++)
    if (a->may[i].ptr && !str_is (a->may[i], "*")
        && !cfg_model (p->cfg, a->may[i]) && !cfg_service (p->cfg, a->may[i]))
      report_unknown (p, INDEX (KEY (at, STR ("may")), i), "model or service",
                      a->may[i], targets, n);
  free (targets);
}

static void
check_accounts (struct prs *p)
{
  for (size_t i = 0; i < p->cfg->naccounts; i++)
    {
      const struct cfg_account *a = &p->cfg->accounts[i];
      const struct rd_at *at = KEY (KIND (p, "accounts"), a->name);
      if (a->nkeys == 0)
        rd_warn (&p->rd, at, "has no key, so nobody can use it");
      check_may (p, at, a);
    }
}

static int
compare_keys (const void *a, const void *b)
{
  const struct cfg_key *x = a;
  const struct cfg_key *y = b;
  int order = str_cmp (x->digest, y->digest);

  return order ? order : str_cmp (x->account->name, y->account->name);
}

static void
index_keys (struct prs *p)
{
  struct cfg *c = p->cfg;
  size_t total = 0;

  for (size_t i = 0; i < c->naccounts; i++)
    total += c->accounts[i].nkeys;
  c->keys = arena_alloc (p->rd.arena, total + 1, sizeof *c->keys);
  for (size_t i = 0; i < c->naccounts; i++)
    for (size_t j = 0; j < c->accounts[i].nkeys; j++)
      c->keys[c->nkeys++]
          = (struct cfg_key){ c->accounts[i].key_digests[j], &c->accounts[i] };
  qsort (c->keys, c->nkeys, sizeof *c->keys, compare_keys);
}

/* One digest in two accounts: which one a caller is counted as would be
   chance, and both would share a revoked key. */
static void
check_keys (struct prs *p)
{
  const struct cfg *c = p->cfg;

  for (size_t i = 1; i < c->nkeys; i++)
    if (c->keys[i].digest.len
        && str_eq (c->keys[i - 1].digest, c->keys[i].digest))
      rd_error (&p->rd,
                KEY (KEY (KIND (p, "accounts"), c->keys[i].account->name),
                     STR ("key_digests")),
                "account '%.*s' has one of these digests %s",
                STR_ARG (c->keys[i - 1].account->name),
                c->keys[i - 1].account == c->keys[i].account ? "twice"
                                                             : "as well");
}

static void
check_tokens (struct prs *p)
{
  const struct cfg *c = p->cfg;

  for (size_t i = 0; i < c->noperators; i++)
    {
      const struct cfg_operator *o = &c->operators[i];
      const struct rd_at *at
          = KEY (KEY (KIND (p, "operators"), o->name), STR ("token_digest"));
      const struct cfg_operator *other
          = cfg_operator_by_token (c, o->token_digest);
      const struct cfg_account *account
          = cfg_account_by_key (c, o->token_digest);
      if (other && other != o)
        rd_error (&p->rd, at, "operator '%.*s' has this digest as well",
                  STR_ARG (other->name));
      if (account)
        rd_error (&p->rd, at, "account '%.*s' has this digest as well",
                  STR_ARG (account->name));
    }
}

static void
check_policy (struct prs *p)
{
  const struct cfg_policy *policy = &p->cfg->policy;

  if (policy->downtime_weight == 0 && policy->stranded_weight == 0)
    rd_error (&p->rd, KIND (p, "policy"),
              "downtime_weight and stranded_weight are both 0");
}

void
prs_cross (struct prs *p)
{
  index_keys (p);
  check_vm_names (p);
  check_addresses (p);
  check_replicas (p);
  check_service_names (p);
  check_accounts (p);
  check_keys (p);
  check_tokens (p);
  check_policy (p);
}
