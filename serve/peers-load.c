#include "serve/peers-int.h"

#include <stdlib.h>
#include <string.h>

#include "serve/load-sum.h"

/*
 * Loads of endpoints in the frames between nodes.  In a small fleet each node
 * sends its load to all others.  In a large fleet the number of these frames
 * would grow with the square of the number of nodes, so each node sends its
 * load to one aggregator, which adds the loads up and sends the sum to all.
 * The aggregator is the leader or, without a leader, the linked node that
 * comes first by rly_cmp().  A node also sends its load to its other peers,
 * once every SLOW_SEND_INTERVAL_MS.  These loads are used while no aggregator
 * sends sums.
 */

/** How long a peer's list may differ from the leader's until the leader sends
    the complete list.  The peer's own reads, some three in 2 s, remove most
    differences.  The time doubles with each list that doesn't help: complete
    lists take much of a small VM's link. */
#define LIST_RESEND_MIN_MS ((clk_ms)1000)
#define LIST_RESEND_MAX_MS ((clk_ms)32000)
/** Interval at which, in a large fleet, a node sends its load to peers
    other than the aggregator. */
#define SLOW_SEND_INTERVAL_MS ((clk_ms)1000)
/** A sum older than this is not used, because loads change faster. */
#define SUM_MAX_AGE_MS ((clk_ms)450)
/** Peer id under which the dispatch core stores the sum of the loads of all
    other nodes; the id of a peer is the hash of its name. */
#define SUM_OF_OTHERS 0

bool
prs_is_sum_fresh (const struct srv_peers *p, clk_ms now)
{
  return now - p->sum_received_at < SUM_MAX_AGE_MS;
}

void
prs_pass_load_to_dispatch (struct peer *x, clk_ms now)
{
  bool direct = x->up && !prs_is_sum_fresh (x->p, now);

  dsp_set_peer_load (x->p->s->dispatch, now, x->timestamp_received_at, x->hash,
                     x->loads, direct ? x->nloads : 0);
}

static void
pass_all_loads_to_dispatch (struct srv_peers *p, clk_ms now)
{
  for (struct peer *x = p->peers; x; x = x->next)
    prs_pass_load_to_dispatch (x, now);
}

/** If the sum has become too old, use the loads received from each peer again.
 */
static void
expire_sum (struct srv_peers *p, clk_ms now)
{
  if (p->sum_received_at == 0 || prs_is_sum_fresh (p, now))
    return;
  p->sum_received_at = 0;
  dsp_set_peer_load (p->s->dispatch, now, now, SUM_OF_OTHERS, NULL, 0);
  pass_all_loads_to_dispatch (p, now);
}

static size_t
read_loads (struct srv *s, Lapis__PlaceLoad *const *rows, size_t n,
            struct dsp_endpoint_load **out)
{
  clk_ms now = clk_now ();

  *out = xrealloc (*out, (n + 1) * sizeof (**out));
  for (size_t i = 0; i < n; i++)
    {
      const Lapis__PlaceLoad *pl = rows[i];
      (*out)[i]
          = (struct dsp_endpoint_load){ .endpoint = pl->place,
                                        .in_flight = pl->in_flight,
                                        .streaming = pl->begun,
                                        .pending_prefill = pl->unread_tokens,
                                        .last_event_at
                                        = now - pl->heard_age_ms,
                                        .stalled = pl->stalled,
                                        .process_ended = pl->ended };
      if (pl->stalled || pl->ended)
        srv_leader_endpoint_stalled_or_ended (s, pl->place);
    }
  return n;
}

/**
 * As leader, send the complete list to a peer that has received all changes
 * and holds another list nevertheless: it has read the list itself and judges
 * a replica otherwise, or an update was lost.  Until then it reads the list by
 * itself.
 */
static void
check_peer_list (struct peer *x, uint64_t digest, clk_ms now)
{
  struct srv *s = x->p->s;

  if (!srv_is_leader (s) || digest == 0 || digest == bks_digest (s->backends))
    {
      x->list_differs_since = 0;
      x->list_resend_ms = LIST_RESEND_MIN_MS;
    }
  else if (x->server_list_version != bks_version (s->backends))
    x->list_differs_since = 0;
  else if (!x->list_differs_since)
    {
      x->list_differs_since = now;
      if (x->list_resend_ms < LIST_RESEND_MIN_MS)
        x->list_resend_ms = LIST_RESEND_MIN_MS;
    }
  else if (now - x->list_differs_since >= x->list_resend_ms)
    {
      LOG (list_differs, LOG_C ("peer", x->node),
           LOG_I ("differs_ms", now - x->list_differs_since));
      x->server_list_version = 0;
      x->list_differs_since = 0;
      if (x->list_resend_ms < LIST_RESEND_MAX_MS)
        x->list_resend_ms *= 2;
    }
}

