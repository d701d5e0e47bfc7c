/**
 * @dir base
 * What all other folders build on and what knows none of them.
 *
 *   str.h       length-counted strings, buffers, memory that can't fail
 *   clock.h     the one type of time
 *   rng.h       seeded random numbers
 *   findings.h  problems of input, with their place
 *   json.h      members of JSON objects that may hold anything
 *   digest.h    SHA-256
 *   chart.h     state charts, loaded and interpreted
 *   log.h       numbered events
 *   metric.h    counters, gauges, histograms
 *   trace.h     spans and their context
 *
 * The decision cores may use all but clk_now(), clk_wall(), rng_entropy() and
 * the log; those belong to the process shells.
 */
/**
 * @file
 * Length-counted strings and growable buffers.
 *
 * `struct str` is a view: it owns nothing and needs no terminating NUL.
 * `struct buf` owns its bytes; buf_free() releases them and leaves an empty
 * buffer that can be used again.  Allocation failure ends the process, as
 * nothing that this program does can go on without memory.
 */
#ifndef LAPISLINE_BASE_STR_H
#define LAPISLINE_BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A view of bytes that somebody else owns. */
struct str
{
  const char *ptr; /**< first byte; may be NULL when len is 0 */
  size_t len;      /**< bytes */
};

/** View of a string literal. */
#define STR(lit) ((struct str){ (lit), sizeof (lit) - 1 })

/** The empty view. */
#define STR_EMPTY ((struct str){ NULL, 0 })

/** Arguments for a "%.*s" conversion. */
#define STR_ARG(s) (int)(s).len, (s).ptr ? (s).ptr : ""

/** View of a NUL-terminated string; NULL gives the empty view. */
struct str str_from (const char *c);

/** View of @p len bytes at @p ptr. */
struct str str_make (const void *ptr, size_t len);

/** Whether both views hold the same bytes. */
bool str_eq (struct str a, struct str b);

/** Whether the view holds the same bytes as the NUL-terminated @p c. */
bool str_is (struct str a, const char *c);

/** Order of bytes as of memcmp(), shorter first. */
int str_cmp (struct str a, struct str b);

bool str_starts (struct str s, struct str prefix);

/** Offset of the first @p c, or s.len when there is none. */
size_t str_chr (struct str s, char c);

/**
 * Offset behind the first empty line, which ends a head or an event; 0: there
 * is none.
 * @param from  where the search may begin
 */
size_t str_past_empty_line (struct str s, size_t from);

/** The view without its first @p n bytes (at most all of them). */
struct str str_skip (struct str s, size_t n);

/** The first @p n bytes of the view (at most all of them). */
struct str str_head (struct str s, size_t n);

/** The view without white space at either end. */
struct str str_trim (struct str s);

/** Owned NUL-terminated copy, released with free(). */
char *str_dup (struct str s);

/**
 * Decimal number.
 * @retval false  not a whole decimal number, or out of range; @p out is left
 */
bool str_to_i64 (struct str s, int64_t *out);

/**
 * Decimal number, also with a fraction or an exponent.
 * @retval false  not such a number, negative, or not finite; @p out is left
 */
bool str_to_decimal (struct str s, double *out);

/**
 * Bytes written as two lower-case hexadecimal digits each.
 * @param len  bytes that @p out holds
 * @retval false  not just 2 * @p len such digits; @p out is undefined
 */
bool str_to_bytes (struct str s, void *out, size_t len);

/** 64-bit hash (xxh3) with @p seed; stable between runs and machines. */
uint64_t str_hash (struct str s, uint64_t seed);

/** Growable bytes; all zero is a valid empty buffer. */
struct buf
{
  char *ptr;
  size_t len; /**< bytes in use */
  size_t cap; /**< bytes allocated */
};

#define BUF_INIT                                                              \
  {                                                                           \
    NULL, 0, 0                                                                \
  }

void buf_free (struct buf *b);

/** Forget the content, keep the allocation. */
void buf_clear (struct buf *b);

/** Make room for @p extra bytes beyond len. */
void buf_reserve (struct buf *b, size_t extra);

void buf_add (struct buf *b, struct str s);
void buf_add_c (struct buf *b, const char *c);
void buf_add_char (struct buf *b, char c);
void buf_addf (struct buf *b, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Append @p s as a quoted JSON string. */
void buf_add_json (struct buf *b, struct str s);

/** Append @p len bytes as lower-case hexadecimal digits. */
void buf_add_hex (struct buf *b, const void *bytes, size_t len);

/** Drop the first @p n bytes. */
void buf_consume (struct buf *b, size_t n);

/** View of the content; valid until the buffer next changes. */
struct str buf_str (const struct buf *b);

/** NUL-terminated content; valid until the buffer next changes. */
const char *buf_c (struct buf *b);

/** xmalloc() family: like the C functions, but failure ends the process. */
void *xmalloc (size_t size);
void *xcalloc (size_t n, size_t size);
void *xrealloc (void *p, size_t size);
char *xstrdup (const char *c);

#endif
