#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "net/httpd.h"
#include "t/lib-net.h"

/*
 * The server with our client as its caller.  Requests are held by the
 * handler until the script answers them by their path.
 */
#define MAX_HELD 8
#define LARGE ((size_t)8 * 1024 * 1024)

struct held
{
  struct bench *b;
  struct httpd_req *req; /* NULL: free */
  char path[32];
};

struct caller
{
  struct bench *b;
  struct httpc_call *call; /* NULL: free */
  char path[32];
  size_t got;
  int status;
  bool pause;
};

struct bench
{
  struct run run;
  struct httpd *httpd;
  struct httpc *http;
  struct net_addr at;
  struct held held[MAX_HELD];
  struct caller callers[MAX_HELD];
  struct old_caller
  {
    uv_tcp_t tcp; /* first */
    uv_connect_t connect;
    struct bench *b;
    bool open;
    bool idle; /* asks nothing by itself */
  } old;
};

/* --- the handler ------------------------------------------------------- */

static struct held *
held_by (struct bench *b, struct str path)
{
  for (int i = 0; i < MAX_HELD; i++)
    if (b->held[i].req != NULL && str_is (path, b->held[i].path))
      return &b->held[i];
  cr_assert (false, "nobody asked for %.*s", STR_ARG (path));
  return NULL;
}

static void
on_gone (void *ctx)
{
  struct held *h = ctx;

  run_log (&h->b->run, "%s: caller gone", h->path);
  h->req = NULL;
}

static void
on_drained (void *ctx)
{
  struct held *h = ctx;

  if (httpd_queued (h->req) == 0)
    run_log (&h->b->run, "%s: drained", h->path);
}

static void
on_left (void *ctx, struct httpd_req *req)
{
  struct bench *b = ctx;

  run_log (&b->run, "%.*s: left unread", STR_ARG (httpd_get (req)->path));
}

/* Fields of old_request_of_many(): "f1: 1" and so on. */
static void
log_many_fields (struct bench *b, const struct held *h)
{
  size_t n, in_order = 0;
  const struct http_header *list = httpd_headers (h->req, &n);
  char name[16];

  for (size_t i = 0; i < n; i++)
    {
      snprintf (name, sizeof name, "f%zu", in_order + 1);
      in_order += str_is (list[i].name, name)
                  && str_eq (list[i].value, str_from (name + 1));
    }
  if (in_order > 0)
    run_log (&b->run, "%s: %zu fields in order", h->path, in_order);
}

static void
on_request (void *ctx, struct httpd_req *req)
{
  struct bench *b = ctx;
  const struct httpd_view *v = httpd_get (req);
  int i = 0;

  while (b->held[i].req != NULL)
    cr_assert (++i < MAX_HELD);
  b->held[i].b = b;
  b->held[i].req = req;
  snprintf (b->held[i].path, sizeof b->held[i].path, "%.*s",
            STR_ARG (v->path));
  run_log (&b->run, "%s: asked by %.*s, query [%.*s], body [%.*s]",
           b->held[i].path, STR_ARG (httpd_header (req, "x-caller")),
           STR_ARG (v->query), STR_ARG (v->body));
  if (v->query.ptr != NULL && v->query.len == 0)
    run_log (&b->run, "%s: empty query", b->held[i].path);
  log_many_fields (b, &b->held[i]);
  httpd_on_disconnect (req, on_gone, &b->held[i]);
}

/* --- the callers ------------------------------------------------------- */

static struct caller *
caller_of (struct bench *b, struct str path)
{
  for (int i = 0; i < MAX_HELD; i++)
    if (b->callers[i].call != NULL && str_is (path, b->callers[i].path))
      return &b->callers[i];
  cr_assert (false, "nobody calls %.*s", STR_ARG (path));
  return NULL;
}

static void
on_head (void *ctx, int status, const struct http_header *h, size_t n)
{
  struct caller *c = ctx;

  c->status = status;
  if (c->pause)
    httpc_pause (c->call, true);
}

static void
on_body (void *ctx, struct str bytes)
{
  struct caller *c = ctx;

  c->got += bytes.len;
}

static void
on_end (void *ctx, enum httpc_end end)
{
  struct caller *c = ctx;

  run_log (&c->b->run, "%s: %s %d, %zu bytes", c->path,
           run_call_end_name (end), c->status, c->got);
  c->call = NULL;
}

