#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"

#define PAGE "docs/EVENTS.md"

static const char *const levels[] = { "debug", "info", "warn", "error" };

/* The table's rows as they stand on the page, in its order. */
static void
read_page (struct buf *rows)
{
  char line[512];
  FILE *f = fopen (PAGE, "r");
  cr_assert_not_null (f, PAGE " can't be read; run tests from the root");
  while (fgets (line, sizeof line, f))
    if (strncmp (line, "| ", 2) == 0 && strchr ("0123456789", line[2]))
      buf_add_c (rows, line);
  fclose (f);
}

Test (events, page_and_catalogue_agree)
{
  struct buf page = BUF_INIT;
  struct buf code = BUF_INIT;
  size_t n;
  const struct log_entry *e = log_catalogue (&n);
  read_page (&page);
  for (size_t i = 0; i < n; i++)
    buf_addf (&code, "| %d | %s | %s | %s |\n", e[i].number, e[i].name,
              levels[e[i].level], e[i].sentence);
  cr_expect_str_eq (buf_c (&page), buf_c (&code),
                    PAGE " has:\n%s\nthe code has:\n%s", page.ptr, code.ptr);
  buf_free (&page);
  buf_free (&code);
}

Test (events, numbers_and_names_are_used_once)
{
  size_t n;
  const struct log_entry *e = log_catalogue (&n);
  for (size_t i = 0; i < n; i++)
    for (size_t j = i + 1; j < n; j++)
      {
        cr_expect_neq (e[i].number, e[j].number, "%d", e[i].number);
        cr_expect_str_neq (e[i].name, e[j].name, "%s", e[i].name);
      }
}
