#include "serve/peers-int.h"

#include <stdlib.h>

/*
 * Rate limits set by backend servers, and permits to send requests to these
 * servers.  A new limit is sent to each linked node, and each node forwards
 * limits that are new to it, so a limit also reaches nodes whose links to the
 * sender are cut.  Permits are granted by the aggregator (the grantor); each
 * node sends it the demand for permits with its load.
 */

/** Most rows in one frame. */
#define ROWS_MAX 256
/** A peer that has sent no frame for this long is no longer used as
    grantor. */
#define GRANTOR_TIMEOUT_MS ((clk_ms)1000)

/* --- limits ------------------------------------------------------------ */

static void
send_limits (struct peer *x, const struct lim_update *list, size_t n)
{
  Lapis__RateLimits limits = LAPIS__RATE_LIMITS__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  Lapis__RateLimit rows[ROWS_MAX], *row_list[ROWS_MAX];

  for (size_t i = 0; i < n; i++)
    {
      lapis__rate_limit__init (&rows[i]);
      rows[i].server = list[i].server;
      rows[i].limited = list[i].limited;
      rows[i].per_s = list[i].rate;
      rows[i].age_ms = (uint32_t)list[i].age_ms;
      row_list[i] = &rows[i];
    }
  limits.n_limits = n;
  limits.limits = row_list;
  f.body_case = LAPIS__FRAME__BODY_RATE_LIMITS;
  f.rate_limits = &limits;
  link_send (x->link, &f);
}

static void
send_all_limits (struct peer *x, const struct lim_update *list, size_t n)
{
  for (size_t i = 0; i < n; i += ROWS_MAX)
    send_limits (x, list + i, n - i < ROWS_MAX ? n - i : ROWS_MAX);
}

void
prs_send_limits (struct peer *x, clk_ms now)
{
  size_t n;
  const struct lim_update *list = lim_snapshot (x->p->s->limits, now, &n);

  send_all_limits (x, list, n);
}

void
srv_peers_send_limits (struct srv *s)
{
  size_t n;
  const struct lim_update *list = lim_updates (s->limits, clk_now (), &n);

  for (struct peer *x = s->peers ? s->peers->peers : NULL; x; x = x->next)
    if (x->up)
      send_all_limits (x, list, n);
}

void
prs_on_limits (struct peer *x, const Lapis__RateLimits *limits)
{
  struct srv *s = x->p->s;
  clk_ms now = clk_now ();
  size_t changed = 0;

  for (size_t i = 0; i < limits->n_limits; i++)
    {
      const Lapis__RateLimit *row = limits->limits[i];
      struct lim_update update = { .server = row->server,
                                   .limited = row->limited,
                                   .rate = row->per_s,
                                   .age_ms = row->age_ms };
      if (row->per_s >= 0)
        changed += lim_apply_update (s->limits, now, &update);
    }
  if (changed == 0)
    return;
  LOG (limits_heard, LOG_C ("peer", x->node), LOG_I ("servers", changed),
       LOG_I ("limited", lim_stats (s->limits, now).limited));
  srv_peers_send_limits (s);
  dsp_permits_granted (s->dispatch, now);
  srv_run_actions (s);
}

/* --- permits ----------------------------------------------------------- */

/** Whether the peer grants permits to this node. */
static bool
is_grantor (const struct peer *x, clk_ms now)
{
  return x == x->p->aggregator && x->up
         && now - x->received_at < GRANTOR_TIMEOUT_MS;
}

/** The demand of this node, in wire format. */
static size_t
make_permit_rows (const struct srv *s, clk_ms now, bool repeat,
                  struct prs_permit_rows *w)
{
  size_t n;
  const struct lim_permits *list = lim_get_demand (s->limits, now, repeat, &n);

  w->rows = xrealloc (w->rows, (n + 1) * sizeof *w->rows);
  w->list = xrealloc (w->list, (n + 1) * sizeof (*w->list));
  for (size_t i = 0; i < n; i++)
    {
      lapis__permits__init (&w->rows[i]);
      w->rows[i].server = list[i].server;
      w->rows[i].n = list[i].n;
      w->rows[i].per_s = list[i].rate;
      w->rows[i].age_ms = (uint32_t)list[i].age_ms;
      w->rows[i].cold_ms = (uint32_t)list[i].cold_ms;
      w->list[i] = &w->rows[i];
    }
  return n;
}

void
prs_fill_permits_wanted (const struct peer *x, clk_ms now,
                         struct prs_permit_rows *w, Lapis__NodeLoad *load)
{
  load->follows = lim_any_limited (x->p->s->limits) && is_grantor (x, now);
  load->n_wanted = 0;
  if (!load->follows)
    return;
  load->n_wanted = make_permit_rows (x->p->s, now, true, w);
  load->wanted = w->list;
}

