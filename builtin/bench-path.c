/* What a gateway adds to the path of a request: the same load against a
   backend server directly and through a gateway, in turn, in one run.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "builtin/bench.h"
#include "builtin/commands.h"
#include "builtin/stats.h"
#include "lapisline.h"
#include "net/httpc.h"

#define MAX_ROUNDS 15
#define STREAM_TOKENS 100
/** Of a stream that is held open, one a second. */
#define HELD_TOKENS 60
#define PROGRESS_MS (30 * CLK_SECOND)
#define SETTLE_MS ((clk_ms)3000)
#define STALLED_CALLS 200
#define STALL_MS ((clk_ms)300)

struct options
{
  char *direct, *gateway, *key, *model, *stalled;
  int pid;
  int rounds;
  int requests;
  int concurrency;
  int streams;
  int token_ms;
  int open;
};

/** One side of the comparison. */
struct side
{
  const char *name;
  struct net_addr to;
};

/** A load: closed loop of `width` callers until `total` calls have ended. */
struct load
{
  uv_loop_t *loop;
  struct httpc *http;
  struct httpc_request req;
  int width, total;
  int started, ended, failed;
  int bad_status; /**< of the first call that failed, and how it ended */
  enum httpc_end bad_end;
  struct buf why; /**< what the first answer that is no 200 said */
  bool hold;      /**< streams are to stay open: stop when all gave a byte */
  int first;
  size_t events;
  double *whole_ms, *first_ms;
  struct call **calls;
};

struct call
{
  struct load *l;
  struct httpc_call *call;
  uint64_t began, first;
  int index;
  int status;
};

/** Figures of one load. */
struct figures
{
  double per_s, whole50, whole99, first50, first99, cpu_us, tokens_per_s;
  int failed;
};

/* ---- load ---- */

static void start_one (struct load *l);

static void
on_head (void *ctx, int status, const struct http_header *h, size_t n)
{
  struct call *c = ctx;
  c->status = status;
}

static size_t
count_events (struct str s)
{
  size_t n = 0;
  const char *p = s.ptr, *end = s.ptr + s.len;

  while ((p = memmem (p, (size_t)(end - p), "\n\n", 2)) != NULL)
    {
      n++;
      p += 2;
    }
  return n;
}

static void
on_body (void *ctx, struct str bytes)
{
  struct call *c = ctx;
  struct load *l = c->l;

  l->events += count_events (bytes);
  if (c->status != 200 && l->why.len == 0)
    buf_add (&l->why, bytes);
  if (c->first != 0)
    return;
  c->first = uv_hrtime ();
  if (l->hold && ++l->first == l->total)
    uv_stop (l->loop);
}

static void
note_failure (struct load *l, const struct call *c, enum httpc_end end)
{
  if (end == HTTPC_COMPLETE && c->status == 200)
    return;
  if (l->failed++ > 0)
    return;
  l->bad_status = c->status;
  l->bad_end = end;
}

static void
print_failure (const struct load *l)
{
  if (l->failed > 0)
    printf ("  %d failed, the first with status %d, end %d: %.*s\n", l->failed,
            l->bad_status, (int)l->bad_end, STR_ARG (buf_str (&l->why)));
}

static void
on_end (void *ctx, enum httpc_end end)
{
  struct call *c = ctx;
  struct load *l = c->l;
  uint64_t now = uv_hrtime ();

  l->whole_ms[l->ended] = (double)(now - c->began) / 1e6;
  l->first_ms[l->ended]
      = (double)((c->first ? c->first : now) - c->began) / 1e6;
  note_failure (l, c, end);
  l->ended++;
  l->calls[c->index] = NULL;
  free (c);
  if (l->started < l->total)
    start_one (l);
  else if (l->ended == l->total)
    uv_stop (l->loop);
}

static void
start_one (struct load *l)
{
  static const struct httpc_callbacks cb = { NULL, on_head, on_body, on_end };
  struct call *c = xcalloc (1, sizeof *c);

  c->l = l;
  c->index = l->started;
  c->began = uv_hrtime ();
  l->calls[l->started++] = c;
  c->call = httpc_start (l->http, &l->req, &cb, c);
}

static void
load_start (struct load *l)
{
  l->whole_ms = xcalloc ((size_t)l->total, sizeof (double));
  l->first_ms = xcalloc ((size_t)l->total, sizeof (double));
  l->calls = xcalloc ((size_t)l->total, sizeof *l->calls);
  for (int i = 0; i < l->width && i < l->total; i++)
    start_one (l);
}

static void
load_run (struct load *l)
{
  load_start (l);
  uv_run (l->loop, UV_RUN_DEFAULT);
}

