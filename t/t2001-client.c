#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "t/lib-net.h"

/*
 * The client against a server of raw bytes: what it says is given by the
 * path of the request, so that an answer can end in every wrong way.
 */
struct reply
{
  const char *path;
  const char *bytes;
  bool close; /* after the bytes, else the connection is held open */
};

#define HEAD "HTTP/1.1 200 OK\r\n"
#define LENGTH(n) HEAD "content-length: " #n "\r\n\r\n"
#define CHUNKED HEAD "transfer-encoding: chunked\r\n\r\n"

static const struct reply replies[] = {
  { "/length", LENGTH (5) "hello", false },
  { "/empty", LENGTH (0), false },
  { "/chunks", CHUNKED "5\r\nhello\r\n0\r\n\r\n", false },
  { "/no-content", "HTTP/1.1 204 No Content\r\n\r\n", false },
  { "/interim", "HTTP/1.1 100 Continue\r\n\r\n" LENGTH (5) "hello", false },
  { "/short", LENGTH (10) "hello", true },
  { "/between-chunks", CHUNKED "5\r\nhello\r\n", true },
  { "/before-chunks", CHUNKED, true },
  { "/in-chunk", CHUNKED "5\r\nhel", true },
  { "/in-last-chunk", CHUNKED "5\r\nhello\r\n0", true },
  { "/bad-chunk", CHUNKED "5\r\nhello\r\nxyz\r\n", true },
  { "/no-length", HEAD "\r\nhello", true },
  { "/no-length-yet", HEAD "\r\nhello", false },
  { "/two-lengths",
    HEAD "content-length: 5\r\ncontent-length: 6\r\n\r\nhello!", true },
  { "/length-and-chunks",
    HEAD "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n"
         "5\r\nhello\r\n0\r\n\r\n",
    true },
  { "/garbage", "no http\r\n\r\n", true },
  { "/bad-length", HEAD "content-length: 5x\r\n\r\nhello", true },
  { "/minus-length", HEAD "content-length: -5\r\n\r\nhello", true },
  { "/bad-encoding", HEAD "transfer-encoding: no\r\n\r\nhello", true },
  { "/after-interim", "HTTP/1.1 100 Continue\r\n\r\nno http\r\n\r\n", true },
  { "/alive-then-bad",
    HEAD "connection: keep-alive\r\ncontent-length: x\r\n\r\nhello", true },
  { "/half-head", "HTTP/1.1 200 OK\r\ncontent-le", true },
  { "/no-head", "", true },
  { "/silent", "", false },
  { "/stall", LENGTH (10) "hello", false },
  { "/and-more", LENGTH (5) "hello" LENGTH (6) "second", false },
  { "/length-space", HEAD "content-length: 5 \r\n\r\nhello", false },
  { "/length-tab", HEAD "content-length:5\t \t\r\n\r\nhello", false },
  { "/chunked-space",
    HEAD "transfer-encoding: chunked \r\n\r\n5\r\nhello\r\n0\r\n\r\n", false },
  { "/chunked-capitals",
    HEAD "Transfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false },
  { "/identity-space", HEAD "transfer-encoding: identity\t\r\n\r\nhello",
    true },
  { "/interim-space",
    "HTTP/1.1 100 Continue \r\ncontent-length: 0 \r\n\r\n" HEAD
    "content-length: 5 \r\n\r\nhello",
    false },
  { "/value-space", HEAD "x-value: a b \t\r\ncontent-length: 5\r\n\r\nhello",
    false },
  { "/empty-length", HEAD "content-length: \r\n\r\nhello", true },
  { "/minus-zero", HEAD "content-length: -0\r\n\r\nhello", true },
  { "/zeros", HEAD "content-length: 0000000000000000000005\r\n\r\nhello",
    true },
  { "/length-of-20-digits",
    HEAD "content-length: 18446744073709551615\r\n\r\nhello", true },
  { "/length-of-19-digits",
    HEAD "content-length: 9223372036854775807\r\n\r\nhello", true },
  { "/status-000", "HTTP/1.1 000 x\r\ncontent-length: 5\r\n\r\nhello", true },
  { "/status-099", "HTTP/1.1 099 x\r\ncontent-length: 5\r\n\r\nhello", true },
  { "/status-101", "HTTP/1.1 101 x\r\ncontent-length: 5\r\n\r\nhello", true },
  { "/status-600", "HTTP/1.1 600 x\r\ncontent-length: 5\r\n\r\nhello", true },
  { "/status-599", "HTTP/1.1 599 x\r\ncontent-length: 5\r\n\r\nhello", true },
  { "/folded", HEAD "content-length:\r\n 5\r\n\r\nhello", true },
};

/* Replies whose text is repeated until the client closes the connection. */
static const struct endless_reply
{
  const char *path;
  const char *begin;
  const char *text;
} endless_replies[] = {
  { "/endless-head", "", "no http " },
  { "/endless-headers", HEAD, "name: value\r\n" },
  { "/endless-value", HEAD "name: ", "no head " },
  { "/endless-interim", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "/endless-body", HEAD "\r\n", "no body " },
  { "/endless-length", LENGTH (99999999999), "no body " },
  { "/endless-chunks", CHUNKED, "7\r\nno body\r\n" },
  { "/endless-extension", CHUNKED "5;x=", "no body " },
  { "/endless-trailer", CHUNKED "0\r\n", "name: value\r\n" },
};

struct conn
{
  uv_tcp_t tcp; /* first */
  struct bench *b;
  struct buf in;
  int number;
  uv_write_t write;
  struct buf endless;
};

struct bench
{
  struct run run;
  struct httpc *http;
  struct httpc_call *last, *held;
  uv_tcp_t server;
  struct net_addr at;
  struct run_full_backlog busy;
  struct conn *conns[32];
  int nconns;
  struct call *last_call;
  unsigned sleep_ms;
  clk_ms total_ms;
  bool stop;       /* on_connected says no */
  bool pause_body; /* pause at the first bytes */
};

struct call
{
  struct bench *b;
  char *name;
  struct buf body;
  int status;
};

/* --- the raw server ---------------------------------------------------- */

static void
on_conn_closed (uv_handle_t *h)
{
  struct conn *c = (struct conn *)h;

  buf_free (&c->in);
  buf_free (&c->endless);
  free (c);
}

static void
conn_close (struct conn *c)
{
  if (c == NULL)
    return;
  c->b->conns[c->number] = NULL;
  uv_close ((uv_handle_t *)&c->tcp, on_conn_closed);
}

static void
conn_reset (struct conn *c)
{
  c->b->conns[c->number] = NULL;
  uv_tcp_close_reset (&c->tcp, on_conn_closed);
}

static void
write_endless (uv_write_t *w, int status)
{
  struct conn *c = w->data;
  uv_buf_t b = uv_buf_init (c->endless.ptr, (unsigned)c->endless.len);

  if (status == 0 && c->b->conns[c->number] == c)
    uv_write (w, (uv_stream_t *)&c->tcp, &b, 1, write_endless);
}

static void
start_endless (struct conn *c, const char *text)
{
  while (c->endless.len < 65536)
    buf_add_c (&c->endless, text);
  c->write.data = c;
  write_endless (&c->write, 0);
}

static void
play_reply (struct conn *c, struct str path)
{
  for (size_t i = 0; i < sizeof replies / sizeof replies[0]; i++)
    {
      if (!str_is (path, replies[i].path))
        continue;
      run_write (&c->tcp, str_from (replies[i].bytes));
      if (replies[i].close)
        conn_close (c);
    }
  for (size_t i = 0; i < sizeof endless_replies / sizeof endless_replies[0];
       i++)
    if (str_is (path, endless_replies[i].path))
      {
        run_write (&c->tcp, str_from (endless_replies[i].begin));
        start_endless (c, endless_replies[i].text);
      }
}

static void
on_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct conn *c = (struct conn *)s;
  struct str in;

  if (n < 0)
    {
      conn_close (c);
      return;
    }
  buf_add (&c->in, str_make (buf->base, (size_t)n));
  if (strstr (buf_c (&c->in), "\r\n\r\n") == NULL)
    return;
  in = buf_str (&c->in);
  in = str_skip (in, str_chr (in, ' ') + 1);
  in = str_head (in, str_chr (in, ' '));
  char *path = str_dup (in);
  run_log (&c->b->run, "%s over connection %d", path, c->number);
  buf_clear (&c->in);
  play_reply (c, str_from (path));
  uv_sleep (c->b->sleep_ms); /* the whole process: the caller's end too */
  free (path);
}

