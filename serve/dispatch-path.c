#include "serve/dispatch-int.h"

#include <stdlib.h>
#include <string.h>

/*
 * Whether this node reaches the backend servers of a service at all. A node
 * can lose its paths to all of them while clients and the other nodes still
 * reach it. Its requests are then sent through another node, a proxy, which
 * treats this node as a client. The proxy makes one attempt at a server; this
 * node keeps the count of attempts and the retry budget.
 *
 * All servers of the service may as well have failed. Then the proxies reject
 * the requests, at the cost of one more hop.
 */

/** Servers that must have failed in a row, or all if there are fewer. */
#define MIN_SERVERS 3
/** A single silent server is slow more often than out of reach. */
#define MIN_SILENT_SERVERS 2
/** Silence of all servers with requests in flight. Streams have events every
    0.1 s, and each of several servers must be silent. */
#define SILENCE_MS ((clk_ms)400)
/** Interval at which one server is checked while the paths are lost. */
#define CHECK_INTERVAL_MS ((clk_ms)300)
/** A proxy that failed gets no requests for this time. */
#define PROXY_PAUSE_MS ((clk_ms)500)

/* --- evidence ----------------------------------------------------------- */

struct dsp_path *
dsp_get_path (struct dsp *d, const char *service)
{
  struct dsp_path *p;

  for (size_t i = 0; i < d->npaths; i++)
    if (strcmp (d->paths[i]->service, service) == 0)
      return d->paths[i];
  p = xcalloc (1, sizeof *p);
  p->service = xstrdup (service);
  p->service_hash = str_hash (str_from (service), 0);
  d->paths = xrealloc (d->paths, (d->npaths + 1) * sizeof (*d->paths));
  d->paths[d->npaths++] = p;
  return p;
}

/** Number of listed servers of the service. */
static size_t
count_listed (const struct dsp *d, const struct dsp_path *p)
{
  size_t n = 0;

  for (size_t i = 0; i < d->npools; i++)
    for (size_t k = 0; k < d->pools[i]->n; k++)
      n += d->pools[i]->path == p && d->pools[i]->endpoints[k]->listed;
  return n;
}

static size_t
required_servers (const struct dsp *d, const struct dsp_path *p)
{
  size_t listed = count_listed (d, p);

  return listed < MIN_SERVERS ? listed : MIN_SERVERS;
}

static void
set_state (const struct dsp *d, struct dsp_path *p, enum dsp_path_state state)
{
  if (state == p->state)
    return;
  p->state = state;
  p->changed = true;
  p->next_check_at = d->now + CHECK_INTERVAL_MS;
}

bool
dsp_next_path_change (struct dsp *d, struct dsp_path_change *out)
{
  for (size_t i = 0; i < d->npaths; i++)
    if (d->paths[i]->changed)
      {
        d->paths[i]->changed = false;
        out->service = str_from (d->paths[i]->service);
        out->state = d->paths[i]->state;
        return true;
      }
  return false;
}

size_t
dsp_unreachable_services (const struct dsp *d, uint64_t *out, size_t max)
{
  size_t n = 0;

  for (size_t i = 0; i < d->npaths && n < max; i++)
    if (d->paths[i]->state != DSP_PATH_OK)
      out[n++] = d->paths[i]->service_hash;
  return n;
}

/** @retval false  the server is in the list, or the list is full */
static bool
add_server (uint64_t *list, size_t *n, const struct dsp_endpoint_state *s)
{
  for (size_t i = 0; i < *n; i++)
    if (list[i] == s->process_hash)
      return false;
  if (*n == DSP_PATH_FAILED_MAX)
    return false;
  list[(*n)++] = s->process_hash;
  return true;
}

bool
dsp_path_connect_failed (struct dsp *d, const struct dsp_endpoint_state *s)
{
  struct dsp_path *p = s->pool->path;
  bool added;

  if (s->is_proxy)
    return false;
  if (p->nfailed == 0)
    p->first_failed_at = d->now;
  added = add_server (p->failed, &p->nfailed, s);
  if (p->nfailed >= required_servers (d, p) && p->state != DSP_PATH_LOST)
    set_state (d, p,
               p->heard_at < p->first_failed_at ? DSP_PATH_LOST
                                                : DSP_PATH_NO_CONNECTIONS);
  return added;
}

