/* An accepted configuration over control processes: which revision each has
   in force, as its metrics tell. */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/lib-proc.h"

#define MAX_NODES 8

/* Readers read the manifest again after 15 s at the earliest. */
#define BEFORE_READ_AGAIN_MS 10000

TestSuite (config_spread, .fini = proc_stop_all, .timeout = 90);

struct node
{
  struct proc *proc;
  const char *admin;
  const char *peer;
};

struct fleet
{
  const char *store;
  const char *store_control;
  struct node nodes[MAX_NODES];
  int n;
};

static void
start_store (struct fleet *f)
{
  struct proc *p
      = PROC_START_READY ("standin", "store", "--listen", "127.0.0.1:0");

  f->store = proc_addr (p, "http");
  f->store_control = proc_addr (p, "control");
  proc_file ("secret.txt", "one secret for all nodes\n");
}

static void
set_store (const struct fleet *f, const char *json)
{
  struct web_answer a = { 0 };

  cr_assert (
      web_call (f->store_control, "POST", "/control/set", NULL, json, &a));
  cr_assert_eq (a.status, 200);
  web_free (&a);
}

/** One more node in @p zone, which joins through the first. */
static void
start_node (struct fleet *f, const char *zone)
{
  struct node *node = &f->nodes[f->n];
  char name[32];
  const char *path;

  snprintf (name, sizeof name, "entry-%d.json", f->n);
  path = proc_file (
      name,
      "{ \"node\": \"entry-%d\", \"zone\": \"%s\", \"region\": \"r\",\n"
      "  \"control\": { \"swim\": \"127.0.0.1:0\",\n"
      "    \"peer\": \"127.0.0.1:0\", \"admin\": \"127.0.0.1:0\" },\n"
      "  \"store\": { \"endpoints\": [\"%s\"] }, \"peers\": [%s%s%s],\n"
      "  \"secret_file\": \"secret.txt\", \"log\": { \"level\": \"error\" } }",
      f->n, zone, f->store, f->n ? "\"" : "", f->n ? f->nodes[0].peer : "",
      f->n ? "\"" : "");
  node->proc = PROC_START_READY ("lapisline", "control", "--settings", path);
  node->admin = proc_addr (node->proc, "admin");
  node->peer = proc_addr (node->proc, "peer");
  f->n++;
}

/** Push a folder with one model of @p vms VMs; the accepted revision. */
static long
push (const struct fleet *f, int vms)
{
  static const char mark[] = "accepted at revision ";
  struct buf out = BUF_INIT;
  const char *at;
  long revision;

  char folder[512];

  snprintf (folder, sizeof folder, "%s/folder", proc_dir ());
  proc_file ("folder/10-models.json",
             "{ \"models\": { \"m\": { \"mode\": \"observe\", \"vms\": %d } } "
             "}\n",
             vms);
  PROC_RUN (&out, "lapisline", "config", "push", folder, "--store", f->store,
            "--who", "amina");
  at = strstr (buf_c (&out), mark);
  cr_assert_not_null (at, "%s", buf_c (&out));
  revision = atol (at + sizeof mark - 1);
  buf_free (&out);
  return revision;
}

static void
expect_in_force (const struct fleet *f, int node, long revision, int wait_ms)
{
  char text[64];

  snprintf (text, sizeof text, "lapisline_control_config_revision %ld\n",
            revision);
  cr_expect (
      web_poll_until (f->nodes[node].admin, "/metrics", NULL, text, wait_ms),
      "node %d has not revision %ld", node, revision);
}

Test (config_spread, to_all_also_when_watches_end)
{
  /* Six nodes of two zones; two of each zone read the store.  All watches are
     cut, and the next push still reaches every node. */
  struct fleet f = { 0 };
  long revision;

  start_store (&f);
  for (int i = 0; i < 6; i++)
    start_node (&f, i % 2 ? "hall-b" : "hall-a");
  revision = push (&f, 1);
  for (int i = 0; i < f.n; i++)
    expect_in_force (&f, i, revision, PROC_WAIT_MS);
  set_store (&f, "{\"drop_watches\": true}");
  revision = push (&f, 2);
  for (int i = 0; i < f.n; i++)
    expect_in_force (&f, i, revision, BEFORE_READ_AGAIN_MS);
}

Test (config_spread, booted_while_the_store_is_down)
{
  /* The store is gone when a node starts: it gets the document from its peers
     all the same, and a restarted one its own again. */
  struct fleet f = { 0 };
  long revision;

  start_store (&f);
  start_node (&f, "hall-a");
  start_node (&f, "hall-a");
  revision = push (&f, 3);
  expect_in_force (&f, 0, revision, PROC_WAIT_MS);
  expect_in_force (&f, 1, revision, PROC_WAIT_MS);
  set_store (&f, "{\"down\": true, \"mode\": \"refuse\"}");
  start_node (&f, "hall-a");
  start_node (&f, "hall-b");
  expect_in_force (&f, 2, revision, PROC_WAIT_MS);
  expect_in_force (&f, 3, revision, PROC_WAIT_MS);
}

Test (config_spread, zone_that_comes_back)
{
  /* A whole zone stops while two revisions are accepted.  Its nodes wake with
     the old one and messages of the time before; they go to the last one, and
     nobody goes back. */
  struct fleet f = { 0 };
  long revision;

  start_store (&f);
  for (int i = 0; i < 6; i++)
    start_node (&f, i < 3 ? "hall-a" : "hall-b");
  revision = push (&f, 1);
  for (int i = 0; i < f.n; i++)
    expect_in_force (&f, i, revision, PROC_WAIT_MS);
  for (int i = 3; i < 6; i++)
    proc_signal (f.nodes[i].proc, SIGSTOP);
  push (&f, 2);
  revision = push (&f, 3);
  for (int i = 0; i < 3; i++)
    expect_in_force (&f, i, revision, PROC_WAIT_MS);
  for (int i = 3; i < 6; i++)
    proc_signal (f.nodes[i].proc, SIGCONT);
  for (int i = 0; i < f.n; i++)
    expect_in_force (&f, i, revision, PROC_WAIT_MS);
}
