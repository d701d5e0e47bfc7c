/*
 * Client of the platform's key-value service against a scripted service in the
 * same event loop, which answers each call when the script says so: restores
 * of the service from an older copy while calls are in flight.
 */
#include <criterion/criterion.h>

#include "net/httpd.h"
#include "platform/kv.h"
#include "t/lib-net.h"

#define MAX_CALLS 16
#define MAX_LEASES 8

struct bench
{
  struct run run;
  struct httpc *http;
  struct httpd *httpd;
  struct store *store;
  struct httpd_req *calls[MAX_CALLS]; /* by arrival; NULL: ended */
  int ncalls;
  int64_t leases[MAX_LEASES]; /* as granted; the script names them 0, 1, ... */
  int nleases;
  int64_t revision; /* of the last write or read */
};

static const char *const status_names[]
    = { "ok", "conflict", "uncertain", "unavailable", "over-budget", "gone" };

/* --- service ----------------------------------------------------------- */

static void
on_gone (void *ctx)
{
  *(struct httpd_req **)ctx = NULL;
}

static void
on_request (void *ctx, struct httpd_req *req)
{
  struct bench *b = ctx;
  const struct httpd_view *v = httpd_get (req);

  cr_assert_lt (b->ncalls, MAX_CALLS);
  httpd_on_disconnect (req, on_gone, &b->calls[b->ncalls]);
  b->calls[b->ncalls++] = req;
  run_log (&b->run, "call %.*s%s%.*s", STR_ARG (v->path),
           v->body.len ? " " : "", STR_ARG (v->body));
}

/* "answer CALL ERA STATUS [BODY]"; calls are numbered from 0; ERA "-": without
   the header. */
static void
answer (struct bench *b, struct str rest)
{
  struct str words[3];
  int64_t index = 0, status = 0;
  struct http_header h = { STR ("store-era"), STR_EMPTY };

  for (int i = 0; i < 3; i++)
    {
      size_t end = str_chr (rest, ' ');
      words[i] = str_head (rest, end);
      rest = str_skip (rest, end + 1);
    }
  cr_assert (str_to_i64 (words[0], &index) && index < b->ncalls);
  cr_assert_not_null (b->calls[index]);
  cr_assert (str_to_i64 (words[2], &status));
  h.value = words[1];
  httpd_answer (b->calls[index], (int)status, &h,
                str_is (words[1], "-") ? 0 : 1, rest.len ? rest : STR ("{}"));
  b->calls[index] = NULL;
}

/* --- callbacks --------------------------------------------------------- */

static void
on_grant (void *ctx, const struct store_result *r)
{
  struct bench *b = ctx;

  run_log (&b->run, "grant %s", status_names[r->status]);
  if (r->status != STORE_OK)
    return;
  cr_assert_lt (b->nleases, MAX_LEASES);
  b->leases[b->nleases++] = r->lease;
}

static void
on_keep (void *ctx, const struct store_result *r)
{
  run_log (&((struct bench *)ctx)->run, "keep %s", status_names[r->status]);
}

static void
on_revoke (void *ctx, const struct store_result *r)
{
  run_log (&((struct bench *)ctx)->run, "revoke %s", status_names[r->status]);
}

static void
on_write (void *ctx, const struct store_result *r)
{
  struct bench *b = ctx;

  run_log (&b->run, "write %s", status_names[r->status]);
  if (r->status == STORE_OK)
    b->revision = r->revision;
}

static int
lease_index (const struct bench *b, int64_t lease)
{
  for (int i = 0; i < b->nleases; i++)
    if (b->leases[i] == lease)
      return i;
  return -1;
}

static void
log_item (struct bench *b, const struct store_kv *kv)
{
  int index = lease_index (b, kv->lease);

  if (kv->lease == 0)
    run_log (&b->run, "kv %.*s", STR_ARG (kv->key));
  else if (index < 0)
    run_log (&b->run, "kv %.*s foreign", STR_ARG (kv->key));
  else
    run_log (&b->run, "kv %.*s %d", STR_ARG (kv->key), index);
}

