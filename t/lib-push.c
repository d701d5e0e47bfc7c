#include "t/lib-push.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/manifest.h"

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
pusher (struct pushes *r, const char *name)
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
advance (struct pushes *r, struct pusher *p, const struct store_result *answer)
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
begin (struct pushes *r, const char *name, char *base, char *spec)
{
  struct pusher *p = &r->pushers[r->n++];

  snprintf (p->name, sizeof p->name, "%s", name);
  make_folder (p, spec);
  p->psh = psh_new (&p->folder, STR (PUSH_PREFIX), atoll (base),
                    str_from (name), ++r->changes, 1000);
  advance (r, p, NULL);
}

static void
drop_pusher (struct pushes *r)
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
  struct str k = str_skip (key, sizeof PUSH_PREFIX "config/" - 1);

  return str_starts (k, STR ("past/")) ? k : str_head (k, str_chr (k, '/'));
}

static struct store_result
perform (struct pushes *r, const struct psh_action *a, const char *fault)
{
  struct store_result none = { .status = STORE_UNAVAILABLE };

  if (strcmp (fault, "down") == 0)
    return none;
  if (a->kind == PSH_RANGE)
    return memkv_get (r->kv, a->key);
  none.status = STORE_UNCERTAIN;
  if (strcmp (fault, "lost") == 0)
    memkv_txn (r->kv, &a->txn);
  else if (strcmp (fault, "held") == 0)
    memkv_delay_txn (r->kv, &a->txn);
  else if (strcmp (fault, "dropped") != 0)
    return memkv_txn (r->kv, &a->txn);
  return none;
}

static void
log_answer (struct pushes *r, const struct store_result *a, bool is_range)
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
step (struct pushes *r, struct pusher *p, const char *fault)
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
show (struct pushes *r)
{
  struct store_result a
      = memkv_get (r->kv, STR (PUSH_PREFIX "config/manifest"));
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

void
pushes_seed (struct pushes *r, char *spec)
{
  char base[] = "0";

  begin (r, "ops", base, spec);
  while (r->pushers[r->n - 1].open)
    step (r, &r->pushers[r->n - 1], "ok");
  drop_pusher (r);
  buf_clear (&r->log);
}

static void
run_line (struct pushes *r, char *line)
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
              memkv_apply_delayed (r->kv).status == STORE_OK ? "applied"
                                                             : "conflict");
  else if (strcmp (words[0], "seed") == 0)
    pushes_seed (r, words[1]);
  else if (strcmp (words[0], "show") == 0)
    show (r);
  else
    for (struct pusher *p = pusher (r, words[1]); p->open;)
      step (r, p, "ok");
}

void
pushes_lines (struct pushes *r, const char *script)
{
  char *text = xstrdup (script);
  char *save = NULL;

  for (char *line = strtok_r (text, "\n", &save); line;
       line = strtok_r (NULL, "\n", &save))
    run_line (r, line);
  free (text);
}

void
pushes_end (struct pushes *r)
{
  while (r->n)
    drop_pusher (r);
  memkv_free (r->kv);
  buf_free (&r->log);
}

void
pushes_expect (const char *script, const char *want)
{
  struct pushes r = { .kv = memkv_new () };

  pushes_lines (&r, script);
  cr_expect_str_eq (buf_c (&r.log), want, "got:\n%s\nwant:\n%s",
                    buf_c (&r.log), want);
  pushes_end (&r);
}
