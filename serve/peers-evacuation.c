#include "serve/peers-int.h"

#include <stdlib.h>

#include "serve/evacuation-kept.h"

/*
 * Evacuated zones in the frames between nodes.  A frame contains the complete
 * state of the store at a revision.  It is sent on each new link before
 * anything else, and at each change.  A node that receives a new state sends
 * it on to its other peers, so it reaches nodes without a link to one that
 * reads the store.  A node that receives an older state than its own sends its
 * own in return.
 *
 * Zones that are kept after a restore of the store follow in a second frame,
 * as the state from before the restore.
 */

static bool
send_state (const struct peer *x, const struct evc_state *state)
{
  Lapis__Evacuations e = LAPIS__EVACUATIONS__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  char *zones[EVC_MAX_ZONES];
  bool sent;

  e.store_era = state->store_era;
  e.revision = state->revision;
  e.zones = zones;
  for (size_t i = 0; i < state->n; i++)
    zones[e.n_zones++] = str_dup (state->zones[i]);
  f.body_case = LAPIS__FRAME__BODY_EVACUATIONS;
  f.evacuations = &e;
  sent = link_send (x->link, &f);
  for (size_t i = 0; i < e.n_zones; i++)
    free (zones[i]);
  return sent;
}

bool
prs_send_evacuations (struct peer *x)
{
  const struct evc *evacuations = x->p->s->evacuations;
  struct evc_state state, kept;

  if (!evacuations || x->evacuations_sent == evc_version (evacuations))
    return true;
  state = evc_state (evacuations);
  kept = evc_kept_state (evacuations);
  if (!send_state (x, &state) || (kept.n && !send_state (x, &kept)))
    return false;
  x->evacuations_sent = evc_version (evacuations);
  return true;
}

void
srv_peers_send_evacuations (struct srv *s)
{
  for (struct peer *x = s->peers ? s->peers->peers : NULL; x; x = x->next)
    if (x->up)
      prs_send_evacuations (x);
}

/**
 * The peer needs no frame if it has the same state.  If it has an older one,
 * the next call of prs_send_evacuations() sends this node's.  A peer that
 * knows only an earlier restore counter is sent the state by its version.
 */
static void
update_sent (struct peer *x, const struct evc_state *in)
{
  const struct evc *evacuations = x->p->s->evacuations;
  const struct evc_state own = evc_state (evacuations);
  bool same = evc_same_zones (in, &own);

  if (same && evc_compare (in, &own) == 0
      && evc_kept_state (evacuations).n == 0)
    x->evacuations_sent = evc_version (evacuations);
  else if (!same && in->store_era == own.store_era
           && in->revision < own.revision)
    x->evacuations_sent = 0;
}

void
prs_on_evacuations (struct peer *x, const Lapis__Evacuations *in)
{
  struct srv *s = x->p->s;
  struct evc_state state
      = { .store_era = in->store_era, .revision = in->revision };
  struct evc_state own;
  struct str *zones;
  bool changed = false;

  if (!s->evacuations)
    return;
  zones = xcalloc (in->n_zones + 1, sizeof *zones);
  for (; state.n < in->n_zones; state.n++)
    zones[state.n] = str_from (in->zones[state.n]);
  state.zones = zones;
  own = evc_state (s->evacuations);
  /* The state that this node has already may be older than the end of the time
     for which zones are kept after a restore; it must not end them. */
  if (evc_version (s->evacuations) == 0 || evc_compare (&state, &own) != 0)
    changed = evc_apply_state (s->evacuations, clk_now (), &state);
  update_sent (x, &state);
  srv_evacuations_applied (s, changed, str_from (x->node));
  free (zones);
}
