#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/control.h"
#include "t/lib-latekv.h"

/*
 * Membership, roster and links of several control processes, each with its own
 * sockets, in one loop; stubs for the other modules.  A process is a NAME or
 * NAME/BOOT.  Commands of a script:
 *   store up|down|loses-answer      state of the store from now on
 *   start PROCESS [PEER...]         with the addresses of PEERs as settings
 *   stop PROCESS
 *   until CONDITION                 run the loop until it holds, or fail
 *   send FROM TO                    send evidence; fails without a link
 *   retry-send FROM TO              try to send evidence for two seconds
 * Conditions:
 *   alive PROCESS N                 number of live nodes that it lists
 *   links PROCESS MIN MAX           number of its links
 *   got PROCESS N                   messages of evidence that it received
 *   record NAME BOOT                boot number in the roster
 *   gateway PROCESS                 it received its gateway's hello
 *   closed rejected                 the link of an unknown role was closed
 */

#define WAIT_MS (20 * CLK_SECOND)
#define RESEND_MS (2 * CLK_SECOND)
#define LOOP_TURN_MS 10
#define MAX_NODES 24

struct node
{
  struct ctl c; /* must be first: stubs cast the modules' pointers to it */
  char name[16];
  bool running;
  size_t evidence;
  bool gateway;
};

static struct fixture
{
  uv_loop_t loop;
  uv_timer_t turn_timer; /* bounds each turn of the loop */
  struct node nodes[MAX_NODES];
  size_t n;
  struct latekv store;
  bool rejected_closed; /* the link of an unknown role */
} fx;

static const struct net_addr any_port = { .host = "127.0.0.1" };

/* --- stubs of the other modules ----------------------------------------- */

void
ctl_member_changed (struct ctl *c, const struct mbr_node *node)
{
  if (c->peers != NULL)
    ctl_peers_on_member_changed (c->peers, node);
}

void
ctl_spread_on_peer (struct ctl_spread *s, uint64_t peer, bool up)
{
}

void
ctl_spread_on_frame (struct ctl_spread *s, uint64_t peer,
                     const Lapis__Frame *f)
{
}

/* The module pointers of a node point to the node itself. */
void
ctl_domains_on_evidence (struct ctl_domains *d, const Lapis__Evidence *e)
{
  ((struct node *)d)->evidence++;
}

void
ctl_domains_on_peer_linked (struct ctl_domains *d)
{
}

const struct ctl_replica *
ctl_domains_replicas (struct ctl_domains *d, size_t *n)
{
  *n = 0;
  return NULL;
}

void
ctl_shares_on_demand (struct ctl_shares *s, struct str node,
                      const Lapis__ShareDemand *d)
{
}

void
ctl_shares_on_grant (struct ctl_shares *s, const Lapis__ShareGrant *g)
{
}

void
ctl_views_on_gateway (struct ctl_views *v, struct link *l,
                      const Lapis__Hello *hello)
{
  ((struct node *)v)->gateway = true;
}

void
ctl_views_on_gateway_down (struct ctl_views *v, struct link *l)
{
  ((struct node *)v)->gateway = false;
}

void
ctl_views_on_frame (struct ctl_views *v, struct link *l, const Lapis__Frame *f)
{
}

void
ctl_admin_on_frame (struct ctl_admin *a, uint64_t peer, const Lapis__Frame *f)
{
}

/* --- processes ---------------------------------------------------------- */

static struct node *
find_node (const char *name)
{
  for (size_t i = 0; i < fx.n; i++)
    if (strcmp (fx.nodes[i].name, name) == 0)
      return &fx.nodes[i];
  cr_assert (false, "no process '%s'", name);
  return NULL;
}

