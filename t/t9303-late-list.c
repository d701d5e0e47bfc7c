/*
 * A former leader whose frames arrive late at the current leader. The test
 * process acts as the former leader.
 */
#include <criterion/criterion.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/json.h"
#include "net/link.h"
#include "t/lib-rack.h"
#include "t/lib-relay.h"

TestSuite (stale_list, .fini = proc_stop_all, .timeout = 90);

#define SECRET_BYTES 32
#define WAIT_MS ((clk_ms)5000)

/** Value of a store key; the caller frees it. */
static char *
read_store_key (const struct rack *r, const char *key)
{
  struct web_answer a = { 0 };
  struct buf path = BUF_INIT;
  struct json_object *o;
  size_t n;
  char *value;

  buf_addf (&path, "/kv-key?key=lapisline/%s", key);
  cr_assert (
      web_call (r->platform_addr, "GET", buf_c (&path), NULL, NULL, &a));
  o = jsn_parse (buf_str (&a.body));
  value = str_dup (jsn_str (o, "value"));
  g_base64_decode_inplace (value, &n);
  value[n] = '\0';
  json_object_put (o);
  web_free (&a);
  buf_free (&path);
  return value;
}

static int
find_leader (const struct rack *r)
{
  char *lease = read_store_key (r, "duty");
  int leader = strstr (lease, "node-2") ? 1 : 0;

  free (lease);
  return leader;
}

struct stale_peer
{
  uv_loop_t loop;
  struct link *link;
  bool hello_received;
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

/** Sends a complete server list without entries. */
static void
send_empty_list (struct link *l)
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
  struct stale_peer *t = ctx;

  t->link = state == LINK_UP ? l : NULL;
  if (t->link)
    send_hello (l);
}

static void
on_frame (void *ctx, struct link *l, const Lapis__Frame *f)
{
  struct stale_peer *t = ctx;

  t->hello_received |= f->body_case == LAPIS__FRAME__BODY_HELLO;
}

static void
run_loop (struct stale_peer *t, clk_ms ms)
{
  clk_ms until = clk_now () + ms;

  while (clk_now () < until)
    uv_run (&t->loop, UV_RUN_NOWAIT);
}

/** Connects to the node as a peer node. */
static void
link_to (struct stale_peer *t, const struct rack *r, int node)
{
  static const struct link_callbacks cb = { on_state, on_frame };
  struct link_secret secret;
  struct net_addr at;
  clk_ms until = clk_now () + WAIT_MS;
  char key[32];
  char *hex = read_store_key (r, "secret"), *entry;
  struct json_object *o;

  snprintf (key, sizeof key, "nodes/node-%d", node + 1);
  entry = read_store_key (r, key);
  o = jsn_parse (str_from (entry));
  cr_assert (net_addr_parse (jsn_str (o, "peer"), false, &at));
  cr_assert (str_to_bytes (str_from (hex), secret.key, SECRET_BYTES));
  uv_loop_init (&t->loop);
  link_connect (&t->loop, &at, &secret, &cb, t);
  while (!t->hello_received && clk_now () < until)
    uv_run (&t->loop, UV_RUN_ONCE);
  cr_assert (t->hello_received);
  json_object_put (o);
  free (entry);
  free (hex);
}

/*
 * Guards against a leader that accepts a server list from a former leader.
 * This list is empty; the leader would refuse all requests until it reads the
 * store again, and replica formation would use removed entries. The leader has
 * to use only the lists that it reads itself.
 */
Test (stale_list, leader_ignores_lists_from_peers)
{
  static struct stale_peer t;
  struct rack r;
  int leader, refused = 0;

  rack_start_all (&r, 4);
  sleep (3); /* at startup, nodes keep servers that a list omits */
  leader = find_leader (&r);
  link_to (&t, &r, leader);
  for (int i = 0; i < 40; i++)
    {
      cr_assert (t.link);
      send_empty_list (t.link);
      run_loop (&t, 10);
      refused += rack_call (&r, leader, "/safe/x", "a", NULL, NULL) != 200;
    }
  cr_expect_eq (refused, 0, "%d calls of 40 were refused", refused);
  cr_expect (
      rack_call_until (&r, leader, "/stream/x", rack_headers ("b"), 200));
}

/* --- a late response of the store --------------------------------------- */

static struct relay *store_relay;

static const char *
connect_by_relay (const char *at)
{
  store_relay = relay_new (at, at);
  return relay_addr (store_relay, 0);
}

/*
 * Guards against a node that goes back to an older list: the response to its
 * first read comes after the leader has sent it a newer one, in which a server
 * drains.  The leader goes on confirming that list.
 */
Test (stale_list, late_response_does_not_replace_a_newer_list)
{
  const int leader = rack_leader (RACK_NODES);
  struct rack r;
  int runs;

  rack_set_mapped_node (!leader);
  rack_prepare_nodes (&r, 0, RACK_NODES, connect_by_relay);
  rack_configure (&r, 1, "k1", "");
  rack_start_node (&r, leader);
  cr_assert (
      rack_call_until (&r, leader, "/once/x", rack_headers ("warm"), 200));
  relay_delay (store_relay, "prefix=servers", 500);
  rack_start_node (&r, !leader);
  while (!relay_has_delayed (store_relay))
    usleep (1000);
  rack_set (&r, "{\"server\": \"p1\", \"draining\": true}");
  usleep (550000);
  runs = rack_get_count (&r, "p1", "runs");
  for (int i = 0; i < 12; i++)
    cr_expect_eq (rack_call (&r, !leader, "/once/x", "a", NULL, NULL), 200);
  cr_expect_eq (rack_get_count (&r, "p1", "runs"), runs);
}