static void
on_accept (uv_stream_t *s, int status)
{
  struct bench *b = s->data;
  struct conn *c = calloc (1, sizeof *c);

  cr_assert_eq (status, 0);
  c->b = b;
  c->number = b->nconns;
  b->conns[b->nconns++] = c;
  uv_tcp_init (&b->run.loop, &c->tcp);
  uv_accept (s, (uv_stream_t *)&c->tcp);
  run_read (&c->tcp, on_read);
}

/* --- the calls --------------------------------------------------------- */

static bool
on_connected (void *ctx)
{
  struct call *c = ctx;

  return !c->b->stop;
}

static void
on_head (void *ctx, int status, const struct http_header *h, size_t n)
{
  struct call *c = ctx;

  c->status = status;
}

static void
on_body (void *ctx, struct str bytes)
{
  struct call *c = ctx;

  buf_add (&c->body, bytes);
  cr_assert_leq (c->body.len, HTTPC_MAX_BODY);
  if (!c->b->pause_body)
    return;
  c->b->held = c->b->last;
  httpc_pause (c->b->held, true);
  run_log (&c->b->run, "paused");
}

static void
call_free (struct call *c)
{
  buf_free (&c->body);
  free (c->name);
  free (c);
}

static void
on_end (void *ctx, enum httpc_end end)
{
  struct call *c = ctx;

  run_log (&c->b->run, "%s: %s %d [%s]", c->name, run_call_end_name (end),
           c->status, c->body.len > 64 ? "(long)" : buf_c (&c->body));
  c->b->last = NULL;
  call_free (c);
}

