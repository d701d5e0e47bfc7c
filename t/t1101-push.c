/* Pushes and their races: a script of steps in, the log of actions out.

   push NAME BASE FILE=N[,FILE=N]   begin; FILE.json declares model FILE of N
                                    VMs, or with a word an account that may
                                    use the model of that name
   step NAME [FAULT]                one action.  lost: applied, no answer;
                                    dropped: not applied, no answer; held: on
                                    its way, no answer; down: refused
   run NAME                         to the end
   deliver                          what was held reaches the store
   seed FILE=N[,FILE=N]             a push by ops, not logged
   show                             the manifest  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/manifest.h"
#include "config/push.h"
#include "t/lib-memkv.h"

#define MAX_PUSHES 4
#define MAX_FILES 320
#define PREFIX "/l/"

struct pusher
{
  char name[16];
  struct cfg_file files[MAX_FILES];
  struct cfg_folder folder;
  struct psh *psh;
  struct psh_action act;
  bool open; /**< act waits to be done */
};

struct run
{
  struct memkv *kv;
  struct pusher pushers[MAX_PUSHES];
  size_t n;
  uint64_t changes; /**< change numbers given so far */
  struct buf log;
};

static char *
file_text (const char *name, const char *value)
{
  struct buf text = BUF_INIT;
  char *result;

  if (value[0] >= '0' && value[0] <= '9')
    buf_addf (&text, "{\"models\":{\"%s\":{\"mode\":\"observe\",\"vms\":%s}}}",
              name, value);
  else
    buf_addf (&text,
              "{\"accounts\":{\"%s\":{\"key_digests\":[],"
              "\"may\":[\"%s\"]}}}",
              name, value);
  result = str_dup (buf_str (&text));
  buf_free (&text);
  return result;
}

static void
make_folder (struct pusher *p, char *spec)
{
  char *save = NULL;
  size_t n = 0;

  for (char *f = strtok_r (spec, ",", &save); f;
       f = strtok_r (NULL, ",", &save), n++)
    {
      char *value = strchr (f, '=') + 1;
      value[-1] = '\0';
      p->files[n].text = file_text (f, value);
      p->files[n].len = strlen (p->files[n].text);
      cr_assert (asprintf (&p->files[n].name, "%s.json", f) > 0);
    }
  p->folder = (struct cfg_folder){ .files = p->files, .n = n };
}

static struct pusher *
pusher (struct run *r, const char *name)
{
  for (size_t i = 0; i < r->n; i++)
    if (strcmp (r->pushers[i].name, name) == 0)
      return &r->pushers[i];
  cr_assert_fail ("no push %s", name);
  return NULL;
}

static const char *
end_name (enum psh_state s)
{
  static const char *const names[]
      = { "running", "accepted",    "unchanged", "clash",
          "invalid", "unavailable", "unknown" };

  return names[s];
}

static void
advance (struct run *r, struct pusher *p, const struct store_result *answer)
{
  p->open = psh_next (p->psh, answer, &p->act);
  if (p->open)
    return;
  buf_addf (&r->log, "%s: %s", p->name, end_name (psh_state (p->psh)));
  if (psh_revision (p->psh))
    buf_addf (&r->log, " at %lld", (long long)psh_revision (p->psh));
  buf_add_char (&r->log, '\n');
  fnd_print (psh_findings (p->psh), &r->log);
  if (psh_state (p->psh) == PSH_ACCEPTED)
    psh_summary (p->psh, &r->log);
}

static void
begin (struct run *r, const char *name, char *base, char *spec)
{
  struct pusher *p = &r->pushers[r->n++];

  snprintf (p->name, sizeof p->name, "%s", name);
  make_folder (p, spec);
  p->psh = psh_new (&p->folder, STR (PREFIX), atoll (base), str_from (name),
                    ++r->changes, 1000);
  advance (r, p, NULL);
}

static void
drop_pusher (struct run *r)
{
  struct pusher *p = &r->pushers[--r->n];

  for (size_t i = 0; i < p->folder.n; i++)
    {
      free (p->files[i].name);
      free (p->files[i].text);
    }
  psh_free (p->psh);
}

/** Key without prefix and hash: what kind of thing it is. */
static struct str
kind_of (struct str key)
{
  struct str k = str_skip (key, sizeof PREFIX "config/" - 1);

  return str_starts (k, STR ("past/")) ? k : str_head (k, str_chr (k, '/'));
}

