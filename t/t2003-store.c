#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "store/etcd.h"
#include "t/lib-net.h"
#include "t/lib-proc.h"

/*
 * The etcd adapter against the stand-in, which is a process of its own.  The
 * script's words act on the store; each callback writes one line.
 */
struct bench
{
  struct run run;
  struct httpc *http;
  struct store *store;
  struct store_watch *watch;
  const char *control;
  int64_t revision, lease;
  bool quiet; /* writes are not logged: they race with the watch's events */
  bool close_on_event;
};

static const char *const status_names[]
    = { "ok", "conflict", "uncertain", "unavailable", "over-budget", "gone" };

/* --- callbacks --------------------------------------------------------- */

static void
on_write (void *ctx, const struct store_result *r)
{
  struct bench *b = ctx;

  if (!b->quiet)
    run_log (&b->run, "write %s", status_names[r->status]);
  if (r->status == STORE_OK)
    b->revision = r->revision;
}

static void
on_range (void *ctx, const struct store_result *r)
{
  struct bench *b = ctx;

  run_log (&b->run, "range %s %zu", status_names[r->status], r->nkvs);
  for (size_t i = 0; i < r->nkvs; i++)
    run_log (&b->run, "kv %.*s=%.*s%s%s", STR_ARG (r->kvs[i].key),
             STR_ARG (r->kvs[i].value),
             r->kvs[i].mod_rev == b->revision ? " last" : "",
             r->kvs[i].lease != 0 ? " leased" : "");
  if (r->status == STORE_OK)
    b->revision = r->revision;
}

static void
on_lease (void *ctx, const struct store_result *r)
{
  struct bench *b = ctx;

  run_log (&b->run, "lease %s %d", status_names[r->status], (int)r->ttl);
  if (r->status == STORE_OK && r->lease != 0)
    b->lease = r->lease;
}

static void
on_events (void *ctx, int64_t revision, const struct store_watch_event *ev,
           size_t n)
{
  struct bench *b = ctx;

  for (size_t i = 0; i < n; i++)
    run_log (&b->run, "event %.*s %s%.*s", STR_ARG (ev[i].kv.key),
             ev[i].deleted ? "deleted" : "=", STR_ARG (ev[i].kv.value));
  if (!b->close_on_event)
    return;
  store_free (b->store);
  b->store = NULL;
}

static void
on_watch_end (void *ctx, enum store_status why)
{
  struct bench *b = ctx;

  b->watch = NULL;
  run_log (&b->run, "watch ended %s", status_names[why]);
}

/* --- words ------------------------------------------------------------- */

/* "put KEY VALUE [new|last]": only if absent, or unchanged since. */
static void
put (struct bench *b, struct str rest, int64_t lease)
{
  size_t a = str_chr (rest, ' ');
  struct str tail = str_skip (rest, a + 1);
  size_t c = str_chr (tail, ' ');
  struct str condition = str_skip (tail, c + 1);
  struct store_put p = { str_head (rest, a), str_head (tail, c), lease };
  struct store_compare cmp
      = { p.key, str_is (condition, "last") ? b->revision : 0 };
  struct store_txn t = {
    .compares = &cmp, .ncompares = condition.len > 0, .puts = &p, .nputs = 1
  };

  store_txn (b->store, STORE_CLAIMS, &t, on_write, b);
}

static void delete (struct bench *b, struct str key)
{
  struct store_txn t = { .deletes = &key, .ndeletes = 1 };

  store_txn (b->store, STORE_CLAIMS, &t, on_write, b);
}

static void
range (struct bench *b, struct str prefix)
{
  struct buf end = BUF_INIT;

  store_prefix_end (prefix, &end);
  store_range (b->store, STORE_CONFIG, prefix, buf_str (&end), on_range, b);
  buf_free (&end);
}

static void
watch (struct bench *b, struct str prefix, int64_t from)
{
  static const struct store_watch_cb cb = { on_events, on_watch_end };
  struct buf end = BUF_INIT;

  store_prefix_end (prefix, &end);
  b->watch = store_watch (b->store, prefix, buf_str (&end), from, &cb, b);
  buf_free (&end);
}

