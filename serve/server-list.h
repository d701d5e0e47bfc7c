/**
 * @file
 * Encodes the list of backend servers into ServerList frames between nodes.
 *
 * A frame holds only servers that requests can be sent to: 1,000 servers are
 * some 200 endpoints, and with hundreds of nodes the complete list would
 * exceed the capacity of the sender's link.
 */
#ifndef LAPISLINE_SERVE_SERVER_LIST_H
#define LAPISLINE_SERVE_SERVER_LIST_H

#include "net/link.h"
#include "serve/backends.h"

/** A ServerList frame, built once for all nodes with the same version. */
struct svl_frame;

/**
 * Build a frame with the changes since version @p since of the list, or with
 * all of the list if @p since is 0 or older than the recorded removals.
 * @param age_ms  since the list was read
 */
struct svl_frame *svl_frame_new (struct bks *b, clk_ms age_ms, uint64_t since);
void svl_frame_free (struct svl_frame *f);

/**
 * State that the receiver's list equals this node's after the frame; without
 * this call, it is not stated.
 * @param complete  bks_is_stable() of this node's list
 */
void svl_frame_set_digest (struct svl_frame *f, uint64_t digest,
                           bool complete);

/** The message in the frame, as it is sent. */
const Lapis__ServerList *svl_frame_list (const struct svl_frame *f);

/** Whether the frame contains the changes since @p version_sent. */
bool svl_frame_matches (const struct svl_frame *f, uint64_t version_sent);

/**
 * Send the frame, and set @p *version_sent to its version.
 * @return  bytes of the message
 */
size_t svl_frame_send (const struct svl_frame *f, struct link *l,
                       uint64_t *version_sent);

/** Bytes of the server list that may be sent now, so that the list takes
    only a part of the link. */
struct svl_budget
{
  double bytes; /**< below 0: more was sent than allowed */
  clk_ms at;    /**< when bytes were last added */
};

/**
 * Whether a frame may be sent now.  The caller subtracts its size from the
 * budget.
 * @param link_bytes_per_s  capacity of this VM's link; 0: unlimited
 */
bool svl_may_send (struct svl_budget *c, clk_ms now, double link_bytes_per_s);

/** How long to wait between two sums of loads of @p bytes each, sent to
    @p n nodes. */
clk_ms svl_sum_interval (double link_bytes_per_s, size_t bytes, size_t n);

/**
 * Update @p current_at, and return the age of the copy of the list that a node
 * has received from this one.
 * @param current_at    state kept for that node: read time of the newest list
 *   that it has completely
 * @param version_sent  version last sent to it
 * @param read_at       when this node last read the list and found version
 *   @p version
 */
clk_ms svl_update_list_age (clk_ms *current_at, uint64_t version_sent,
                            uint64_t version, clk_ms read_at, clk_ms now);

/**
 * Apply a ServerList message.
 * @return whether anything changed
 */
bool svl_apply (struct bks *b, clk_ms now, clk_ms sent_at,
                const Lapis__ServerList *list);

#endif