static struct store_result
perform (struct run *r, const struct psh_action *a, const char *fault)
{
  struct store_result none = { .status = STORE_UNAVAILABLE };

  if (strcmp (fault, "down") == 0)
    return none;
  if (a->kind == PSH_RANGE)
    return memkv_range (r->kv, a->key);
  none.status = STORE_UNCERTAIN;
  if (strcmp (fault, "lost") == 0)
    memkv_txn (r->kv, &a->txn);
  else if (strcmp (fault, "held") == 0)
    memkv_hold (r->kv, &a->txn);
  else if (strcmp (fault, "dropped") != 0)
    return memkv_txn (r->kv, &a->txn);
  return none;
}

static void
log_answer (struct run *r, const struct store_result *a, bool is_range)
{
  static const char *const words[]
      = { "ok", "conflict", "no answer", "down", "over budget", "gone" };

  if (a->status != STORE_OK)
    buf_addf (&r->log, "%s\n", words[a->status]);
  else if (is_range)
    buf_addf (&r->log, "%lld\n", a->nkvs ? (long long)a->kvs[0].mod_rev : 0LL);
  else
    buf_addf (&r->log, "at %lld\n", (long long)a->revision);
}

static void
step (struct run *r, struct pusher *p, const char *fault)
{
  struct psh_action *a = &p->act;
  struct store_result answer;

  cr_assert (p->open, "%s has ended", p->name);
  if (a->kind == PSH_WAIT)
    {
      buf_addf (&r->log, "%s: wait %lld\n", p->name, (long long)a->wait_ms);
      advance (r, p, NULL);
      return;
    }
  if (a->kind == PSH_RANGE)
    buf_addf (&r->log, "%s: read %.*s: ", p->name, STR_ARG (kind_of (a->key)));
  else if (a->txn.ncompares)
    buf_addf (&r->log, "%s: swap on %lld: ", p->name,
              (long long)a->txn.compares[0].mod_rev);
  else
    buf_addf (&r->log, "%s: write %.*s: ", p->name,
              STR_ARG (kind_of (a->txn.puts[0].key)));
  answer = perform (r, a, fault);
  log_answer (r, &answer, a->kind == PSH_RANGE);
  advance (r, p, &answer);
}

static void
show (struct run *r)
{
  struct store_result a = memkv_range (r->kv, STR (PREFIX "config/manifest"));
  struct fnd_list findings = { 0 };
  struct arena arena = { NULL };
  struct mft m;

  cr_assert_eq (a.nkvs, 1);
  cr_assert (
      mft_parse (a.kvs[0].value, a.kvs[0].mod_rev, &arena, &m, &findings));
  buf_addf (&r->log, "store: %lld by %.*s:", (long long)m.revision,
            STR_ARG (m.who));
  for (size_t i = 0; i < m.nfiles; i++)
    buf_addf (&r->log, " %.*s/%.*s", STR_ARG (m.files[i].name),
              STR_ARG (m.files[i].who));
  buf_add_c (&r->log, ", past");
  for (size_t i = 0; i < m.npast; i++)
    buf_addf (&r->log, " %lld/%.*s", (long long)m.past[i].revision,
              STR_ARG (m.past[i].who));
  buf_add_char (&r->log, '\n');
  arena_free (&arena);
}

static void
seed (struct run *r, char *spec)
{
  char base[] = "0";

  begin (r, "ops", base, spec);
  while (r->pushers[r->n - 1].open)
    step (r, &r->pushers[r->n - 1], "ok");
  drop_pusher (r);
  buf_clear (&r->log);
}

static void
run_line (struct run *r, char *line)
{
  char *words[4] = { "", "", "", "ok" };
  char *save = NULL;
  size_t n = 0;

  for (char *w = strtok_r (line, " ", &save); w && n < 4;
       w = strtok_r (NULL, " ", &save))
    words[n++] = w;
  if (strcmp (words[0], "push") == 0)
    begin (r, words[1], words[2], words[3]);
  else if (strcmp (words[0], "step") == 0)
    step (r, pusher (r, words[1]), words[2]);
  else if (strcmp (words[0], "deliver") == 0)
    buf_addf (&r->log, "delivered: %s\n",
              memkv_deliver (r->kv).status == STORE_OK ? "applied"
                                                       : "conflict");
  else if (strcmp (words[0], "seed") == 0)
    seed (r, words[1]);
  else if (strcmp (words[0], "show") == 0)
    show (r);
  else
    for (struct pusher *p = pusher (r, words[1]); p->open;)
      step (r, p, "ok");
}

static void
run_lines (struct run *r, const char *script)
{
  char *text = xstrdup (script);
  char *save = NULL;

  for (char *line = strtok_r (text, "\n", &save); line;
       line = strtok_r (NULL, "\n", &save))
    run_line (r, line);
  free (text);
}

