#include "t/lib-transcript.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

void
transcript_check (struct buf *log, transcript_fn run, const char *text)
{
  char *copy = xstrdup (text);
  char *save = NULL;

  for (char *line = strtok_r (copy, "\n", &save); line != NULL;
       line = strtok_r (NULL, "\n", &save))
    if (strncmp (line, "> ", 2) == 0)
      {
        buf_addf (log, "%s\n", line);
        run (line + 2);
      }
  cr_assert_str_eq (buf_c (log), text, "got:\n%s\nexpected:\n%s", buf_c (log),
                    text);
  buf_clear (log);
  free (copy);
}
