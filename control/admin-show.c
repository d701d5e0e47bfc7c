#include "control/admin.h"

#include "base/digest.h"

static const char *const status_names[] = {
  [MBR_ALIVE] = "alive",
  [MBR_SUSPECT] = "suspect",
  [MBR_LEAVING] = "leaving",
  [MBR_DEAD] = "dead",
};

/* Appends ,"KEY": to which the caller adds the value. */
static void
add_key (struct buf *out, const char *key)
{
  buf_addf (out, ",\"%s\":", key);
}

static void
add_text (struct buf *out, const char *key, struct str value)
{
  add_key (out, key);
  buf_add_json (out, value);
}

static void
add_int (struct buf *out, const char *key, int64_t value)
{
  add_key (out, key);
  buf_addf (out, "%lld", (long long)value);
}

static void
add_bool (struct buf *out, const char *key, bool value)
{
  add_key (out, key);
  buf_add_c (out, value ? "true" : "false");
}

static void
add_addr (struct buf *out, const char *key, const struct net_addr *a)
{
  struct buf text = BUF_INIT;
  if (a->port != 0)
    net_addr_format (a, &text);
  add_text (out, key, buf_str (&text));
  buf_free (&text);
}

static int64_t
revision_of (const struct adm_request *r)
{
  return r->a->c->cfg->revision;
}

static void
begin_list (const struct adm_request *r, const char *key, struct buf *out)
{
  buf_addf (out, "{\"revision\":%lld,\"%s\":[", (long long)revision_of (r),
            key);
}

static void
end_list (const struct adm_request *r, struct buf *out)
{
  buf_add_c (out, "]}\n");
  adm_respond (r->http, 200, buf_str (out));
  buf_free (out);
}

/* --- replicas ----------------------------------------------------------- */

static void
add_vms (const struct ctl *c, struct str replica, struct buf *out)
{
  const struct cfg_replica *declared = cfg_replica (c->cfg, replica);
  add_key (out, "declared_vms");
  buf_add_char (out, '[');
  for (size_t i = 0; declared && i < declared->nvms; i++)
    {
      if (i > 0)
        buf_add_char (out, ',');
      buf_add_json (out, c->cfg->vms[declared->vms[i]].name);
    }
  buf_add_char (out, ']');
}

static void
add_replica (const struct ctl *c, const struct ctl_replica *r, struct buf *out)
{
  clk_ms left = r->valid_until - clk_now ();
  buf_add_c (out, "{\"replica\":");
  buf_add_json (out, r->name);
  add_text (out, "model", r->model);
  add_text (out, "domain", r->domain);
  add_text (out, "owner", r->owner);
  add_int (out, "generation", r->generation);
  add_int (out, "fence", r->fence);
  add_text (out, "state", str_from (r->state));
  add_bool (out, "whole", r->complete && left > 0);
  add_bool (out, "draining", r->draining);
  add_int (out, "valid_ms", left > 0 ? left : 0);
  add_int (out, "load", r->load);
  add_addr (out, "leader", &r->leader);
  add_vms (c, r->name, out);
  buf_add_char (out, '}');
}

void
adm_replicas (const struct adm_request *r)
{
  struct buf out = BUF_INIT;
  size_t n;
  const struct ctl_replica *all = ctl_domains_replicas (r->a->c->domains, &n);
  begin_list (r, "replicas", &out);
  for (size_t i = 0; i < n; i++)
    {
      if (i > 0)
        buf_add_char (&out, ',');
      add_replica (r->a->c, &all[i], &out);
    }
  end_list (r, &out);
}

const struct ctl_replica *
adm_find_replica (const struct ctl *c, struct str name)
{
  size_t n;
  const struct ctl_replica *all = ctl_domains_replicas (c->domains, &n);
  for (size_t i = 0; i < n; i++)
    if (str_eq (all[i].name, name))
      return &all[i];
  return NULL;
}

void
adm_replica (const struct adm_request *r)
{
  struct buf out = BUF_INIT;
  const struct ctl_replica *found = adm_find_replica (r->a->c, r->name);
  if (!found)
    {
      adm_error (r->http, 404, "no-replica", "no replica of that name");
      return;
    }
  add_replica (r->a->c, found, &out);
  buf_add_char (&out, '\n');
  adm_respond (r->http, 200, buf_str (&out));
  buf_free (&out);
}

/* --- nodes -------------------------------------------------------------- */

