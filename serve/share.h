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
struct svl_frame;

/**
 * What has changed since version @p since of the list, or all of it when that
 * is 0 or too long ago.
 * @param age_ms  of the reading
 */
struct svl_frame *svl_frame_new (struct bks *b, clk_ms age_ms, uint64_t since);
void svl_frame_free (struct svl_frame *f);

/** What it says, as on the link. */
const Lapis__ServerList *svl_frame_list (const struct svl_frame *f);

/** Whether it is the one for a node that has version @p told. */
bool svl_frame_matches (const struct svl_frame *f, uint64_t version_sent);

/**
 * Send it, and bring @p *told up to date.
 * @return  bytes that it takes on the link
 */
size_t svl_frame_send (const struct svl_frame *f, struct link *l,
                       uint64_t *version_sent);

/** What may be sent of the list now, so that it takes a part of the link. */
struct svl_budget
{
  double bytes; /**< below 0: more than that was sent */
  clk_ms at;    /**< when it was last added to */
};

/**
 * Whether a frame may go out; take its bytes off then.
 * @param link_bytes_per_s  of this VM; 0: without a bound
 */
bool svl_may_send (struct svl_budget *c, clk_ms now, double link_bytes_per_s);

/** How long after telling the sum of loads, @p bytes to each of @p n nodes, it
    may be told again. */
clk_ms svl_sum_interval (double link_bytes_per_s, size_t bytes, size_t n);

/**
 * How old the list is that a node has from this one.
 * @param current_at  kept for it: when the list was read of which it last had
 *                    all changes
 * @param told        version that it was told last
 * @param read_at     when this node read version @p version or nothing newer
 */
clk_ms svl_list_age (clk_ms *current_at, uint64_t version_sent,
                     uint64_t version, clk_ms read_at, clk_ms now);

/** Take such a frame. @return whether anything changed */
bool svl_apply (struct bks *b, clk_ms now, clk_ms sent_at,
                const Lapis__ServerList *list);

#endif
