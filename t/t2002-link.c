#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "net/link.h"
#include "t/lib-net.h"

/* One more than a server keeps while they have not proved themselves. */
#define STRANGERS 257

/*
 * Two ends and a relay between them that can keep, repeat, change and make
 * up bytes on their way from the client to the server.
 */
struct bench
{
  struct run run;
  struct link_server *server;
  struct link *client, *served;
  struct net_addr at, relay_at;
  uv_tcp_t relay, left, right;
  uv_connect_t connect;
  struct buf last; /* bytes last passed from left to right */
  bool relayed;    /* left and right are open, or were */
  bool hold, flip, repeat, echo;
  uv_tcp_t strangers[STRANGERS];
  uv_connect_t stranger_connects[STRANGERS];
  clk_ms strangers_at;
};

static void
relay_close (struct bench *b)
{
  if (uv_is_closing ((uv_handle_t *)&b->left))
    return;
  uv_close ((uv_handle_t *)&b->left, NULL);
  uv_close ((uv_handle_t *)&b->right, NULL);
}

static void
on_left (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct bench *b = s->data;

  if (n < 0)
    {
      relay_close (b);
      return;
    }
  if (b->hold)
    return;
  buf_clear (&b->last);
  buf_add (&b->last, str_make (buf->base, (size_t)n));
  if (b->flip)
    b->last.ptr[b->last.len - 1] ^= 1;
  if (b->echo)
    {
      run_write (&b->left, buf_str (&b->last));
      return;
    }
  run_write (&b->right, buf_str (&b->last));
  if (b->repeat)
    run_write (&b->right, buf_str (&b->last));
}

static void
on_right (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct bench *b = s->data;

  if (n < 0)
    relay_close (b);
  else if (!b->echo)
    run_write (&b->left, str_make (buf->base, (size_t)n));
}

static void
on_relay_connected (uv_connect_t *req, int status)
{
  struct bench *b = req->data;

  cr_assert_eq (status, 0);
  run_read (&b->left, on_left);
  run_read (&b->right, on_right);
}

static void
on_relay (uv_stream_t *s, int status)
{
  struct bench *b = s->data;

  cr_assert_eq (status, 0);
  uv_tcp_init (&b->run.loop, &b->left);
  uv_tcp_init (&b->run.loop, &b->right);
  b->left.data = b->right.data = b;
  b->relayed = true;
  uv_accept (s, (uv_stream_t *)&b->left);
  run_connect (&b->run, &b->right, &b->at, &b->connect, on_relay_connected, b);
}

static const char *
side (const struct bench *b, const struct link *l)
{
  return l == b->client ? "client" : "server";
}

/* Dropped for silence is told from closed for what was received. */
static const char *
state_name (const struct link *l, enum link_state state)
{
  if (state == LINK_UP)
    return "up";
  return link_idle_ms (l) >= 3 * CLK_SECOND ? "silent" : "down";
}

static void
on_state (void *ctx, struct link *l, enum link_state state)
{
  struct bench *b = ctx;

  run_log (&b->run, "%s %s", side (b, l), state_name (l, state));
  if (l == b->client)
    b->client = state == LINK_UP ? l : NULL;
  else
    b->served = state == LINK_UP ? l : NULL;
}

static void
on_frame (void *ctx, struct link *l, const Lapis__Frame *f)
{
  struct bench *b = ctx;

  cr_assert_eq (f->body_case, LAPIS__FRAME__BODY_CONFIG_HAVE);
  run_log (&b->run, "%s got %d", side (b, l), (int)f->config_have->revision);
}

static const struct link_callbacks callbacks = { on_state, on_frame };

static struct link_secret
secret_of (struct str word)
{
  struct link_secret s;

  memset (&s, 0, sizeof s);
  memcpy (s.key, word.ptr, word.len);
  return s;
}

static bool
send_number (struct link *l, int n, size_t pad)
{
  Lapis__ConfigHave have = LAPIS__CONFIG_HAVE__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  void *bytes = calloc (1, pad + 1);
  bool ok;

  have.revision = (uint64_t)n;
  have.hash.data = bytes;
  have.hash.len = pad;
  f.body_case = LAPIS__FRAME__BODY_CONFIG_HAVE;
  f.config_have = &have;
  ok = link_send (l, &f);
  free (bytes);
  return ok;
}

static void
fill_queue (struct bench *b)
{
  int n = 0;

  while (n < 1000 && send_number (b->client, n, LINK_CHUNK))
    n++;
  run_log (&b->run, "%s", n > 100 && n < 1000 ? "bounded" : "not bounded");
}

/* Refused at once is told from dropped after the time for a proof. */
static void
on_stranger (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct bench *b = s->data;

  if (n >= 0)
    return;
  run_log (&b->run, "stranger %s",
           clk_now () - b->strangers_at < 2 * CLK_SECOND ? "refused"
                                                         : "dropped");
  uv_close ((uv_handle_t *)s, NULL);
}

static void
on_stranger_connected (uv_connect_t *req, int status)
{
  if (status == 0)
    run_read ((uv_tcp_t *)req->handle, on_stranger);
}

static void
strangers_up (struct bench *b)
{
  b->strangers_at = clk_now ();
  for (int i = 0; i < STRANGERS; i++)
    {
      uv_tcp_init (&b->run.loop, &b->strangers[i]);
      b->strangers[i].data = b;
      run_connect (&b->run, &b->strangers[i], &b->at, &b->stranger_connects[i],
                   on_stranger_connected, b);
    }
}

static void
strangers_down (struct bench *b)
{
  for (int i = 0; b->strangers_at > 0 && i < STRANGERS; i++)
    if (!uv_is_closing ((uv_handle_t *)&b->strangers[i]))
      uv_close ((uv_handle_t *)&b->strangers[i], NULL);
}