static struct caller *
call (struct bench *b, struct str path, struct str body, bool fresh)
{
  static const struct httpc_callbacks cb = { NULL, on_head, on_body, on_end };
  struct http_header h = { STR ("x-caller"), STR ("me") };
  struct httpc_request r
      = { .to = b->at,
          .method = body.len > 0 ? STR ("POST") : STR ("GET"),
          .path = path,
          .headers = &h,
          .nheaders = 1,
          .body = body,
          .connect_ms = 5000,
          .progress_ms = 8000,
          .fresh = fresh };
  int i = 0;

  while (b->callers[i].call != NULL)
    cr_assert (++i < MAX_HELD);
  struct caller *c = &b->callers[i];
  memset (c, 0, sizeof *c);
  c->b = b;
  snprintf (c->path, sizeof c->path, "%.*s",
            STR_ARG (str_head (path, str_chr (path, '?'))));
  c->call = httpc_start (b->http, &r, &cb, c);
  return c;
}

/* --- a caller of HTTP/1.0 ------------------------------------------------ */

/* libuv takes a reset that comes with bytes for an end of file. */
static bool
was_reset (uv_stream_t *s, ssize_t n)
{
  int err = 0;
  socklen_t len = sizeof err;
  uv_os_fd_t fd;

  uv_fileno ((uv_handle_t *)s, &fd);
  getsockopt (fd, SOL_SOCKET, SO_ERROR, &err, &len);
  return n == UV_ECONNRESET || err == ECONNRESET;
}

static void
on_old_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct old_caller *o = (struct old_caller *)s;

  if (n > 0 && o->idle)
    run_log (&o->b->run, "old caller: %.*s",
             STR_ARG (str_head (str_make (buf->base, (size_t)n), 12)));
  if (n >= 0)
    return;
  run_log (&o->b->run, "old caller: %s",
           was_reset (s, n) ? "reset" : "closed");
  o->open = false;
  uv_close ((uv_handle_t *)s, NULL);
}

static void
on_old_connected (uv_connect_t *req, int status)
{
  struct old_caller *o = req->data;

  cr_assert_eq (status, 0);
  if (o->idle)
    run_log (&o->b->run, "old caller: connected");
  else
    run_write (&o->tcp, STR ("GET /old HTTP/1.0\r\n\r\n"));
  run_read (&o->tcp, on_old_read);
}

static void
old_call (struct bench *b, bool idle)
{
  b->old.idle = idle;
  b->old.b = b;
  b->old.open = true;
  uv_tcp_init (&b->run.loop, &b->old.tcp);
  run_connect (&b->run, &b->old.tcp, &b->at, &b->old.connect, on_old_connected,
               &b->old);
}

#define MANY_START "POST /many HTTP/1.1\r\nhost: h\r\n"
#define MANY_END "content-length: 4\r\nx-caller: me\r\n\r\n"

/* Fields @p first to @p last. */
static void
write_fields (struct bench *b, const char *before, int first, int last,
              const char *after)
{
  struct buf text = BUF_INIT;

  buf_add_c (&text, before);
  for (int i = first; i <= last; i++)
    buf_addf (&text, "F%d: %d\r\n", i, i);
  buf_add_c (&text, after);
  run_write (&b->old.tcp, buf_str (&text));
  buf_free (&text);
  for (int turn = 0; turn < 5; turn++)
    run_poll (&b->run);
}

/* The head is written in two parts. */
static void
old_request_of_many (struct bench *b, int fields)
{
  write_fields (b, MANY_START, 1, fields / 2, "");
  write_fields (b, "", fields / 2 + 1, fields, MANY_END "body");
}

static void
old_request_by_lines (struct bench *b, int fields)
{
  write_fields (b, MANY_START, 1, 1, "");
  for (int i = 2; i < fields; i++)
    write_fields (b, "", i, i, "");
  write_fields (b, "", fields, fields, MANY_END "body");
}

/* A request, and the beginning of another that is sent ahead. */
static void
old_requests_ahead (struct bench *b, int fields)
{
  write_fields (
      b, "GET /first HTTP/1.1\r\nhost: h\r\nx-caller: me\r\n\r\n" MANY_START,
      1, fields / 2, "");
}

static void
old_request (struct bench *b, struct str path)
{
  struct buf head = BUF_INIT;

  buf_addf (&head, "GET %.*s HTTP/1.1\r\nx-caller: me\r\nhost: h\r\n\r\n",
            STR_ARG (path));
  run_write (&b->old.tcp, buf_str (&head));
  buf_free (&head);
}

