#include "serve/peers-int.h"
#include "serve/poison-wire.h"

/*
 * Updates about poison requests, which crash backend servers, and about parts
 * of prompts that make requests do so, in the frames
 * between nodes.  Each node forwards updates that are new to it, so an update
 * also reaches nodes whose links to the sender are cut.  In a large fleet,
 * only relays are collectors, which receive the reports of requests that were
 * running in a crash: with hundreds of nodes, the reports about one failed
 * rack would saturate the links of all of them.
 */

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
  psn_send (x->link, list, n, is_crash_collector (x));
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

void
prs_on_poison_updates (struct peer *x, const Lapis__PoisonUpdates *updates)
{
  struct srv *s = x->p->s;
  clk_ms now = clk_now ();

  for (size_t i = 0; i < updates->n_updates; i++)
    {
      struct psn_update update;
      if (psn_read_row (updates->updates[i], &update))
        psn_apply (s->poison, now, &update);
    }
  srv_poison_process (s);
}
