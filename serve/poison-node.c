#include "serve/node-int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
log_blocked (const struct psn_update *update)
{
  struct buf parts = BUF_INIT;
  char digest[17];

  if (!update->id.is_part)
    {
      snprintf (digest, sizeof digest, "%016llx",
                (unsigned long long)update->id.value);
      LOG (request_blocked, LOG_C ("digest", digest),
           LOG_I ("hold_ms", update->hold_ms));
      return;
    }
  buf_addf (&parts, "%llx", (unsigned long long)update->id.value);
  for (size_t i = 0; i < update->ncompanions; i++)
    buf_addf (&parts, " %llx", (unsigned long long)update->companions[i]);
  LOG (part_blocked, LOG_S ("parts", buf_str (&parts)),
       LOG_I ("hold_ms", update->hold_ms));
  buf_free (&parts);
}

static void
log_unblocked (const struct psn_update *update)
{
  char id[17];

  snprintf (id, sizeof id, update->id.is_part ? "%llx" : "%016llx",
            (unsigned long long)update->id.value);
  if (update->id.is_part)
    LOG (part_unblocked, LOG_C ("part", id),
         LOG_I ("completed", update->kind == PSN_COMPLETED));
  else
    LOG (request_unblocked, LOG_C ("digest", id));
}

static void
handle_update (struct srv *s, clk_ms now, const struct psn_update *update)
{
  switch (update->kind)
    {
    case PSN_BLOCKED:
      log_blocked (update);
      dsp_poison_blocked (s->dispatch, now);
      srv_poison_changed (s, now, update->id, true);
      break;
    case PSN_CLEARED:
    case PSN_COMPLETED:
      if (update->broadcast)
        log_unblocked (update);
      srv_poison_changed (s, now, update->id, false);
      break;
    case PSN_CRASH:
    case PSN_BLOCK_PENDING:
    case PSN_QUERY:
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