static void
end_run (struct run *r)
{
  while (r->n)
    drop_pusher (r);
  memkv_free (r->kv);
  buf_free (&r->log);
}

static void
expect (const char *script, const char *want)
{
  struct run r = { .kv = memkv_new () };

  run_lines (&r, script);
  cr_expect_str_eq (buf_c (&r.log), want, "got:\n%s\nwant:\n%s",
                    buf_c (&r.log), want);
  end_run (&r);
}

Test (push, first_then_the_same_again)
{
  expect ("push amina 0 a=1,b=2\nrun amina\nshow\n"
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
  expect ("seed a=1,b=1\n"
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
  expect (
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
  expect (
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
  expect (
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
  expect ("seed a=1\npush amina 0 a=2\nstep amina\n"
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
  expect ("seed a=1\npush amina 0 a=2\nstep amina\n"
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
  expect (
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
  expect ("seed a=1\npush amina 0 a=2\nstep amina\n"
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
  expect ("seed a=1\npush amina 0 a=2\nstep amina\n"
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
  expect ("push amina 0 a=2\nstep amina down\nstep amina\nstep amina\n"
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
  expect ("seed a=1,b=1\n"
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
  struct run r = { .kv = memkv_new () };
  char files[32];

  run_lines (&r, "seed a=1\npush amina 0 a=2\nstep amina\nstep amina\n"
                 "step amina\nstep amina lost\n");
  for (size_t i = 0; i < MFT_MAX_PAST + 2; i++)
    {
      snprintf (files, sizeof files, "a=%zu", 3 + i % 2);
      seed (&r, files);
    }
  run_lines (&r, "run amina\n");
  cr_expect_str_eq (buf_c (&r.log), "amina: read manifest: 204\n"
                                    "amina: unknown\n");
  end_run (&r);
}

/* Overwrite the contents of all files that the store keeps. */
static void
damage_files (struct run *r)
{
  struct store_kv files[8];
  size_t n = memkv_list (r->kv, STR (PREFIX "config/file/"),
                         STR (PREFIX "config/file0"), files, 8);

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
  struct run r = { .kv = memkv_new () };

  run_lines (&r, "seed a=1,b=1\npush amina 0 a=2,b=1\nstep amina\n"
                 "push otieno 0 a=1,b=2\nrun otieno\n");
  damage_files (&r);
  buf_clear (&r.log);
  run_lines (&r, "run amina\n");
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
  end_run (&r);
}

Test (push, past_is_bounded)
{
  /* A hundred pushes: the store keeps the last 64 manifests and what they
     refer to, and drops the rest. */
  struct run r = { .kv = memkv_new () };
  char files[32];

  for (size_t i = 0; i < 100; i++)
    {
      snprintf (files, sizeof files, "a=%zu,b=1", 1 + i % 16);
      seed (&r, files);
      cr_assert_eq (memkv_count (r.kv, STR (PREFIX "config/past/")),
                    i < MFT_MAX_PAST ? i : MFT_MAX_PAST);
    }
  for (size_t i = 0; i < 70; i++)
    {
      snprintf (files, sizeof files, "a=%zu", 1 + i % 2);
      seed (&r, files);
    }
  cr_expect_eq (memkv_count (r.kv, STR (PREFIX "config/file/")), 2);
  cr_expect_eq (memkv_count (r.kv, STR (PREFIX "config/doc/")), 2);
  end_run (&r);
}

Test (push, hundreds_of_dropped_files_leave_bit_by_bit)
{
  /* An operator moves 300 small files into one.  64 pushes later their
     contents fall out of the past, all at once.  In one transaction they are
     more than the store takes: this push and all that follow would be
     refused for good.  They go a part with each push instead, and in the
     end nothing of them is left. */
  struct run r = { .kv = memkv_new () };
  struct buf many = BUF_INIT;
  char one[32];

  for (int i = 0; i < 300; i++)
    buf_addf (&many, "%sf%d=1", i ? "," : "", i);
  seed (&r, (char *)buf_c (&many));
  cr_expect_eq (memkv_count (r.kv, STR (PREFIX "config/file/")), 300);
  for (size_t i = 0; i < MFT_MAX_PAST + 10; i++)
    {
      snprintf (one, sizeof one, "a=%zu", 1 + i % 2);
      seed (&r, one);
    }
  buf_free (&many);
  cr_expect_eq (memkv_count (r.kv, STR (PREFIX "config/past/")), MFT_MAX_PAST);
  cr_expect_eq (memkv_count (r.kv, STR (PREFIX "config/file/")), 2);
  cr_expect_eq (memkv_count (r.kv, STR (PREFIX "config/doc/")), 2);
  end_run (&r);
}
