/*
 * Evacuated availability zones: the core, the endpoints and the request
 * dispatcher, without a network.
 *
 * Script of the core, with the restore counter ERA and the revision REV:
 *   state ERA REV [ZONE..]  a complete state
 *   put|delete ERA REV [ZONE]  a change from a watch; without ZONE: no name
 *   many ERA REV FROM N     a complete state of the zones zFROM and following
 *   wait MS
 * Each of these logs "changed" if the set of zones changed.
 *   show                    logs the evacuated zones, the position of the
 *                           state, and the zones that are kept after a restore
 *   count, ignored          log the number of evacuated and of ignored zones
 *   version                 logs whether the version increased since the last
 *                           call
 *   ended                   logs the zones whose evacuation ended
 *   overdue                 logs whether a read should end kept zones
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve/backends.h"
#include "serve/evacuation-kept.h"
#include "serve/form.h"
#include "serve/server-list.h"
#include "t/lib-dispatch.h"

#define MAX_WORDS 16
#define MAX_ZONES 80

struct fixture
{
  struct evc *e;
  clk_ms now;
  uint64_t version;
  struct buf log;
};

static void
log_changed (struct fixture *f, bool changed)
{
  if (changed)
    buf_add_c (&f->log, "changed\n");
}

static void
log_zones (struct fixture *f, const char *what, const struct evc_state *s)
{
  buf_addf (&f->log, "%s %d.%d:", what, (int)s->store_era, (int)s->revision);
  for (size_t i = 0; i < s->n; i++)
    buf_addf (&f->log, " %.*s", STR_ARG (s->zones[i]));
  buf_add_char (&f->log, '\n');
}

static void
show (struct fixture *f)
{
  struct evc_state s = evc_state (f->e), kept = evc_kept_state (f->e);

  log_zones (f, "state", &s);
  if (kept.n)
    log_zones (f, "kept", &kept);
}

static void
apply_state (struct fixture *f, char **w, size_t n)
{
  struct str zones[MAX_WORDS];
  struct evc_state s = { .store_era = atoi (w[1]),
                         .revision = atoi (w[2]),
                         .zones = zones,
                         .n = n - 3 };

  for (size_t i = 3; i < n; i++)
    zones[i - 3] = str_from (w[i]);
  log_changed (f, evc_apply_state (f->e, f->now, &s));
}

static void
apply_many (struct fixture *f, char **w)
{
  char names[MAX_ZONES][8];
  struct str zones[MAX_ZONES];
  struct evc_state s = { .store_era = atoi (w[1]),
                         .revision = atoi (w[2]),
                         .zones = zones,
                         .n = (size_t)atoi (w[4]) };

  for (size_t i = 0; i < s.n; i++)
    {
      snprintf (names[i], sizeof names[i], "z%d", atoi (w[3]) + (int)i);
      zones[i] = str_from (names[i]);
    }
  log_changed (f, evc_apply_state (f->e, f->now, &s));
}

static void
log_ended (struct fixture *f)
{
  struct str zone;

  while (evc_next_ended (f->e, &zone))
    buf_addf (&f->log, "ended %.*s\n", STR_ARG (zone));
}

static void
query (struct fixture *f, const char *what)
{
  struct evc_ignored ignored = evc_ignored (f->e);

  if (strcmp (what, "show") == 0)
    show (f);
  else if (strcmp (what, "ended") == 0)
    log_ended (f);
  else if (strcmp (what, "count") == 0)
    buf_addf (&f->log, "count %zu\n", evc_count (f->e));
  else if (strcmp (what, "ignored") == 0)
    buf_addf (&f->log, "ignored %d %d\n", (int)ignored.unnamed,
              (int)ignored.too_many);
  else if (strcmp (what, "overdue") == 0)
    buf_addf (&f->log, "overdue %s\n",
              evc_is_kept_overdue (f->e, f->now) ? "yes" : "no");
  else if (strcmp (what, "version") == 0)
    {
      buf_addf (&f->log, "version %s\n",
                evc_version (f->e) > f->version ? "new" : "same");
      f->version = evc_version (f->e);
    }
  else
    cr_assert (false, "unknown command: %s", what);
}

static void
run_line (struct fixture *f, char *line)
{
  char *w[MAX_WORDS], *word, *next = line;
  size_t n = 0;

  while ((word = strsep (&next, " ")) != NULL && n < MAX_WORDS)
    if (*word)
      w[n++] = word;
  if (n == 0)
    return;
  if (strcmp (w[0], "state") == 0)
    apply_state (f, w, n);
  else if (strcmp (w[0], "many") == 0)
    apply_many (f, w);
  else if (strcmp (w[0], "put") == 0 || strcmp (w[0], "delete") == 0)
    log_changed (f, evc_apply_change (f->e, f->now, atoi (w[1]), atoi (w[2]),
                                      n > 3 ? str_from (w[3]) : STR_EMPTY,
                                      w[0][0] == 'p'));
  else if (strcmp (w[0], "wait") == 0)
    f->now += atoi (w[1]);
  else
    query (f, w[0]);
}

static void
play (const char *script, const char *expected)
{
  struct fixture f = { .e = evc_new (), .now = 50000 };
  char *copy = xstrdup (script), *next = copy, *line;

  while ((line = strsep (&next, "\n")) != NULL)
    run_line (&f, line);
  cr_expect_str_eq (buf_c (&f.log), expected, "got:\n%s\nexpected:\n%s",
                    buf_c (&f.log), expected);
  evc_free (f.e);
  buf_free (&f.log);
  free (copy);
}

/* --- core -------------------------------------------------------------- */

