#include <string.h>

#include "claim/batch.h"

#define VERSION '\1'
#define RECORD_SIZE ((size_t)49)

/* "BASE-BOOT-SEQ", 16 hexadecimal digits each. */
#define NAME_SIZE ((size_t)50)

static void
add_shard (struct buf *out, struct str prefix, unsigned shard)
{
  buf_clear (out);
  buf_add (out, prefix);
  buf_addf (out, "claim/%02x/", shard);
}

void
bat_head_key (struct buf *out, struct str prefix, unsigned shard)
{
  add_shard (out, prefix, shard);
  buf_add_c (out, "head");
}

void
bat_key (struct buf *out, struct str prefix, unsigned shard,
         const struct bat_name *name)
{
  add_shard (out, prefix, shard);
  buf_addf (out, "b/%016llx-%016llx-%016llx", (unsigned long long)name->base,
            (unsigned long long)name->boot, (unsigned long long)name->seq);
}

void
bat_range (struct buf *key, struct buf *end, struct str prefix, unsigned shard,
           int64_t base)
{
  add_shard (key, prefix, shard);
  buf_addf (key, "b/%016llx", (unsigned long long)base);
  add_shard (end, prefix, shard);
  buf_add_c (end, "i");
}

static bool
parse_hex64 (const char *digits, uint64_t *out)
{
  uint8_t bytes[8];

  if (!str_to_bytes (str_make (digits, 16), bytes, sizeof bytes))
    return false;
  *out = 0;
  for (size_t i = 0; i < sizeof bytes; i++)
    *out = *out << 8 | bytes[i];
  return true;
}

bool
bat_parse_key (struct str key, struct bat_name *out)
{
  uint64_t base;
  const char *p;

  if (key.len < NAME_SIZE + 2)
    return false;
  p = key.ptr + key.len - NAME_SIZE;
  if (memcmp (p - 2, "b/", 2) != 0 || p[16] != '-' || p[33] != '-')
    return false;
  if (!parse_hex64 (p, &base) || !parse_hex64 (p + 17, &out->boot)
      || !parse_hex64 (p + 34, &out->seq))
    return false;
  out->base = (int64_t)base;
  return true;
}

void
bat_begin (struct buf *out)
{
  buf_clear (out);
  buf_add_char (out, VERSION);
}

void
bat_add (struct buf *out, const struct bat_record *r)
{
  buf_add_char (out, (char)r->kind);
  buf_add (out, str_make (r->key, 16));
  buf_add (out, str_make (r->attempt, 16));
  buf_add (out, str_make (r->fingerprint, 16));
}

bool
bat_count (struct str value, size_t *n)
{
  if (value.len < 1 || value.ptr[0] != VERSION
      || (value.len - 1) % RECORD_SIZE != 0)
    return false;
  *n = (value.len - 1) / RECORD_SIZE;
  for (size_t i = 0; i < *n; i++)
    if ((uint8_t)value.ptr[1 + i * RECORD_SIZE] > CLM_RELEASE)
      return false;
  return true;
}

void
bat_get (struct str value, size_t i, struct bat_record *out)
{
  const char *p = value.ptr + 1 + i * RECORD_SIZE;

  out->kind = (enum clm_kind)p[0];
  memcpy (out->key, p + 1, 16);
  memcpy (out->attempt, p + 17, 16);
  memcpy (out->fingerprint, p + 33, 16);
}
