#include "builtin/world-run.h"

static bool
earlier (const struct event *a, const struct event *b)
{
  return a->at < b->at || (a->at == b->at && a->order < b->order);
}

void
wr_post (struct world *w, double at, enum world_event_kind kind, uint32_t who,
         struct stub_job *job)
{
  if (w->heap_n == w->heap_cap)
    {
      w->heap_cap = w->heap_cap ? 2 * w->heap_cap : 1024;
      w->heap = xrealloc (w->heap, w->heap_cap * sizeof *w->heap);
    }
  struct event e = { at, w->order++, kind, who, w->homes.term, job };
  size_t i = w->heap_n++;
  while (i > 0 && earlier (&e, &w->heap[(i - 1) / 2]))
    {
      w->heap[i] = w->heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  w->heap[i] = e;
}

struct event
wr_pop (struct world *w)
{
  struct event top = w->heap[0], last = w->heap[--w->heap_n];
  size_t i = 0;
  for (;;)
    {
      size_t kid = 2 * i + 1;
      if (kid + 1 < w->heap_n && earlier (&w->heap[kid + 1], &w->heap[kid]))
        kid++;
      if (kid >= w->heap_n || !earlier (&w->heap[kid], &last))
        break;
      w->heap[i] = w->heap[kid];
      i = kid;
    }
  w->heap[i] = last;
  return top;
}