/* Guards against a state that arrives late, or a change that a watch returns
   late, and takes back a newer one. */
Test (evacuation, older_state_changes_nothing)
{
  play ("state 1 10 a\n state 1 9\n state 1 8 b\n delete 1 9 a\n"
        "put 1 9 c\n show\n ended\n",
        "changed\nstate 1.10: a\n");
}

/* Guards against an evacuation that is missed or never ends. */
Test (evacuation, begins_and_ends_with_newer_states)
{
  play ("state 1 10\n state 1 11 a b\n state 1 12 b\n show\n ended\n ended\n"
        "put 1 13 c\n delete 1 14 b\n show\n ended\n",
        "changed\nchanged\nstate 1.12: b\nended a\n"
        "changed\nchanged\nstate 1.14: c\nended b\n");
}

/* Guards against a second change of the same write that is ignored as old. */
Test (evacuation, changes_of_one_revision_all_count)
{
  play ("state 1 10\n put 1 11 a\n put 1 11 b\n show\n delete 1 12 a\n"
        "delete 1 12 b\n show\n",
        "changed\nchanged\nstate 1.11: a b\nchanged\nchanged\nstate 1.12:\n");
}

/* Guards against an evacuation that ends with time: a lost watch or link gives
   no state. */
Test (evacuation, does_not_end_with_age)
{
  play ("state 1 10 a\n wait 100000000\n show\n overdue\n ended\n",
        "changed\nstate 1.10: a\noverdue no\n");
}

/* Guards against evacuations that end because a store restored from an older
   copy lacks them; they are kept for 10 s, and new ones count at once. */
Test (evacuation, restored_store_ends_nothing_for_10_s)
{
  play ("state 1 10 a b\n state 2 5 c\n show\n wait 9999\n state 2 6 c\n"
        "overdue\n show\n ended\n wait 1\n overdue\n state 2 6 c\n show\n"
        "ended\n overdue\n",
        "changed\nchanged\nstate 2.5: c\nkept 1.10: a b c\noverdue no\n"
        "state 2.6: c\nkept 1.10: a b c\noverdue yes\nchanged\nstate 2.6: c\n"
        "ended a\nended b\noverdue no\n");
}

/* Guards against an evacuation that ends although the operators have written
   it again within 10 s. */
Test (evacuation, rewritten_after_restore_goes_on)
{
  play ("state 1 10 a\n state 2 5\n wait 9000\n put 2 7 a\n show\n"
        "wait 5000\n state 2 8 a\n show\n ended\n",
        "changed\nstate 2.7: a\nstate 2.8: a\n");
}

/* Guards against a change after a restore that ends what the new state, not
   read yet, contains. */
