#include <stdlib.h>
#include <string.h>

#include "control/control.h"
#include "fleet/hash.h"
#include "route/share.h"

#define TICK_MS 1000

struct ctl_shares
{
  struct ctl *c;
  struct shr *core;
  uv_timer_t timer;
};

/** Lists the nodes of this region: all of them, or only the live ones. */
static size_t
list_region_nodes (const struct ctl *c, bool live, struct str *names)
{
  size_t n, found = 0;
  const struct mbr_node *const *nodes = ctl_swim_nodes (c->swim, &n);

  for (size_t i = 0; i < n; i++)
    if (str_is (nodes[i]->region, c->set.region)
        && (!live || nodes[i]->status <= MBR_SUSPECT))
      names[found++] = nodes[i]->name;
  return found;
}

/**
 * Picks the account's home by hashing.  During a partition, and shortly after
 * a membership change, two nodes may both be home; to stay within the limit,
 * the core reserves a part for nodes that it receives no demand from.
 */
static struct str
home_of (const struct ctl *c, struct str account, const struct str *live,
         size_t n)
{
  return n ? live[hash_pick (account, live, n)] : str_from (c->set.node);
}

static void
update_accounts (struct ctl_shares *s, clk_ms now, const struct str *live,
                 size_t n)
{
  const struct cfg *cfg = s->c->cfg;

  for (size_t i = 0; cfg != NULL && i < cfg->naccounts; i++)
    {
      const struct cfg_account *a = &cfg->accounts[i];
      struct shr_amount limit = { a->tokens_per_s, a->concurrency };
      struct str home = home_of (s->c, a->name, live, n);

      shr_set_account (s->core, now, a->name, &limit,
                       str_is (home, s->c->set.node));
    }
  shr_drop_unset (s->core);
}

static void
send_grant (struct ctl_shares *s, const struct shr_grant *g)
{
  Lapis__ShareGrant grant = LAPIS__SHARE_GRANT__INIT;
  Lapis__Frame frame = LAPIS__FRAME__INIT;
  char *account = str_dup (g->account);

  grant.account = account;
  grant.tokens_per_s = g->amount.tokens_per_s;
  grant.concurrency = g->amount.concurrency;
  grant.valid_ms = (uint32_t)g->valid_ms;
  frame.body_case = LAPIS__FRAME__BODY_SHARE_GRANT;
  frame.share_grant = &grant;
  if (str_is (g->node, s->c->set.node))
    ctl_shares_on_grant (s, &grant);
  else
    ctl_peers_send_node (s->c->peers, g->node, &frame);
  free (account);
}

static void
on_tick (uv_timer_t *t)
{
  struct ctl_shares *s = t->data;
  struct shr_grant grant;
  clk_ms now = clk_now ();
  size_t nall, n;
  struct str *names;

  ctl_swim_nodes (s->c->swim, &nall);
  names = xcalloc (nall + 1, sizeof *names);
  n = list_region_nodes (s->c, false, names);
  shr_set_nodes (s->core, names, n, nall);
  n = list_region_nodes (s->c, true, names);
  update_accounts (s, now, names, n);
  shr_tick (s->core, now);
  while (shr_next (s->core, &grant))
    send_grant (s, &grant);
  free (names);
}

struct ctl_shares *
ctl_shares_start (struct ctl *c, struct buf *err)
{
  struct ctl_shares *s = xcalloc (1, sizeof *s);

  s->c = c;
  s->core = shr_new ();
  uv_timer_init (c->loop, &s->timer);
  s->timer.data = s;
  uv_timer_start (&s->timer, on_tick, TICK_MS, TICK_MS);
  return s;
}

static void
on_closed (uv_handle_t *h)
{
  struct ctl_shares *s = h->data;
  shr_free (s->core);
  free (s);
}

void
ctl_shares_stop (struct ctl_shares *s)
{
  uv_close ((uv_handle_t *)&s->timer, on_closed);
}

static void
forward_demand (struct ctl_shares *s, struct str home,
                const Lapis__ShareDemand *d)
{
  Lapis__Frame frame = LAPIS__FRAME__INIT;

  frame.body_case = LAPIS__FRAME__BODY_SHARE_DEMAND;
  frame.share_demand = (Lapis__ShareDemand *)d;
  ctl_peers_send_node (s->c->peers, home, &frame);
}

/** Demand without a limit is not sent: it would be a useless frame per second
    from every node. */
static bool
account_has_limit (const struct ctl *c, struct str account)
{
  const struct cfg_account *a
      = c->cfg != NULL ? cfg_account (c->cfg, account) : NULL;

  return a != NULL && (a->tokens_per_s > 0 || a->concurrency > 0);
}

void
ctl_shares_on_demand (struct ctl_shares *s, struct str node,
                      const Lapis__ShareDemand *d)
{
  struct shr_amount demand = { d->tokens_per_s, d->concurrency };
  struct str account = str_from (d->account);
  struct str *live;
  struct str home;
  size_t n;

  /* A peer sends demand only to the node that it picked as home. */
  if (!str_is (node, s->c->set.node))
    {
      shr_report_demand (s->core, clk_now (), account, node, &demand);
      return;
    }
  if (!account_has_limit (s->c, account))
    return;
  ctl_swim_nodes (s->c->swim, &n);
  live = xcalloc (n + 1, sizeof *live);
  n = list_region_nodes (s->c, true, live);
  home = home_of (s->c, account, live, n);
  if (str_is (home, s->c->set.node))
    shr_report_demand (s->core, clk_now (), account, node, &demand);
  else
    forward_demand (s, home, d);
  free (live);
}

void
ctl_shares_on_grant (struct ctl_shares *s, const Lapis__ShareGrant *g)
{
  if (s->c->views != NULL)
    ctl_views_on_grant (s->c->views, g);
}
