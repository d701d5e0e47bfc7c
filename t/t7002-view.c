#include <criterion/criterion.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "t/lib-front.h"

#define SECRET "a secret of this test's processes"
#define TEXT "/v1/completions"

/** A gateway, its control process, and two VMs of one replica. */
struct node
{
  struct front f;
  struct proc *control;
  const char *settings;
  struct proc *spare; /**< a VM without weights in the same domain */
};

TestSuite (view, .fini = proc_stop_all, .timeout = 120);

static void
post_view (struct node *n, const char *view)
{
  struct web_answer a = { 0 };

  cr_assert (web_call (proc_addr (n->control, "http"), "POST", "/control/view",
                       NULL, view, &a));
  cr_assert_eq (a.status, 200);
  web_free (&a);
}

/** A managed replica in a domain of three VMs; the configuration does not list
    which two are its members. */
static const char *
config_text (const struct node *n)
{
  return proc_file (
      "conf/10-all.json",
      "{\"domains\":{\"hall-a-1\":{\"zone\":\"hall-a\",\"vms\":{"
      "\"vm-1\":{\"addr\":\"%s\"},\"vm-2\":{\"addr\":\"%s\"},"
      "\"vm-3\":{\"addr\":\"%s\"}}}},"
      "\"models\":{\"ghala-lm\":{\"mode\":\"manage\",\"vms\":2,"
      "\"replicas\":1,\"capacity\":16,\"tokens_per_s\":900}},"
      "\"replicas\":{\"ghala-lm-1\":{\"model\":\"ghala-lm\","
      "\"domain\":\"hall-a-1\",\"mode\":\"manage\"}},"
      "\"accounts\":{\"broker-app\":{\"may\":[\"*\"],\"key_digests\":["
      "\"%s\"]}},\"limits\":{\"address_ms\":1000}}",
      proc_addr (n->f.vm[0], "http"), proc_addr (n->f.vm[1], "http"),
      proc_addr (n->spare, "http"), front_digest ("broker-key"));
}

static char *
read_all (const char *path)
{
  static char text[8192];
  FILE *f = fopen (path, "r");

  cr_assert_not_null (f);
  text[fread (text, 1, sizeof text - 1, f)] = '\0';
  fclose (f);
  return text;
}

/** Send a view with the given head, the configuration, nodes and replica. */
static void
set_view (struct node *n, const char *head, const char *nodes,
          const char *replica)
{
  struct buf view = BUF_INIT;

  buf_addf (&view, "{%s,\"config\":%s,\"nodes\":[%s],\"replicas\":[%s]}", head,
            read_all (config_text (n)), nodes, replica);
  post_view (n, buf_c (&view));
  buf_free (&view);
}

static const char *
whole_replica (const struct node *n)
{
  static char text[512];

  snprintf (text, sizeof text,
            "{\"replica\":\"ghala-lm-1\",\"model\":\"ghala-lm\","
            "\"domain\":\"hall-a-1\",\"generation\":5,\"whole\":true,"
            "\"valid_ms\":3000,\"leader\":\"%s\"}",
            proc_addr (n->f.vm[0], "http"));
  return text;
}

static struct proc *
start_vm (void)
{
  return PROC_START_READY ("standin", "model", "--replica", "ghala-lm-1",
                           "--generation", "5");
}

static void
node_up (struct node *n)
{
  memset (n, 0, sizeof *n);
  n->f.vm[0] = start_vm ();
  n->f.vm[1] = start_vm ();
  n->spare = PROC_START_READY ("standin", "model", "--unloaded");
  n->control = PROC_START_READY ("standin", "control", "--secret", SECRET);
  proc_file ("secret.txt", "%s", SECRET);
  n->settings = proc_file (
      "settings.json",
      "{\"node\":\"entry-1\",\"zone\":\"hall-a\",\"region\":\"nairobi\","
      "\"gateway\":{\"http\":\"127.0.0.1:0\",\"peer\":\"127.0.0.1:0\"},"
      "\"control\":{\"swim\":\"127.0.0.1:0\",\"peer\":\"%s\","
      "\"admin\":\"127.0.0.1:0\"},"
      "\"store\":{\"endpoints\":[\"127.0.0.1:1\"]},"
      "\"secret_file\":\"secret.txt\",\"log\":{\"level\":\"error\"}}",
      proc_addr (n->control, "peer"));
  n->f.gateway
      = PROC_START_READY ("lapisline", "gateway", "--settings", n->settings);
  n->f.http = proc_addr (n->f.gateway, "http");
}