Test (evacuation, change_before_first_read_after_restore)
{
  play ("state 1 10 a\n put 2 5 b\n show\n state 2 4 c\n show\n wait 10000\n"
        "state 2 6 b c\n show\n",
        "changed\nchanged\nstate 2.5: b\nkept 1.10: a b\nchanged\n"
        "state 2.5: b c\nkept 1.10: a b c\nchanged\nstate 2.6: b c\n");
}

/* Guards against a node that starts during these 10 s and learns nothing of
   the zones that the others keep. */
Test (evacuation, new_node_takes_over_kept_zones)
{
  play ("state 2 5\n state 1 10 a\n show\n state 2 6\n show\n wait 10000\n"
        "state 2 6\n show\n ended\n state 1 11 b\n show\n",
        "changed\nstate 2.5:\nkept 1.10: a\nstate 2.6:\nkept 1.10: a\n"
        "changed\nstate 2.6:\nended a\nstate 2.6:\n");
}

/* Guards against an evacuation that had ended before the restore and returns
   with the late state of another node. */
Test (evacuation, state_older_than_restore_is_old)
{
  play ("state 1 10\n state 2 5\n state 1 9 a\n show\n", "state 2.5:\n");
}

/* Guards against two evacuations of which only one takes effect. */
Test (evacuation, two_zones_at_once)
{
  play ("state 1 10 a b\n show\n count\n delete 1 11 a\n show\n",
        "changed\nstate 1.10: a b\ncount 2\nchanged\nstate 1.11: b\n");
}

/* Guards against more zones than fit that overwrite memory or drop recorded
   ones, and against zones without a name. */
Test (evacuation, more_than_64_zones)
{
  play ("many 1 10 0 70\n count\n ignored\n put 1 11 more\n count\n ignored\n"
        "many 1 12 60 4\n count\n show\n put 1 13\n ignored\n count\n",
        "changed\ncount 64\nignored 0 6\ncount 64\nignored 0 7\nchanged\n"
        "count 4\nstate 1.12: z60 z61 z62 z63\nignored 1 7\ncount 4\n");
}

/* Guards against frames to all nodes at each read, and against changes that
   are not sent. */
Test (evacuation, version_increases_with_changes_only)
{
  play ("version\n state 1 10\n version\n state 1 11\n version\n put 1 12 a\n"
        "version\n state 1 13 a\n version\n state 2 5 a\n version\n"
        "state 2 6 b\n version\n",
        "version same\nversion new\nversion same\nchanged\nversion new\n"
        "version same\nversion new\nchanged\nversion new\n");
}

/* Guards against an evacuation that has begun again and is reported as
   ended. */
Test (evacuation, ended_zone_that_returned_is_not_reported)
{
  play ("state 1 10 a\n delete 1 11 a\n put 1 12 a\n ended\n",
        "changed\nchanged\nchanged\n");
}

/* --- endpoints --------------------------------------------------------- */

static struct tbl *
make_config (void)
{
  struct tbl *t = tbl_new ();
  struct tbl_service *s = arena_alloc (&t->arena, 2, sizeof *s);
  struct tbl_model *m = arena_alloc (&t->arena, 1, sizeof *m);

  m->name = STR ("m");
  m->size = 2;
  m->work_share = 1;
  s[0].name = STR ("lm");
  s[0].models = m;
  s[0].nmodels = 1;
  s[0].capacity = 4;
  s[1].name = STR ("app");
  t->services = s;
  t->nservices = 2;
  return t;
}

static struct bks_entry
make_entry (const char *id, const char *zone)
{
  return (struct bks_entry){ .id = str_from (id),
                             .service = STR ("app"),
                             .zone = str_from (zone),
                             .capacity = 4 };
}

static struct bks_entry
make_member (const char *id, const char *zone, const char *replica,
             unsigned rank)
{
  return (struct bks_entry){ .id = str_from (id),
                             .service = STR ("lm"),
                             .zone = str_from (zone),
                             .domain = STR ("d"),
                             .addr = { .host = "127.0.0.1", .port = 80 },
                             .capacity = 4,
                             .model = STR ("m"),
                             .replica = str_from (replica),
                             .generation = 1,
                             .rank = rank,
                             .member_state = rank ? BKS_READY : BKS_OPEN };
}

/** Ids of the endpoints: "-" before those that are evacuated, "!" after those
    that don't accept. */
