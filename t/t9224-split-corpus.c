/* The parser of server-sent events against the corpus of its fuzzer
   (`make fuzz`). */
#include <criterion/criterion.h>
#include <dirent.h>
#include <stdio.h>

#include "t/lib-split.h"

#define CORPUS "t/fuzz/split"
/** Longest input of the corpus. */
#define INPUT_MAX_LEN 128

/* Guards against events that are split, dropped or taken for complete because
   of where the bytes of a stream were divided. */
Test (split_corpus, chunks_make_no_difference)
{
  DIR *dir = opendir (CORPUS);
  int n = 0;

  cr_assert_not_null (dir, "no folder " CORPUS);
  for (struct dirent *e; (e = readdir (dir));)
    {
      char path[512], input[INPUT_MAX_LEN];
      const char *wrong;
      FILE *f;
      size_t len;

      if (e->d_name[0] == '.')
        continue;
      snprintf (path, sizeof path, CORPUS "/%s", e->d_name);
      f = fopen (path, "r");
      cr_assert_not_null (f, "%s", path);
      len = fread (input, 1, sizeof input, f);
      fclose (f);
      wrong = split_check (str_make (input, len));
      cr_expect_null (wrong, "%s: %s", path, wrong);
      n++;
    }
  closedir (dir);
  cr_expect_gt (n, 0, "the corpus is empty");
}