static void
load_free (struct load *l)
{
  for (int i = 0; i < l->started; i++)
    if (l->calls[i] != NULL)
      {
        httpc_cancel (l->calls[i]->call);
        free (l->calls[i]);
      }
  buf_free (&l->why);
  free (l->calls);
  free (l->whole_ms);
  free (l->first_ms);
}

/* ---- what the kernel says of the gateway ---- */

/** Processor time of a process so far, in microseconds. */
static double
cpu_us (int pid)
{
  char path[64];
  unsigned long user = 0, sys = 0;

  snprintf (path, sizeof path, "/proc/%d/stat", pid);
  FILE *f = fopen (path, "r");
  if (f == NULL)
    return 0;
  if (fscanf (f,
              "%*d (%*[^)]) %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
              "%lu %lu",
              &user, &sys)
      != 2)
    user = sys = 0;
  fclose (f);
  return (double)(user + sys) * 1e6 / (double)sysconf (_SC_CLK_TCK);
}

static double
resident_kb (int pid)
{
  char path[64], line[128];
  long kb = 0;

  snprintf (path, sizeof path, "/proc/%d/status", pid);
  FILE *f = fopen (path, "r");
  while (f != NULL && fgets (line, sizeof line, f) != NULL)
    if (sscanf (line, "VmRSS: %ld", &kb) == 1)
      break;
  if (f != NULL)
    fclose (f);
  return (double)kb;
}

/* ---- figures ---- */

static double
percentile (double *v, int n, double share)
{
  sta_sort (v, (size_t)n);
  return sta_quantile (v, (size_t)n, share);
}

/** "median (least..most)" over the rounds. */
static void
print_spread (const char *what, const struct figures *f, int n, size_t at)
{
  double v[MAX_ROUNDS];

  for (int i = 0; i < n; i++)
    memcpy (&v[i], (const char *)&f[i] + at, sizeof (double));
  sta_sort (v, (size_t)n);
  printf ("  %s %.3f (%.3f..%.3f)", what, v[n / 2], v[0], v[n - 1]);
}

#define SPREAD(what, f, n, field)                                             \
  print_spread ((what), (f), (n), offsetof (struct figures, field))

/* ---- the process ---- */

struct bench
{
  struct options opt;
  uv_loop_t loop;
  struct httpc *http, *other;
  struct http_header headers[2];
  struct buf bearer;
};

static struct load
make_load (struct bench *b, const struct side *s, struct str body)
{
  struct load l = { .loop = &b->loop, .http = b->http };

  l.req = (struct httpc_request){ .to = s->to,
                                  .method = STR ("POST"),
                                  .path = STR ("/v1/completions"),
                                  .headers = b->headers,
                                  .nheaders = 2,
                                  .body = body,
                                  .connect_ms = 10 * CLK_SECOND,
                                  .progress_ms = PROGRESS_MS,
                                  .max_body = SIZE_MAX };
  return l;
}

static void
make_body (const struct bench *b, bool stream, int tokens, struct buf *out)
{
  buf_addf (out,
            "{\"model\":\"%s\",\"prompt\":\"bays near the port of Mombasa\","
            "\"stream\":%s,\"max_tokens\":%d}",
            b->opt.model, stream ? "true" : "false", tokens);
}

static struct figures
measure (struct bench *b, const struct side *s, bool stream)
{
  struct buf body = BUF_INIT;
  struct figures f = { 0 };

  make_body (b, stream, stream ? STREAM_TOKENS : 8, &body);
  struct load l = make_load (b, s, buf_str (&body));
  l.width = stream ? b->opt.streams : b->opt.concurrency;
  l.total = stream ? b->opt.streams : b->opt.requests;
  double cpu = cpu_us (b->opt.pid);
  uint64_t began = uv_hrtime ();
  load_run (&l);
  double s_taken = (double)(uv_hrtime () - began) / 1e9;
  cpu = cpu_us (b->opt.pid) - cpu;
  f.per_s = l.ended / s_taken;
  f.tokens_per_s = (double)l.events / s_taken;
  f.cpu_us = cpu / (stream ? (double)(l.events ? l.events : 1) : l.ended);
  f.whole50 = percentile (l.whole_ms, l.ended, 0.5);
  f.whole99 = percentile (l.whole_ms, l.ended, 0.99);
  f.first50 = percentile (l.first_ms, l.ended, 0.5);
  f.first99 = percentile (l.first_ms, l.ended, 0.99);
  f.failed = l.failed;
  print_failure (&l);
  load_free (&l);
  buf_free (&body);
  return f;
}

