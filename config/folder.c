#include "config/folder.h"

#include <dirent.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "config/file.h"
#include "config/json.h"
#include "config/locate.h"
#include "config/parse.h"

#define MAX_FILES 1000
#define SUFFIX ".json"

static int
is_configuration (const struct dirent *entry)
{
  size_t len = strlen (entry->d_name);
  size_t suffix = sizeof SUFFIX - 1;

  return entry->d_name[0] != '.' && len > suffix
         && strcmp (entry->d_name + len - suffix, SUFFIX) == 0;
}

/* Byte order, whatever the operator's locale: two machines must merge one
   folder in the same order. */
static int
compare_entries (const struct dirent **a, const struct dirent **b)
{
  return strcmp ((*a)->d_name, (*b)->d_name);
}

static char *
path_of (const struct cfg_folder *f, const char *name)
{
  struct buf path = BUF_INIT;
  char *result;

  if (f->path)
    buf_addf (&path, "%s/", f->path);
  buf_add_c (&path, name);
  result = str_dup (buf_str (&path));
  buf_free (&path);
  return result;
}

static void
read_file (struct cfg_folder *out, const char *name, struct fnd_list *findings)
{
  struct cfg_file *file = &out->files[out->n];
  char *path = path_of (out, name);
  struct buf text = BUF_INIT;
  struct buf why = BUF_INIT;

  if (!rd_is_name (str_from (name)))
    fnd_addf (findings, FND_ERROR, path, 0, NULL,
              "a file's name has at most 63 letters, digits, '.', '_', '-'");
  else if (cff_read (path, &text, &why))
    {
      file->name = xstrdup (name);
      file->text = str_dup (buf_str (&text));
      file->len = text.len;
      out->n++;
    }
  else
    fnd_addf (findings, FND_ERROR, path, 0, NULL, "%s", buf_c (&why));
  buf_free (&text);
  buf_free (&why);
  free (path);
}

bool
cfg_folder_read (const char *path, struct cfg_folder *out,
                 struct fnd_list *findings)
{
  size_t errors = findings->errors;
  struct dirent **entries = NULL;
  int n = scandir (path, &entries, is_configuration, compare_entries);

  memset (out, 0, sizeof *out);
  out->path = xstrdup (path);
  if (n < 0)
    fnd_addf (findings, FND_ERROR, path, 0, NULL, "can't open the folder: %s",
              strerror (errno));
  /* A wrong path must not push an empty configuration over a full one. */
  else if (n == 0)
    fnd_addf (findings, FND_ERROR, path, 0, NULL, "holds no *.json file");
  else if (n > MAX_FILES)
    fnd_addf (findings, FND_ERROR, path, 0, NULL,
              "holds %d files; at most %d are allowed", n, MAX_FILES);
  out->files = xcalloc (n > 0 ? (size_t)n : 1, sizeof *out->files);
  for (int i = 0; i < n; i++)
    {
      if (n <= MAX_FILES)
        read_file (out, entries[i]->d_name, findings);
      free (entries[i]);
    }
  free (entries);
  out->partial = findings->errors > errors;
  return !out->partial;
}

void
cfg_folder_free (struct cfg_folder *f)
{
  for (size_t i = 0; i < f->n; i++)
    {
      free (f->files[i].name);
      free (f->files[i].text);
    }
  free (f->files);
  free (f->path);
  memset (f, 0, sizeof *f);
}

/** One check of a folder. */
struct check
{
  const struct cfg_folder *folder;
  struct loc_map *maps; /**< one per file */
  struct json_object *merged;
  struct fnd_list *findings;
};

static struct str
text_of (const struct cfg_file *file)
{
  return str_make (file->text, file->len);
}

/** Read, index and merge one file; false when it can't be read. */
static bool
merge_file (struct check *k, size_t i)
{
  const struct cfg_file *file = &k->folder->files[i];
  char *path = path_of (k->folder, file->name);
  struct json_object *o = cfj_read (text_of (file), path, k->findings);

  if (file->len > CFG_MAX_TEXT)
    fnd_addf (k->findings, FND_ERROR, path, 0, NULL,
              "has %zu bytes; at most %zu fit into the store", file->len,
              CFG_MAX_TEXT);
  if (o)
    {
      loc_read (text_of (file), path, &k->maps[i], k->findings);
      cfj_merge (k->merged, o);
      json_object_put (o);
    }
  free (path);
  return o != NULL;
}

static bool
merge_files (struct check *k)
{
  bool good = true;

  for (size_t i = 0; i < k->folder->n; i++)
    good = merge_file (k, i) && good;
  return good;
}

/** Last file that sets the value, and its line there. */
static bool
find_setter (const struct check *k, const char *pointer, size_t *file,
             int *line)
{
  for (size_t i = k->folder->n; i-- > 0;)
    {
      *line = loc_line (&k->maps[i], pointer);
      *file = i;
      if (*line)
        return true;
    }
  return false;
}

static void
place_item (const struct check *k, struct fnd_item *item)
{
  char *p = xstrdup (item->pointer ? item->pointer : "");
  size_t file;
  bool found = false;

  /* What is missing is looked for in the object that lacks it. */
  while (*p && !(found = find_setter (k, p, &file, &item->line)))
    *strrchr (p, '/') = '\0';
  if (found)
    item->file = path_of (k->folder, k->folder->files[file].name);
  else
    item->file = k->folder->path ? xstrdup (k->folder->path) : NULL;
  free (p);
}

static void
place_findings (const struct check *k, size_t first)
{
  struct fnd_list *l = k->findings;

  for (size_t i = first; i < l->n; i++)
    if (!l->items[i].file)
      place_item (k, &l->items[i]);
  loc_sort_findings (l, first);
}

static void
check_size (const struct check *k, const struct buf *merged)
{
  if (merged->len > CFG_MAX_TEXT)
    fnd_addf (k->findings, FND_ERROR, NULL, 0, NULL,
              "the merged document has %zu bytes; at most %zu fit into the "
              "store",
              merged->len, CFG_MAX_TEXT);
}

struct cfg *
cfg_folder_check (const struct cfg_folder *f, struct buf *merged,
                  struct fnd_list *findings)
{
  struct check k = { .folder = f, .findings = findings };
  size_t errors = findings->errors;
  size_t first = findings->n;
  struct cfg *c = NULL;

  k.maps = xcalloc (f->n + 1, sizeof *k.maps);
  k.merged = json_object_new_object ();
  /* With a file missing, half of what the whole would be accused of is not
     wrong; entries are checked once every file can be read. */
  if (merge_files (&k) && !f->partial)
    {
      cfj_canon (k.merged, merged);
      check_size (&k, merged);
      c = cfg_parse_object (k.merged, 0, findings);
    }
  place_findings (&k, first);
  if (findings->errors > errors)
    {
      cfg_unref (c);
      c = NULL;
    }
  for (size_t i = 0; i < f->n; i++)
    loc_free (&k.maps[i]);
  free (k.maps);
  json_object_put (k.merged);
  return c;
}
