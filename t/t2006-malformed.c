#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "net/link-auth.h"
#include "store/etcd-json.h"
#include "t/lib-net.h"

/* --- answers of the store ---------------------------------------------- */

static const char *const answers[] = {
  "{\"header\":{\"revision\":\"7\"},\"kvs\":[{\"key\":\"YQ==\","
  "\"create_revision\":\"2\",\"mod_revision\":\"5\",\"value\":\"eA==\","
  "\"lease\":\"9\"}],\"count\":\"1\"}",
  "{\"header\":{\"revision\":\"8\"},\"succeeded\":true,\"responses\":[{}]}",
  "{\"header\":{\"revision\":\"8\"},\"ID\":\"7\",\"TTL\":\"5\"}",
  "{\"result\":{\"header\":{\"revision\":\"9\"},\"events\":[{\"type\":"
  "\"DELETE\",\"kv\":{\"key\":\"YQ==\",\"mod_revision\":\"9\"}}]}}",
  "{\"error\":\"etcdserver: requested lease not found\",\"code\":5}",
  "{\"error\":{\"grpc_code\":11,\"message\":\"compacted\"}}",
};

#define NANSWERS (sizeof answers / sizeof answers[0])

static bool
takes (struct str text)
{
  struct etcd_answer a;
  bool ok = etcd_parse (text, &a);

  for (size_t i = 0; ok && i < a.nkvs; i++)
    cr_assert (a.kvs[i].key.len > 0);
  etcd_answer_free (&a);
  return ok;
}

/*
 * An answer breaks off at any byte.  None of its beginnings may pass for an
 * answer: an object without "succeeded" would read as a failed compare.
 */
Test (malformed, cut_answers_are_refused)
{
  for (size_t i = 0; i < NANSWERS; i++)
    {
      struct str whole = str_from (answers[i]);
      cr_expect (takes (whole), "%s", answers[i]);
      for (size_t n = 0; n < whole.len; n++)
        cr_expect (!takes (str_head (whole, n)), "%.*s",
                   STR_ARG (str_head (whole, n)));
    }
}

/* Answers that are JSON but not ours, one a line; none is taken. */
Test (malformed, foreign_answers_are_refused)
{
  static const char *const foreign[]
      = { "",
          "null",
          "[]",
          "7",
          "\"header\"",
          "{}",
          "{\"header\":7}",
          "{\"header\":{}}",
          "{\"header\":{\"revision\":\"0\"}}",
          "{\"header\":{\"revision\":\"x\"}}",
          "{\"header\":{\"revision\":\"99999999999999999999\"}}",
          "{\"result\":{}}",
          "{\"succeeded\":true}",
          "{\"header\":{\"revision\":\"1\"},\"kvs\":[7]}",
          "{\"header\":{\"revision\":\"1\"},\"kvs\":[null]}",
          "{\"header\":{\"revision\":\"1\"},\"kvs\":[{\"key\":\"Y\"}]}",
          "{\"header\":{\"revision\":\"1\"},\"kvs\":[{\"key\":\"****\"}]}",
          "{\"header\":{\"revision\":\"1\"},\"kvs\":[{\"key\":[]}]}",
          "{\"header\":{\"revision\":\"1\"},\"kvs\":[{\"value\":\"eA==\"}]}",
          "{\"header\":{\"revision\":\"1\"},\"events\":[{}]}",
          "<html>503</html>" };

  for (size_t i = 0; i < sizeof foreign / sizeof foreign[0]; i++)
    cr_expect (!takes (str_from (foreign[i])), "%s", foreign[i]);
}

/* Change some bytes, and at times cut or double a part. */
static void
mutate (struct rng *rng, struct buf *b)
{
  for (uint64_t n = 1 + rng_below (rng, 4); n > 0 && b->len > 1; n--)
    {
      size_t at = rng_below (rng, b->len);
      switch (rng_below (rng, 4))
        {
        case 0:
          b->ptr[at] = (char)rng_next (rng);
          break;
        case 1:
          b->ptr[at] = "{}[],:\"\\0"[rng_below (rng, 9)];
          break;
        case 2:
          b->len = at;
          break;
        case 3:
          {
            struct buf tail = BUF_INIT;
            buf_add (&tail, str_skip (buf_str (b), at));
            buf_add (b, buf_str (&tail));
            buf_free (&tail);
          }
        }
    }
}

/* A seeded run of damaged answers: none may crash or leak. */
Test (malformed, damaged_answers_do_no_harm)
{
  struct rng rng;
  struct buf b = BUF_INIT;

  rng_seed (&rng, 2006);
  for (int i = 0; i < 50000; i++)
    {
      buf_clear (&b);
      buf_add (&b, str_from (answers[rng_below (&rng, NANSWERS)]));
      mutate (&rng, &b);
      takes (buf_str (&b));
    }
  buf_free (&b);
}

/* Base64 of all lengths comes back as it was. */
Test (malformed, base64_there_and_back)
{
  for (size_t n = 0; n < 70; n++)
    {
      struct buf in = BUF_INIT, text = BUF_INIT, out = BUF_INIT;
      for (size_t i = 0; i < n; i++)
        buf_add_char (&in, (char)(i * 37 + n));
      etcd_add_base64 (&text, buf_str (&in));
      cr_expect (etcd_base64 (str_make (text.ptr + 1, text.len - 2), &out));
      cr_expect (str_eq (buf_str (&in), buf_str (&out)), "%zu bytes", n);
      buf_free (&in);
      buf_free (&text);
      buf_free (&out);
    }
}

