#include "front/poison.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "front/callers.h"
#include "serve/poison-wire.h"

#define TICK_MS ((clk_ms)50)
/** Interval at which missing links to other gateways are opened. */
#define LINK_MS ((clk_ms)1000)
#define CONNECT_MS ((clk_ms)400)
/** Delay of the check whether a server still listens: a process that exits
    closes its connections before its listening port. */
#define CHECK_DELAY_MS ((clk_ms)30)
/** Time in which another server must respond after a refused connection.  If
    none does, this node may have lost its network paths and the crash is not
    counted. */
#define CONFIRM_MS ((clk_ms)500)

/** Maximum number of servers in the list, and how many of them are connected
   to when one has refused a connection. */
#define MAX_SERVERS 64
#define MAX_REFERENCES 3

/** An attempt that ended incomplete and whose server is being checked. */
struct broken_run
{
  struct gw_poison *p;
  struct broken_run *next;
  struct psn_run run; /**< owns its list of parts */
  struct net_addr addr;
  clk_ms broken_at, check_at, started_at;
  clk_ms refused_at; /**< 0: not yet */
};

struct gw_poison
{
  struct gw *g;
  struct psn *psn;
  uv_timer_t timer;
  clk_ms responded_at; /**< when a server last responded */
  clk_ms reached_at;   /**< when one last accepted a connection of a check */
  struct net_addr servers[MAX_SERVERS]; /**< leaders of replicas */
  size_t nservers;
  clk_ms next_links_at;
  struct broken_run *unchecked; /**< the check has not started */
  struct broken_run *refused;   /**< the server refused the connection; not
                                     confirmed yet */
  struct met_series *m_requests, *m_parts;
};

/* ---- updates ---- */

static void
send_to_peers (struct gw_poison *p, const struct psn_update *list, size_t n)
{
  size_t nodes = 0;
  const struct gw_node *node
      = p->g->view ? gw_view_nodes (p->g->view, &nodes) : NULL;

  for (size_t i = 0; i < nodes; i++)
    {
      char *name = str_dup (node[i].name);
      struct link *l = str_is (node[i].name, p->g->set.node)
                           ? NULL
                           : gw_claims_link (p->g->claims, name);
      if (l)
        psn_send (l, list, n, true);
      free (name);
    }
}

/** End the open requests that are refused from now on and whose response has
    not begun.  Ending one request may free others, so the loop runs over a
   copy of their ids. */
static void
end_refused_requests (struct gw_poison *p)
{
  struct gw_callers *c = p->g->callers;
  uint64_t *ids = xcalloc (c->open + 1, sizeof *ids);
  size_t n = 0;

  for (struct gw_exchange *ex = c->list; ex; ex = ex->next)
    ids[n++] = ex->id;
  for (size_t i = 0; i < n; i++)
    {
      struct gw_exchange *ex = gw_callers_find (c, ids[i]);
      if (ex)
        gw_poison_end_refused (ex);
    }
  free (ids);
}

static void
log_update (const struct psn_update *update)
{
  char id[17];

  snprintf (id, sizeof id, update->id.is_part ? "%llx" : "%016llx",
            (unsigned long long)update->id.value);
  if (update->kind == PSN_BLOCKED && update->id.is_part)
    LOG (part_blocked, LOG_C ("parts", id),
         LOG_I ("hold_ms", update->hold_ms));
  else if (update->kind == PSN_BLOCKED)
    LOG (request_blocked, LOG_C ("digest", id),
         LOG_I ("hold_ms", update->hold_ms));
}

static void
process_updates (struct gw_poison *p)
{
  struct psn_update *copy;
  bool blocked = false;
  size_t n;
  const struct psn_update *list = psn_updates (p->psn, &n);

  if (n == 0)
    return;
  copy = xmalloc (n * sizeof *copy);
  memcpy (copy, list, n * sizeof *copy);
  send_to_peers (p, copy, n);
  for (size_t i = 0; i < n; i++)
    {
      log_update (&copy[i]);
      blocked = blocked || copy[i].kind == PSN_BLOCKED;
    }
  free (copy);
  met_set (p->m_requests, (double)psn_count_blocked (p->psn, false));
  met_set (p->m_parts, (double)psn_count_blocked (p->psn, true));
  if (blocked)
    end_refused_requests (p);
}

