#include "serve/exchange.h"

/** Maximum number of addresses in one response; clients read no more. */
#define ADDRESSES_MAX 64

/** How long clients may use a response.  Clients send a query about every two
    seconds, so no client uses the address of a failed node for much longer
    than this. */
#define ANSWER_TTL_MS ((clk_ms)2000)

#define BODY_MAX ((size_t)4096)
#define HEAD_MAX ((size_t)16384)
#define HEAD_MS ((clk_ms)3000)
/** Bytes of incomplete requests beyond the first 16 KB of each. */
#define INPUT_MAX ((size_t)1024 * 1024)
#define CONNECTIONS_MAX 500
#define IDLE_MS ((clk_ms)20000)

static void
answer_empty (struct httpd_req *req, int status)
{
  httpd_answer (req, status, NULL, 0, STR_EMPTY);
}

static void
answer_metrics (struct srv *s, struct httpd_req *req)
{
  static const struct http_header text[]
      = { { { "content-type", 12 }, { "text/plain; version=0.0.4", 25 } } };
  struct buf body = BUF_INIT;

  srv_metrics_expose (s, &body);
  httpd_answer (req, 200, text, 1, buf_str (&body));
  buf_free (&body);
}

static void
on_ready (void *ctx, struct httpd_req *req)
{
  struct srv *s = ctx;
  struct str path = httpd_get (req)->path;

  if (str_is (path, s->adapter->ready_path))
    answer_empty (req, srv_is_ready (s) ? 200 : 503);
  else if (str_is (path, SRV_METRICS_PATH))
    answer_metrics (s, req);
  else
    answer_empty (req, 404);
}

static void
on_address (void *ctx, struct httpd_req *req)
{
  static const struct http_header json[]
      = { { { "content-type", 12 }, { "application/json", 16 } } };
  struct srv *s = ctx;
  struct net_addr list[ADDRESSES_MAX];
  struct buf body = BUF_INIT;
  clk_ms ttl = s->settings.address_ttl_ms < ANSWER_TTL_MS
                   ? s->settings.address_ttl_ms
                   : ANSWER_TTL_MS;
  size_t n;

  if (!str_is (httpd_get (req)->path, s->adapter->address_path))
    {
      answer_empty (req, 404);
      return;
    }
  srv_check_pause (s, clk_now ());
  n = srv_peers_list_ready (s, list, ADDRESSES_MAX);
  if (n == 0)
    {
      srv_send_error (s, req, 503, "no-node", 0);
      return;
    }
  s->adapter->format_addresses (list, n, ttl, &body);
  httpd_answer (req, 200, json, 1, buf_str (&body));
  buf_free (&body);
}

bool
srv_address_start (struct srv *s, struct buf *err)
{
  struct httpd_limits limits = { .max_body = BODY_MAX,
                                 .max_head = HEAD_MAX,
                                 .head_ms = HEAD_MS,
                                 .max_input = INPUT_MAX,
                                 .max_connections = CONNECTIONS_MAX,
                                 .request_ms = IDLE_MS };

  s->ready_listener
      = httpd_listen (&s->loop, &s->settings.ready, &limits, on_ready, s, err);
  if (!s->ready_listener)
    return false;
  s->address_listener = httpd_listen (&s->loop, &s->settings.address, &limits,
                                      on_address, s, err);
  return s->address_listener != NULL;
}
