/*
 * Freshness of a node's configuration: of one node, by a script, and of many
 * nodes under random delays, pauses and restarts.
 *
 *   store VERSION         set the version in the store
 *   answers MS            answer reads after this time; "none": fail them
 *                         after a second
 *   readable VERSION      later versions cannot be parsed
 *   in-force VERSION      put a version in force
 *   announce VERSION AGE  receive an announcement confirmed AGE ms ago
 *   announce-unstamped VERSION
 *                         receive one that echoes no time of this node
 *   expect-announcement MS
 *                         the process has just started; wait so long
 *   announces yes|no      whether other nodes rely on this node
 *   run MS                let time pass
 *   pause MS              the same, while the process is suspended
 *   watch-ends            the watch fails
 *   show                  print the version and its freshness
 *
 * The log shows each read with the time since the start.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "serve/currency.h"
#include "t/lib-transcript.h"

#define APPLY_MS ((clk_ms)3000)
#define STEP_MS ((clk_ms)10)
#define NO_ANSWER_MS ((clk_ms)1000)
/** Clocks do not start at 0, which means "never". */
#define START_MS ((clk_ms)100000)

static struct script
{
  struct cur fresh;
  clk_ms now;
  int64_t store;
  int64_t readable; /* last version that can be parsed */
  clk_ms answer_ms;
  bool no_answer, announces;
  clk_ms answer_at;
  int64_t answer; /* 0: the read fails */
} s;
static struct buf log_text = BUF_INIT;

static void
read_store (void)
{
  buf_addf (&log_text, "%lld read\n", (long long)(s.now - START_MS));
  cur_read_sent (&s.fresh, s.now);
  s.answer = s.no_answer ? 0 : s.store;
  s.answer_at = s.now + (s.no_answer ? NO_ANSWER_MS : s.answer_ms);
}

static enum cur_read_result
result (void)
{
  if (s.answer == 0)
    return CUR_READ_FAILED;
  return s.answer > s.readable ? CUR_READ_UNPARSABLE : CUR_READ_OK;
}

static void
step (void)
{
  if (s.fresh.reading && s.now >= s.answer_at)
    {
      if (s.answer > s.fresh.version && s.answer <= s.readable)
        cur_set_version (&s.fresh, s.answer);
      cur_read_done (&s.fresh, s.now, result ());
    }
  if (cur_should_read (&s.fresh, s.now, s.announces))
    read_store ();
}

static void
run (clk_ms ms)
{
  for (clk_ms end = s.now + ms; s.now < end; s.now += STEP_MS)
    step ();
}

static void
receive_announcement (int64_t version, bool stamped, clk_ms age)
{
  struct cur_announcement a = { version, stamped, s.now, age };

  cur_on_announcement (&s.fresh, s.now, &a);
}

static void
show (void)
{
  static const char *const names[]
      = { [CUR_CONFIRMED] = "confirmed",
          [CUR_UNCONFIRMED] = "unconfirmed",
          [CUR_AWAITING_STORE] = "awaiting-store" };

  buf_addf (&log_text, "version %lld %s%s%s\n", (long long)s.fresh.version,
            names[cur_state (&s.fresh, s.now)],
            cur_has_announcements (&s.fresh, s.now) ? " announced" : "",
            cur_may_watch (&s.fresh, s.now) ? " may-watch" : "");
}

static void
run_command (char *command)
{
  char *word = strtok (command, " "), *arg = strtok (NULL, " ");
  clk_ms n = arg ? atoll (arg) : 0;

  if (!strcmp (word, "store"))
    s.store = n;
  else if (!strcmp (word, "readable"))
    s.readable = n;
  else if (!strcmp (word, "answers"))
    {
      s.no_answer = !strcmp (arg, "none");
      s.answer_ms = n;
    }
  else if (!strcmp (word, "in-force"))
    cur_set_version (&s.fresh, n);
  else if (!strcmp (word, "announce"))
    receive_announcement (n, true, atoll (strtok (NULL, " ")));
  else if (!strcmp (word, "announce-unstamped"))
    receive_announcement (n, false, 0);
  else if (!strcmp (word, "expect-announcement"))
    cur_expect_announcement (&s.fresh, s.now + n);
  else if (!strcmp (word, "announces"))
    s.announces = !strcmp (arg, "yes");
  else if (!strcmp (word, "run"))
    run (n);
  else if (!strcmp (word, "pause"))
    {
      s.now += n;
      cur_on_resume (&s.fresh, s.now);
    }
  else if (!strcmp (word, "watch-ends"))
    cur_watch_failed (&s.fresh, s.now);
  else if (!strcmp (word, "show"))
    show ();
  else
    cr_assert_fail ("no command %s", word);
}

