#include <criterion/criterion.h>
#include <string.h>

#include "base/metric.h"

Test (metric, counters_and_gauges)
{
  struct met_reg *reg = met_new ();
  struct buf out = BUF_INIT;
  met_add (met_counter (reg, "a_total", "As.", "kind=\"x\""), 2);
  met_add (met_counter (reg, "a_total", "As.", "kind=\"y\""), 1);
  met_set (met_gauge (reg, "b", "B.", NULL), 0.5);
  met_add (met_counter (reg, "a_total", "As.", "kind=\"x\""), 3);
  met_expose (reg, &out);
  cr_expect_str_eq (buf_c (&out), "# HELP a_total As.\n"
                                  "# TYPE a_total counter\n"
                                  "a_total{kind=\"x\"} 5\n"
                                  "a_total{kind=\"y\"} 1\n"
                                  "# HELP b B.\n"
                                  "# TYPE b gauge\n"
                                  "b 0.5\n");
  buf_free (&out);
  met_free (reg);
}

Test (metric, histogram_buckets_add_up)
{
  /* Values on a bound belong to it; those above the last bound are only in
     +Inf. */
  static const double values[] = { 0, 1, 1.5, 10, 60000, 60001 };
  static const char *const expected[]
      = { "wait_ms_bucket{to=\"m\",le=\"1\"} 2\n",
          "wait_ms_bucket{to=\"m\",le=\"2\"} 3\n",
          "wait_ms_bucket{to=\"m\",le=\"5\"} 3\n",
          "wait_ms_bucket{to=\"m\",le=\"10\"} 4\n",
          "wait_ms_bucket{to=\"m\",le=\"20000\"} 4\n",
          "wait_ms_bucket{to=\"m\",le=\"60000\"} 5\n",
          "wait_ms_bucket{to=\"m\",le=\"+Inf\"} 6\n",
          "wait_ms_sum{to=\"m\"} 120013.5\n",
          "wait_ms_count{to=\"m\"} 6\n" };
  struct met_reg *reg = met_new ();
  struct buf out = BUF_INIT;
  struct met_series *h = met_histogram (reg, "wait_ms", "W.", "to=\"m\"");
  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    met_observe (h, values[i]);
  met_expose (reg, &out);
  for (size_t i = 0; i < sizeof expected / sizeof expected[0]; i++)
    cr_expect_not_null (strstr (buf_c (&out), expected[i]), "%s in\n%s",
                        expected[i], out.ptr);
  buf_free (&out);
  met_free (reg);
}
