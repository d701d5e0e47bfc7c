/**
 * @file
 * When a node calls the store again that does not answer (decision core).
 *
 * A node reads several things and keeps an entry; were each repeated on its
 * own while the store is away, every node would make a dozen calls a second
 * for nothing, and the store would meet all of them as it comes back.  So one
 * call at a time finds out whether it is back, at growing intervals, and its
 * success lets all others go.
 */
#ifndef LAPISLINE_SERVE_PAUSE_H
#define LAPISLINE_SERVE_PAUSE_H

#include "base/clock.h"
#include "base/rng.h"
#include "store/store.h"

struct pau
{
  unsigned failures; /**< in a row; 0: the store answers */
  clk_ms next;       /**< no call before, while it does not */
  bool asking;       /**< the one call that finds out is under way */
  bool pushed; /**< other nodes push all that the store would tell, so nothing
                  waits for it but the own entry's lease */
};

/** Others push what the store would tell, or do so no more: then the next call
    waits as briefly as after a first failure. */
void pau_set_pushed (struct pau *p, clk_ms now, bool pushed, struct rng *r);
/** Whether a call may go out. */
bool pau_may_call (const struct pau *p, clk_ms now);
/** It goes out. */
void pau_called (struct pau *p);
/** A call has ended.  @p r spreads the nodes' calls. */
void pau_ended (struct pau *p, clk_ms now, enum store_status status,
                struct rng *r);

/**
 * How long after a watch of the nodes' entries has brought something the next
 * one begins.
 * @param nodes   that are known
 * @param rank    of this node: how many come before it
 * @param urgent  it has to know at once: it gives the orders, or has no link
 */
clk_ms pau_watch_again (size_t nodes, unsigned rank, bool urgent);

#endif