static void
expect_endpoints (struct bks *b, const struct tbl *t, const struct evc *e,
                  const char *expected)
{
  size_t n;
  const struct dsp_endpoint *list = bks_endpoints (b, t, e, &n);
  struct buf text = BUF_INIT;

  for (size_t i = 0; i < n; i++)
    buf_addf (&text, "%s%.*s%s ", list[i].evacuated ? "-" : "",
              STR_ARG (list[i].server), list[i].accepting ? "" : "!");
  cr_expect_str_eq (buf_c (&text), expected, "%s", buf_c (&text));
  buf_free (&text);
}

/* Guards against requests to servers in an evacuated zone, and to replicas of
   which only a member is in it.  An unknown zone has no effect. */
Test (evacuation_endpoints, zone_and_members_are_excluded)
{
  struct evc *e = evc_new ();
  struct bks *b = bks_new ();
  struct tbl *t = make_config ();
  struct bks_entry list[]
      = { make_entry ("p1", "a"),           make_entry ("p2", "b"),
          make_member ("e1", "a", "r1", 0), make_member ("e2", "a", "r1", 1),
          make_member ("e3", "b", "r2", 0), make_member ("e4", "a", "r2", 1),
          make_member ("e5", "b", "r3", 0), make_member ("e6", "b", "r3", 1) };

  bks_update (b, 1000, 1000, list, sizeof list / sizeof *list);
  expect_endpoints (b, t, NULL, "p1 p2 e1 e3 e5 ");
  evc_apply_change (e, 1000, 1, 1, STR ("unknown"), true);
  expect_endpoints (b, t, e, "p1 p2 e1 e3 e5 ");
  evc_apply_change (e, 1000, 1, 2, STR ("a"), true);
  expect_endpoints (b, t, e, "-p1! p2 -e1! -e3! e5 ");
  evc_apply_change (e, 1000, 1, 3, STR ("b"), true);
  expect_endpoints (b, t, e, "-p1! -p2! -e1! -e3! -e5! ");
  evc_apply_change (e, 1000, 1, 4, STR ("a"), false);
  expect_endpoints (b, t, e, "p1 -p2! e1 -e3! -e5! ");
  evc_apply_change (e, 1000, 1, 5, STR ("b"), false);
  expect_endpoints (b, t, e, "p1 p2 e1 e3 e5 ");
  cr_expect_eq (bks_count_in_zone (b, STR ("a")), 4);
  cr_expect_eq (bks_count_in_zone (b, STR ("unknown")), 0);
  bks_free (b);
  evc_free (e);
  tbl_unref (t);
}

/** Sends the changes of the list from the leader to another node. */
static void
send_list (struct bks *from, struct bks *to, uint64_t *version)
{
  struct svl_frame *f = svl_frame_new (from, 0, *version);

  svl_apply (to, 2000, 2000, svl_frame_list (f));
  *version = bks_version (from);
  svl_frame_free (f);
}

/* Guards against nodes that don't learn from the leader that a replica has a
   member in the zone, as they have the newest version of the list already, or
   that don't learn that this is over. */
Test (evacuation_endpoints, leader_reports_replicas_with_a_member)
{
  struct evc *e = evc_new ();
  struct bks *leader = bks_new (), *node = bks_new ();
  struct tbl *t = make_config ();
  struct bks_entry list[]
      = { make_member ("e3", "b", "r2", 0), make_member ("e4", "a", "r2", 1) };
  uint64_t version = 0;

  bks_update (leader, 1000, 1000, list, 2);
  expect_endpoints (leader, t, e, "e3 ");
  send_list (leader, node, &version);
  expect_endpoints (node, t, e, "e3 ");
  evc_apply_change (e, 1000, 1, 1, STR ("a"), true);
  expect_endpoints (leader, t, e, "-e3! ");
  send_list (leader, node, &version);
  expect_endpoints (node, t, e, "e3! ");
  evc_apply_change (e, 1000, 1, 2, STR ("a"), false);
  expect_endpoints (leader, t, e, "e3 ");
  send_list (leader, node, &version);
  expect_endpoints (node, t, e, "e3 ");
  bks_free (leader);
  bks_free (node);
  evc_free (e);
  tbl_unref (t);
}

/* --- dispatch ---------------------------------------------------------- */

