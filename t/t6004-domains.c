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

/* control/domains.c with a real event loop and a real backend server, and a
   store in memory.  Membership and peer links are stubbed.  Lines of the log
   end with the phase of the script in which they were written. */

/* Time after a renewal at which the owner must send no orders: two thirds of
   the lease, plus a margin. */
#define ORDER_TIME_MS ((clk_ms)4050)
/* Time after a renewal: late enough that the owner's time for orders ends
   before an order's deadline, early enough for a probe and an order. */
#define RENEWAL_AGE_MS ((clk_ms)2300)

struct fixture
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
  bool whole; /* by the last full evidence */
  bool suspend_next;
  bool log_forms;      /* full or short */
  char rejected[8];    /* method of requests that the VM rejects */
  char retry_after[8]; /* in its rejections */
  clk_ms paused_until; /* end of the pause that it has asked for */
  int during_pause;    /* requests that arrived in it */
  bool leaving;        /* it announces its shutdown in all responses */
};

static struct fixture the_fixture;
static struct fixture *const fixture = &the_fixture;

/* Stubs of membership and links. */

const struct mbr_node *const *
ctl_swim_nodes (const struct ctl_swim *s, size_t *n)
{
  static const struct mbr_node *nodes[2];

  nodes[0] = &fixture->self;
  nodes[1] = &fixture->other;
  *n = fixture->other.name.len ? 2 : 1;
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

  /* Short evidence extends the validity of the last full evidence. */
  if (!e->full_seq)
    fixture->whole = e->n_replicas && e->replicas[0]->whole;
  whole = fixture->whole;
  if (fixture->log_forms)
    run_log (&fixture->run, "%s form", e->full_seq ? "short" : "full");

  snprintf (line, sizeof line, "evidence %s %s", whole ? "whole" : "broken",
            e->fence ? "of the owner" : "without a lease");
  if (strcmp (line, fixture->last_evidence))
    run_log (&fixture->run, "%s %s", line, fixture->phase);
  memcpy (fixture->last_evidence, line, sizeof line);
  if (fixture->suspend_next && !whole)
    {
      clk_ms left = fixture->store.renewed_at + ORDER_TIME_MS - clk_now ();

      fixture->suspend_next = false;
      fixture->store.lease_lost = true;
      usleep ((useconds_t)(left > 0 ? 1000 * left : 0));
    }
}

/* The backend server. */

static void
execute_order (struct str body)
{
  char *text = str_dup (body);
  json_object *o = json_tokener_parse (text);
  const char *order
      = json_object_get_string (json_object_object_get (o, "order"));

  snprintf (fixture->replica, sizeof fixture->replica, "%s",
            json_object_get_string (json_object_object_get (o, "replica")));
  fixture->generation
      = json_object_get_int64 (json_object_object_get (o, "generation"));
  fixture->unloaded = strcmp (order, "unload") == 0;
  run_log (&fixture->run, "%s %s/%d fence %d %s", order, fixture->replica,
           (int)fixture->generation,
           json_object_get_int (json_object_object_get (o, "fence")),
           fixture->phase);
  json_object_put (o);
  free (text);
}

/* Rejects the request if the script says so. */
static bool
reject (struct httpd_req *req)
{
  struct http_header pause
      = { STR ("retry-after"), str_from (fixture->retry_after) };

  fixture->during_pause += clk_now () < fixture->paused_until;
  if (!str_is (httpd_get (req)->method, fixture->rejected))
    return false;
  fixture->paused_until
      = clk_now () + (clk_ms)(1000 * atof (fixture->retry_after));
  run_log (&fixture->run, "%s rejected %s", fixture->rejected, fixture->phase);
  httpd_answer (req, 503, &pause, 1, STR (""));
  return true;
}

