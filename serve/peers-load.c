#include "serve/peers-int.h"

#include <stdlib.h>
#include <string.h>

/*
 * Few nodes tell each other what they have under way.  With many, that would
 * be frames by the square of their number; so each tells one of them, which
 * adds up and tells all: the one that forms replicas, or while none does the
 * first hub.  When that one is gone, nodes go by what they hear from others
 * now and then, until there is the next.
 */

/** With many nodes, those that don't need it are told as often as this. */
#define TELL_REST_MS ((clk_ms)1000)
/** A sum that is older says too little of now. */
#define SUM_MS ((clk_ms)450)
/** Number under which the request core knows the sum of all other nodes. */
#define ALL_OTHERS 0

bool
prs_uses_sum (const struct srv_peers *p, clk_ms now)
{
  return now - p->sum_at < SUM_MS;
}

/** Hand on what the peer told, unless the sum is better. */
void
prs_feed (struct peer *x, clk_ms now)
{
  bool direct = x->up && !prs_uses_sum (x->p, now);

  dsp_peer_load (x->p->s->dispatch, now, x->hash, x->counts,
                 direct ? x->ncounts : 0);
}

static void
feed_all (struct srv_peers *p, clk_ms now)
{
  for (struct peer *x = p->list; x; x = x->next)
    prs_feed (x, now);
}

/** The sum has grown too old: go by what each peer told. */
static void
check_sum (struct srv_peers *p, clk_ms now)
{
  if (p->sum_at == 0 || prs_uses_sum (p, now))
    return;
  p->sum_at = 0;
  dsp_peer_load (p->s->dispatch, now, ALL_OTHERS, NULL, 0);
  feed_all (p, now);
}

static size_t
read_places (struct srv *s, Lapis__PlaceLoad *const *rows, size_t n,
             struct dsp_count **out)
{
  clk_ms now = clk_now ();

  *out = xrealloc (*out, (n + 1) * sizeof (**out));
  for (size_t i = 0; i < n; i++)
    {
      const Lapis__PlaceLoad *pl = rows[i];
      (*out)[i] = (struct dsp_count){ .place = pl->place,
                                      .in_flight = pl->in_flight,
                                      .begun = pl->begun,
                                      .unread = pl->unread_tokens,
                                      .heard = now - pl->heard_age_ms,
                                      .stalled = pl->stalled,
                                      .ended = pl->ended };
      if (pl->stalled || pl->ended)
        srv_duty_stalled (s, pl->place);
    }
  return n;
}

void
prs_on_load (struct peer *x, const Lapis__NodeLoad *load)
{
  struct srv *s = x->p->s;

  x->heard = clk_now ();
  prs_on_stamp (x, x->heard, load);
  prs_on_config (x, x->heard, load->config);
  x->ncounts = read_places (s, load->places, load->n_places, &x->counts);
  x->ready = load->ready;
  x->leads = load->leads;
  if (load->leads && x->listing)
    srv_sync_heard (s, prs_sent_at (x, x->heard) - load->list_age_ms);
  s->traffic = s->traffic || load->traffic;
  prs_on_wanted (x, load);
  prs_feed (x, x->heard);
  srv_act (s);
}

/** What this node told is in the sum; the rest is of the others. */
static void
take_away_own (const struct srv_peers *p, struct dsp_count *sum, size_t n)
{
  for (size_t i = 0; i < n; i++)
    for (size_t k = 0; k < p->nown; k++)
      {
        const struct dsp_count *own = &p->own[k];
        struct dsp_count *c = &sum[i];
        if (own->place != c->place)
          continue;
        c->in_flight
            -= own->in_flight < c->in_flight ? own->in_flight : c->in_flight;
        c->begun -= own->begun < c->begun ? own->begun : c->begun;
        c->unread -= own->unread < c->unread ? own->unread : c->unread;
      }
}

