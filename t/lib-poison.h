/**
 * @file
 * Simulation of nodes that exchange updates about poison requests, driven by a
 * script.  Commands, one per line:
 *
 *   nodes N          create the nodes 1 to N, each linked to all others
 *   relays N         the same with nodes 1 to 4 as relays; the other nodes are
 *                    linked to the relays only
 *   crash NODE REQUEST ENDPOINT MS   the node reports that REQUEST was running
 *                    at ENDPOINT when its server ended, MS after the first
 *                    event; -1: there was no event
 *   complete NODE REQUEST    a run completed at the node
 *   cut A B, link A B        the link between two nodes
 *   collect NODE     the node becomes a collector, as it has no relay
 *   restart NODE     drop the state of the node and link it again
 *   stored NODE REQUEST      the node reads from the store that the request is
 *                    blocked
 *   clear NODE REQUEST       the node reads from the store that the request
 *                    was cleared
 *   query REQUEST    write a line to the log, see below
 *   run MS           let time pass; updates take 10 ms per link
 *
 * A request is a letter, an endpoint a number.  A query logs the request and a
 * letter for each node: "-" if it accepts the request, "w" if it refuses it
 * temporarily, "B" if it has blocked it.
 *
 * The letters after a dot are parts of the request's prompt that others may
 * have: "q.KN" is the request q with the parts K and N.  For "stored" and
 * "clear", ".K" is the part itself.
 */
#ifndef LAPISLINE_T_LIB_POISON_H
#define LAPISLINE_T_LIB_POISON_H

#include "serve/poison.h"

#define PSN_NODES 24

struct psn_fleet
{
  struct psn *node[PSN_NODES];
  bool linked[PSN_NODES][PSN_NODES];
  int n, relays;
  clk_ms now;
  struct psn_update
      *queue[PSN_NODES]; /**< to be applied there in the next step */
  size_t nqueue[PSN_NODES];
  size_t sent; /**< number of updates sent over links */
};

void psn_fleet_init (struct psn_fleet *f, int nodes, int relays);
void psn_fleet_free (struct psn_fleet *f);
/** Simulate 10 ms. */
void psn_fleet_step (struct psn_fleet *f);
void psn_fleet_crash (struct psn_fleet *f, int node, uint64_t digest,
                      uint64_t endpoint, clk_ms ran_ms);
void psn_fleet_complete (struct psn_fleet *f, int node, uint64_t digest);
/** @param retry_ms  as in struct psn_refusal */
bool psn_fleet_refuses (struct psn_fleet *f, int node, uint64_t digest,
                        clk_ms *retry_ms);
void psn_fleet_link (struct psn_fleet *f, int a, int b, bool linked);
void psn_fleet_restart (struct psn_fleet *f, int node);

/** Run @p script and compare its log with @p expected. */
void poison_run_script (const char *script, const char *expected);

#endif
