#include "config/push-int.h"

#include <stdio.h>
#include <stdlib.h>

/* With the waits between them, about ten seconds besides the calls. */
#define MAX_FAILURES 8
#define MAX_CONFLICTS 20
#define FIRST_WAIT ((clk_ms)100)
#define LONGEST_WAIT ((clk_ms)2000)

struct psh *
psh_new (const struct cfg_folder *folder, struct str prefix, int64_t base,
         struct str who, uint64_t change, clk_ms wall)
{
  struct psh *p = xcalloc (1, sizeof *p);
  char hex[17];

  snprintf (hex, sizeof hex, "%016llx", (unsigned long long)change);
  p->chart = chart_embedded ("config-push");
  p->state = chart_initial (p->chart);
  p->folder = folder;
  p->prefix = arena_str (&p->arena, prefix);
  p->who = arena_str (&p->arena, who);
  p->change = arena_str (&p->arena, str_from (hex));
  p->base_revision = base;
  p->wall = wall;
  p->hashes = arena_alloc (&p->arena, folder->n + 1, sizeof *p->hashes);
  for (size_t i = 0; i < folder->n; i++)
    p->hashes[i] = mft_hash (
        &p->arena, str_make (folder->files[i].text, folder->files[i].len));
  return p;
}

void
psh_free (struct psh *p)
{
  if (!p)
    return;
  arena_free (&p->arena);
  fnd_free (&p->findings);
  free (p->fetched);
  free (p);
}

static bool
in_state (const struct psh *p, const char *state)
{
  return p->state == chart_state (p->chart, state);
}

static void
step (struct psh *p, const char *event)
{
  int next = chart_step (p->chart, p->state, chart_event (p->chart, event));

  /* A refused event is a fault of this file; ending the process is safe, as
     the store holds either the whole change or nothing of it. */
  if (next == CHART_REFUSED)
    abort ();
  p->state = next;
}

/** Event for having given up: in doubt it may yet take effect. */
static const char *
given_up (const struct psh *p)
{
  return p->doubt ? "lost" : "gave_up";
}

static const char *
failed (struct psh *p)
{
  p->wait = FIRST_WAIT << p->failures;
  if (p->wait > LONGEST_WAIT)
    p->wait = LONGEST_WAIT;
  return ++p->failures > MAX_FAILURES ? given_up (p) : "failed";
}

static const char *
check_merged (struct psh *p)
{
  struct cfg_folder folder = psh_merged_folder (p);
  struct buf merged = BUF_INIT;
  struct cfg *c;

  fnd_free (&p->findings);
  c = cfg_folder_check (&folder, &merged, &p->findings);
  p->merged = arena_str (&p->arena, buf_str (&merged));
  buf_free (&merged);
  if (!c)
    return "invalid";
  cfg_unref (c);
  psh_plan_writes (p);
  return p->nwrites ? "ready" : "all_written";
}

/** Fetch what is missing, or go on to the check. */
static const char *
gather (struct psh *p)
{
  struct str mine;

  for (size_t i = 0; i < p->result.n; i++)
    if (!psh_text (p, &p->result.files[i], &mine))
      {
        p->missing = p->result.files[i].file.hash;
        return "need_file";
      }
  return check_merged (p);
}

static const char *
merge (struct psh *p)
{
  struct reb_input in = { &p->base, &p->theirs, p->folder, p->hashes, p->who };

  if (!reb_merge (&in, &p->arena, &p->result, &p->findings))
    return "clash";
  if (p->theirs.revision && reb_same (&p->result, &p->theirs))
    {
      p->revision = p->theirs.revision;
      return "unchanged";
    }
  return gather (p);
}

static const char *
plan (struct psh *p)
{
  if (!p->have_base
      && (p->base_revision == 0 || p->base_revision == p->theirs.revision))
    {
      p->base = p->theirs;
      p->have_base = true;
    }
  return p->have_base ? merge (p) : "need_base";
}

