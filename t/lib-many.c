#include "t/lib-many.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

/** Limit for applying a stored version; config_apply_ms of the settings. */
#define CONFIG_APPLY_MS ((clk_ms)2000)
/** Added to CONFIG_APPLY_MS during a store fault and RECOVERY_MS after it. */
#define STORE_FAULT_EXTRA_MS ((clk_ms)5000)
/** Nodes and the store count as disturbed for this long after a fault. */
#define RECOVERY_MS ((clk_ms)3000)
/** Time after a response by a newer version in which an older may respond. */
#define ROLLBACK_GRACE_MS ((clk_ms)250)
/** A client's mean pause between requests is this times the node count. */
#define REQUEST_INTERVAL_MS 4
#define ENGINES 4
/** The success ratio of added items is checked from this many requests on. */
#define MIN_SAMPLES 20

/* --- operators --------------------------------------------------------- */

unsigned
many_next_version (struct many *m, struct buf *key, struct buf *routes)
{
  unsigned version;

  pthread_mutex_lock (&m->operator_lock);
  pthread_mutex_lock (&m->s.lock);
  version = ver_next (&m->vs, clk_now ());
  ver_format (&m->vs, key, routes);
  pthread_mutex_unlock (&m->s.lock);
  return version;
}

void
many_version_acked (struct many *m, unsigned version)
{
  pthread_mutex_lock (&m->s.lock);
  m->vs.v[version].acked_at = clk_now ();
  pthread_mutex_unlock (&m->s.lock);
  pthread_mutex_unlock (&m->operator_lock);
}

/* --- one client per node ----------------------------------------------- */

/** Sends a request over the open or a new connection; status 0 on failure. */
static int
send_request (struct checker *c, const struct ver_request *req, const char *id)
{
  const char *addr = c->m->s.r.front[c->node];
  char path[32] = "/safe/x", headers[256];
  struct buf body = BUF_INIT;
  enum web_read got = WEB_BYTES;
  int status;

  if (req->item && !req->by_key)
    snprintf (path, sizeof path, "/a%u/x", req->item);
  snprintf (headers, sizeof headers,
            "Host: h\r\nX-Lapisline-Request-Id: %s\r\nX-Api-Key: %c%u\r\n", id,
            req->item && req->by_key ? 'a' : 'k',
            req->item && req->by_key ? req->item : 1);
  if (!c->conn || !web_next (c->conn, addr, "POST", path, headers, "hello"))
    {
      web_close (c->conn);
      c->conn = web_open (addr, "POST", path, headers, "hello");
    }
  if (!c->conn)
    return 0;
  status = web_status (c->conn, PROC_WAIT_MS);
  while (status && got == WEB_BYTES)
    got = web_read (c->conn, &body, PROC_WAIT_MS);
  buf_free (&body);
  return status;
}

/** A response together with the version that was required for it. */
struct observation
{
  const struct checker *c;
  const struct ver_request *request;
  int status;
  unsigned required;
};

/** Milliseconds since the soak started, for violation lines. */
static int
ms_since_start (const struct many *m, clk_ms at)
{
  return at ? (int)(at - m->s.started_at) : -1;
}

static void
add_timestamp (struct buf *out)
{
  clk_ms wall = clk_wall ();
  time_t s = (time_t)(wall / CLK_SECOND);
  struct tm tm;

  gmtime_r (&s, &tm);
  buf_addf (out, "%02d:%02d:%02d.%03d", tm.tm_hour, tm.tm_min, tm.tm_sec,
            (int)(wall % CLK_SECOND));
}

static void
report_violation (const struct observation *obs, const char *what)
{
  struct many *m = obs->c->m;
  const struct soak_node *state = &m->s.node[obs->c->node];
  const struct ver_request *req = obs->request;
  struct buf text = BUF_INIT;

  add_timestamp (&text);
  buf_addf (&text,
            " %s: node-%d, %s of version %u (removed by %u): status %d;", what,
            obs->c->node + 1, req->by_key ? "key" : "route", req->item,
            m->vs.v[req->item].removed_by, obs->status);
  buf_addf (&text,
            " sent at %d ms, answered at %d ms; required version %u,"
            " acknowledged at %d ms;",
            ms_since_start (m, req->sent_at),
            ms_since_start (m, req->answered_at), obs->required,
            ms_since_start (m, m->vs.v[obs->required].acked_at));
  buf_addf (&text, " node had version %u at %d ms; newest %u;",
            obs->c->min_version, ms_since_start (m, obs->c->min_version_at),
            m->vs.newest);
  buf_addf (&text,
            " node disturbed at %d ms, paused at %d ms; store fault at %d ms",
            ms_since_start (m, state->disturbed_at),
            ms_since_start (m, state->paused_at),
            ms_since_start (m, m->s.store_fault_at));
  soak_add_violation (&m->s, buf_c (&text));
  buf_free (&text);
}

