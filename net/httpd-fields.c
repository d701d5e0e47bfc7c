#include "net/httpd-int.h"

#include <ctype.h>
#include <stdlib.h>
#include <strings.h>

/*
 * h2o 2.2 answers 400 to a request with more than H2O_MAX_HEADERS fields.  Of
 * a head with more, only the fields that h2o interprets are left to it; the
 * others are kept here until the request ends.
 */

/** A head with fewer lines is left to h2o. */
#define LINES_MAX (H2O_MAX_HEADERS - 10)

/* picohttpparser, which libh2o contains and exports without its header. */
struct phr_header
{
  const char *name; /**< NULL: continuation of the previous line */
  size_t name_len;
  const char *value;
  size_t value_len;
};

int phr_parse_request (const char *buf, size_t len, const char **method,
                       size_t *method_len, const char **path, size_t *path_len,
                       int *minor_version, struct phr_header *headers,
                       size_t *num_headers, size_t last_len);

bool
httpd_fields_are_many (const struct httpd_conn *c)
{
  return c->head_lines > LINES_MAX;
}

static bool
is_for_h2o (const struct phr_header *h)
{
  static const struct
  {
    const char *text;
    size_t len;
  } names[] = { { "connection", 10 },
                { "content-length", 14 },
                { "expect", 6 },
                { "host", 4 },
                { "upgrade", 7 },
                { "http2-settings", 14 },
                { "transfer-encoding", 17 } };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (names[i].len == h->name_len
        && strncasecmp (names[i].text, h->name, h->name_len) == 0)
      return true;
  return false;
}

static void
keep_field (struct httpd_fields *f, const struct phr_header *h)
{
  size_t at = f->text.len;

  buf_add (&f->text, str_make (h->name, h->name_len));
  for (size_t i = at; i < f->text.len; i++)
    f->text.ptr[i] = (char)tolower ((unsigned char)f->text.ptr[i]);
  buf_add (&f->text, str_make (h->value, h->value_len));
  f->list[f->n++]
      = (struct http_header){ str_make (f->text.ptr + at, h->name_len),
                              str_make (f->text.ptr + at + h->name_len,
                                        h->value_len) };
}

/** Move the fields that are not for h2o out of the head.
    @return the size of the rest of the head */
static size_t
move_fields (struct httpd_fields *f, char *head, size_t size,
             const struct phr_header *h, size_t n)
{
  char *to = head + (h[0].name - head);

  /* The text must not be reallocated, as the list points into it. */
  buf_reserve (&f->text, size);
  f->list = xcalloc (n, sizeof *f->list);
  for (size_t i = 0; i < n; i++)
    {
      const char *value_end = h[i].value + h[i].value_len;
      const char *end
          = memchr (value_end, '\n', size - (size_t)(value_end - head));
      size_t line = (size_t)(end + 1 - h[i].name);
      if (is_for_h2o (&h[i]))
        {
          memmove (to, h[i].name, line);
          to += line;
        }
      else
        keep_field (f, &h[i]);
    }
  memcpy (to, "\r\n", 2);
  return (size_t)(to - head) + 2;
}

static bool
has_continuation (const struct phr_header *h, size_t n)
{
  for (size_t i = 0; i < n; i++)
    if (h[i].name == NULL)
      return true;
  return false;
}

void
httpd_fields_move (struct httpd_conn *c, size_t size)
{
  h2o_buffer_t *in = c->sock->input;
  size_t n = c->head_lines, method_len, path_len, rest;
  struct phr_header *h = xcalloc (n, sizeof *h);
  const char *method, *path;
  int minor_version;

  /* A malformed head is left to h2o, which answers 400. */
  if (phr_parse_request (in->bytes, size, &method, &method_len, &path,
                         &path_len, &minor_version, h, &n, 0)
          == (int)size
      && n > 0 && !has_continuation (h, n))
    {
      rest = move_fields (&c->fields, in->bytes, size, h, n);
      memmove (in->bytes + rest, in->bytes + size, in->size - size);
      in->size -= size - rest;
    }
  free (h);
}

size_t
httpd_fields_bytes (const struct httpd_fields *f)
{
  return f->text.cap + f->n * sizeof *f->list;
}

void
httpd_fields_free (struct httpd_fields *f)
{
  buf_free (&f->text);
  free (f->list);
  f->list = NULL;
  f->n = 0;
}