void
gw_poison_link_up (struct gw_poison *p, struct link *l)
{
  size_t n;
  const struct psn_update *list = psn_snapshot (p->psn, clk_now (), &n);

  psn_send (l, list, n, true);
}

void
gw_poison_received (struct gw_poison *p, const Lapis__PoisonUpdates *updates)
{
  struct psn_update update;

  for (size_t i = 0; i < updates->n_updates; i++)
    if (psn_read_row (updates->updates[i], &update))
      psn_apply (p->psn, clk_now (), &update);
  process_updates (p);
}

/* ---- evidence ---- */

static void
free_run (struct broken_run *b)
{
  free ((void *)b->run.request.parts);
  free (b);
}

void
gw_poison_server_responded (struct gw_poison *p)
{
  p->responded_at = clk_now ();
}

void
gw_poison_replicas (struct gw_poison *p, const struct rt_replica *list,
                    size_t n)
{
  p->nservers = 0;
  for (size_t i = 0; i < n && p->nservers < MAX_SERVERS; i++)
    if (list[i].whole)
      p->servers[p->nservers++] = list[i].addr;
}

/** Whether the check of a refused connection is complete: confirmed, which
    counts the crash, or timed out. */
static bool
check_refused (struct gw_poison *p, struct broken_run *b, clk_ms now)
{
  if (p->responded_at > b->broken_at || p->reached_at >= b->refused_at)
    {
      b->run.ago_ms = now - b->broken_at;
      psn_run_crashed (p->psn, now, &b->run);
      return true;
    }
  return now - b->refused_at > CONFIRM_MS;
}

static void
check_all_refused (struct gw_poison *p, clk_ms now)
{
  for (struct broken_run **at = &p->refused; *at;)
    {
      struct broken_run *b = *at;
      if (!check_refused (p, b, now))
        {
          at = &b->next;
          continue;
        }
      *at = b->next;
      free_run (b);
    }
}

/** The server accepts connections, so its process is running. */
static bool
on_check_connected (void *ctx)
{
  (void)ctx;
  return false;
}

static bool
on_reference_connected (void *ctx)
{
  struct gw_poison *p = ctx;

  p->reached_at = clk_now ();
  return false;
}

static void
on_reference_end (void *ctx, enum httpc_end end)
{
  struct gw_poison *p = ctx;

  (void)end;
  check_all_refused (p, clk_now ());
  process_updates (p);
}

static void
connect_to (struct gw_poison *p, const struct net_addr *addr,
            const struct httpc_callbacks *cb, void *ctx)
{
  struct httpc_request r = { .to = *addr,
                             .method = STR ("GET"),
                             .path = STR ("/"),
                             .connect_ms = CONNECT_MS,
                             .progress_ms = CONNECT_MS,
                             .total_ms = CONNECT_MS,
                             .fresh = true };

  httpc_start (p->g->http, &r, cb, ctx);
}

/** Connect to other servers, to check this node's network paths. */
static void
check_paths (struct gw_poison *p, const struct net_addr *except)
{
  static const struct httpc_callbacks cb
      = { on_reference_connected, NULL, NULL, on_reference_end };
  size_t first = rng_below (&p->g->rng, p->nservers + 1);

  for (size_t i = 0, n = 0; i < p->nservers && n < MAX_REFERENCES; i++)
    {
      const struct net_addr *addr = &p->servers[(first + i) % p->nservers];
      if (net_addr_eq (addr, except))
        continue;
      connect_to (p, addr, &cb, p);
      n++;
    }
}

static void
on_check_end (void *ctx, enum httpc_end end)
{
  struct broken_run *b = ctx;
  struct gw_poison *p = b->p;
  clk_ms now = clk_now ();

  if (end != HTTPC_CONNECT_FAILED || now - b->started_at >= CONNECT_MS)
    {
      free_run (b);
      return;
    }
  b->refused_at = now;
  b->next = p->refused;
  p->refused = b;
  check_paths (p, &b->addr);
  check_all_refused (p, now);
  process_updates (p);
}

static uint64_t
endpoint_hash (const struct gw_attempt *at)
{
  return str_hash (str_from (at->name), (uint64_t)at->generation);
}

