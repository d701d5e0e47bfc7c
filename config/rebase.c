#include "config/rebase.h"

#include <stdlib.h>
#include <string.h>

/** One merge; a hash is empty where a side lacks the file. */
struct merge
{
  const struct reb_input *in;
  struct arena *arena;
  struct reb_result *out;
  struct fnd_list *findings;
};

static struct str
hash_in (const struct mft *m, struct str name)
{
  const struct mft_file *f = mft_file (m, name);

  return f ? f->hash : STR_EMPTY;
}

static const struct cfg_file *
find_mine (const struct merge *g, struct str name, struct str *hash)
{
  const struct cfg_folder *mine = g->in->mine;

  *hash = STR_EMPTY;
  for (size_t i = 0; i < mine->n; i++)
    if (str_is (name, mine->files[i].name))
      {
        *hash = g->in->hashes[i];
        return &mine->files[i];
      }
  return NULL;
}

/** Who changed the file last; a removed one is in the past's "dropped". */
static struct str
last_changer (const struct mft *m, struct str name, struct str old_hash)
{
  const struct mft_file *f = mft_file (m, name);

  if (f)
    return f->who;
  for (size_t i = m->npast; i-- > 0;)
    for (size_t j = 0; j < m->past[i].ndropped; j++)
      if (str_eq (m->past[i].dropped[j], old_hash))
        return i + 1 < m->npast ? m->past[i + 1].who : m->who;
  return m->who;
}

static void
take (struct merge *g, struct str name, struct str hash, struct str who,
      const struct cfg_file *text)
{
  struct reb_file *f = &g->out->files[g->out->n];

  if (hash.len == 0)
    return;
  f->file = (struct mft_file){ name, hash, who };
  f->text = text;
  g->out->n++;
}

static void
add_clash (struct merge *g, struct str name, struct str base)
{
  char *file = str_dup (name);
  struct str who = last_changer (g->in->theirs, name, base);

  fnd_addf (g->findings, FND_ERROR, file, 0, NULL,
            "'%.*s' changed this file as well, after revision %lld",
            STR_ARG (who), (long long)g->in->base->revision);
  free (file);
}

static void
merge_name (struct merge *g, struct str name)
{
  const struct mft_file *t = mft_file (g->in->theirs, name);
  struct str base = hash_in (g->in->base, name);
  struct str theirs = hash_in (g->in->theirs, name);
  struct str mine;
  const struct cfg_file *text = find_mine (g, name, &mine);

  if (str_eq (mine, theirs) && t)
    take (g, name, theirs, t->who, text);
  else if (str_eq (theirs, base))
    take (g, name, mine, g->in->who, text);
  else if (str_eq (mine, base))
    take (g, name, theirs, t ? t->who : STR_EMPTY, NULL);
  else
    add_clash (g, name, base);
}

static int
compare_names (const void *a, const void *b)
{
  return str_cmp (*(const struct str *)a, *(const struct str *)b);
}

/** All names of the folder and the store, each once, in order. */
static struct str *
all_names (const struct reb_input *in, size_t *n)
{
  size_t total = in->mine->n + in->theirs->nfiles;
  struct str *names = xcalloc (total + 1, sizeof *names);
  size_t kept = 0;

  for (size_t i = 0; i < in->mine->n; i++)
    names[i] = str_from (in->mine->files[i].name);
  for (size_t i = 0; i < in->theirs->nfiles; i++)
    names[in->mine->n + i] = in->theirs->files[i].name;
  qsort (names, total, sizeof *names, compare_names);
  for (size_t i = 0; i < total; i++)
    if (kept == 0 || !str_eq (names[kept - 1], names[i]))
      names[kept++] = names[i];
  *n = kept;
  return names;
}

bool
reb_merge (const struct reb_input *in, struct arena *arena,
           struct reb_result *out, struct fnd_list *findings)
{
  struct merge g = { in, arena, out, findings };
  size_t errors = findings->errors;
  size_t n;
  struct str *names = all_names (in, &n);

  out->files = arena_alloc (arena, n + 1, sizeof *out->files);
  out->n = 0;
  for (size_t i = 0; i < n; i++)
    merge_name (&g, arena_str (arena, names[i]));
  free (names);
  return findings->errors == errors;
}

bool
reb_same (const struct reb_result *r, const struct mft *m)
{
  if (r->n != m->nfiles)
    return false;
  for (size_t i = 0; i < r->n; i++)
    if (!str_eq (r->files[i].file.hash, hash_in (m, r->files[i].file.name)))
      return false;
  return true;
}