static bool
heard (struct node *n, const char *text)
{
  return web_poll_until (proc_addr (n->control, "http"), "/control/heard",
                         NULL, text, PROC_WAIT_MS);
}

/** Log the names of the nodes in an address response, in order. */
static void
log_addresses (struct node *n, struct buf *log)
{
  struct web_answer a = { 0 };
  json_object *o, *list = NULL, *name;

  web_call (n->f.http, "GET", "/v1/address?model=ghala-lm", FRONT_KEY, NULL,
            &a);
  o = json_tokener_parse (buf_c (&a.body));
  json_object_object_get_ex (o, "addresses", &list);
  buf_addf (log, "%d", a.status);
  for (size_t i = 0; list && i < json_object_array_length (list); i++)
    if (json_object_object_get_ex (json_object_array_get_idx (list, i), "node",
                                   &name))
      buf_addf (log, " %s", json_object_get_string (name));
  buf_add_char (log, '\n');
  json_object_put (o);
  web_free (&a);
}

#define NODE(name, zone, status, load)                                        \
  "{\"node\":\"" name "\",\"zone\":\"" zone "\",\"region\":\"nairobi\","      \
  "\"http\":\"127.0.0.1:80\",\"status\":" #status ",\"load\":" #load "}"
#define OTHERS                                                                \
  NODE ("entry-4", "hall-a", 1, 0)                                            \
  "," NODE ("entry-5", "hall-a", 2, 0) "," NODE ("entry-6", "hall-a", 3, 0)

/* Guards against address responses that name unusable nodes, as callers use a
   response until it expires.  Nodes that are suspected, draining or dead must
   not be listed, nor this node once it is draining.  The order is the own
   availability zone first, then by load. */
Test (view, addresses)
{
  struct node n;
  struct buf log = BUF_INIT;

  node_up (&n);
  set_view (&n, "\"revision\":7",
            NODE ("entry-3", "hall-b", 0, 0) "," NODE (
                "entry-1", "hall-a", 0, 0) "," NODE ("entry-2", "hall-a", 0,
                                                     500) "," OTHERS,
            whole_replica (&n));
  cr_assert (heard (&n, "\"revision\": 7"));
  log_addresses (&n, &log);
  set_view (&n, "\"revision\":8",
            NODE ("entry-3", "hall-b", 0, 0) "," NODE (
                "entry-1", "hall-a", 0, 900) "," NODE ("entry-2", "hall-a", 0,
                                                       500) "," OTHERS,
            whole_replica (&n));
  cr_assert (heard (&n, "\"revision\": 8"));
  log_addresses (&n, &log);
  set_view (&n, "\"revision\":8,\"leaving\":true",
            NODE ("entry-3", "hall-b", 0, 0) "," NODE ("entry-1", "hall-a", 0,
                                                       0) "," OTHERS,
            whole_replica (&n));
  cr_assert (heard (&n, "\"leaving\": true"));
  log_addresses (&n, &log);
  cr_expect_str_eq (buf_c (&log), "200 entry-1 entry-2 entry-3\n"
                                  "200 entry-2 entry-1 entry-3\n"
                                  "200 entry-3\n");
  buf_free (&log);
}

/* Guards against reverting to an older configuration: after revision 7, which
   arrives in two chunks, a control process that restarted with old state sends
   revision 6 without accounts.  Also guards against not adopting revision 8,
   whose text is unchanged and not sent again: a push of the configuration
   waits until each gateway reports its revision. */
Test (view, configuration_never_reverts)
{
  struct node n;
  struct buf log = BUF_INIT;

  node_up (&n);
  set_view (&n, "\"revision\":7,\"chunked\":true", "", whole_replica (&n));
  cr_assert (heard (&n, "\"revision\": 7"));
  front_log (&n.f, &log, "GET", "/v1/models", FRONT_KEY, NULL);
  post_view (&n, "{\"revision\":6,\"config\":{}}");
  front_log (&n.f, &log, "GET", "/v1/models", FRONT_KEY, NULL);
  post_view (&n, "{\"revision\":9,\"config\":{\"models\":7}}");
  front_log (&n.f, &log, "GET", "/v1/models", FRONT_KEY, NULL);
  set_view (&n, "\"revision\":8,\"same_text\":true", "", whole_replica (&n));
  cr_expect (heard (&n, "\"revision\": 8"));
  front_log (&n.f, &log, "GET", "/v1/models", FRONT_KEY, NULL);
  cr_expect_str_eq (buf_c (&log), "GET /v1/models -> 200 done -\n"
                                  "GET /v1/models -> 200 done -\n"
                                  "GET /v1/models -> 200 done -\n"
                                  "GET /v1/models -> 200 done -\n");
  buf_free (&log);
}

