#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-proc.h"

/* How the end of the body is determined. */
enum framing
{
  BY_LENGTH,
  BY_CHUNKS,
  BY_CLOSE
};

struct web_stream
{
  int fd;
  struct buf input; /* received bytes that are not consumed yet */
  struct buf head;  /* status line and headers; empty until complete */
  int status;
  enum framing framing;
  size_t left; /* remaining bytes of the body or of the current chunk */
  bool in_chunk;
  bool ended;
};

static int
connect_to (const char *addr)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  char host[64];
  unsigned port;
  if (sscanf (addr, "%63[^:]:%u", host, &port) != 2)
    return -1;
  sa.sin_port = htons ((uint16_t)port);
  if (inet_pton (AF_INET, host, &sa.sin_addr) != 1)
    return -1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd >= 0 && connect (fd, (struct sockaddr *)&sa, sizeof sa) == 0)
    return fd;
  if (fd >= 0)
    close (fd);
  return -1;
}

static void
send_all (int fd, struct str s)
{
  while (s.len)
    {
      ssize_t n = send (fd, s.ptr, s.len, MSG_NOSIGNAL);
      if (n <= 0)
        return;
      s = str_skip (s, (size_t)n);
    }
}

static void
send_request (int fd, const char *addr, const char *method, const char *path,
              const char *headers, const char *body)
{
  struct buf req = BUF_INIT;
  buf_addf (&req, "%s %s HTTP/1.1\r\nhost: %s\r\n%s", method, path, addr,
            headers ? headers : "");
  if (body)
    buf_addf (&req, "content-length: %zu\r\n", strlen (body));
  buf_addf (&req, "\r\n%s", body ? body : "");
  send_all (fd, buf_str (&req));
  buf_free (&req);
}

struct web_stream *
web_open (const char *addr, const char *method, const char *path,
          const char *headers, const char *body)
{
  int fd = connect_to (addr);
  if (fd < 0)
    return NULL;
  send_request (fd, addr, method, path, headers, body);
  struct web_stream *s = xcalloc (1, sizeof *s);
  s->fd = fd;
  return s;
}

struct web_stream *
web_connect (const char *addr, const char *bytes)
{
  int fd = connect_to (addr);
  if (fd < 0)
    return NULL;
  send_all (fd, str_from (bytes));
  struct web_stream *s = xcalloc (1, sizeof *s);
  s->fd = fd;
  s->ended = true;
  return s;
}

bool
web_next (struct web_stream *s, const char *addr, const char *method,
          const char *path, const char *headers, const char *body)
{
  if (!s->ended || strcasestr (buf_c (&s->head), "\r\nconnection: close\r\n"))
    return false;
  buf_clear (&s->head);
  s->status = 0;
  s->framing = BY_LENGTH;
  s->in_chunk = false;
  s->ended = false;
  send_request (s->fd, addr, method, path, headers, body);
  return true;
}

void
web_close (struct web_stream *s)
{
  if (!s)
    return;
  close (s->fd);
  buf_free (&s->input);
  buf_free (&s->head);
  free (s);
}

/* Receives bytes: 1 on success, 0 at end of file or error, -1 on timeout. */
static int
receive (struct web_stream *s, clk_ms until)
{
  struct pollfd fd = { .fd = s->fd, .events = POLLIN };
  clk_ms left = until - clk_now ();
  if (poll (&fd, 1, left > 0 ? (int)left : 0) <= 0)
    return -1;
  buf_reserve (&s->input, 16384);
  ssize_t n = recv (s->fd, s->input.ptr + s->input.len, 16384, 0);
  if (n <= 0)
    return 0;
  s->input.len += (size_t)n;
  return 1;
}

static struct str
find_header (struct str head, const char *name)
{
  size_t n = strlen (name);
  while (head.len)
    {
      size_t end = str_chr (head, '\n');
      struct str line = str_trim (str_head (head, end));
      if (line.len > n && line.ptr[n] == ':'
          && strncasecmp (line.ptr, name, n) == 0)
        return str_trim (str_skip (line, n + 1));
      head = str_skip (head, end + 1);
    }
  return STR_EMPTY;
}

static void
parse_head (struct web_stream *s)
{
  /* buf_c() may move the buffer, so it comes before the view of it. */
  const char *status = strchr (buf_c (&s->head), ' ');
  struct str head = buf_str (&s->head);
  struct str length = find_header (head, "content-length");
  int64_t n;
  s->status = atoi (status);
  if (str_is (find_header (head, "transfer-encoding"), "chunked"))
    s->framing = BY_CHUNKS;
  else if (str_to_i64 (length, &n))
    s->left = (size_t)n;
  else if (s->status != 204 && s->status != 304)
    s->framing = BY_CLOSE;
}

const char *
web_stream_head (struct web_stream *s)
{
  return buf_c (&s->head);
}

