#include "base/json.h"

struct json_object *
jsn_parse (struct str text)
{
  struct json_tokener *t = json_tokener_new ();
  struct json_object *o = NULL;

  if (t && text.len > 0)
    o = json_tokener_parse_ex (t, text.ptr, (int)text.len);
  if (t)
    json_tokener_free (t);
  return o;
}

struct json_object *
jsn_get (const struct json_object *o, const char *key)
{
  struct json_object *v = NULL;

  if (json_object_is_type (o, json_type_object))
    json_object_object_get_ex (o, key, &v);
  return v;
}

static struct json_object *
get_typed (const struct json_object *o, const char *key, enum json_type type)
{
  struct json_object *v = jsn_get (o, key);

  return json_object_is_type (v, type) ? v : NULL;
}

struct json_object *
jsn_object (const struct json_object *o, const char *key)
{
  return get_typed (o, key, json_type_object);
}

struct json_object *
jsn_array (const struct json_object *o, const char *key, size_t *n)
{
  struct json_object *v = get_typed (o, key, json_type_array);

  *n = v ? json_object_array_length (v) : 0;
  return v;
}

struct str
jsn_str (const struct json_object *o, const char *key)
{
  struct json_object *v = get_typed (o, key, json_type_string);

  if (!v)
    return STR_EMPTY;
  return str_make (json_object_get_string (v),
                   (size_t)json_object_get_string_len (v));
}

const char *
jsn_text (const struct json_object *o, const char *key)
{
  struct json_object *v = get_typed (o, key, json_type_string);

  return v ? json_object_get_string (v) : "";
}

int64_t
jsn_int (const struct json_object *o, const char *key)
{
  return json_object_get_int64 (jsn_get (o, key));
}

double
jsn_double (const struct json_object *o, const char *key)
{
  return json_object_get_double (jsn_get (o, key));
}

bool
jsn_bool (const struct json_object *o, const char *key)
{
  struct json_object *v = get_typed (o, key, json_type_boolean);

  return json_object_get_boolean (v);
}
