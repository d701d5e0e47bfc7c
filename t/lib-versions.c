#include "t/lib-versions.h"

/** Maximum number of items in a version. */
#define MAX_ITEMS 8
/** A version removes each earlier item with probability 1/REMOVAL_ONE_IN. */
#define REMOVAL_ONE_IN 4
/** Requests are for items that one of the newest versions added or removed. */
#define RECENT_VERSIONS 3
/** One of this many requests is allowed by all versions. */
#define ALWAYS_ALLOWED_ONE_IN 6

static bool
has_item (const struct versions *vs, unsigned version, unsigned item)
{
  unsigned removed = vs->v[item].removed_by;

  return item <= version && (removed == 0 || version < removed);
}

unsigned
ver_next (struct versions *vs, clk_ms now)
{
  unsigned nitems = 0, to = vs->newest + 1;

  for (unsigned i = vs->newest; i >= 2; i--)
    {
      if (!has_item (vs, vs->newest, i))
        continue;
      if (++nitems >= MAX_ITEMS || rng_below (&vs->rng, REMOVAL_ONE_IN) == 0)
        vs->v[i].removed_by = to;
    }
  vs->v[to] = (struct version){ .sent_at = now };
  vs->newest = to;
  return to;
}

void
ver_format (const struct versions *vs, struct buf *key, struct buf *routes)
{
  buf_add_c (key, "k1");
  for (unsigned i = 2; i <= vs->newest; i++)
    {
      if (!has_item (vs, vs->newest, i))
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

/** A random item that the version removed, or 0. */
static unsigned
pick_removed_item (const struct versions *vs, struct rng *rng,
                   unsigned version)
{
  unsigned n = 0, item = 0;

  for (unsigned i = 2; i < version; i++)
    if (vs->v[i].removed_by == version && rng_below (rng, ++n) == 0)
      item = i;
  return item;
}

void
ver_pick_request (const struct versions *vs, struct rng *rng,
                  struct ver_request *req)
{
  unsigned age = (unsigned)rng_below (rng, RECENT_VERSIONS);
  unsigned version = vs->newest > age ? vs->newest - age : 0;
  bool removed = rng_below (rng, 2);

  req->item = 0;
  req->by_key = rng_below (rng, 2);
  if (rng_below (rng, ALWAYS_ALLOWED_ONE_IN) == 0 || version < 2)
    return;
  req->item = removed ? pick_removed_item (vs, rng, version) : version;
}

unsigned
ver_newest_acked (const struct versions *vs, clk_ms at)
{
  unsigned v = vs->newest;

  while (v > 0 && (vs->v[v].acked_at == 0 || vs->v[v].acked_at > at))
    v--;
  return v;
}

unsigned
ver_oldest_match (const struct versions *vs, const struct ver_request *req,
                  unsigned from)
{
  for (unsigned v = from ? from : 1; v <= vs->newest; v++)
    if (vs->v[v].sent_at <= req->answered_at
        && has_item (vs, v, req->item) != req->denied)
      return v;
  return 0;
}
