#include "config/push-int.h"

#include <stdio.h>

/** Of one push.  etcd by default takes 128 operations in a transaction. */
#define MAX_DELETES ((size_t)100)

struct str
psh_key (struct psh *p, const char *kind, struct str name)
{
  struct buf key = BUF_INIT;
  struct str result;

  buf_addf (&key, "%.*sconfig/%s%.*s", STR_ARG (p->prefix), kind,
            STR_ARG (name));
  result = arena_str (&p->arena, buf_str (&key));
  buf_free (&key);
  return result;
}

struct str
psh_past_key (struct psh *p, int64_t revision)
{
  char digits[24];
  int n = snprintf (digits, sizeof digits, "%lld", (long long)revision);

  return psh_key (p, "past/", str_make (digits, (size_t)n));
}

const struct str *
psh_text (const struct psh *p, const struct reb_file *f, struct str *mine)
{
  if (f->text)
    {
      *mine = str_make (f->text->text, f->text->len);
      return mine;
    }
  for (size_t i = 0; i < p->nfetched; i++)
    if (str_eq (p->fetched[i].hash, f->file.hash))
      return &p->fetched[i].text;
  return NULL;
}

struct cfg_folder
psh_merged_folder (struct psh *p)
{
  struct cfg_folder f = { .path = p->folder->path, .n = p->result.n };
  struct str mine;

  f.files = arena_alloc (&p->arena, f.n + 1, sizeof *f.files);
  for (size_t i = 0; i < f.n; i++)
    {
      const struct str *text = psh_text (p, &p->result.files[i], &mine);
      f.files[i].name = (char *)p->result.files[i].file.name.ptr;
      f.files[i].text = (char *)text->ptr;
      f.files[i].len = text->len;
    }
  return f;
}

static void
add_write (struct psh *p, const char *kind, struct str hash, struct str value)
{
  p->writes[p->nwrites++]
      = (struct store_put){ psh_key (p, kind, hash), value, 0 };
}

/* Only what the store's manifest refers to is known to be there.  Should a
   push between now and our swap delete contents that we rely on, our swap
   conflicts, and all of this runs again. */
void
psh_plan_writes (struct psh *p)
{
  struct str doc = mft_hash (&p->arena, p->merged);
  struct str mine;

  p->writes = arena_alloc (&p->arena, p->result.n + 1, sizeof *p->writes);
  p->nwrites = p->written = 0;
  for (size_t i = 0; i < p->result.n; i++)
    {
      const struct reb_file *f = &p->result.files[i];
      const struct mft_file *t = mft_file (&p->theirs, f->file.name);
      if (!t || !str_eq (t->hash, f->file.hash))
        add_write (p, "file/", f->file.hash, *psh_text (p, f, &mine));
    }
  if (!str_eq (doc, p->theirs.doc))
    add_write (p, "doc/", doc, p->merged);
}

static bool
result_has (const struct psh *p, struct str hash)
{
  for (size_t i = 0; i < p->result.n; i++)
    if (str_eq (p->result.files[i].file.hash, hash))
      return true;
  return false;
}

/** The store's manifest as the newest entry of the past. */
static struct mft_past
past_entry (struct psh *p)
{
  const struct mft *t = &p->theirs;
  struct mft_past e = { t->revision, t->change, t->who, t->doc, NULL, 0 };

  e.dropped = arena_alloc (&p->arena, t->nfiles + 1, sizeof *e.dropped);
  for (size_t i = 0; i < t->nfiles; i++)
    if (!result_has (p, t->files[i].hash))
      e.dropped[e.ndropped++] = t->files[i].hash;
  return e;
}

static struct mft
next_manifest (struct psh *p)
{
  const struct mft *t = &p->theirs;
  struct mft m = { .change = p->change, .who = p->who, .when = p->wall };

  m.doc = mft_hash (&p->arena, p->merged);
  m.nfiles = p->result.n;
  m.files = arena_alloc (&p->arena, m.nfiles + 1, sizeof *m.files);
  for (size_t i = 0; i < m.nfiles; i++)
    m.files[i] = p->result.files[i].file;
  m.past = arena_alloc (&p->arena, t->npast + 1, sizeof *m.past);
  for (size_t i = 0; i < t->npast; i++)
    m.past[m.npast++] = t->past[i];
  if (t->revision)
    m.past[m.npast++] = past_entry (p);
  return m;
}

static void
delete_unless_used (struct psh *p, const struct mft *m, struct store_txn *txn,
                    const char *kind, struct str hash)
{
  if (!mft_refers (m, hash))
    p->deletes[txn->ndeletes++] = psh_key (p, kind, hash);
}

/** False when the transaction has no room for more. */
static bool
drop_oldest (struct psh *p, struct mft *m, struct store_txn *txn)
{
  struct mft_past old = *m->past;
  size_t i = 0;

  m->past++;
  m->npast--;
  while (i < old.ndropped && txn->ndeletes < MAX_DELETES)
    delete_unless_used (p, m, txn, "file/", old.dropped[i++]);
  if (i == old.ndropped && txn->ndeletes + 2 <= MAX_DELETES)
    {
      p->deletes[txn->ndeletes++] = psh_past_key (p, old.revision);
      delete_unless_used (p, m, txn, "doc/", old.doc);
      return true;
    }
  old.dropped += i;
  old.ndropped -= i;
  *--m->past = old;
  m->npast++;
  return false;
}

/*
 * The oldest entry falls out of the past: without deleting what only it
 * refers to, the store would grow by a document with each push.  An entry of
 * a push that dropped hundreds of files would make a transaction larger than
 * the store takes, and from then on no push would succeed; so it stays, with
 * what is left of it, for the next pushes, each of which may drop several.
 */
static void
plan_deletes (struct psh *p, struct mft *m, struct store_txn *txn)
{
  p->deletes = arena_alloc (&p->arena, MAX_DELETES, sizeof *p->deletes);
  txn->deletes = p->deletes;
  while (m->npast > MFT_MAX_PAST && drop_oldest (p, m, txn))
    ;
}

static struct str
format_manifest (struct psh *p, const struct mft *m)
{
  struct buf text = BUF_INIT;
  struct str result;

  mft_format (m, &text);
  result = arena_str (&p->arena, buf_str (&text));
  buf_free (&text);
  return result;
}

void
psh_plan_swap (struct psh *p, struct store_txn *txn)
{
  struct mft m = next_manifest (p);
  struct str manifest = psh_key (p, "manifest", STR_EMPTY);

  p->compare = (struct store_compare){ manifest, p->theirs.revision };
  *txn = (struct store_txn){
    .compares = &p->compare, .ncompares = 1, .puts = p->puts, .nputs = 1
  };
  plan_deletes (p, &m, txn);
  p->puts[0] = (struct store_put){ manifest, format_manifest (p, &m), 0 };
  if (p->theirs.revision)
    p->puts[txn->nputs++]
        = (struct store_put){ psh_past_key (p, p->theirs.revision),
                              format_manifest (p, &p->theirs), 0 };
}
