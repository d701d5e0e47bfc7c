/**
 * @file
 * Versions of a configuration that operators put in force one after the other,
 * and what an answer tells of the version by which it was given.
 *
 * From the second on, each version brings a client key and a route of its own,
 * both an item of its number, and may take away those of versions before.
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
  /** Version that took this one's item away; 0: none. */
  unsigned removed_by;
};

struct versions
{
  struct rng rng;
  unsigned newest;
  struct version v[VER_MAX + 1]; /**< by number */
};

/** A request for an item, or for what all versions allow, and its answer. */
struct ver_request
{
  unsigned item; /**< 0: what all versions allow */
  bool by_key;   /**< a request with the item's key; else to its route */
  clk_ms sent_at, answered_at;
  bool denied; /**< as an unknown key or route; else it was served */
};

/** Draw the next version, which is sent now. @return its number */
unsigned ver_next (struct versions *vs, clk_ms now);

/** Keys and routes of the newest version, as rack_configure() takes them. */
void ver_format (const struct versions *vs, struct buf *key,
                 struct buf *routes);

/** Draw what to ask for: mostly what came or went a moment ago. */
void ver_pick_request (const struct versions *vs, struct rng *rng,
                       struct ver_request *a);

/** The newest version that was acknowledged by @p at; 0: none. */
unsigned ver_newest_acked (const struct versions *vs, clk_ms at);

/**
 * By which version the answer may have been given.
 * @return the least from @p from on that was sent before the answer came, or
 * 0: only older ones handle the request so
 */
unsigned ver_oldest_match (const struct versions *vs,
                           const struct ver_request *a, unsigned from);

#endif
