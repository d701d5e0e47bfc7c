/**
 * @file
 * Sequence of configuration versions that operators store one after the other,
 * and which of them agree with a response.
 * Each version from the second on adds one item, a client key and a route with
 * the version's number, and may remove items of earlier versions.
 */
#ifndef LAPISLINE_T_LIB_VERSIONS_H
#define LAPISLINE_T_LIB_VERSIONS_H

#include <stdbool.h>

#include "base/clock.h"
#include "base/rng.h"
#include "base/str.h"

#define VER_MAX 1000

struct version
{
  clk_ms sent_at;  /**< to the store */
  clk_ms acked_at; /**< by the store; 0: not yet */
  /** Version that removed this version's item; 0: none. */
  unsigned removed_by;
};

struct versions
{
  struct rng rng;
  unsigned newest;
  struct version v[VER_MAX + 1]; /**< indexed by version number */
};

/** A request and its response. */
struct ver_request
{
  unsigned item; /**< 0: allowed by all versions */
  bool by_key;   /**< uses the item's key; else its route */
  clk_ms sent_at, answered_at;
  bool denied; /**< rejected for an unknown key or route; else served */
};

/** Generates the next version, sent at @p now; returns its number. */
unsigned ver_next (struct versions *vs, clk_ms now);

/** Formats keys and routes of the newest version for rack_configure(). */
void ver_format (const struct versions *vs, struct buf *key,
                 struct buf *routes);

/** Picks a random request, mostly for a recently added or removed item. */
void ver_pick_request (const struct versions *vs, struct rng *rng,
                       struct ver_request *req);

/** Newest version that the store acknowledged by @p at; 0: none. */
unsigned ver_newest_acked (const struct versions *vs, clk_ms at);

/**
 * Finds a version that may have produced the response.
 * @return the oldest version from @p from on that was sent to the store before
 * the response arrived and handles the request this way; 0: none
 */
unsigned ver_oldest_match (const struct versions *vs,
                           const struct ver_request *req, unsigned from);

#endif
