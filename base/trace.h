/**
 * @file
 * W3C trace context and a bounded memory of finished spans.
 */
#ifndef LAPISLINE_BASE_TRACE_H
#define LAPISLINE_BASE_TRACE_H

#include "base/clock.h"
#include "base/rng.h"
#include "base/str.h"

struct trc_id
{
  uint8_t trace[16];
  uint8_t span[8];
};

/** One finished span; names longer than the fields are cut. */
struct trc_span
{
  struct trc_id id;
  uint8_t parent[8]; /**< all zero: a root */
  char name[32];     /**< hop, e.g. "gateway.queue" */
  char detail[64];   /**< target or outcome */
  clk_ms start;      /**< wall clock */
  clk_ms duration;
};

/** Bounded memory of spans; the oldest is overwritten first. */
struct trc_ring;

struct trc_ring *trc_ring_new (size_t spans);
void trc_ring_free (struct trc_ring *r);
void trc_ring_add (struct trc_ring *r, const struct trc_span *span);

/** Append the spans of one trace as a JSON array of objects. */
void trc_ring_json (const struct trc_ring *r, const uint8_t trace[16],
                    struct str node, struct buf *out);

/** Parse a traceparent header; false when it is malformed. */
bool trc_parse (struct str header, struct trc_id *parent);

/** Make a new trace, or a child span of @p parent when it is not NULL. */
struct trc_id trc_child (const struct trc_id *parent, struct rng *rng);

/** Append the traceparent header value for @p id. */
void trc_format (const struct trc_id *id, struct buf *out);

/** Parse 32 hexadecimal digits of either case; false for all zero. */
bool trc_parse_trace (struct str hex, uint8_t trace[16]);

#endif