static void
set (struct bench *b, struct str json)
{
  struct web_answer a = { 0 };
  char *text = str_dup (json);

  cr_assert (web_call (b->control, "POST", "/control/set", NULL, text, &a));
  cr_assert_eq (a.status, 200);
  web_free (&a);
  free (text);
}

static void
log_counts (struct bench *b)
{
  const struct store_counts *n = store_counts (b->store);

  run_log (&b->run, "counts r%d t%d g%d k%d v%d w%d", (int)n->ranges,
           (int)n->txns, (int)n->grants, (int)n->keeps, (int)n->revokes,
           (int)n->watches);
}

static void
turn (struct bench *b, clk_ms ms)
{
  clk_ms end = clk_now () + ms;

  while (clk_now () < end)
    uv_run (&b->run.loop, UV_RUN_NOWAIT);
}

static void
step (void *ctx, struct str word, struct str rest)
{
  struct bench *b = ctx;
  int64_t n = 0;

  str_to_i64 (rest, &n);
  if (str_is (word, "set"))
    set (b, rest);
  else if (str_is (word, "put"))
    put (b, rest, 0);
  else if (str_is (word, "put-leased"))
    put (b, rest, b->lease);
  else if (str_is (word, "delete"))
    delete (b, rest);
  else if (str_is (word, "range"))
    range (b, rest);
  else if (str_is (word, "watch"))
    watch (b, rest, b->revision + 1);
  else if (str_is (word, "watch-old"))
    watch (b, rest, 1);
  else if (str_is (word, "grant"))
    store_lease_grant (b->store, n, on_lease, b);
  else if (str_is (word, "keep"))
    store_lease_keep (b->store, b->lease, on_lease, b);
  else if (str_is (word, "revoke"))
    store_lease_revoke (b->store, b->lease, on_lease, b);
  else if (str_is (word, "forget"))
    store_forget (b->store, b);
  else if (str_is (word, "close-on-event"))
    b->close_on_event = true;
  else if (str_is (word, "quiet"))
    b->quiet = true;
  else if (str_is (word, "loud"))
    b->quiet = false;
  else if (str_is (word, "turn"))
    turn (b, n);
  else if (str_is (word, "sleep"))
    uv_sleep ((unsigned)n);
  else if (str_is (word, "counts"))
    log_counts (b);
  else
    cr_assert (false, "no such word");
}

/* --- runs -------------------------------------------------------------- */

struct setup
{
  bool dead_first; /* the first of two endpoints refuses connections */
  clk_ms watch_idle_ms;
};

static void
play_with (struct setup setup, const char *script, const char *expected)
{
  struct bench b = { 0 };
  struct proc *p = PROC_START_READY ("standin", "store");
  struct store_budget budget = { 300, 1000 };
  struct net_addr at[2] = { { "127.0.0.1", 1 } };
  struct etcd_options opt = { .endpoints = setup.dead_first ? at : at + 1,
                              .nendpoints = setup.dead_first ? 2 : 1,
                              .call_ms = 400,
                              .watch_idle_ms = setup.watch_idle_ms };

  run_init (&b.run);
  cr_assert (net_addr_parse (str_from (proc_addr (p, "http")), false, &at[1]));
  b.control = proc_addr (p, "control");
  b.http = httpc_new (&b.run.loop);
  b.store = etcd_store_new (&b.run.loop, b.http, &opt, &budget);
  run_script (&b.run, script, step, &b);
  if (b.store != NULL)
    store_free (b.store);
  httpc_free (b.http);
  run_end (&b.run, expected);
}

static void
play (const char *script, const char *expected)
{
  play_with ((struct setup){ 0 }, script, expected);
}

TestSuite (store, .fini = proc_stop_all, .timeout = 60);