void
prs_on_sum (struct peer *x, const Lapis__FleetLoad *load)
{
  struct srv_peers *p = x->p;
  struct dsp_count *sum = NULL;
  clk_ms now = clk_now ();
  bool first = !prs_uses_sum (p, now);
  size_t n = read_places (p->s, load->places, load->n_places, &sum);

  x->heard = now;
  prs_on_config (x, now, load->config);
  x->leads = load->leads;
  if (load->leads && x->listing)
    srv_sync_heard (p->s, prs_sent_at (x, now) - load->list_age_ms);
  p->sum_at = now;
  if (first)
    feed_all (p, now);
  take_away_own (p, sum, n);
  dsp_peer_load (p->s->dispatch, now, ALL_OTHERS, sum, n);
  free (sum);
  srv_act (p->s);
}

void
prs_on_notice (struct peer *x, const Lapis__PromptNotice *notice)
{
  struct dsp_notice *list = xcalloc (notice->n_prompts + 1, sizeof *list);

  for (size_t i = 0; i < notice->n_prompts; i++)
    list[i] = (struct dsp_notice){ notice->prompts[i]->place,
                                   notice->prompts[i]->tokens };
  dsp_noticed (x->p->s->dispatch, clk_now (), list, notice->n_prompts);
  free (list);
}

/* --- telling the own load ---------------------------------------------- */

/** Rows of a frame, from counts. */
struct rows
{
  Lapis__PlaceLoad *places;
  Lapis__PlaceLoad **list;
};

static void
make_rows (struct rows *r, const struct dsp_count *counts, size_t n,
           clk_ms now)
{
  r->places = xcalloc (n + 1, sizeof *r->places);
  r->list = xcalloc (n + 1, sizeof (*r->list));
  for (size_t i = 0; i < n; i++)
    {
      Lapis__PlaceLoad *pl = &r->places[i];
      lapis__place_load__init (pl);
      pl->place = counts[i].place;
      pl->in_flight = counts[i].in_flight;
      pl->begun = counts[i].begun;
      pl->unread_tokens = counts[i].unread;
      pl->heard_age_ms
          = (uint32_t)(now > counts[i].heard ? now - counts[i].heard : 0);
      pl->stalled = counts[i].stalled;
      pl->ended = counts[i].ended;
      r->list[i] = pl;
    }
}

static void
free_rows (struct rows *r)
{
  free (r->places);
  free (r->list);
}

bool
prs_many (const struct srv_peers *p)
{
  size_t up = prs_count_up (p);

  return (p->nlisted > up ? p->nlisted : up) + 1 > HUB_MESH_MOST;
}

/** Whether the peer is to hear now what this node has under way. */
static bool
is_due (const struct peer *x, bool often, clk_ms now)
{
  return x->up && now - x->told_at >= (often ? PRS_TELL_MS : TELL_REST_MS);
}

/** Age of what the peer has of the list of backend servers. */
static clk_ms
list_age (struct peer *x, clk_ms now)
{
  struct srv *s = x->p->s;

  if (!srv_duty_holds (s))
    return 0;
  return shr_age (&x->current_at, x->told, bks_version (s->backends),
                  now - srv_sync_age (s, now), now);
}

static void
send_load (struct srv_peers *p, clk_ms now)
{
  struct srv *s = p->s;
  bool few = !prs_many (p);
  const struct dsp_count *own = dsp_own_load (s->dispatch, &p->nown);
  Lapis__NodeLoad load = LAPIS__NODE_LOAD__INIT;
  Lapis__ConfigState config = LAPIS__CONFIG_STATE__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  struct prs_wanted wanted = { 0 };
  struct rows rows;

  p->own = xrealloc (p->own, (p->nown + 1) * sizeof *p->own);
  memcpy (p->own, own, p->nown * sizeof *own);
  make_rows (&rows, own, p->nown, now);
  load.ready = srv_is_ready (s);
  load.traffic = s->traffic;
  load.leads = srv_duty_holds (s);
  load.n_places = p->nown;
  load.places = rows.list;
  load.sent_ms = now;
  load.config = &config;
  f.body_case = LAPIS__FRAME__BODY_NODE_LOAD;
  f.node_load = &load;
  for (struct peer *x = p->list; x; x = x->next)
    {
      if (!is_due (x, few || x == p->summing, now))
        continue;
      load.list_age_ms = (uint32_t)list_age (x, now);
      prs_fill_config (x, now, &config);
      prs_fill_wanted (x, now, &wanted, &load);
      if (link_send (x->link, &f))
        x->told_at = now;
    }
  for (size_t i = 0; i < p->nown; i++)
    if (own[i].stalled || own[i].ended)
      srv_duty_stalled (s, own[i].place);
  free_rows (&rows);
  prs_wanted_free (&wanted);
}

