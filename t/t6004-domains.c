#include <criterion/criterion.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "control/control.h"
#include "net/httpd.h"
#include "t/lib-latekv.h"
#include "t/lib-net.h"

/* The shell of control/domains.c with a real loop and a real backend server,
   over a store in memory.  Membership and peer links are the stubs below;
   lines of the log end with the phase of the script in which they came. */

/* Two thirds of the lease, counted from a renewal, and a bit. */
#define RIGHT_MS ((clk_ms)4050)
/* After a renewal: late enough that the right ends before an order's
   deadline, early enough that a probe and an order still fit in. */
#define LATE_MS ((clk_ms)2300)

struct world
{
  struct run run;
  struct ctl ctl;
  char phase[16];
  struct mbr_node self, other;
  struct httpd *vm;
  char replica[32];
  int64_t generation;
  bool unloaded;
  struct latekv store;
  char last_evidence[64];
  bool whole; /* as the last full evidence says */
  bool freeze;
  bool told_forms; /* log which form evidence has */
};

static struct world the_world;
static struct world *const world = &the_world;

/* ---- membership and links ---- */

const struct mbr_node *const *
ctl_swim_nodes (const struct ctl_swim *s, size_t *n)
{
  static const struct mbr_node *nodes[2];

  nodes[0] = &world->self;
  nodes[1] = &world->other;
  *n = world->other.name.len ? 2 : 1;
  return nodes;
}

void
ctl_evidence_changed (struct ctl *c)
{
}

void
ctl_peers_broadcast (struct ctl_peers *p, const Lapis__Frame *f)
{
  const Lapis__Evidence *e = f->evidence;
  char line[64];
  bool whole;

  /* The short form says that what the full one said still holds. */
  if (!e->full_seq)
    world->whole = e->n_replicas && e->replicas[0]->whole;
  whole = world->whole;
  if (world->told_forms)
    run_log (&world->run, "%s form", e->full_seq ? "short" : "full");

  snprintf (line, sizeof line, "evidence %s %s", whole ? "whole" : "broken",
            e->fence ? "of the owner" : "without a lease");
  if (strcmp (line, world->last_evidence))
    run_log (&world->run, "%s %s", line, world->phase);
  memcpy (world->last_evidence, line, sizeof line);
  if (world->freeze && !whole)
    {
      clk_ms left = world->store.renewed_at + RIGHT_MS - clk_now ();

      world->freeze = false;
      world->store.lease_lost = true;
      usleep ((useconds_t)(left > 0 ? 1000 * left : 0));
    }
}

/* ---- the backend server ---- */

static void
obey (struct str body)
{
  char *text = str_dup (body);
  json_object *o = json_tokener_parse (text);
  const char *order
      = json_object_get_string (json_object_object_get (o, "order"));

  snprintf (world->replica, sizeof world->replica, "%s",
            json_object_get_string (json_object_object_get (o, "replica")));
  world->generation
      = json_object_get_int64 (json_object_object_get (o, "generation"));
  world->unloaded = strcmp (order, "unload") == 0;
  run_log (&world->run, "%s %s/%d fence %d %s", order, world->replica,
           (int)world->generation,
           json_object_get_int (json_object_object_get (o, "fence")),
           world->phase);
  json_object_put (o);
  free (text);
}

static void
handle (void *ctx, struct httpd_req *req)
{
  char state[160];

  if (str_is (httpd_get (req)->method, "POST"))
    {
      obey (httpd_get (req)->body);
      httpd_answer (req, 200, NULL, 0, STR ("{\"ok\":true}"));
      return;
    }
  snprintf (state, sizeof state,
            "{\"replica\":\"%s\",\"generation\":%d,\"ready\":%s,"
            "\"unloaded\":%s,\"load\":0,\"fence\":0}",
            world->replica, (int)world->generation,
            world->unloaded ? "false" : "true",
            world->unloaded ? "true" : "false");
  httpd_answer (req, 200, NULL, 0, str_from (state));
}

/* ---- the script ---- */

/* Five domains of zone y, that come before "d" in the order of turns. */
static const char *const elsewhere[] = { "f", "i", "u", "y", "e1" };

static void
add_elsewhere (struct buf *domains, struct buf *replicas)
{
  for (unsigned i = 0; i < 5; i++)
    {
      buf_addf (domains,
                ",\"%s\":{\"zone\":\"y\",\"vms\":{\"x%u\":{\"addr\":"
                "\"127.0.0.1:%u\"}}}",
                elsewhere[i], i, i + 1);
      buf_addf (replicas,
                ",\"e%u\":{\"model\":\"m\",\"domain\":\"%s\",\"mode\":"
                "\"manage\",\"vms\":[\"x%u\"]}",
                i, elsewhere[i], i);
    }
}