static void
call (struct bench *b, const char *method, struct str path, bool fresh)
{
  static const struct httpc_callbacks cb
      = { on_connected, on_head, on_body, on_end };
  struct call *c = calloc (1, sizeof *c);
  struct httpc_request r = { .to = b->at,
                             .method = str_from (method),
                             .path = path,
                             .connect_ms = 5000,
                             .progress_ms = 300,
                             .total_ms = b->total_ms,
                             .fresh = fresh };

  c->b = b;
  c->name = str_dup (str_head (path, str_chr (path, ' ')));
  b->last_call = c;
  b->last = httpc_start (b->http, &r, &cb, c);
}

static void
cancel (struct bench *b)
{
  httpc_cancel (b->last);
  call_free (b->last_call);
  b->last = NULL;
}

/* "say N TEXT": an answer on connection N, whoever still waits there. */
static void
say_late (struct bench *b, struct str rest)
{
  int64_t n = 0;

  str_to_i64 (str_head (rest, 1), &n);
  if (b->conns[n] != NULL)
    run_write (&b->conns[n]->tcp, STR (LENGTH (4) "late"));
  run_log (&b->run, "connection %d %s", (int)n,
           b->conns[n] != NULL ? "open" : "closed");
}

/* Turn the loop until the client has closed the connection. */
static void
until_closed (struct bench *b, int64_t n)
{
  for (int i = 0; i < 2000 && b->conns[n] != NULL; i++)
    {
      uv_run (&b->run.loop, UV_RUN_NOWAIT);
      uv_sleep (1);
    }
  run_log (&b->run, "connection %d %s", (int)n,
           b->conns[n] != NULL ? "open" : "closed");
}

/* Write on connection N every 50 ms until the call has ended. */
static void
drip (struct bench *b, int64_t n)
{
  char text[100];

  memset (text, 'x', sizeof text);
  for (int i = 0; i < 2000 && b->last != NULL; i++)
    {
      if (i % 50 == 0)
        run_write (&b->conns[n]->tcp, str_make (text, sizeof text));
      uv_run (&b->run.loop, UV_RUN_NOWAIT);
      uv_sleep (1);
    }
  run_log (&b->run, "call %s", b->last == NULL ? "ended" : "open");
}