/* --- words ------------------------------------------------------------- */

static struct httpd_req *
take_held (struct bench *b, struct str path)
{
  struct held *h = held_by (b, path);
  struct httpd_req *req = h->req;

  h->req = NULL;
  return req;
}

static void
begin (struct bench *b, struct str path, const char *length)
{
  struct http_header h = { STR ("content-length"), str_from (length) };
  struct held *held = held_by (b, path);

  httpd_begin (held->req, 200, &h, length != NULL);
  httpd_on_drained (held->req, on_drained, held);
  httpd_write (held->req, STR ("hello"));
}

static void
write_large (struct bench *b, struct str path)
{
  char *bytes = calloc (1, LARGE);
  struct httpd_req *req = held_by (b, path)->req;

  httpd_write (req, str_make (bytes, LARGE));
  run_log (&b->run, "%s",
           httpd_queued (req) >= LARGE ? "queued" : "not queued");
  free (bytes);
}

static void
leave (struct bench *b, struct str path)
{
  struct caller *c = caller_of (b, path);

  httpc_cancel (c->call);
  c->call = NULL;
}

/* Turn the loop until so many requests are open; bounded by its rounds. */
static void
until_open (struct bench *b, struct str rest)
{
  int64_t n = 0;

  str_to_i64 (rest, &n);
  for (int i = 0; i < 10000 && httpd_open (b->httpd) != (size_t)n; i++)
    {
      uv_run (&b->run.loop, UV_RUN_NOWAIT);
      uv_sleep (1);
    }
  run_log (&b->run, "%zu open", httpd_open (b->httpd));
}

/* Turn the loop for so many ms. */
static void
turn (struct bench *b, struct str rest)
{
  int64_t ms = 0;

  str_to_i64 (rest, &ms);
  for (clk_ms end = clk_now () + ms; clk_now () < end; uv_sleep (1))
    uv_run (&b->run.loop, UV_RUN_NOWAIT);
}

/* A request head of one line that is followed by so many bytes. */
static void
write_bytes (struct bench *b, const char *head, int n)
{
  struct buf text = BUF_INIT;

  buf_add_c (&text, head);
  for (int i = 0; i < n; i++)
    buf_add_char (&text, 'x');
  run_write (&b->old.tcp, buf_str (&text));
  buf_free (&text);
}

static void
server_step (struct bench *b, struct str word, struct str rest)
{
  if (str_is (word, "answer"))
    httpd_answer (take_held (b, rest), 200, NULL, 0, STR ("hello"));
  else if (str_is (word, "begin"))
    begin (b, rest, NULL);
  else if (str_is (word, "begin-10"))
    begin (b, rest, "10");
  else if (str_is (word, "large"))
    write_large (b, rest);
  else if (str_is (word, "end"))
    httpd_end (take_held (b, rest), true);
  else if (str_is (word, "cut"))
    httpd_end (take_held (b, rest), false);
  else if (str_is (word, "stop"))
    httpd_stop_accepting (b->httpd);
  else if (str_is (word, "open"))
    until_open (b, rest);
  else if (str_is (word, "max-head"))
    httpd_set_request_limits (b->httpd, 16, (size_t)atoi (rest.ptr), 0);
  else if (str_is (word, "head-ms"))
    httpd_set_request_limits (b->httpd, 16, 0, atoi (rest.ptr));
  else if (str_is (word, "max-input"))
    {
      httpd_set_request_limits (b->httpd, 1000000, 0, 0);
      httpd_set_max_input (b->httpd, (size_t)atoi (rest.ptr));
    }
  else
    cr_assert (false, "no such word");
}