static void
make_config (const char *mode, bool more)
{
  struct fnd_list findings = { 0 };
  struct buf text = BUF_INIT, domains = BUF_INIT, replicas = BUF_INIT;

  if (more)
    add_elsewhere (&domains, &replicas);
  buf_addf (&text,
            "{\"domains\":{\"d\":{\"zone\":\"z\",\"checks_fence\":true,"
            "\"vms\":{\"v1\":{\"addr\":\"127.0.0.1:%u\"}}}%s},"
            "\"models\":{\"m\":{\"mode\":\"%s\",\"vms\":1,\"replicas\":1,"
            "\"weight_gb\":1,\"capacity\":4,\"tokens_per_s\":100}},"
            "\"replicas\":{\"r1\":{\"model\":\"m\",\"domain\":\"d\","
            "\"mode\":\"%s\",\"vms\":[\"v1\"]}%s}}",
            httpd_port (world->vm), buf_c (&domains), mode, mode,
            buf_c (&replicas));
  buf_free (&domains);
  buf_free (&replicas);
  world->ctl.cfg = cfg_parse (buf_str (&text), 1, &findings);
  fnd_print (&findings, &text);
  cr_assert (world->ctl.cfg, "%s", buf_c (&text));
  fnd_free (&findings);
  buf_free (&text);
}

/* Another node, if there is one, is home of "d" or of what is elsewhere. */
enum other
{
  ALONE,
  HOME_OF_D,
  HOME_ELSEWHERE
};

static void
join_other (enum other other)
{
  static const struct mbr_node node
      = { .name = STR ("n2"), .zone = STR ("z"), .region = STR ("r") };

  world->other = node;
  if (other == HOME_OF_D)
    world->self.zone = STR ("y");
  else
    world->other.zone = STR ("y");
  ctl_domains_on_members_changed (world->ctl.domains);
}

static void
start_world (const char *mode, enum other other)
{
  static const struct httpd_limits limits
      = { .max_body = 4096, .max_connections = 16, .request_ms = 5000 };
  struct net_addr any = run_any_port ();
  struct buf err = BUF_INIT;

  run_init (&world->run);
  latekv_init (&world->store, &world->run.loop);
  /* Fencing numbers of the logs begin at 11. */
  for (int i = 0; i < 10; i++)
    memkv_txn (world->store.kv, &(struct store_txn){ 0 });
  world->unloaded = true;
  world->self = (struct mbr_node){ .name = STR ("n1"),
                                   .zone = STR ("z"),
                                   .region = STR ("r") };
  world->vm
      = httpd_listen (&world->run.loop, &any, &limits, handle, NULL, &err);
  cr_assert_not_null (world->vm);
  world->ctl.loop = &world->run.loop;
  world->ctl.set.node = "n1";
  world->ctl.set.zone = "z";
  world->ctl.set.region = "r";
  world->ctl.set.store_prefix = "/lapisline/";
  world->ctl.boot = 7;
  world->ctl.met = met_new ();
  world->ctl.http = httpc_new (&world->run.loop);
  world->ctl.store = latekv_store (&world->store);
  make_config (mode, other == HOME_ELSEWHERE);
  world->ctl.domains = ctl_domains_start (&world->ctl, &err);
  if (other != ALONE)
    join_other (other);
  buf_free (&err);
}

static void
end_world (const char *expected)
{
  snprintf (world->phase, sizeof world->phase, "stopped");
  ctl_domains_stop (world->ctl.domains);
  store_free (world->ctl.store);
  httpd_free (world->vm);
  httpc_free (world->ctl.http);
  cfg_unref (world->ctl.cfg);
  run_end (&world->run, expected);
  met_free (world->ctl.met);
  latekv_destroy (&world->store);
}

static void
remote_evidence (const char *domain, const char *replica, struct str rest)
{
  Lapis__ReplicaView view = LAPIS__REPLICA_VIEW__INIT;
  Lapis__ReplicaView *views[1] = { &view };
  Lapis__Evidence e = LAPIS__EVIDENCE__INIT;
  int fence;
  char word[16];

  cr_assert_eq (sscanf (rest.ptr, "%d %15s", &fence, word), 2);
  view.replica = (char *)replica;
  view.whole = strcmp (word, "whole") == 0;
  view.generation = 3;
  view.valid_ms = 9000;
  view.leader_addr = "127.0.0.1:9";
  e.domain = (char *)domain;
  e.fence = (uint64_t)fence;
  e.seq = 1;
  e.n_replicas = 1;
  e.replicas = views;
  ctl_domains_on_evidence (world->ctl.domains, &e);
}