static void
run_script (const char *text)
{
  s = (struct script){
    .now = START_MS, .store = 1, .readable = INT64_MAX, .answer_ms = 10
  };
  cur_init (&s.fresh, APPLY_MS);
  transcript_check (&log_text, run_command, text);
}

/* Guards against a node that receives no announcement and treats its old
   configuration as confirmed forever. */
Test (freshness, old_confirmation_is_renewed_by_a_read)
{
  run_script ("> run 100\n"
              "0 read\n"
              "> show\n"
              "version 1 confirmed\n"
              "> run 900\n"
              "> show\n"
              "version 1 confirmed may-watch\n"
              "> store 2\n"
              "> run 1000\n"
              "1500 read\n"
              "> show\n"
              "version 2 confirmed may-watch\n");
}

/* Guards against a `confirmed_at` that is the arrival of an announcement
   instead of the time at which its sender confirmed the version. */
Test (freshness, announcement_counts_from_its_confirmation)
{
  run_script ("> run 1000\n"
              "0 read\n"
              "> announce 1 300\n"
              "> run 1000\n"
              "> show\n"
              "version 1 confirmed announced may-watch\n"
              "> announce 1 1600\n"
              "> run 300\n"
              "2200 read\n"
              "> announce-unstamped 1\n"
              "> run 1500\n"
              "3700 read\n");
}

/* Guards against a node that waits forever for a push: it was linked after the
   push, or the document is too long to be pushed. */
Test (freshness, announced_version_without_push_is_read)
{
  run_script ("> run 1000\n"
              "0 read\n"
              "> store 2\n"
              "> announce 2 0\n"
              "> run 200\n"
              "1150 read\n"
              "> show\n"
              "version 2 confirmed may-watch\n"
              "> announce 3 0\n"
              "> run 100\n"
              "> in-force 3\n"
              "> run 200\n"
              "> store 4\n"
              "> announce 4 0\n"
              "> run 700\n"
              "1900 read\n");
}

/* Guards against nodes that confirm their versions by each other's
   announcements while none reads the store. */
Test (freshness, announcer_reads_more_often)
{
  run_script ("> announces yes\n"
              "> run 3010\n"
              "0 read\n"
              "1000 read\n"
              "2000 read\n"
              "3000 read\n");
}

/* Guards against a final refusal by a node that may have missed the newest
   version. */
Test (freshness, unavailable_store_ends_confirmation)
{
  run_script ("> run 500\n"
              "0 read\n"
              "> answers none\n"
              "> run 2400\n"
              "1500 read\n"
              "2700 read\n"
              "> show\n"
              "version 1 confirmed may-watch\n"
              "> run 200\n"
              "> show\n"
              "version 1 unconfirmed may-watch\n"
              "> answers 10\n"
              "> run 2000\n"
              "3900 read\n"
              "> show\n"
              "version 1 confirmed may-watch\n");
}

/* Guards against requests that arrived while the process was suspended and are
   checked against the configuration from before the pause. */
Test (freshness, pause_counts_toward_age)
{
  run_script ("> run 500\n"
              "0 read\n"
              "> store 2\n"
              "> pause 2800\n"
              "> show\n"
              "version 1 awaiting-store may-watch\n"
              "> run 20\n"
              "3300 read\n"
              "> show\n"
              "version 2 confirmed may-watch\n");
}

/* A read sent before a pause fails when the process resumes, which must not
   count as an answer of the store.  Guards also against deferring requests
   without a limit. */
Test (freshness, read_from_before_a_pause_is_ignored)
{
  run_script ("> answers none\n"
              "> run 100\n"
              "0 read\n"
              "> in-force 1\n"
              "> pause 4000\n"
              "> show\n"
              "version 1 awaiting-store\n"
              "> run 100\n"
              "4100 read\n"
              "> show\n"
              "version 1 awaiting-store\n"
              "> run 500\n"
              "> show\n"
              "version 1 unconfirmed\n");
}