static void
start_checks (struct gw_poison *p, clk_ms now)
{
  static const struct httpc_callbacks cb
      = { on_check_connected, NULL, NULL, on_check_end };

  for (struct broken_run **at = &p->unchecked; *at;)
    {
      struct broken_run *b = *at;
      if (now < b->check_at)
        {
          at = &b->next;
          continue;
        }
      *at = b->next;
      b->started_at = now;
      connect_to (p, &b->addr, &cb, b);
    }
}

static void
add_broken_run (struct gw_poison *p, const struct gw_attempt *at)
{
  const struct psn_request *ids = &at->ex->call.poison_ids;
  struct broken_run *b = xcalloc (1, sizeof *b);

  b->p = p;
  b->addr = at->addr;
  b->broken_at = clk_now ();
  b->check_at = b->broken_at + CHECK_DELAY_MS;
  b->run = (struct psn_run){ .request = *ids,
                             .endpoint = endpoint_hash (at),
                             .ran_ms = at->first_body_at
                                           ? b->broken_at - at->first_body_at
                                           : PSN_NO_EVENT };
  b->run.request.parts = psn_copy_parts (ids);
  b->next = p->unchecked;
  p->unchecked = b;
}

void
gw_poison_attempt_ended (const struct gw_attempt *at, bool whole, bool broken)
{
  struct gw_poison *p = at->ex->c->g->poison;
  bool success = at->answer.status >= 200 && at->answer.status < 300;

  /* Services have no generation, so two processes of a server can't be
     distinguished. */
  if (broken && at->send_granted && at->ex->call.req.is_model)
    add_broken_run (p, at);
  /* A response that ended when the connection was closed may have been
     truncated by a crash. */
  if (!whole || !success || at->ended_by_close || at->answer.bytes == 0)
    return;
  psn_completed (p->psn, clk_now (), &at->ex->call.poison_ids);
}

/* ---- requests ---- */

bool
gw_poison_end_refused (struct gw_exchange *ex)
{
  struct gw_poison *p = ex->c->g->poison;
  struct psn_refusal why;
  struct rt_event ev = { .kind = RT_EV_POISON, .id = ex->id };

  if (!psn_should_refuse (p->psn, clk_now (), &ex->call.poison_ids, &why))
    return false;
  ev.retry_ms = why.retry_ms;
  gw_callers_event (ex->c, &ev);
  return true;
}

bool
gw_poison_refuse (struct gw_poison *p, const struct psn_request *ids,
                  struct httpd_req *req)
{
  struct psn_refusal why;
  struct gw_error e = { .status = rt_code_status (RT_CODE_POISON),
                        .code = rt_code_name (RT_CODE_POISON),
                        .message = gw_error_message (RT_CODE_POISON) };

  if (!psn_should_refuse (p->psn, clk_now (), ids, &why))
    return false;
  e.retry_ms = why.retry_ms;
  gw_refuse (p->g, req, &e);
  return true;
}

bool
gw_poison_is_suspect (const struct gw_exchange *ex)
{
  return psn_is_suspect (ex->c->g->poison->psn, clk_now (),
                         &ex->call.poison_ids);
}

/* ---- time ---- */

static void
open_links (struct gw_poison *p, clk_ms now)
{
  if (now < p->next_links_at || !p->g->claims)
    return;
  p->next_links_at = now + LINK_MS;
  send_to_peers (p, NULL, 0);
}

static void
on_tick (uv_timer_t *t)
{
  struct gw_poison *p = t->data;
  clk_ms now = clk_now ();

  open_links (p, now);
  start_checks (p, now);
  check_all_refused (p, now);
  if (now >= psn_next_deadline (p->psn))
    psn_tick (p->psn, now);
  process_updates (p);
}

struct gw_poison *
gw_poison_start (struct gw *g)
{
  struct gw_poison *p = xcalloc (1, sizeof *p);

  p->g = g;
  p->psn = psn_new ();
  p->m_requests = met_gauge (
      g->met, "lapisline_requests_blocked",
      "Requests that are refused as servers crash when they run them.", NULL);
  p->m_parts = met_gauge (
      g->met, "lapisline_parts_blocked",
      "Parts of prompts whose requests are refused as servers crash.", NULL);
  uv_timer_init (g->loop, &p->timer);
  p->timer.data = p;
  uv_timer_start (&p->timer, on_tick, TICK_MS, TICK_MS);
  return p;
}
