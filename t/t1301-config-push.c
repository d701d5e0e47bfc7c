/* `lapisline config` as processes over the store's stand-in. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/lib-proc.h"

#define ROUNDS 10

TestSuite (config_push, .fini = proc_stop_all);

static const char *store;

static void
start_store (void)
{
  struct proc *p
      = PROC_START_READY ("standin", "store", "--listen", "127.0.0.1:0");

  store = xstrdup (proc_addr (p, "http"));
}

/** Faults of the store's stand-in. */
static void
set_store (const char *json)
{
  struct web_answer a = { 0 };

  cr_assert (web_call (store, "POST", "/control/set", NULL, json, &a));
  cr_assert_eq (a.status, 200);
  web_free (&a);
}

/** File NAME.json of an operator's folder, with one model of N VMs. */
static void
put_file (const char *folder, const char *name, int vms)
{
  char path[64];

  snprintf (path, sizeof path, "%s/%s.json", folder, name);
  proc_file (path,
             "{ \"models\": { \"%s\": { \"mode\": \"observe\", \"vms\": %d } "
             "} }\n",
             name, vms);
}

static const char *
folder_path (const char *folder)
{
  static char path[4][512];
  static int next;

  next = (next + 1) % 4;
  snprintf (path[next], sizeof path[next], "%s/%s", proc_dir (), folder);
  return path[next];
}

static struct proc *
start_push (const char *who, const char *base)
{
  return PROC ("lapisline", "config", "push", folder_path (who), "--store",
               store, "--who", who, "--base", base);
}

static void
push (const char *who, int status, const char *want)
{
  struct buf out = BUF_INIT;
  int got = PROC_RUN (&out, "lapisline", "config", "push", folder_path (who),
                      "--store", store, "--who", who);

  cr_expect_eq (got, status, "%s: status %d: %s", who, got, buf_c (&out));
  cr_expect_str_eq (buf_c (&out), want);
  buf_free (&out);
}

/** Run a verb with the store's address. */
static void
expect (int status, const char *want, const char *verb, const char *arg)
{
  struct buf out = BUF_INIT;
  int got
      = PROC_RUN (&out, "lapisline", "config", verb, arg, "--store", store);

  cr_expect_eq (got, status, "%s: status %d", verb, got);
  cr_expect_str_eq (buf_c (&out), want);
  buf_free (&out);
}

/** The store holds just the files of that folder. */
static void
expect_same (const char *folder)
{
  struct buf out = BUF_INIT;

  cr_expect_eq (PROC_RUN (&out, "lapisline", "config", "diff",
                          folder_path (folder), "--store", store),
                0, "%s", buf_c (&out));
  buf_free (&out);
}

Test (config_push, first_change_and_old_folder)
{
  start_store ();
  put_file ("amina", "a", 1);
  put_file ("amina", "b", 1);
  push ("amina", 0, "accepted at revision 5\nadded a.json\nadded b.json\n");
  push ("amina", 0, "unchanged: nothing here is newer than revision 5\n");
  put_file ("otieno", "a", 1);
  put_file ("otieno", "b", 2);
  expect (1, "against revision 5\nchanged b.json (last changed by amina)\n",
          "diff", folder_path ("otieno"));
  push ("otieno", 0, "accepted at revision 8\nchanged b.json\n");
  /* Amina's folder is the one of her last push and knows nothing of b = 2;
     it must not take that back. */
  put_file ("amina", "a", 3);
  push ("amina", 0,
        "accepted at revision 11\nchanged a.json\nother operators' files were "
        "kept; 'config show --out DIR' has all\n");
  /* Nor the push after it: the folder still lacks b = 2, though the store's
     revision is now her own. */
  push ("amina", 0, "unchanged: nothing here is newer than revision 11\n");
  expect (0,
          "revision 11 by amina\ne0c00f2776d1  amina         "
          "a.json\n3cecb03c245a  otieno        b.json\n",
          "show", "--files");
}

