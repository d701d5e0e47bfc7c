/**
 * @file
 * Proof of the shared secret and frame authentication of a link.
 *
 * Both ends start with a hello (magic and nonce).  The connecting end sends
 * its proof first, so that an unauthenticated client gets no MAC to attack.
 * The role is part of the authenticated data, which prevents reflection of a
 * peer's own proof.  Each direction then has its own key and counter.
 */
#ifndef LAPISLINE_NET_LINK_AUTH_H
#define LAPISLINE_NET_LINK_AUTH_H

#include "net/link.h"

#define LINK_MAGIC "LPL1"
#define LINK_MAGIC_LEN ((size_t)4)
#define LINK_NONCE ((size_t)16)
#define LINK_HELLO (LINK_MAGIC_LEN + LINK_NONCE)
#define LINK_PROOF ((size_t)32)
#define LINK_MAC ((size_t)16)

/** One direction of frames. */
struct link_dir
{
  uint8_t key[32];
  uint64_t counter; /**< of the next frame */
};

struct link_auth
{
  struct link_secret secret;
  bool connecting; /**< role: this end opened the connection */
  uint8_t own_nonce[LINK_NONCE];
  uint8_t peer_nonce[LINK_NONCE];
  struct link_dir out, in;
};

void link_auth_init (struct link_auth *a, const struct link_secret *secret,
                     bool connecting);

/** Append the hello of this end. */
void link_auth_hello (const struct link_auth *a, struct buf *out);

/** Read the peer's hello of LINK_HELLO bytes and derive the keys; false: the
    peer does not use this protocol. */
bool link_auth_read_hello (struct link_auth *a, const char *bytes);

/** Append the proof of this end; requires the peer's hello. */
void link_auth_write_proof (const struct link_auth *a, struct buf *out);

/** Verify the peer's proof of LINK_PROOF bytes. */
bool link_auth_verify_proof (const struct link_auth *a, const char *bytes);

/** Compute the MAC of the next frame in one direction; increments its counter.
 */
void link_auth_mac (struct link_dir *dir, struct str frame,
                    uint8_t mac[LINK_MAC]);

/** Verify a frame's MAC in constant time; increments the counter. */
bool link_auth_verify (struct link_dir *dir, struct str frame,
                       const char *mac);

#endif
