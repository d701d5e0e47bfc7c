/**
 * @file
 * A network of membership cores on a virtual clock, for tests and for
 * `lapisline bench members`: it carries packets, ticks the cores and breaks
 * what it is told to break.  The same seed gives the same run.
 */
#ifndef LAPISLINE_FLEET_BUS_H
#define LAPISLINE_FLEET_BUS_H

#include "fleet/member.h"

struct bus;

/** Node @p at saw a change of @p node other than of its figures. */
typedef void (*bus_changed) (void *ctx, clk_ms now, size_t at,
                             const struct mbr_node *node);

struct bus *bus_new (uint64_t seed);
void bus_free (struct bus *b);
void bus_on_changed (struct bus *b, bus_changed changed, void *ctx);

/** Add a node "nI" (from 1) and return its index (from 0). */
size_t bus_add (struct bus *b, const char *zone, const char *region);
size_t bus_nodes (const struct bus *b);
void bus_join (struct bus *b, size_t node, size_t at);

/** Run the virtual clock on by @p span. */
void bus_run (struct bus *b, clk_ms span);
clk_ms bus_now (const struct bus *b);

/** The node stops for good, without a word. */
void bus_kill (struct bus *b, size_t node);
/** The node stops for @p span; what arrives meanwhile waits for it. */
void bus_freeze (struct bus *b, size_t node, clk_ms span);
bool bus_frozen (const struct bus *b, size_t node);
/** Another VM starts under the same name with a higher boot number. */
void bus_replace (struct bus *b, size_t node);
/** Packets from one node to another are lost. */
void bus_cut (struct bus *b, size_t from, size_t to, bool cut);
/** Of the packets to @p node this many in a hundred are lost. */
void bus_lossy (struct bus *b, size_t node, unsigned percent);
/** The node's gateway now has so many open requests. */
void bus_load (struct bus *b, size_t node, uint32_t load);
/** Put any bytes before a node. */
void bus_inject (struct bus *b, size_t node, struct str bytes);
/** Append the packets that leave @p node to @p out, each behind its length
    in two bytes (most significant first), until NULL is given. */
void bus_tap (struct bus *b, size_t node, struct buf *out);

/** The core of a node, or NULL once killed. */
struct mbr *bus_core (const struct bus *b, size_t node);

/** The secret that all cores of a bus share. */
extern const uint8_t bus_secret[32];

#endif
