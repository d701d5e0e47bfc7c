#include "serve/peers-int.h"

#include <stdlib.h>

/*
 * What nodes tell each other of requests that crash backend servers.  Each
 * hands on what is new to it, so that a link that is cut keeps nobody from
 * hearing.  Which requests were running in a crash is collected at the hubs
 * only: with hundreds of nodes, a rack that fails would fill all their links.
 */

/** Items of one frame. */
#define ITEMS_MOST 512

static void
fill_item (Lapis__PoisonItem *item, const struct psn_news *news)
{
  lapis__poison_item__init (item);
  item->word = news->word;
  item->digest = news->digest;
  item->place = news->place;
  item->ran_ms = news->ran_ms;
  item->hold_ms = (uint32_t)news->hold_ms;
  item->wide = news->wide;
}

/** @param all  also what only hubs need */
static void
send_frame (struct peer *x, const struct psn_news *list, size_t n, bool all)
{
  Lapis__PoisonNews news = LAPIS__POISON_NEWS__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  Lapis__PoisonItem rows[ITEMS_MOST], *items[ITEMS_MOST];

  for (size_t i = 0; i < n; i++)
    if (all || list[i].wide)
      {
        items[news.n_items] = &rows[news.n_items];
        fill_item (&rows[news.n_items++], &list[i]);
      }
  if (news.n_items == 0)
    return;
  news.items = items;
  f.body_case = LAPIS__FRAME__BODY_POISON_NEWS;
  f.poison_news = &news;
  link_send (x->link, &f);
}

static void
send_news (struct peer *x, const struct psn_news *list, size_t n, bool all)
{
  for (size_t i = 0; i < n; i += ITEMS_MOST)
    send_frame (x, list + i, n - i < ITEMS_MOST ? n - i : ITEMS_MOST, all);
}

/** Whether the peer collects which requests were running in crashes. */
static bool
collects (const struct peer *x)
{
  const struct peer *hub = NULL;
  unsigned hubs = 0;

  if (!prs_many (x->p))
    return true;
  while (hubs < HUB_LINKS
         && (hub = prs_next_hub (x->p, hub ? &hub->spec : NULL)) != NULL)
    {
      if (hub == x)
        return true;
      hubs += hub->up;
    }
  return false;
}

void
srv_peers_poison (struct srv *s, const struct psn_news *list, size_t n)
{
  for (struct peer *x = s->peers ? s->peers->list : NULL; x; x = x->next)
    if (x->up)
      send_news (x, list, n, collects (x));
}

void
prs_tell_poison (struct peer *x, clk_ms now)
{
  size_t n;
  const struct psn_news *list = psn_all (x->p->s->poison, now, &n);

  send_news (x, list, n, collects (x));
}

void
prs_on_poison (struct peer *x, const Lapis__PoisonNews *news)
{
  struct srv *s = x->p->s;
  clk_ms now = clk_now ();

  for (size_t i = 0; i < news->n_items; i++)
    {
      const Lapis__PoisonItem *item = news->items[i];
      if (item->word > PSN_CLEARED || item->hold_ms > PSN_HOLD_MS)
        continue;
      psn_hear (s->poison, now,
                &(struct psn_news){ .word = item->word,
                                    .digest = item->digest,
                                    .place = item->place,
                                    .ran_ms = item->ran_ms,
                                    .hold_ms = item->hold_ms,
                                    .wide = item->wide });
    }
  srv_poison_act (s);
}
