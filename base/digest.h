/**
 * @file
 * SHA-256 of length-counted strings.
 *
 * Bearer keys, contents in the store and documents in force are known by
 * their digest: raw in messages, in hexadecimal wherever text is kept.
 */
#ifndef LAPISLINE_BASE_DIGEST_H
#define LAPISLINE_BASE_DIGEST_H

#include "base/str.h"

/** Bytes of a digest; twice as many hexadecimal digits. */
#define DIG_SIZE 32

/** Digest of @p text, which may be empty. */
void dig_sha256 (struct str text, uint8_t out[DIG_SIZE]);

/** Append the digest of @p text as lower-case hexadecimal digits. */
void dig_add_hex (struct buf *out, struct str text);

/**
 * Append the digest of the token that an Authorization header carries, as
 * dig_add_hex() does.  The scheme's case does not matter (RFC 9110).
 * @retval false  not the scheme "Bearer", or no token; nothing is appended
 */
bool dig_add_bearer (struct buf *out, struct str authorization);

#endif
