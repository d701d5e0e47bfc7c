#include <openssl/crypto.h>

#include "base/digest.h"
#include "front/callers.h"

static bool
account_has_key (const struct cfg_account *a, struct str digest)
{
  bool found = false;

  for (size_t i = 0; i < a->nkeys; i++)
    if (a->key_digests[i].len == digest.len
        && CRYPTO_memcmp (a->key_digests[i].ptr, digest.ptr, digest.len) == 0)
      found = true;
  return found;
}

/* Compares with every account in constant time, so that the duration reveals
   nothing about the keys. */
const struct cfg_account *
gw_auth (const struct cfg *cfg, const struct httpd_req *req)
{
  const struct cfg_account *found = NULL;
  struct buf digest = BUF_INIT;

  if (!dig_add_bearer (&digest, httpd_header (req, "authorization")))
    return NULL;
  for (size_t i = 0; i < cfg->naccounts; i++)
    if (account_has_key (&cfg->accounts[i], buf_str (&digest)))
      found = &cfg->accounts[i];
  buf_free (&digest);
  return found;
}
