/**
 * @file
 * Slots of one model's replicas, granted by the model's home gateway (no I/O).
 *
 * Many gateways share replicas with one or two free slots each, and a
 * gateway receives the load of the others too late. One of them, the model's
 * home, gets a request for a slot before a connection is opened and tracks
 * every slot.
 *
 * A grant is only an optimization; correctness does not depend on it. A
 * gateway without a reply decides by itself, and the rules of attempts are
 * enforced by the request core. Lost messages are corrected by the list of
 * held slots that each gateway sends once a second.
 */
#ifndef LAPISLINE_ROUTE_SLOTS_H
#define LAPISLINE_ROUTE_SLOTS_H

#include "route/route.h"

/** Interval at which a gateway reports the slots it holds. */
#define SLT_REPORT_INTERVAL_MS ((clk_ms)1000)
/** A slot that its gateway has not reported for this long is freed. */
#define SLT_SLOT_TIMEOUT_MS ((clk_ms)3500)
/** Startup delay of a home, to receive the held slots before it grants
    any. */
#define SLT_START_DELAY_MS ((clk_ms)200)
/** Timeout of a gateway's slot request. */
#define SLT_REPLY_TIMEOUT_MS ((clk_ms)50)

enum slt_event_kind
{
  SLT_EV_TICK,
  SLT_EV_CONFIG,   /**< cfg */
  SLT_EV_REPLICAS, /**< replicas, n */
  SLT_EV_ASK,   /**< gateway, id, account, priority, cost, deadline, prefix */
  SLT_EV_TAKEN, /**< gateway, id, replica, cost: assigned without a grant */
  SLT_EV_DONE,  /**< gateway, id, first_ms, failed: ended or canceled */
  SLT_EV_HELD,  /**< gateway, open, n: all slots that it holds */
  SLT_EV_GATEWAY_LOST, /**< gateway: its link was lost; its queued requests are
                  dropped, its slots stay until SLT_SLOT_TIMEOUT_MS */
  SLT_EV_NODES         /**< n: gateways, each with max_queue requests */
};

struct slt_event
{
  enum slt_event_kind kind;
  uint32_t gateway; /**< number assigned by the caller */
  uint64_t id;      /**< of the request at its gateway */
  struct str account;
  unsigned priority;
  double cost;
  clk_ms deadline; /**< 0: none */
  uint64_t prefix;
  struct str replica;
  bool idempotent;
  double first_ms; /**< of a complete response; 0: not known */
  bool failed;     /**< the replica failed to connect, broke or timed out */
  struct cfg *cfg;
  const struct rt_replica *replicas;
  const struct rt_slot *held_slots;
  size_t n;
};

struct slt_action
{
  enum rt_slot_reply reply;
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
/** Time of the next SLT_EV_TICK that is needed. */
clk_ms slt_wake (const struct slt *s);
/** Number of occupied slots. */
size_t slt_occupied_slots (const struct slt *s);

#endif
