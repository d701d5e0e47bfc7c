/* Pushes and their races; see t/lib-push.h for the lines of a script. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>

#include "config/manifest.h"
#include "t/lib-push.h"

Test (push, first_then_the_same_again)
{
  pushes_expect ("push amina 0 a=1,b=2\nrun amina\nshow\n"
                 "push otieno 0 a=1,b=2\nrun otieno\n",
                 "amina: read manifest: 0\n"
                 "amina: write file: at 1\n"
                 "amina: write file: at 2\n"
                 "amina: write doc: at 3\n"
                 "amina: swap on 0: at 4\n"
                 "amina: accepted at 4\n"
                 "added a.json\n"
                 "added b.json\n"
                 "store: 4 by amina: a.json/amina b.json/amina, past\n"
                 "otieno: read manifest: 4\n"
                 "otieno: unchanged at 4\n");
}

Test (push, two_operators_different_files)
{
  /* Both begin from revision 4.  Otieno's swap comes first; Amina's conflicts
     and is rebased.  Her folder still holds the old b: without the rebase her
     push would silently take Otieno's accepted change back. */
  pushes_expect (
      "seed a=1,b=1\n"
      "push amina 0 a=2,b=1\nstep amina\n"
      "push otieno 0 a=1,b=2,c=3\nrun otieno\nrun amina\nshow\n",
      "amina: read manifest: 4\n"
      "otieno: read manifest: 4\n"
      "otieno: write file: at 5\n"
      "otieno: write file: at 6\n"
      "otieno: write doc: at 7\n"
      "otieno: swap on 4: at 8\n"
      "otieno: accepted at 8\n"
      "changed b.json\n"
      "added c.json\n"
      "amina: write file: at 9\n"
      "amina: write doc: at 10\n"
      "amina: swap on 4: conflict\n"
      "amina: read manifest: 8\n"
      "amina: read file: 5\n"
      "amina: read file: 6\n"
      "amina: write file: at 11\n"
      "amina: write doc: at 12\n"
      "amina: swap on 8: at 13\n"
      "amina: accepted at 13\n"
      "changed a.json\n"
      "store: 13 by amina: a.json/amina b.json/otieno c.json/otieno, past "
      "4/ops 8/otieno\n");
}

Test (push, two_operators_same_file)
{
  /* Both change a; the second is told which file and who, and nothing of its
     push is in the store. */
  pushes_expect (
      "seed a=1,b=1\n"
      "push amina 0 a=2,b=2\nstep amina\n"
      "push otieno 0 a=3,b=1\nrun otieno\nrun amina\nshow\n",
      "amina: read manifest: 4\n"
      "otieno: read manifest: 4\n"
      "otieno: write file: at 5\n"
      "otieno: write doc: at 6\n"
      "otieno: swap on 4: at 7\n"
      "otieno: accepted at 7\n"
      "changed a.json\n"
      "amina: write file: at 8\n"
      "amina: write file: at 9\n"
      "amina: write doc: at 10\n"
      "amina: swap on 4: conflict\n"
      "amina: read manifest: 7\n"
      "amina: clash\n"
      "a.json: error: 'otieno' changed this file as well, after revision 4\n"
      "store: 7 by otieno: a.json/otieno b.json/ops, past 4/ops\n");
}

Test (push, removed_and_changed)
{
  /* Otieno removes a while Amina changes it: a clash as well, named after the
     one who removed it. */
  pushes_expect (
      "seed a=1,b=1\n"
      "push amina 0 a=2,b=1\nstep amina\n"
      "push otieno 0 b=1\nrun otieno\n"
      "push zuri 0 b=2\nrun zuri\nrun amina\n",
      "amina: read manifest: 4\n"
      "otieno: read manifest: 4\n"
      "otieno: write doc: at 5\n"
      "otieno: swap on 4: at 6\n"
      "otieno: accepted at 6\n"
      "removed a.json\n"
      "zuri: read manifest: 6\n"
      "zuri: write file: at 7\n"
      "zuri: write doc: at 8\n"
      "zuri: swap on 6: at 9\n"
      "zuri: accepted at 9\n"
      "changed b.json\n"
      "amina: write file: at 10\n"
      "amina: write doc: at 11\n"
      "amina: swap on 4: conflict\n"
      "amina: read manifest: 9\n"
      "amina: clash\n"
      "a.json: error: 'otieno' changed this file as well, after revision 4\n");
}

