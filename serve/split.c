#include "serve/split.h"

void
spl_free (struct spl *s)
{
  buf_free (&s->rest);
}

/** Parses the value of the event's "id" line. */
static bool
event_id (struct str event, int64_t *id)
{
  while (event.len > 0)
    {
      size_t end = str_chr (event, '\n');
      struct str line = str_trim (str_head (event, end));
      if (str_starts (line, STR ("id:")))
        return str_to_i64 (str_trim (str_skip (line, 3)), id);
      event = str_skip (event, end + 1);
    }
  return false;
}

static bool
append_new_event (struct spl *s, struct str event, struct buf *out)
{
  int64_t id;

  if (event_id (event, &id))
    {
      if (s->has_id && id <= s->last_id)
        return false;
      s->has_id = true;
      s->last_id = id;
    }
  buf_add (out, event);
  return true;
}

size_t
spl_feed (struct spl *s, struct str bytes, struct buf *out)
{
  size_t from = s->rest.len > 2 ? s->rest.len - 2 : 0, used = 0, n = 0, len;
  struct str all;

  buf_add (&s->rest, bytes);
  all = buf_str (&s->rest);
  while ((len = str_past_empty_line (str_skip (all, used), from)) > 0)
    {
      n += append_new_event (s, str_make (all.ptr + used, len), out);
      used += len;
      from = 0;
    }
  buf_consume (&s->rest, used);
  return n;
}
