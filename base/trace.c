#include "base/trace.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/* "00-" trace "-" span "-" flags */
#define TRACEPARENT_LEN 55
#define FLAGS_SAMPLED "01"

struct trc_ring
{
  struct trc_span *spans;
  size_t cap;
  size_t next; /* where the next one goes */
  size_t n;
};

struct trc_ring *
trc_ring_new (size_t spans)
{
  struct trc_ring *r = xcalloc (1, sizeof *r);
  r->cap = spans ? spans : 1;
  r->spans = xcalloc (r->cap, sizeof *r->spans);
  return r;
}

void
trc_ring_free (struct trc_ring *r)
{
  if (!r)
    return;
  free (r->spans);
  free (r);
}

void
trc_ring_add (struct trc_ring *r, const struct trc_span *span)
{
  r->spans[r->next] = *span;
  r->next = (r->next + 1) % r->cap;
  if (r->n < r->cap)
    r->n++;
}

static void
span_json (const struct trc_span *s, struct str node, struct buf *out)
{
  static const uint8_t no_parent[8];
  buf_add_c (out, "{\"span\":\"");
  buf_add_hex (out, s->id.span, sizeof s->id.span);
  buf_add_c (out, "\",\"parent\":\"");
  if (memcmp (s->parent, no_parent, sizeof no_parent) != 0)
    buf_add_hex (out, s->parent, sizeof s->parent);
  buf_add_c (out, "\",\"node\":");
  buf_add_json (out, node);
  buf_add_c (out, ",\"name\":");
  buf_add_json (out, str_make (s->name, strnlen (s->name, sizeof s->name)));
  buf_add_c (out, ",\"detail\":");
  buf_add_json (out,
                str_make (s->detail, strnlen (s->detail, sizeof s->detail)));
  buf_addf (out, ",\"start_ms\":%lld,\"duration_ms\":%lld}",
            (long long)s->start, (long long)s->duration);
}

void
trc_ring_json (const struct trc_ring *r, const uint8_t trace[16],
               struct str node, struct buf *out)
{
  bool first = true;
  size_t oldest = (r->next + r->cap - r->n) % r->cap;
  buf_add_char (out, '[');
  for (size_t i = 0; i < r->n; i++)
    {
      const struct trc_span *s = &r->spans[(oldest + i) % r->cap];
      if (memcmp (s->id.trace, trace, 16) != 0)
        continue;
      if (!first)
        buf_add_char (out, ',');
      first = false;
      span_json (s, node, out);
    }
  buf_add_char (out, ']');
}

/* Parse 2 * n digits, lower-case only as the header demands; all zero is not
   valid. */
static bool
parse_id (struct str s, uint8_t *out, size_t n)
{
  uint8_t any = 0;
  if (!str_to_bytes (s, out, n))
    return false;
  for (size_t i = 0; i < n; i++)
    any |= out[i];
  return any != 0;
}

bool
trc_parse (struct str header, struct trc_id *parent)
{
  struct str h = str_trim (header);
  struct trc_id id;
  uint8_t version, flags;
  if (h.len < TRACEPARENT_LEN)
    return false;
  if (!str_to_bytes (str_head (h, 2), &version, 1) || version == 0xff)
    return false;
  /* Later versions may append fields, version 00 may not. */
  if (h.len > TRACEPARENT_LEN
      && (version == 0 || h.ptr[TRACEPARENT_LEN] != '-'))
    return false;
  if (h.ptr[2] != '-' || h.ptr[35] != '-' || h.ptr[52] != '-')
    return false;
  if (!str_to_bytes (str_make (h.ptr + 53, 2), &flags, 1))
    return false;
  if (!parse_id (str_make (h.ptr + 3, 32), id.trace, sizeof id.trace)
      || !parse_id (str_make (h.ptr + 36, 16), id.span, sizeof id.span))
    return false;
  *parent = id;
  return true;
}

struct trc_id
trc_child (const struct trc_id *parent, struct rng *rng)
{
  struct trc_id id;
  uint64_t words[3] = { rng_next (rng), rng_next (rng), rng_next (rng) };
  words[2] |= 1; /* an all-zero span id is not valid */
  if (parent)
    memcpy (id.trace, parent->trace, sizeof id.trace);
  else
    memcpy (id.trace, words, sizeof id.trace);
  memcpy (id.span, &words[2], sizeof id.span);
  return id;
}

void
trc_format (const struct trc_id *id, struct buf *out)
{
  buf_add_c (out, "00-");
  buf_add_hex (out, id->trace, sizeof id->trace);
  buf_add_char (out, '-');
  buf_add_hex (out, id->span, sizeof id->span);
  buf_add_c (out, "-" FLAGS_SAMPLED);
}

bool
trc_parse_trace (struct str hex, uint8_t trace[16])
{
  char lower[32];
  if (hex.len != sizeof lower)
    return false;
  for (size_t i = 0; i < sizeof lower; i++)
    lower[i] = (char)tolower ((unsigned char)hex.ptr[i]);
  return parse_id (str_make (lower, sizeof lower), trace, 16);
}
