#include "t/lib-split.h"

#include "serve/split.h"

struct parsed
{
  struct spl s;
  struct buf out;
  size_t events;
};

static void
feed_in_chunks (struct parsed *p, struct str stream)
{
  while (stream.len > 0)
    {
      size_t size = 1 + (unsigned char)stream.ptr[0] % 7;
      p->events += spl_feed (&p->s, str_head (stream, size), &p->out);
      stream = str_skip (stream, size);
    }
}

static const char *
compare (const struct parsed *whole, const struct parsed *chunks)
{
  struct str rest = buf_str (&whole->s.rest), out = buf_str (&whole->out);

  if (!str_eq (out, buf_str (&chunks->out)))
    return "chunks give other events";
  if (whole->events != chunks->events)
    return "chunks give another number of events";
  if (!str_eq (rest, buf_str (&chunks->s.rest)))
    return "chunks leave another rest";
  if (whole->s.has_id != chunks->s.has_id
      || whole->s.last_id != chunks->s.last_id)
    return "chunks give another last id";
  if (str_past_empty_line (rest, 0) > 0)
    return "the rest has a complete event";
  if (out.len > 0 && out.ptr[out.len - 1] != '\n')
    return "an event does not end with its empty line";
  return NULL;
}

const char *
split_check (struct str stream)
{
  struct parsed whole = { 0 }, chunks = { 0 };
  const char *wrong;

  if (stream.len > 0)
    whole.events = spl_feed (&whole.s, stream, &whole.out);
  feed_in_chunks (&chunks, stream);
  wrong = compare (&whole, &chunks);
  buf_free (&whole.out);
  buf_free (&chunks.out);
  spl_free (&whole.s);
  spl_free (&chunks.s);
  return wrong;
}
