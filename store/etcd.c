#include "store/etcd-int.h"

#include <stdlib.h>
#include <string.h>

#include "store/etcd-json.h"

/* Longest wait for a connection; the rest of call_ms is for the answer. */
#define ETCD_CONNECT_MS 1000
/* A timer this late shows that this process stood still.  An answer may lie
   unread then, as timers run before sockets are read. */
#define ETCD_LATE_MS ((clk_ms)100)
#define ETCD_GRACE_MS ((clk_ms)50)

enum op
{
  OP_RANGE,
  OP_TXN,
  OP_GRANT,
  OP_KEEP,
  OP_REVOKE
};

static const char *const op_paths[]
    = { "/v3/kv/range", "/v3/kv/txn", "/v3/lease/grant", "/v3/lease/keepalive",
        "/v3/lease/revoke" };

struct etcd_call
{
  uv_timer_t timer; /* first; bounds the whole call */
  struct etcd *e;
  struct etcd_call *next;
  struct etcd_call **prev;
  struct httpc_call *http;
  enum op op;
  store_cb cb;
  void *ctx;
  struct buf body;
  struct buf answer;
  size_t endpoint;
  size_t tried; /* endpoints that refused the connection */
  clk_ms started;
  clk_ms due; /* when the timer is to run, loop time */
  bool sent;  /* bytes may have reached an endpoint */
  bool again; /* a read is tried once more on a connection of its own */
  int64_t lease;
};

static const struct http_header json_header[]
    = { { { "content-type", 12 }, { "application/json", 16 } } };

void
etcd_rotate (struct etcd *e, size_t failed)
{
  if (e->current == failed)
    e->current = (e->current + 1) % e->nendpoints;
}

/* --- the end of a call ------------------------------------------------- */

static void
on_call_closed (uv_handle_t *h)
{
  struct etcd_call *c = (struct etcd_call *)h;

  buf_free (&c->body);
  buf_free (&c->answer);
  free (c);
}

static void
call_release (struct etcd_call *c)
{
  if (c->http != NULL)
    httpc_cancel (c->http);
  c->http = NULL;
  *c->prev = c->next;
  if (c->next != NULL)
    c->next->prev = c->prev;
  uv_close ((uv_handle_t *)&c->timer, on_call_closed);
}

static void
finish (struct etcd_call *c, const struct store_result *r)
{
  call_release (c);
  c->cb (c->ctx, r);
}

/*
 * The border between "was not applied" and "may have been" is the first byte
 * handed to the kernel.  After it only an answer settles a write; a closed
 * connection, silence or an answer that can't be read leaves it open, and
 * calling that "not applied" would let the caller write twice.
 */
static void
fail (struct etcd_call *c)
{
  struct store_result r = { .status = STORE_UNAVAILABLE };

  if (c->sent && c->op != OP_RANGE)
    r.status = STORE_UNCERTAIN;
  finish (c, &r);
}

/* Errors by which the store says that it did nothing. */
static bool
says_not_applied (int code)
{
  switch (code)
    {
    case ETCD_INVALID_ARGUMENT:
    case ETCD_NOT_FOUND:
    case ETCD_PERMISSION_DENIED:
    case ETCD_RESOURCE_EXHAUSTED:
    case ETCD_FAILED_PRECONDITION:
    case ETCD_OUT_OF_RANGE:
    case ETCD_UNIMPLEMENTED:
    case ETCD_UNAUTHENTICATED:
      return true;
    default:
      return false;
    }
}

static void
finish_error (struct etcd_call *c, int code)
{
  struct store_result r = { .status = STORE_UNAVAILABLE };

  if (!says_not_applied (code))
    {
      etcd_rotate (c->e, c->endpoint);
      fail (c);
      return;
    }
  if (code == ETCD_NOT_FOUND && c->op != OP_RANGE)
    r.status = STORE_GONE;
  finish (c, &r);
}

static enum store_status
status_of (const struct etcd_call *c, const struct etcd_answer *a)
{
  if (c->op == OP_TXN && !a->succeeded)
    return STORE_CONFLICT;
  if (c->op == OP_KEEP && a->ttl_s <= 0)
    return STORE_GONE;
  return STORE_OK;
}

static void
finish_answer (struct etcd_call *c)
{
  struct etcd_answer a;

  if (!etcd_parse (buf_str (&c->answer), &a))
    {
      etcd_rotate (c->e, c->endpoint);
      fail (c);
    }
  else if (a.is_error)
    finish_error (c, a.code);
  else
    {
      struct store_result r = { .status = status_of (c, &a),
                                .revision = a.revision,
                                .kvs = a.kvs,
                                .nkvs = a.nkvs,
                                .lease = a.lease != 0 ? a.lease : c->lease,
                                .ttl = a.ttl_s * CLK_SECOND };
      finish (c, &r);
    }
  etcd_answer_free (&a);
}

/* --- sending a call ---------------------------------------------------- */

/*
 * Stopped between being asked and being connected, this process would send a
 * write long after its caller's lease has lapsed.  The loop may serve the
 * connection before the timer, so the time is read here.
 */
static bool
on_connected (void *ctx)
{
  struct etcd_call *c = ctx;

  if (clk_now () - c->started > c->e->call_ms)
    return false;
  c->sent = true;
  return true;
}

static void
on_head (void *ctx, int status, const struct http_header *headers, size_t n)
{
  /* Errors are told by the body, whatever the status. */
}

static void
on_body (void *ctx, struct str bytes)
{
  struct etcd_call *c = ctx;

  if (c->answer.len + bytes.len <= ETCD_ANSWER_MAX)
    buf_add (&c->answer, bytes);
}

static void start (struct etcd_call *c);