void
prs_on_load (struct peer *x, const Lapis__NodeLoad *load)
{
  struct srv *s = x->p->s;

  x->received_at = clk_now ();
  prs_on_load_timestamp (x, x->received_at, load);
  prs_on_config_state (x, x->received_at, load->config);
  x->nloads = read_loads (s, load->places, load->n_places, &x->loads);
  x->ready = load->ready;
  x->proxy.nunreachable = 0;
  for (size_t i = 0;
       i < load->n_unreachable && x->proxy.nunreachable < DSP_UNREACHABLE_MAX;
       i++)
    x->proxy.unreachable[x->proxy.nunreachable++] = load->unreachable[i];
  x->is_leader = load->leads;
  if (load->leads && x->server_list_received)
    srv_sync_list_confirmed (
        s, prs_sent_at (x, x->received_at) - load->list_age_ms,
        load->list_digest);
  check_peer_list (x, load->list_digest, x->received_at);
  s->had_traffic = s->had_traffic || load->traffic;
  prs_on_permits_wanted (x, load);
  prs_pass_load_to_dispatch (x, x->received_at);
  srv_run_actions (s);
}

void
prs_on_sum (struct peer *x, const Lapis__FleetLoad *load)
{
  struct srv_peers *p = x->p;
  struct dsp_endpoint_load *sum = NULL;
  clk_ms now = clk_now ();
  bool was_stale = !prs_is_sum_fresh (p, now);
  size_t n = read_loads (p->s, load->places, load->n_places, &sum);

  x->received_at = now;
  prs_on_config_state (x, now, load->config);
  x->is_leader = load->leads;
  if (load->leads && x->server_list_received)
    srv_sync_list_confirmed (p->s, prs_sent_at (x, now) - load->list_age_ms,
                             load->list_digest);
  p->sum_received_at = now;
  if (was_stale)
    pass_all_loads_to_dispatch (p, now);
  lds_subtract (sum, n, p->own_load, p->nown_load);
  dsp_set_peer_load (p->s->dispatch, now, now, SUM_OF_OTHERS, sum, n);
  free (sum);
  srv_run_actions (p->s);
}

void
prs_on_prompt_notice (struct peer *x, const Lapis__PromptNotice *notice)
{
  struct dsp_prompt_notice *list
      = xcalloc (notice->n_prompts + 1, sizeof *list);

  for (size_t i = 0; i < notice->n_prompts; i++)
    list[i] = (struct dsp_prompt_notice){ notice->prompts[i]->place,
                                          notice->prompts[i]->tokens };
  dsp_receive_notices (x->p->s->dispatch, clk_now (), list, notice->n_prompts);
  free (list);
}

/* --- load of this node ------------------------------------------------- */

/** Loads in wire format. */
struct load_rows
{
  Lapis__PlaceLoad *loads;
  Lapis__PlaceLoad **list;
};

static void
make_rows (struct load_rows *r, const struct dsp_endpoint_load *loads,
           size_t n, clk_ms now)
{
  r->loads = xcalloc (n + 1, sizeof *r->loads);
  r->list = xcalloc (n + 1, sizeof (*r->list));
  for (size_t i = 0; i < n; i++)
    {
      Lapis__PlaceLoad *pl = &r->loads[i];
      lapis__place_load__init (pl);
      pl->place = loads[i].endpoint;
      pl->in_flight = loads[i].in_flight;
      pl->begun = loads[i].streaming;
      pl->unread_tokens = loads[i].pending_prefill;
      pl->heard_age_ms = (uint32_t)(now > loads[i].last_event_at
                                        ? now - loads[i].last_event_at
                                        : 0);
      pl->stalled = loads[i].stalled;
      pl->ended = loads[i].process_ended;
      r->list[i] = pl;
    }
}

static void
free_rows (struct load_rows *r)
{
  free (r->loads);
  free (r->list);
}

bool
prs_exceeds_full_mesh (const struct srv_peers *p)
{
  size_t up = prs_count_up (p);

  return (p->nlisted_peers > up ? p->nlisted_peers : up) + 1
         > RLY_FULL_MESH_MAX;
}

/** Whether this node's load is due to be sent to the peer. */
static bool
is_load_due (const struct peer *x, bool fast, clk_ms now)
{
  return x->up
         && now - x->load_sent_at
                >= (fast ? PRS_SEND_INTERVAL_MS : SLOW_SEND_INTERVAL_MS);
}

/** Age of the peer's copy of the server list; 0 if this node is not the
    leader. */
static clk_ms
announced_list_age (struct peer *x, clk_ms now)
{
  struct srv *s = x->p->s;

  if (!srv_is_leader (s))
    return 0;
  return svl_update_list_age (
      &x->server_list_current_at, x->server_list_version,
      bks_version (s->backends), now - srv_sync_read_age (s, now), now);
}