/* The short form, for the full one of a number; theirs is 1. */
static void
remote_short (struct str rest)
{
  uint32_t loads[2] = { 70, 71 };
  Lapis__Evidence e = LAPIS__EVIDENCE__INIT;
  int fence, age, n, of;

  cr_assert_eq (sscanf (rest.ptr, "%d %d %d %d", &fence, &age, &n, &of), 4);
  e.domain = "d";
  e.fence = (uint64_t)fence;
  e.full_seq = (uint64_t)of;
  e.age_ms = (uint32_t)age;
  e.n_loads = (size_t)n;
  e.loads = loads;
  ctl_domains_on_evidence (world->ctl.domains, &e);
}

static void
show (void)
{
  size_t n;
  const struct ctl_replica *r = ctl_domains_replicas (world->ctl.domains, &n);
  clk_ms left = r->valid_until - clk_now ();

  run_log (&world->run, "%s of %.*s fence %d load %u%s%s", r->state,
           STR_ARG (r->owner), (int)r->fence, r->load,
           left > REP_PROBE_VALID_MS ? " for too long" : "",
           left < REP_PROBE_VALID_MS / 2 ? " soon over" : "");
}

/* Turn the loop until a renewal is LATE_MS old, with the store down since. */
static void
let_renewals_fail (void)
{
  clk_ms before = world->store.renewed_at;

  while (world->store.renewed_at == before)
    uv_run (&world->run.loop, UV_RUN_ONCE);
  world->store.unavailable = true;
  while (clk_now () < world->store.renewed_at + LATE_MS)
    uv_run (&world->run.loop, UV_RUN_ONCE);
}

static void
pause_ms (clk_ms span)
{
  clk_ms until = clk_now () + span;

  while (clk_now () < until)
    uv_run (&world->run.loop, UV_RUN_ONCE);
}

static void
on_word (void *ctx, struct str word, struct str rest)
{
  if (str_is (word, "phase"))
    snprintf (world->phase, sizeof world->phase, "%.*s", STR_ARG (rest));
  else if (str_is (word, "store"))
    world->store.unavailable = str_is (rest, "down");
  else if (str_is (word, "blank"))
    {
      world->unloaded = true;
      world->replica[0] = 0;
      world->generation = 0;
    }
  else if (str_is (word, "ready"))
    world->unloaded = false;
  else if (str_is (word, "late"))
    let_renewals_fail ();
  else if (str_is (word, "freeze"))
    world->freeze = true;
  else if (str_is (word, "release"))
    {
      world->store.lease_lost = false;
      memkv_revoke (world->store.kv, world->store.last_lease);
    }
  else if (str_is (word, "remote"))
    remote_evidence ("d", "r1", rest);
  else if (str_is (word, "short"))
    remote_short (rest);
  else if (str_is (word, "peer"))
    {
      world->told_forms = true;
      ctl_domains_on_peer_linked (world->ctl.domains);
    }
  else if (str_is (word, "elsewhere"))
    for (unsigned i = 0; i < 5; i++)
      {
        char replica[] = { 'e', (char)('0' + i), 0 };

        remote_evidence (elsewhere[i], replica, rest);
      }
  else if (str_is (word, "pause"))
    pause_ms (4500);
  else if (str_is (word, "show"))
    show ();
}

/* Start a world and run a script in it; end_world() compares. */
static void
play (const char *mode, enum other other, const char *script)
{
  start_world (mode, other);
  run_script (&world->run, script, on_word, NULL);
}

TestSuite (domains, .timeout = 60);

/*
 * The store goes down under an owner.  Its lease runs out and with it the
 * right to order, while probes and evidence go on: a caller is served as long
 * as the replica is whole, and is not once its VM came back blank.  With the
 * store back, the owner loads the VM.
 */
Test (domains, store_down_stops_orders_not_evidence)
{
  play ("manage", ALONE,
        "phase a\n"
        "wait evidence whole of the owner a\n"
        "phase b\n store down\n"
        "wait evidence whole without a lease b\n"
        "phase c\n blank\n"
        "wait evidence broken without a lease c\n"
        "phase d\n store up\n"
        "wait evidence whole of the owner d\n");
  end_world ("evidence broken of the owner a\n"
             "load r1/1 fence 11 a\n"
             "evidence whole of the owner a\n"
             "evidence whole without a lease b\n"
             "evidence broken without a lease c\n"
             "evidence broken of the owner d\n"
             "load r1/1 fence 11 d\n"
             "evidence whole of the owner d\n");
}