static void
step (void *ctx, struct str word, struct str rest)
{
  struct bench *b = ctx;

  if (str_is (word, "get"))
    call (b, rest, STR_EMPTY, false);
  else if (str_is (word, "fresh"))
    call (b, rest, STR_EMPTY, true);
  else if (str_is (word, "slow"))
    call (b, rest, STR_EMPTY, true)->pause = true;
  else if (str_is (word, "post"))
    call (b, rest, STR ("a body"), true);
  else if (str_is (word, "post-large"))
    call (b, rest, STR ("a body of more than sixteen bytes"), true);
  else if (str_is (word, "ask-many"))
    old_request_of_many (b, atoi (rest.ptr));
  else if (str_is (word, "ask-lines"))
    old_request_by_lines (b, atoi (rest.ptr));
  else if (str_is (word, "ask-two"))
    old_requests_ahead (b, atoi (rest.ptr));
  else if (str_is (word, "ask-rest"))
    write_fields (b, "", atoi (rest.ptr) / 2 + 1, atoi (rest.ptr),
                  MANY_END "body");
  else if (str_is (word, "old"))
    old_call (b, false);
  else if (str_is (word, "idle"))
    old_call (b, true);
  else if (str_is (word, "ask-then-stop"))
    {
      old_request (b, STR ("/late"));
      httpd_stop_accepting (b->httpd);
    }
  else if (str_is (word, "ask"))
    old_request (b, rest);
  else if (str_is (word, "ask-begin"))
    run_write (&b->old.tcp, STR ("GET /old HTTP/1.1\r\n"));
  else if (str_is (word, "ask-long"))
    write_bytes (b, "GET /old HTTP/1.1\r\nx: ", atoi (rest.ptr));
  else if (str_is (word, "ask-body"))
    write_bytes (b,
                 "POST /old HTTP/1.1\r\nhost: h\r\n"
                 "content-length: 100000\r\n\r\n",
                 atoi (rest.ptr));
  else if (str_is (word, "ask-end"))
    run_write (&b->old.tcp, STR ("x-caller: me\r\nhost: h\r\n\r\n"));
  else if (str_is (word, "hang-up"))
    {
      uv_close ((uv_handle_t *)&b->old.tcp, NULL);
      b->old.open = false;
    }
  else if (str_is (word, "read"))
    httpc_pause (caller_of (b, rest)->call, false);
  else if (str_is (word, "leave"))
    leave (b, rest);
  else if (str_is (word, "settle"))
    run_poll (&b->run);
  else if (str_is (word, "turn"))
    turn (b, rest);
  else
    server_step (b, word, rest);
}

static void
play (const char *script, const char *expected)
{
  struct bench b = { 0 };
  struct httpd_limits limits = {
    .max_body = 16, .max_connections = 2, .request_ms = 5000, .left = on_left
  };
  struct buf err = BUF_INIT;

  run_init (&b.run);
  b.at = run_any_loopback ();
  b.httpd = httpd_listen (&b.run.loop, &b.at, &limits, on_request, &b, &err);
  cr_assert_not_null (b.httpd, "%s", buf_c (&err));
  b.at.port = httpd_port (b.httpd);
  b.http = httpc_new (&b.run.loop);
  run_script (&b.run, script, step, &b);
  httpd_free (b.httpd);
  for (int i = 0; i < MAX_HELD; i++)
    if (b.callers[i].call != NULL)
      httpc_cancel (b.callers[i].call);
  httpc_free (b.http);
  run_end (&b.run, expected);
}

#define ASKED(path) path ": asked by me, query [], body []\n"

TestSuite (server, .timeout = 60);

Test (server, request_and_answer)
{
  play ("post /a?x=1\n wait /a: asked by me, query [x=1], body [a body]\n"
        "answer /a\n wait /a: whole 200, 5 bytes\n open 0",
        "/a: asked by me, query [x=1], body [a body]\n"
        "/a: whole 200, 5 bytes\n0 open\n");
}

/* A body over the limit is refused before the handler sees anything. */
Test (server, body_over_the_limit)
{
  play ("post-large /a\n wait /a: whole 413, 27 bytes",
        "/a: whole 413, 27 bytes\n");
}

/*
 * A stream is given up, or ends with fewer bytes than its head stated.  The
 * caller must see that it is not whole, whichever way it is framed.
 */
Test (server, cut_is_seen_by_the_caller)
{
  play (
      "get /a\n wait /a: asked by me, query [], body []\n begin /a\n"
      "wait /a: drained\n cut /a\n wait /a: broken 200, 5 bytes\n"
      "get /b\n wait /b: asked by me, query [], body []\n begin-10 /b\n"
      "wait /b: drained\n cut /b\n wait /b: broken 200, 5 bytes\n"
      "get /c\n wait /c: asked by me, query [], body []\n begin-10 /c\n"
      "wait /c: drained\n end /c\n wait /c: broken 200, 5 bytes\n"
      "get /d\n wait /d: asked by me, query [], body []\n begin /d\n"
      "end /d\n wait /d: whole 200, 5 bytes",
      ASKED ("/a") "/a: drained\n/a: broken 200, 5 bytes\n" ASKED (
          "/b") "/b: drained\n/b: broken 200, 5 bytes\n" ASKED ("/c") "/c: "
                                                                      "drained"
                                                                      "\n/c: "
                                                                      "broken "
                                                                      "200, 5 "
                                                                      "bytes"
                                                                      "\n" ASKED (
                                                                          "/d") "/d: whole 200, 5 bytes\n");
}

