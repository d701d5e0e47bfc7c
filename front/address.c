#include <stdlib.h>

#include "fleet/hash.h"
#include "fleet/member.h"
#include "front/callers.h"

/** Addresses in one response. */
#define MAX_ADDRESSES 4
#define MAX_NODES 512

/** Step of the load comparison, in open requests.  Nodes in the same step are
    ordered by hash. */
#define LOAD_STEP 64

struct candidate
{
  struct str name, zone;
  struct net_addr http;
  uint32_t load;
  size_t rank; /**< by rendezvous hash of (account, target) */
};

/** This node as the only candidate: no view was received yet, or there is no
    control process. */
static size_t
add_self (struct gw *g, struct candidate *out)
{
  if (g->leaving)
    return 0;
  out[0] = (struct candidate){ .name = str_from (g->set.node),
                               .zone = str_from (g->set.zone),
                               .http = g->set.gateway_http };
  out[0].http.port = gw_callers_port (g->callers);
  return 1;
}

/**
 * Lists only nodes with status alive.  Callers use a response until it
 * expires, so a node that is draining or suspected to have failed would
 * continue to get new callers while it waits for its requests to end.
 */
static size_t
list_candidates (struct gw *g, struct candidate *out)
{
  const struct gw_node *nodes;
  size_t n = 0, len = 0;

  nodes = g->view ? gw_view_nodes (g->view, &n) : NULL;
  if (n == 0)
    return add_self (g, out);
  for (size_t i = 0; i < n && len < MAX_NODES; i++)
    {
      bool self = str_is (nodes[i].name, g->set.node);
      if (nodes[i].status == MBR_ALIVE && nodes[i].http.port != 0
          && !(self && g->leaving))
        out[len++] = (struct candidate){ .name = nodes[i].name,
                                         .zone = nodes[i].zone,
                                         .http = nodes[i].http,
                                         .load = nodes[i].load };
    }
  return len;
}

static void
set_hash_ranks (struct candidate *c, size_t n, struct str account,
                struct str target)
{
  struct str *names = xcalloc (n, sizeof *names);
  size_t *order = xcalloc (n, sizeof *order);
  struct buf what = BUF_INIT;

  for (size_t i = 0; i < n; i++)
    names[i] = c[i].name;
  buf_add (&what, account);
  buf_add_char (&what, '\0');
  buf_add (&what, target);
  n = hash_pick_k (buf_str (&what), names, n, order, n);
  for (size_t i = 0; i < n; i++)
    c[order[i]].rank = i;
  buf_free (&what);
  free (order);
  free (names);
}

/** Order: own availability zone first, then load in steps of LOAD_STEP, then
    rank by hash. */
static int
compare_candidates (const void *a, const void *b, void *zone)
{
  const struct candidate *x = a, *y = b;
  bool same_zone_x = str_is (x->zone, zone),
       same_zone_y = str_is (y->zone, zone);
  uint32_t load_x = x->load / LOAD_STEP, load_y = y->load / LOAD_STEP;

  if (same_zone_x != same_zone_y)
    return same_zone_x ? -1 : 1;
  if (load_x != load_y)
    return load_x < load_y ? -1 : 1;
  return x->rank < y->rank ? -1 : x->rank > y->rank;
}

static void
write_response (const struct candidate *c, size_t n, clk_ms valid_ms,
                struct buf *out)
{
  buf_add_c (out, "{\"addresses\":[");
  for (size_t i = 0; i < n && i < MAX_ADDRESSES; i++)
    {
      buf_add_c (out, i ? ",{\"node\":" : "{\"node\":");
      buf_add_json (out, c[i].name);
      buf_add_c (out, ",\"address\":\"");
      net_addr_format (&c[i].http, out);
      buf_add_c (out, "\"}");
    }
  buf_addf (out, "],\"valid_ms\":%lld}\n", (long long)valid_ms);
}

/** Value of the parameter `key`, which includes the "=".  Percent-encoding is
    not decoded, as names contain no characters that need it. */
static struct str
query_value (struct str query, struct str key)
{
  while (query.len > 0)
    {
      size_t end = str_chr (query, '&');
      struct str item = str_head (query, end);
      if (str_starts (item, key))
        return str_skip (item, key.len);
      query = str_skip (query, end + 1);
    }
  return STR_EMPTY;
}

static void
refuse (struct gw *g, struct httpd_req *req, enum rt_code code,
        clk_ms retry_ms)
{
  struct gw_error e = { .status = rt_code_status (code),
                        .code = rt_code_name (code),
                        .message = gw_error_message (code),
                        .retry_ms = retry_ms };
  gw_refuse (g, req, &e);
}

static bool
target_exists (const struct cfg *cfg, struct str model, struct str service)
{
  return model.len ? cfg_model (cfg, model) != NULL
                   : cfg_service (cfg, service) != NULL;
}

void
gw_address (struct gw *g, const struct cfg_account *account,
            struct httpd_req *req)
{
  struct str query = httpd_get (req)->query;
  struct str model = query_value (query, STR ("model="));
  struct str service = query_value (query, STR ("service="));
  struct str target = model.len ? model : service;
  struct buf out = BUF_INIT;

  if ((model.len > 0) == (service.len > 0))
    {
      struct gw_error e = { .status = 400,
                            .code = "bad-request",
                            .message = "give either model= or service=" };
      gw_refuse (g, req, &e);
      return;
    }
  if (!target_exists (g->cfg, model, service))
    {
      refuse (g, req, RT_CODE_NO_TARGET, 0);
      return;
    }
  if (!cfg_account_may (account, target))
    {
      refuse (g, req, RT_CODE_FORBIDDEN, 0);
      return;
    }
  struct candidate *list = xcalloc (MAX_NODES, sizeof *list);
  size_t n = list_candidates (g, list);
  set_hash_ranks (list, n, account->name, target);
  qsort_r (list, n, sizeof *list, compare_candidates, g->set.zone);
  if (n == 0)
    refuse (g, req, RT_CODE_LEAVING, CLK_SECOND);
  else
    {
      write_response (list, n, g->cfg->limits.address_ms, &out);
      gw_answer_json (g, req, buf_str (&out));
    }
  buf_free (&out);
  free (list);
}
