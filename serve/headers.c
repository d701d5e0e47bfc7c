#include "serve/adapter.h"

void
srv_headers_free (struct srv_headers *h)
{
  buf_free (&h->text);
  h->n = 0;
}

void
srv_headers_add (struct srv_headers *h, const char *name, struct str value)
{
  size_t at = h->text.len;

  buf_add (&h->text, value);
  h->list[h->n++]
      = (struct http_header){ str_from (name),
                              str_make (h->text.ptr + at, value.len) };
}
