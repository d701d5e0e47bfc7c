#include "net/httpc-head.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

static bool
has_control (struct str s)
{
  for (size_t i = 0; i < s.len; i++)
    if ((unsigned char)s.ptr[i] < ' ' && s.ptr[i] != '\t')
      return true;
  return false;
}

static bool
is_token (struct str s)
{
  return s.len > 0 && !has_control (s) && str_chr (s, ' ') == s.len
         && str_chr (s, ':') == s.len;
}

bool
httpc_head_is_valid (const struct httpc_request *req)
{
  if (!is_token (req->method) || req->path.len == 0 || has_control (req->path)
      || str_chr (req->path, ' ') != req->path.len)
    return false;
  for (size_t i = 0; i < req->nheaders; i++)
    if (!is_token (req->headers[i].name)
        || has_control (req->headers[i].value))
      return false;
  return true;
}

/* Hop-by-hop headers, which are not forwarded. */
static bool
is_hop_header (struct str name)
{
  static const char *const names[]
      = { "connection",       "keep-alive", "transfer-encoding",
          "content-length",   "upgrade",    "te",
          "proxy-connection", "trailer",    "expect" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (str_is (name, names[i]))
      return true;
  return false;
}

static bool
has_body (const struct httpc_request *req)
{
  return req->body.len > 0 || str_is (req->method, "POST")
         || str_is (req->method, "PUT") || str_is (req->method, "PATCH");
}

void
httpc_head_write (const struct httpc_request *req, struct buf *out)
{
  bool host = false;

  buf_add (out, req->method);
  buf_add_char (out, ' ');
  buf_add (out, req->path);
  buf_add_c (out, " HTTP/1.1\r\n");
  for (size_t i = 0; i < req->nheaders; i++)
    {
      if (is_hop_header (req->headers[i].name))
        continue;
      host = host || str_is (req->headers[i].name, "host");
      buf_add (out, req->headers[i].name);
      buf_add_c (out, ": ");
      buf_add (out, req->headers[i].value);
      buf_add_c (out, "\r\n");
    }
  if (!host)
    {
      buf_add_c (out, "host: ");
      net_addr_format (&req->to, out);
      buf_add_c (out, "\r\n");
    }
  if (has_body (req))
    buf_addf (out, "content-length: %zu\r\n", req->body.len);
  if (req->fresh)
    buf_add_c (out, "connection: close\r\n");
  buf_add_c (out, "\r\n");
}

bool
httpc_status_is_final (int status)
{
  return status >= 200 && status <= 599;
}

bool
httpc_head_framing (const struct http_header *h, size_t n,
                    enum httpc_framing *out)
{
  struct str length = STR_EMPTY;
  bool chunked = false;

  for (size_t i = 0; i < n; i++)
    if (str_is (h[i].name, "transfer-encoding"))
      chunked = chunked || str_is (h[i].value, "chunked");
    else if (str_is (h[i].name, "content-length"))
      {
        if (length.ptr != NULL && !str_eq (length, h[i].value))
          return false;
        length = h[i].value;
      }
  if (chunked && length.ptr != NULL)
    return false;
  *out = chunked              ? HTTPC_FRAMING_CHUNKED
         : length.ptr != NULL ? HTTPC_FRAMING_LENGTH
                              : HTTPC_FRAMING_CLOSE;
  return true;
}

/* --- response heads ---------------------------------------------------- */

/** Digits of a length that h2o's parser accepts, leading zeros included. */
#define MAX_LENGTH_DIGITS 19

static bool
match_header (struct str line, const char *name, struct str *value)
{
  size_t colon = str_chr (line, ':'), len = strlen (name);

  if (colon != len || strncasecmp (line.ptr, name, len) != 0)
    return false;
  *value = str_trim (str_skip (line, colon + 1));
  return true;
}

static bool
is_length (struct str value)
{
  for (size_t i = 0; i < value.len; i++)
    if (!isdigit ((unsigned char)value.ptr[i]))
      return false;
  return value.len > 0 && value.len <= MAX_LENGTH_DIGITS;
}

static bool
framing_ok (struct str head)
{
  struct str value;

  while (head.len > 0)
    {
      size_t end = str_chr (head, '\n');
      struct str line = str_head (head, end);
      if (match_header (line, "content-length", &value) && !is_length (value))
        return false;
      if (match_header (line, "transfer-encoding", &value)
          && !str_is (value, "chunked") && !str_is (value, "identity"))
        return false;
      head = str_skip (head, end + 1);
    }
  return true;
}

/** Move the white space after the value of a header line before it. */
static void
move_trailing_space (char *line, size_t len)
{
  size_t begin = str_chr (str_make (line, len), ':') + 1, end = len;

  if (begin > len)
    return;
  if (end > begin && line[end - 1] == '\r')
    end--;
  len = end;
  while (end > begin && (line[end - 1] == ' ' || line[end - 1] == '\t'))
    end--;
  memmove (line + begin + (len - end), line + begin, end - begin);
  memset (line + begin, ' ', len - end);
}

static void
move_all_trailing_space (char *head, size_t len)
{
  size_t begin = 0, end;

  while ((end = begin + str_chr (str_make (head + begin, len - begin), '\n'))
         < len)
    {
      move_trailing_space (head + begin, end - begin);
      begin = end + 1;
    }
}

bool
httpc_head_prepare_input (char *input, size_t len)
{
  size_t end;

  while ((end = str_past_empty_line (str_make (input, len), 0)) > 0)
    {
      /* "HTTP/1.1 1xx": an interim head; another head must follow. */
      bool interim = len >= 10 && input[9] == '1';
      move_all_trailing_space (input, end);
      if (!framing_ok (str_make (input, end)))
        return false;
      if (!interim)
        return true;
      input += end;
      len -= end;
      if (len > 0
          && !str_starts (str_make (input, len),
                          str_head (STR ("HTTP/1."), len)))
        return false;
    }
  return len <= HTTPC_MAX_HEAD;
}
