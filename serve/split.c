#include "serve/split.h"

#include <glib.h>

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

/** Whether a line is empty, a comment, or a field: its name consists of
    letters, digits, "-" and "_", and is followed by ":" or the end. */
static bool
is_field (struct str line)
{
  struct str name = str_head (line, str_chr (line, ':'));

  for (size_t i = 0; i < name.len; i++)
    if (!g_ascii_isalnum (name.ptr[i]) && name.ptr[i] != '-'
        && name.ptr[i] != '_')
      return false;
  return true;
}

static bool
is_event (struct str text)
{
  while (text.len > 0)
    {
      size_t end = str_chr (text, '\n');
      struct str line = str_head (text, end);
      if (line.len > 0 && line.ptr[line.len - 1] == '\r')
        line.len--;
      if (!is_field (line))
        return false;
      text = str_skip (text, end + 1);
    }
  return true;
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

  if (s->malformed)
    return 0;
  buf_add (&s->rest, bytes);
  all = buf_str (&s->rest);
  while (!s->malformed
         && (len = str_past_empty_line (str_skip (all, used), from)) > 0)
    {
      struct str event = str_make (all.ptr + used, len);
      s->malformed = !is_event (event);
      if (!s->malformed && str_trim (event).len > 0)
        n += append_new_event (s, event, out);
      used += len;
      from = 0;
    }
  s->malformed = s->malformed || all.len - used > SPL_MAX_EVENT;
  if (s->malformed)
    buf_clear (&s->rest);
  else
    buf_consume (&s->rest, used);
  return n;
}
