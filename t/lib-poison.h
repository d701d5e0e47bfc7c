/**
 * @file
 * Nodes that tell each other of requests that crash servers, by a script.
 *
 *   nodes N          so many nodes, 1 to N, linked each to each
 *   hubs N           the same with 1 to 4 as hubs; the others are linked to
 *                    these only
 *   ran NODE REQUEST PLACE MS   seen there: REQUEST was running at PLACE when
 *                    its server ended, MS after its first event; -1: none
 *   whole NODE REQUEST          a run has come to its end there
 *   cut A B, join A B           the link between two nodes
 *   alone NODE       it has no hub any more
 *   restart NODE     it knows nothing of before, and is linked again
 *   store NODE REQUEST          the store tells that it is blocked
 *   lift NODE REQUEST           the store tells that it is cleared
 *   ask REQUEST      at each node
 *   run MS           time passes; updates take 10 ms over a link
 *
 * A request is a letter, a place a number.  The log has a line for each ask:
 * the request and a letter for each node: "-" it takes it, "w" it refuses it
 * for a moment, "B" it refuses it.
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
      *queue[PSN_NODES]; /**< to be heard there at the next step */
  size_t nqueue[PSN_NODES];
  size_t sent; /**< updates over links */
};

void psn_fleet_init (struct psn_fleet *f, int nodes, int hubs);
void psn_fleet_free (struct psn_fleet *f);
/** 10 ms pass. */
void psn_fleet_step (struct psn_fleet *f);
void psn_fleet_crash (struct psn_fleet *f, int node, uint64_t digest,
                      uint64_t place, clk_ms ran_ms);
void psn_fleet_link (struct psn_fleet *f, int a, int b, bool linked);
void psn_fleet_restart (struct psn_fleet *f, int node);

/** Play @p script and compare the log with @p expected. */
void poison_run_script (const char *script, const char *expected);

#endif
