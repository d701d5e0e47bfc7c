/* Data that a node reads: events of a stream, the list of backend servers,
   and the platform's configuration format. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"
#include "serve/backends.h"
#include "serve/server-list.h"
#include "serve/split.h"

/* Events split at arbitrary points are passed on complete, and each id
   once. */
Test (split, events_reassembled_from_chunks)
{
  static const char text[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                             "id: 2\ndata: again\n\nid: 3\ndata: c\n\nid: 4";
  static const char expected[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                                 "id: 3\ndata: c\n\n";

  for (size_t size = 1; size < sizeof text; size++)
    {
      struct spl s = { 0 };
      struct buf out = BUF_INIT;
      struct str left = STR (text);
      for (; left.len > 0; left = str_skip (left, size))
        spl_feed (&s, str_head (left, size), &out);
      cr_expect_str_eq (buf_c (&out), expected, "chunks of %zu: %s", size,
                        buf_c (&out));
      cr_expect_eq (s.last_id, 3);
      buf_free (&out);
      spl_free (&s);
    }
}

static void
make_entry (struct bks_entry *e, const char *id, bool draining)
{
  *e = (struct bks_entry){ .id = str_from (id),
                           .service = STR ("app"),
                           .capacity = 4,
                           .draining = draining };
}

static void
expect_ids (const struct bks *b, const char *expected)
{
  struct buf text = BUF_INIT;
  size_t n;
  const struct bks_server *const *list = bks_list (b, &n);

  for (size_t i = 0; i < n; i++)
    buf_addf (&text, "%.*s ", STR_ARG (list[i]->e.id));
  cr_expect_str_eq (buf_c (&text), expected, "%s", buf_c (&text));
  buf_free (&text);
}

/*
 * Guards against dropping live servers whose entries expired during an outage
 * of the store.  Servers missing from the first lists after its return are
 * kept for about 2 s; a server that is missing later, or without an outage, is
 * removed at once.
 */
Test (backends, expired_entries_are_kept_during_recovery)
{
  struct bks *b = bks_new ();
  struct bks_entry e[3];

  make_entry (&e[0], "a", false);
  make_entry (&e[1], "b", false);
  make_entry (&e[2], "c", false);
  cr_expect (bks_update (b, 1000, 1000, e, 3));
  cr_expect_not (bks_update (b, 2000, 2000, e, 3));
  cr_expect (bks_update (b, 3000, 3000, e, 2));
  expect_ids (b, "a b ");
  bks_read_failed (b, 4000);
  bks_update (b, 9000, 9000, e, 1);
  expect_ids (b, "a b ");
  cr_expect_not (bks_is_stable (b, 9500));
  bks_update (b, 11100, 11100, e, 1);
  expect_ids (b, "a b ");
  cr_expect (bks_update (b, 11300, 11300, e, 1));
  expect_ids (b, "a ");
  cr_expect (bks_is_stable (b, 11300));
  bks_free (b);
}

/* Applying the changes that another node sends results in the same list. */
Test (backends, changes_produce_the_same_list)
{
  struct bks *from = bks_new (), *to = bks_new ();
  struct bks_entry e[3];
  const struct str *removed;
  uint64_t version;
  size_t n;

  make_entry (&e[0], "a", false);
  make_entry (&e[1], "b", false);
  bks_update (from, 1000, 1000, e, 2);
  bks_update (to, 1000, 1000, e, 2);
  version = bks_version (from);
  make_entry (&e[1], "c", false);
  make_entry (&e[0], "a", true);
  bks_update (from, 2000, 2000, e, 2);
  cr_assert (bks_removed_since (from, version, &removed, &n));
  cr_expect_eq (n, 1);
  cr_expect (bks_apply_changes (to, 2000, 2000, e, 2, removed, n));
  expect_ids (to, "a c ");
  cr_expect (bks_find (to, STR ("a"))->e.draining);
  bks_free (from);
  bks_free (to);
}

#define SERVICE_WITH_SIZE(size)                                               \
  "\"services\": [{\"name\": \"lm\", \"engine\": {\"capacity\": 8, "          \
  "\"models\": [{\"name\": \"m\", \"size\": " size                            \
  "}]}}, {\"name\": \"app\"}]"
#define SERVICE SERVICE_WITH_SIZE ("2")

static struct str
entry_json (char *out, size_t size, const char *id, const char *rest)
{
  return str_make (
      out,
      (size_t)snprintf (out, size,
                        "{\"service\":\"lm\",\"address\":\"10.0.0.1:80\","
                        "\"zone\":\"z1\",\"version\":\"v1\",\"seq\":1,"
                        "\"cold_left_ms\":0,\"capacity\":8,\"state\":\"%s\","
                        "\"models\":[{\"name\":\"m\"}],"
                        "\"group\":{\"name\":\"r1\",\"epoch\":5,%s}}",
                        strcmp (id, "d") == 0 ? "draining" : "ready", rest));
}

/* A replica takes requests only while all its members are listed as ready
   in its generation and none of them drains. */
Test (backends, replica_accepts_only_when_complete)
{
  struct fnd_list findings = { 0 };
  struct tbl *t
      = plt_parse_config (STR ("{\"version\": 1, " SERVICE "}"), &findings);
  struct bks *b = bks_new ();
  struct arena text = { 0 };
  struct bks_entry e[2];
  char json[512];
  size_t n;

  cr_assert_not_null (t);
  cr_assert (plt_parse_server (
      STR ("servers/h"),
      entry_json (json, sizeof json, "h", "\"rank\":0,\"state\":\"open\""),
      &text, &e[0], NULL));
  bks_update (b, 1000, 1000, e, 1);
  cr_expect_not (bks_endpoints (b, t, NULL, &n)[0].accepting);
  cr_expect_eq (n, 1);
  cr_assert (plt_parse_server (
      STR ("servers/k"),
      entry_json (json, sizeof json, "k", "\"rank\":1,\"state\":\"ready\""),
      &text, &e[1], NULL));
  bks_update (b, 2000, 2000, e, 2);
  cr_expect (bks_endpoints (b, t, NULL, &n)[0].accepting);
  cr_assert (plt_parse_server (
      STR ("servers/k"),
      entry_json (json, sizeof json, "d", "\"rank\":1,\"state\":\"ready\""),
      &text, &e[1], NULL));
  bks_update (b, 3000, 3000, e, 2);
  cr_expect_not (bks_endpoints (b, t, NULL, &n)[0].accepting);
  arena_free (&text);
  bks_free (b);
  tbl_unref (t);
}

static const char LEADER[] = "\"rank\":0,\"state\":\"open\"";
static const char MEMBER[] = "\"rank\":1,\"state\":\"ready\"";

/*
 * Guards against excluding a working replica because one member cannot reach
 * the store and its entry expires.  The replica is excluded only when the
 * member is listed as draining or in another replica.
 */
Test (backends, complete_replica_survives_an_expired_entry)
{
  struct fnd_list findings = { 0 };
  struct tbl *t
      = plt_parse_config (STR ("{\"version\": 1, " SERVICE "}"), &findings);
  struct bks *b = bks_new ();
  struct arena text = { 0 };
  struct bks_entry e[2], draining_member, moved_member;
  char json[512];
  size_t n;

  cr_assert_not_null (t);
  cr_assert (plt_parse_server (STR ("servers/h"),
                               entry_json (json, sizeof json, "h", LEADER),
                               &text, &e[0], NULL));
  cr_assert (plt_parse_server (STR ("servers/k"),
                               entry_json (json, sizeof json, "k", MEMBER),
                               &text, &e[1], NULL));
  bks_update (b, 1000, 1000, e, 2);
  cr_expect (bks_endpoints (b, t, NULL, &n)[0].accepting);
  bks_update (b, 2000, 2000, e, 1);
  cr_expect (bks_endpoints (b, t, NULL, &n)[0].accepting);

  draining_member = e[1];
  draining_member.draining = true;
  bks_apply_changes (b, 3000, 3000, &draining_member, 1, NULL, 0);
  cr_expect_not (bks_endpoints (b, t, NULL, &n)[0].accepting);

  moved_member = e[1];
  moved_member.replica = STR ("other");
  moved_member.generation++;
  bks_apply_changes (b, 4000, 4000, &moved_member, 1, NULL, 0);
  cr_expect_not (bks_endpoints (b, t, NULL, &n)[0].accepting);
  arena_free (&text);
  bks_free (b);
  tbl_unref (t);
}

/*
 * All nodes restart while some servers cannot reach the store.  A new node
 * sees an open leader and most of its members; the leader was opened when all
 * were ready, and the members that are not listed still work.  A leader listed
 * alone may remain from a replica whose members have joined others.
 */
Test (backends, new_node_accepts_a_leader_with_a_majority)
{
  struct fnd_list findings = { 0 };
  struct tbl *t = plt_parse_config (
      STR ("{\"version\": 1, " SERVICE_WITH_SIZE ("3") "}"), &findings);
  struct bks *b = bks_new ();
  struct arena text = { 0 };
  struct bks_entry e[2];
  char json[512];
  size_t n;

  cr_assert_not_null (t);
  cr_assert (plt_parse_server (STR ("servers/h"),
                               entry_json (json, sizeof json, "h", LEADER),
                               &text, &e[0], NULL));
  cr_assert (plt_parse_server (STR ("servers/k"),
                               entry_json (json, sizeof json, "k", MEMBER),
                               &text, &e[1], NULL));
  bks_update (b, 1000, 1000, e, 1);
  cr_expect_not (bks_endpoints (b, t, NULL, &n)[0].accepting, "one of three");
  bks_update (b, 2000, 2000, e, 2);
  cr_expect (bks_endpoints (b, t, NULL, &n)[0].accepting, "two of three");
  arena_free (&text);
  bks_free (b);
  tbl_unref (t);
}

/* With 1,000 servers, reading the list as often as with 200 would saturate
   the leader's link and delay its orders and its frames to other nodes. */
Test (backends, long_list_is_read_less_often)
{
  static struct bks_entry e[1000];
  static char ids[1000][8];
  struct bks *b = bks_new ();

  for (size_t i = 0; i < 1000; i++)
    {
      snprintf (ids[i], sizeof ids[i], "s%zu", i);
      make_entry (&e[i], ids[i], false);
    }
  cr_expect_eq (bks_poll_interval (b, 100), 100, "no list read yet");
  bks_update (b, 1000, 1000, e, 200);
  cr_expect_eq (bks_poll_interval (b, 100), 100);
  bks_update (b, 2000, 2000, e, 1000);
  cr_expect_eq (bks_poll_interval (b, 100), 400);
  cr_expect_eq (bks_poll_interval (b, 300), 1200);
  cr_expect_eq (bks_leader_poll_interval (b, 300, 3000), 1000,
                "draining is read in time despite a long list");
  cr_expect_eq (bks_leader_poll_interval (b, 100, 3000), 400);
  bks_free (b);
}

/*
 * A server drains while this node receives no list from other nodes.  One read
 * fails and the next is slow; the third still completes within drain_ms.
 */
Test (backends, draining_server_is_read_in_time)
{
  cr_expect_leq (3 * bks_direct_poll_ms (2000, false), 2000);
  cr_expect_leq (3 * bks_direct_poll_ms (3000, false), 3000);
  cr_expect_leq (bks_direct_poll_ms (3000, true) + 1000, 3000,
                 "in a large fleet, a read that takes 1 s is in time");
  cr_expect_geq (bks_direct_poll_ms (3000, true), 1500,
                 "the next leader has had time to send the list");
  cr_expect_gt (bks_direct_poll_ms (2000, false), 300,
                "each read is a billed call");
}

static void
expect_shared_parts (const char *header, size_t n, const uint64_t *expected)
{
  struct http_header h
      = { STR ("x-lapisline-prompt-prefix"), str_from (header) };
  struct srv_request r;

  plt_parse_request (&h, 1, &r);
  cr_assert_eq (r.nshared_parts, n, "%s: %zu", header, r.nshared_parts);
  for (size_t i = 0; i < n; i++)
    cr_expect_eq (r.shared_parts[i], expected[i], "%s: %llx", header,
                  (unsigned long long)r.shared_parts[i]);
  free (r.shared_parts);
}

/* The last part of a prompt is the request's own and is shared by none. */
Test (forward, shared_parts_of_a_prompt)
{
  const uint64_t two[] = { 0x5c1e07a2, 0x91bd3f06 };
  const uint64_t longest[] = { UINT64_MAX };
  const uint64_t hashed[]
      = { str_hash (STR ("no number"), 0), str_hash (STR_EMPTY, 0) };

  expect_shared_parts ("5c1e07a2:800,91bd3f06:410,e4402b7d:250", 2, two);
  expect_shared_parts (" 5C1E07A2 : 800 , 91bd3f06,e4402b7d", 2, two);
  expect_shared_parts ("ffffffffffffffff:1,2:2", 1, longest);
  expect_shared_parts ("no number:1,:2,3:3", 2, hashed);
  expect_shared_parts ("5c1e07a2:800", 0, NULL);
  expect_shared_parts ("", 0, NULL);
}

/*
 * The leader sends a list of 150 kB to 100 nodes over a link of 2.5 MB/s.  A
 * burst sufficient for some repairs is sent at once; after that the list uses
 * half of the link, so that renewals of the lease are not delayed.
 */
Test (server_list, list_uses_half_of_the_link)
{
  struct svl_budget c = { 0 };
  size_t burst = 0, later = 0;

  while (svl_may_send (&c, 1000000, 2.5e6))
    {
      burst++;
      c.bytes -= 150e3;
    }
  cr_expect_eq (burst, 3, "%zu frames at once", burst);
  for (clk_ms now = 1000000; now <= 1010000; now += 10)
    while (svl_may_send (&c, now, 2.5e6))
      {
        later++;
        c.bytes -= 150e3;
      }
  cr_expect_eq (later, 83, "%zu frames in ten seconds", later);
  cr_expect (svl_may_send (&c, 1010000, 0), "unlimited link");
}

/*
 * Sums of loads are not delayed in small fleets.  They are sent 0.3 s apart
 * where they would saturate the link, and always often enough that the last
 * one is still recent enough to be used.
 */
Test (server_list, sum_is_sent_less_often_to_many_nodes)
{
  cr_expect_eq (svl_sum_interval (1.25e8, 300, 7), 0);
  cr_expect_eq (svl_sum_interval (2.5e6, 620, 71), 58);
  cr_expect_eq (svl_sum_interval (2.5e6, 2340, 99), 308);
  cr_expect_eq (svl_sum_interval (2.5e6, 12000, 329), 400);
  cr_expect_eq (svl_sum_interval (0, 12000, 329), 0);
}

/** Send the changes in @p from since version @p since to @p to, and log the
    endpoints of @p to; "+" marks an endpoint that takes requests. */
static void
apply_and_log_endpoints (struct bks *from, struct bks *to, uint64_t since,
                         const struct tbl *t, struct buf *log)
{
  struct svl_frame *f = svl_frame_new (from, 0, since);
  const struct dsp_endpoint *list;
  size_t n;

  svl_apply (to, 5000, 5000, svl_frame_list (f));
  svl_frame_free (f);
  list = bks_endpoints (to, t, NULL, &n);
  for (size_t i = 0; i < n; i++)
    buf_addf (log, "%.*s%s ", STR_ARG (list[i].server),
              list[i].accepting ? "+" : "");
  buf_add_c (log, "\n");
}

/*
 * A node that receives the list has the same endpoints as the node that read
 * it: while a replica takes requests, after a member starts to drain, and
 * after the replica is closed.  Members other than the leader are not sent.
 */
Test (server_list, receiver_has_the_same_endpoints)
{
  struct fnd_list findings = { 0 };
  struct tbl *t
      = plt_parse_config (STR ("{\"version\": 1, " SERVICE "}"), &findings);
  struct bks *from = bks_new (), *to = bks_new ();
  struct arena text = { 0 };
  struct buf log = BUF_INIT;
  struct bks_entry e[3];
  char json[512];
  uint64_t version;
  size_t n;

  cr_assert_not_null (t);
  cr_assert (plt_parse_server (STR ("servers/h"),
                               entry_json (json, sizeof json, "h", LEADER),
                               &text, &e[0], NULL));
  cr_assert (plt_parse_server (STR ("servers/k"),
                               entry_json (json, sizeof json, "k", MEMBER),
                               &text, &e[1], NULL));
  make_entry (&e[2], "p", false);
  cr_assert (net_addr_parse (STR ("10.0.0.9:80"), false, &e[2].addr));
  bks_update (from, 1000, 1000, e, 3);
  bks_endpoints (from, t, NULL, &n);
  apply_and_log_endpoints (from, to, 0, t, &log);
  expect_ids (to, "h p ");
  version = bks_version (from);
  e[1].draining = true;
  bks_update (from, 2000, 2000, e, 3);
  bks_endpoints (from, t, NULL, &n);
  apply_and_log_endpoints (from, to, version, t, &log);
  version = bks_version (from);
  e[0].member_state = BKS_READY;
  e[2].draining = true;
  bks_update (from, 3000, 3000, e, 3);
  bks_endpoints (from, t, NULL, &n);
  apply_and_log_endpoints (from, to, version, t, &log);
  cr_expect_str_eq (buf_c (&log), "h+ p+ \nh p+ \np \n", "%s", buf_c (&log));
  buf_free (&log);
  arena_free (&text);
  bks_free (from);
  bks_free (to);
  tbl_unref (t);
}

/** Servers "a", "b" and "c". */
static void
make_abc (struct bks_entry *e)
{
  static const char *const ids[] = { "a", "b", "c" };

  for (int i = 0; i < 3; i++)
    {
      make_entry (&e[i], ids[i], false);
      cr_assert (net_addr_parse (STR ("10.0.0.9:80"), false, &e[i].addr));
    }
}

/** Sends all of @p from to @p to and updates the endpoints of both. */
static void
send_complete_list (struct bks *from, struct bks *to, const struct tbl *t,
                    clk_ms now)
{
  struct svl_frame *f;
  size_t n;

  bks_endpoints (from, t, NULL, &n);
  f = svl_frame_new (from, 0, 0);
  svl_frame_set_digest (f, bks_digest (from), bks_is_stable (from, now));
  svl_apply (to, now, now, svl_frame_list (f));
  svl_frame_free (f);
  bks_endpoints (to, t, NULL, &n);
}

/*
 * Guards against a node that keeps servers for good: they left while it was
 * cut off, so it takes them for servers whose entries have expired, and the
 * leader never names them again.
 */
Test (server_list, complete_list_removes_servers_that_left)
{
  struct fnd_list findings = { 0 };
  struct tbl *t
      = plt_parse_config (STR ("{\"version\": 1, " SERVICE "}"), &findings);
  struct bks *from = bks_new (), *to = bks_new ();
  struct bks_entry e[3];

  make_abc (e);
  bks_update (to, 1000, 1000, e, 3);
  bks_read_failed (to, 2000);
  bks_update (from, 1000, 1000, e, 3);
  bks_update (from, 4000, 4000, e, 2);
  send_complete_list (from, to, t, 4100);
  expect_ids (to, "a b ");
  cr_expect_eq (bks_digest (to), bks_digest (from));
  tbl_unref (t);
  bks_free (from);
  bks_free (to);
}

/*
 * Guards against a leader that confirms a list which the node doesn't hold.  A
 * node that keeps a server after an outage, or has an older entry, has another
 * digest than the leader, one with the same endpoints the same.
 */
Test (server_list, digest_names_the_endpoints)
{
  struct fnd_list findings = { 0 };
  struct tbl *t
      = plt_parse_config (STR ("{\"version\": 1, " SERVICE "}"), &findings);
  struct bks *from = bks_new (), *to = bks_new ();
  struct bks_entry e[3];
  uint64_t before;
  size_t n;

  cr_expect_eq (bks_digest (from), 0);
  make_abc (e);
  bks_update (to, 1000, 1000, e, 3);
  bks_read_failed (to, 2000);
  /* This leader has just started, so its list may lack servers. */
  bks_update (from, 4000, 4000, e, 2);
  send_complete_list (from, to, t, 4100);
  expect_ids (to, "a b c ");
  cr_expect_neq (bks_digest (to), bks_digest (from));
  bks_update (from, 4300, 4300, e, 3);
  send_complete_list (from, to, t, 4400);
  cr_expect_eq (bks_digest (to), bks_digest (from));
  before = bks_digest (to);
  e[1].heartbeat = 7;
  bks_update (from, 5000, 5000, e, 3);
  bks_endpoints (from, t, NULL, &n);
  cr_expect_eq (bks_digest (from), before);
  e[1].draining = true;
  bks_update (from, 6000, 6000, e, 3);
  bks_endpoints (from, t, NULL, &n);
  cr_expect_neq (bks_digest (from), before);
  tbl_unref (t);
  bks_free (from);
  bks_free (to);
}

/*
 * Guards against a new leader that sends all endpoints to all nodes as
 * changed: it reads more fields of them than it had from the previous leader.
 */
Test (server_list, fields_that_are_not_sent_are_no_change)
{
  struct fnd_list findings = { 0 };
  struct tbl *t
      = plt_parse_config (STR ("{\"version\": 1, " SERVICE "}"), &findings);
  struct bks *from = bks_new (), *to = bks_new ();
  struct buf log = BUF_INIT;
  struct svl_frame *f;
  struct bks_entry e[2];
  uint64_t version;
  size_t n;

  cr_assert_not_null (t);
  for (int i = 0; i < 2; i++)
    {
      make_entry (&e[i], i ? "q" : "p", false);
      e[i].domain = STR ("d1");
      cr_assert (net_addr_parse (STR ("10.0.0.9:80"), false, &e[i].addr));
    }
  bks_update (from, 1000, 1000, e, 2);
  bks_endpoints (from, t, NULL, &n);
  apply_and_log_endpoints (from, to, 0, t, &log);
  version = bks_version (to);
  e[1].draining = true;
  bks_update (to, 6000, 6000, e, 2);
  bks_endpoints (to, t, NULL, &n);
  f = svl_frame_new (to, 0, version);
  cr_assert_eq (svl_frame_list (f)->n_servers, 1, "%zu servers",
                svl_frame_list (f)->n_servers);
  cr_expect_str_eq (svl_frame_list (f)->servers[0]->id, "q");
  cr_expect (svl_frame_list (f)->servers[0]->draining);
  svl_frame_free (f);
  buf_free (&log);
  bks_free (from);
  bks_free (to);
  tbl_unref (t);
}

/*
 * Guards against requests to a server that left 4 s ago: the node waits for
 * changes of a long list and relies on the age of the other nodes' list.  The
 * age of its own copy is sent to it, so it reads the list from the store.
 */
Test (server_list, waiting_node_receives_age_of_its_copy)
{
  clk_ms current_at = 0;

  cr_expect_eq (svl_update_list_age (&current_at, 7, 7, 1000, 1050), 50);
  cr_expect_eq (svl_update_list_age (&current_at, 7, 8, 1300, 1350), 350);
  cr_expect_eq (svl_update_list_age (&current_at, 7, 9, 4000, 4050), 3050);
  cr_expect_eq (svl_update_list_age (&current_at, 9, 9, 4300, 4310), 10);
}

/* Orders in the format that the platform's servers read. */
Test (orders, wire_format)
{
  const struct str members[] = { STR ("a"), STR ("b") };
  struct frm_action a = { .order = FRM_JOIN,
                          .replica = STR ("r5"),
                          .generation = 5,
                          .fence = 7,
                          .model = STR ("m"),
                          .members = members,
                          .nmembers = 2,
                          .force = true };
  static const char *const expected[]
      = { "{\"op\":\"join\",\"fence\":7,\"group\":\"r5\",\"epoch\":5,"
          "\"model\":\"m\",\"members\":[\"a\",\"b\"]}",
          "{\"op\":\"open\",\"fence\":7,\"group\":\"r5\",\"epoch\":5}",
          "{\"op\":\"close\",\"fence\":7,\"group\":\"r5\",\"epoch\":5,"
          "\"mode\":\"cut\"}",
          "{\"op\":\"leave\",\"fence\":7,\"group\":\"r5\",\"epoch\":5}",
          "{\"op\":\"stage\",\"fence\":7,\"model\":\"m\"}" };

  for (int k = FRM_JOIN; k <= FRM_PRELOAD; k++)
    {
      struct buf body = BUF_INIT;
      a.order = (enum frm_order_kind)k;
      plt_format_order (&a, &body);
      cr_expect_str_eq (buf_c (&body), expected[k]);
      buf_free (&body);
    }
}

/* Guards against a server that runs requests being taken for an idle one. */
Test (orders, requests_in_a_report)
{
  cr_expect (plt_reports_requests (STR ("{\"running\":1,\"queued\":0}")));
  cr_expect (plt_reports_requests (STR ("{\"running\":0,\"queued\":2}")));
  cr_expect (!plt_reports_requests (STR ("{\"running\":0,\"queued\":0}")));
  cr_expect (!plt_reports_requests (STR ("{}")));
  cr_expect (!plt_reports_requests (STR ("[1]")));
  cr_expect (!plt_reports_requests (STR ("{\"running\":")));
}

/* Routes are matched by host and longest prefix and split by weight;
   accounts are found by key. */
Test (table, lookups)
{
  struct fnd_list findings = { 0 };
  struct tbl *t = plt_parse_config (
      STR (
          "{\"version\": 3, \"new_field\": 1, " SERVICE ", \"routes\": ["
          "{\"name\": \"a\", \"host\": \"h\", \"prefix\": \"/x/\","
          " \"kind\": \"idempotent\", \"service\": \"app\"},"
          "{\"name\": \"b\", \"host\": \"h\", \"prefix\": \"/x/y/\","
          " \"kind\": \"streaming\", \"split\": [{\"service\": \"app\","
          " \"weight\": 1}, {\"service\": \"lm\", \"weight\": 3}]}],"
          "\"tenants\": [{\"name\": \"t\", \"api_keys\": [\"k1\", \"k2\"]}]}"),
      &findings);

  cr_assert_not_null (t);
  cr_expect (
      str_is (tbl_find_route (t, STR ("h"), STR ("/x/y/z"))->name, "b"));
  cr_expect (str_is (tbl_find_route (t, STR ("h"), STR ("/x/z"))->name, "a"));
  cr_expect_null (tbl_find_route (t, STR ("h"), STR ("/x")));
  cr_expect_null (tbl_find_route (t, STR ("g"), STR ("/x/z")));
  const struct tbl_route *b = tbl_find_route (t, STR ("h"), STR ("/x/y/"));
  cr_expect (str_is (tbl_pick_service (b, 0.2)->name, "app"));
  cr_expect (str_is (tbl_pick_service (b, 0.3)->name, "lm"));
  cr_expect (str_is (tbl_find_account (t, STR ("k2"))->name, "t"));
  cr_expect_null (tbl_find_account (t, STR ("k3")));
  cr_expect_null (tbl_find_account (t, STR_EMPTY));
  tbl_unref (t);
}

/* All errors in a configuration are reported together, with their paths. */
Test (table, findings)
{
  struct fnd_list findings = { 0 };
  struct buf text = BUF_INIT;

  cr_expect_null (plt_parse_config (
      STR ("{\"version\": 3, \"services\": [{}], \"routes\": ["
           "{\"kind\": \"odd\", \"service\": \"none\"}]}"),
      &findings));
  fnd_print (&findings, &text);
  cr_expect_str_eq (
      buf_c (&text),
      "/services/0: error: has no name\n"
      "/routes/0: error: \"kind\" is missing or unknown\n"
      "/routes/0: error: has an unknown service or a negative weight\n",
      "%s", buf_c (&text));
  cr_expect_null (plt_parse_config (STR ("[1"), &findings));
  fnd_free (&findings);
  buf_free (&text);
}

static void
check_headers (const struct http_header *in, size_t n,
               const struct srv_forward_params *f, const char *expected)
{
  struct srv_headers out = { 0 };
  struct buf text = BUF_INIT;

  plt_build_headers (in, n, f, &out);
  for (size_t i = 0; i < out.n; i++)
    buf_addf (&text, "%.*s: %.*s\n", STR_ARG (out.list[i].name),
              STR_ARG (out.list[i].value));
  cr_expect_str_eq (buf_c (&text), expected, "%s", buf_c (&text));
  srv_headers_free (&out);
  buf_free (&text);
}

/* Headers to a backend server: the account instead of the key, no
   hop-by-hop headers, and no account header set by the caller. */
Test (forward, headers)
{
  static const struct http_header in[]
      = { { { "x-api-key", 9 }, { "k", 1 } },
          { { "x-lapisline-tenant", 18 }, { "forged", 6 } },
          { { "connection", 10 }, { "x-drop, close", 13 } },
          { { "x-drop", 6 }, { "1", 1 } },
          { { "last-event-id", 13 }, { "3", 1 } },
          { { "x-keep", 6 }, { "2", 1 } } };
  struct srv_forward_params f = { .host = STR ("h"),
                                  .server = STR ("i-1"),
                                  .account = STR ("acc"),
                                  .left_ms = 900,
                                  .priority = 2,
                                  .last_event = STR ("7") };

  check_headers (in, sizeof in / sizeof in[0], &f,
                 "host: h\nx-keep: 2\nx-lapisline-deadline-ms: 900\n"
                 "x-lapisline-expect-instance: i-1\n"
                 "x-lapisline-tenant: acc\n"
                 "x-lapisline-request-priority: 2\nlast-event-id: 7\n");
}

/* Guards against a request that reaches another node without its API key, or
   with headers that only backend servers get. */
Test (forward, headers_to_another_node)
{
  static const struct http_header in[]
      = { { { "x-api-key", 9 }, { "k", 1 } },
          { { "x-lapisline-tenant", 18 }, { "forged", 6 } },
          { { "lapisline-proxied", 17 }, { "forged", 6 } },
          { { "x-keep", 6 }, { "2", 1 } } };
  struct srv_forward_params f = { .host = STR ("h"),
                                  .server = STR ("10.0.0.1:80"),
                                  .account = STR ("acc"),
                                  .left_ms = 900,
                                  .priority = 2,
                                  .proxy = true };

  check_headers (in, sizeof in / sizeof in[0], &f,
                 "host: h\nx-api-key: k\nx-keep: 2\n"
                 "x-lapisline-deadline-ms: 900\n");
}

/* Guards against taking a list that waited in queues for seconds as new
   when it arrives: servers that have left since would get requests. */
Test (server_list, transit_time_adds_to_age)
{
  struct bks *from = bks_new (), *to = bks_new ();
  struct svl_frame *f;
  struct bks_entry e;

  make_entry (&e, "p", false);
  bks_update (from, 1000, 1000, &e, 1);
  f = svl_frame_new (from, 300, 0);
  svl_apply (to, 5000, 2000, svl_frame_list (f));
  cr_expect_eq (bks_read_started_at (to), 1700);
  svl_frame_free (f);
  bks_free (from);
  bks_free (to);
}

static void
make_entry_with_heartbeat (struct bks_entry *e, const char *id, bool draining,
                           int64_t beat)
{
  make_entry (e, id, draining);
  e->heartbeat = beat;
}

/* Guards against sending requests to servers that have left or drain when
   the store has been restored from an older copy with their old entries. */
Test (backends, older_copy_restores_no_server)
{
  struct bks *b = bks_new ();
  struct bks_entry list[3];

  make_entry_with_heartbeat (&list[0], "p1", false, 7);
  make_entry_with_heartbeat (&list[1], "p2", true, 7);
  make_entry_with_heartbeat (&list[2], "p3", false, 7);
  bks_update (b, 10000, 10000, list, 3);
  bks_update (b, 11000, 11000, list, 2); /* p3 has left */
  bks_store_restored (b, 12000);
  make_entry_with_heartbeat (&list[1], "p2", false, 5);
  make_entry_with_heartbeat (&list[2], "p3", false, 5);
  bks_update (b, 12100, 12100, list, 3);
  expect_ids (b, "p1 p2 ");
  cr_expect (bks_find (b, STR ("p2"))->e.draining);
  /* Both servers run and have written their entries again. */
  make_entry_with_heartbeat (&list[1], "p2", false, 9);
  make_entry_with_heartbeat (&list[2], "p3", false, 9);
  bks_update (b, 14000, 14000, list, 3);
  expect_ids (b, "p1 p2 p3 ");
  cr_expect_not (bks_find (b, STR ("p2"))->e.draining);
  bks_free (b);
}

/* Guards against removing servers whose entries are missing in a restored
   copy. */
Test (backends, missing_after_restore_is_kept_during_recovery)
{
  struct bks *b = bks_new ();
  struct bks_entry list[2];

  make_entry_with_heartbeat (&list[0], "p1", false, 7);
  make_entry_with_heartbeat (&list[1], "p2", false, 7);
  bks_update (b, 10000, 10000, list, 2);
  bks_store_restored (b, 12000);
  bks_update (b, 12100, 12100, list, 1);
  expect_ids (b, "p1 p2 ");
  bks_update (b, 14500, 14500, list, 1);
  expect_ids (b, "p1 ");
  bks_free (b);
}
