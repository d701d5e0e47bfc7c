#include "config/parse.h"

#define MAX_KEYS 16
#define MAX_MAY 256
#define MAX_RULES 64
#define LOWEST_PRIORITY 3
#define MAX_MS 3600000
#define DAY_MS 86400000

static void
read_backend (struct prs *p, const struct rd_at *at, struct json_object *json,
              void *out)
{
  static const struct rd_field fields[] = {
    RD_REMOTE ("addr", offsetof (struct cfg_backend, addr), true),
    RD_FIELD ("zone", RD_NAME, offsetof (struct cfg_backend, zone), true),
  };

  rd_object (&p->rd, at, json, fields, RD_LEN (fields), out);
}

static void
read_rule (struct prs *p, const struct rd_at *at, struct json_object *json,
           struct cfg_rule *rule)
{
  static const struct rd_field fields[] = {
    RD_FIELD ("method", RD_TEXT, offsetof (struct cfg_rule, method), false),
    RD_FIELD ("path_prefix", RD_TEXT, offsetof (struct cfg_rule, path_prefix),
              false),
    RD_FIELD ("idempotent", RD_BOOL, offsetof (struct cfg_rule, idempotent),
              true),
  };
  struct rd_at path = { at, STR ("path_prefix"), 0 };
  struct rd_at method = { at, STR ("method"), 0 };

  rd_object (&p->rd, at, json, fields, RD_LEN (fields), rule);
  if (rule->path_prefix.len && rule->path_prefix.ptr[0] != '/')
    rd_error (&p->rd, &path, "does not begin with '/'");
  for (size_t i = 0; i < rule->method.len; i++)
    if (rule->method.ptr[i] < 'A' || rule->method.ptr[i] > 'Z')
      {
        rd_error (&p->rd, &method, "a method is in capital letters");
        break;
      }
}

static void
read_rules (struct prs *p, const struct rd_at *at, struct json_object *json,
            struct cfg_service *s)
{
  struct json_object *array
      = rd_member (&p->rd, at, json, "rules", json_type_array);
  struct rd_at list = { at, STR ("rules"), 0 };
  size_t n = array ? json_object_array_length (array) : 0;
  struct cfg_rule *rules;

  if (n > MAX_RULES)
    {
      rd_error (&p->rd, &list, "has %zu rules; at most %d are allowed", n,
                MAX_RULES);
      n = MAX_RULES;
    }
  rules = arena_alloc (p->rd.arena, n + 1, sizeof *rules);
  for (size_t i = 0; i < n; i++)
    {
      struct rd_at element = { &list, STR_EMPTY, i };
      read_rule (p, &element, json_object_array_get_idx (array, i), &rules[i]);
    }
  s->rules = rules;
  s->nrules = n;
}

static void
read_service (struct prs *p, const struct rd_at *at, struct json_object *json,
              void *out)
{
#define AT(member) offsetof (struct cfg_service, member)
  static const struct rd_field fields[] = {
    RD_ENUM ("mode", AT (mode), true, prs_modes),
    RD_KNOWN ("backends", true),
    RD_KNOWN ("rules", false),
    RD_RANGE ("capacity", RD_UNSIGNED, AT (capacity), false, 1, 100000),
    RD_RANGE ("connect_ms", RD_MS, AT (connect_ms), false, 1, MAX_MS),
    RD_RANGE ("first_byte_ms", RD_MS, AT (first_byte_ms), false, 1, MAX_MS),
    RD_RANGE ("progress_ms", RD_MS, AT (progress_ms), false, 1, MAX_MS),
    RD_KNOWN ("not_run_status", false),
  };
#undef AT
  struct cfg_service *s = out;
  void *backends = NULL;

  s->mode = CFG_OBSERVE;
  s->capacity = 8;
  s->connect_ms = 1000;
  s->first_byte_ms = 5000;
  s->progress_ms = 5000;
  rd_object (&p->rd, at, json, fields, RD_LEN (fields), s);
  prs_entries (p, at, json, "backends", sizeof (struct cfg_backend),
               read_backend, &backends, &s->nbackends);
  s->backends = backends;
  read_rules (p, at, json, s);
  s->nnot_run = rd_statuses (&p->rd, at, json, s->not_run_status);
}

void
prs_services (struct prs *p)
{
  void *out = NULL;

  prs_entries (p, &p->root, p->top, "services", sizeof (struct cfg_service),
               read_service, &out, &p->cfg->nservices);
  p->cfg->services = out;
}