/** Repeat a request until the status is @p status; log the last response. */
static void
log_until (struct node *n, struct buf *log, int status)
{
  struct web_answer a = { 0 };

  for (int i = 0; i < PROC_WAIT_MS / 20 && a.status != status; i++)
    {
      web_free (&a);
      web_call (n->f.http, "POST", TEXT, FRONT_KEY,
                front_prompt ("p", false, 2), &a);
      usleep (20000);
    }
  front_log_answer (log, &a);
  web_free (&a);
}

/* Guards against an outage when the control process stops while its
   connections stay open: the probe results in the view expire after 3 s, and
   the gateway must have probed the members itself by then.  Also guards
   against requests to a replica that is not whole: it must be excluded when a
   member has another generation or is not ready, although its leader works.
   Neither the spare VM nor one that hangs may be counted as a member or delay
   the probes.  When the control process is back, its views are used again. */
Test (view, silent_control)
{
  struct node n;
  struct buf log = BUF_INIT;
  int refused = 0;

  node_up (&n);
  set_view (&n, "\"revision\":7", "", whole_replica (&n));
  log_until (&n, &log, 200);
  proc_signal (n.control, SIGSTOP);
  proc_signal (n.spare, SIGSTOP);
  for (int i = 0; i < 140; i++)
    {
      struct web_answer a = { 0 };
      web_call (n.f.http, "POST", TEXT, FRONT_KEY,
                front_prompt ("p", false, 2), &a);
      refused += a.status != 200;
      web_free (&a);
      usleep (50000);
    }
  cr_expect_eq (refused, 0);
  front_fault (n.f.vm[1], "{\"generation\": 4}");
  log_until (&n, &log, 503);
  int runs = front_count (n.f.vm[0], "runs");
  log_until (&n, &log, 503);
  cr_expect_eq (front_count (n.f.vm[0], "runs"), runs);
  front_fault (n.f.vm[1], "{\"generation\": 5}");
  log_until (&n, &log, 200);
  front_fault (n.f.vm[1], "{\"not_ready\": true}");
  proc_signal (n.spare, SIGCONT);
  log_until (&n, &log, 503);
  proc_signal (n.control, SIGCONT);
  log_until (&n, &log, 200);
  cr_expect_str_eq (buf_c (&log), "200 done -\n"
                                  "503 not-run no-replica\n"
                                  "503 not-run no-replica\n"
                                  "200 done -\n"
                                  "503 not-run no-replica\n"
                                  "200 done -\n");
  buf_free (&log);
}

/* Guards against requests to a replica with a member that hangs while its port
   accepts connections: with the control process stopped, the member's last
   probe result has to expire, as no probe of it completes any more. */
Test (view, silent_control_and_member)
{
  struct node n;
  struct buf log = BUF_INIT;

  node_up (&n);
  set_view (&n, "\"revision\":7", "", whole_replica (&n));
  log_until (&n, &log, 200);
  proc_signal (n.control, SIGSTOP);
  usleep (6000000); /* the gateway has probed the members itself */
  log_until (&n, &log, 200);
  proc_signal (n.f.vm[1], SIGSTOP);
  log_until (&n, &log, 503);
  proc_signal (n.f.vm[1], SIGCONT);
  log_until (&n, &log, 200);
  cr_expect_str_eq (buf_c (&log), "200 done -\n"
                                  "200 done -\n"
                                  "503 not-run no-replica\n"
                                  "200 done -\n");
  buf_free (&log);
}

/* Guards against an outage of managed replicas when a gateway restarts without
   a control process.  It has no list of their members or leaders; it must use
   the ranks that the members report, and only while these are complete (t7006
   has the cases). */
Test (view, restart_without_control)
{
  struct node n;
  struct buf log = BUF_INIT;

  node_up (&n);
  proc_signal (n.f.gateway, SIGKILL);
  proc_wait (n.f.gateway, PROC_WAIT_MS);
  proc_signal (n.control, SIGKILL);
  char *config = xstrdup (config_text (&n));
  *strrchr (config, '/') = '\0';
  n.f.gateway = PROC_START_READY ("lapisline", "gateway", "--settings",
                                  n.settings, "--config", config);
  free (config);
  n.f.http = proc_addr (n.f.gateway, "http");
  log_until (&n, &log, 503);
  front_fault (n.f.vm[0], "{\"rank\": 1}");
  front_fault (n.f.vm[1], "{\"rank\": 0}");
  log_until (&n, &log, 200);
  cr_expect_gt (front_count (n.f.vm[1], "runs"), 0);
  cr_expect_eq (front_count (n.f.vm[0], "runs"), 0, "it does not lead");
  front_fault (n.f.vm[0], "{\"rank\": 0}");
  log_until (&n, &log, 503);
  cr_expect_str_eq (buf_c (&log), "503 not-run no-replica\n"
                                  "200 done -\n"
                                  "503 not-run no-replica\n");
  buf_free (&log);
}