Test (config_push, bad_folder)
{
  start_store ();
  put_file ("amina", "a", 0);
  push ("amina", 3, "");
  expect (1, "the store holds no configuration yet\n", "show", "--files");
}

/** Both push at once; returns the exit statuses and appends what they say. */
static void
race (const char *base, int status[2], struct buf *said)
{
  static const char *const who[] = { "amina", "otieno" };
  struct proc *p[2];

  for (int i = 0; i < 2; i++)
    p[i] = start_push (who[i], base);
  for (int i = 0; i < 2; i++)
    {
      status[i] = proc_wait (p[i], PROC_WAIT_MS);
      buf_add (said, proc_output (p[i]));
    }
}

/** Highest revision in what pushes said. */
static int64_t
revision_in (struct buf *said)
{
  static const char mark[] = "accepted at revision ";
  int64_t highest = 0;

  for (const char *at = strstr (buf_c (said), mark); at;
       at = strstr (at + 1, mark))
    if (atoll (at + sizeof mark - 1) > highest)
      highest = atoll (at + sizeof mark - 1);
  return highest;
}

/** Push a = 1, b = 1, from which both begin; appends the revision. */
static void
push_base (struct buf *base)
{
  struct buf out = BUF_INIT;

  put_file ("ops", "a", 1);
  put_file ("ops", "b", 1);
  cr_assert_eq (PROC_RUN (&out, "lapisline", "config", "push",
                          folder_path ("ops"), "--store", store, "--who",
                          "ops"),
                0);
  buf_addf (base, "%lld", (long long)revision_in (&out));
  buf_free (&out);
}

Test (config_push, race_on_different_files_with_lost_answers)
{
  /* Two operators push at once, each another file, while the store applies
     writes and loses their answers.  Both are told that they were accepted,
     and the store holds both changes. */
  struct buf out = BUF_INIT;
  struct buf base = BUF_INIT;
  char lose[48];
  int status[2];

  start_store ();
  push_base (&base);
  for (int round = 2; round < 2 + ROUNDS; round++)
    {
      put_file ("amina", "a", round);
      put_file ("amina", "b", round - 1);
      put_file ("otieno", "a", round - 1);
      put_file ("otieno", "b", round);
      snprintf (lose, sizeof lose, "{\"lose_answer_next\": %d}", round % 7);
      set_store (lose);
      buf_clear (&out);
      race (buf_c (&base), status, &out);
      cr_assert (status[0] == 0 && status[1] == 0, "round %d: %d %d: %s",
                 round, status[0], status[1], buf_c (&out));
      put_file ("ops", "a", round);
      put_file ("ops", "b", round);
      expect_same ("ops");
      buf_clear (&base);
      buf_addf (&base, "%lld", (long long)revision_in (&out));
    }
  buf_free (&out);
  buf_free (&base);
}

Test (config_push, race_on_one_file)
{
  /* Both change a: one is accepted, the other is told that it clashes, with
     the file and the other's name, and a is the accepted one's. */
  struct buf out = BUF_INIT;
  struct buf base = BUF_INIT;
  int status[2];

  start_store ();
  push_base (&base);
  put_file ("amina", "a", 2);
  put_file ("amina", "b", 1);
  put_file ("otieno", "a", 3);
  put_file ("otieno", "b", 1);
  set_store ("{\"lose_answer_next\": 4}");
  race (buf_c (&base), status, &out);
  cr_expect_eq (status[0] + status[1], 1, "%d %d: %s", status[0], status[1],
                buf_c (&out));
  cr_expect_not_null (strstr (buf_c (&out), "clash: nothing was changed"));
  expect_same (status[0] == 0 ? "amina" : "otieno");
  buf_free (&out);
  buf_free (&base);
}

Test (config_push, store_down)
{
  /* The store refuses everything: nothing was changed, and the push says so.
   */
  start_store ();
  put_file ("amina", "a", 1);
  set_store ("{\"down\": true, \"mode\": \"error\"}");
  push ("amina", 4,
        "unavailable: the store gave no answer; nothing was changed\n");
}
