/**
 * @file
 * Internal interface of the gateway's slots, used by slots*.c only.
 *
 *   slots.c       choice of a model's home; requests of this gateway to it
 *   slots-home.c  this gateway as the home: requests of all gateways
 */
#ifndef LAPISLINE_FRONT_SLOTS_H
#define LAPISLINE_FRONT_SLOTS_H

#include "front/gateway.h"
#include "route/slots.h"

/** A gateway that sent requests to this one; its index + 1 is its number in
    the cores. */
struct slots_gateway
{
  char *name;
  struct link *link; /**< NULL: down */
};

struct slots_model
{
  char *name;
  char *home;          /**< NULL: each gateway assigns slots locally */
  bool home_available; /**< the request core may send requests to the home */
  struct slt *core; /**< state as the home, created when this gateway becomes
                         the home or gets a request; NULL: none */
  clk_ms asked_at;  /**< last request of another gateway */
  struct slots_model *next;
};

struct gw_slots
{
  struct gw *g;
  uv_timer_t timer;
  clk_ms reported_at; /**< last report of the slots that this gateway holds */
  struct slots_model *models;
  struct slots_gateway *gateways;
  size_t naskers;
  bool delivering_replies;
};

struct slots_model *slots_model (struct gw_slots *s, struct str name);
/** Whether this gateway is the model's home according to its view. */
bool slots_is_home (const struct gw_slots *s, const struct slots_model *m);

/* slots-home.c */

/** Number of this gateway's own requests in a core. */
#define SLOTS_SELF 0

/** Create the core of a model, unless it exists. */
void slots_home_create (struct gw_slots *s, struct slots_model *m);
void slots_home_event (struct gw_slots *s, struct slots_model *m,
                       const struct slt_event *ev);
void slots_home_config (struct gw_slots *s, struct slots_model *m);
void slots_home_replicas (struct gw_slots *s, struct slots_model *m,
                          const struct rt_replica *list, size_t n);
void slots_home_tick (struct gw_slots *s, struct slots_model *m);

#endif