void
dsp_path_request_sent (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  if (!s->is_proxy && s->pool->path->heard_at == 0)
    s->pool->path->heard_at = d->now;
}

void
dsp_path_unanswered (struct dsp *d, const struct dsp_endpoint_state *s)
{
  struct dsp_path *p = s->pool->path;

  if (s->is_proxy || d->now - p->heard_at <= SILENCE_MS)
    return;
  add_server (p->silent, &p->nsilent, s);
  if (p->nsilent >= MIN_SILENT_SERVERS
      && p->nsilent >= required_servers (d, p))
    set_state (d, p, DSP_PATH_LOST);
}

void
dsp_path_connected (struct dsp *d, const struct dsp_endpoint_state *s)
{
  struct dsp_path *p = s->pool->path;

  p->nfailed = p->nsilent = 0;
  p->heard_at = p->connected_at = d->now;
  set_state (d, p, DSP_PATH_OK);
}

void
dsp_path_new_connection (const struct dsp *d,
                         const struct dsp_endpoint_state *s)
{
  struct dsp_path *p = s->pool->path;

  if (s->is_proxy)
    return;
  p->nfailed = 0;
  if (p->state == DSP_PATH_NO_CONNECTIONS)
    set_state (d, p, DSP_PATH_OK);
}

void
dsp_path_heard (struct dsp *d, const struct dsp_endpoint_state *s)
{
  struct dsp_path *p = s->pool->path;

  if (s->is_proxy)
    return;
  p->heard_at = d->now;
  p->nsilent = 0;
  if (p->state == DSP_PATH_LOST)
    set_state (d, p,
               p->nfailed >= required_servers (d, p) ? DSP_PATH_NO_CONNECTIONS
                                                     : DSP_PATH_OK);
}

static void
record_unanswered (struct dsp *d)
{
  for (const struct dsp_req *q = d->open_list; q; q = q->next)
    if (q->pool->path->state != DSP_PATH_LOST && q->endpoint && q->sent_at
        && q->state != DSP_S_CONNECTING && q->state != DSP_S_RECONNECTING
        && d->now - q->last_data_at > SILENCE_MS)
      dsp_path_unanswered (d, q->endpoint);
}

static bool
is_suspect_server (const struct dsp *d, const struct dsp_path *p,
                   const struct dsp_endpoint_state *s)
{
  for (size_t i = 0; i < p->nfailed; i++)
    if (p->failed[i] == s->process_hash)
      return true;
  return dsp_process_ended (d, s);
}

/** A random server of the service.
    @param suspect  one that may have failed */
static const struct dsp_endpoint_state *
random_server (struct dsp *d, const struct dsp_path *p, uint64_t except,
               bool suspect)
{
  const struct dsp_endpoint_state *chosen = NULL;
  uint64_t n = 0;

  for (size_t i = 0; i < d->npools; i++)
    for (size_t k = 0; k < d->pools[i]->n && d->pools[i]->path == p; k++)
      {
        const struct dsp_endpoint_state *s = d->pools[i]->endpoints[k];
        if (s->listed && s->process_hash != except
            && is_suspect_server (d, p, s) == suspect
            && rng_below (&d->check_rng, ++n) == 0)
          chosen = s;
      }
  return chosen;
}

bool
dsp_path_choose_check (struct dsp *d, const struct dsp_path *p,
                       uint64_t except, struct dsp_check_target *out)
{
  const struct dsp_endpoint_state *s = random_server (d, p, except, false);

  if (!s)
    s = random_server (d, p, except, true);
  if (!s || !dsp_avail_allows (d, s))
    return false;
  *out = (struct dsp_check_target){ s->addr, str_from (s->server), s->hash,
                                    s->process_hash };
  return true;
}

void
dsp_path_check_server (struct dsp *d, const struct dsp_path *p,
                       uint64_t except)
{
  struct dsp_check_target target;
  struct dsp_action *a;

  if (!dsp_path_choose_check (d, p, except, &target))
    return;
  a = dsp_add_action (d, DSP_ACT_CHECK_PROCESS, NULL);
  a->server = target.server;
  a->addr = target.addr;
  a->endpoint = target.endpoint;
  a->process = target.process;
}