/*
 * A caller of HTTP/1.0 takes an ordinary close for the end of its answer.
 * Cut, with and without bytes waiting, it gets a reset; whole, a close.
 */
Test (server, cut_is_seen_by_an_old_caller)
{
  const char *asked = "/old: asked by , query [], body []\n";
  struct buf log = BUF_INIT;

  buf_addf (&log, "%s/old: drained\nold caller: reset\n", asked);
  buf_addf (&log, "%squeued\nold caller: reset\n", asked);
  buf_addf (&log, "%sold caller: closed\n", asked);
  play ("old\n wait /old: asked by , query [], body []\n begin /old\n"
        "wait /old: drained\n cut /old\n wait old caller: reset\n"
        "old\n wait /old: asked by , query [], body []\n begin /old\n"
        "large /old\n cut /old\n wait old caller: reset\n"
        "old\n wait /old: asked by , query [], body []\n begin /old\n"
        "end /old\n wait old caller: closed",
        buf_c (&log));
  buf_free (&log);
}

/*
 * A caller leaves while its request waits for a first byte, and another in
 * the middle of its stream.  The handler is told at once, so that it stops
 * work that nobody waits for; the connection's place is free again.
 */
Test (server, caller_gone)
{
  play ("fresh /a\n wait /a: asked by me, query [], body []\n leave /a\n"
        "wait /a: caller gone\n"
        "fresh /b\n wait /b: asked by me, query [], body []\n begin /b\n"
        "wait /b: drained\n leave /b\n wait /b: caller gone\n open 0",
        ASKED ("/a") "/a: caller gone\n" ASKED (
            "/b") "/b: drained\n/b: caller gone\n0 open\n");
}

/*
 * A caller stops reading.  What is queued for it is known to the handler,
 * which is told once it was taken; meanwhile others are served.
 */
Test (server, slow_reader)
{
  play ("slow /a\n wait /a: asked by me, query [], body []\n begin /a\n"
        "large /a\n settle\n"
        "fresh /b\n wait /b: asked by me, query [], body []\n answer /b\n"
        "wait /b: whole 200, 5 bytes\n"
        "read /a\n wait /a: drained\n end /a\n"
        "wait /a: whole 200, 8388613 bytes",
        ASKED ("/a") "queued\n" ASKED (
            "/b") "/b: whole 200, 5 bytes\n/a: drained\n"
                  "/a: whole 200, 8388613 bytes\n");
}

/*
 * Two connections are the bound.  A third caller waits in the kernel and
 * costs nothing until one of the two has gone.
 */
Test (server, connections_are_bounded)
{
  play ("fresh /a\n wait /a: asked by me, query [], body []\n"
        "fresh /b\n wait /b: asked by me, query [], body []\n"
        "fresh /c\n settle\n open 2\n answer /a\n"
        "wait /a: whole 200, 5 bytes\n"
        "wait /c: asked by me, query [], body []\n answer /c\n"
        "wait /c: whole 200, 5 bytes",
        ASKED ("/a") ASKED ("/b") "2 open\n/a: whole 200, 5 bytes\n" ASKED (
            "/c") "/c: whole 200, 5 bytes\n");
}

/*
 * A planned stop: new callers are refused, the open request gets its whole
 * answer, and the idle connection of an earlier one is closed.
 */
Test (server, stop_accepting_cuts_nothing)
{
  play ("get /a\n wait /a: asked by me, query [], body []\n answer /a\n"
        "wait /a: whole 200, 5 bytes\n"
        "fresh /b\n wait /b: asked by me, query [], body []\n stop\n settle\n"
        "get /c\n wait /c: connect-failed 0, 0 bytes\n"
        "answer /b\n wait /b: whole 200, 5 bytes\n open 0",
        ASKED ("/a") "/a: whole 200, 5 bytes\n" ASKED (
            "/b") "/c: connect-failed 0, 0 bytes\n"
                  "/b: whole 200, 5 bytes\n0 open\n");
}