static void
step (void *ctx, struct str word, struct str rest)
{
  struct bench *b = ctx;
  int64_t n = 0;

  str_to_i64 (rest, &n);
  if (str_is (word, "get"))
    call (b, "GET", rest, false);
  else if (str_is (word, "fresh"))
    call (b, "GET", rest, true);
  else if (str_is (word, "head"))
    call (b, "HEAD", rest, false);
  else if (str_is (word, "inject"))
    call (b, "GET", STR ("/a HTTP/1.1\r\nx: y"), false);
  else if (str_is (word, "stop"))
    b->stop = true;
  else if (str_is (word, "pause"))
    b->pause_body = true;
  else if (str_is (word, "resume"))
    httpc_pause (b->held, b->pause_body = false);
  else if (str_is (word, "cancel"))
    cancel (b);
  else if (str_is (word, "say"))
    say_late (b, rest);
  else if (str_is (word, "total"))
    b->total_ms = n;
  else if (str_is (word, "closed"))
    until_closed (b, n);
  else if (str_is (word, "drip"))
    drip (b, n);
  else if (str_is (word, "more"))
    run_write (&b->conns[n]->tcp, STR ("wor"));
  else if (str_is (word, "close"))
    conn_close (b->conns[n]);
  else if (str_is (word, "reset"))
    conn_reset (b->conns[n]);
  else if (str_is (word, "sleep-after-reply"))
    b->sleep_ms = (unsigned)n;
  else if (str_is (word, "settle"))
    run_poll (&b->run);
  else if (str_is (word, "busy"))
    b->at = run_full_backlog_start (&b->run, &b->busy, (uint64_t)n, on_accept,
                                    b);
  else if (str_is (word, "port"))
    b->at.port = (uint16_t)n;
  else
    cr_assert (false, "no such word");
}

static void
play (const char *script, const char *expected)
{
  struct bench b = { 0 };

  run_init (&b.run);
  b.http = httpc_new (&b.run.loop);
  b.at = run_listen (&b.run, &b.server, on_accept, &b);
  run_script (&b.run, script, step, &b);
  httpc_free (b.http);
  run_full_backlog_stop (&b.busy);
  for (int i = 0; i < b.nconns; i++)
    conn_close (b.conns[i]);
  uv_close ((uv_handle_t *)&b.server, NULL);
  run_end (&b.run, expected);
}

static void
play_replies (const char *const *expected, size_t n)
{
  struct buf script = BUF_INIT, log = BUF_INIT;

  for (size_t i = 0; i < n; i++)
    {
      int path = (int)(strchr (expected[i], ':') - expected[i]);
      buf_addf (&script, "fresh %.*s\nwait %s\n", path, expected[i],
                expected[i]);
      buf_addf (&log, "%.*s over connection %zu\n%s\n", path, expected[i], i,
                expected[i]);
    }
  play (buf_c (&script), buf_c (&log));
  buf_free (&script);
  buf_free (&log);
}

/* --- tests ------------------------------------------------------------- */

/*
 * One answer for each way in which it may end.  Only what its length or last
 * chunk shows to be complete is whole; a caller that got anything else as
 * whole would act on half an answer.
 */
Test (client, ends_of_answers)
{
  static const char *const expected[]
      = { "/length: whole 200 [hello]",
          "/empty: whole 200 []",
          "/chunks: whole 200 [hello]",
          "/no-content: whole 204 []",
          "/interim: whole 200 [hello]",
          "/short: broken 200 [hello]",
          "/between-chunks: broken 200 [hello]",
          "/before-chunks: broken 200 []",
          "/in-chunk: broken 200 [hel]",
          "/in-last-chunk: broken 200 [hello]",
          "/bad-chunk: broken 200 []",
          "/no-length: unbounded 200 [hello]",
          "/no-length-yet: silent 200 [hello]",
          "/two-lengths: broken 0 []",
          "/length-and-chunks: broken 0 []",
          "/garbage: broken 0 []",
          "/bad-length: broken 0 []",
          "/minus-length: broken 0 []",
          "/bad-encoding: broken 0 []",
          "/after-interim: broken 0 []",
          "/alive-then-bad: broken 0 []",
          "/half-head: broken 0 []",
          "/no-head: broken 0 []",
          "/silent: silent 0 []",
          "/stall: silent 200 [hello]",
          "/and-more: whole 200 [hello]" };

  play_replies (expected, sizeof expected / sizeof expected[0]);
}