/* Guards against a tight loop of reads of a version that cannot be parsed, and
   against final refusals of requests that this version may allow. */
Test (freshness, unparsable_version_confirms_nothing)
{
  run_script ("> readable 1\n"
              "> run 500\n"
              "0 read\n"
              "> store 2\n"
              "> run 3000\n"
              "1500 read\n"
              "3010 read\n"
              "> show\n"
              "version 1 unconfirmed may-watch\n");
}

/* Guards against final refusals by an older version that a restored store
   returns, while another node announces a newer one. */
Test (freshness, older_version_than_announced_confirms_nothing)
{
  run_script ("> run 500\n"
              "0 read\n"
              "> announce-unstamped 2\n"
              "> run 1000\n"
              "750 read\n"
              "> show\n"
              "version 1 unconfirmed may-watch\n"
              "> in-force 2\n"
              "> show\n"
              "version 2 confirmed may-watch\n");
}

/* Guards against final refusals by a node that has just started with what a
   restored store returns, before other nodes could announce their version. */
Test (freshness, started_node_awaits_an_announcement)
{
  run_script ("> expect-announcement 2000\n"
              "> run 500\n"
              "0 read\n"
              "> show\n"
              "version 1 unconfirmed\n"
              "> announce 1 0\n"
              "> show\n"
              "version 1 confirmed announced\n");
  run_script ("> expect-announcement 2000\n"
              "> run 2010\n"
              "0 read\n"
              "1500 read\n"
              "> show\n"
              "version 1 confirmed may-watch\n");
}

/* A failed watch may have missed a version, so a read must follow. */
Test (freshness, failed_watch_is_followed_by_a_read)
{
  run_script ("> run 1000\n"
              "0 read\n"
              "> watch-ends\n"
              "> run 200\n"
              "1100 read\n"
              "> show\n"
              "version 1 confirmed\n");
}

/* --- many nodes --------------------------------------------------------- */

#define NODES 18
#define RELAYS 4
#define FRAMES 4000
#define VERSIONS 200
#define RUN_MS ((clk_ms)20000)
#define ANNOUNCE_MS ((clk_ms)100)

struct node
{
  struct cur fresh;
  bool alive;
  clk_ms offset; /* offset of the node's clock */
  clk_ms frozen_until, ticked_at, next_announce;
  clk_ms stamp[NODES], stamp_at[NODES]; /* by sender; 0: none */
  clk_ms answer_at;
  int64_t answer;
};

struct frame
{
  clk_ms due; /* 0: free */
  int from, to;
  clk_ms sent;
  struct cur_announcement a;
};

struct fleet
{
  struct rng rng;
  clk_ms now;
  struct node node[NODES];
  struct frame frame[FRAMES];
  clk_ms acked[VERSIONS]; /* by version */
  int64_t newest;
  unsigned checked, behind;
};

static struct fleet f;

static clk_ms
clock_of (const struct node *n)
{
  return f.now + n->offset;
}

static void
start_node (struct node *n)
{
  *n = (struct node){ .alive = true,
                      .offset = START_MS + (clk_ms)rng_below (&f.rng, 99999),
                      .ticked_at = f.now };
  cur_init (&n->fresh, APPLY_MS);
}

static void
send_frame (int from, int to)
{
  const struct node *n = &f.node[from];
  bool late = rng_below (&f.rng, 50) == 0;

  for (int i = 0; i < FRAMES; i++)
    if (f.frame[i].due == 0)
      {
        f.frame[i] = (struct frame){
          .due = f.now + 1 + (clk_ms)rng_below (&f.rng, late ? 4000 : 40),
          .from = from,
          .to = to,
          .sent = clock_of (n),
          .a = { .version = n->fresh.version,
                 .has_echo = n->stamp[to] && n->fresh.confirmed_at,
                 .echoed_at = n->stamp[to],
                 .age_ms = n->stamp_at[to] - n->fresh.confirmed_at }
        };
        return;
      }
}

static void
deliver_frame (const struct frame *x)
{
  struct node *n = &f.node[x->to];

  if (!n->alive)
    return;
  n->stamp[x->from] = x->sent;
  n->stamp_at[x->from] = clock_of (n);
  cur_on_announcement (&n->fresh, clock_of (n), &x->a);
}