Test (store, compare_and_swap)
{
  play ("put a/1 x new\n wait write ok\n"
        "put a/1 y new\n wait write conflict\n"
        "range a/\n wait range ok 1\n"
        "put a/1 z last\n wait write ok\n put b/1 w new\n wait write ok\n"
        "delete b/1\n wait write ok\n range a/\n"
        "wait kv a/1=z\n counts",
        "write ok\nwrite conflict\nrange ok 1\nkv a/1=x last\n"
        "write ok\nwrite ok\nwrite ok\nrange ok 1\nkv a/1=z\n"
        "counts r2 t5 g0 k0 v0 w0\n");
}

/*
 * A write takes effect and its answer is lost.  It is uncertain, never
 * unavailable: a caller that took it for not written would write again.
 * What was written is found by reading.
 */
Test (store, lost_answer_is_uncertain)
{
  play ("set {\"lose_answer_next\": 1}\n put a x new\n"
        "wait write uncertain\n range a\n wait kv a=x",
        "write uncertain\nrange ok 1\nkv a=x\n");
}

/*
 * The store hands a write on among its members, loses its leader and answers
 * "unavailable"; the write is applied all the same.  Only errors by which it
 * says that it did nothing are taken for that.
 */
Test (store, error_that_says_nothing_is_uncertain)
{
  play ("set {\"fail_write\": 14}\n put a x new\n wait write uncertain\n"
        "set {\"fail_write\": 2}\n put b x new\n wait write uncertain\n"
        "set {\"clear\": true}\n range \n wait range ok 2",
        "write uncertain\nwrite uncertain\nrange ok 2\nkv a=x\n"
        "kv b=x\n");
}

/*
 * The store closes a connection just as a read goes out on it.  A read has
 * no effect and is sent again, once, over a new connection.
 */
Test (store, cut_read_is_sent_again_once)
{
  play ("set {\"lose_read_next\": 1}\n range a\n wait range ok 0\n"
        "set {\"lose_read_next\": 2}\n range a\n"
        "wait range unavailable 0",
        "range ok 0\nrange unavailable 0\n");
}

/*
 * The store takes the bytes and goes silent.  The write may have taken
 * effect, the read has no effect and is only unavailable.
 */
Test (store, silence_is_uncertain_for_writes_only)
{
  play ("set {\"down\": true, \"mode\": \"silent\"}\n put a x new\n"
        "wait write uncertain\n range a\n wait range unavailable 0",
        "write uncertain\nrange unavailable 0\n");
}

/*
 * Nobody listens, or the store says that it refused: not a byte was acted
 * on, and a caller may be told that its request was not run.
 */
Test (store, refused_write_was_not_applied)
{
  play ("set {\"down\": true, \"mode\": \"refuse\"}\n put a x new\n"
        "wait write unavailable\n"
        "set {\"down\": true, \"mode\": \"error\"}\n put b x new\n"
        "wait write unavailable\n range a\n"
        "wait range unavailable 0\n set {\"down\": false}\n range \n"
        "wait range ok 0",
        "write unavailable\nwrite unavailable\nrange unavailable 0\n"
        "range ok 0\n");
}

/*
 * The store applies a write long after the caller gave up.  Reading too
 * early finds nothing, which is why an uncertain write is settled by its
 * change number and never repeated blindly.
 */
Test (store, late_write_still_takes_effect)
{
  play ("set {\"delay_ms\": 700}\n put a x new\n wait write uncertain\n"
        "set {\"clear\": true}\n watch-old a\n wait event a =x\n",
        "write uncertain\nevent a =x\n");
}

/*
 * The process stops between asking for a write and sending it, for longer
 * than the call may take.  On waking the connection is ready, but the write
 * is not sent any more: its owner may have lost its lease meanwhile.
 */
Test (store, write_from_before_a_pause_is_not_sent)
{
  play ("range a\n wait range ok 0\n put a x new\n sleep 600\n"
        "wait write unavailable\n range a\n wait range ok 0",
        "range ok 0\nwrite unavailable\nrange ok 0\n");
}

/* Guards against a write that is reported as uncertain by a process that goes
   on after a pause, though its answer has come meanwhile. */