static void
handle (void *ctx, struct httpd_req *req)
{
  struct http_header leaving = { STR ("server-leaving"), STR ("1") };
  char state[160];

  if (reject (req))
    return;
  if (str_is (httpd_get (req)->method, "POST"))
    {
      execute_order (httpd_get (req)->body);
      httpd_answer (req, 200, NULL, 0, STR ("{\"ok\":true}"));
      return;
    }
  snprintf (state, sizeof state,
            "{\"replica\":\"%s\",\"generation\":%d,\"ready\":%s,"
            "\"unloaded\":%s,\"load\":0,\"fence\":0}",
            fixture->replica, (int)fixture->generation,
            fixture->unloaded ? "false" : "true",
            fixture->unloaded ? "true" : "false");
  httpd_answer (req, 200, &leaving, fixture->leaving, str_from (state));
}

/* Scripts. */

/* Five domains of zone y, which precede "d" in the order of weight loads. */
static const char *const other_domains[] = { "f", "i", "u", "y", "e1" };

static void
add_other_domains (struct buf *domains, struct buf *replicas)
{
  for (unsigned i = 0; i < 5; i++)
    {
      buf_addf (domains,
                ",\"%s\":{\"zone\":\"y\",\"vms\":{\"x%u\":{\"addr\":"
                "\"127.0.0.1:%u\"}}}",
                other_domains[i], i, i + 1);
      buf_addf (replicas,
                ",\"e%u\":{\"model\":\"m\",\"domain\":\"%s\",\"mode\":"
                "\"manage\",\"vms\":[\"x%u\"]}",
                i, other_domains[i], i);
    }
}

static void
make_config (const char *mode, bool more)
{
  struct fnd_list findings = { 0 };
  struct buf text = BUF_INIT, domains = BUF_INIT, replicas = BUF_INIT;

  if (more)
    add_other_domains (&domains, &replicas);
  buf_addf (&text,
            "{\"domains\":{\"d\":{\"zone\":\"z\",\"checks_fence\":true,"
            "\"vms\":{\"v1\":{\"addr\":\"127.0.0.1:%u\"}}}%s},"
            "\"models\":{\"m\":{\"mode\":\"%s\",\"vms\":1,\"replicas\":1,"
            "\"weight_gb\":1,\"capacity\":4,\"tokens_per_s\":100}},"
            "\"replicas\":{\"r1\":{\"model\":\"m\",\"domain\":\"d\","
            "\"mode\":\"%s\",\"vms\":[\"v1\"]}%s}}",
            httpd_port (fixture->vm), buf_c (&domains), mode, mode,
            buf_c (&replicas));
  buf_free (&domains);
  buf_free (&replicas);
  fixture->ctl.cfg = cfg_parse (buf_str (&text), 1, &findings);
  fnd_print (&findings, &text);
  cr_assert (fixture->ctl.cfg, "%s", buf_c (&text));
  fnd_free (&findings);
  buf_free (&text);
}

/* Whether there is another node, and which domains have it as home. */
enum other
{
  ALONE,
  HOME_OF_D,
  HOME_OF_OTHERS
};

static void
join_other (enum other other)
{
  static const struct mbr_node node
      = { .name = STR ("n2"), .zone = STR ("z"), .region = STR ("r") };

  fixture->other = node;
  if (other == HOME_OF_D)
    fixture->self.zone = STR ("y");
  else
    fixture->other.zone = STR ("y");
  ctl_domains_on_members_changed (fixture->ctl.domains);
}

static void
start_fixture (const char *mode, enum other other)
{
  static const struct httpd_limits limits
      = { .max_body = 4096, .max_connections = 16, .request_ms = 5000 };
  struct net_addr any = run_any_loopback ();
  struct buf err = BUF_INIT;

  run_init (&fixture->run);
  latekv_init (&fixture->store, &fixture->run.loop);
  /* Fencing numbers in the logs start at 11. */
  for (int i = 0; i < 10; i++)
    memkv_txn (fixture->store.kv, &(struct store_txn){ 0 });
  fixture->unloaded = true;
  fixture->self = (struct mbr_node){ .name = STR ("n1"),
                                     .zone = STR ("z"),
                                     .region = STR ("r") };
  fixture->vm
      = httpd_listen (&fixture->run.loop, &any, &limits, handle, NULL, &err);
  cr_assert_not_null (fixture->vm);
  fixture->ctl.loop = &fixture->run.loop;
  fixture->ctl.set.node = "n1";
  fixture->ctl.set.zone = "z";
  fixture->ctl.set.region = "r";
  fixture->ctl.set.store_prefix = "/lapisline/";
  fixture->ctl.boot = 7;
  fixture->ctl.met = met_new ();
  fixture->ctl.http = httpc_new (&fixture->run.loop);
  fixture->ctl.store = latekv_store (&fixture->store);
  make_config (mode, other == HOME_OF_OTHERS);
  fixture->ctl.domains = ctl_domains_start (&fixture->ctl, &err);
  if (other != ALONE)
    join_other (other);
  buf_free (&err);
}

