#include "serve/node-int.h"

#include <stdlib.h>

/*
 * Determines whether the process of a backend server has ended, or whether
 * only the connection to it was lost.  A VM without the process refuses
 * connections immediately; connections to an unreachable VM time out.
 */

/** Timeout for the connection; allows for one retransmission of a lost SYN. */
#define CONNECT_MS ((clk_ms)400)
/** Timeout for the response, which a server generates from memory. */
#define RESPONSE_MS ((clk_ms)300)
/** HTTP status 421: the address now belongs to another server, so the process
    of the expected server has ended. */
#define STATUS_MISDIRECTED 421

struct check
{
  struct srv *s;
  uint64_t endpoint;
  uint64_t process;
  char *server;
  clk_ms started_at;
  int status;
};

static void
on_head (void *ctx, int status, const struct http_header *h, size_t n)
{
  struct check *c = ctx;
  struct srv_notice_source from = { .server = str_from (c->server),
                                    .process = c->process,
                                    .what = "check" };
  struct avl_notice notice;

  c->status = status;
  c->s->adapter->parse_notice (status, h, n, &notice);
  if (status != STATUS_MISDIRECTED)
    srv_notice_received (c->s, &from, &notice);
}

static void
on_body (void *ctx, struct str bytes)
{
}

/** A paused server is sent nothing.  The established connection shows that a
    process listens there. */
static bool
on_connected (void *ctx)
{
  struct check *c = ctx;

  return srv_may_call_server (c->s, c->process);
}

static enum dsp_liveness
classify_liveness (const struct check *c, enum httpc_end end, clk_ms ms)
{
  if (end == HTTPC_NOT_SENT)
    return DSP_ALIVE;
  if (c->status)
    return c->status == STATUS_MISDIRECTED ? DSP_ENDED : DSP_ALIVE;
  if (end == HTTPC_CONNECT_FAILED && ms < CONNECT_MS)
    return DSP_CONN_REFUSED;
  return DSP_UNREACHABLE;
}

static void
on_end (void *ctx, enum httpc_end end)
{
  struct check *c = ctx;
  struct srv *s = c->s;
  clk_ms now = clk_now ();
  enum dsp_liveness found = classify_liveness (c, end, now - c->started_at);
  size_t runs = dsp_process_checked (s->dispatch, now, c->endpoint, found);

  LOG (server_checked, LOG_C ("server", c->server),
       LOG_C ("process", dsp_liveness_name (found)), LOG_I ("runs", runs),
       LOG_I ("ms", now - c->started_at));
  free (c->server);
  free (c);
  srv_run_actions (s);
}

static void
check_server (struct srv *s, const struct dsp_check_target *t)
{
  static const struct httpc_callbacks cb
      = { on_connected, on_head, on_body, on_end };
  struct check *c = xcalloc (1, sizeof *c);
  struct http_header h = { str_from (s->adapter->expect_header), t->server };
  struct httpc_request r = { .to = t->addr,
                             .method = STR ("GET"),
                             .path = str_from (s->adapter->report_path),
                             .headers = &h,
                             .nheaders = 1,
                             .connect_ms = CONNECT_MS,
                             .progress_ms = RESPONSE_MS,
                             .total_ms = RESPONSE_MS,
                             .fresh = true };

  c->s = s;
  c->endpoint = t->endpoint;
  c->process = t->process;
  c->server = str_dup (t->server);
  c->started_at = clk_now ();
  httpc_start (s->http, &r, &cb, c);
}

void
srv_check_server_process (struct srv *s, const struct dsp_action *a)
{
  struct dsp_check_target target
      = { a->addr, a->server, a->endpoint, a->process };

  check_server (s, &target);
  if (a->other.server.len)
    check_server (s, &a->other);
}
