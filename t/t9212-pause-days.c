/* Days on which part of the backend servers ask all nodes for pauses, with
   simulated servers and clients (`lapisline bench pauses`). */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/lib-proc.h"

TestSuite (pause_days, .fini = proc_stop_all, .timeout = 120);

/** Maximum of requests that a node may send to a server in a pause. */
#define MAX_IN_PAUSE 2

struct day
{
  const char *nodes, *servers, *capacity, *rate, *share, *pause;
};

struct figures
{
  unsigned requests, rejections, max_in_pause;
  double worth, served, in_time, refused, failed, wait_ms;
};

/** Reads the row of the output that begins with @p name. */
static void
read_row (struct buf *out, const char *name, struct figures *f)
{
  const char *row = strstr (buf_c (out), name);

  cr_assert (row, "no row %s in %s", name, buf_c (out));
  cr_assert_eq (sscanf (row, "%*s %u %lf %lf %lf %lf %lf %u %u %lf",
                        &f->requests, &f->worth, &f->served, &f->in_time,
                        &f->refused, &f->failed, &f->rejections,
                        &f->max_in_pause, &f->wait_ms),
                9);
}

static void
play (const struct day *d)
{
  struct figures ignored, respected;
  struct buf out = BUF_INIT;

  cr_assert_eq (PROC_RUN (&out, "lapisline", "bench", "pauses", "--nodes",
                          d->nodes, "--servers", d->servers, "--capacity",
                          d->capacity, "--rate", d->rate, "--share", d->share,
                          "--pause", d->pause),
                0);
  read_row (&out, "ignored ", &ignored);
  read_row (&out, "respected ", &respected);
  cr_expect_gt (ignored.max_in_pause, MAX_IN_PAUSE, "%s", buf_c (&out));
  cr_expect_leq (respected.max_in_pause, MAX_IN_PAUSE, "%s", buf_c (&out));
  cr_expect_geq (respected.worth, ignored.worth, "%s", buf_c (&out));
  cr_expect_lt (respected.wait_ms, 50, "%s", buf_c (&out));
  buf_free (&out);
}

/* Guards against callers that lose by it that their node respects pauses, and
   against requests in pauses where many servers ask all nodes. */
Test (pause_days, callers_lose_nothing)
{
  static const struct day days[] = {
    { "8", "12", "26", "160", "0.25", "3" },
    { "8", "12", "26", "160", "0.5", "0.8" },
    { "8", "12", "26", "160", "0.5", "3" },
    { "8", "12", "26", "160", "1", "3" },
    { "63", "18", "48", "430", "0.5", "3" },
  };

  for (size_t i = 0; i < sizeof days / sizeof days[0]; i++)
    play (&days[i]);
}