static void
send_load (struct srv_peers *p, clk_ms now)
{
  struct srv *s = p->s;
  bool full_mesh = !prs_exceeds_full_mesh (p);
  const struct dsp_endpoint_load *own
      = dsp_own_load (s->dispatch, &p->nown_load);
  Lapis__NodeLoad load = LAPIS__NODE_LOAD__INIT;
  Lapis__ConfigState config = LAPIS__CONFIG_STATE__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  struct prs_permit_rows wanted = { 0 };
  uint64_t unreachable[DSP_UNREACHABLE_MAX];
  struct load_rows rows;

  p->own_load
      = xrealloc (p->own_load, (p->nown_load + 1) * sizeof *p->own_load);
  memcpy (p->own_load, own, p->nown_load * sizeof *own);
  make_rows (&rows, own, p->nown_load, now);
  load.ready = srv_is_ready (s);
  load.n_unreachable = dsp_unreachable_services (s->dispatch, unreachable,
                                                 DSP_UNREACHABLE_MAX);
  load.unreachable = unreachable;
  load.traffic = s->had_traffic;
  load.leads = srv_is_leader (s);
  load.list_digest = bks_digest (s->backends);
  load.n_places = p->nown_load;
  load.places = rows.list;
  load.sent_ms = now;
  load.config = &config;
  f.body_case = LAPIS__FRAME__BODY_NODE_LOAD;
  f.node_load = &load;
  for (struct peer *x = p->peers; x; x = x->next)
    {
      if (!is_load_due (x, full_mesh || x == p->aggregator, now))
        continue;
      load.list_age_ms = (uint32_t)announced_list_age (x, now);
      prs_fill_config_state (x, now, &config);
      prs_fill_permits_wanted (x, now, &wanted, &load);
      if (link_send (x->link, &f))
        x->load_sent_at = now;
    }
  for (size_t i = 0; i < p->nown_load; i++)
    if (own[i].stalled || own[i].process_ended)
      srv_leader_endpoint_stalled_or_ended (s, own[i].endpoint);
  free_rows (&rows);
  prs_permit_rows_free (&wanted);
}

void
srv_peers_send_prompts (struct srv *s)
{
  size_t n;
  const struct dsp_prompt_notice *list = dsp_take_notices (s->dispatch, &n);
  Lapis__PromptNotice notice = LAPIS__PROMPT_NOTICE__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  Lapis__PlacePrompt *rows;

  if (n == 0 || !s->peers)
    return;
  rows = xcalloc (n, sizeof *rows);
  notice.prompts = xcalloc (n, sizeof (*notice.prompts));
  notice.n_prompts = n;
  for (size_t i = 0; i < n; i++)
    {
      lapis__place_prompt__init (&rows[i]);
      rows[i].place = list[i].endpoint;
      rows[i].tokens = list[i].tokens;
      notice.prompts[i] = &rows[i];
    }
  f.body_case = LAPIS__FRAME__BODY_PROMPT_NOTICE;
  f.prompt_notice = &notice;
  for (struct peer *x = s->peers->peers; x; x = x->next)
    if (x->up)
      link_send (x->link, &f);
  free (notice.prompts);
  free (rows);
}

/* --- sum of all loads -------------------------------------------------- */

static void
send_sum (struct srv_peers *p, clk_ms now)
{
  Lapis__FleetLoad load = LAPIS__FLEET_LOAD__INIT;
  Lapis__ConfigState config = LAPIS__CONFIG_STATE__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  struct lds sum = { 0 };
  struct load_rows rows;

  if (p->aggregator || !prs_exceeds_full_mesh (p) || now < p->next_sum_at)
    return;
  lds_add (&sum, p->own_load, p->nown_load, 0);
  for (struct peer *x = p->peers; x; x = x->next)
    if (x->up && now - x->received_at < PRS_STALE_MS)
      lds_add (&sum, x->loads, x->nloads, now - x->timestamp_received_at);
  make_rows (&rows, sum.list, sum.n, now);
  load.leads = srv_is_leader (p->s);
  load.list_digest = bks_digest (p->s->backends);
  load.n_places = sum.n;
  load.places = rows.list;
  load.config = &config;
  f.body_case = LAPIS__FRAME__BODY_FLEET_LOAD;
  f.fleet_load = &load;
  for (struct peer *x = p->peers; x; x = x->next)
    if (x->up)
      {
        load.list_age_ms = (uint32_t)announced_list_age (x, now);
        prs_fill_config_state (x, now, &config);
        link_send (x->link, &f);
      }
  p->next_sum_at
      = now
        + svl_sum_interval (p->s->settings.link_bytes_per_s,
                            lapis__fleet_load__get_packed_size (&load),
                            prs_count_up (p));
  free_rows (&rows);
  lds_free (&sum);
}

void
prs_send_due (struct srv_peers *p, clk_ms now)
{
  expire_sum (p, now);
  send_load (p, now);
  send_sum (p, now);
  prs_push_config (p, now);
  if (!p->aggregator && p->nlisted_peers + 1 > RLY_FULL_MESH_MAX)
    prs_send_node_lists (p, now);
}