static void
add_node (const struct mbr_node *n, struct buf *out)
{
  buf_add_c (out, "{\"node\":");
  buf_add_json (out, n->name);
  add_text (out, "zone", n->zone);
  add_text (out, "region", n->region);
  add_text (out, "status", str_from (status_names[n->status]));
  add_int (out, "boot", (int64_t)n->boot);
  add_int (out, "load", n->load);
  add_int (out, "revision", n->config_revision);
  add_addr (out, "http", &n->gw_http);
  add_addr (out, "gateway_peer", &n->gw_peer);
  add_addr (out, "peer", &n->peer);
  add_addr (out, "swim", &n->swim);
  buf_add_char (out, '}');
}

void
adm_nodes (const struct adm_request *r)
{
  struct buf out = BUF_INIT;
  size_t n;
  const struct mbr_node *const *nodes = ctl_swim_nodes (r->a->c->swim, &n);
  begin_list (r, "nodes", &out);
  for (size_t i = 0; i < n; i++)
    {
      if (i > 0)
        buf_add_char (&out, ',');
      add_node (nodes[i], &out);
    }
  end_list (r, &out);
}

const struct mbr_node *
adm_find_node (const struct ctl *c, struct str name)
{
  size_t n;
  const struct mbr_node *const *nodes = ctl_swim_nodes (c->swim, &n);
  const struct mbr_node *found = NULL;
  for (size_t i = 0; i < n; i++)
    if (str_eq (nodes[i]->name, name)
        && (!found || nodes[i]->boot > found->boot))
      found = nodes[i];
  return found;
}

void
adm_node (const struct adm_request *r)
{
  struct buf out = BUF_INIT;
  const struct mbr_node *found = adm_find_node (r->a->c, r->name);
  if (!found)
    {
      adm_error (r->http, 404, "no-node", "no node of that name");
      return;
    }
  add_node (found, &out);
  buf_add_char (&out, '\n');
  adm_respond (r->http, 200, buf_str (&out));
  buf_free (&out);
}

/* Lists the revision in force at each node that is not dead; `config status
   --wait` polls this list. */
void
adm_status (const struct adm_request *r)
{
  struct buf out = BUF_INIT;
  size_t n;
  bool first = true;
  const struct mbr_node *const *nodes = ctl_swim_nodes (r->a->c->swim, &n);
  begin_list (r, "nodes", &out);
  for (size_t i = 0; i < n; i++)
    {
      if (nodes[i]->status == MBR_DEAD)
        continue;
      buf_add_c (&out, first ? "{\"node\":" : ",{\"node\":");
      first = false;
      buf_add_json (&out, nodes[i]->name);
      add_text (&out, "zone", nodes[i]->zone);
      add_text (&out, "status", str_from (status_names[nodes[i]->status]));
      add_int (&out, "revision", nodes[i]->config_revision);
      buf_add_char (&out, '}');
    }
  end_list (r, &out);
}

/* --- accounts and configuration ----------------------------------------- */

static void
add_account (const struct cfg_account *a, struct buf *out)
{
  buf_add_c (out, "{\"account\":");
  buf_add_json (out, a->name);
  add_int (out, "keys", (int64_t)a->nkeys);
  add_key (out, "weight");
  buf_addf (out, "%g", a->weight);
  add_int (out, "priority", a->priority);
  add_key (out, "tokens_per_s");
  buf_addf (out, "%.15g", a->tokens_per_s);
  add_int (out, "concurrency", a->concurrency);
  add_key (out, "may");
  buf_add_char (out, '[');
  for (size_t i = 0; i < a->nmay; i++)
    {
      if (i > 0)
        buf_add_char (out, ',');
      buf_add_json (out, a->may[i]);
    }
  buf_add_c (out, "]}");
}

void
adm_accounts (const struct adm_request *r)
{
  const struct cfg *cfg = r->a->c->cfg;
  struct buf out = BUF_INIT;
  begin_list (r, "accounts", &out);
  for (size_t i = 0; i < cfg->naccounts; i++)
    {
      if (i > 0)
        buf_add_char (&out, ',');
      add_account (&cfg->accounts[i], &out);
    }
  end_list (r, &out);
}

void
adm_config (const struct adm_request *r)
{
  struct str text = ctl_spread_text (r->a->c->spread);
  struct buf out = BUF_INIT;
  buf_addf (&out, "{\"revision\":%lld,\"hash\":\"",
            (long long)revision_of (r));
  dig_add_hex (&out, text);
  buf_add_char (&out, '"');
  add_text (&out, "text", text);
  buf_add_c (&out, "}\n");
  adm_respond (r->http, 200, buf_str (&out));
  buf_free (&out);
}
