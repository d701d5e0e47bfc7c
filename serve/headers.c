#include "serve/adapter.h"

#include <stdlib.h>

void
srv_headers_free (struct srv_headers *h)
{
  buf_free (&h->text);
  free (h->list);
  h->list = NULL;
  h->n = h->capacity = 0;
}

void
srv_headers_append (struct srv_headers *h, const struct http_header *header)
{
  if (h->n == h->capacity)
    {
      h->capacity = h->capacity ? 2 * h->capacity : 32;
      h->list = xrealloc (h->list, h->capacity * sizeof *h->list);
    }
  h->list[h->n++] = *header;
}

void
srv_headers_add (struct srv_headers *h, const char *name, struct str value)
{
  size_t at = h->text.len;

  buf_add (&h->text, value);
  struct http_header header
      = { str_from (name), str_make (h->text.ptr + at, value.len) };
  srv_headers_append (h, &header);
}