static void
ignore_head (void *ctx, int status, const struct http_header *h, size_t n)
{
}

static void
ignore_body (void *ctx, struct str bytes)
{
}

static void
on_set (void *ctx, enum httpc_end end)
{
  uv_stop (ctx);
}

/** Milliseconds between the tokens of the stand-in. */
static void
set_token_ms (struct bench *b, const struct side *direct, int ms)
{
  static const struct httpc_callbacks cb
      = { NULL, ignore_head, ignore_body, on_set };
  struct buf body = BUF_INIT;

  buf_addf (&body, "{\"token_ms\":%d}", ms);
  struct httpc_request r = { .to = direct->to,
                             .method = STR ("POST"),
                             .path = STR ("/control/set"),
                             .body = buf_str (&body),
                             .connect_ms = CLK_SECOND,
                             .progress_ms = CLK_SECOND };
  httpc_start (b->http, &r, &cb, &b->loop);
  uv_run (&b->loop, UV_RUN_DEFAULT);
  buf_free (&body);
}

static void
compare (struct bench *b, const struct side side[2], bool stream)
{
  struct figures f[2][MAX_ROUNDS];
  int failed = 0, n = b->opt.rounds;

  for (int i = 0; i < n; i++)
    for (int k = 0; k < 2; k++)
      {
        f[k][i] = measure (b, &side[k], stream);
        failed += f[k][i].failed;
      }
  for (int k = 0; k < 2; k++)
    {
      printf ("%s %s:\n", stream ? "streams" : "whole", side[k].name);
      SPREAD ("requests/s", f[k], n, per_s);
      if (stream)
        SPREAD ("tokens/s", f[k], n, tokens_per_s);
      printf ("\n");
      SPREAD ("first byte p50 ms", f[k], n, first50);
      SPREAD ("p99 ms", f[k], n, first99);
      printf ("\n");
      SPREAD ("whole p50 ms", f[k], n, whole50);
      SPREAD ("p99 ms", f[k], n, whole99);
      printf ("\n");
    }
  SPREAD (stream ? "gateway processor us/token"
                 : "gateway processor us/request",
          f[1], n, cpu_us);
  printf ("\n  failed %d\n", failed);
}

static void
on_settled (uv_timer_t *t)
{
  uv_stop (t->loop);
}

static void
settle (struct bench *b, clk_ms ms)
{
  uv_timer_t timer;

  uv_timer_init (&b->loop, &timer);
  uv_timer_start (&timer, on_settled, (uint64_t)ms, 0);
  uv_run (&b->loop, UV_RUN_DEFAULT);
  uv_close ((uv_handle_t *)&timer, NULL);
  uv_run (&b->loop, UV_RUN_NOWAIT);
}

/** Memory of the gateway with many streams open. */
static void
hold_open (struct bench *b, const struct side *gateway)
{
  struct buf body = BUF_INIT;

  make_body (b, true, HELD_TOKENS, &body);
  struct load l = make_load (b, gateway, buf_str (&body));
  l.width = l.total = b->opt.open;
  l.hold = true;
  double before = resident_kb (b->opt.pid);
  load_run (&l);
  settle (b, SETTLE_MS);
  double after = resident_kb (b->opt.pid);
  printf ("open streams %d: gateway resident %.1f MB before, %.1f MB with "
          "them, %.2f kB a stream; ended early %d\n",
          l.first, before / 1024, after / 1024,
          l.first ? (after - before) / l.first : 0, l.ended);
  print_failure (&l);
  load_free (&l);
  buf_free (&body);
}

/** Whole answers through the gateway while calls to a service that never
    answers fill its slots and its queue; in turn with and without them. */
static void
beside_stalled (struct bench *b, const struct side *gateway)
{
  struct figures f[2][MAX_ROUNDS];
  struct buf path = BUF_INIT;
  int n = b->opt.rounds;

  buf_addf (&path, "/svc/%s/quote", b->opt.stalled);
  for (int i = 0; i < n; i++)
    {
      f[0][i] = measure (b, gateway, false);
      struct load l = make_load (b, gateway, STR_EMPTY);
      /* Connections of its own: a client keeps a limited number of them open
         per address, and the measured calls would have to connect anew. */
      l.http = b->other;
      l.req.method = STR ("GET");
      l.req.path = buf_str (&path);
      l.width = l.total = STALLED_CALLS;
      load_start (&l);
      settle (b, STALL_MS);
      f[1][i] = measure (b, gateway, false);
      printf ("  round %d: %d of %d calls to '%s' still waited\n", i + 1,
              l.started - l.ended, STALLED_CALLS, b->opt.stalled);
      load_free (&l);
      settle (b, STALL_MS);
    }
  for (int k = 0; k < 2; k++)
    {
      printf ("whole gateway %s a stalled service:\n",
              k ? "beside" : "without");
      SPREAD ("requests/s", f[k], n, per_s);
      SPREAD ("p50 ms", f[k], n, whole50);
      SPREAD ("p99 ms", f[k], n, whole99);
      SPREAD ("gateway processor us/request", f[k], n, cpu_us);
      printf ("\n");
    }
  buf_free (&path);
}

