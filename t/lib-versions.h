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

#define VER_MOST 1000

struct version
{
  clk_ms sent;  /**< to the store */
  clk_ms acked; /**< by the store; 0: not yet */
  /** Version that took this one's item away; 0: none. */
  unsigned removed;
};

struct versions
{
  struct rng rng;
  unsigned newest;
  struct version v[VER_MOST + 1]; /**< by number */
};

/** A request for an item, or for what all versions allow, and its answer. */
struct ver_asked
{
  unsigned item; /**< 0: what all versions allow */
  bool by_key;   /**< a request with the item's key; else to its route */
  clk_ms sent, answered;
  bool denied; /**< as an unknown key or route; else it was served */
};

/** Draw the next version, which is sent now. @return its number */
unsigned ver_send (struct versions *vs, clk_ms now);

/** Keys and routes of the newest version, as rack_configure() takes them. */
void ver_text (const struct versions *vs, struct buf *key, struct buf *routes);

/** Draw what to ask for: mostly what came or went a moment ago. */
void ver_draw (const struct versions *vs, struct rng *rng,
               struct ver_asked *a);

/** The newest version that was acknowledged by @p at; 0: none. */
unsigned ver_acked (const struct versions *vs, clk_ms at);

/**
 * By which version the answer may have been given.
 * @return the least from @p from on that was sent before the answer came, or
 * 0: only older ones handle the request so
 */
unsigned ver_least (const struct versions *vs, const struct ver_asked *a,
                    unsigned from);

#endif