Test (push, old_folder_is_rebased_on_its_base)
{
  /* Amina's folder was made from revision 4; Otieno pushed b since.  Given
     its base, the push keeps his change; a base that the store does not keep
     is refused. */
  pushes_expect (
      "seed a=1,b=1\n"
      "push otieno 0 a=1,b=2\nrun otieno\n"
      "push amina 4 a=2,b=1\nrun amina\nshow\n"
      "push zuri 99 a=2,b=1\nrun zuri\n",
      "otieno: read manifest: 4\n"
      "otieno: write file: at 5\n"
      "otieno: write doc: at 6\n"
      "otieno: swap on 4: at 7\n"
      "otieno: accepted at 7\n"
      "changed b.json\n"
      "amina: read manifest: 7\n"
      "amina: read past/4: 7\n"
      "amina: read file: 5\n"
      "amina: write file: at 8\n"
      "amina: write doc: at 9\n"
      "amina: swap on 7: at 10\n"
      "amina: accepted at 10\n"
      "changed a.json\n"
      "store: 10 by amina: a.json/amina b.json/otieno, past 4/ops 7/otieno\n"
      "zuri: read manifest: 10\n"
      "zuri: read past/99: 0\n"
      "zuri: invalid\n"
      "error: the store does not keep revision 99 (only the last 64); compare "
      "with 'config diff' and give its revision\n");
}

Test (push, answer_lost_and_applied)
{
  /* The store applies the swap, its answer is lost.  Reading back finds the
     change number: accepted, and nothing is sent a second time. */
  pushes_expect ("seed a=1\npush amina 0 a=2\nstep amina\n"
                 "step amina\nstep amina\nstep amina lost\nrun amina\nshow\n",
                 "amina: read manifest: 3\n"
                 "amina: write file: at 4\n"
                 "amina: write doc: at 5\n"
                 "amina: swap on 3: no answer\n"
                 "amina: read manifest: 6\n"
                 "amina: accepted at 6\n"
                 "changed a.json\n"
                 "store: 6 by amina: a.json/amina, past 3/ops\n");
}

Test (push, answer_lost_and_not_applied)
{
  /* Lost on the way there: the manifest still is the predecessor, so the same
     swap goes out again. */
  pushes_expect (
      "seed a=1\npush amina 0 a=2\nstep amina\n"
      "step amina\nstep amina\nstep amina dropped\nrun amina\nshow\n",
      "amina: read manifest: 3\n"
      "amina: write file: at 4\n"
      "amina: write doc: at 5\n"
      "amina: swap on 3: no answer\n"
      "amina: read manifest: 3\n"
      "amina: swap on 3: at 6\n"
      "amina: accepted at 6\n"
      "changed a.json\n"
      "store: 6 by amina: a.json/amina, past 3/ops\n");
}

Test (push, late_swap_applies_once)
{
  /* The first swap is still on its way when the second is sent and applied;
     its compare can't hold any more when it arrives. */
  pushes_expect (
      "seed a=1\npush amina 0 a=2\nstep amina\n"
      "step amina\nstep amina\nstep amina held\nrun amina\ndeliver\nshow\n",
      "amina: read manifest: 3\n"
      "amina: write file: at 4\n"
      "amina: write doc: at 5\n"
      "amina: swap on 3: no answer\n"
      "amina: read manifest: 3\n"
      "amina: swap on 3: at 6\n"
      "amina: accepted at 6\n"
      "changed a.json\n"
      "delivered: conflict\n"
      "store: 6 by amina: a.json/amina, past 3/ops\n");
  /* It arrives between the read and the second swap: that one conflicts, and
     the manifest names this push. */
  pushes_expect (
      "seed a=1\npush amina 0 a=2\nstep amina\n"
      "step amina\nstep amina\nstep amina held\nstep amina\ndeliver\n"
      "run amina\nshow\n",
      "amina: read manifest: 3\n"
      "amina: write file: at 4\n"
      "amina: write doc: at 5\n"
      "amina: swap on 3: no answer\n"
      "amina: read manifest: 3\n"
      "delivered: applied\n"
      "amina: swap on 3: conflict\n"
      "amina: read manifest: 6\n"
      "amina: accepted at 6\n"
      "changed a.json\n"
      "store: 6 by amina: a.json/amina, past 3/ops\n");
}

