#include "base/str.h"

#include <ctype.h>
#include <errno.h>
#include <glib.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define HEX_DIGITS "0123456789abcdef"

struct str
str_from (const char *c)
{
  return c ? (struct str){ c, strlen (c) } : STR_EMPTY;
}

struct str
str_make (const void *ptr, size_t len)
{
  return (struct str){ ptr, len };
}

bool
str_eq (struct str a, struct str b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.ptr, b.ptr, a.len) == 0);
}

bool
str_is (struct str a, const char *c)
{
  return str_eq (a, str_from (c));
}

int
str_cmp (struct str a, struct str b)
{
  size_t n = a.len < b.len ? a.len : b.len;
  int order = n ? memcmp (a.ptr, b.ptr, n) : 0;
  if (order != 0)
    return order;
  return (a.len > b.len) - (a.len < b.len);
}

bool
str_starts (struct str s, struct str prefix)
{
  return s.len >= prefix.len && str_eq (str_head (s, prefix.len), prefix);
}

size_t
str_chr (struct str s, char c)
{
  const char *at = s.len ? memchr (s.ptr, c, s.len) : NULL;
  return at ? (size_t)(at - s.ptr) : s.len;
}

size_t
str_past_empty_line (struct str s, size_t from)
{
  for (size_t i = from; i + 1 < s.len; i++)
    {
      const char *nl = memchr (s.ptr + i, '\n', s.len - i);
      if (!nl)
        return 0;
      i = (size_t)(nl - s.ptr);
      if (i + 1 < s.len && s.ptr[i + 1] == '\n')
        return i + 2;
      if (i + 2 < s.len && s.ptr[i + 1] == '\r' && s.ptr[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

struct str
str_skip (struct str s, size_t n)
{
  if (n >= s.len)
    return STR_EMPTY;
  return (struct str){ s.ptr + n, s.len - n };
}

struct str
str_head (struct str s, size_t n)
{
  return (struct str){ s.ptr, n < s.len ? n : s.len };
}

struct str
str_trim (struct str s)
{
  while (s.len && isspace ((unsigned char)s.ptr[0]))
    s = str_skip (s, 1);
  while (s.len && isspace ((unsigned char)s.ptr[s.len - 1]))
    s.len--;
  return s;
}

char *
str_dup (struct str s)
{
  char *c = xmalloc (s.len + 1);
  if (s.len)
    memcpy (c, s.ptr, s.len);
  c[s.len] = '\0';
  return c;
}

bool
str_to_i64 (struct str s, int64_t *out)
{
  char text[24];
  if (s.len == 0 || s.len >= sizeof text)
    return false;
  bool negative = s.ptr[0] == '-';
  for (size_t i = negative; i < s.len; i++)
    if (!isdigit ((unsigned char)s.ptr[i]))
      return false;
  if (negative && s.len == 1)
    return false;
  memcpy (text, s.ptr, s.len);
  text[s.len] = '\0';
  errno = 0;
  long long n = strtoll (text, NULL, 10);
  if (errno != 0)
    return false;
  *out = n;
  return true;
}

bool
str_to_decimal (struct str s, double *out)
{
  char text[32], *end;
  if (s.len == 0 || s.len >= sizeof text || !isdigit ((unsigned char)s.ptr[0]))
    return false;
  memcpy (text, s.ptr, s.len);
  text[s.len] = '\0';
  /* strtod also accepts hexadecimal numbers. */
  if (strpbrk (text, "xX"))
    return false;
  double x = g_ascii_strtod (text, &end);
  if (*end != '\0' || !isfinite (x))
    return false;
  *out = x;
  return true;
}

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

bool
str_to_bytes (struct str s, void *out, size_t len)
{
  uint8_t *bytes = out;

  if (s.len != 2 * len)
    return false;
  for (size_t i = 0; i < len; i++)
    {
      int high = hex_digit (s.ptr[2 * i]);
      int low = hex_digit (s.ptr[2 * i + 1]);
      if (high < 0 || low < 0)
        return false;
      bytes[i] = (uint8_t)(high << 4 | low);
    }
  return true;
}

uint64_t
str_hash (struct str s, uint64_t seed)
{
  return XXH3_64bits_withSeed (s.ptr ? s.ptr : "", s.len, seed);
}

void
buf_free (struct buf *b)
{
  free (b->ptr);
  *b = (struct buf)BUF_INIT;
}

void
buf_clear (struct buf *b)
{
  b->len = 0;
}

void
buf_reserve (struct buf *b, size_t extra)
{
  if (extra <= b->cap - b->len)
    return;
  size_t cap = b->cap ? b->cap : 64;
  while (cap - b->len < extra)
    cap *= 2;
  b->ptr = xrealloc (b->ptr, cap);
  b->cap = cap;
}

void
buf_add (struct buf *b, struct str s)
{
  if (s.len == 0)
    return;
  buf_reserve (b, s.len);
  memcpy (b->ptr + b->len, s.ptr, s.len);
  b->len += s.len;
}

void
buf_add_c (struct buf *b, const char *c)
{
  buf_add (b, str_from (c));
}

void
buf_add_char (struct buf *b, char c)
{
  buf_add (b, str_make (&c, 1));
}

void
buf_addf (struct buf *b, const char *fmt, ...)
{
  va_list ap;
  va_start (ap, fmt);
  int need = vsnprintf (NULL, 0, fmt, ap);
  va_end (ap);
  if (need <= 0)
    return;
  buf_reserve (b, (size_t)need + 1);
  va_start (ap, fmt);
  vsnprintf (b->ptr + b->len, (size_t)need + 1, fmt, ap);
  va_end (ap);
  b->len += (size_t)need;
}

/* Length of the valid UTF-8 sequence at the start of s, or 0. */
static size_t
utf8_length (struct str s)
{
  const unsigned char *p = (const unsigned char *)s.ptr;
  size_t n = p[0] < 0x80                    ? 1
             : p[0] >= 0xc2 && p[0] <= 0xdf ? 2
             : p[0] >= 0xe0 && p[0] <= 0xef ? 3
             : p[0] >= 0xf0 && p[0] <= 0xf4 ? 4
                                            : 0;
  if (n == 0 || n > s.len)
    return 0;
  for (size_t i = 1; i < n; i++)
    if ((p[i] & 0xc0) != 0x80)
      return 0;
  bool overlong
      = (p[0] == 0xe0 && p[1] < 0xa0) || (p[0] == 0xf0 && p[1] < 0x90);
  bool surrogate = p[0] == 0xed && p[1] >= 0xa0;
  bool beyond = p[0] == 0xf4 && p[1] >= 0x90;
  return overlong || surrogate || beyond ? 0 : n;
}

static void
add_json_char (struct buf *b, unsigned char c)
{
  switch (c)
    {
    case '"':
      buf_add_c (b, "\\\"");
      break;
    case '\\':
      buf_add_c (b, "\\\\");
      break;
    case '\n':
      buf_add_c (b, "\\n");
      break;
    case '\r':
      buf_add_c (b, "\\r");
      break;
    case '\t':
      buf_add_c (b, "\\t");
      break;
    default:
      if (c < 0x20 || c == 0x7f)
        buf_addf (b, "\\u%04x", c);
      else
        buf_add_char (b, (char)c);
    }
}

void
buf_add_json (struct buf *b, struct str s)
{
  buf_add_char (b, '"');
  while (s.len)
    {
      size_t n = utf8_length (s);
      /* A byte that is not UTF-8 would make the whole document invalid for
         its reader; the replacement character costs only that byte. */
      if (n == 0)
        buf_add_c (b, "\\ufffd");
      else if (n == 1)
        add_json_char (b, (unsigned char)s.ptr[0]);
      else
        buf_add (b, str_head (s, n));
      s = str_skip (s, n ? n : 1);
    }
  buf_add_char (b, '"');
}

void
buf_add_hex (struct buf *b, const void *bytes, size_t len)
{
  const unsigned char *p = bytes;
  buf_reserve (b, 2 * len);
  for (size_t i = 0; i < len; i++)
    {
      b->ptr[b->len++] = HEX_DIGITS[p[i] >> 4];
      b->ptr[b->len++] = HEX_DIGITS[p[i] & 15];
    }
}

void
buf_consume (struct buf *b, size_t n)
{
  if (n >= b->len)
    {
      b->len = 0;
      return;
    }
  memmove (b->ptr, b->ptr + n, b->len - n);
  b->len -= n;
}

struct str
buf_str (const struct buf *b)
{
  return (struct str){ b->ptr, b->len };
}

const char *
buf_c (struct buf *b)
{
  buf_reserve (b, 1);
  b->ptr[b->len] = '\0';
  return b->ptr;
}

static void *
or_abort (void *p)
{
  if (p)
    return p;
  fputs ("out of memory\n", stderr);
  abort ();
}

void *
xmalloc (size_t size)
{
  return or_abort (malloc (size ? size : 1));
}

void *
xcalloc (size_t n, size_t size)
{
  return or_abort (calloc (n ? n : 1, size ? size : 1));
}

void *
xrealloc (void *p, size_t size)
{
  return or_abort (realloc (p, size ? size : 1));
}

char *
xstrdup (const char *c)
{
  return or_abort (strdup (c));
}