/** Whether the node was undisturbed since RECOVERY_MS before @p sent. */
static bool
was_undisturbed (const struct soak_node *state, clk_ms sent)
{
  return !state->paused && state->disturbed_at < sent - RECOVERY_MS;
}

static bool
was_paused (const struct soak_node *state, clk_ms sent)
{
  return state->paused
         || (state->paused_at && state->paused_at >= sent - RECOVERY_MS);
}

/** Whether the response matches only versions older than the required one: the
   newest that was acknowledged more than @p bound before the request. */
static bool
is_stale (struct observation *obs, clk_ms bound)
{
  const struct versions *vs = &obs->c->m->vs;

  obs->required = ver_newest_acked (vs, obs->request->sent_at - bound - 1);
  return obs->required
         && ver_oldest_match (vs, obs->request, obs->required) == 0;
}

/** No node, even a disturbed one, may deny by an outdated version, because
   clients don't retry a denial. */
static void
check_denial (const struct many *m, struct observation *obs)
{
  const struct soak_node *state = &m->s.node[obs->c->node];

  if (obs->request->denied && is_stale (obs, CONFIG_APPLY_MS))
    report_violation (obs, was_paused (state, obs->request->sent_at)
                               ? "denied by an outdated version after a pause"
                               : "denied by an outdated version");
}

static bool
store_was_available (const struct soak *s, clk_ms sent)
{
  return !s->store_faulty && s->store_fault_at < sent - RECOVERY_MS;
}

/** An undisturbed node has to apply each version in time. */
static void
check_deadline (struct many *m, struct observation *obs)
{
  const struct soak *s = &m->s;
  clk_ms sent = obs->request->sent_at, bound = CONFIG_APPLY_MS;
  bool late;

  if (!was_undisturbed (&s->node[obs->c->node], sent))
    return;
  if (!store_was_available (s, sent))
    bound += STORE_FAULT_EXTRA_MS;
  late = is_stale (obs, bound);
  m->deadline_checked += obs->required > 0;
  if (late)
    report_violation (obs, "version not applied in time");
}

/** Counts requests to undisturbed nodes, and how many were served. */
static void
count_success (struct many *m, const struct checker *c,
               const struct ver_request *req, bool served)
{
  struct many_success *counter = req->item ? &m->added : &m->initial;

  if (!was_undisturbed (&m->s.node[c->node], req->sent_at)
      || !store_was_available (&m->s, req->sent_at)
      || m->vs.v[req->item].removed_by
      || req->item
             > ver_newest_acked (&m->vs, req->sent_at - CONFIG_APPLY_MS - 1))
    return;
  counter->requests++;
  counter->served += served;
}

/** A process must not return to an older version. */
static void
check_no_rollback (struct checker *c, const struct observation *obs)
{
  const struct versions *vs = &c->m->vs;
  unsigned oldest = ver_oldest_match (vs, obs->request, c->min_version);

  if (oldest == 0
      && obs->request->sent_at > c->min_version_at + ROLLBACK_GRACE_MS)
    report_violation (obs, "returned to an older version");
  if (oldest <= c->min_version)
    return;
  c->min_version = oldest;
  c->min_version_at = obs->request->answered_at;
}

static void
check_answer (struct checker *c, const struct ver_request *req, int status)
{
  struct many *m = c->m;
  struct observation obs = { .c = c, .request = req, .status = status };
  unsigned incarnation = m->s.node[c->node].incarnation;

  m->conclusive++;
  m->served += !req->denied;
  if (req->item == 0 && req->denied)
    report_violation (&obs, "denied a request that all versions allow");
  if (req->item == 0)
    return;
  check_denial (m, &obs);
  check_deadline (m, &obs);
  /* During a restart, the old or the new process may have responded. */
  if (incarnation == c->incarnation)
    check_no_rollback (c, &obs);
}