Test (push, applied_then_pushed_over)
{
  /* The answer is lost, and Otieno pushes on top before Amina reads back: the
     manifest is his, its past names hers.  Pushing again would bring her a
     over his. */
  pushes_expect ("seed a=1\npush amina 0 a=2\nstep amina\n"
                 "step amina\nstep amina\nstep amina lost\n"
                 "push otieno 0 a=3\nrun otieno\nrun amina\nshow\n",
                 "amina: read manifest: 3\n"
                 "amina: write file: at 4\n"
                 "amina: write doc: at 5\n"
                 "amina: swap on 3: no answer\n"
                 "otieno: read manifest: 6\n"
                 "otieno: write file: at 7\n"
                 "otieno: write doc: at 8\n"
                 "otieno: swap on 6: at 9\n"
                 "otieno: accepted at 9\n"
                 "changed a.json\n"
                 "amina: read manifest: 9\n"
                 "amina: accepted at 6\n"
                 "changed a.json\n"
                 "store: 9 by otieno: a.json/otieno, past 3/ops 6/amina\n");
}

Test (push, store_down_before_and_after_the_swap)
{
  /* Down before the swap: nothing was changed, and the report says so.  Down
     after a swap whose answer was lost: nobody can tell yet. */
  pushes_expect ("push amina 0 a=2\nstep amina down\nstep amina\nstep amina\n"
                 "step amina\nstep amina\nstep amina held\n"
                 "step amina down\nstep amina\nstep amina down\nstep amina\n"
                 "step amina down\nstep amina\nstep amina down\nstep amina\n"
                 "step amina down\nstep amina\nstep amina down\nstep amina\n"
                 "step amina down\nstep amina\nstep amina down\nstep amina\n"
                 "step amina down\n",
                 "amina: read manifest: down\n"
                 "amina: wait 100\n"
                 "amina: read manifest: 0\n"
                 "amina: write file: at 1\n"
                 "amina: write doc: at 2\n"
                 "amina: swap on 0: no answer\n"
                 "amina: read manifest: down\n"
                 "amina: wait 100\n"
                 "amina: read manifest: down\n"
                 "amina: wait 200\n"
                 "amina: read manifest: down\n"
                 "amina: wait 400\n"
                 "amina: read manifest: down\n"
                 "amina: wait 800\n"
                 "amina: read manifest: down\n"
                 "amina: wait 1600\n"
                 "amina: read manifest: down\n"
                 "amina: wait 2000\n"
                 "amina: read manifest: down\n"
                 "amina: wait 2000\n"
                 "amina: read manifest: down\n"
                 "amina: wait 2000\n"
                 "amina: read manifest: down\n"
                 "amina: unknown\n");
}

Test (push, rebased_whole_is_checked)
{
  /* Otieno takes model b away while Amina adds an account that may use it:
     different files, each push good by itself, the whole is not. */
  pushes_expect (
      "seed a=1,b=1\n"
      "push amina 0 a=1,b=1,z=b\nstep amina\n"
      "push otieno 0 a=1\nrun otieno\nrun amina\nshow\n",
      "amina: read manifest: 4\n"
      "otieno: read manifest: 4\n"
      "otieno: write doc: at 5\n"
      "otieno: swap on 4: at 6\n"
      "otieno: accepted at 6\n"
      "removed b.json\n"
      "amina: write file: at 7\n"
      "amina: write doc: at 8\n"
      "amina: swap on 4: conflict\n"
      "amina: read manifest: 6\n"
      "amina: invalid\n"
      "z.json:1: /accounts/z: warning: has no key, so nobody can use it\n"
      "z.json:1: /accounts/z/may/0: error: there is no model or service "
      "'b'; did you mean 'a'?\n"
      "store: 6 by otieno: a.json/ops, past 4/ops\n");
}

Test (push, applied_and_pushed_over_many_times)
{
  /* Amina's swap is applied, its answer lost, and she reads back only when
     the past no longer names her push.  Whether it was applied can't be told
     any more; "clash" would say that it was not. */
  struct pushes r = { .kv = memkv_new () };
  char files[32];

  pushes_lines (&r, "seed a=1\npush amina 0 a=2\nstep amina\nstep amina\n"
                    "step amina\nstep amina lost\n");
  for (size_t i = 0; i < MFT_MAX_PAST + 2; i++)
    {
      snprintf (files, sizeof files, "a=%zu", 3 + i % 2);
      pushes_seed (&r, files);
    }
  pushes_lines (&r, "run amina\n");
  cr_expect_str_eq (buf_c (&r.log), "amina: read manifest: 204\n"
                                    "amina: unknown\n");
  pushes_end (&r);
}