/* --- links ------------------------------------------------------------- */

/* A peer of raw bytes, with or without the secret. */
struct peer
{
  uv_tcp_t tcp; /* first */
  uv_connect_t connect;
  struct bench *b;
  struct link_auth auth;
  struct buf in, out;
  bool proven;
  bool knows; /* the secret, so that its bad frames carry good MACs */
  bool closed;
};

struct bench
{
  struct run run;
  struct rng rng;
  struct link_server *server;
  struct link *up;
  struct net_addr at;
  struct link_secret secret;
  struct peer peer;
  int ups, downs, frames;
};

static void
on_state (void *ctx, struct link *l, enum link_state state)
{
  struct bench *b = ctx;

  b->up = state == LINK_UP ? l : NULL;
  b->ups += state == LINK_UP;
  b->downs += state == LINK_DOWN;
}

static void
on_frame (void *ctx, struct link *l, const Lapis__Frame *f)
{
  struct bench *b = ctx;

  b->frames++;
}

static void
add_random (struct rng *rng, struct buf *out, size_t n)
{
  while (n-- > 0)
    buf_add_char (out, (char)rng_next (rng));
}

/* A frame with a good MAC around a damaged message. */
static void
add_bad_frame (struct peer *p)
{
  struct rng *rng = &p->b->rng;
  Lapis__ConfigHave have = LAPIS__CONFIG_HAVE__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  struct buf body = BUF_INIT;
  uint8_t mac[LINK_MAC];

  have.revision = rng_next (rng);
  f.body_case = LAPIS__FRAME__BODY_CONFIG_HAVE;
  f.config_have = &have;
  buf_reserve (&body, lapis__frame__get_packed_size (&f));
  body.len = lapis__frame__pack (&f, (uint8_t *)body.ptr);
  mutate (rng, &body);
  link_auth_mac (&p->auth.out, buf_str (&body), mac);
  buf_add (&p->out, str_make ((char[]){ 0, 0, 0, (char)body.len }, 4));
  buf_add (&p->out, str_make (mac, sizeof mac));
  buf_add (&p->out, buf_str (&body));
  buf_free (&body);
}

static void
on_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct peer *p = (struct peer *)s;

  if (n < 0)
    {
      p->closed = true;
      return;
    }
  buf_add (&p->in, str_make (buf->base, (size_t)n));
  if (!p->knows || p->proven || p->in.len < LINK_HELLO)
    return;
  cr_assert (link_auth_read_hello (&p->auth, p->in.ptr));
  p->proven = true;
  buf_clear (&p->out);
  link_auth_write_proof (&p->auth, &p->out);
  for (int i = 0; i < 20; i++)
    add_bad_frame (p);
  add_random (&p->b->rng, &p->out, 64); /* closes it at the latest */
  run_write (&p->tcp, buf_str (&p->out));
}

static void
on_connected (uv_connect_t *req, int status)
{
  struct peer *p = req->data;
  struct rng *rng = &p->b->rng;

  cr_assert_eq (status, 0);
  run_read (&p->tcp, on_read);
  buf_clear (&p->out);
  if (p->knows || rng_below (rng, 2) == 0)
    link_auth_hello (&p->auth, &p->out);
  if (!p->knows)
    add_random (rng, &p->out, 64 + rng_below (rng, 4000));
  run_write (&p->tcp, buf_str (&p->out));
}

static void
on_closed (uv_handle_t *h)
{
  *(bool *)h->data = true;
}

static void
one_peer (struct bench *b, bool knows)
{
  struct peer *p = &b->peer;
  bool gone = false;

  memset (p, 0, sizeof *p);
  p->b = b;
  p->knows = knows;
  link_auth_init (&p->auth, &b->secret, true);
  uv_tcp_init (&b->run.loop, &p->tcp);
  run_connect (&b->run, &p->tcp, &b->at, &p->connect, on_connected, p);
  while (!p->closed)
    uv_run (&b->run.loop, UV_RUN_ONCE);
  p->tcp.data = &gone;
  uv_close ((uv_handle_t *)&p->tcp, on_closed);
  while (!gone)
    uv_run (&b->run.loop, UV_RUN_NOWAIT);
  buf_free (&p->in);
  buf_free (&p->out);
}

static void
many_peers (bool knows, int n, const char *expected)
{
  static const struct link_callbacks cb = { on_state, on_frame };
  struct bench b = { 0 };

  run_init (&b.run);
  rng_seed (&b.rng, 2006);
  b.at = run_any_loopback ();
  b.server = link_listen (&b.run.loop, &b.at, &b.secret, &cb, &b, NULL);
  cr_assert_not_null (b.server);
  b.at.port = link_server_port (b.server);
  for (int i = 0; i < n; i++)
    one_peer (&b, knows);
  link_server_free (b.server);
  run_log (&b.run, "%d up, %d down, frames %s", b.ups, b.downs,
           b.frames > 0 ? "some" : "none");
  run_end (&b.run, expected);
}

TestSuite (strangers, .timeout = 60);

/* Strangers send anything: every connection is closed, none gets up. */
Test (strangers, never_get_up)
{
  many_peers (false, 300, "0 up, 0 down, frames none\n");
}

/*
 * A peer that knows the secret sends damaged messages, as after a fault in
 * its memory or by another version.  Its link goes down, the process stays.
 */
Test (strangers, damaged_messages_close_the_link)
{
  many_peers (true, 300, "300 up, 300 down, frames some\n");
}
