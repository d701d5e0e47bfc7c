/*
 * Request rates that backend servers ask for: what answers say, and what
 * follows from it at one node and at many.
 */
#include <criterion/criterion.h>
#include <stdio.h>

#include "platform/names.h"
#include "platform/platform.h"

/** What the adapter reads from an answer with these values of the header. */
static const char *
read_header (const char *first, const char *second)
{
  static char text[64];
  struct http_header h[2] = { { STR (PLT_H_RATE), str_from (first) } };
  struct srv_answer a;

  if (second)
    h[1] = (struct http_header){ STR (PLT_H_RATE), str_from (second) };
  plt_answer (STR ("id"), 200, h, second ? 2 : 1, &a);
  if (a.limit == LIM_SAYS_UNREADABLE)
    return "unreadable";
  snprintf (text, sizeof text, "%g", a.rate);
  return a.limit == LIM_SAYS_RATE ? text : "nothing";
}

/* Guards against a limit that is misread: nonsense must change nothing. */
Test (limit, header_values)
{
  static const char *const row[][3] = {
    { "1.9", NULL, "1.9" },
    { " 3.50 ", NULL, "3.5" },
    { "0", NULL, "0" },
    { "0.3", NULL, "0.3" },
    { "12", NULL, "12" },
    { "1e9", NULL, "1e+09" },
    { "nan", NULL, "unreadable" },
    { "inf", NULL, "unreadable" },
    { "-1", NULL, "unreadable" },
    { "", NULL, "unreadable" },
    { "ten", NULL, "unreadable" },
    { "2 a second", NULL, "unreadable" },
    { "0x10", NULL, "unreadable" },
    { "1e999", NULL, "unreadable" },
    { "2,5", NULL, "unreadable" },
    { "2", "3", "unreadable" },
    { "2", "2", "unreadable" },
    { ".5", NULL, "unreadable" },
  };

  for (size_t i = 0; i < sizeof row / sizeof row[0]; i++)
    cr_expect_str_eq (read_header (row[i][0], row[i][1]), row[i][2], "%s",
                      row[i][0]);
}

/* Guards against a limit that is read from an answer that names none. */
Test (limit, no_header)
{
  struct srv_answer a;

  plt_answer (STR ("id"), 200, NULL, 0, &a);
  cr_expect_eq (a.limit, LIM_SAYS_NOTHING);
}
