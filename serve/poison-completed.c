#include "serve/poison-int.h"

static void
record_part (struct psn *p, clk_ms now, uint64_t part)
{
  struct psn_completion *set = p->completed_parts[part % PSN_PART_SETS];
  struct psn_completion *c = &set[0];

  for (size_t i = 0; i < PSN_PART_WAYS; i++)
    {
      if (set[i].at && set[i].digest == part)
        {
          c = &set[i];
          break;
        }
      if (set[i].at < c->at)
        c = &set[i];
    }
  *c = (struct psn_completion){ part, now };
}

void
psn_record_completion (struct psn *p, clk_ms now, struct psn_id id)
{
  if (id.is_part)
    record_part (p, now, id.value);
  else
    p->completed[p->next_completed++ % PSN_MAX_COMPLETED]
        = (struct psn_completion){ id.value, now };
}

bool
psn_has_completed (const struct psn *p, clk_ms now, struct psn_id id,
                   clk_ms ms)
{
  const struct psn_completion *list
      = id.is_part ? p->completed_parts[id.value % PSN_PART_SETS]
                   : p->completed;
  size_t n = id.is_part ? PSN_PART_WAYS : PSN_MAX_COMPLETED;

  for (size_t i = 0; i < n; i++)
    if (list[i].at && list[i].digest == id.value && now - list[i].at < ms)
      return true;
  return false;
}