void
dsp_path_tick (struct dsp *d)
{
  record_unanswered (d);
  for (size_t i = 0; i < d->npaths; i++)
    {
      struct dsp_path *p = d->paths[i];
      if (p->state == DSP_PATH_OK || d->now < p->next_check_at)
        continue;
      p->next_check_at = d->now + CHECK_INTERVAL_MS;
      dsp_path_check_server (d, p, 0);
    }
}

/* --- proxies ------------------------------------------------------------ */

static bool
is_current_proxy (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  for (size_t i = 0; i < d->nproxies; i++)
    if (net_addr_eq (&d->proxies[i].front, &s->addr))
      return true;
  return false;
}

/** Frees proxies that are gone and have no requests. */
static void
remove_old_proxies (const struct dsp *d, struct dsp_pool *p)
{
  size_t kept = 0;

  for (size_t i = 0; i < p->nproxies; i++)
    if (p->proxies[i]->own_requests || is_current_proxy (d, p->proxies[i]))
      p->proxies[kept++] = p->proxies[i];
    else
      dsp_endpoint_free (p->proxies[i]);
  p->nproxies = kept;
}

void
dsp_set_proxies (struct dsp *d, clk_ms now, const struct dsp_proxy *list,
                 size_t n)
{
  d->now = now;
  d->nproxies = n < DSP_PROXIES_MAX ? n : DSP_PROXIES_MAX;
  memcpy (d->proxies, list, d->nproxies * sizeof *list);
  for (size_t i = 0; i < d->npools; i++)
    remove_old_proxies (d, d->pools[i]);
}

static bool
reaches (const struct dsp_proxy *proxy, const struct dsp_path *p)
{
  for (size_t i = 0; i < proxy->nunreachable; i++)
    if (proxy->unreachable[i] == p->service_hash)
      return false;
  return true;
}

bool
dsp_path_is_own_loss (const struct dsp *d, const struct dsp_path *p)
{
  if (p->state == DSP_PATH_OK)
    return false;
  for (size_t i = 0; i < d->nproxies; i++)
    if (reaches (&d->proxies[i], p))
      return true;
  return false;
}

bool
dsp_is_cut_off (const struct dsp *d, struct str service)
{
  for (size_t i = 0; i < d->npaths; i++)
    if (str_is (service, d->paths[i]->service))
      return dsp_path_is_own_loss (d, d->paths[i]);
  return false;
}

/** The proxy as an endpoint of the pool; added if need be. */
static struct dsp_endpoint_state *
get_proxy (struct dsp_pool *p, const struct net_addr *addr)
{
  struct dsp_endpoint_state *s;
  struct buf name = BUF_INIT;

  for (size_t i = 0; i < p->nproxies; i++)
    if (net_addr_eq (&p->proxies[i]->addr, addr))
      return p->proxies[i];
  s = xcalloc (1, sizeof *s);
  net_addr_format (addr, &name);
  s->pool = p;
  s->is_proxy = true;
  s->addr = *addr;
  s->server = xstrdup (buf_c (&name));
  s->hash = s->process_hash = str_hash (buf_str (&name), 0);
  buf_free (&name);
  p->proxies = xrealloc (p->proxies, (p->nproxies + 1) * sizeof (*p->proxies));
  p->proxies[p->nproxies++] = s;
  return s;
}

void
dsp_proxy_failed (const struct dsp *d, struct dsp_endpoint_state *s)
{
  s->full_until = d->now + PROXY_PAUSE_MS;
}

struct dsp_endpoint_state *
dsp_choose_proxy (struct dsp *d, struct dsp_pool *p, const struct dsp_req *q)
{
  struct dsp_endpoint_state *best = NULL;
  unsigned n = 0;

  if (q->proxied)
    return NULL;
  for (size_t i = 0; i < d->nproxies; i++)
    {
      struct dsp_endpoint_state *s;
      if (!reaches (&d->proxies[i], p->path))
        continue;
      s = get_proxy (p, &d->proxies[i].front);
      if (d->now < s->full_until || dsp_has_failed_at (q, s))
        continue;
      if (rng_below (&d->rng, ++n) == 0)
        best = s;
    }
  return best;
}

bool
dsp_prefers_proxy (const struct dsp_req *q)
{
  if (q->pool->path->state == DSP_PATH_LOST)
    return true;
  /* Idle connections may still work; a request that needs a new one can't be
     sent. */
  if (q->pool->path->state == DSP_PATH_NO_CONNECTIONS)
    return !q->retryable || q->connect_failures > 0;
  return false;
}
