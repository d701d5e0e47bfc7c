#include "config/read.h"

#include <ctype.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/digest.h"
#include "config/json.h"
#include "config/locate.h"
#include "config/nearest.h"
#include "net/addr.h"

#define MAX_NAME 63
#define DIGEST_DIGITS (2 * DIG_SIZE)

void
rd_pointer (const struct rd_at *at, struct buf *out)
{
  if (!at || !at->up)
    return;
  rd_pointer (at->up, out);
  if (at->key.ptr)
    loc_add_step (out, at->key);
  else
    buf_addf (out, "/%zu", at->index);
}

static void add_finding (struct rd *r, enum fnd_severity severity,
                         const struct rd_at *at, const char *fmt, va_list ap)
    __attribute__ ((format (printf, 4, 0)));

static void
add_finding (struct rd *r, enum fnd_severity severity, const struct rd_at *at,
             const char *fmt, va_list ap)
{
  struct buf pointer = BUF_INIT;
  char *text = NULL;

  rd_pointer (at, &pointer);
  if (vasprintf (&text, fmt, ap) < 0)
    abort ();
  fnd_addf (r->findings, severity, NULL, 0,
            pointer.len ? buf_c (&pointer) : NULL, "%s", text);
  free (text);
  buf_free (&pointer);
}

void
rd_error (struct rd *r, const struct rd_at *at, const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  add_finding (r, FND_ERROR, at, fmt, ap);
  va_end (ap);
}

void
rd_warn (struct rd *r, const struct rd_at *at, const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  add_finding (r, FND_WARNING, at, fmt, ap);
  va_end (ap);
}

static struct str
text_of (struct json_object *json)
{
  return str_make (json_object_get_string (json),
                   (size_t)json_object_get_string_len (json));
}

bool
rd_is_name (struct str name)
{
  bool good = name.len > 0 && name.len <= MAX_NAME
              && isalnum ((unsigned char)name.ptr[0]);

  for (size_t i = 0; good && i < name.len; i++)
    good = isalnum ((unsigned char)name.ptr[i])
           || memchr ("._-", name.ptr[i], 3);
  return good;
}

void
rd_check_name (struct rd *r, const struct rd_at *at, struct str name)
{
  if (!rd_is_name (name))
    rd_error (r, at,
              "'%.*s' is not a name: a letter or digit, then at most %d "
              "letters, digits, '.', '_' or '-'",
              STR_ARG (name), MAX_NAME - 1);
}

static void
check_digest (struct rd *r, const struct rd_at *at, struct str digest)
{
  static const char digits[] = "0123456789abcdef";
  size_t i = 0;

  while (i < digest.len && memchr (digits, digest.ptr[i], sizeof digits - 1))
    i++;
  if (i < digest.len)
    rd_error (r, at, "a digest has only the digits 0-9 and a-f");
  else if (digest.len != DIGEST_DIGITS)
    rd_error (r, at, "a SHA-256 digest has %d digits, not %zu", DIGEST_DIGITS,
              digest.len);
}

static bool
read_string (struct rd *r, const struct rd_at *at, struct json_object *json,
             enum rd_type type, struct str *out)
{
  if (!json_object_is_type (json, json_type_string))
    {
      rd_error (r, at, "is not a string");
      return false;
    }
  *out = arena_str (r->arena, text_of (json));
  if (type == RD_NAME)
    rd_check_name (r, at, *out);
  if (type == RD_DIGEST)
    check_digest (r, at, *out);
  return true;
}

static bool
read_number (struct rd *r, const struct rd_at *at, struct json_object *json,
             const struct rd_field *f, double *out)
{
  bool whole = f->type != RD_NUMBER;

  if (!json_object_is_type (json, json_type_int)
      && (whole || !json_object_is_type (json, json_type_double)))
    {
      rd_error (r, at, whole ? "is not a whole number" : "is not a number");
      return false;
    }
  *out = json_object_get_double (json);
  if (!(*out >= f->min && *out <= f->max))
    {
      rd_error (r, at, "%.15g is not between %.15g and %.15g", *out, f->min,
                f->max);
      return false;
    }
  return true;
}

static void
store_number (const struct rd_field *f, void *to, double value)
{
  if (f->type == RD_UNSIGNED)
    *(unsigned *)to = (unsigned)value;
  else if (f->type == RD_SIZE)
    *(size_t *)to = (size_t)value;
  else if (f->type == RD_MS)
    *(clk_ms *)to = (clk_ms)value;
  else
    *(double *)to = value;
}

static void
read_addr (struct rd *r, const struct rd_at *at, struct json_object *json,
           const struct rd_field *f, struct net_addr *out)
{
  struct str text;

  if (read_string (r, at, json, RD_TEXT, &text)
      && !net_addr_parse (text, f->min == 0, out))
    rd_error (r, at, "'%.*s' is not an IP number with a port", STR_ARG (text));
}

static void
read_choice (struct rd *r, const struct rd_at *at, struct json_object *json,
             const struct rd_field *f, int *out)
{
  struct buf list = BUF_INIT;
  struct str text;

  if (!read_string (r, at, json, RD_TEXT, &text))
    return;
  for (int i = 0; f->choices[i]; i++)
    {
      if (str_is (text, f->choices[i]))
        {
          *out = i;
          goto out;
        }
      buf_addf (&list, "%s%s", i ? ", " : "", f->choices[i]);
    }
  rd_error (r, at, "'%.*s' is none of %s", STR_ARG (text), buf_c (&list));
out:
  buf_free (&list);
}

