#include "base/findings.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

void
fnd_free (struct fnd_list *l)
{
  for (size_t i = 0; i < l->n; i++)
    {
      free (l->items[i].file);
      free (l->items[i].pointer);
      free (l->items[i].text);
    }
  free (l->items);
  *l = (struct fnd_list){ 0 };
}

static char *
copy_or_null (const char *c)
{
  return c ? xstrdup (c) : NULL;
}

void
fnd_addf (struct fnd_list *l, enum fnd_severity severity, const char *file,
          int line, const char *pointer, const char *fmt, ...)
{
  char *text = NULL;
  va_list ap;
  va_start (ap, fmt);
  int n = vasprintf (&text, fmt, ap);
  va_end (ap);
  if (n < 0)
    text = xstrdup (fmt);
  l->items = xrealloc (l->items, (l->n + 1) * sizeof *l->items);
  l->items[l->n++] = (struct fnd_item){
    .severity = severity,
    .file = copy_or_null (file),
    .line = line,
    .pointer = copy_or_null (pointer),
    .text = text,
  };
  if (severity == FND_ERROR)
    l->errors++;
}

static void
print_item (const struct fnd_item *it, struct buf *out)
{
  if (it->file && it->line > 0)
    buf_addf (out, "%s:%d: ", it->file, it->line);
  else if (it->file)
    buf_addf (out, "%s: ", it->file);
  if (it->pointer)
    buf_addf (out, "%s: ", it->pointer);
  buf_addf (out, "%s: %s\n", it->severity == FND_ERROR ? "error" : "warning",
            it->text);
}

void
fnd_print (const struct fnd_list *l, struct buf *out)
{
  for (size_t i = 0; i < l->n; i++)
    print_item (&l->items[i], out);
}