static void
step (void *ctx, struct str word, struct str rest)
{
  struct bench *b = ctx;
  int64_t n = 0;

  str_to_i64 (rest, &n);
  if (str_is (word, "connect"))
    {
      struct link_secret s = secret_of (rest);
      b->client = link_connect (&b->run.loop, &b->relay_at, &s, &callbacks, b);
    }
  else if (str_is (word, "send"))
    cr_assert (send_number (b->client, (int)n, 0));
  else if (str_is (word, "answer"))
    cr_assert (send_number (b->served, (int)n, 0));
  else if (str_is (word, "send-large"))
    run_log (&b->run, "large %s",
             send_number (b->client, 0, LINK_MAX_FRAME) ? "taken" : "refused");
  else if (str_is (word, "fill"))
    fill_queue (b);
  else if (str_is (word, "hold"))
    b->hold = true;
  else if (str_is (word, "pause"))
    usleep ((useconds_t)n * 1000); /* the loop stands still */
  else if (str_is (word, "flip"))
    b->flip = true;
  else if (str_is (word, "repeat"))
    b->repeat = true;
  else if (str_is (word, "echo"))
    b->echo = true;
  else if (str_is (word, "strangers"))
    strangers_up (b);
  else if (str_is (word, "inject"))
    run_write (&b->right, STR ("\0\0\0\2sixteen mac bytes"));
  else if (str_is (word, "inject-long"))
    run_write (&b->right, STR ("\177\377\377\377sixteen mac bytes"));
  else
    cr_assert (false, "no such step");
}

static void
play (const char *script, const char *expected)
{
  static struct bench b;
  struct buf err = BUF_INIT;
  struct link_secret s = secret_of (STR ("right"));

  memset (&b, 0, sizeof b);
  run_init (&b.run);
  b.at = run_any_loopback ();
  b.server = link_listen (&b.run.loop, &b.at, &s, &callbacks, &b, &err);
  cr_assert_not_null (b.server, "%s", buf_c (&err));
  b.at.port = link_server_port (b.server);
  b.relay_at = run_listen (&b.run, &b.relay, on_relay, &b);
  run_script (&b.run, script, step, &b);
  if (b.client != NULL)
    link_close (b.client);
  if (b.served != NULL)
    link_close (b.served);
  link_server_free (b.server);
  strangers_down (&b);
  if (b.relayed)
    relay_close (&b);
  uv_close ((uv_handle_t *)&b.relay, NULL);
  run_end (&b.run, expected);
  buf_free (&b.last);
}

Test (link, frames_come_in_order)
{
  play ("connect right\n wait client up\n send 1\n send 2\n send 3\n"
        "wait server got 3\n answer 7\n wait client got 7",
        "server up\nclient up\nserver got 1\nserver got 2\nserver got 3\n"
        "client got 7\n");
}

/*
 * A process with another secret connects.  The server closes before it has
 * proved itself or told anybody; the stranger is told that the link is down.
 */
Test (link, wrong_secret_gets_nowhere)
{
  play ("connect wrong\n wait client down", "client down\n");
}

/*
 * Somebody without the secret answers a connecting process with its own
 * bytes: its hello, then the proof that it sent.  The proof is right for the
 * connecting end only, so the link does not come up.
 */
Test (link, own_proof_sent_back_gets_nowhere)
{
  play ("echo\n connect right\n wait client down", "client down\n");
}

/*
 * Strangers open connections and say nothing, again and again.  Those over
 * the bound are closed at once: descriptors and memory stay for peers.
 */
Test (link, silent_strangers_are_bounded)
{
  play ("strangers\n wait stranger refused", "stranger refused\n");
}

/*
 * Somebody on the way sends a genuine frame a second time.  Its MAC was
 * right once, but the counter has moved on: the link closes and the message
 * is acted on once.
 */
Test (link, replayed_frame_closes)
{
  play ("connect right\n wait client up\n repeat\n send 1\n wait client down",
        "server up\nclient up\nserver got 1\nserver down\nclient down\n");
}

/*
 * Somebody on the way changes one bit or makes up a frame.  Nothing of it
 * reaches the receiver, and the link closes.
 */
Test (link, changed_or_made_up_frame_closes)
{
  const char *expected = "server up\nclient up\nserver down\nclient down\n";

  play ("connect right\n wait client up\n flip\n send 1\n wait client down",
        expected);
  play ("connect right\n wait client up\n inject\n wait client down",
        expected);
  play ("connect right\n wait client up\n inject-long\n wait client down",
        expected);
}

/*
 * The way to the server goes silent, as after a lost entry in a firewall:
 * no close, no reset.  The server misses the heartbeats and drops the link,
 * so that its owner connects anew.
 */
Test (link, silent_peer_is_dropped)
{
  play ("connect right\n wait client up\n hold\n wait server silent\n"
        "wait client down",
        "server up\nclient up\nserver silent\nclient down\n");
}

/* Guards against links that are dropped as silent by a process that goes on
   after a pause, though what came meanwhile is not read yet. */
Test (link, a_pause_of_this_process_is_no_silence)
{
  play ("connect right\n wait client up\n pause 3500\n send 1\n"
        "wait server got 1\n answer 2\n wait client got 2",
        "server up\nclient up\nserver got 1\nclient got 2\n");
}

/*
 * A peer that does not read: frames are refused once the bound is reached,
 * so one slow peer costs 4 MiB and no more.  A frame over the largest size
 * is refused by the sender, as the receiver would close the link.
 */
Test (link, queue_and_frame_are_bounded)
{
  play ("connect right\n wait client up\n send-large\n fill",
        "server up\nclient up\nlarge refused\nbounded\n");
}
