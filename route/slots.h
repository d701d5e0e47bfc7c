/**
 * @file
 * Slots of one model's replicas, granted by the model's home gateway
 * (decision core, no I/O).
 *
 * Many gateways share replicas with one or two free slots each; none of them
 * sees in time what the others take.  One of them, the model's home, is asked
 * before the connection is opened and knows every slot.
 *
 * A grant is advice for speed.  Nothing that must hold relies on it: a gateway
 * that hears nothing decides by itself, and the rules of attempts stay in the
 * request core.  Lost messages heal, as each gateway tells once a second what
 * it holds.
 */
#ifndef LAPISLINE_ROUTE_SLOTS_H
#define LAPISLINE_ROUTE_SLOTS_H

#include "route/route.h"

/** How often a gateway tells which slots it holds. */
#define SLT_OPEN_MS ((clk_ms)1000)
/** A slot that its gateway has not told of for so long is free. */
#define SLT_HELD_MS ((clk_ms)3500)
/** A new home grants nothing for so long: it learns what is held. */
#define SLT_LEARN_MS ((clk_ms)200)
/** How long a gateway waits for the first word about its ask. */
#define SLT_ANSWER_MS ((clk_ms)50)

enum slt_event_kind
{
  SLT_EV_TICK,
  SLT_EV_CONFIG,   /**< cfg */
  SLT_EV_REPLICAS, /**< replicas, n */
  SLT_EV_ASK,   /**< gateway, id, account, priority, cost, deadline, prefix */
  SLT_EV_TAKEN, /**< gateway, id, replica, cost: decided without a grant */
  SLT_EV_DONE,  /**< gateway, id, first_ms, failed: ended, or no longer wanted
                 */
  SLT_EV_OPEN,  /**< gateway, open, n: all that it holds */
  SLT_EV_GONE,  /**< gateway: its link is; what waits is dropped, and its
                     slots are held as long as they would be anyhow */
  SLT_EV_NODES  /**< n: gateways, each may have limits.max_queue waiting */
};

struct slt_event
{
  enum slt_event_kind kind;
  uint32_t gateway; /**< number of the shell's own */
  uint64_t id;      /**< of the request at its gateway */
  struct str account;
  unsigned priority;
  double cost;
  clk_ms deadline; /**< 0: none */
  uint64_t prefix;
  struct str replica;
  bool idempotent;
  double first_ms; /**< to the first byte of a whole answer, 0: not known */
  bool failed;     /**< the replica: no connection, broken or silent */
  struct cfg *cfg;
  const struct rt_replica *replicas;
  const struct rt_slot *open;
  size_t n;
};

struct slt_action
{
  enum rt_slot_word word;
  uint32_t gateway;
  uint64_t id;
  struct str replica; /**< valid until the next event */
  enum rt_code code;
  clk_ms retry_ms;
};

struct slt;

struct slt *slt_new (struct str model, clk_ms now);
void slt_free (struct slt *s);
void slt_event (struct slt *s, clk_ms now, const struct slt_event *ev);
bool slt_next (struct slt *s, struct slt_action *out);
/** Earliest time at which a tick may change something. */
clk_ms slt_wake (const struct slt *s);
/** Slots that count as taken. */
size_t slt_held (const struct slt *s);

#endif
