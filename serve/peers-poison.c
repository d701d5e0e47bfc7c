#include "serve/peers-int.h"

#include <stdlib.h>

/*
 * Updates about poison requests, which crash backend servers, and about parts
 * of prompts that make requests do so, in the frames
 * between nodes.  Each node forwards updates that are new to it, so an update
 * also reaches nodes whose links to the sender are cut.  In a large fleet,
 * only relays are collectors, which receive the reports of requests that were
 * running in a crash: with hundreds of nodes, the reports about one failed
 * rack would saturate the links of all of them.
 */

/** Most updates in one frame. */
#define UPDATES_MAX 512
/** Added to the kind of an update about a part of a prompt. */
#define PART_KINDS 8

static void
fill_row (Lapis__PoisonUpdate *row, struct psn_update *update)
{
  lapis__poison_update__init (row);
  row->kind = update->kind + (update->id.is_part ? PART_KINDS : 0);
  row->digest = update->id.value;
  row->request = update->request;
  row->ago_ms = (uint32_t)update->ago_ms;
  row->n_companions = update->ncompanions;
  row->companions = update->companions;
  row->place = update->endpoint;
  row->ran_ms = update->ran_ms;
  row->hold_ms = (uint32_t)update->hold_ms;
  row->broadcast = update->broadcast;
}

/** @param collector  the peer is a collector: also send the updates that are
    not broadcast */
static void
send_frame (struct peer *x, const struct psn_update *list, size_t n,
            bool collector)
{
  Lapis__PoisonUpdates updates = LAPIS__POISON_UPDATES__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  Lapis__PoisonUpdate rows[UPDATES_MAX], *row_list[UPDATES_MAX];
  struct psn_update copies[UPDATES_MAX];
  size_t k = 0;

  for (size_t i = 0; i < n; i++)
    if (collector || list[i].broadcast)
      {
        copies[k] = list[i];
        fill_row (&rows[k], &copies[k]);
        row_list[k] = &rows[k];
        k++;
      }
  if (k == 0)
    return;
  updates.n_updates = k;
  updates.updates = row_list;
  f.body_case = LAPIS__FRAME__BODY_POISON_UPDATES;
  f.poison_updates = &updates;
  link_send (x->link, &f);
}

static bool
is_crash_collector (const struct peer *x)
{
  const struct peer *relay = NULL;
  unsigned relays = 0;

  if (!prs_exceeds_full_mesh (x->p))
    return true;
  while (relays < RLY_LINKS_PER_NODE
         && (relay = prs_next_relay (x->p, relay ? &relay->spec : NULL))
                != NULL)
    {
      if (relay == x)
        return true;
      relays += relay->up;
    }
  return false;
}

static void
send_updates (struct peer *x, const struct psn_update *list, size_t n)
{
  bool collector = is_crash_collector (x);

  for (size_t i = 0; i < n; i += UPDATES_MAX)
    send_frame (x, list + i, n - i < UPDATES_MAX ? n - i : UPDATES_MAX,
                collector);
}

void
srv_peers_send_poison (struct srv *s, const struct psn_update *list, size_t n)
{
  for (struct peer *x = s->peers ? s->peers->peers : NULL; x; x = x->next)
    if (x->up)
      send_updates (x, list, n);
}

void
prs_send_poison_snapshot (struct peer *x, clk_ms now)
{
  size_t n;
  const struct psn_update *list = psn_snapshot (x->p->s->poison, now, &n);

  send_updates (x, list, n);
}

/** @retval false  the row is invalid, or of a kind that is not known here */
static bool
read_row (const Lapis__PoisonUpdate *row, struct psn_update *out)
{
  bool is_part = row->kind >= PART_KINDS;
  uint32_t kind = is_part ? row->kind - PART_KINDS : row->kind;

  if (kind > (is_part ? PSN_QUERY : PSN_CLEARED) || row->hold_ms > PSN_HOLD_MS
      || row->n_companions > PSN_MAX_COMPANIONS)
    return false;
  *out = (struct psn_update){ .kind = kind,
                              .id = { is_part, row->digest },
                              .endpoint = row->place,
                              .ran_ms = row->ran_ms,
                              .request = row->request,
                              .ago_ms = row->ago_ms,
                              .hold_ms = row->hold_ms,
                              .ncompanions = row->n_companions,
                              .broadcast = row->broadcast };
  for (size_t i = 0; i < row->n_companions; i++)
    out->companions[i] = row->companions[i];
  return true;
}

void
prs_on_poison_updates (struct peer *x, const Lapis__PoisonUpdates *updates)
{
  struct srv *s = x->p->s;
  clk_ms now = clk_now ();

  for (size_t i = 0; i < updates->n_updates; i++)
    {
      struct psn_update update;
      if (read_row (updates->updates[i], &update))
        psn_apply (s->poison, now, &update);
    }
  srv_poison_process (s);
}
