#include "config/config.h"

#include <stdlib.h>
#include <string.h>

#include "config/json.h"
#include "config/parse.h"

/** Until the other nodes of a region have heard that one leaves. */
#define SPREAD_MS (2 * CLK_SECOND)

/** The configuration and what owns its memory, in one allocation. */
struct whole
{
  struct cfg cfg;
  struct arena arena;
};

static void
check_top (struct prs *p)
{
  static const struct rd_field fields[] = {
    RD_KNOWN ("models", false),   RD_KNOWN ("replicas", false),
    RD_KNOWN ("domains", false),  RD_KNOWN ("services", false),
    RD_KNOWN ("accounts", false), RD_KNOWN ("operators", false),
    RD_KNOWN ("limits", false),   RD_KNOWN ("policy", false),
  };

  rd_object (&p->rd, &p->root, p->top, fields, RD_LEN (fields), NULL);
}

static void
parse_all (struct prs *p)
{
  check_top (p);
  prs_domains (p);
  prs_models (p);
  prs_replicas (p);
  prs_services (p);
  prs_accounts (p);
  prs_operators (p);
  prs_limits (p);
  prs_policy (p);
  prs_cross (p);
}

struct cfg *
cfg_parse_object (struct json_object *top, int64_t revision,
                  struct fnd_list *findings)
{
  struct whole *w = xcalloc (1, sizeof *w);
  struct prs p = { .rd = { &w->arena, findings }, .cfg = &w->cfg, .top = top };
  size_t errors = findings->errors;

  w->cfg.revision = revision;
  w->cfg.arena = &w->arena;
  w->cfg.refs = 1;
  w->cfg.text = arena_str (
      &w->arena,
      str_from (json_object_to_json_string_ext (top, JSON_C_TO_STRING_PLAIN)));
  parse_all (&p);
  if (findings->errors == errors)
    return &w->cfg;
  cfg_unref (&w->cfg);
  return NULL;
}

struct cfg *
cfg_parse (struct str text, int64_t revision, struct fnd_list *findings)
{
  struct json_object *top;
  struct cfg *c;

  if (text.len > CFG_MAX_TEXT)
    {
      fnd_addf (findings, FND_ERROR, NULL, 0, NULL,
                "has %zu bytes; at most %zu fit into the store", text.len,
                CFG_MAX_TEXT);
      return NULL;
    }
  top = cfj_read (text, NULL, findings);
  if (!top)
    return NULL;
  c = cfg_parse_object (top, revision, findings);
  json_object_put (top);
  return c;
}

struct cfg *
cfg_ref (struct cfg *c)
{
  c->refs++;
  return c;
}

void
cfg_unref (struct cfg *c)
{
  if (!c || --c->refs > 0)
    return;
  arena_free (c->arena);
  free (c);
}

/** Entry of that name among structures that begin with their name. */
static const void *
find_entry (const void *entries, size_t n, size_t size, struct str name)
{
  size_t lo = 0;
  size_t hi = n;

  while (lo < hi)
    {
      size_t mid = (lo + hi) / 2;
      const void *entry = (const char *)entries + mid * size;
      int order = str_cmp (*(const struct str *)entry, name);
      if (order == 0)
        return entry;
      if (order < 0)
        lo = mid + 1;
      else
        hi = mid;
    }
  return NULL;
}

const struct cfg_model *
cfg_model (const struct cfg *c, struct str name)
{
  return find_entry (c->models, c->nmodels, sizeof *c->models, name);
}

const struct cfg_replica *
cfg_replica (const struct cfg *c, struct str name)
{
  return find_entry (c->replicas, c->nreplicas, sizeof *c->replicas, name);
}

const struct cfg_service *
cfg_service (const struct cfg *c, struct str name)
{
  return find_entry (c->services, c->nservices, sizeof *c->services, name);
}

const struct cfg_account *
cfg_account (const struct cfg *c, struct str name)
{
  return find_entry (c->accounts, c->naccounts, sizeof *c->accounts, name);
}

const struct cfg_domain *
cfg_domain (const struct cfg *c, struct str name)
{
  return find_entry (c->domains, c->ndomains, sizeof *c->domains, name);
}

const struct cfg_account *
cfg_account_by_key (const struct cfg *c, struct str digest)
{
  const struct cfg_key *key
      = find_entry (c->keys, c->nkeys, sizeof *c->keys, digest);

  return key && digest.len ? key->account : NULL;
}

const struct cfg_operator *
cfg_operator_by_token (const struct cfg *c, struct str digest)
{
  for (size_t i = 0; digest.len && i < c->noperators; i++)
    if (str_eq (c->operators[i].token_digest, digest))
      return &c->operators[i];
  return NULL;
}

bool
cfg_account_may (const struct cfg_account *a, struct str target)
{
  for (size_t i = 0; i < a->nmay; i++)
    if (str_is (a->may[i], "*") || str_eq (a->may[i], target))
      return true;
  return false;
}

static bool
method_is_idempotent (struct str method)
{
  static const char *const methods[]
      = { "GET", "HEAD", "OPTIONS", "PUT", "DELETE" };

  for (size_t i = 0; i < RD_LEN (methods); i++)
    if (str_is (method, methods[i]))
      return true;
  return false;
}

clk_ms
cfg_leave_ms (const struct cfg *c)
{
  return SPREAD_MS + (c ? c->limits.address_ms : CFG_ADDRESS_MS);
}

bool
cfg_service_idempotent (const struct cfg_service *s, struct str method,
                        struct str path)
{
  for (size_t i = 0; i < s->nrules; i++)
    {
      const struct cfg_rule *rule = &s->rules[i];
      if (rule->method.len && !str_eq (rule->method, method))
        continue;
      if (str_starts (path, rule->path_prefix))
        return rule->idempotent;
    }
  return method_is_idempotent (method);
}