static void
fill_settings (struct node *n, const char *peers)
{
  struct settings *set = &n->c.set;
  char *list = xstrdup (peers);
  char *save = NULL;

  set->node = str_dup (
      str_head (str_from (n->name), str_chr (str_from (n->name), '/')));
  set->zone = xstrdup ("hall-a");
  set->region = xstrdup ("nairobi");
  set->store_prefix = xstrdup ("/lapisline/");
  set->control_swim = set->control_peer = any_port;
  memcpy (set->secret, "tests", 5);
  for (char *p = strtok_r (list, " ", &save); p != NULL;
       p = strtok_r (NULL, " ", &save))
    {
      set->peers[set->npeers] = any_port;
      set->peers[set->npeers++].port = ctl_peers_port (find_node (p)->c.peers);
    }
  free (list);
}

static void
start (char *args)
{
  struct node *n = &fx.nodes[fx.n++];
  char *peers = strchr (args, ' ');
  struct buf err = BUF_INIT;
  const char *boot;

  if (peers != NULL)
    *peers++ = '\0';
  snprintf (n->name, sizeof n->name, "%s", args);
  boot = strchr (n->name, '/');
  fill_settings (n, peers != NULL ? peers : "");
  n->c.loop = &fx.loop;
  n->c.boot = boot != NULL ? strtoull (boot + 1, NULL, 10) : 1;
  rng_seed (&n->c.rng, fx.n);
  n->c.met = met_new ();
  n->c.store = latekv_store (&fx.store);
  n->c.domains = (struct ctl_domains *)n;
  n->c.views = (struct ctl_views *)n;
  n->c.spread = (struct ctl_spread *)n;
  n->c.swim = ctl_swim_start (&n->c, &err);
  cr_assert (n->c.swim != NULL, "%s", buf_c (&err));
  n->c.peers = ctl_peers_start (&n->c, &err);
  cr_assert (n->c.peers != NULL, "%s", buf_c (&err));
  n->running = true;
  buf_free (&err);
}

static void
stop (struct node *n)
{
  if (!n->running)
    return;
  n->running = false;
  ctl_peers_stop (n->c.peers);
  n->c.peers = NULL;
  ctl_swim_stop (n->c.swim);
  store_free (n->c.store);
  met_free (n->c.met);
  settings_free (&n->c.set);
}

/* --- conditions --------------------------------------------------------- */

static size_t
count_alive (const struct node *n)
{
  size_t all, count = 0;
  const struct mbr_node *const *nodes = ctl_swim_nodes (n->c.swim, &all);

  for (size_t i = 0; i < all; i++)
    count += nodes[i]->status == MBR_ALIVE;
  return count;
}

static bool
record_has_boot (const char *name, unsigned boot)
{
  struct buf key = BUF_INIT, want = BUF_INIT;
  struct store_result record;
  bool ok;

  buf_addf (&key, "/lapisline/roster/hall-a/%s", name);
  buf_addf (&want, "{\"boot\":%u,", boot);
  record = memkv_get (fx.store.kv, buf_str (&key));
  ok = record.nkvs == 1 && str_starts (record.kvs->value, buf_str (&want));
  buf_free (&key);
  buf_free (&want);
  return ok;
}

static bool
condition_holds (const char *condition)
{
  char what[16], name[16];
  unsigned a = 0, b = 0;
  uint64_t out, in;
  size_t links;

  cr_assert (sscanf (condition, "%15s %15s %u %u", what, name, &a, &b) >= 2);
  if (strcmp (what, "record") == 0)
    return record_has_boot (name, a);
  if (strcmp (what, "alive") == 0)
    return count_alive (find_node (name)) == a;
  if (strcmp (what, "got") == 0)
    return find_node (name)->evidence == a;
  if (strcmp (what, "closed") == 0)
    return fx.rejected_closed;
  if (strcmp (what, "gateway") == 0)
    return find_node (name)->gateway;
  links = ctl_peers_traffic (find_node (name)->c.peers, &out, &in);
  return links >= a && links <= b;
}

static void
wait_until (const char *condition)
{
  clk_ms deadline = clk_now () + WAIT_MS;

  while (!condition_holds (condition) && clk_now () < deadline)
    uv_run (&fx.loop, UV_RUN_ONCE);
  cr_assert (condition_holds (condition), "timed out: %s", condition);
}

