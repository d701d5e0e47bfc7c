#include <criterion/criterion.h>
#include <string.h>

#include "t/lib-proc.h"

TestSuite (names, .fini = proc_stop_all);

/* A name of the platform's wire outside platform/ is found, with its place. */
Test (names, of_the_platform_are_found_elsewhere)
{
  struct buf out = BUF_INIT;

  proc_file ("serve/planted.c", "/* X-Lapisline-Deadline-Ms */\n");
  cr_expect_eq (PROC_RUN (&out, "/bin/sh", "t/check-names.sh", proc_dir ()),
                1);
  cr_expect_not_null (strstr (buf_c (&out), "./serve/planted.c:1:"));
  buf_free (&out);
}

Test (names, of_the_platform_are_in_its_folder_alone)
{
  struct buf out = BUF_INIT;

  cr_expect_eq (PROC_RUN (&out, "/bin/sh", "t/check-names.sh", "."), 0, "%s",
                buf_c (&out));
  buf_free (&out);
}
