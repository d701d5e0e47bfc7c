#include <criterion/criterion.h>
#include <dirent.h>
#include <stdlib.h>
#include <string.h>

#include "lib-proc.h"

#define TRACES "t/traces/"

TestSuite (replay, .fini = proc_stop_all, .timeout = 60);

static int
by_name (const void *a, const void *b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

/* Sorted names of the traces, without suffix. */
static size_t
list_traces (char **names, size_t max)
{
  DIR *dir = opendir (TRACES);
  struct dirent *e;
  size_t n = 0;
  cr_assert_not_null (dir, TRACES " can't be read; run tests from the root");
  while ((e = readdir (dir)) != NULL)
    {
      char *dot = strstr (e->d_name, ".trace");
      if (dot != NULL && n < max)
        names[n++] = str_dup (str_make (e->d_name, (size_t)(dot - e->d_name)));
    }
  closedir (dir);
  qsort (names, n, sizeof *names, by_name);
  return n;
}

/* Traces of reported incidents, each with a description and a file of
   the expected actions. Two runs must give identical results. */
Test (replay, incidents_match_expected_actions)
{
  char *names[32];
  size_t n = list_traces (names, 32);
  cr_assert_geq (n, 6);
  for (size_t i = 0; i < n; i++)
    {
      struct buf trace = BUF_INIT, expect = BUF_INIT, out = BUF_INIT;
      buf_addf (&trace, TRACES "%s.trace", names[i]);
      buf_addf (&expect, TRACES "%s.expect", names[i]);
      for (int run = 0; run < 2; run++)
        cr_expect_eq (PROC_RUN (&out, "lapisline", "replay", "--expect",
                                buf_c (&expect), buf_c (&trace)),
                      0, "%s, run %d: %s", names[i], run, buf_c (&out));
      buf_free (&trace);
      buf_free (&expect);
      buf_free (&out);
      free (names[i]);
    }
}

/* For a damaged or empty trace, the exit code reports invalid input and no
   action is printed. */
Test (replay, damaged_trace_is_rejected)
{
  const char *head = "{\"core\":\"route\",\"seed\":1,\"nodes\":1}\n";
  const char *path = proc_file ("bad.trace",
                                "%s{\"t\":1,\"ev\":\"no-such-event\"}\n"
                                "{\"t\":2,\"ev\":\"arrive\"}\n"
                                "{\"t\":3,\n",
                                head);
  struct buf out = BUF_INIT;
  cr_expect_eq (PROC_RUN (&out, "lapisline", "replay", path), 3);
  cr_expect_null (strstr (buf_c (&out), "connect"));
  buf_free (&out);
  path = proc_file ("empty.trace", "%s", "");
  cr_expect_eq (PROC_RUN (&out, "lapisline", "replay", path), 3);
  buf_free (&out);
}

/* The command must fail if the actions differ from the expected ones. */
Test (replay, different_actions_fail)
{
  const char *expect = proc_file ("other.expect", "1000 connect id=1\n");
  struct buf out = BUF_INIT;
  cr_expect_eq (PROC_RUN (&out, "lapisline", "replay", "--expect", expect,
                          TRACES "stalled-quote.trace"),
                1);
  buf_free (&out);
}