static bool
try_to_send (const char *args)
{
  char from[16], to[16];
  Lapis__Evidence e = LAPIS__EVIDENCE__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;

  cr_assert_eq (sscanf (args, "%15s %15s", from, to), 2);
  f.body_case = LAPIS__FRAME__BODY_EVIDENCE;
  f.evidence = &e;
  return ctl_peers_send_node (find_node (from)->c.peers, str_from (to), &f);
}

static void
retry_send (const char *args)
{
  clk_ms deadline = clk_now () + RESEND_MS;

  while (clk_now () < deadline)
    {
      try_to_send (args);
      uv_run (&fx.loop, UV_RUN_ONCE);
    }
}

/* --- a gateway ---------------------------------------------------------- */

static void
on_gateway_state (void *ctx, struct link *l, enum link_state state)
{
  Lapis__Hello hello = LAPIS__HELLO__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;

  if (state == LINK_DOWN)
    fx.rejected_closed = true;
  if (state != LINK_UP)
    return;
  hello.node = strcmp (ctx, "gateway") == 0 ? "n1" : "n9";
  hello.role = ctx;
  f.body_case = LAPIS__FRAME__BODY_HELLO;
  f.hello = &hello;
  link_send (l, &f);
}

static void
on_gateway_frame (void *ctx, struct link *l, const Lapis__Frame *f)
{
}

/* --- scripts ------------------------------------------------------------ */

static void
run_line (char *line)
{
  char *args = strchr (line, ' ');

  cr_assert (args != NULL, "line '%s'", line);
  *args++ = '\0';
  if (strcmp (line, "store") == 0)
    {
      fx.store.unavailable = strcmp (args, "down") == 0;
      fx.store.loses_response = strcmp (args, "loses-answer") == 0;
    }
  else if (strcmp (line, "start") == 0)
    start (args);
  else if (strcmp (line, "stop") == 0)
    stop (find_node (args));
  else if (strcmp (line, "until") == 0)
    wait_until (args);
  else if (strcmp (line, "send") == 0)
    cr_assert (try_to_send (args), "no link: %s", args);
  else if (strcmp (line, "retry-send") == 0)
    retry_send (args);
  else
    cr_assert (false, "command '%s'", line);
}

static void
run_script (const char *script)
{
  char *text = xstrdup (script);
  char *save = NULL;

  for (char *line = strtok_r (text, "\n", &save); line != NULL;
       line = strtok_r (NULL, "\n", &save))
    run_line (line);
  free (text);
}

static void
on_turn (uv_timer_t *t)
{
}

static void
setup (void)
{
  memset (&fx, 0, sizeof fx);
  uv_loop_init (&fx.loop);
  uv_timer_init (&fx.loop, &fx.turn_timer);
  uv_timer_start (&fx.turn_timer, on_turn, LOOP_TURN_MS, LOOP_TURN_MS);
  latekv_init (&fx.store, &fx.loop);
  log_setup (LOG_TEXT, LOG_ERROR, STR ("test"));
}

static void
teardown (void)
{
  for (size_t i = 0; i < fx.n; i++)
    stop (&fx.nodes[i]);
  uv_close ((uv_handle_t *)&fx.turn_timer, NULL);
  for (int i = 0; i < 100 && uv_loop_alive (&fx.loop); i++)
    uv_run (&fx.loop, UV_RUN_NOWAIT);
  cr_expect_eq (uv_loop_close (&fx.loop), 0, "handles remain open");
  latekv_destroy (&fx.store);
}

static void
run_scripted (const char *script)
{
  setup ();
  run_script (script);
  teardown ();
}

Test (peers, nodes_join_through_the_roster)
{
  /* Three nodes start with a store and no peers in their settings.  Each must
     list the others and hold exactly one link to each, whichever end opened it
     first. */
  run_scripted ("start n1\n"
                "until record n1 1\n"
                "start n2\n"
                "start n3\n"
                "until alive n1 3\n"
                "until alive n2 3\n"
                "until alive n3 3\n"
                "until links n1 2 2\n"
                "until links n2 2 2\n"
                "until links n3 2 2\n"
                "send n1 n3\n"
                "send n3 n1\n"
                "until got n3 1\n"
                "until got n1 1\n");
}

