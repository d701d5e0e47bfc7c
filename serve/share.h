/**
 * @file
 * The list of backend servers as frames between nodes: those that requests can
 * be sent to.  A thousand servers are two hundred places, and among hundreds
 * of nodes the whole list would not pass the link of the one that tells it.
 */
#ifndef LAPISLINE_SERVE_SHARE_H
#define LAPISLINE_SERVE_SHARE_H

#include "net/link.h"
#include "serve/backends.h"

/** A frame of the list, made once for all nodes that lack the same. */
struct shr_frame;

/**
 * What has changed since version @p since of the list, or all of it when that
 * is 0 or too long ago.
 * @param age_ms  of the reading
 */
struct shr_frame *shr_frame_new (struct bks *b, clk_ms age_ms, uint64_t since);
void shr_frame_free (struct shr_frame *f);

/** What it says, as on the link. */
const Lapis__ServerList *shr_frame_list (const struct shr_frame *f);

/** Whether it is the one for a node that has version @p told. */
bool shr_frame_fits (const struct shr_frame *f, uint64_t told);

/**
 * Send it, and bring @p *told up to date.
 * @return  bytes that it takes on the link
 */
size_t shr_frame_send (const struct shr_frame *f, struct link *l,
                       uint64_t *told);

/** What may be sent of the list now, so that it takes a part of the link. */
struct shr_credit
{
  double bytes; /**< below 0: more than that was sent */
  clk_ms at;    /**< when it was last added to */
};

/**
 * Whether a frame may go out; take its bytes off then.
 * @param link_bytes_per_s  of this VM; 0: without a bound
 */
bool shr_may_tell (struct shr_credit *c, clk_ms now, double link_bytes_per_s);

/** How long after telling the sum of loads, @p bytes to each of @p n nodes, it
    may be told again. */
clk_ms shr_sum_pause (double link_bytes_per_s, size_t bytes, size_t n);

/**
 * How old the list is that a node has from this one.
 * @param current_at  kept for it: when the list was read of which it last had
 *                    all changes
 * @param told        version that it was told last
 * @param read_at     when this node read version @p version or nothing newer
 */
clk_ms shr_age (clk_ms *current_at, uint64_t told, uint64_t version,
                clk_ms read_at, clk_ms now);

/** Take such a frame. @return whether anything changed */
bool shr_take (struct bks *b, clk_ms now, clk_ms sent_at,
               const Lapis__ServerList *list);

#endif
