#include <criterion/criterion.h>

#include "base/digest.h"

Test (digest, bearer_of_a_header)
{
  /* A client library writes the scheme in lower case, another puts blanks
     behind the token.  Both are let in; a header without a token, or of
     another scheme, is nobody's. */
  static const char *const wrong[] = {
    "", "Bearer", "Bearer ", "Bearer    ", "Basic demo-key", "Bearerdemo"
  };
  static const char *const right[]
      = { "Bearer demo-key", "bearer demo-key", "BEARER   demo-key  " };
  struct buf want = BUF_INIT;

  dig_add_hex (&want, STR ("demo-key"));
  for (size_t i = 0; i < sizeof right / sizeof right[0]; i++)
    {
      struct buf got = BUF_INIT;
      cr_expect (dig_add_bearer (&got, str_from (right[i])), "%s", right[i]);
      cr_expect (str_eq (buf_str (&got), buf_str (&want)), "%s", right[i]);
      buf_free (&got);
    }
  for (size_t i = 0; i < sizeof wrong / sizeof wrong[0]; i++)
    {
      struct buf got = BUF_INIT;
      cr_expect_not (dig_add_bearer (&got, str_from (wrong[i])), "%s",
                     wrong[i]);
      cr_expect_eq (got.len, 0, "%s", wrong[i]);
      buf_free (&got);
    }
  buf_free (&want);
}
