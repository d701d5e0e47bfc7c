#include "builtin/policies.h"

const char *const policy_names[POLICIES]
    = { "ours",  "homes",       "random", "round-robin",
        "least", "two-choices", "limit" };

static bool
open_to (const struct rt *r, const struct rt_server *s, const struct rt_req *q)
{
  return rt_is_usable (r, s) && !rt_was_tried (q, s);
}

/** A server at random that is open to the request, or NULL. */
static struct rt_server *
draw (struct rt *r, struct rt_target *t, const struct rt_req *q)
{
  size_t at = (size_t)rng_below (&r->rng, t->nservers);
  for (size_t i = 0; i < t->nservers; i++, at = (at + 1) % t->nservers)
    if (open_to (r, t->servers[at], q))
      return t->servers[at];
  return NULL;
}

static struct rt_server *
choose_random (void *ctx, struct rt *r, struct rt_target *t,
               const struct rt_req *q)
{
  return draw (r, t, q);
}

static struct rt_server *
choose_round_robin (void *ctx, struct rt *r, struct rt_target *t,
                    const struct rt_req *q)
{
  size_t *counter = ctx;
  for (size_t i = 0; i < t->nservers; i++)
    {
      struct rt_server *s = t->servers[(*counter)++ % t->nservers];
      if (open_to (r, s, q))
        return s;
    }
  return NULL;
}

static struct rt_server *
choose_least (void *ctx, struct rt *r, struct rt_target *t,
              const struct rt_req *q)
{
  struct rt_server *best = NULL;
  size_t ties = 0;
  for (size_t i = 0; i < t->nservers; i++)
    {
      struct rt_server *s = t->servers[i];
      if (!open_to (r, s, q) || (best && s->in_flight > best->in_flight))
        continue;
      ties = best && s->in_flight == best->in_flight ? ties + 1 : 1;
      if (rng_below (&r->rng, ties) == 0)
        best = s;
    }
  return best;
}

static struct rt_server *
choose_two (void *ctx, struct rt *r, struct rt_target *t,
            const struct rt_req *q)
{
  struct rt_server *a = draw (r, t, q), *b = draw (r, t, q);
  return b && b->in_flight < a->in_flight ? b : a;
}

void
policy_install (struct rt *r, enum policy p, size_t *counter)
{
  static const rt_choose_fn choices[POLICIES]
      = { [POL_RANDOM] = choose_random,
          [POL_ROUND_ROBIN] = choose_round_robin,
          [POL_LEAST] = choose_least,
          [POL_TWO] = choose_two };
  if (!choices[p])
    return;
  r->choose = choices[p];
  r->choose_ctx = counter;
}
