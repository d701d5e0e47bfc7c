#include <criterion/criterion.h>
#include <stdio.h>

#include "base/json.h"

#define ROWS(t) (sizeof (t) / sizeof (t)[0])

/* An answer comes from another process, perhaps of another version, with a
   member absent, null or of another type.  The library ends the process when
   such a value is taken for an array, and takes the string "false" for true;
   here it reads as nothing. */
Test (json, other_types_read_as_nothing)
{
  static const struct
  {
    const char *json;
    const char *expected;
  } rows[] = {
    { "{\"m\":[1,2]}", "array 2" },
    { "{\"m\":{\"m\":1}}", "object" },
    { "{\"m\":\"text\"}", "'text'" },
    { "{\"m\":\"\"}", "" },
    { "{\"m\":\"false\"}", "'false'" },
    { "{\"m\":true}", "int 1 true" },
    { "{\"m\":7}", "int 7" },
    { "{\"m\":\"7\"}", "'7' int 7" },
    { "{\"m\":null}", "" },
    { "{}", "" },
    { "[]", "" },
    { "5", "" },
    { "null", "" },
    { "{\"m\":", "" },
    { "", "" },
  };
  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct json_object *o = jsn_parse (str_from (rows[i].json));
      struct str text = jsn_str (o, "m");
      struct buf out = BUF_INIT;
      size_t n;
      if (jsn_array (o, "m", &n))
        buf_addf (&out, "array %zu ", n);
      if (jsn_object (o, "m"))
        buf_add_c (&out, "object ");
      if (text.len > 0)
        buf_addf (&out, "'%.*s' ", STR_ARG (text));
      if (jsn_int (o, "m") != 0)
        buf_addf (&out, "int %d ", (int)jsn_int (o, "m"));
      if (jsn_bool (o, "m"))
        buf_add_c (&out, "true ");
      cr_expect (str_is (str_trim (buf_str (&out)), rows[i].expected),
                 "%s: %s", rows[i].json, buf_c (&out));
      cr_expect (str_is (text, jsn_text (o, "m")), "%s", rows[i].json);
      buf_free (&out);
      json_object_put (o);
    }
}
