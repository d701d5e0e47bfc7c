#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "back/back.h"

/* RFC 9110, 7.6.1, and framing, which the HTTP library sets itself. */
static const char *const hop_by_hop[] = { "connection",
                                          "keep-alive",
                                          "proxy-connection",
                                          "proxy-authenticate",
                                          "te",
                                          "proxy-authorization",
                                          "trailer",
                                          "upgrade",
                                          "transfer-encoding",
                                          "content-length",
                                          "expect",
                                          "host" };

/* Set by us, or meant for us alone. */
static const char *const ours[]
    = { "authorization",   "x-request-id",    "x-attempt",
        "x-resume-offset", "x-lapis-account", "x-resume-request",
        "traceparent",     "x-deadline-ms",   "x-priority" };

#define COUNT(a) (sizeof (a) / sizeof (a)[0])

static bool
among (struct str name, const char *const *list, size_t n)
{
  for (size_t i = 0; i < n; i++)
    if (str_is (name, list[i]))
      return true;
  return false;
}

struct str
back_find (const struct http_header *headers, size_t n, const char *name)
{
  for (size_t i = 0; i < n; i++)
    if (str_is (headers[i].name, name))
      return headers[i].value;
  return STR_EMPTY;
}

/** Whether the Connection header names it as one of the hop. */
static bool
named_by_connection (struct str connection, struct str name)
{
  while (connection.len > 0)
    {
      size_t end = str_chr (connection, ',');
      struct str item = str_trim (str_head (connection, end));
      if (item.len == name.len
          && strncasecmp (item.ptr, name.ptr, name.len) == 0)
        return true;
      connection = str_skip (connection, end + 1);
    }
  return false;
}

void
back_headers_add (struct back_headers *h, const char *name, struct str value)
{
  if (h->n == BACK_MAX_HEADERS)
    return;
  /* The text was reserved whole, so earlier views stay valid. */
  size_t at = h->text.len;
  buf_add (&h->text, value);
  h->list[h->n++]
      = (struct http_header){ str_from (name),
                              str_make (h->text.ptr + at, value.len) };
}

static void
add_number (struct back_headers *h, const char *name, size_t n)
{
  char text[24];
  snprintf (text, sizeof text, "%zu", n);
  back_headers_add (h, name, str_from (text));
}

static void
add_ours (const struct back_call *call, struct back_headers *out)
{
  struct buf parent = BUF_INIT;

  trc_format (&call->span, &parent);
  back_headers_add (out, "traceparent", buf_str (&parent));
  buf_free (&parent);
  back_headers_add (out, "x-request-id", call->request_id);
  add_number (out, "x-attempt", call->attempt);
  back_headers_add (out, "x-lapis-account", call->account);
}

bool
back_headers_make (const struct back_kind *kind, const struct back_call *call,
                   struct back_headers *out)
{
  struct str connection
      = back_find (call->headers, call->nheaders, "connection");

  memset (out, 0, sizeof *out);
  if (call->nheaders > BACK_MAX_CALLER_HEADERS)
    return false;
  buf_reserve (&out->text, 512 + call->account.len);
  for (size_t i = 0; i < call->nheaders; i++)
    {
      const struct http_header *h = &call->headers[i];
      if (!among (h->name, hop_by_hop, COUNT (hop_by_hop))
          && !among (h->name, ours, COUNT (ours))
          && !named_by_connection (connection, h->name))
        out->list[out->n++] = *h;
    }
  add_ours (call, out);
  if (call->resume)
    {
      back_headers_add (out, "x-resume-request", call->request_id);
      add_number (out, "x-resume-offset", call->offset);
    }
  if (kind->headers != NULL)
    kind->headers (call, out);
  return true;
}

void
back_headers_free (struct back_headers *h)
{
  buf_free (&h->text);
}

bool
back_answer_header (const struct http_header *h)
{
  return !among (h->name, hop_by_hop, COUNT (hop_by_hop))
         && !str_starts (h->name, STR ("lapis-"))
         && !str_is (h->name, "server") && !str_is (h->name, "date");
}

void
back_answer_head (struct back_answer *a, int status,
                  const struct http_header *headers, size_t n)
{
  struct str type = back_find (headers, n, "content-type");

  a->status = status;
  a->events = str_starts (type, STR ("text/event-stream"));
}

void
back_answer_notice (int status, const struct http_header *headers, size_t n,
                    struct avl_notice *out)
{
  bool rejected = status == 503 || status == 429;

  *out = (struct avl_notice){ 0 };
  for (size_t i = 0; i < n; i++)
    if (rejected && str_is (headers[i].name, "retry-after"))
      avl_add_delay (out, headers[i].value);
    else if (str_is (headers[i].name, "server-leaving"))
      out->leaving |= str_is (str_trim (headers[i].value), "1");
}

static void
keep_tail (struct back_answer *a, struct str bytes)
{
  size_t cap = sizeof a->tail;

  if (bytes.len >= cap)
    {
      memcpy (a->tail, bytes.ptr + bytes.len - cap, cap);
      a->ntail = cap;
      return;
    }
  size_t keep = a->ntail + bytes.len > cap ? cap - bytes.len : a->ntail;
  memmove (a->tail, a->tail + a->ntail - keep, keep);
  memcpy (a->tail + keep, bytes.ptr, bytes.len);
  a->ntail = keep + bytes.len;
}

/** Events end with an empty line; counted by the line feeds before it. */
static unsigned
count_events (struct str bytes)
{
  unsigned n = 0;
  const char *p = bytes.ptr, *end = bytes.ptr + bytes.len;

  while ((p = memmem (p, (size_t)(end - p), "\n\n", 2)) != NULL)
    {
      n++;
      p += 2;
    }
  return n;
}

void
back_answer_body (struct back_answer *a, struct str bytes)
{
  if (bytes.len == 0)
    return;
  a->bytes += bytes.len;
  if (!a->events)
    return;
  a->tokens += count_events (bytes);
  keep_tail (a, bytes);
}

/** Whether the events stop before the empty line that ends the last one. */
static bool
ends_in_event (const struct back_answer *a)
{
  static const char *const ends[] = { "\n\n", "\n\r\n", "\r\r" };
  struct str tail = str_make (a->tail, a->ntail);

  if (!a->events || a->bytes == 0)
    return false;
  for (size_t i = 0; i < sizeof ends / sizeof ends[0]; i++)
    {
      size_t len = strlen (ends[i]);
      if (tail.len >= len && str_is (str_skip (tail, tail.len - len), ends[i]))
        return false;
    }
  return true;
}

bool
back_answer_whole (const struct back_kind *kind, const struct back_answer *a,
                   bool closed)
{
  return kind->whole (a) && !ends_in_event (a) && !(closed && a->bytes == 0);
}
