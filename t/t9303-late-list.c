/*
 * A node that linked once, and led, as the owner after it sees it: its frames
 * arrive late.  This test is that node.
 */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/json.h"
#include "net/link.h"
#include "t/lib-rack.h"

TestSuite (late_list, .fini = proc_stop_all, .timeout = 90);

#define SECRET_BYTES 32
#define WAIT_MS ((clk_ms)5000)

/** Value of a key of the store; release it. */
static char *
stored (const struct rack *r, const char *key)
{
  struct web_answer a = { 0 };
  struct buf path = BUF_INIT;
  struct json_object *o;
  size_t n;
  char *value;

  buf_addf (&path, "/kv-key?key=lapisline/%s", key);
  cr_assert (web_call (r->at, "GET", buf_c (&path), NULL, NULL, &a));
  o = jsn_parse (buf_str (&a.body));
  value = str_dup (jsn_str (o, "value"));
  g_base64_decode_inplace (value, &n);
  value[n] = '\0';
  json_object_put (o);
  web_free (&a);
  buf_free (&path);
  return value;
}

/** Number of the node that forms replicas. */
static int
find_owner (const struct rack *r)
{
  char *duty = stored (r, "duty");
  int owner = strstr (duty, "node-2") ? 1 : 0;

  free (duty);
  return owner;
}

struct late
{
  uv_loop_t loop;
  struct link *link;
  bool greeted; /* by the node */
};

static void
send_hello (struct link *l)
{
  Lapis__Hello hello = LAPIS__HELLO__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;

  hello.node = "node-0";
  hello.boot = 1;
  f.body_case = LAPIS__FRAME__BODY_HELLO;
  f.hello = &hello;
  cr_assert (link_send (l, &f));
}

/** Of all servers this one is told, and of none another. */
static void
send_list (struct link *l)
{
  Lapis__ServerList list = LAPIS__SERVER_LIST__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;

  list.whole = true;
  f.body_case = LAPIS__FRAME__BODY_SERVER_LIST;
  f.server_list = &list;
  cr_assert (link_send (l, &f));
}

static void
on_state (void *ctx, struct link *l, enum link_state state)
{
  struct late *t = ctx;

  t->link = state == LINK_UP ? l : NULL;
  if (t->link)
    send_hello (l);
}

static void
on_frame (void *ctx, struct link *l, const Lapis__Frame *f)
{
  struct late *t = ctx;

  t->greeted |= f->body_case == LAPIS__FRAME__BODY_HELLO;
}

/** Turn the loop for a while. */
static void
turn (struct late *t, clk_ms ms)
{
  clk_ms until = clk_now () + ms;

  while (clk_now () < until)
    uv_run (&t->loop, UV_RUN_NOWAIT);
}

/** Link to the node as another one. */
static void
link_to (struct late *t, const struct rack *r, int node)
{
  static const struct link_callbacks cb = { on_state, on_frame };
  struct link_secret secret;
  struct net_addr at;
  clk_ms until = clk_now () + WAIT_MS;
  char key[32];
  char *hex = stored (r, "secret"), *entry;
  struct json_object *o;

  snprintf (key, sizeof key, "nodes/node-%d", node + 1);
  entry = stored (r, key);
  o = jsn_parse (str_from (entry));
  cr_assert (net_addr_parse (jsn_str (o, "peer"), false, &at));
  cr_assert (str_to_bytes (str_from (hex), secret.key, SECRET_BYTES));
  uv_loop_init (&t->loop);
  link_connect (&t->loop, &at, &secret, &cb, t);
  while (!t->greeted && clk_now () < until)
    uv_run (&t->loop, UV_RUN_ONCE);
  cr_assert (t->greeted);
  json_object_put (o);
  free (entry);
  free (hex);
}

/*
 * Callers are served, and a list that an earlier owner sent is only now
 * delivered: by it there are no servers.  Taken by the owner it would refuse
 * all callers until its next reading, and the core that forms replicas would
 * go on with entries that are no more.  It goes by what it reads itself.
 */
Test (late_list, the_owner_goes_by_its_own_reading)
{
  static struct late t;
  struct rack r;
  int owner, refused = 0;

  rack_start_all (&r, 4);
  sleep (3); /* from then on what a list lacks counts as gone */
  owner = find_owner (&r);
  link_to (&t, &r, owner);
  for (int i = 0; i < 40; i++)
    {
      cr_assert (t.link);
      send_list (t.link);
      turn (&t, 10);
      refused += rack_call (&r, owner, "/safe/x", "a", NULL, NULL) != 200;
    }
  cr_expect_eq (refused, 0, "%d calls of 40 were refused", refused);
  cr_expect (rack_until (&r, owner, "/stream/x", rack_headers ("b"), 200));
}
