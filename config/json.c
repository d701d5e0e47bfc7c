#include "config/json.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define MAX_DEPTH 16

/** End of the string literal that begins at @p i (past the closing quote). */
static size_t
skip_string (const char *p, size_t len, size_t i)
{
  for (i++; i < len && p[i] != '"'; i++)
    if (p[i] == '\\')
      i++;
  return i < len ? i + 1 : len;
}

/** End of the comment that begins at @p i, or @p i when there is none. */
static size_t
skip_comment (const char *p, size_t len, size_t i)
{
  const char *end;

  if (i + 1 >= len || p[i] != '/')
    return i;
  if (p[i + 1] == '/')
    {
      end = memchr (p + i, '\n', len - i);
      return end ? (size_t)(end - p) : len;
    }
  if (p[i + 1] != '*')
    return i;
  end = memmem (p + i + 2, len - i - 2, "*/", 2);
  /* A comment without an end is left as it is, for the parser to refuse. */
  return end ? (size_t)(end - p) + 2 : i;
}

char *
cfj_blank_comments (struct str text)
{
  char *p = str_dup (text);
  size_t i = 0;

  while (i < text.len)
    {
      size_t end = skip_comment (p, text.len, i);
      if (p[i] == '"')
        i = skip_string (p, text.len, i);
      else if (end == i)
        i++;
      for (; i < end; i++)
        if (p[i] != '\n')
          p[i] = ' ';
    }
  return p;
}

int
cfj_line (struct str text, size_t offset)
{
  int line = 1;

  for (size_t i = 0; i < offset && i < text.len; i++)
    line += text.ptr[i] == '\n';
  return line;
}

static size_t
column (struct str text, size_t offset)
{
  size_t start = offset < text.len ? offset : text.len;

  while (start > 0 && text.ptr[start - 1] != '\n')
    start--;
  return offset - start + 1;
}

static bool
check_utf8 (struct str text, const char *file, struct fnd_list *findings)
{
  const char *bad;
  size_t at;

  if (text.len == 0 || g_utf8_validate (text.ptr, (gssize)text.len, &bad))
    return true;
  at = (size_t)(bad - text.ptr);
  fnd_addf (findings, FND_ERROR, file, cfj_line (text, at), NULL,
            "column %zu: is not UTF-8", column (text, at));
  return false;
}

static void
add_syntax_error (struct str text, const char *file, struct json_tokener *tok,
                  struct fnd_list *findings)
{
  enum json_tokener_error err = json_tokener_get_error (tok);
  size_t at = json_tokener_get_parse_end (tok);
  const char *why = err == json_tokener_continue
                        ? "ends before the value is complete"
                        : json_tokener_error_desc (err);

  fnd_addf (findings, FND_ERROR, file, cfj_line (text, at), NULL,
            "column %zu: JSON syntax: %s", column (text, at), why);
}

/* The parser takes keys in single quotes even when it is strict.  Nothing
   else here would, so such a text is refused as a whole. */
static bool
check_quotes (struct str text, const char *plain, const char *file,
              struct fnd_list *findings)
{
  size_t i = 0;

  while (i < text.len && plain[i] != '\'')
    i = plain[i] == '"' ? skip_string (plain, text.len, i) : i + 1;
  if (i >= text.len)
    return true;
  fnd_addf (findings, FND_ERROR, file, cfj_line (text, i), NULL,
            "column %zu: JSON syntax: strings stand in double quotes",
            column (text, i));
  return false;
}

struct json_object *
cfj_read (struct str text, const char *file, struct fnd_list *findings)
{
  struct json_tokener *tok = NULL;
  struct json_object *o = NULL;
  char *plain = NULL;

  if (!check_utf8 (text, file, findings))
    goto out;
  plain = cfj_blank_comments (text);
  if (!check_quotes (text, plain, file, findings))
    goto out;
  tok = json_tokener_new_ex (MAX_DEPTH);
  json_tokener_set_flags (tok, JSON_TOKENER_STRICT);
  o = json_tokener_parse_ex (tok, plain, (int)text.len);
  if (json_tokener_get_error (tok) != json_tokener_success)
    {
      add_syntax_error (text, file, tok, findings);
      goto out;
    }
  if (!json_object_is_type (o, json_type_object))
    {
      fnd_addf (findings, FND_ERROR, file, 1, NULL,
                "the top level is not an object");
      json_object_put (o);
      o = NULL;
    }
out:
  if (tok)
    json_tokener_free (tok);
  free (plain);
  return o;
}

static void
merge_member (struct json_object *target, const char *key,
              struct json_object *value)
{
  struct json_object *old = NULL;

  if (!value)
    {
      json_object_object_del (target, key);
      return;
    }
  if (!json_object_is_type (value, json_type_object))
    {
      json_object_object_add (target, key, json_object_get (value));
      return;
    }
  json_object_object_get_ex (target, key, &old);
  if (!json_object_is_type (old, json_type_object))
    {
      old = json_object_new_object ();
      json_object_object_add (target, key, old);
    }
  cfj_merge (old, value);
}

void
cfj_merge (struct json_object *target, struct json_object *patch)
{
  json_object_object_foreach (patch, key, value)
  {
    merge_member (target, key, value);
  }
}

static int
compare_keys (const void *a, const void *b)
{
  return str_cmp (*(const struct str *)a, *(const struct str *)b);
}

struct str *
cfj_keys (struct json_object *o, size_t *n)
{
  size_t count = (size_t)json_object_object_length (o);
  struct str *keys = xcalloc (count + 1, sizeof *keys);

  *n = 0;
  json_object_object_foreach (o, key, value)
  {
    (void)value;
    keys[(*n)++] = str_from (key);
  }
  qsort (keys, count, sizeof *keys, compare_keys);
  return keys;
}

static void
canon_object (struct json_object *o, struct buf *out)
{
  size_t n;
  struct str *keys = cfj_keys (o, &n);

  buf_add_char (out, '{');
  for (size_t i = 0; i < n; i++)
    {
      if (i)
        buf_add_char (out, ',');
      buf_add_json (out, keys[i]);
      buf_add_char (out, ':');
      cfj_canon (json_object_object_get (o, keys[i].ptr), out);
    }
  buf_add_char (out, '}');
  free (keys);
}

static void
canon_array (struct json_object *o, struct buf *out)
{
  size_t n = json_object_array_length (o);

  buf_add_char (out, '[');
  for (size_t i = 0; i < n; i++)
    {
      if (i)
        buf_add_char (out, ',');
      cfj_canon (json_object_array_get_idx (o, i), out);
    }
  buf_add_char (out, ']');
}

void
cfj_canon (struct json_object *o, struct buf *out)
{
  switch (json_object_get_type (o))
    {
    case json_type_object:
      canon_object (o, out);
      break;
    case json_type_array:
      canon_array (o, out);
      break;
    case json_type_string:
      buf_add_json (out, str_make (json_object_get_string (o),
                                   (size_t)json_object_get_string_len (o)));
      break;
    default:
      buf_add_c (out,
                 json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
    }
}