static void
on_read (void *ctx, const struct store_result *r)
{
  struct bench *b = ctx;

  run_log (&b->run, "read %s", status_names[r->status]);
  for (size_t i = 0; i < r->nkvs; i++)
    log_item (b, &r->kvs[i]);
  if (r->status == STORE_OK)
    b->revision = r->nkvs ? r->kvs[0].mod_rev : r->revision;
}

static void
on_events (void *ctx, int64_t revision, const struct store_watch_event *ev,
           size_t n)
{
  struct bench *b = ctx;

  run_log (&b->run, "events %zu", n);
  for (size_t i = 0; i < n; i++)
    log_item (b, &ev[i].kv);
}

static void
on_watch_end (void *ctx, enum store_status why)
{
  run_log (&((struct bench *)ctx)->run, "watch %s", status_names[why]);
}

/* --- words ------------------------------------------------------------- */

/* "put LEASE [last]": put key "k"; LEASE "-": none; "last": only if its
   revision is the one read last. */
static void
put (struct bench *b, struct str rest)
{
  size_t end = str_chr (rest, ' ');
  struct str word = str_head (rest, end);
  bool last = str_is (str_skip (rest, end + 1), "last");
  int64_t lease = 0;
  struct store_put p = { STR ("k"), STR ("v"), 0 };
  struct store_compare c = { STR ("k"), last ? b->revision : 0 };
  struct store_txn t
      = { .compares = &c, .ncompares = 1, .puts = &p, .nputs = 1 };

  if (str_to_i64 (word, &lease))
    p.lease = b->leases[lease];
  store_txn (b->store, STORE_CLAIMS, &t, on_write, b);
}

static void
watch (struct bench *b)
{
  static const struct store_watch_cb cb = { on_events, on_watch_end };

  store_watch (b->store, STR ("k"), STR ("l"), b->revision + 1, &cb, b);
}

static void
step (void *ctx, struct str word, struct str rest)
{
  struct bench *b = ctx;
  int64_t n = 0;

  str_to_i64 (rest, &n);
  if (str_is (word, "answer"))
    answer (b, rest);
  else if (str_is (word, "grant"))
    store_lease_grant (b->store, 15000, on_grant, b);
  else if (str_is (word, "keep"))
    store_lease_keep (b->store, b->leases[n], on_keep, b);
  else if (str_is (word, "revoke"))
    store_lease_revoke (b->store, b->leases[n], on_revoke, b);
  else if (str_is (word, "put"))
    put (b, rest);
  else if (str_is (word, "read"))
    store_range (b->store, STORE_CLAIMS, STR ("k"), STR_EMPTY, on_read, b);
  else if (str_is (word, "watch"))
    watch (b);
  else if (str_is (word, "learn"))
    store_learn_era (b->store, n, "node");
  else if (str_is (word, "poll"))
    run_poll (&b->run);
  else
    cr_assert (false, "no such word");
}

/* --- runs -------------------------------------------------------------- */

/** The store is freed at the end of the script, whatever is in flight. */
static void
play (const char *script, const char *expected)
{
  struct bench b = { 0 };
  struct store_budget budget = { 1000, 1000 };
  struct httpd_limits limits
      = { .max_body = 65536, .max_connections = 100, .request_ms = 5000 };
  struct net_addr at = run_any_loopback ();
  struct buf err = BUF_INIT;

  run_init (&b.run);
  b.httpd = httpd_listen (&b.run.loop, &at, &limits, on_request, &b, &err);
  cr_assert (b.httpd, "%s", buf_c (&err));
  at.port = httpd_port (b.httpd);
  b.http = httpc_new (&b.run.loop);
  b.store = plt_kv_new (&b.run.loop, b.http, &at, &budget);
  run_script (&b.run, script, step, &b);
  store_free (b.store);
  for (int i = 0; i < b.ncalls; i++)
    if (b.calls[i])
      httpd_answer (b.calls[i], 503, NULL, 0, STR_EMPTY);
  httpc_free (b.http);
  httpd_free (b.httpd);
  run_end (&b.run, expected);
}

