#include "route/core.h"

/*
 * Pauses and shutdowns announced by servers. Neither configurations nor
 * replica lists name processes, so a server's pause is found by its address. A
 * shutdown holds for the generation of the replica that the server leads: a
 * process that shuts down joins no further one, so the next generation has
 * another process.
 */

/** A server of a service, which has no generations, gets requests again this
    long after it announced its shutdown: nothing else tells this gateway that
    another process has taken its place. */
#define LEAVING_MS ((clk_ms)60000)

/** Clients that are rejected because of pauses are told to retry within this
    time after the end of the first pause; if all of them retried just then,
    they would be rejected again. */
#define RETRY_SPREAD_MS 500.0

uint64_t
rt_leaving_key (const struct rt_server *s)
{
  return ~(s->avail_key ^ (uint64_t)s->generation);
}

static bool
is_leaving (const struct rt *r, const struct rt_server *s)
{
  clk_ms since = avl_leaving_since (r->avail, s->leaving_key);
  return since && (s->generation || r->now - since < LEAVING_MS);
}

bool
rt_avail_allows (const struct rt *r, const struct rt_server *s)
{
  return !is_leaving (r, s)
         && !avl_paused_until (r->avail, r->now, s->avail_key);
}

/** Whether the server could be used if it had announced nothing. */
static bool
is_kept_back (const struct rt *r, const struct rt_server *s)
{
  return rt_is_offered (r, s) && !rt_avail_allows (r, s);
}

bool
rt_avail_blocks (const struct rt *r, const struct rt_target *t)
{
  bool any = false;
  for (size_t i = 0; i < t->nservers; i++)
    {
      if (rt_is_usable (r, t->servers[i]))
        return false;
      any |= is_kept_back (r, t->servers[i]);
    }
  return any;
}

enum rt_code
rt_avail_code (struct rt *r, const struct rt_target *t, clk_ms *retry_ms)
{
  clk_ms earliest = 0;
  for (size_t i = 0; i < t->nservers; i++)
    {
      const struct rt_server *s = t->servers[i];
      clk_ms until = avl_paused_until (r->avail, r->now, s->avail_key);
      if (is_kept_back (r, s) && !is_leaving (r, s) && until
          && (!earliest || until < earliest))
        earliest = until;
    }
  *retry_ms = RT_DEFAULT_RETRY_MS;
  if (!earliest)
    return RT_CODE_NO_REPLICA;
  *retry_ms
      = earliest - r->now + (clk_ms)(rng_unit (&r->rng) * RETRY_SPREAD_MS);
  return RT_CODE_PAUSED;
}

static struct rt_req *
find_waiting (const struct rt *r, const struct rt_target *t)
{
  for (size_t i = 0; i < r->table_size; i++)
    for (struct rt_req *q = r->table[i]; q; q = q->hash_next)
      if (q->target == t && !rt_has_server (q)
          && (q->queued || q->state == RT_S_ASKING))
        return q;
  return NULL;
}

/** End all requests that wait for a server of the target. */
static void
fail_waiting (struct rt *r, struct rt_target *t)
{
  struct rt_req *q;
  while ((q = find_waiting (r, t)) != NULL)
    rt_fail_blocked (r, q);
}

static void
mark_leaving (struct rt *r, const struct rt_target *t, uint64_t key)
{
  struct avl_notice notice = { .leaving = true };
  for (size_t i = 0; i < t->nservers; i++)
    {
      const struct rt_server *s = t->servers[i];
      if (s->avail_key != key || is_leaving (r, s))
        continue;
      avl_forget_leaving (r->avail, s->leaving_key);
      avl_on_notice (r->avail, r->now, s->leaving_key, &notice);
    }
}

static void
apply (struct rt *r, uint64_t key, const struct rt_event *ev)
{
  struct avl_notice notice = { .retry_after_ms = ev->retry_ms };
  avl_on_notice (r->avail, r->now, key, &notice);
  for (size_t i = 0; i < r->ntargets; i++)
    {
      struct rt_target *t = r->targets[i];
      if (ev->on)
        mark_leaving (r, t, key);
      t->view.valid = false;
      if (rt_avail_blocks (r, t))
        fail_waiting (r, t);
    }
}

void
rt_avail_notice (struct rt *r, struct rt_req *q, const struct rt_event *ev)
{
  if (q->server)
    apply (r, q->server->avail_key, ev);
}

void
rt_avail_notice_from (struct rt *r, const struct rt_event *ev)
{
  struct net_addr addr;
  if (net_addr_parse (ev->name, false, &addr))
    apply (r, avl_address_key (&addr), ev);
}

bool
rt_is_paused (const struct rt *r, clk_ms now, const struct net_addr *addr)
{
  return avl_paused_until (r->avail, now, avl_address_key (addr)) != 0;
}

struct avl_stats
rt_avail_stats (const struct rt *r)
{
  return avl_stats (r->avail, r->now);
}