static void
end_fixture (const char *expected)
{
  snprintf (fixture->phase, sizeof fixture->phase, "stopped");
  ctl_domains_stop (fixture->ctl.domains);
  store_free (fixture->ctl.store);
  httpd_free (fixture->vm);
  httpc_free (fixture->ctl.http);
  cfg_unref (fixture->ctl.cfg);
  run_end (&fixture->run, expected);
  met_free (fixture->ctl.met);
  latekv_destroy (&fixture->store);
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
  ctl_domains_on_evidence (fixture->ctl.domains, &e);
}

/* Short evidence; @p rest names the full evidence, whose number here is 1. */
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
  ctl_domains_on_evidence (fixture->ctl.domains, &e);
}

static void
log_replica (void)
{
  size_t n;
  const struct ctl_replica *r
      = ctl_domains_replicas (fixture->ctl.domains, &n);
  clk_ms left = r->valid_until - clk_now ();

  run_log (&fixture->run, "%s of %.*s fence %d load %u%s%s", r->state,
           STR_ARG (r->owner), (int)r->fence, r->load,
           left > REP_PROBE_VALID_MS ? " for too long" : "",
           left < REP_PROBE_VALID_MS / 2 ? " soon over" : "");
}

/* Run the loop until a renewal is RENEWAL_AGE_MS old, with the store down
   since then. */
static void
fail_renewals (void)
{
  clk_ms before = fixture->store.renewed_at;

  while (fixture->store.renewed_at == before)
    uv_run (&fixture->run.loop, UV_RUN_ONCE);
  fixture->store.unavailable = true;
  while (clk_now () < fixture->store.renewed_at + RENEWAL_AGE_MS)
    uv_run (&fixture->run.loop, UV_RUN_ONCE);
}

static void
run_loop_for (clk_ms span)
{
  clk_ms until = clk_now () + span;

  while (clk_now () < until)
    uv_run (&fixture->run.loop, UV_RUN_ONCE);
}

/* "METHOD SECONDS"; with "none", no requests are rejected. */
static void
set_rejected (struct str rest)
{
  fixture->rejected[0] = fixture->retry_after[0] = '\0';
  sscanf (rest.ptr, "%7s %7[0-9.]", fixture->rejected, fixture->retry_after);
}

/* Steps that need explanation: late: fail_renewals(); freeze: suspend this
   process at the next incomplete evidence until the owner's time for orders is
   over; release: the store ends the lease; elsewhere: remote evidence about
   the other domains. */
static void
run_step (void *ctx, struct str word, struct str rest)
{
  if (str_is (word, "phase"))
    snprintf (fixture->phase, sizeof fixture->phase, "%.*s", STR_ARG (rest));
  else if (str_is (word, "store"))
    fixture->store.unavailable = str_is (rest, "down");
  else if (str_is (word, "blank"))
    {
      fixture->unloaded = true;
      fixture->replica[0] = 0;
      fixture->generation = 0;
    }
  else if (str_is (word, "ready"))
    fixture->unloaded = false;
  else if (str_is (word, "late"))
    fail_renewals ();
  else if (str_is (word, "freeze"))
    fixture->suspend_next = true;
  else if (str_is (word, "release"))
    {
      fixture->store.lease_lost = false;
      memkv_revoke (fixture->store.kv, fixture->store.last_lease);
    }
  else if (str_is (word, "remote"))
    remote_evidence ("d", "r1", rest);
  else if (str_is (word, "short"))
    remote_short (rest);
  else if (str_is (word, "peer"))
    {
      fixture->log_forms = true;
      ctl_domains_on_peer_linked (fixture->ctl.domains);
    }
  else if (str_is (word, "elsewhere"))
    for (unsigned i = 0; i < 5; i++)
      {
        char replica[] = { 'e', (char)('0' + i), 0 };

        remote_evidence (other_domains[i], replica, rest);
      }
  else if (str_is (word, "pause"))
    run_loop_for (4500);
  else if (str_is (word, "reject"))
    set_rejected (rest);
  else if (str_is (word, "count"))
    run_log (&fixture->run, "%d in pauses %s", fixture->during_pause,
             fixture->phase);
  else if (str_is (word, "leave") || str_is (word, "stay"))
    fixture->leaving = str_is (word, "leave");
  else if (str_is (word, "show"))
    log_replica ();
}

