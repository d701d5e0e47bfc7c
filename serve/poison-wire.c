#include "serve/poison-wire.h"

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

static void
send_frame (struct link *l, const struct psn_update *list, size_t n,
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
  link_send (l, &f);
}

void
psn_send (struct link *l, const struct psn_update *list, size_t n,
          bool collector)
{
  for (size_t i = 0; i < n; i += UPDATES_MAX)
    send_frame (l, list + i, n - i < UPDATES_MAX ? n - i : UPDATES_MAX,
                collector);
}

bool
psn_read_row (const Lapis__PoisonUpdate *row, struct psn_update *out)
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