/*
 * A caller writes a request on its idle connection just before the server
 * stops; the bytes lie in the kernel, unread.  The caller has handed them
 * over, so they are read and answered, and only then is the connection
 * closed.
 */
Test (server, request_in_the_kernel_is_answered)
{
  play ("idle\n wait old caller: connected\n settle\n ask-then-stop\n"
        "wait /late: asked by me, query [], body []\n answer /late\n"
        "wait old caller: closed",
        "old caller: connected\n" ASKED (
            "/late") "old caller: HTTP/1.1 200\nold caller: closed\n");
}

/* Guards against a stop of the server that cuts a request which it reads
   afterwards, once the caller's connection is monitored. */
Test (server, request_in_the_kernel_is_not_cut)
{
  play ("idle\n wait old caller: connected\n settle\n ask-then-stop\n"
        "wait /late: asked by me, query [], body []\n turn 300\n"
        "answer /late\n wait old caller: closed",
        "old caller: connected\n" ASKED (
            "/late") "old caller: HTTP/1.1 200\nold caller: closed\n");
}

/* Rest of a log line, after the request's path. */
#define READ ": asked by me, query [], body []\n"
#define SERVED ": whole 200, 5 bytes\n"

/* Guards against handling a request whose caller closed its connection while
   it waited to be accepted. */
Test (server, caller_left_before_it_was_accepted)
{
  play ("fresh /a\n wait /a: asked by me, query [], body []\n"
        "fresh /b\n wait /b: asked by me, query [], body []\n"
        "idle\n wait old caller: connected\n ask /c\n settle\n hang-up\n"
        "answer /a\n wait /a: whole 200, 5 bytes\n wait /c: left unread\n"
        "open 1",
        "/a" READ "/b" READ "old caller: connected\n/a" SERVED
        "/c: left unread\n1 open\n");
}

/* Guards against callers with a request that wait to be accepted while idle
   connections are kept: the one that is idle for longest is closed. */
Test (server, longest_idle_connection_makes_room)
{
  play ("idle\n wait old caller: connected\n"
        "get /a\n wait /a: asked by me, query [], body []\n answer /a\n"
        "wait /a: whole 200, 5 bytes\n fresh /b\n turn 500\n answer /b\n"
        "wait /b: whole 200, 5 bytes\n"
        "get /c\n turn 500\n answer /c\n wait /c: whole 200, 5 bytes",
        "old caller: connected\n/a" READ "/a" SERVED "old caller: closed\n"
        "/b" READ "/b" SERVED "/c" READ "/c" SERVED);
}

/* Guards against closing a connection on which a request is being received. */
Test (server, connection_that_receives_a_request_is_kept)
{
  play ("idle\n wait old caller: connected\n ask-begin\n turn 50\n"
        "get /a\n wait /a: asked by me, query [], body []\n answer /a\n"
        "wait /a: whole 200, 5 bytes\n fresh /b\n turn 500\n answer /b\n"
        "wait /b: whole 200, 5 bytes\n ask-end\n"
        "wait /old: asked by me, query [], body []\n answer /old\n"
        "wait old caller: HTTP/1.1 200",
        "old caller: connected\n/a" READ "/a" SERVED "/b" READ "/b" SERVED
        "/old" READ "old caller: HTTP/1.1 200\n");
}

/* Guards against a caller that waits while a connection becomes idle. */
Test (server, connection_that_becomes_idle_makes_room)
{
  play ("get /a\n wait /a: asked by me, query [], body []\n"
        "get /b\n wait /b: asked by me, query [], body []\n"
        "fresh /c\n settle\n open 2\n answer /a\n"
        "wait /a: whole 200, 5 bytes\n turn 500\n answer /c\n"
        "wait /c: whole 200, 5 bytes",
        "/a" READ "/b" READ "2 open\n/a" SERVED "/c" READ "/c" SERVED);
}

/* Guards against a request that goes on without the "?" of its target. */
Test (server, empty_query_is_kept)
{
  play ("get /a?\n wait /a: empty query\n answer /a\n"
        "wait /a: whole 200, 5 bytes\n"
        "get /b\n wait /b: asked by me, query [], body []\n answer /b\n"
        "wait /b: whole 200, 5 bytes",
        "/a" READ "/a: empty query\n/a" SERVED "/b" READ "/b" SERVED);
}

/* Guards against refusing, or passing on in part, a request with more fields
   than h2o takes. */