static bool
parse_answer (struct psh *p, const struct store_result *r, struct mft *out)
{
  if (r->nkvs == 0)
    {
      *out = (struct mft){ 0 };
      return true;
    }
  return mft_parse (r->kvs[0].value, r->kvs[0].mod_rev, &p->arena, out,
                    &p->findings);
}

static const char *
on_read (struct psh *p, const struct store_result *r)
{
  if (r->status != STORE_OK)
    return failed (p);
  p->failures = 0;
  return parse_answer (p, r, &p->theirs) ? plan (p) : "invalid";
}

static const char *
on_base (struct psh *p, const struct store_result *r)
{
  if (r->status != STORE_OK)
    return failed (p);
  p->failures = 0;
  if (r->nkvs == 0)
    {
      fnd_addf (&p->findings, FND_ERROR, NULL, 0, NULL,
                "the store does not keep revision %lld (only the last %d); "
                "compare with 'config diff' and give its revision",
                (long long)p->base_revision, MFT_MAX_PAST);
      return "invalid";
    }
  if (!mft_parse (r->kvs[0].value, p->base_revision, &p->arena, &p->base,
                  &p->findings))
    return "invalid";
  p->have_base = true;
  return merge (p);
}

static const char *
on_file (struct psh *p, const struct store_result *r)
{
  struct str text;

  if (r->status != STORE_OK)
    return failed (p);
  p->failures = 0;
  /* Dropped meanwhile: a newer manifest has taken its place. */
  if (r->nkvs == 0)
    return ++p->conflicts > MAX_CONFLICTS ? "gave_up" : "gone";
  text = arena_str (&p->arena, r->kvs[0].value);
  if (!str_eq (mft_hash (&p->arena, text), p->missing))
    {
      fnd_addf (&p->findings, FND_ERROR, NULL, 0, NULL,
                "the store's file %.*s does not have that hash",
                STR_ARG (p->missing));
      return "invalid";
    }
  p->fetched = xrealloc (p->fetched, (p->nfetched + 1) * sizeof *p->fetched);
  p->fetched[p->nfetched++] = (struct fetched){ p->missing, text };
  return gather (p);
}

static const char *
on_written (struct psh *p, const struct store_result *r)
{
  /* Contents are kept under their hash, so writing them again is harmless
     even when the lost answer was a success. */
  if (r->status != STORE_OK)
    return failed (p);
  p->failures = 0;
  return ++p->written < p->nwrites ? "written" : "all_written";
}

static const char *
on_swapped (struct psh *p, const struct store_result *r)
{
  switch (r->status)
    {
    case STORE_OK:
      p->revision = r->revision;
      return "applied";
    case STORE_CONFLICT:
      return "conflict";
    case STORE_UNCERTAIN:
      p->doubt = true;
      return "uncertain";
    default:
      return failed (p);
    }
}

/** Whether @p m tells what succeeded the revision that we compared with. */
static bool
past_covers (const struct mft *m, int64_t revision)
{
  if (revision == 0)
    return m->npast < MFT_MAX_PAST;
  for (size_t i = 0; i < m->npast; i++)
    if (m->past[i].revision == revision)
      return true;
  return false;
}

static int64_t
find_own_change (const struct psh *p, const struct mft *m)
{
  if (str_eq (m->change, p->change))
    return m->revision;
  for (size_t i = 0; i < m->npast; i++)
    if (str_eq (m->past[i].change, p->change))
      return m->past[i].revision;
  return 0;
}

/* The swap's answer was lost or said conflict.  Lost: sending a rebased swap
   at once could apply the change twice, the second time over another
   operator's push; so first the manifest tells what became of the first. */