/* Guards against a response head that h2o's client aborts the process on.
   White space after a value is valid and no part of it. */
Test (client, framing_values)
{
  static const char *const expected[]
      = { "/length-space: whole 200 [hello]",
          "/length-tab: whole 200 [hello]",
          "/chunked-space: whole 200 [hello]",
          "/chunked-capitals: broken 0 []",
          "/identity-space: unbounded 200 [hello]",
          "/interim-space: whole 200 [hello]",
          "/value-space: whole 200 [hello]",
          "/empty-length: broken 0 []",
          "/minus-zero: broken 0 []",
          "/zeros: broken 0 []",
          "/length-of-20-digits: broken 0 []",
          "/length-of-19-digits: broken 200 [hello]",
          "/folded: broken 0 []" };

  play_replies (expected, sizeof expected / sizeof expected[0]);
}

/* Guards against a status outside of 200 to 599 that is taken for that of a
   response. */
Test (client, statuses)
{
  static const char *const expected[]
      = { "/status-000: broken 0 []", "/status-099: broken 0 []",
          "/status-101: broken 0 []", "/status-600: broken 0 []",
          "/status-599: whole 599 [hello]" };

  play_replies (expected, sizeof expected / sizeof expected[0]);
}

/* Guards against bytes without end that are no response: the call ends at a
   limit, or after its time, and its connection is closed. */
Test (client, endless_responses)
{
  static const char *const expected[]
      = { "/endless-head: broken 0 []",
          "/endless-headers: broken 0 []",
          "/endless-value: broken 0 []",
          "/endless-interim: silent 0 []",
          "/endless-body: too-large 200 [(long)]",
          "/endless-length: too-large 200 [(long)]",
          "/endless-chunks: too-large 200 [(long)]",
          "/endless-extension: silent 200 []",
          "/endless-trailer: silent 200 []" };
  struct buf script = BUF_INIT, log = BUF_INIT;

  for (size_t i = 0; i < sizeof expected / sizeof expected[0]; i++)
    {
      int path = (int)(strchr (expected[i], ':') - expected[i]);
      buf_addf (&script, "get %.*s\nwait %s\nclosed %zu\n", path, expected[i],
                expected[i], i);
      buf_addf (&log, "%.*s over connection %zu\n%s\nconnection %zu closed\n",
                path, expected[i], i, expected[i], i);
    }
  play (buf_c (&script), buf_c (&log));
  buf_free (&script);
  buf_free (&log);
}

/* Guards against a response of a few bytes at a time that never ends. */
Test (client, slow_endless_response)
{
  play ("total 400\n get /no-length-yet\n wait /no-length-yet over "
        "connection 0\n drip 0\n wait /no-length-yet: silent 200 [(long)]",
        "/no-length-yet over connection 0\n"
        "/no-length-yet: silent 200 [(long)]\ncall ended\n");
}

/*
 * Nobody listens, the caller changes its mind once connected, or a path
 * would smuggle a second line into the head: no byte is sent, and the ends
 * say so.
 */
Test (client, nothing_was_sent)
{
  play ("stop\n get /length\n wait /length: stopped 0 []\n inject\n"
        "wait /a: connect-failed 0 []\n port 1\n get /length\n"
        "wait /length: connect-failed 0 []\n",
        "/length: stopped 0 []\n/a: connect-failed 0 []\n"
        "/length: connect-failed 0 []\n");
}

/*
 * An answer without a length ends with its connection.  A server that closes
 * has said all; one that crashes resets, and what came until then is no whole
 * answer, though it looks like one.
 */
Test (client, reset_is_no_end)
{
  play ("get /no-length-yet\n wait /no-length-yet over connection 0\n"
        "settle\n close 0\n wait /no-length-yet: unbounded 200 [hello]\n"
        "get /no-length-yet\n wait /no-length-yet over connection 1\n"
        "settle\n reset 1\n wait /no-length-yet: broken 200 [hello]\n",
        "/no-length-yet over connection 0\n"
        "/no-length-yet: unbounded 200 [hello]\n"
        "/no-length-yet over connection 1\n"
        "/no-length-yet: broken 200 [hello]\n");
}

