/* What a claim costs on the path of a booking: the same calls without and
   with an Idempotency-Key, at a steady rate over all gateways in turn.  */
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "builtin/bench.h"
#include "builtin/stats.h"
#include "lapisline.h"
#include "net/httpc.h"

#define MAX_GATEWAYS 32
#define MAX_SECONDS 60
#define MAX_RATE 20000
#define TICK_MS 2
#define CALL_MS (30 * CLK_SECOND)

struct options
{
  char **gateways;
  char *key, *path;
  int rate, seconds;
};

struct bench
{
  struct options opt;
  uv_loop_t loop;
  uv_timer_t timer;
  struct httpc *http;
  struct net_addr to[MAX_GATEWAYS];
  size_t ngateways;
  struct buf bearer;
  unsigned run; /**< keys of one process and run are its own */
};

/** Calls at a steady rate, begun whether or not earlier ones have ended. */
struct load
{
  struct bench *b;
  bool keyed;
  uint64_t began;
  int total, started, ended, failed;
  double *ms;
};

struct call
{
  struct load *l;
  uint64_t began;
  int status;
};

static void
on_head (void *ctx, int status, const struct http_header *h, size_t n)
{
  struct call *c = ctx;
  c->status = status;
}

static void
on_body (void *ctx, struct str bytes)
{
}

static void
on_end (void *ctx, enum httpc_end end)
{
  struct call *c = ctx;
  struct load *l = c->l;

  l->ms[l->ended++] = (double)(uv_hrtime () - c->began) / 1e6;
  l->failed += end != HTTPC_COMPLETE || c->status != 200;
  free (c);
  if (l->ended == l->total)
    uv_stop (&l->b->loop);
}

static void
start_one (struct load *l)
{
  static const struct httpc_callbacks cb = { NULL, on_head, on_body, on_end };
  struct bench *b = l->b;
  struct call *c = xcalloc (1, sizeof *c);
  struct buf key = BUF_INIT;
  struct http_header headers[]
      = { { STR ("authorization"), buf_str (&b->bearer) },
          { STR ("content-type"), STR ("application/json") },
          { STR ("idempotency-key"), STR_EMPTY } };
  struct httpc_request r = { .to = b->to[l->started % (int)b->ngateways],
                             .method = STR ("POST"),
                             .path = str_from (b->opt.path),
                             .headers = headers,
                             .nheaders = l->keyed ? 3 : 2,
                             .body = STR ("{\"bay\":7}"),
                             .connect_ms = CALL_MS,
                             .progress_ms = CALL_MS };

  buf_addf (&key, "bay-%u-%d", b->run, l->started++);
  headers[2].value = buf_str (&key);
  c->l = l;
  c->began = uv_hrtime ();
  httpc_start (b->http, &r, &cb, c);
  buf_free (&key);
}

static void
on_tick (uv_timer_t *t)
{
  struct load *l = t->data;
  double s = (double)(uv_hrtime () - l->began) / 1e9;
  int due = (int)(s * l->b->opt.rate);

  while (l->started < l->total && l->started < due)
    start_one (l);
  if (l->started == l->total)
    uv_timer_stop (t);
}

static void
measure (struct bench *b, bool keyed)
{
  struct load l = { .b = b, .keyed = keyed };

  l.total = b->opt.rate * b->opt.seconds;
  l.ms = xcalloc ((size_t)l.total, sizeof *l.ms);
  l.began = uv_hrtime ();
  b->run = (unsigned)l.began;
  b->timer.data = &l;
  uv_timer_start (&b->timer, on_tick, 0, TICK_MS);
  uv_run (&b->loop, UV_RUN_DEFAULT);
  double s = (double)(uv_hrtime () - l.began) / 1e9;
  sta_sort (l.ms, (size_t)l.ended);
  printf ("%s key: %.0f bookings/s, p50 %.1f ms, p99 %.1f ms, %d of %d "
          "failed\n",
          keyed ? "with" : "without", l.ended / s,
          sta_quantile (l.ms, (size_t)l.ended, 0.5),
          sta_quantile (l.ms, (size_t)l.ended, 0.99), l.failed, l.total);
  free (l.ms);
}

static bool
parse (struct options *o, int *argc, char ***argv)
{
  GError *error = NULL;
  GOptionEntry entries[] = {
    { "gateway", 0, 0, G_OPTION_ARG_STRING_ARRAY, &o->gateways,
      "may be given several times", "ADDR" },
    { "key", 0, 0, G_OPTION_ARG_STRING, &o->key, "bearer key", "KEY" },
    { "path", 0, 0, G_OPTION_ARG_STRING, &o->path, "of the calls", "PATH" },
    { "rate", 0, 0, G_OPTION_ARG_INT, &o->rate, "calls a second", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &o->seconds, "of each load", "N" },
    { 0 }
  };
  GOptionContext *oc = g_option_context_new ("- what a claim adds");

  g_option_context_add_main_entries (oc, entries, NULL);
  bool ok = g_option_context_parse (oc, argc, argv, &error);
  g_option_context_free (oc);
  if (!ok)
    fprintf (stderr, "lapisline bench bookings: %s\n", error->message);
  g_clear_error (&error);
  return ok;
}

static bool
sane (struct bench *b)
{
  const struct options *o = &b->opt;

  if (o->gateways == NULL || o->path == NULL || o->rate < 1
      || o->rate > MAX_RATE || o->seconds < 1 || o->seconds > MAX_SECONDS)
    return false;
  for (char **at = o->gateways; *at != NULL; at++)
    if (b->ngateways == MAX_GATEWAYS
        || !net_addr_parse (str_from (*at), false, &b->to[b->ngateways++]))
      return false;
  return true;
}

int
bench_bookings (int argc, char **argv)
{
  static struct bench b = { .opt = { .rate = 500, .seconds = 10 } };

  if (!parse (&b.opt, &argc, &argv))
    return EXIT_USAGE;
  if (!sane (&b))
    {
      fputs ("lapisline bench bookings: --gateway and --path are needed\n",
             stderr);
      return EXIT_USAGE;
    }
  bench_banner ("bookings", 0);
  buf_addf (&b.bearer, "Bearer %s", b.opt.key ? b.opt.key : "");
  uv_loop_init (&b.loop);
  uv_timer_init (&b.loop, &b.timer);
  b.http = httpc_new (&b.loop);
  measure (&b, false);
  measure (&b, true);
  return EXIT_DONE;
}
