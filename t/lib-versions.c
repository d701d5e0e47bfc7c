#include "t/lib-versions.h"

/** Items of one version. */
#define HELD_MOST 8
/** An item goes with one version in so many. */
#define REMOVED_PART 4
/** Versions that are asked after. */
#define ASKED_AFTER 3
/** One request in so many is for what all versions allow. */
#define ALLOWED_PART 6

static bool
holds (const struct versions *vs, unsigned version, unsigned item)
{
  unsigned removed = vs->v[item].removed;

  return item <= version && (removed == 0 || version < removed);
}

unsigned
ver_send (struct versions *vs, clk_ms now)
{
  unsigned held = 0, to = vs->newest + 1;

  for (unsigned i = vs->newest; i >= 2; i--)
    {
      if (!holds (vs, vs->newest, i))
        continue;
      if (++held >= HELD_MOST || rng_below (&vs->rng, REMOVED_PART) == 0)
        vs->v[i].removed = to;
    }
  vs->v[to] = (struct version){ .sent = now };
  vs->newest = to;
  return to;
}

void
ver_text (const struct versions *vs, struct buf *key, struct buf *routes)
{
  buf_add_c (key, "k1");
  for (unsigned i = 2; i <= vs->newest; i++)
    {
      if (!holds (vs, vs->newest, i))
        continue;
      buf_addf (key, "\",\"a%u", i);
      buf_addf (routes,
                ",{\"name\": \"a%u\", \"host\": \"h\", \"prefix\": \"/a%u/\","
                " \"kind\": \"idempotent\", \"timeout_ms\": 3000,"
                " \"goal_ms\": 300, \"priority\": 2, \"service\": \"app\","
                " \"max_attempts\": 2}",
                i, i);
    }
}

/** One of the items that the version took away, or 0. */
static unsigned
removed_by (const struct versions *vs, struct rng *rng, unsigned version)
{
  unsigned n = 0, item = 0;

  for (unsigned i = 2; i < version; i++)
    if (vs->v[i].removed == version && rng_below (rng, ++n) == 0)
      item = i;
  return item;
}

void
ver_draw (const struct versions *vs, struct rng *rng, struct ver_asked *a)
{
  unsigned back = (unsigned)rng_below (rng, ASKED_AFTER);
  unsigned version = vs->newest > back ? vs->newest - back : 0;
  bool removed = rng_below (rng, 2);

  a->item = 0;
  a->by_key = rng_below (rng, 2);
  if (rng_below (rng, ALLOWED_PART) == 0 || version < 2)
    return;
  a->item = removed ? removed_by (vs, rng, version) : version;
}

unsigned
ver_acked (const struct versions *vs, clk_ms at)
{
  unsigned v = vs->newest;

  while (v > 0 && (vs->v[v].acked == 0 || vs->v[v].acked > at))
    v--;
  return v;
}

unsigned
ver_least (const struct versions *vs, const struct ver_asked *a, unsigned from)
{
  for (unsigned v = from ? from : 1; v <= vs->newest; v++)
    if (vs->v[v].sent <= a->answered && holds (vs, v, a->item) != a->denied)
      return v;
  return 0;
}
