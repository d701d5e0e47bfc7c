#include "serve/node-int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
handle_update (struct srv *s, clk_ms now, const struct psn_update *update)
{
  char digest[17];

  snprintf (digest, sizeof digest, "%016llx",
            (unsigned long long)update->digest);
  switch (update->kind)
    {
    case PSN_BLOCKED:
      LOG (request_blocked, LOG_C ("digest", digest),
           LOG_I ("hold_ms", update->hold_ms));
      dsp_request_blocked (s->dispatch, now, update->digest);
      srv_poison_changed (s, now, update->digest, true);
      break;
    case PSN_CLEARED:
      if (update->broadcast)
        LOG (request_unblocked, LOG_C ("digest", digest));
      srv_poison_changed (s, now, update->digest, false);
      break;
    case PSN_CRASH:
    case PSN_BLOCK_PENDING:
      break;
    }
}

void
srv_poison_process (struct srv *s)
{
  clk_ms now = clk_now ();
  struct psn_update *copy;
  size_t n;
  const struct psn_update *updates = psn_updates (s->poison, &n);

  if (n == 0)
    return;
  /* Refusing blocked requests below can add updates to the list. */
  copy = xmalloc (n * sizeof *copy);
  memcpy (copy, updates, n * sizeof *copy);
  srv_peers_send_poison (s, copy, n);
  for (size_t i = 0; i < n; i++)
    handle_update (s, now, &copy[i]);
  free (copy);
  srv_run_actions (s);
}

void
srv_poison_tick (struct srv *s, clk_ms now)
{
  psn_set_collecting (s->poison, now,
                      !srv_is_leaf (s) || !srv_peers_any_linked (s));
  if (now >= psn_next_deadline (s->poison))
    {
      psn_tick (s->poison, now);
      srv_poison_process (s);
    }
  srv_poison_store_tick (s, now);
}
