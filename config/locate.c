#include "config/locate.h"

#include <stdlib.h>
#include <string.h>

#include "config/json.h"

/** Walks a text that is known to be valid, comments blanked. */
struct walk
{
  const char *p;
  size_t len;
  size_t i;
  int line;
  struct buf pointer;
  struct loc_map *map;
  size_t cap;
};

static void walk_value (struct walk *w);

static void
skip_space (struct walk *w)
{
  for (; w->i < w->len && strchr (" \t\r\n", w->p[w->i]); w->i++)
    w->line += w->p[w->i] == '\n';
}

/** The string literal at the current place, quotes included. */
static struct str
take_string (struct walk *w)
{
  size_t from = w->i++;

  while (w->i < w->len && w->p[w->i] != '"')
    w->i += w->p[w->i] == '\\' ? 2 : 1;
  w->i++;
  return str_make (w->p + from, w->i - from);
}

static void
record (struct walk *w)
{
  struct loc_map *m = w->map;

  if (m->n == w->cap)
    {
      w->cap = w->cap ? 2 * w->cap : 64;
      m->entries = xrealloc (m->entries, w->cap * sizeof *m->entries);
    }
  m->entries[m->n].pointer = str_dup (buf_str (&w->pointer));
  m->entries[m->n].line = w->line;
  m->n++;
}

void
loc_add_step (struct buf *pointer, struct str key)
{
  buf_add_char (pointer, '/');
  for (size_t i = 0; i < key.len; i++)
    if (key.ptr[i] == '~')
      buf_add_c (pointer, "~0");
    else if (key.ptr[i] == '/')
      buf_add_c (pointer, "~1");
    else
      buf_add_char (pointer, key.ptr[i]);
}

/** Append the key of a literal; escapes are left to the parser to decode. */
static void
add_key (struct buf *pointer, struct str literal)
{
  char *c;
  struct json_object *o;

  if (str_chr (literal, '\\') == literal.len)
    {
      loc_add_step (pointer, str_make (literal.ptr + 1, literal.len - 2));
      return;
    }
  c = str_dup (literal);
  o = json_tokener_parse (c);
  loc_add_step (pointer, str_from (json_object_get_string (o)));
  json_object_put (o);
  free (c);
}

static void
walk_object (struct walk *w)
{
  size_t mark = w->pointer.len;

  for (w->i++;;)
    {
      skip_space (w);
      if (w->i >= w->len || w->p[w->i++] == '}')
        return;
      if (w->p[w->i - 1] == ',')
        continue;
      w->i--;
      add_key (&w->pointer, take_string (w));
      record (w);
      skip_space (w);
      w->i++; /* the colon */
      walk_value (w);
      w->pointer.len = mark;
    }
}

static void
walk_array (struct walk *w)
{
  size_t mark = w->pointer.len;
  size_t index = 0;

  for (w->i++;;)
    {
      skip_space (w);
      if (w->i >= w->len || w->p[w->i] == ']')
        break;
      if (w->p[w->i] == ',')
        {
          w->i++;
          continue;
        }
      buf_addf (&w->pointer, "/%zu", index++);
      record (w);
      walk_value (w);
      w->pointer.len = mark;
    }
  w->i++;
}

static void
walk_value (struct walk *w)
{
  skip_space (w);
  if (w->i >= w->len)
    return;
  if (w->p[w->i] == '{')
    walk_object (w);
  else if (w->p[w->i] == '[')
    walk_array (w);
  else if (w->p[w->i] == '"')
    take_string (w);
  else
    while (w->i < w->len && !strchr (",]} \t\r\n", w->p[w->i]))
      w->i++;
}

static int
compare_entries (const void *a, const void *b)
{
  const struct loc_entry *x = a;
  const struct loc_entry *y = b;
  int order = strcmp (x->pointer, y->pointer);

  return order ? order : (x->line > y->line) - (x->line < y->line);
}

/* A key that stands twice: the parser keeps the last and drops the first
   without a word, so an operator's edit could be lost.  Elements of arrays
   never share a pointer, hence two equal pointers are two equal keys. */
static void
report_duplicates (const struct loc_map *m, const char *file,
                   struct fnd_list *findings)
{
  for (size_t i = 1; i < m->n; i++)
    if (strcmp (m->entries[i - 1].pointer, m->entries[i].pointer) == 0)
      fnd_addf (findings, FND_ERROR, file, m->entries[i].line,
                m->entries[i].pointer, "key stands twice, first in line %d",
                m->entries[i - 1].line);
}

void
loc_read (struct str text, const char *file, struct loc_map *out,
          struct fnd_list *findings)
{
  char *plain = cfj_blank_comments (text);
  struct walk w = { .p = plain, .len = text.len, .line = 1, .map = out };

  memset (out, 0, sizeof *out);
  walk_value (&w);
  if (out->n)
    qsort (out->entries, out->n, sizeof *out->entries, compare_entries);
  report_duplicates (out, file, findings);
  buf_free (&w.pointer);
  free (plain);
}

void
loc_free (struct loc_map *m)
{
  for (size_t i = 0; i < m->n; i++)
    free (m->entries[i].pointer);
  free (m->entries);
  memset (m, 0, sizeof *m);
}

int
loc_line (const struct loc_map *m, const char *pointer)
{
  size_t lo = 0;
  size_t hi = m->n;

  while (lo < hi)
    {
      size_t mid = (lo + hi) / 2;
      if (strcmp (m->entries[mid].pointer, pointer) <= 0)
        lo = mid + 1;
      else
        hi = mid;
    }
  if (lo == 0 || strcmp (m->entries[lo - 1].pointer, pointer) != 0)
    return 0;
  return m->entries[lo - 1].line;
}

int
loc_nearest (const struct loc_map *m, const char *pointer)
{
  char *p = xstrdup (pointer ? pointer : "");
  char *slash = p;
  int line = 0;

  while (slash && *p && !(line = loc_line (m, p)))
    {
      slash = strrchr (p, '/');
      if (slash)
        *slash = '\0';
    }
  free (p);
  return line;
}

static int
compare_items (const void *a, const void *b)
{
  const struct fnd_item *x = a;
  const struct fnd_item *y = b;
  int order = strcmp (x->file ? x->file : "", y->file ? y->file : "");

  if (!order)
    order = (x->line > y->line) - (x->line < y->line);
  if (!order)
    order
        = strcmp (x->pointer ? x->pointer : "", y->pointer ? y->pointer : "");
  return order ? order : strcmp (x->text, y->text);
}

void
loc_sort_findings (struct fnd_list *l, size_t first)
{
  if (l->n > first)
    qsort (l->items + first, l->n - first, sizeof *l->items, compare_items);
}