int
web_status (struct web_stream *s, int wait_ms)
{
  clk_ms until = clk_now () + wait_ms;
  while (s->status == 0)
    {
      const char *end
          = s->input.len ? strstr (buf_c (&s->input), "\r\n\r\n") : NULL;
      if (!end)
        {
          if (receive (s, until) <= 0)
            return 0;
          continue;
        }
      size_t n = (size_t)(end - s->input.ptr) + 4;
      buf_add (&s->head, str_head (buf_str (&s->input), n));
      buf_consume (&s->input, n);
      parse_head (s);
    }
  return s->status;
}

/* Moves up to `max` received bytes to `out`. */
static size_t
consume_bytes (struct web_stream *s, struct buf *out, size_t max)
{
  struct str part = str_head (buf_str (&s->input), max);
  size_t n = part.len;
  buf_add (out, part);
  buf_consume (&s->input, n);
  return n;
}

/* Parses the size line of the next chunk; false if it is incomplete. */
static bool
parse_chunk_size (struct web_stream *s)
{
  struct str in = buf_str (&s->input);
  if (str_starts (in, STR ("\r\n")))
    in = str_skip (in, 2);
  size_t end = str_chr (in, '\n');
  if (in.len == 0 || end == in.len)
    return false;
  s->left = strtoul (in.ptr, NULL, 16);
  s->in_chunk = s->left > 0;
  s->ended = s->left == 0;
  buf_consume (&s->input, s->input.len - in.len + end + 1);
  return true;
}

/* Moves the received part of the body to `out`; false if more input is
   needed. */
static bool
consume_body (struct web_stream *s, struct buf *out)
{
  size_t before = out->len;
  switch (s->framing)
    {
    case BY_CLOSE:
      consume_bytes (s, out, SIZE_MAX);
      break;
    case BY_LENGTH:
      s->left -= consume_bytes (s, out, s->left);
      s->ended = s->left == 0;
      break;
    case BY_CHUNKS:
      while (!s->ended && (s->in_chunk || parse_chunk_size (s)))
        {
          size_t n = consume_bytes (s, out, s->left);
          s->left -= n;
          s->in_chunk = s->left > 0;
          if (n == 0)
            break;
        }
      break;
    }
  return out->len > before || s->ended;
}

enum web_read
web_read (struct web_stream *s, struct buf *out, int wait_ms)
{
  clk_ms until = clk_now () + wait_ms;
  size_t before = out->len;
  if (web_status (s, wait_ms) == 0)
    return clk_now () >= until ? WEB_TIMEOUT : WEB_BROKEN;
  while (!s->ended && !consume_body (s, out))
    {
      int got = receive (s, until);
      if (got < 0)
        return WEB_TIMEOUT;
      if (got == 0)
        return s->framing == BY_CLOSE ? WEB_WHOLE : WEB_BROKEN;
    }
  return out->len > before ? WEB_BYTES : WEB_WHOLE;
}

bool
web_read_until (struct web_stream *s, struct buf *out, const char *text,
                int wait_ms)
{
  clk_ms until = clk_now () + wait_ms;
  while (!strstr (buf_c (out), text))
    {
      clk_ms left = until - clk_now ();
      if (left <= 0 || web_read (s, out, (int)left) != WEB_BYTES)
        return strstr (buf_c (out), text) != NULL;
    }
  return true;
}

bool
web_call (const char *addr, const char *method, const char *path,
          const char *headers, const char *body, struct web_answer *out)
{
  *out = (struct web_answer){ 0 };
  struct web_stream *s = web_open (addr, method, path, headers, body);
  if (!s)
    return false;
  clk_ms until = clk_now () + PROC_WAIT_MS;
  enum web_read got = WEB_BYTES;
  while (got == WEB_BYTES)
    got = web_read (s, &out->body, (int)(until - clk_now ()));
  out->status = s->status;
  out->whole = got == WEB_WHOLE;
  buf_add (&out->head, buf_str (&s->head));
  buf_c (&out->body); /* NUL-terminated for strstr() */
  web_close (s);
  return out->whole;
}

void
web_free (struct web_answer *a)
{
  buf_free (&a->head);
  buf_free (&a->body);
}

struct str
web_header (const struct web_answer *a, const char *name)
{
  return find_header (buf_str (&a->head), name);
}

bool
web_poll_until (const char *addr, const char *path, const char *headers,
                const char *text, int wait_ms)
{
  clk_ms until = clk_now () + wait_ms;
  while (true)
    {
      struct web_answer a;
      web_call (addr, "GET", path, headers, NULL, &a);
      bool found = a.body.len && strstr (a.body.ptr, text) != NULL;
      web_free (&a);
      if (found || clk_now () >= until)
        return found;
      poll (NULL, 0, 20);
    }
}