static void
tick_node (int i)
{
  struct node *n = &f.node[i];
  clk_ms now = clock_of (n);

  if (f.now - n->ticked_at > 500)
    cur_on_resume (&n->fresh, now);
  n->ticked_at = f.now;
  if (n->fresh.reading && f.now >= n->answer_at)
    {
      if (n->answer > n->fresh.version)
        cur_set_version (&n->fresh, n->answer);
      cur_read_done (&n->fresh, now,
                     n->answer > 0 ? CUR_READ_OK : CUR_READ_FAILED);
    }
  if (cur_should_read (&n->fresh, now, i < RELAYS))
    {
      cur_read_sent (&n->fresh, now);
      n->answer = rng_below (&f.rng, 20) ? f.newest : 0;
      n->answer_at = f.now + 1 + (clk_ms)rng_below (&f.rng, 300);
    }
  if (f.now < n->next_announce)
    return;
  n->next_announce = f.now + ANNOUNCE_MS;
  for (int to = 0; to < NODES; to++)
    if (to != i && (i < RELAYS || to < RELAYS))
      send_frame (i, to);
}

/** Count versions that were accepted longer ago than the limit and are newer
    than a version that the node treats as confirmed. */
static void
check_node (const struct node *n)
{
  if (cur_state (&n->fresh, clock_of (n)) != CUR_CONFIRMED)
    return;
  f.checked++;
  for (int64_t v = n->fresh.version + 1; v <= f.newest; v++)
    f.behind += f.acked[v] < f.now - APPLY_MS;
}

/** Restart a node: its links are closed, and its peers drop the times received
    from it. */
static void
restart (struct node *n)
{
  int i = (int)(n - f.node);

  start_node (n);
  for (int k = 0; k < NODES; k++)
    f.node[k].stamp[i] = 0;
  for (int k = 0; k < FRAMES; k++)
    if (f.frame[k].to == i || f.frame[k].from == i)
      f.frame[k].due = 0;
}

static void
inject_fault (void)
{
  struct node *n = &f.node[rng_below (&f.rng, NODES)];
  unsigned what = (unsigned)rng_below (&f.rng, 1000);

  if (what < 6)
    n->frozen_until = f.now + (clk_ms)rng_below (&f.rng, 5000);
  else if (what < 8)
    restart (n);
  else if (what < 9)
    for (int i = 0; i < NODES; i++)
      f.node[i].frozen_until = f.now + (clk_ms)rng_below (&f.rng, 5000);
  else if (what < 25 && f.newest + 1 < VERSIONS)
    f.acked[++f.newest] = f.now;
}

static void
run_fleet (uint64_t seed)
{
  f = (struct fleet){ .now = 1, .newest = 1 };
  rng_seed (&f.rng, seed);
  for (int i = 0; i < NODES; i++)
    start_node (&f.node[i]);
  for (; f.now < RUN_MS; f.now += STEP_MS)
    {
      inject_fault ();
      for (int i = 0; i < NODES; i++)
        if (f.now >= f.node[i].frozen_until)
          tick_node (i);
      for (int i = 0; i < FRAMES; i++)
        if (f.frame[i].due && f.now >= f.frame[i].due
            && f.now >= f.node[f.frame[i].to].frozen_until)
          {
            deliver_frame (&f.frame[i]);
            f.frame[i].due = 0;
          }
      for (int i = 0; i < NODES; i++)
        check_node (&f.node[i]);
    }
}

/* A node must not treat an outdated configuration as confirmed, in any order
   of delays, pauses and restarts; and it must have a confirmed one more than
   half of the time. */
Test (freshness, confirmed_is_never_behind)
{
  const unsigned all = NODES * (unsigned)(RUN_MS / STEP_MS);
  const char *seeds = getenv ("CURRENCY_SEEDS");
  uint64_t n = seeds ? strtoull (seeds, NULL, 10) : 20;

  for (uint64_t seed = 1; seed <= n; seed++)
    {
      run_fleet (seed);
      cr_expect_eq (f.behind, 0, "seed %llu: %u", (unsigned long long)seed,
                    f.behind);
      cr_expect_gt (f.checked, all / 2, "seed %llu: %u of %u",
                    (unsigned long long)seed, f.checked, all);
    }
}