TestSuite (kv, .timeout = 60);

#define GRANT "grant\n wait call /kv-lease {\"ttl_ms\":15000}\n"
#define GRANT_LOG "call /kv-lease {\"ttl_ms\":15000}\n"
#define GRANTED GRANT "answer 0 1 200 {\"lease\": 7}\n wait grant ok\n"
#define GRANTED_LOG GRANT_LOG "grant ok\n"
#define PUT_CALL                                                              \
  "call /kv-txn {\"expected\":[{\"key\":\"k\",\"rev\":0}],"                   \
  "\"writes\":[{\"key\":\"k\",\"value\":\"dg==\",\"lease\":7}],"              \
  "\"remove\":[]}\n"

/* Guards against renewing, ending or writing under a lease of before a restore
   that another process told of: its identifier may be of another process.  All
   four calls are refused at once, none of them is sent. */
Test (kv, forgotten_lease_is_not_sent)
{
  play (GRANTED "learn 2\n keep 0\n keep 0\n put 0\n revoke 0\n"
                "wait revoke gone",
        GRANTED_LOG "keep gone\nkeep gone\nwrite gone\nrevoke gone\n");
}

/* Guards against a refused call that ends only at the timeout of a call. */
Test (kv, refused_call_ends_before_other_calls)
{
  play (GRANTED "learn 2\n keep 0\n read\n wait call /kv-key\n"
                "answer 1 2 404\n wait read ok",
        GRANTED_LOG "keep gone\ncall /kv-key\nread ok\n");
}

/* The same, learned from the response to another call. */
Test (kv, rise_in_response_forgets_leases)
{
  play (GRANTED "read\n wait call /kv-key\n answer 1 2 404\n wait read ok\n"
                "keep 0\n wait keep gone",
        GRANTED_LOG "call /kv-key\nread ok\nkeep gone\n");
}

/* Guards against a client without a lease after a restore: the next grant
   counts, also with the identifier that the earlier one had. */
Test (kv, lease_of_new_era_is_usable)
{
  play (GRANTED "learn 2\n grant\n wait call /kv-lease {\"ttl_ms\":15000}\n"
                "answer 1 2 200 {\"lease\": 7}\n wait grant ok\n keep 0\n"
                "wait keep gone\n keep 1\n wait call /kv-keep/7\n"
                "answer 2 2 200\n wait keep ok\n read\n wait call /kv-key\n"
                "answer 3 2 200 {\"key\": \"k\", \"rev\": 5, \"lease\": 7}\n"
                "wait kv k 1",
        GRANTED_LOG GRANT_LOG "grant ok\nkeep gone\ncall /kv-keep/7\nkeep ok\n"
                              "call /kv-key\nread ok\nkv k 1\n");
}

/* Guards against a lease that the restore has lost, because its grant was
   answered after the client knew of the restore. */
Test (kv, late_grant_of_earlier_era_is_uncertain)
{
  play (GRANT "learn 2\n answer 0 1 200 {\"lease\": 7}\n"
              "wait grant uncertain",
        GRANT_LOG "grant uncertain\n");
}

/* Guards against forgetting a lease with the very response that granted it. */
Test (kv, grant_that_raises_the_era_is_usable)
{
  play (GRANT "answer 0 2 200 {\"lease\": 7}\n wait grant ok\n"
              "keep 0\n wait call /kv-keep/7",
        GRANT_LOG "grant ok\ncall /kv-keep/7\n");
}

/* Guards against a renewal that counts although the restored service renewed
   the lease of another process: the holder would go on without a lease. */
Test (kv, renewal_answered_in_new_era_does_not_count)
{
  play (GRANTED "keep 0\n wait call /kv-keep/7\n answer 1 2 200\n"
                "wait keep gone",
        GRANTED_LOG "call /kv-keep/7\nkeep gone\n");
}

/* Guards against a write that counts although the restored service wrote it
   under the lease of another process: the key would stay as long as that
   process, or end with it. */