void
prs_permit_rows_free (struct prs_permit_rows *w)
{
  free (w->rows);
  free (w->list);
}

static void
apply_permits_wanted (struct peer *x, bool repeat, Lapis__Permits *const *rows,
                      size_t n)
{
  struct lim_permits *list = xcalloc (n + 1, sizeof *list);

  for (size_t i = 0; i < n; i++)
    {
      list[i].server = rows[i]->server;
      list[i].n = rows[i]->n;
      list[i].rate = rows[i]->per_s;
      list[i].age_ms = rows[i]->age_ms;
      list[i].cold_ms = rows[i]->cold_ms;
    }
  lim_on_follower_demand (x->p->s->limits, clk_now (), x->hash, repeat, list,
                          n);
  free (list);
  srv_peers_send_limits (x->p->s);
  prs_grant_permits (x->p, clk_now (), false);
}

void
prs_on_permits_wanted (struct peer *x, const Lapis__NodeLoad *load)
{
  if (load->follows)
    apply_permits_wanted (x, true, load->wanted, load->n_wanted);
  else
    lim_remove_follower (x->p->s->limits, x->hash);
}

void
prs_on_permit_ask (struct peer *x, const Lapis__PermitAsk *ask)
{
  apply_permits_wanted (x, false, ask->wanted, ask->n_wanted);
}

void
srv_peers_request_permits (struct srv *s)
{
  struct srv_peers *p = s->peers;
  clk_ms now = clk_now ();
  Lapis__PermitAsk ask = LAPIS__PERMIT_ASK__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  struct prs_permit_rows w = { 0 };

  if (!p || !lim_poll_new_demand (s->limits))
    return;
  if (!p->aggregator || !is_grantor (p->aggregator, now))
    {
      prs_grant_permits (p, now, false);
      return;
    }
  ask.n_wanted = make_permit_rows (s, now, false, &w);
  ask.wanted = w.list;
  f.body_case = LAPIS__FRAME__BODY_PERMIT_ASK;
  f.permit_ask = &ask;
  link_send (p->aggregator->link, &f);
  prs_permit_rows_free (&w);
}

void
prs_on_permit_grants (struct peer *x, const Lapis__PermitGrants *grants)
{
  struct srv *s = x->p->s;
  clk_ms now = clk_now ();

  srv_check_pause (s, now);
  if (!is_grantor (x, now))
    return;
  for (size_t i = 0; i < grants->n_permits; i++)
    if (grants->permits[i]->cold_ms > 0)
      lim_add_cold_permits (s->limits, now, grants->permits[i]->server,
                            grants->permits[i]->n,
                            grants->permits[i]->cold_ms);
    else
      lim_add_permits (s->limits, now, grants->permits[i]->server,
                       grants->permits[i]->n);
  dsp_permits_granted (s->dispatch, now);
  srv_run_actions (s);
}

static struct peer *
find_peer_by_hash (const struct srv_peers *p, uint64_t hash)
{
  struct peer *x = p->peers;

  while (x && x->hash != hash)
    x = x->next;
  return x;
}

/** Send each grant in its own frame: there are few grants, and a request
    waits for each. */
static void
send_permits (struct srv_peers *p, const struct lim_permits *list, size_t n)
{
  Lapis__PermitGrants grants = LAPIS__PERMIT_GRANTS__INIT;
  Lapis__Permits row = LAPIS__PERMITS__INIT, *rows = &row;
  Lapis__Frame f = LAPIS__FRAME__INIT;

  grants.n_permits = 1;
  grants.permits = &rows;
  f.body_case = LAPIS__FRAME__BODY_PERMIT_GRANTS;
  f.permit_grants = &grants;
  for (size_t i = 0; i < n; i++)
    {
      struct peer *x = find_peer_by_hash (p, list[i].node);
      row.server = list[i].server;
      row.n = list[i].n;
      row.cold_ms = (uint32_t)list[i].cold_ms;
      if (x && x->up)
        link_send (x->link, &f);
    }
}

void
prs_grant_permits (struct srv_peers *p, clk_ms now, bool all_servers)
{
  struct srv *s = p->s;
  unsigned listed = (unsigned)p->nlisted_peers + 1,
           announced = srv_peers_count_nodes (s);
  const struct lim_permits *list;
  size_t n;

  if (!lim_any_limited (s->limits))
    return;
  lim_set_role (s->limits, now,
                !p->aggregator || !is_grantor (p->aggregator, now),
                listed > announced ? listed : announced);
  list = lim_grant (s->limits, now, all_servers, &n);
  send_permits (p, list, n);
  dsp_permits_granted (s->dispatch, now);
  srv_run_actions (s);
}
