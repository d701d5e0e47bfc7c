#include <criterion/criterion.h>
#include <stdio.h>

#include "base/findings.h"
#include "base/str.h"

#define ROWS(t) (sizeof (t) / sizeof (t)[0])

Test (str, json_quoting)
{
  /* What callers send ends up in logs and answers: whatever the bytes, the
     result must be valid JSON. */
  static const struct
  {
    struct str in;
    const char *out;
  } rows[] = {
    { STR (""), "\"\"" },
    { STR ("a\"b\\c/"), "\"a\\\"b\\\\c/\"" },
    { STR ("\n\r\t\x01\x7f"), "\"\\n\\r\\t\\u0001\\u007f\"" },
    { STR ("a\0b"), "\"a\\u0000b\"" },
    { STR ("h\xc3\xa9 \xe5\x8f\xb0 \xf0\x9f\x99\x82"),
      "\"h\xc3\xa9 \xe5\x8f\xb0 \xf0\x9f\x99\x82\"" },
    { STR ("\xff\xc3"), "\"\\ufffd\\ufffd\"" },
    { STR ("\xc0\xaf"), "\"\\ufffd\\ufffd\"" },            /* overlong */
    { STR ("\xed\xa0\x80"), "\"\\ufffd\\ufffd\\ufffd\"" }, /* surrogate */
  };
  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct buf b = BUF_INIT;
      buf_add_json (&b, rows[i].in);
      cr_expect_str_eq (buf_c (&b), rows[i].out, "row %zu", i);
      buf_free (&b);
    }
}

Test (str, whole_numbers_only)
{
  static const struct
  {
    const char *in;
    bool ok;
    int64_t out;
  } rows[] = {
    { "0", true, 0 },
    { "-17", true, -17 },
    { "9223372036854775807", true, INT64_MAX },
    { "9223372036854775808", false, 0 },
    { "-9223372036854775808", true, INT64_MIN },
    { "", false, 0 },
    { "-", false, 0 },
    { "+1", false, 0 },
    { " 1", false, 0 },
    { "1x", false, 0 },
    { "0000000000000000000000000000001", false, 0 },
  };
  for (size_t i = 0; i < ROWS (rows); i++)
    {
      int64_t n = 42;
      bool ok = str_to_i64 (str_from (rows[i].in), &n);
      cr_expect_eq (ok, rows[i].ok, "'%s'", rows[i].in);
      cr_expect_eq (n, ok ? rows[i].out : 42, "'%s'", rows[i].in);
    }
}

Test (str, hexadecimal)
{
  static const struct
  {
    const char *in;
    bool ok;
  } rows[] = { { "00ff1a", true },  { "00ff1", false },  { "00ff1a0", false },
               { "00FF1A", false }, { "00ff1g", false }, { "0x0000", false },
               { " 0ff1a", false }, { "", false } };
  for (size_t i = 0; i < ROWS (rows); i++)
    {
      unsigned char bytes[3];
      cr_expect_eq (str_to_bytes (str_from (rows[i].in), bytes, 3), rows[i].ok,
                    "'%s'", rows[i].in);
    }
  unsigned char bytes[3];
  cr_assert (str_to_bytes (STR ("00ff1a"), bytes, 3));
  cr_expect_arr_eq (bytes, "\x00\xff\x1a", 3);
}

Test (str, views)
{
  cr_expect (str_eq (STR_EMPTY, STR ("")));
  cr_expect (!str_eq (STR ("ab"), STR ("abc")));
  cr_expect_lt (str_cmp (STR ("ab"), STR ("abc")), 0);
  cr_expect_gt (str_cmp (STR ("b"), STR ("abc")), 0);
  cr_expect (str_is (str_trim (STR (" \t a b \r\n")), "a b"));
  cr_expect (str_is (str_trim (STR (" \t ")), ""));
  cr_expect_eq (str_chr (STR ("abc"), 'x'), 3);
  cr_expect_eq (str_chr (STR_EMPTY, 'x'), 0);
  cr_expect (str_is (str_skip (STR ("abc"), 9), ""));
  cr_expect (str_is (str_head (STR ("abc"), 9), "abc"));
  cr_expect (!str_starts (STR ("ab"), STR ("abc")));
  cr_expect_neq (str_hash (STR ("a"), 1), str_hash (STR ("a"), 2));
}

Test (str, buffer_keeps_its_order)
{
  struct buf b = BUF_INIT;
  for (int i = 0; i < 1000; i++)
    buf_addf (&b, "%d,", i);
  buf_consume (&b, 10); /* "0,1,2,3,4," */
  cr_expect (str_starts (buf_str (&b), STR ("5,6,7,")));
  buf_consume (&b, b.len - 4);
  cr_expect_str_eq (buf_c (&b), "999,");
  buf_consume (&b, 99);
  buf_add_hex (&b, "\x00\xff\x1a", 3);
  cr_expect_str_eq (buf_c (&b), "00ff1a");
  buf_free (&b);
}

Test (findings, printed_with_their_place)
{
  struct fnd_list l = { 0 };
  struct buf out = BUF_INIT;
  fnd_addf (&l, FND_ERROR, "10-a.json", 7, "/models/m", "%s", "bad");
  fnd_addf (&l, FND_WARNING, "10-a.json", 0, NULL, "odd %d", 1);
  fnd_addf (&l, FND_ERROR, NULL, 0, "/limits", "worse");
  fnd_print (&l, &out);
  cr_expect_str_eq (buf_c (&out), "10-a.json:7: /models/m: error: bad\n"
                                  "10-a.json: warning: odd 1\n"
                                  "/limits: error: worse\n");
  cr_expect_eq (l.errors, 2);
  fnd_free (&l);
  buf_free (&out);
}