Test (server, many_fields_are_passed_on)
{
  play ("idle\n wait old caller: connected\n ask-many 300\n"
        "wait /many: 300 fields in order\n answer /many\n"
        "wait old caller: HTTP/1.1 200\n ask /few\n"
        "wait /few: asked by me, query [], body []\n answer /few\n"
        "wait old caller: HTTP/1.1 200",
        "old caller: connected\n"
        "/many: asked by me, query [], body [body]\n"
        "/many: 300 fields in order\nold caller: HTTP/1.1 200\n"
        "/few" READ "old caller: HTTP/1.1 200\n");
}

/* Guards against moving the fields of a head of which h2o has seen a part:
   here of one that was sent ahead, up to the 90th field. */
Test (server, many_fields_sent_ahead)
{
  play ("idle\n wait old caller: connected\n ask-two 95\n"
        "wait /first: asked by me, query [], body []\n turn 50\n"
        "answer /first\n wait old caller: HTTP/1.1 200\n turn 50\n"
        "ask-rest 95\n wait /many: 95 fields in order\n answer /many\n"
        "wait old caller: HTTP/1.1 200",
        "old caller: connected\n/first" READ "old caller: HTTP/1.1 200\n"
        "/many: asked by me, query [], body [body]\n"
        "/many: 95 fields in order\nold caller: HTTP/1.1 200\n");
}

/* Guards against a head that arrives a line at a time and is refused, or read
   past its end, as its fields become too many for h2o. */
Test (server, many_fields_in_many_parts)
{
  play ("idle\n wait old caller: connected\n ask-lines 300\n"
        "wait /many: 300 fields in order\n answer /many\n"
        "wait old caller: HTTP/1.1 200",
        "old caller: connected\n"
        "/many: asked by me, query [], body [body]\n"
        "/many: 300 fields in order\nold caller: HTTP/1.1 200\n");
}

/* Guards against a request head that grows without limit. */
Test (server, head_over_the_limit)
{
  play ("max-head 1000\n idle\n wait old caller: connected\n"
        "ask-long 2000\n wait old caller: HTTP/1.1 431\n"
        "wait old caller: closed",
        "old caller: connected\nold caller: HTTP/1.1 431\n"
        "old caller: closed\n");
}

/* Guards against a request head that is never completed. */
Test (server, head_that_takes_too_long)
{
  play ("head-ms 200\n idle\n wait old caller: connected\n ask-begin\n"
        "wait old caller: HTTP/1.1 408\n wait old caller: closed",
        "old caller: connected\nold caller: HTTP/1.1 408\n"
        "old caller: closed\n");
}

/* Guards against bodies that take more memory than the server may use; a body
   within it is accepted afterwards. */
Test (server, bodies_over_the_limit_on_memory)
{
  play ("max-input 50000\n idle\n wait old caller: connected\n"
        "ask-body 90000\n wait old caller: HTTP/1.1 503\n"
        "wait old caller: closed\n"
        "idle\n wait old caller: connected\n ask-body 50000\n turn 100\n"
        "hang-up\n post /a\n"
        "wait /a: asked by me, query [], body [a body]\n answer /a\n"
        "wait /a: whole 200, 5 bytes",
        "old caller: connected\nold caller: HTTP/1.1 503\n"
        "old caller: closed\nold caller: connected\n"
        "/a: asked by me, query [], body [a body]\n"
        "/a: whole 200, 5 bytes\n");
}

/* Guards against a caller that waits behind a request that arrives slowly. */
Test (server, slow_request_makes_room)
{
  play ("idle\n wait old caller: connected\n ask-begin\n"
        "get /a\n wait /a: asked by me, query [], body []\n"
        "fresh /b\n turn 1000\n answer /b\n wait /b: whole 200, 5 bytes",
        "old caller: connected\n/a" READ "old caller: HTTP/1.1 408\n"
        "old caller: closed\n/b" READ "/b" SERVED);
}

/* Guards against a caller that waits behind responses that nobody reads. */
Test (server, unread_response_makes_room)
{
  play ("slow /a\n wait /a: asked by me, query [], body []\n begin /a\n"
        "turn 50\n large /a\n"
        "fresh /b\n wait /b: asked by me, query [], body []\n"
        "fresh /c\n wait /c: asked by me, query [], body []\n"
        "answer /c\n wait /c: whole 200, 5 bytes",
        "/a" READ "/a: drained\nqueued\n/b" READ "/a: caller gone\n"
        "/c" READ "/c" SERVED);
}