static void
on_end (void *ctx, enum httpc_end end)
{
  struct etcd_call *c = ctx;

  c->http = NULL;
  if (end == HTTPC_COMPLETE)
    {
      finish_answer (c);
      return;
    }
  etcd_rotate (c->e, c->endpoint);
  if (end == HTTPC_CONNECT_FAILED && ++c->tried < c->e->nendpoints)
    {
      start (c);
      return;
    }
  /* An idle connection may have been closed under a read: once more. */
  if (end == HTTPC_BROKEN && c->op == OP_RANGE && !c->again)
    {
      c->again = true;
      buf_clear (&c->answer);
      start (c);
      return;
    }
  fail (c);
}

/*
 * A little less than the whole call may take, so that a silent connection is
 * noticed as such, and with it the idle ones, before the call's own end.
 */
static clk_ms
silence_ms (const struct etcd *e)
{
  return e->call_ms - e->call_ms / 8;
}

struct httpc_request
etcd_request (const struct etcd *e, const char *path, const struct buf *body)
{
  struct httpc_request r = { .to = e->endpoints[e->current],
                             .method = STR ("POST"),
                             .path = str_from (path),
                             .headers = json_header,
                             .nheaders = 1,
                             .body = buf_str (body),
                             .connect_ms = ETCD_CONNECT_MS,
                             .progress_ms = silence_ms (e) };

  return r;
}

static void
start (struct etcd_call *c)
{
  static const struct httpc_callbacks cb
      = { on_connected, on_head, on_body, on_end };
  struct httpc_request r = etcd_request (c->e, op_paths[c->op], &c->body);

  r.fresh = c->again;
  r.max_body = ETCD_ANSWER_MAX;
  c->endpoint = c->e->current;
  c->http = httpc_start (c->e->http, &r, &cb, c);
}

static void on_call_timer (uv_timer_t *t);

static void
arm (struct etcd_call *c, clk_ms ms)
{
  uv_update_time (c->e->loop);
  c->due = (clk_ms)uv_now (c->e->loop) + ms;
  uv_timer_start (&c->timer, on_call_timer, (uint64_t)ms, 0);
}

static void
on_call_timer (uv_timer_t *t)
{
  struct etcd_call *c = (struct etcd_call *)t;

  if ((clk_ms)uv_now (t->loop) - c->due > ETCD_LATE_MS)
    {
      arm (c, ETCD_GRACE_MS);
      return;
    }
  etcd_rotate (c->e, c->endpoint);
  fail (c);
}

static struct etcd_call *
call_new (struct etcd *e, enum op op, store_cb cb, void *ctx)
{
  struct etcd_call *c = xcalloc (1, sizeof *c);

  c->e = e;
  c->op = op;
  c->cb = cb;
  c->ctx = ctx;
  c->started = clk_now ();
  c->next = e->calls;
  c->prev = &e->calls;
  if (c->next != NULL)
    c->next->prev = &c->next;
  e->calls = c;
  uv_timer_init (e->loop, &c->timer);
  arm (c, e->call_ms);
  return c;
}

static void
op_range (void *self, struct str key, struct str end, store_cb cb, void *ctx)
{
  struct etcd_call *c = call_new (self, OP_RANGE, cb, ctx);

  etcd_range_json (key, end, &c->body);
  start (c);
}

static void
op_txn (void *self, const struct store_txn *txn, store_cb cb, void *ctx)
{
  struct etcd_call *c = call_new (self, OP_TXN, cb, ctx);

  etcd_txn_json (txn, &c->body);
  start (c);
}

static void
op_grant (void *self, clk_ms ttl, store_cb cb, void *ctx)
{
  struct etcd_call *c = call_new (self, OP_GRANT, cb, ctx);

  etcd_grant_json (ttl, &c->body);
  start (c);
}

static void
op_keep (void *self, int64_t lease, store_cb cb, void *ctx)
{
  struct etcd_call *c = call_new (self, OP_KEEP, cb, ctx);

  c->lease = lease;
  etcd_lease_json (lease, &c->body);
  start (c);
}

static void
op_revoke (void *self, int64_t lease, store_cb cb, void *ctx)
{
  struct etcd_call *c = call_new (self, OP_REVOKE, cb, ctx);

  c->lease = lease;
  etcd_lease_json (lease, &c->body);
  start (c);
}

/* --- the adapter ------------------------------------------------------- */

static void
op_free (void *self)
{
  struct etcd *e = self;

  while (e->calls != NULL)
    call_release (e->calls);
  etcd_watches_drop (e);
  free (e->endpoints);
  free (e);
}

struct store *
etcd_store_new (uv_loop_t *loop, struct httpc *http,
                const struct etcd_options *opt,
                const struct store_budget *budget)
{
  static const struct store_ops ops = { .range = op_range,
                                        .txn = op_txn,
                                        .lease_grant = op_grant,
                                        .lease_keep = op_keep,
                                        .lease_revoke = op_revoke,
                                        .watch = etcd_watch_open,
                                        .watch_stop = etcd_watch_stop,
                                        .free = op_free };
  struct etcd *e = xcalloc (1, sizeof *e);

  e->loop = loop;
  e->http = http;
  e->nendpoints = opt->nendpoints;
  e->endpoints = xcalloc (opt->nendpoints + 1, sizeof *e->endpoints);
  memcpy (e->endpoints, opt->endpoints,
          opt->nendpoints * sizeof *e->endpoints);
  e->call_ms = opt->call_ms;
  e->watch_idle_ms
      = opt->watch_idle_ms > 0 ? opt->watch_idle_ms : ETCD_WATCH_IDLE_MS;
  return store_new (loop, &ops, e, budget);
}