/* Start the fixture and run a script; end_fixture() compares the log. */
static void
run_fixture (const char *mode, enum other other, const char *script)
{
  start_fixture (mode, other);
  run_script (&fixture->run, script, run_step, NULL);
}

TestSuite (domains, .timeout = 60);

/*
 * The store goes down.  The owner's lease expires and it may send no orders,
 * while probes and evidence continue: the replica serves as long as it is
 * complete, and stops once its VM has returned blank.  When the store is back,
 * the owner loads the VM.
 */
Test (domains, store_down_stops_orders_but_not_evidence)
{
  run_fixture ("manage", ALONE,
               "phase a\n"
               "wait evidence whole of the owner a\n"
               "phase b\n store down\n"
               "wait evidence whole without a lease b\n"
               "phase c\n blank\n"
               "wait evidence broken without a lease c\n"
               "phase d\n store up\n"
               "wait evidence whole of the owner d\n");
  end_fixture ("evidence broken of the owner a\n"
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
 * is suspended between that decision and the completion of the connection
 * until its lease is over.  Another node takes the domain.  When the owner
 * resumes, the connection is ready: own_may_order() with the current time must
 * prevent the order from being sent.
 */
Test (domains, suspended_before_sending)
{
  run_fixture ("manage", ALONE,
               "phase a\n"
               "wait evidence whole of the owner a\n"
               "phase b\n late\n freeze\n blank\n"
               "wait evidence broken without a lease b\n"
               "phase c\n release\n store up\n"
               "wait evidence whole of the owner c\n");
  end_fixture ("evidence broken of the owner a\n"
               "load r1/1 fence 11 a\n"
               "evidence whole of the owner a\n"
               "evidence broken of the owner b\n"
               "evidence broken without a lease b\n"
               "evidence broken of the owner c\n"
               "load r1/1 fence 13 c\n"
               "evidence whole of the owner c\n");
}

/* A replica of mode route is probed and reported, but no lease is requested
   and no order sent, although its VM holds no weights. */
Test (domains, route_mode_sends_evidence_only)
{
  run_fixture ("route", ALONE,
               "phase a\n"
               "wait evidence broken without a lease a\n"
               "phase b\n ready\n"
               "wait evidence whole without a lease b\n");
  cr_expect_eq (store_counts (fixture->ctl.store)->grants, 0);
  end_fixture ("evidence broken without a lease a\n"
               "evidence whole without a lease b\n");
}

/*
 * Another node is home.  A previous owner resumes after a suspension and sends
 * old evidence: its fencing number is lower, so the evidence is ignored; so is
 * evidence without a number while the owner sends.  Evidence is never valid
 * for longer than REP_PROBE_VALID_MS, whatever time its sender states.
 */
Test (domains, evidence_of_previous_owner_is_ignored)
{
  run_fixture ("manage", HOME_OF_D,
               "show\n remote 5 whole\n show\n remote 4 broken\n show\n"
               "remote 0 broken\n show\n remote 6 broken\n show\n");
  end_fixture ("unknown of n2 fence 0 load 0 soon over\n"
               "whole of n2 fence 5 load 0\n"
               "whole of n2 fence 5 load 0\n"
               "whole of n2 fence 5 load 0\n"
               "degraded of n2 fence 6 load 0\n");
}

/*
 * After an outage, five domains of other owners also wait to load weights and
 * precede this one.  This owner has its lease and could load, but four of the
 * others are loading, so it waits until they are complete.
 */
Test (domains, load_waits_for_other_domains)
{
  run_fixture ("manage", HOME_OF_OTHERS,
               "phase a\n"
               "wait evidence broken of the owner a\n"
               "pause\n phase b\n elsewhere 5 whole\n"
               "wait evidence whole of the owner b\n");
  end_fixture ("evidence broken of the owner a\n"
               "load r1/1 fence 11 b\n"
               "evidence whole of the owner b\n");
}

/* Guards against state probes to a VM that has asked this process for a pause;
   its replica is not used without evidence. */
Test (domains, paused_vm_gets_no_probes)
{
  run_fixture ("manage", ALONE,
               "phase a\n"
               "wait evidence whole of the owner a\n"
               "phase b\n reject GET 4\n"
               "wait evidence broken of the owner b\n"
               "phase c\n reject none\n"
               "wait evidence whole of the owner c\n count\n");
  end_fixture ("evidence broken of the owner a\n"
               "load r1/1 fence 11 a\n"
               "evidence whole of the owner a\n"
               "GET rejected b\n"
               "evidence broken of the owner b\n"
               "evidence whole of the owner c\n"
               "0 in pauses c\n");
}

/* Guards against orders to a VM in its pause; the order follows after it. */
Test (domains, paused_vm_gets_no_orders)
{
  run_fixture ("manage", ALONE,
               "phase a\n reject POST 2.5\n"
               "wait POST rejected a\n"
               "phase b\n reject none\n"
               "wait evidence whole of the owner b\n count\n");
  end_fixture ("evidence broken of the owner a\n"
               "POST rejected a\n"
               "load r1/1 fence 11 b\n"
               "evidence whole of the owner b\n"
               "0 in pauses b\n");
}

/* Guards against a VM that announces its shutdown in responses only: its
   replica drains until another process responds there. */
Test (domains, leaving_vm_is_drained)
{
  run_fixture ("manage", ALONE,
               "phase a\n"
               "wait evidence whole of the owner a\n show\n"
               "leave\n pause\n show\n"
               "stay\n pause\n show\n");
  end_fixture ("evidence broken of the owner a\n"
               "load r1/1 fence 11 a\n"
               "evidence whole of the owner a\n"
               "whole of n1 fence 11 load 0\n"
               "draining of n1 fence 11 load 0\n"
               "whole of n1 fence 11 load 0\n");
}

/*
 * Short evidence renews the full evidence and carries the loads.  It must not
 * keep a replica in service if it is from another owner, about another set of
 * replicas, or old.
 */
Test (domains, short_evidence_renews_full_evidence)
{
  run_fixture ("manage", HOME_OF_D,
               "short 5 100 1 1\n show\n remote 5 whole\n"
               "short 5 2000 1 1\n show\n short 6 100 1 1\n show\n"
               "short 5 100 2 1\n show\n short 5 100 1 2\n show\n short 5 100 "
               "1 1\n show\n");
  end_fixture ("unknown of n2 fence 0 load 0 soon over\n"
               "whole of n2 fence 5 load 70 soon over\n"
               "whole of n2 fence 5 load 70 soon over\n"
               "whole of n2 fence 5 load 70 soon over\n"
               "whole of n2 fence 5 load 70 soon over\n"
               "whole of n2 fence 5 load 70\n");
}

/*
 * A starting node connects after the last full evidence was sent and can't use
 * the short form.  Without full evidence its callers would get "no replica"
 * for up to five seconds, although address responses already list the node.
 */
Test (domains, new_peer_receives_full_evidence)
{
  run_fixture ("route", ALONE,
               "phase a\n ready\n wait evidence whole without a lease a\n"
               "peer\n wait full form\n wait full form\n wait full form\n"
               "wait short form\n");
  end_fixture ("evidence whole without a lease a\n"
               "full form\nfull form\nfull form\nshort form\n");
}