/*
 * Renewals fail, the owner decides to load a blank VM while it still may, and
 * is stopped between the decision and the connection's being ready until its
 * right is over; another node gets the domain.  When it wakes, the connection
 * is there and the bytes would go: the question asked right then, with the
 * time read then, says no.
 */
Test (domains, frozen_before_sending)
{
  play ("manage", ALONE,
        "phase a\n"
        "wait evidence whole of the owner a\n"
        "phase b\n late\n freeze\n blank\n"
        "wait evidence broken without a lease b\n"
        "phase c\n release\n store up\n"
        "wait evidence whole of the owner c\n");
  end_world ("evidence broken of the owner a\n"
             "load r1/1 fence 11 a\n"
             "evidence whole of the owner a\n"
             "evidence broken of the owner b\n"
             "evidence broken without a lease b\n"
             "evidence broken of the owner c\n"
             "load r1/1 fence 13 c\n"
             "evidence whole of the owner c\n");
}

/* A replica of mode route is probed and told of, and nothing is ever asked of
   the store's leases nor of the VM, though it stands there without weights. */
Test (domains, route_is_evidence_only)
{
  play ("route", ALONE,
        "phase a\n"
        "wait evidence broken without a lease a\n"
        "phase b\n ready\n"
        "wait evidence whole without a lease b\n");
  cr_expect_eq (store_counts (world->ctl.store)->grants, 0);
  end_world ("evidence broken without a lease a\n"
             "evidence whole without a lease b\n");
}

/*
 * Another node is home.  An older owner, frozen and awake again, sends what it
 * saw before: its number is lower and it is ignored; so is evidence without a
 * number while the owner is heard.  No evidence counts for longer than its
 * time, whatever its sender says.
 */
Test (domains, evidence_of_an_old_owner_is_ignored)
{
  play ("manage", HOME_OF_D,
        "show\n remote 5 whole\n show\n remote 4 broken\n show\n"
        "remote 0 broken\n show\n remote 6 broken\n show\n");
  end_world ("unknown of n2 fence 0 load 0 soon over\n"
             "whole of n2 fence 5 load 0\n"
             "whole of n2 fence 5 load 0\n"
             "whole of n2 fence 5 load 0\n"
             "degraded of n2 fence 6 load 0\n");
}

/*
 * After an outage five domains of other owners wait for weights as well and
 * come first.  This owner has its lease and could load, but four of them are
 * loading: the weight store is left to them until they are whole.
 */
Test (domains, waits_for_its_turn_to_load)
{
  play ("manage", HOME_ELSEWHERE,
        "phase a\n"
        "wait evidence broken of the owner a\n"
        "pause\n phase b\n elsewhere 5 whole\n"
        "wait evidence whole of the owner b\n");
  end_world ("evidence broken of the owner a\n"
             "load r1/1 fence 11 b\n"
             "evidence whole of the owner b\n");
}

/*
 * The short form of evidence renews what the full one said and brings the
 * loads.  It says nothing by itself: of another owner, of other replicas, or
 * with evidence that is old, it must not keep a replica in service.
 */
Test (domains, short_evidence_renews)
{
  play ("manage", HOME_OF_D,
        "short 5 100 1 1\n show\n remote 5 whole\n"
        "short 5 2000 1 1\n show\n short 6 100 1 1\n show\n"
        "short 5 100 2 1\n show\n short 5 100 1 2\n show\n short 5 100 "
        "1 1\n show\n");
  end_world ("unknown of n2 fence 0 load 0 soon over\n"
             "whole of n2 fence 5 load 70 soon over\n"
             "whole of n2 fence 5 load 70 soon over\n"
             "whole of n2 fence 5 load 70 soon over\n"
             "whole of n2 fence 5 load 70 soon over\n"
             "whole of n2 fence 5 load 70\n");
}

/*
 * A node starts anew and links.  It has missed the full evidence and can do
 * nothing with the short form: were it told no more, its callers would hear
 * for up to five seconds that there is no replica, while the node is already
 * named in address answers.
 */
Test (domains, a_new_peer_is_told_in_full)
{
  play ("route", ALONE,
        "phase a\n ready\n wait evidence whole without a lease a\n"
        "peer\n wait full form\n wait full form\n wait full form\n"
        "wait short form\n");
  end_world ("evidence whole without a lease a\n"
             "full form\nfull form\nfull form\nshort form\n");
}
