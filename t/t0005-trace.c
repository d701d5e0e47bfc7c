#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "base/trace.h"

#define TRACE "4bf92f3577b34da6a3ce929d0e0e4736"
#define SPAN "00f067aa0ba902b7"
#define ROWS(t) (sizeof (t) / sizeof (t)[0])

Test (trace, traceparent_headers)
{
  static const struct
  {
    const char *header;
    bool ok;
  } rows[] = {
    { "00-" TRACE "-" SPAN "-01", true },
    { " 00-" TRACE "-" SPAN "-00 ", true },
    { "cc-" TRACE "-" SPAN "-01-later", true },
    { "cc-" TRACE "-" SPAN "-01later", false },
    { "00-" TRACE "-" SPAN "-01-later", false },
    { "ff-" TRACE "-" SPAN "-01", false },
    { "00-" TRACE "-" SPAN "-0", false },
    { "00-" TRACE "-" SPAN "-0x", false },
    { "00-00000000000000000000000000000000-" SPAN "-01", false },
    { "00-" TRACE "-0000000000000000-01", false },
    { "00-4BF92F3577B34DA6A3CE929D0E0E4736-" SPAN "-01", false },
    { "00_" TRACE "-" SPAN "-01", false },
    { "", false },
  };
  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct trc_id id = { 0 };
      bool ok = trc_parse (str_from (rows[i].header), &id);
      cr_expect_eq (ok, rows[i].ok, "'%s'", rows[i].header);
    }
}

Test (trace, child_keeps_the_trace)
{
  struct rng rng;
  struct trc_id parent;
  struct buf text = BUF_INIT;
  rng_seed (&rng, 7);
  cr_assert (trc_parse (STR ("00-" TRACE "-" SPAN "-01"), &parent));
  struct trc_id child = trc_child (&parent, &rng);
  cr_expect_arr_eq (child.trace, parent.trace, 16);
  cr_expect_arr_neq (child.span, parent.span, 8);
  trc_format (&child, &text);
  cr_expect (trc_parse (buf_str (&text), &parent));
  cr_expect_arr_eq (child.span, parent.span, 8);
  buf_free (&text);
}

static struct trc_span
span (uint8_t trace, uint8_t number)
{
  struct trc_span s = { .start = 1000 * number, .duration = number };
  s.id.trace[0] = trace;
  s.id.span[0] = number;
  s.parent[0] = number > 1;
  memset (s.name, 'n', sizeof s.name); /* too long: not terminated */
  snprintf (s.detail, sizeof s.detail, "\"%d", number);
  return s;
}

Test (trace, ring_forgets_the_oldest)
{
  struct trc_ring *r = trc_ring_new (3);
  struct buf out = BUF_INIT;
  uint8_t trace[16] = { 5 };
  for (uint8_t i = 1; i <= 5; i++)
    {
      struct trc_span s = span (i == 4 ? 6 : 5, i);
      trc_ring_add (r, &s);
    }
  trc_ring_json (r, trace, STR ("entry-1"), &out);
  cr_expect_str_eq (
      buf_c (&out),
      "[{\"span\":\"0300000000000000\",\"parent\":\"0100000000000000\","
      "\"node\":\"entry-1\",\"name\":\"nnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnn\","
      "\"detail\":\"\\\"3\",\"start_ms\":3000,\"duration_ms\":3},"
      "{\"span\":\"0500000000000000\",\"parent\":\"0100000000000000\","
      "\"node\":\"entry-1\",\"name\":\"nnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnn\","
      "\"detail\":\"\\\"5\",\"start_ms\":5000,\"duration_ms\":5}]");
  buf_free (&out);
  trc_ring_free (r);
}