Test (peers, nodes_join_through_settings_without_a_store)
{
  /* The store is down while VMs are replaced: a node must join through any
     peer in its settings and write its record once the store is back. */
  run_scripted ("store down\n"
                "start n1\n"
                "start n2 n1\n"
                "start n3 n1 n2\n"
                "until alive n1 3\n"
                "until alive n3 3\n"
                "until links n1 2 2\n"
                "until links n2 2 2\n"
                "store up\n"
                "until record n3 1\n");
}

Test (peers, replaced_process_is_rejected)
{
  /* n2 is replaced while its old VM still runs, because the platform's list is
     out of date.  Evidence of the old process must be dropped, and it must not
     overwrite the new process's record in the roster. */
  run_scripted ("start n1\n"
                "until record n1 1\n"
                "start n2/1 n1\n"
                "until links n1 1 1\n"
                "send n2/1 n1\n"
                "until got n1 1\n"
                "until record n2 1\n"
                "start n2/2 n1\n"
                "until links n2/2 1 1\n"
                "until record n2 2\n"
                "until links n2/1 0 0\n"
                "retry-send n2/1 n1\n"
                "until got n1 1\n"
                "until links n2/2 1 1\n"
                "send n2/2 n1\n"
                "until got n1 2\n"
                "send n1 n2\n"
                "until got n2/2 1\n"
                "until record n2 2\n");
}

Test (peers, roster_keeps_the_higher_boot)
{
  /* A process that was suspended while its VM was replaced resumes and joins:
     the record of its successor stays.  A lost response doesn't cause a second
     write. */
  setup ();
  run_script ("store loses-answer\n"
              "start n1/5\n"
              "until record n1 5\n"
              "start n1/4\n"
              "start n2\n"
              "until record n2 1\n"
              "until record n1 5\n"
              "until alive n2 2\n");
  cr_expect_eq (memkv_get (fx.store.kv, STR ("")).revision, 2);
  teardown ();
}

Test (peers, large_regions_are_not_a_full_mesh)
{
  /* With twenty nodes, a full mesh would cost more with every node.  Each node
     keeps a few links; a frame for another node opens one on demand. */
  struct buf script = BUF_INIT;

  setup ();
  run_script ("start n1\nuntil record n1 1\n");
  for (int i = 2; i <= 20; i++)
    buf_addf (&script, "start n%d\n", i);
  run_script (buf_c (&script));
  run_script ("until alive n1 20\n"
              "until alive n20 20\n"
              "until links n1 4 16\n"
              "until links n7 4 16\n"
              "until links n20 4 16\n");
  for (int i = 2; i <= 20; i++)
    {
      char to[16];
      Lapis__Heartbeat hb = LAPIS__HEARTBEAT__INIT;
      Lapis__Frame f = LAPIS__FRAME__INIT;

      snprintf (to, sizeof to, "n%d", i);
      f.body_case = LAPIS__FRAME__BODY_HEARTBEAT;
      f.heartbeat = &hb;
      ctl_peers_send_node (fx.nodes[0].c.peers, str_from (to), &f);
    }
  run_script ("until links n1 19 19\n");
  buf_free (&script);
  teardown ();
}

Test (peers, gateway_and_unknown_role)
{
  /* The same port accepts this node's gateway.  A process with the secret but
     an unknown role is rejected. */
  static const struct link_callbacks cb
      = { on_gateway_state, on_gateway_frame };
  struct link_secret secret = { { 't', 'e', 's', 't', 's' } };
  struct net_addr at = any_port;
  struct link *gateway;

  setup ();
  run_script ("start n1\n");
  at.port = ctl_peers_port (fx.nodes[0].c.peers);
  gateway = link_connect (&fx.loop, &at, &secret, &cb, "gateway");
  run_script ("until gateway n1\n");
  link_connect (&fx.loop, &at, &secret, &cb, "operator");
  run_script ("until closed rejected\n"
              "until gateway n1\n");
  link_close (gateway);
  teardown ();
}
