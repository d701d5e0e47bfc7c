#include "net/httpd-int.h"

#include <sys/socket.h>

struct httpd_refusal
{
  h2o_req_t *req; /**< NULL: h2o does not know the request */
  int status;
  struct buf headers; /**< without `req`: lines that end in CR LF */
  struct buf body;
};

/** Replaces the body of h2o's response, which is sent in one piece. */
struct body_stream
{
  h2o_ostream_t super;
  h2o_iovec_t body;
};

static void
send_body (h2o_ostream_t *self, h2o_req_t *req, h2o_iovec_t *bufs, size_t n,
           h2o_send_state_t state)
{
  struct body_stream *s = (struct body_stream *)self;

  h2o_ostream_send_next (self, req, &s->body, n > 0 ? 1 : 0, state);
}

void
httpd_refusal_header (struct httpd_refusal *r, struct str name,
                      struct str value)
{
  h2o_req_t *req = r->req;

  if (req == NULL)
    {
      buf_addf (&r->headers, "%.*s: %.*s\r\n", STR_ARG (name),
                STR_ARG (value));
      return;
    }
  h2o_iovec_t k = h2o_strdup (&req->pool, name.ptr, name.len);
  h2o_iovec_t v = h2o_strdup (&req->pool, value.ptr, value.len);
  h2o_add_header_by_str (&req->pool, &req->res.headers, k.base, k.len, 1, NULL,
                         v.base, v.len);
}

void
httpd_refusal_json (struct httpd_refusal *r, struct str body)
{
  buf_clear (&r->body);
  buf_add (&r->body, body);
}

void
httpd_refusal_status (struct httpd_refusal *r, int status)
{
  r->status = status;
}

/* --- requests that h2o refuses ----------------------------------------- */

static void
replace_body (h2o_req_t *req, struct str body, h2o_ostream_t **slot)
{
  struct body_stream *s
      = (struct body_stream *)h2o_add_ostream (req, sizeof *s, slot);

  s->super.do_send = send_body;
  s->body = h2o_strdup (&req->pool, body.ptr, body.len);
  req->res.content_length = body.len;
  h2o_set_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
                  H2O_STRLIT ("application/json"), 1);
}

static void
on_refused (h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
  const struct httpd_refusal_filter *f = (struct httpd_refusal_filter *)self;
  struct httpd_refusal r = { .req = req, .status = req->res.status };

  f->refused (f->ctx, req->res.status, &r);
  if (r.status != req->res.status)
    {
      req->res.status = r.status;
      req->res.reason = httpd_reason (r.status);
    }
  if (r.body.len > 0)
    {
      replace_body (req, buf_str (&r.body), slot);
      slot = &(*slot)->next;
    }
  buf_free (&r.body);
  h2o_setup_next_ostream (req, slot);
}

void
httpd_refusal_setup (h2o_hostconf_t *host, httpd_refused refused, void *ctx)
{
  struct httpd_refusal_filter *f
      = (struct httpd_refusal_filter *)h2o_create_filter (&host->fallback_path,
                                                          sizeof *f);

  f->super.on_setup_ostream = on_refused;
  f->refused = refused;
  f->ctx = ctx;
}

/* --- requests that are refused while they are received ------------------ */

void
httpd_refusal_send (struct httpd *d, int fd, int status)
{
  struct httpd_refusal r = { .status = status };
  struct buf text = BUF_INIT;

  if (d->on_refused != NULL)
    d->on_refused (d->handler_ctx, status, &r);
  buf_addf (&text,
            "HTTP/1.1 %d %s\r\nconnection: close\r\n"
            "content-type: application/json\r\ncontent-length: %zu\r\n",
            r.status, httpd_reason (r.status), r.body.len);
  buf_add (&text, buf_str (&r.headers));
  buf_add (&text, STR ("\r\n"));
  buf_add (&text, buf_str (&r.body));
  /* The response fits into the empty send buffer.  If it doesn't, the caller
     sees a closed connection. */
  (void)!send (fd, text.ptr, text.len, MSG_NOSIGNAL | MSG_DONTWAIT);
  buf_free (&text);
  buf_free (&r.headers);
  buf_free (&r.body);
}