static void
run (struct bench *b, const struct side side[2])
{
  const struct options *o = &b->opt;

  bench_banner ("path", 0);
  printf ("rounds=%d requests=%d concurrency=%d streams=%d x %d tokens, "
          "token-ms=%d, open=%d; median (least..most) of the rounds\n",
          o->rounds, o->requests, o->concurrency, o->streams, STREAM_TOKENS,
          o->token_ms, o->open);
  set_token_ms (b, &side[0], 0);
  compare (b, side, false);
  if (o->stalled != NULL)
    beside_stalled (b, &side[1]);
  set_token_ms (b, &side[0], o->token_ms);
  compare (b, side, true);
  set_token_ms (b, &side[0], 1000);
  hold_open (b, &side[1]);
}

static bool
parse (struct options *o, int *argc, char ***argv)
{
  GOptionEntry entries[] = {
    { "direct", 0, 0, G_OPTION_ARG_STRING, &o->direct,
      "the backend server (a model stand-in)", "ADDR" },
    { "gateway", 0, 0, G_OPTION_ARG_STRING, &o->gateway, "a gateway before it",
      "ADDR" },
    { "gateway-pid", 0, 0, G_OPTION_ARG_INT, &o->pid,
      "its process, for processor time and memory", "PID" },
    { "key", 0, 0, G_OPTION_ARG_STRING, &o->key, "bearer key", "KEY" },
    { "model", 0, 0, G_OPTION_ARG_STRING, &o->model, "model", "NAME" },
    { "stalled", 0, 0, G_OPTION_ARG_STRING, &o->stalled,
      "a service that never answers, to measure beside it", "NAME" },
    { "rounds", 0, 0, G_OPTION_ARG_INT, &o->rounds, "1 to 15", "N" },
    { "requests", 0, 0, G_OPTION_ARG_INT, &o->requests, "a round", "N" },
    { "concurrency", 0, 0, G_OPTION_ARG_INT, &o->concurrency, "callers", "N" },
    { "streams", 0, 0, G_OPTION_ARG_INT, &o->streams, "streams at once", "N" },
    { "token-ms", 0, 0, G_OPTION_ARG_INT, &o->token_ms, "between tokens",
      "MS" },
    { "open", 0, 0, G_OPTION_ARG_INT, &o->open, "streams held open", "N" },
    { 0 }
  };

  return commands_options (entries, "- what a gateway adds", NULL, argc, argv);
}

static bool
sane (const struct options *o, struct side side[2])
{
  return o->direct != NULL && o->gateway != NULL && o->rounds >= 1
         && o->rounds <= MAX_ROUNDS && o->requests > 0 && o->streams > 0
         && o->concurrency > 0 && o->open > 0
         && net_addr_parse (str_from (o->direct), false, &side[0].to)
         && net_addr_parse (str_from (o->gateway), false, &side[1].to);
}

int
bench_path (int argc, char **argv)
{
  static struct bench b = { .opt = { .rounds = 5,
                                     .requests = 10000,
                                     .concurrency = 32,
                                     .streams = 500,
                                     .token_ms = 20,
                                     .open = 5000 } };
  struct side side[2] = { { .name = "direct" }, { .name = "gateway" } };

  if (!parse (&b.opt, &argc, &argv))
    return EXIT_USAGE;
  if (!sane (&b.opt, side))
    {
      fputs ("lapisline bench path: --direct, --gateway, --gateway-pid, "
             "--key and --model are needed\n",
             stderr);
      return EXIT_USAGE;
    }
  if (b.opt.model == NULL)
    b.opt.model = g_strdup ("ghala-lm");
  buf_addf (&b.bearer, "Bearer %s", b.opt.key ? b.opt.key : "");
  b.headers[0]
      = (struct http_header){ STR ("authorization"), buf_str (&b.bearer) };
  b.headers[1]
      = (struct http_header){ STR ("content-type"), STR ("application/json") };
  uv_loop_init (&b.loop);
  b.http = httpc_new (&b.loop);
  b.other = httpc_new (&b.loop);
  run (&b, side);
  return EXIT_DONE;
}