static void
read_account (struct prs *p, const struct rd_at *at, struct json_object *json,
              void *out)
{
#define AT(member) offsetof (struct cfg_account, member)
  static const struct rd_field fields[] = {
    RD_KNOWN ("key_digests", true),
    RD_RANGE ("weight", RD_NUMBER, AT (weight), false, 0.001, 1000),
    RD_RANGE ("priority", RD_UNSIGNED, AT (priority), false, 0,
              LOWEST_PRIORITY),
    RD_RANGE ("tokens_per_s", RD_NUMBER, AT (tokens_per_s), false, 0, 1e9),
    RD_RANGE ("concurrency", RD_UNSIGNED, AT (concurrency), false, 0, 1000000),
    RD_KNOWN ("may", true),
  };
#undef AT
  struct cfg_account *a = out;

  a->weight = 1;
  a->priority = 1;
  rd_object (&p->rd, at, json, fields, RD_LEN (fields), a);
  a->key_digests = rd_strings (&p->rd, at, json, "key_digests", RD_DIGEST,
                               MAX_KEYS, &a->nkeys);
  a->may = rd_strings (&p->rd, at, json, "may", RD_TEXT, MAX_MAY, &a->nmay);
}

void
prs_accounts (struct prs *p)
{
  void *out = NULL;

  prs_entries (p, &p->root, p->top, "accounts", sizeof (struct cfg_account),
               read_account, &out, &p->cfg->naccounts);
  p->cfg->accounts = out;
}

static void
read_operator (struct prs *p, const struct rd_at *at, struct json_object *json,
               void *out)
{
  static const char *const roles[] = { "viewer", "operator", NULL };
  static const struct rd_field fields[] = {
    RD_FIELD ("token_digest", RD_DIGEST,
              offsetof (struct cfg_operator, token_digest), true),
    RD_ENUM ("role", offsetof (struct cfg_operator, role), true, roles),
  };

  rd_object (&p->rd, at, json, fields, RD_LEN (fields), out);
}

void
prs_operators (struct prs *p)
{
  void *out = NULL;

  prs_entries (p, &p->root, p->top, "operators", sizeof (struct cfg_operator),
               read_operator, &out, &p->cfg->noperators);
  p->cfg->operators = out;
}

void
prs_limits (struct prs *p)
{
#define AT(member) offsetof (struct cfg_limits, member)
  static const struct rd_field fields[] = {
    RD_RANGE ("max_body", RD_SIZE, AT (max_body), false, 1024, 67108864),
    RD_RANGE ("max_connections", RD_SIZE, AT (max_connections), false, 1,
              1000000),
    RD_RANGE ("max_streams", RD_SIZE, AT (max_streams), false, 1, 1000000),
    RD_RANGE ("max_queue", RD_SIZE, AT (max_queue), false, 1, 1000000),
    RD_RANGE ("queue_ms", RD_MS, AT (queue_ms), false, 1, MAX_MS),
    RD_RANGE ("slot_ms", RD_MS, AT (slot_ms), false, 0, 1000),
    RD_RANGE ("claim_window_ms", RD_MS, AT (claim_window_ms), false, 1000,
              DAY_MS),
    RD_RANGE ("kept_answer", RD_SIZE, AT (kept_answer), false, 0, 262144),
    RD_RANGE ("address_ms", RD_MS, AT (address_ms), false, 1000, MAX_MS),
  };
#undef AT
  struct cfg_limits *l = &p->cfg->limits;
  struct rd_at here = { &p->root, STR ("limits"), 0 };
  struct json_object *json
      = rd_member (&p->rd, &p->root, p->top, "limits", json_type_object);

  *l = (struct cfg_limits){ .max_body = 1048576,
                            .max_connections = 10000,
                            .max_streams = 5000,
                            .max_queue = 1000,
                            .queue_ms = 10000,
                            .slot_ms = 50,
                            .claim_window_ms = 600000,
                            .kept_answer = 65536,
                            .address_ms = CFG_ADDRESS_MS };
  if (json)
    rd_object (&p->rd, &here, json, fields, RD_LEN (fields), l);
}

void
prs_policy (struct prs *p)
{
#define AT(member) offsetof (struct cfg_policy, member)
  static const struct rd_field fields[] = {
    RD_RANGE ("downtime_weight", RD_NUMBER, AT (downtime_weight), false, 0,
              1e6),
    RD_RANGE ("stranded_weight", RD_NUMBER, AT (stranded_weight), false, 0,
              1e6),
    RD_RANGE ("weight_gb_per_s", RD_NUMBER, AT (weight_gb_per_s), false, 0.001,
              1e6),
    RD_RANGE ("vm_return_ms", RD_MS, AT (vm_return_ms), false, 1000, DAY_MS),
  };
#undef AT
  struct cfg_policy *policy = &p->cfg->policy;
  struct rd_at here = { &p->root, STR ("policy"), 0 };
  struct json_object *json
      = rd_member (&p->rd, &p->root, p->top, "policy", json_type_object);

  *policy = (struct cfg_policy){ .downtime_weight = 1,
                                 .stranded_weight = 1,
                                 .weight_gb_per_s = 10,
                                 .vm_return_ms = 300000 };
  if (json)
    rd_object (&p->rd, &here, json, fields, RD_LEN (fields), policy);
}
