#include "serve/poison-int.h"

/** Keeps the later time if the part is known: another node may report an
    earlier run. */
static void
record_part (struct psn *p, clk_ms at, uint64_t part)
{
  struct psn_completion *set = p->completed_parts[part % PSN_PART_SETS];
  struct psn_completion *c = &set[0];

  for (size_t i = 0; i < PSN_PART_WAYS; i++)
    {
      if (set[i].at && set[i].digest == part)
        {
          if (set[i].at < at)
            set[i].at = at;
          return;
        }
      if (set[i].at < c->at)
        c = &set[i];
    }
  *c = (struct psn_completion){ part, at };
}

void
psn_record_completion (struct psn *p, clk_ms at, struct psn_id id)
{
  if (id.is_part)
    record_part (p, at, id.value);
  else
    p->completed[p->next_completed++ % PSN_MAX_COMPLETED]
        = (struct psn_completion){ id.value, at };
}

clk_ms
psn_completed_at (const struct psn *p, struct psn_id id)
{
  const struct psn_completion *list
      = id.is_part ? p->completed_parts[id.value % PSN_PART_SETS]
                   : p->completed;
  size_t n = id.is_part ? PSN_PART_WAYS : PSN_MAX_COMPLETED;
  clk_ms at = 0;

  for (size_t i = 0; i < n; i++)
    if (list[i].digest == id.value && list[i].at > at)
      at = list[i].at;
  return at;
}

bool
psn_has_completed (const struct psn *p, clk_ms now, struct psn_id id,
                   clk_ms ms)
{
  clk_ms at = psn_completed_at (p, id);

  return at && now - at < ms;
}
