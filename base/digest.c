#include "base/digest.h"

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
