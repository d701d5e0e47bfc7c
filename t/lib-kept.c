#include "t/lib-kept.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/json.h"

void
kept_call (struct web_stream **conn, const char *addr, const char *path,
           const char *headers, struct kept_answer *out)
{
  enum web_read got = WEB_BYTES;
  clk_ms last;

  *out = (struct kept_answer){ .sent_at = clk_now () };
  last = out->sent_at;
  if (!*conn || !web_next (*conn, addr, "POST", path, headers, "hello"))
    {
      web_close (*conn);
      *conn = web_open (addr, "POST", path, headers, "hello");
    }
  while (*conn && got == WEB_BYTES)
    {
      clk_ms now;
      got = web_read (*conn, &out->body, PROC_WAIT_MS);
      now = clk_now ();
      if (now - last > out->max_gap)
        out->max_gap = now - last;
      last = now;
    }
  out->ended_at = clk_now ();
  out->whole = *conn && got == WEB_WHOLE;
  out->timeout = got == WEB_TIMEOUT;
  out->status = *conn ? web_status (*conn, 0) : 0;
  if (!out->whole)
    {
      web_close (*conn);
      *conn = NULL;
    }
  buf_c (&out->body);
}

void
kept_free (struct kept_answer *a)
{
  buf_free (&a->body);
}

void
kept_record (struct buf *list, const char *id, const char *where,
             const struct kept_answer *a)
{
  if (a->whole && a->status == 200)
    return;
  buf_addf (list, "%s %d %d %s, sent %lld, ended after %lld ms%s\n", id,
            a->status, a->whole, where, (long long)a->sent_at,
            (long long)(a->ended_at - a->sent_at),
            a->timeout ? ", silent" : "");
}

static struct json_object *
get_control (const struct rack *r, const char *path)
{
  struct web_answer a = { 0 };
  struct json_object *o;

  web_call (r->platform_addr, "GET", path, NULL, NULL, &a);
  o = jsn_parse (buf_str (&a.body));
  web_free (&a);
  return o;
}

/** What is wrong with the response, or NULL. */
static const char *
find_fault (int status, bool whole, int64_t runs, int64_t ended)
{
  if (status == 0)
    return runs > 0 ? "closed without a response, though run" : NULL;
  if (!whole)
    return "cut off in the middle of the response";
  return status != 200 && ended > 0 ? "an error, though a server ended it"
                                    : NULL;
}

unsigned
kept_find_lost (const struct rack *r, const struct buf *list, struct buf *out)
{
  struct json_object *runs = get_control (r, "/control/runs"),
                     *ended = get_control (r, "/control/ended");
  unsigned n = 0;

  for (struct str left = buf_str (list); left.len > 0;)
    {
      size_t end = str_chr (left, '\n');
      char *line = str_dup (str_head (left, end)), id[48];
      int status = 0, whole = 0;
      const char *fault = NULL;
      if (sscanf (line, "%47s %d %d", id, &status, &whole) == 3)
        fault = find_fault (status, whole, jsn_int (runs, id),
                            jsn_int (ended, id));
      if (fault)
        {
          buf_addf (out, "%s: %s\n", fault, line);
          n++;
        }
      free (line);
      left = str_skip (left, end + 1);
    }
  json_object_put (runs);
  json_object_put (ended);
  return n;
}
