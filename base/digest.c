#include "base/digest.h"

#include <strings.h>

#include <openssl/sha.h>

_Static_assert(DIG_SIZE == SHA256_DIGEST_LENGTH, "a digest is a SHA-256");

void
dig_sha256 (struct str text, uint8_t out[DIG_SIZE])
{
  SHA256 ((const unsigned char *)(text.ptr ? text.ptr : ""), text.len, out);
}

void
dig_add_hex (struct buf *out, struct str text)
{
  uint8_t digest[DIG_SIZE];

  dig_sha256 (text, digest);
  buf_add_hex (out, digest, sizeof digest);
}

bool
dig_add_bearer (struct buf *out, struct str authorization)
{
  static const struct str scheme = { "Bearer ", 7 };
  struct str token;

  if (authorization.len <= scheme.len
      || strncasecmp (authorization.ptr, scheme.ptr, scheme.len) != 0)
    return false;
  token = str_trim (str_skip (authorization, scheme.len));
  if (token.len > 0)
    dig_add_hex (out, token);
  return token.len > 0;
}