/* Overwrite the contents of all files that the store keeps. */
static void
damage_files (struct pushes *r)
{
  struct store_kv files[8];
  size_t n = memkv_list (r->kv, STR (PUSH_PREFIX "config/file/"),
                         STR (PUSH_PREFIX "config/file0"), files, 8);

  for (size_t i = 0; i < n; i++)
    {
      char *key = str_dup (files[i].key);
      struct store_put put = { str_from (key), STR ("{}"), 0 };
      memkv_txn (r->kv, &(struct store_txn){ .puts = &put, .nputs = 1 });
      free (key);
    }
}

Test (push, damaged_file_is_not_taken_over)
{
  /* Otieno changed b, whose text the store has since lost by somebody's hand.
     Amina's rebase would carry the wrong text into a whole that looks checked;
     the hash under which it is kept tells. */
  struct pushes r = { .kv = memkv_new () };

  pushes_lines (&r, "seed a=1,b=1\npush amina 0 a=2,b=1\nstep amina\n"
                    "push otieno 0 a=1,b=2\nrun otieno\n");
  damage_files (&r);
  buf_clear (&r.log);
  pushes_lines (&r, "run amina\n");
  cr_expect_str_eq (
      buf_c (&r.log),
      "amina: write file: at 11\n"
      "amina: write doc: at 12\n"
      "amina: swap on 4: conflict\n"
      "amina: read manifest: 7\n"
      "amina: read file: 8\n"
      "amina: invalid\n"
      "error: the store's file 039aa70f3d77352a22a66d4c523637e027025b1f0637d31"
      "433a89ede3b396f4f does not have that hash\n");
  pushes_end (&r);
}

Test (push, past_is_bounded)
{
  /* A hundred pushes: the store keeps the last 64 manifests and what they
     refer to, and drops the rest. */
  struct pushes r = { .kv = memkv_new () };
  char files[32];

  for (size_t i = 0; i < 100; i++)
    {
      snprintf (files, sizeof files, "a=%zu,b=1", 1 + i % 16);
      pushes_seed (&r, files);
      cr_assert_eq (memkv_count (r.kv, STR (PUSH_PREFIX "config/past/")),
                    i < MFT_MAX_PAST ? i : MFT_MAX_PAST);
    }
  for (size_t i = 0; i < 70; i++)
    {
      snprintf (files, sizeof files, "a=%zu", 1 + i % 2);
      pushes_seed (&r, files);
    }
  cr_expect_eq (memkv_count (r.kv, STR (PUSH_PREFIX "config/file/")), 2);
  cr_expect_eq (memkv_count (r.kv, STR (PUSH_PREFIX "config/doc/")), 2);
  pushes_end (&r);
}

Test (push, hundreds_of_dropped_files_leave_bit_by_bit)
{
  /* An operator moves 300 small files into one.  64 pushes later their
     contents fall out of the past, all at once.  In one transaction they are
     more than the store takes: this push and all that follow would be
     refused for good.  They go a part with each push instead, and in the
     end nothing of them is left. */
  struct pushes r = { .kv = memkv_new () };
  struct buf many = BUF_INIT;
  char one[32];

  for (int i = 0; i < 300; i++)
    buf_addf (&many, "%sf%d=1", i ? "," : "", i);
  pushes_seed (&r, (char *)buf_c (&many));
  cr_expect_eq (memkv_count (r.kv, STR (PUSH_PREFIX "config/file/")), 300);
  for (size_t i = 0; i < MFT_MAX_PAST + 10; i++)
    {
      snprintf (one, sizeof one, "a=%zu", 1 + i % 2);
      pushes_seed (&r, one);
    }
  buf_free (&many);
  cr_expect_eq (memkv_count (r.kv, STR (PUSH_PREFIX "config/past/")),
                MFT_MAX_PAST);
  cr_expect_eq (memkv_count (r.kv, STR (PUSH_PREFIX "config/file/")), 2);
  cr_expect_eq (memkv_count (r.kv, STR (PUSH_PREFIX "config/doc/")), 2);
  pushes_end (&r);
}