static const char *
on_settle (struct psh *p, const struct store_result *r)
{
  struct mft now;

  if (r->status != STORE_OK)
    return failed (p);
  p->failures = 0;
  if (!parse_answer (p, r, &now))
    return p->doubt ? "lost" : "invalid";
  p->revision = find_own_change (p, &now);
  if (p->revision)
    return "applied";
  if (++p->conflicts > MAX_CONFLICTS)
    return given_up (p);
  if (now.revision == p->theirs.revision)
    return "still_open";
  if (p->doubt && !past_covers (&now, p->theirs.revision))
    return "lost";
  p->doubt = false;
  p->theirs = now;
  return plan (p);
}

static const char *
on_answer (struct psh *p, const struct store_result *r)
{
  if (in_state (p, "reading"))
    return on_read (p, r);
  if (in_state (p, "basing"))
    return on_base (p, r);
  if (in_state (p, "fetching"))
    return on_file (p, r);
  if (in_state (p, "writing"))
    return on_written (p, r);
  if (in_state (p, "swapping"))
    return on_swapped (p, r);
  return on_settle (p, r);
}

static void
next_action (struct psh *p, struct psh_action *out)
{
  *out = (struct psh_action){ .kind = PSH_RANGE };
  if (p->wait)
    {
      out->kind = PSH_WAIT;
      out->wait_ms = p->wait;
      p->wait = 0;
    }
  else if (in_state (p, "reading") || in_state (p, "settling"))
    out->key = psh_key (p, "manifest", STR_EMPTY);
  else if (in_state (p, "basing"))
    out->key = psh_past_key (p, p->base_revision);
  else if (in_state (p, "fetching"))
    out->key = psh_key (p, "file/", p->missing);
  else
    {
      out->kind = PSH_TXN;
      if (in_state (p, "swapping"))
        psh_plan_swap (p, &out->txn);
      else
        out->txn
            = (struct store_txn){ .puts = &p->writes[p->written], .nputs = 1 };
    }
}

bool
psh_next (struct psh *p, const struct store_result *answer,
          struct psh_action *out)
{
  if (answer && !chart_final (p->chart, p->state))
    step (p, on_answer (p, answer));
  if (chart_final (p->chart, p->state))
    return false;
  next_action (p, out);
  return true;
}

enum psh_state
psh_state (const struct psh *p)
{
  static const struct
  {
    const char *name;
    enum psh_state state;
  } ends[] = {
    { "accepted", PSH_ACCEPTED },
    { "unchanged", PSH_UNCHANGED },
    { "clash", PSH_CLASH },
    { "invalid", PSH_INVALID },
    { "unavailable", PSH_UNAVAILABLE },
    { "unknown", PSH_UNKNOWN },
  };

  for (size_t i = 0; i < sizeof ends / sizeof ends[0]; i++)
    if (in_state (p, ends[i].name))
      return ends[i].state;
  return PSH_RUNNING;
}

int64_t
psh_revision (const struct psh *p)
{
  return p->revision;
}

const struct fnd_list *
psh_findings (const struct psh *p)
{
  return &p->findings;
}

bool
psh_folder_is_whole (const struct psh *p)
{
  for (size_t i = 0; i < p->result.n; i++)
    if (!p->result.files[i].text)
      return false;
  return p->result.n == p->folder->n;
}

void
psh_summary (const struct psh *p, struct buf *out)
{
  for (size_t i = 0; i < p->result.n; i++)
    {
      const struct mft_file *f = &p->result.files[i].file;
      const struct mft_file *t = mft_file (&p->theirs, f->name);
      if (!t || !str_eq (t->hash, f->hash))
        buf_addf (out, "%s %.*s\n", t ? "changed" : "added",
                  STR_ARG (f->name));
    }
  for (size_t i = 0; i < p->theirs.nfiles; i++)
    {
      struct str name = p->theirs.files[i].name;
      size_t j = 0;
      while (j < p->result.n && !str_eq (p->result.files[j].file.name, name))
        j++;
      if (j == p->result.n)
        buf_addf (out, "removed %.*s\n", STR_ARG (name));
    }
}