void
many_check_request (struct soak_thread *t)
{
  struct checker *c = t->ctx;
  struct many *m = c->m;
  struct ver_request req;
  unsigned incarnation;
  char id[32];
  bool served;
  int status;

  pthread_mutex_lock (&m->s.lock);
  ver_pick_request (&m->vs, &t->rng, &req);
  incarnation = m->s.node[c->node].incarnation;
  if (incarnation != c->incarnation)
    *c = (struct checker){
      .m = m, .node = c->node, .conn = c->conn, .incarnation = incarnation
    };
  pthread_mutex_unlock (&m->s.lock);
  snprintf (id, sizeof id, "c%u-%u", t->number, t->steps);
  req.sent_at = clk_now ();
  status = send_request (c, &req, id);
  req.answered_at = clk_now ();
  req.denied = status == 401 || status == 403 || status == 404;
  pthread_mutex_lock (&m->s.lock);
  m->requests++;
  served = status >= 200 && status < 300;
  count_success (m, c, &req, served);
  if (req.denied || served)
    check_answer (c, &req, status);
  pthread_mutex_unlock (&m->s.lock);
  soak_random_sleep (&t->rng, 2 * REQUEST_INTERVAL_MS * m->s.nodes);
}

/* --- start and finish -------------------------------------------------- */

static uint64_t
name_hash (int node)
{
  char name[32];

  snprintf (name, sizeof name, "node-%d", node + 1);
  return str_hash (str_from (name), 0);
}

/** Nodes of equal size are ordered by the hashes of their names. */
static int
compare_relay_order (const void *a, const void *b)
{
  uint64_t x = name_hash (*(const int *)a), y = name_hash (*(const int *)b);

  return (x > y) - (x < y);
}

void
many_init (struct many *m, uint64_t seed, int nodes)
{
  soak_init (&m->s, seed, nodes);
  pthread_mutex_init (&m->operator_lock, NULL);
  rng_seed (&m->vs.rng, seed);
  rack_prepare_nodes (&m->s.r, ENGINES, nodes, NULL);
  m->s.r.logs = getenv ("SOAK_LOGS");
  if (!m->s.r.logs)
    m->s.r.logs = proc_dir ();
  for (int i = 0; i < nodes; i++)
    m->relay_order[i] = i;
  qsort (m->relay_order, (size_t)nodes, sizeof *m->relay_order,
         compare_relay_order);
}

void
many_start_nodes (struct many *m)
{
  for (int i = 0; i < m->s.nodes; i++)
    rack_start_node (&m->s.r, i);
  for (int i = 0; i < m->s.nodes; i++)
    cr_assert (
        rack_call_until (&m->s.r, i, "/safe/x", rack_headers ("warm"), 200));
}

/** Waits until the node serves the newest version's route. */
static void
expect_newest (struct many *m, int node)
{
  char path[32];

  snprintf (path, sizeof path, "/a%u/x", m->vs.newest);
  cr_expect (rack_call_until (&m->s.r, node, path, rack_headers ("end"), 200),
             "node-%d does not serve the route of version %u after the faults",
             node + 1, m->vs.newest);
}

void
many_finish (struct many *m, struct checker *c)
{
  for (int i = 0; i < m->s.nodes; i++)
    {
      expect_newest (m, i);
      web_close (c[i].conn);
    }
  cr_log_info ("seed %llu: %u versions; %u requests, %u conclusive, %u served,"
               " %u checked against the limit; added items: %u of %u served",
               (unsigned long long)m->s.seed, m->vs.newest, m->requests,
               m->conclusive, m->served, m->deadline_checked, m->added.served,
               m->added.requests);
  cr_expect_gt (m->conclusive, m->requests / 4, "%u of %u requests conclusive",
                m->conclusive, m->requests);
  cr_expect_gt (m->served, m->requests / 10, "served %u of %u", m->served,
                m->requests);
  cr_expect (m->added.requests < MIN_SAMPLES
                 || 4 * m->added.served * m->initial.requests
                        >= m->initial.served * m->added.requests,
             "undisturbed nodes served %u of %u requests for added items,"
             " but %u of %u for initial ones",
             m->added.served, m->added.requests, m->initial.served,
             m->initial.requests);
  soak_finish (&m->s);
}