Test (store, an_answer_from_a_pause_is_read)
{
  play ("set {\"delay_ms\": 200}\n put a x new\n turn 100\n sleep 800\n"
        "wait write ok",
        "write ok\n");
}

/* The first endpoint refuses; the second is used from then on. */
Test (store, refused_connection_moves_to_the_next_endpoint)
{
  play_with ((struct setup){ .dead_first = true },
             "put a x new\n wait write ok\n range a\n wait kv a=x last",
             "write ok\nrange ok 1\nkv a=x last\n");
}

/*
 * A lease lapses at the store while its holder still believes in it.  The
 * keys go, keeping it alive says "gone", and so does a write that names it.
 */
Test (store, lapsed_lease_is_gone)
{
  play ("grant 5000\n wait lease ok 5000\n put-leased a x new\n"
        "wait write ok\n keep\n wait lease ok 5000\n range a\n wait kv a=x "
        "last leased\n"
        "set {\"lapse_lease\": \"all\"}\n"
        "range a\n wait range ok 0\n keep\n wait lease gone 0\n"
        "put-leased b x new\n wait write gone\n revoke\n wait lease gone 0\n "
        "counts",
        "lease ok 5000\nwrite ok\nlease ok 5000\nrange ok 1\n"
        "kv a=x last leased\nrange ok 0\nlease gone 0\nwrite gone\n"
        "lease gone 0\ncounts r2 t2 g1 k2 v1 w0\n");
}

/* A lease that nobody keeps ends by itself, and its key with it. */
Test (store, lease_lapses_by_time)
{
  play ("grant 1000\n wait lease ok 1000\n put-leased a x new\n"
        "wait write ok\n watch a\n wait event a deleted",
        "lease ok 1000\nwrite ok\nevent a deleted\n");
}

/*
 * A watch is cut while a change is made.  Its end is told; reading and
 * watching from the revision that was read misses nothing.
 */
Test (store, cut_watch_is_resumed_without_a_gap)
{
  play ("quiet\n watch a\n put a/1 x new\n wait event a/1 =x\n"
        "set {\"drop_watches\": true}\n wait watch ended unavailable\n"
        "loud\n put a/2 y new\n wait write ok\n range a\n"
        "wait kv a/2=y last\n"
        "quiet\n watch a\n put a/3 z new\n wait event a/3 =z\n"
        "delete a/1\n wait event a/1 deleted",
        "event a/1 =x\nwatch ended unavailable\nwrite ok\nrange ok 2\n"
        "kv a/1=x\nkv a/2=y last\nevent a/3 =z\nevent a/1 deleted\n");
}

/*
 * The connection of a watch goes silent without a close, and a change is
 * missed.  The watch ends by itself and reading finds the change.
 */
Test (store, silent_watch_ends)
{
  play_with ((struct setup){ .watch_idle_ms = 300 },
             "watch a\n set {\"silence_watches\": true}\n quiet\n"
             "put a x new\n wait watch ended unavailable\n range a\n"
             "wait kv a=x last",
             "watch ended unavailable\nrange ok 1\nkv a=x last\n");
}

/* The history that a watch asks for is gone: read everything again. */
Test (store, compacted_watch_is_gone)
{
  play ("put a x new\n wait write ok\n set {\"compact\": true}\n"
        "watch-old a\n wait watch ended gone",
        "write ok\nwatch ended gone\n");
}

/*
 * An owner goes away with calls open: its callbacks are dropped, its watch
 * is stopped, and nothing is called with its freed context.
 */
Test (store, forgotten_owner_hears_nothing)
{
  play ("watch a\n put a x new\n range a\n forget\n put b y new\n"
        "wait write ok\n counts",
        "write ok\ncounts r1 t2 g0 k0 v0 w1\n");
}

/* An owner stops everything, the store with it, from within an event. */
Test (store, closed_from_within_an_event)
{
  play ("quiet\n watch a\n close-on-event\n put a x new\n wait event a =x",
        "event a =x\n");
}