Test (kv, leased_write_answered_in_new_era_is_uncertain)
{
  play (GRANTED "put 0\n wait " PUT_CALL
                "answer 1 2 200 {\"rev\": 5}\n wait write uncertain",
        GRANTED_LOG PUT_CALL "write uncertain\n");
}

/* Guards against taking the key of another process for this one's, or one
   without a lease for leased. */
Test (kv, lease_of_other_process_is_foreign)
{
  play (GRANTED "read\n wait call /kv-key\n"
                "answer 1 1 200 {\"key\": \"k\", \"rev\": 5, \"lease\": 8}\n"
                "wait kv k foreign\n read\n wait call /kv-key\n"
                "answer 2 1 200 {\"key\": \"k\", \"rev\": 5, \"lease\": 0}\n"
                "wait kv k\n read\n wait call /kv-key\n"
                "answer 3 1 200 {\"key\": \"k\", \"rev\": 5, \"lease\": 7}\n"
                "wait kv k 0\n read\n wait call /kv-key\n"
                "answer 4 2 200 {\"key\": \"k\", \"rev\": 5, \"lease\": 7}\n"
                "wait kv k foreign",
        GRANTED_LOG "call /kv-key\nread ok\nkv k foreign\n"
                    "call /kv-key\nread ok\nkv k\n"
                    "call /kv-key\nread ok\nkv k 0\n"
                    "call /kv-key\nread ok\nkv k foreign\n");
}

/* Guards against a malformed grant: with a lease of identifier 0, all keys
   without a lease would count as held under it. */
Test (kv, grant_without_identifier_is_no_lease)
{
  play (GRANT "answer 0 1 200 {}\n wait grant uncertain\n"
              "read\n wait call /kv-key\n"
              "answer 1 1 200 {\"key\": \"k\", \"rev\": 5, \"lease\": 0}\n"
              "wait kv k",
        GRANT_LOG "grant uncertain\ncall /kv-key\nread ok\nkv k\n");
}

/* Guards against leases lost by what is no restore: a response without the
   header, or a late one of an earlier era. */
Test (kv, leases_stay_without_rise)
{
  play (GRANTED "keep 0\n wait call /kv-keep/7\n answer 1 - 200\n"
                "wait keep ok\n read\n wait call /kv-key\n answer 2 0 404\n"
                "wait read unavailable\n learn 1\n keep 0\n"
                "wait call /kv-keep/7",
        GRANTED_LOG "call /kv-keep/7\nkeep ok\ncall /kv-key\n"
                    "read unavailable\ncall /kv-keep/7\n");
}

/* A service that names no era: leases work, and are forgotten one by one. */
Test (kv, leases_without_era)
{
  play (GRANT "answer 0 - 200 {\"lease\": 7}\n wait grant ok\n keep 0\n"
              "wait call /kv-keep/7\n answer 1 - 200\n wait keep ok\n"
              "keep 0\n wait call /kv-keep/7\n answer 2 - 404\n"
              "wait keep gone\n keep 0\n wait keep gone",
        GRANT_LOG "grant ok\ncall /kv-keep/7\nkeep ok\n"
                  "call /kv-keep/7\nkeep gone\nkeep gone\n");
}

/* Guards against use after free and leaks: the client is freed while refused
   and sent calls are pending. */
Test (kv, freed_with_refused_calls_pending)
{
  play (GRANTED "grant\n wait call /kv-lease {\"ttl_ms\":15000}\n learn 2\n"
                "keep 0\n keep 0\n put 0\n revoke 0",
        GRANTED_LOG GRANT_LOG);
}

/* Guards against a watch of an earlier era: the service assigned its revisions
   again. */
Test (kv, watch_ends_with_its_era)
{
  play ("read\n wait call /kv-key\n"
        "answer 0 1 200 {\"key\": \"k\", \"rev\": 5}\n wait kv k\n"
        "watch\n wait call /kv-watch\n learn 2\n wait watch gone\n"
        "put - last\n wait write conflict",
        "call /kv-key\nread ok\nkv k\ncall /kv-watch\nwatch gone\n"
        "write conflict\n");
}
