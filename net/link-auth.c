#include "net/link-auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#define LABEL_CONNECT_PROOF "lapisline link proof, connecting end"
#define LABEL_ACCEPT_PROOF "lapisline link proof, accepting end"
#define LABEL_CONNECT_KEY "lapisline link key, connecting end"
#define LABEL_ACCEPT_KEY "lapisline link key, accepting end"

/* HMAC-SHA256 over label and both nonces, the connecting end's first. */
static void
derive (const struct link_auth *a, const char *label, uint8_t out[32])
{
  struct buf in = BUF_INIT;
  const uint8_t *first = a->connecting ? a->own_nonce : a->peer_nonce;
  const uint8_t *second = a->connecting ? a->peer_nonce : a->own_nonce;

  buf_add_c (&in, label);
  buf_add (&in, str_make (first, LINK_NONCE));
  buf_add (&in, str_make (second, LINK_NONCE));
  HMAC (EVP_sha256 (), a->secret.key, sizeof a->secret.key,
        (const uint8_t *)in.ptr, in.len, out, NULL);
  buf_free (&in);
}

void
link_auth_init (struct link_auth *a, const struct link_secret *secret,
                bool connecting)
{
  memset (a, 0, sizeof *a);
  a->secret = *secret;
  a->connecting = connecting;
  /* Without a new nonce old frames could be replayed. */
  if (RAND_bytes (a->own_nonce, sizeof a->own_nonce) != 1)
    abort ();
}

void
link_auth_hello (const struct link_auth *a, struct buf *out)
{
  buf_add_c (out, LINK_MAGIC);
  buf_add (out, str_make (a->own_nonce, LINK_NONCE));
}

bool
link_auth_read_hello (struct link_auth *a, const char *bytes)
{
  if (memcmp (bytes, LINK_MAGIC, LINK_MAGIC_LEN) != 0)
    return false;
  memcpy (a->peer_nonce, bytes + LINK_MAGIC_LEN, LINK_NONCE);
  derive (a, a->connecting ? LABEL_CONNECT_KEY : LABEL_ACCEPT_KEY, a->out.key);
  derive (a, a->connecting ? LABEL_ACCEPT_KEY : LABEL_CONNECT_KEY, a->in.key);
  return true;
}

void
link_auth_write_proof (const struct link_auth *a, struct buf *out)
{
  uint8_t proof[LINK_PROOF];

  derive (a, a->connecting ? LABEL_CONNECT_PROOF : LABEL_ACCEPT_PROOF, proof);
  buf_add (out, str_make (proof, sizeof proof));
}

bool
link_auth_verify_proof (const struct link_auth *a, const char *bytes)
{
  uint8_t expected[LINK_PROOF];

  derive (a, a->connecting ? LABEL_ACCEPT_PROOF : LABEL_CONNECT_PROOF,
          expected);
  return CRYPTO_memcmp (expected, bytes, sizeof expected) == 0;
}

/*
 * The counter is part of the key and is not sent: if a man in the middle
 * replays, drops, reorders or forges a frame, the counters differ and the
 * verification fails.
 */
void
link_auth_mac (struct link_dir *dir, struct str frame, uint8_t mac[LINK_MAC])
{
  uint8_t key[sizeof dir->key + sizeof dir->counter];
  uint8_t full[32];

  memcpy (key, dir->key, sizeof dir->key);
  for (size_t i = 0; i < sizeof dir->counter; i++)
    key[sizeof dir->key + i] = (uint8_t)(dir->counter >> (8 * i));
  dir->counter++;
  HMAC (EVP_sha256 (), key, sizeof key, (const uint8_t *)frame.ptr, frame.len,
        full, NULL);
  memcpy (mac, full, LINK_MAC);
}

bool
link_auth_verify (struct link_dir *dir, struct str frame, const char *mac)
{
  uint8_t expected[LINK_MAC];

  link_auth_mac (dir, frame, expected);
  return CRYPTO_memcmp (expected, mac, LINK_MAC) == 0;
}