void
srv_peers_notices (struct srv *s)
{
  size_t n;
  const struct dsp_notice *list = dsp_notices (s->dispatch, &n);
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
      rows[i].place = list[i].place;
      rows[i].tokens = list[i].tokens;
      notice.prompts[i] = &rows[i];
    }
  f.body_case = LAPIS__FRAME__BODY_PROMPT_NOTICE;
  f.prompt_notice = &notice;
  for (struct peer *x = s->peers->list; x; x = x->next)
    if (x->up)
      link_send (x->link, &f);
  free (notice.prompts);
  free (rows);
}

/* --- the sum of all nodes ---------------------------------------------- */

struct sum
{
  struct dsp_count *list;
  size_t n;
};

static void
add_counts (struct sum *sum, const struct dsp_count *counts, size_t n)
{
  sum->list = xrealloc (sum->list, (sum->n + n + 1) * sizeof *sum->list);
  for (size_t i = 0; i < n; i++)
    {
      size_t k = 0;
      while (k < sum->n && sum->list[k].place != counts[i].place)
        k++;
      if (k == sum->n)
        {
          sum->list[sum->n++] = counts[i];
          continue;
        }
      sum->list[k].in_flight += counts[i].in_flight;
      sum->list[k].begun += counts[i].begun;
      sum->list[k].unread += counts[i].unread;
      sum->list[k].stalled |= counts[i].stalled;
      sum->list[k].ended |= counts[i].ended;
      if (counts[i].begun && counts[i].heard > sum->list[k].heard)
        sum->list[k].heard = counts[i].heard;
    }
}

static void
send_sum (struct srv_peers *p, clk_ms now)
{
  Lapis__FleetLoad load = LAPIS__FLEET_LOAD__INIT;
  Lapis__ConfigState config = LAPIS__CONFIG_STATE__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  struct sum sum = { 0 };
  struct rows rows;

  if (p->summing || !prs_many (p) || now < p->next_sum)
    return;
  add_counts (&sum, p->own, p->nown);
  for (struct peer *x = p->list; x; x = x->next)
    if (x->up && now - x->heard < PRS_SILENT_MS)
      add_counts (&sum, x->counts, x->ncounts);
  make_rows (&rows, sum.list, sum.n, now);
  load.leads = srv_duty_holds (p->s);
  load.n_places = sum.n;
  load.places = rows.list;
  load.config = &config;
  f.body_case = LAPIS__FRAME__BODY_FLEET_LOAD;
  f.fleet_load = &load;
  for (struct peer *x = p->list; x; x = x->next)
    if (x->up)
      {
        load.list_age_ms = (uint32_t)list_age (x, now);
        prs_fill_config (x, now, &config);
        link_send (x->link, &f);
      }
  p->next_sum = now
                + shr_sum_pause (p->s->set.link_bytes_per_s,
                                 lapis__fleet_load__get_packed_size (&load),
                                 prs_count_up (p));
  free_rows (&rows);
  free (sum.list);
}

void
prs_tell (struct srv_peers *p, clk_ms now)
{
  check_sum (p, now);
  send_load (p, now);
  send_sum (p, now);
  prs_push_config (p, now);
  if (!p->summing && p->nlisted + 1 > HUB_MESH_MOST)
    prs_tell_nodes (p, now);
}
