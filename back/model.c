#include <string.h>

#include "back/back.h"

#define END_MARK STR ("data: [DONE]\n\n")

/**
 * A stream that stops between two events has complete HTTP framing if the
 * engine ended it so; the caller would take half a draft for the whole.  Only
 * the end mark tells, and an engine writes it last.
 */
static bool
model_whole (const struct back_answer *a)
{
  if (!a->events)
    return true;
  if (a->ntail < END_MARK.len)
    return false;
  return str_eq (str_make (a->tail + a->ntail - END_MARK.len, END_MARK.len),
                 END_MARK);
}

static struct str
number_at (struct str s)
{
  size_t n = 0;

  s = str_trim (s);
  while (n < s.len && s.ptr[n] >= '0' && s.ptr[n] <= '9')
    n++;
  return str_head (s, n);
}

/** Of "usage" in a whole answer, else of the events or the length. */
static double
model_tokens (const struct back_answer *a, struct str body)
{
  static const char key[] = "\"completion_tokens\":";
  const char *p;
  int64_t n;

  if (a->events)
    return a->tokens > 1 ? a->tokens - 1 : 1;
  p = body.len ? memmem (body.ptr, body.len, key, sizeof key - 1) : NULL;
  if (p != NULL)
    {
      struct str rest
          = str_skip (body, (size_t)(p - body.ptr) + sizeof key - 1);
      if (str_to_i64 (number_at (rest), &n) && n > 0)
        return (double)n;
    }
  return 1 + (double)a->bytes / 4;
}

const struct back_kind back_model
    = { "model", NULL, model_whole, model_tokens };