/* Guards against new requests to the zone; running ones go on. */
Test (evacuation_dispatch, new_requests_go_elsewhere)
{
  dispatch_play (
      "replicas s 2 4\n zone s1 a\n zone s2 b\n evacuate b\n submit 1 stream\n"
      "sent 1\n ok 1\n event 1\n return b\n evacuate a\n submit 2 stream\n"
      "sent 2\n submit 3 stream\n sent 3\n event 1\n complete 1\n return a\n"
      "evacuate b\n submit 4 stream\n",
      "send 1 s1\nforward 1\nsend 2 s2\nsend 3 s2\ncomplete 1\nsend 4 s1\n");
}

/* Guards against a request that is sent although its server's zone was
   evacuated while the connection was made. */
Test (evacuation_dispatch, connecting_request_is_moved)
{
  dispatch_play ("endpoints p 2 4\n zone p1 a\n zone p2 b\n submit 1 once\n"
                 "submit 2 once\n evacuate a\n evacuate b\n return b\n"
                 "sent 1\n sent 2\n sent 1\n sent 2\n complete 1\n",
                 "send 1 p1\nsend 2 p2\ncancel 1\nsend 1 p2\ncomplete 1\n");
}

/* Guards against the same when the server is removed from the list before its
   zone is evacuated. */
Test (evacuation_dispatch, connecting_request_to_unlisted_server_is_moved)
{
  dispatch_play ("endpoints p 2 4\n zone p1 a\n zone p2 b\n submit 1 once\n"
                 "unlist p1\n evacuate a\n sent 1\n sent 1\n",
                 "send 1 p1\ncancel 1\nsend 1 p2\n");
}

/* Guards against retries, resumed streams and queued requests in the zone. */
Test (evacuation_dispatch, later_attempts_go_elsewhere)
{
  dispatch_play (
      "replicas s 3 4\n zone s1 a\n zone s2 b\n zone s3 c\n evacuate b\n"
      "evacuate c\n submit 1 stream\n sent 1\n ok 1\n event 1\n return c\n"
      "interrupted 1\n sent 1\n",
      "send 1 s1\nforward 1\ncheck s1\ncancel 1\nsend 1 s3 resume p0\n");
  dispatch_play ("endpoints p 3 4\n zone p1 a\n zone p2 b\n zone p3 c\n"
                 "evacuate b\n evacuate c\n submit 1 safe\n sent 1\n"
                 "return c\n not-executed 1\n",
                 "send 1 p1\ncancel 1\nsend 1 p3\n");
  dispatch_play ("replicas s 2 1\n zone s1 a\n zone s2 b\n evacuate b\n"
                 "submit 1 stream\n sent 1\n submit 2 stream\n sent 2\n"
                 "submit 3 stream\n return b\n evacuate a\n complete 1\n"
                 "complete 2\n",
                 "send 1 s1\nsend 2 s1\nsend 3 s2\ncomplete 1\ncomplete 2\n");
}

/* Guards against clients that wait in vain or return at the same moment when
   the last zone is evacuated: queued, new, connecting and proxied requests. */
Test (evacuation_dispatch, last_zone_rejects_at_once)
{
  dispatch_play (
      "replicas s 1 1\n delays\n zone s1 a\n submit 1 stream\n sent 1\n ok 1\n"
      "event 1\n submit 2 stream\n submit 3 stream\n evacuate a\n run 20\n"
      "submit 4 stream\n proxied\n submit 5 stream\n sent 2\n event 1\n"
      "complete 1\n",
      "send 1 s1\nforward 1\nsend 2 s1\n"
      "error 3 no-server 503 retry 2000\nerror 4 no-server 503 retry 2005\n"
      "error 5 no-server 503 retry 2010\ncancel 2\n"
      "error 2 no-server 503 retry 2015\ncomplete 1\n");
}

/* Guards against a trial request to an ejected or stalled server in the zone,
   and against the choice of last resort. */
Test (evacuation_dispatch, no_trial_and_no_last_resort)
{
  dispatch_play ("endpoints p 2 4\n zone p1 a\n zone p2 b\n evacuate a\n"
                 "submit 1 once\n connect-failed 1\n run 400\n",
                 "send 1 p2\nerror 1 overload 503 retry\n");
}
