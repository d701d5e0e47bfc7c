#include "control/control.h"

#include <stdlib.h>

#include "fleet/hash.h"
#include "route/share.h"

/* Four times a period, so that a division is at most a quarter late. */
#define TICK_MS (SHR_PERIOD_MS / 4)

/** One account that has a limit, and where its shares are divided. */
struct limited
{
  char *account;
  char *home; /* NULL: not known yet */
};

struct ctl_shares
{
  struct ctl *c;
  struct shr *core;
  uv_timer_t timer;
  struct limited *limited;
  size_t n;
};

static void
free_limited (struct ctl_shares *s)
{
  for (size_t i = 0; i < s->n; i++)
    {
      free (s->limited[i].account);
      free (s->limited[i].home);
    }
  free (s->limited);
  s->limited = NULL;
  s->n = 0;
}

static struct limited *
find_limited (struct ctl_shares *s, struct str account)
{
  for (size_t i = 0; i < s->n; i++)
    if (str_is (account, s->limited[i].account))
      return &s->limited[i];
  return NULL;
}

static bool
is_here (const struct ctl_shares *s, const char *home)
{
  return home && str_is (str_from (home), s->c->set.node);
}

/* --- homes -------------------------------------------------------------- */

/** Names of the region's nodes; the first @p fit of them may be homes. */
struct region
{
  struct str *names;
  size_t n;
  size_t fit;
};

static void
add_nodes (const struct ctl_shares *s, struct region *r, bool fit)
{
  size_t n;
  const struct mbr_node *const *nodes = ctl_swim_nodes (s->c->swim, &n);
  for (size_t i = 0; i < n; i++)
    {
      /* A suspected node is mostly there; moving its accounts and back would
         make two quiet times for nothing. */
      bool there
          = nodes[i]->status == MBR_ALIVE || nodes[i]->status == MBR_SUSPECT;
      if (str_is (nodes[i]->region, s->c->set.region) && there == fit)
        r->names[r->n++] = nodes[i]->name;
    }
}

/** Dead nodes count in N until they are forgotten, as gateways count them:
    one that is only cut off goes on with its part of the limit. */
static struct region
look_around (const struct ctl_shares *s)
{
  struct region r = { 0 };
  size_t n;
  ctl_swim_nodes (s->c->swim, &n);
  r.names = xcalloc (n + 1, sizeof *r.names);
  add_nodes (s, &r, true);
  r.fit = r.n;
  add_nodes (s, &r, false);
  return r;
}

static void
move_home (struct ctl_shares *s, struct limited *l, struct str home,
           clk_ms now)
{
  if (l->home && str_is (home, l->home))
    return;
  free (l->home);
  l->home = str_dup (home);
  shr_home (s->core, now, str_from (l->account), is_here (s, l->home));
}

static void
find_homes (struct ctl_shares *s, clk_ms now)
{
  struct region r = look_around (s);
  shr_nodes (s->core, now, r.names, r.n);
  for (size_t i = 0; i < s->n && r.fit; i++)
    {
      struct buf role = BUF_INIT;
      buf_addf (&role, "shares of %s", s->limited[i].account);
      size_t at = hash_pick (buf_str (&role), r.names, r.fit);
      move_home (s, &s->limited[i], r.names[at], now);
      buf_free (&role);
    }
  free (r.names);
}

/* --- grants and demands ------------------------------------------------- */

static void
send_grant (struct ctl_shares *s, const struct shr_grant *grant)
{
  Lapis__ShareGrant g = LAPIS__SHARE_GRANT__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  char *account = str_dup (grant->account);
  g.account = account;
  g.tokens_per_s = grant->tokens_per_s;
  g.concurrency = grant->concurrency;
  g.valid_ms = (uint32_t)grant->valid_ms;
  f.body_case = LAPIS__FRAME__BODY_SHARE_GRANT;
  f.share_grant = &g;
  if (str_is (grant->node, s->c->set.node))
    ctl_shares_grant (s, &g);
  else
    ctl_peers_send_node (s->c->peers, grant->node, &f);
  free (account);
}

static void
on_tick (uv_timer_t *t)
{
  struct ctl_shares *s = t->data;
  struct shr_grant grant;
  clk_ms now = clk_now ();
  find_homes (s, now);
  shr_tick (s->core, now);
  while (shr_next (s->core, &grant))
    send_grant (s, &grant);
}

static void
forward (struct ctl_shares *s, const struct limited *l,
         const Lapis__ShareDemand *d)
{
  Lapis__Frame f = LAPIS__FRAME__INIT;
  f.body_case = LAPIS__FRAME__BODY_SHARE_DEMAND;
  f.share_demand = (Lapis__ShareDemand *)d;
  ctl_peers_send_node (s->c->peers, str_from (l->home), &f);
}

/**
 * A demand of this node's gateway goes to the account's home.  One that came
 * from a peer is for this node or is dropped: the peer sees another home, and
 * passing it on could send it round for good while views differ.
 */
void
ctl_shares_demand (struct ctl_shares *s, struct str node,
                   const Lapis__ShareDemand *d)
{
  if (!s)
    return;
  struct limited *l = find_limited (s, str_from (d->account));
  if (!l || !l->home)
    return;
  if (is_here (s, l->home))
    shr_demand (s->core, clk_now (), str_from (d->account), node,
                d->tokens_per_s, d->concurrency);
  else if (str_is (node, s->c->set.node))
    forward (s, l, d);
}

void
ctl_shares_grant (struct ctl_shares *s, const Lapis__ShareGrant *g)
{
  if (s && s->c->views)
    ctl_views_share (s->c->views, g);
}

/* --- start and stop ----------------------------------------------------- */

static size_t
read_limits (struct ctl_shares *s, struct shr_limit *limits)
{
  const struct cfg *cfg = s->c->cfg;
  size_t n = 0;
  for (size_t i = 0; i < cfg->naccounts; i++)
    {
      const struct cfg_account *a = &cfg->accounts[i];
      if (a->tokens_per_s <= 0 && a->concurrency == 0)
        continue;
      limits[n++] = (struct shr_limit){ a->name, a->tokens_per_s,
                                        (double)a->concurrency };
    }
  return n;
}

void
ctl_shares_config (struct ctl_shares *s)
{
  const struct cfg *cfg = s->c->cfg;
  if (!cfg)
    return;
  struct shr_limit *limits = xcalloc (cfg->naccounts + 1, sizeof *limits);
  size_t n = read_limits (s, limits);
  struct limited *list = xcalloc (n + 1, sizeof *list);
  for (size_t i = 0; i < n; i++)
    {
      struct limited *old = find_limited (s, limits[i].account);
      list[i].account = str_dup (limits[i].account);
      list[i].home = old && old->home ? xstrdup (old->home) : NULL;
    }
  shr_limits (s->core, limits, n);
  free_limited (s);
  s->limited = list;
  s->n = n;
  free (limits);
  find_homes (s, clk_now ());
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
  ctl_shares_config (s);
  return s;
}

static void
on_closed (uv_handle_t *h)
{
  struct ctl_shares *s = h->data;
  shr_free (s->core);
  free_limited (s);
  free (s);
}

void
ctl_shares_stop (struct ctl_shares *s)
{
  uv_close ((uv_handle_t *)&s->timer, on_closed);
}