static void
read_field (struct rd *r, const struct rd_at *at, struct json_object *json,
            const struct rd_field *f, void *out)
{
  void *to = (char *)out + f->offset;
  double number;

  switch (f->type)
    {
    case RD_NESTED:
      break;
    case RD_TEXT:
    case RD_NAME:
    case RD_DIGEST:
      read_string (r, at, json, f->type, to);
      break;
    case RD_BOOL:
      if (json_object_is_type (json, json_type_boolean))
        *(bool *)to = json_object_get_boolean (json);
      else
        rd_error (r, at, "is not true or false");
      break;
    case RD_UNSIGNED:
    case RD_SIZE:
    case RD_MS:
    case RD_NUMBER:
      if (read_number (r, at, json, f, &number))
        store_number (f, to, number);
      break;
    case RD_ADDR:
      read_addr (r, at, json, f, to);
      break;
    case RD_CHOICE:
      read_choice (r, at, json, f, to);
      break;
    }
}

void
rd_optional (struct rd *r, const struct rd_at *at, struct json_object *json,
             const struct rd_field *f, void *out)
{
  struct rd_at here = { at, str_from (f->name), 0 };
  struct json_object *member;

  if (json_object_object_get_ex (json, f->name, &member))
    read_field (r, &here, member, f, out);
}

static void
report_unknown (struct rd *r, const struct rd_at *at,
                const struct rd_field *fields, size_t n)
{
  struct str *known = xcalloc (n + 1, sizeof *known);
  size_t pick;

  for (size_t i = 0; i < n; i++)
    known[i] = str_from (fields[i].name);
  pick = near_pick (at->key, known, n);
  if (pick < n)
    rd_error (r, at, "unknown key; did you mean '%.*s'?",
              STR_ARG (known[pick]));
  else
    rd_error (r, at, "unknown key");
  free (known);
}

static const struct rd_field *
find_field (const struct rd_field *fields, size_t n, struct str key)
{
  for (size_t i = 0; i < n; i++)
    if (str_is (key, fields[i].name))
      return &fields[i];
  return NULL;
}

void
rd_object (struct rd *r, const struct rd_at *at, struct json_object *json,
           const struct rd_field *fields, size_t n, void *out)
{
  size_t nkeys;
  struct str *keys;

  if (!json_object_is_type (json, json_type_object))
    {
      rd_error (r, at, "is not an object");
      return;
    }
  keys = cfj_keys (json, &nkeys);
  for (size_t i = 0; i < nkeys; i++)
    {
      struct rd_at here = { at, keys[i], 0 };
      const struct rd_field *f = find_field (fields, n, keys[i]);
      if (f)
        read_field (r, &here, json_object_object_get (json, keys[i].ptr), f,
                    out);
      else
        report_unknown (r, &here, fields, n);
    }
  for (size_t i = 0; i < n; i++)
    if (fields[i].required
        && !json_object_object_get_ex (json, fields[i].name, NULL))
      rd_error (r, at, "'%s' is missing", fields[i].name);
  free (keys);
}

struct json_object *
rd_member (struct rd *r, const struct rd_at *at, struct json_object *json,
           const char *key, enum json_type type)
{
  struct rd_at here = { at, str_from (key), 0 };
  struct json_object *member = NULL;

  if (!json_object_is_type (json, json_type_object)
      || !json_object_object_get_ex (json, key, &member))
    return NULL;
  if (json_object_is_type (member, type))
    return member;
  rd_error (r, &here,
            type == json_type_array ? "is not an array" : "is not an object");
  return NULL;
}

static size_t
bounded_length (struct rd *r, const struct rd_at *at,
                struct json_object *array, size_t max)
{
  size_t n = json_object_array_length (array);

  if (n <= max)
    return n;
  rd_error (r, at, "has %zu elements; at most %zu are allowed", n, max);
  return max;
}

struct str *
rd_strings (struct rd *r, const struct rd_at *at, struct json_object *json,
            const char *key, enum rd_type type, size_t max, size_t *n)
{
  struct json_object *array = rd_member (r, at, json, key, json_type_array);
  struct rd_at here = { at, str_from (key), 0 };
  struct str *out;

  *n = array ? bounded_length (r, &here, array, max) : 0;
  out = arena_alloc (r->arena, *n + 1, sizeof *out);
  for (size_t i = 0; i < *n; i++)
    {
      struct rd_at element = { &here, STR_EMPTY, i };
      read_string (r, &element, json_object_array_get_idx (array, i), type,
                   &out[i]);
    }
  return out;
}

size_t
rd_statuses (struct rd *r, const struct rd_at *at, struct json_object *json,
             int out[4])
{
  static const struct rd_field status
      = { .type = RD_UNSIGNED, .min = 400, .max = 599 };
  struct json_object *array
      = rd_member (r, at, json, "not_run_status", json_type_array);
  struct rd_at here = { at, STR ("not_run_status"), 0 };
  size_t n = array ? bounded_length (r, &here, array, 4) : 0;

  for (size_t i = 0; i < n; i++)
    {
      struct rd_at element = { &here, STR_EMPTY, i };
      double value = 0;
      read_number (r, &element, json_object_array_get_idx (array, i), &status,
                   &value);
      out[i] = (int)value;
    }
  return n;
}