/*
 * A call is given up and its answer comes late.  Were the connection used
 * again, the next caller would get the answer of another.
 */
Test (client, late_answer_reaches_nobody)
{
  play ("get /length\n wait /length: whole 200 [hello]\n"
        "get /silent\n wait /silent over connection 0\n cancel\n settle\n"
        "say 0 late\n get /length\n wait /length: whole 200 [hello]",
        "/length over connection 0\n/length: whole 200 [hello]\n"
        "/silent over connection 0\nconnection 0 closed\n"
        "/length over connection 1\n/length: whole 200 [hello]\n");
}

/*
 * A server sends an answer nobody asked for behind its real one.  The
 * connection is not used again.
 */
Test (client, answer_behind_an_answer_closes_the_connection)
{
  play ("get /and-more\n wait /and-more: whole 200 [hello]\n get /length\n"
        "wait /length: whole 200 [hello]",
        "/and-more over connection 0\n/and-more: whole 200 [hello]\n"
        "/length over connection 1\n/length: whole 200 [hello]\n");
}

/*
 * An idle connection was closed by the server: the next call sees it and
 * opens another.  A fresh call uses none of the idle ones, nor leaves one.
 */
Test (client, idle_connections)
{
  play ("get /length\n wait /length: whole 200 [hello]\n get /chunks\n"
        "wait /chunks: whole 200 [hello]\n close 0\n settle\n"
        "get /length\n wait /length: whole 200 [hello]\n fresh /length\n"
        "wait /length: whole 200 [hello]\n get /empty\n"
        "wait /empty: whole 200 []\n",
        "/length over connection 0\n/length: whole 200 [hello]\n"
        "/chunks over connection 0\n/chunks: whole 200 [hello]\n"
        "/length over connection 1\n/length: whole 200 [hello]\n"
        "/length over connection 2\n/length: whole 200 [hello]\n"
        "/empty over connection 1\n/empty: whole 200 []\n");
}

/*
 * A connection goes silent while another to the same address lies idle.
 * The idle one is likely as dead, so the next call opens a connection
 * instead of losing its whole wait to it.
 */
Test (client, silence_makes_idle_connections_suspect)
{
  play ("get /silent\n wait /silent over connection 0\n get /length\n"
        "wait /length: whole 200 [hello]\n wait /silent: silent 0 []\n"
        "get /length\n wait /length: whole 200 [hello]\n get /empty\n"
        "wait /empty: whole 200 []",
        "/silent over connection 0\n/length over connection 1\n"
        "/length: whole 200 [hello]\n/silent: silent 0 []\n"
        "/length over connection 2\n/length: whole 200 [hello]\n"
        "/empty over connection 2\n/empty: whole 200 []\n");
}

/*
 * This process stops for longer than the longest silence, while the answer
 * lies unread in the kernel.  On waking it is read before the peer is called
 * silent; else a pause of ours would look like the failure of every peer.
 */
Test (client, answer_from_before_a_pause_is_read)
{
  play ("sleep-after-reply 600\n get /length\n"
        "wait /length: whole 200 [hello]",
        "/length over connection 0\n/length: whole 200 [hello]\n");
}

/*
 * A caller that does not take its answer pauses the call.  Nothing is read
 * for it, and its backend server is not called silent for that: the second
 * call's whole wait passes meanwhile.
 */
Test (client, pause_and_resume)
{
  play ("pause\n get /stall\n wait paused\n more 0\n get /silent\n"
        "wait /silent: silent 0 []\n close 0\n settle\n resume\n"
        "wait /stall: broken 200 [hellowor]",
        "/stall over connection 0\npaused\n/silent over connection 1\n"
        "/silent: silent 0 []\n/stall: broken 200 [hellowor]\n");
}

/*
 * A burst fills the queue of a backend server, which drops the first packet
 * of one more connection.  The call waits within its time to connect and
 * begins anew, instead of telling its caller that the server is gone.
 */
Test (client, dropped_first_packet_is_sent_again)
{
  play ("busy 500\n get /length\n wait /length: whole 200 [hello]",
        "/length over connection 1\n/length: whole 200 [hello]\n");
}
