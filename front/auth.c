#include <string.h>
#include <strings.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "front/callers.h"

static bool
bearer_key (const struct httpd_req *req, struct str *key)
{
  static const struct str scheme = { "Bearer ", 7 };
  struct str h = httpd_header (req, "authorization");

  if (h.len <= scheme.len || strncasecmp (h.ptr, scheme.ptr, scheme.len) != 0)
    return false;
  *key = str_trim (str_skip (h, scheme.len));
  return key->len > 0;
}

static void
hex_digest (struct str key, char out[65])
{
  static const char digits[] = "0123456789abcdef";
  uint8_t sum[SHA256_DIGEST_LENGTH];

  SHA256 ((const uint8_t *)key.ptr, key.len, sum);
  for (size_t i = 0; i < sizeof sum; i++)
    {
      out[2 * i] = digits[sum[i] >> 4];
      out[2 * i + 1] = digits[sum[i] & 15];
    }
  out[64] = '\0';
}

static bool
account_has (const struct cfg_account *a, const char digest[65])
{
  bool found = false;

  for (size_t i = 0; i < a->nkeys; i++)
    if (a->key_digests[i].len == 64
        && CRYPTO_memcmp (a->key_digests[i].ptr, digest, 64) == 0)
      found = true;
  return found;
}

/* Every account is compared in full, so that the time taken tells nothing
   of how near a guess came.  */
const struct cfg_account *
gw_auth (const struct cfg *cfg, const struct httpd_req *req)
{
  const struct cfg_account *found = NULL;
  struct str key;
  char digest[65];

  if (!bearer_key (req, &key))
    return NULL;
  hex_digest (key, digest);
  for (size_t i = 0; i < cfg->naccounts; i++)
    if (account_has (&cfg->accounts[i], digest))
      found = &cfg->accounts[i];
  return found;
}