/* Guards against excluding a replica because of a single probe that timed out.
   Busy members do not respond to every other probe; the previous result is
   valid until the next one arrives, so no request may be refused. */
Test (view, late_answers_to_probes)
{
  struct front f;
  int refused = 0;

  front_up (&f, "", "");
  front_fault_both (f.vm, "{\"skip_states\": true}");
  for (int i = 0; i < 400; i++)
    {
      struct web_answer a = { 0 };
      web_call (f.http, "POST", TEXT, FRONT_KEY, front_prompt ("p", false, 2),
                &a);
      refused += a.status != 200;
      web_free (&a);
      usleep (10000);
    }
  cr_expect_eq (refused, 0);
}

/* Guards against missing spans: the gateway continues the caller's trace and
   returns a span for each hop to the control process.  Also guards against a
   shutdown that is reported late: on SIGTERM the gateway must report it
   immediately, as other nodes have no other way to detect it. */
Test (view, spans_and_leaving)
{
  struct node n;
  struct buf log = BUF_INIT;
  const char *trace = "0af7651916cd43dd8448eb211c80319c";
  char header[200], path[80];

  node_up (&n);
  set_view (&n, "\"revision\":7", "", whole_replica (&n));
  log_until (&n, &log, 200);
  snprintf (header, sizeof header,
            FRONT_KEY "traceparent: 00-%s-b7ad6b7169203331-01\r\n", trace);
  front_log (&n.f, &log, "POST", TEXT, header, front_prompt ("p", false, 2));
  snprintf (path, sizeof path, "/control/trace?%s", trace);
  const char *at = proc_addr (n.control, "http");
  cr_expect (web_poll_until (at, path, NULL, "gateway.receive", PROC_WAIT_MS));
  cr_expect (web_poll_until (at, path, NULL, "gateway.queue", PROC_WAIT_MS));
  cr_expect (web_poll_until (at, path, NULL, "gateway.attempt", PROC_WAIT_MS));
  cr_expect (
      web_poll_until (at, path, NULL, "b7ad6b7169203331", PROC_WAIT_MS));
  proc_signal (n.f.gateway, SIGTERM);
  cr_expect (heard (&n, "\"leaving\": true"));
  cr_expect_eq (proc_wait (n.f.gateway, PROC_WAIT_MS), 0);
  buf_free (&log);
}

/* Guards against 401 and 404 responses from an outdated configuration, which
   callers don't retry.  While no views arrive, a newer configuration with the
   key or the model may exist, so the gateway must respond with 503. */
Test (view, nothing_final_by_an_old_view)
{
  static const char unknown[] = "Authorization: Bearer other-key\r\n";
  static const char other_model[] = "{\"model\":\"other\",\"prompt\":\"p\"}";
  struct node n;
  struct buf log = BUF_INIT;

  node_up (&n);
  set_view (&n, "\"revision\":7", "", whole_replica (&n));
  log_until (&n, &log, 200);
  buf_clear (&log);
  front_log (&n.f, &log, "GET", "/v1/models", unknown, NULL);
  front_log (&n.f, &log, "POST", TEXT, FRONT_KEY, other_model);
  proc_signal (n.control, SIGSTOP);
  usleep (3000000);
  front_log (&n.f, &log, "GET", "/v1/models", unknown, NULL);
  front_log (&n.f, &log, "POST", TEXT, FRONT_KEY, other_model);
  front_log (&n.f, &log, "GET", "/v1/models", FRONT_KEY, NULL);
  proc_signal (n.control, SIGCONT);
  usleep (3000000);
  front_log (&n.f, &log, "GET", "/v1/models", unknown, NULL);
  cr_expect_str_eq (buf_c (&log),
                    "GET /v1/models -> 401 not-run unauthorized\n"
                    "POST " TEXT " -> 404 not-run no-target\n"
                    "GET /v1/models -> 503 not-run config-unconfirmed\n"
                    "POST " TEXT " -> 503 not-run config-unconfirmed\n"
                    "GET /v1/models -> 200 done -\n"
                    "GET /v1/models -> 401 not-run unauthorized\n",
                    "%s", buf_c (&log));
  buf_free (&log);
}
