/**
 * @file
 * Inside of the slots of a gateway, shared by slots*.c only.
 *
 *   slots.c       which node is a model's home; what this gateway asks it
 *   slots-home.c  this gateway as the home: asks of all gateways
 */
#ifndef LAPISLINE_FRONT_SLOTS_H
#define LAPISLINE_FRONT_SLOTS_H

#include "front/gateway.h"
#include "route/slots.h"

/** A gateway that asked this one; its index + 1 is its number in cores. */
struct slots_asker
{
  char *name;
  struct link *link; /**< NULL: gone */
};

struct slots_model
{
  char *name;
  char *home;       /**< NULL: each gateway decides alone */
  bool on;          /**< the request core may ask */
  struct slt *core; /**< this gateway is asked; NULL: never was */
  clk_ms asked_at;  /**< by another gateway */
  struct slots_model *next;
};

struct gw_slots
{
  struct gw *g;
  uv_timer_t timer;
  clk_ms told_at; /**< what this gateway holds */
  struct slots_model *models;
  struct slots_asker *askers;
  size_t naskers;
  bool delivering;
};

struct slots_model *slots_model (struct gw_slots *s, struct str name);
/** Whether this gateway is the model's home by its own view. */
bool slots_is_home (const struct gw_slots *s, const struct slots_model *m);

/* slots-home.c */

/** Number of this gateway's own requests in a core. */
#define SLOTS_SELF 0

/** Be a home from now on. */
void slots_home_begin (struct gw_slots *s, struct slots_model *m);
void slots_home_event (struct gw_slots *s, struct slots_model *m,
                       const struct slt_event *ev);
void slots_home_config (struct gw_slots *s, struct slots_model *m);
void slots_home_replicas (struct gw_slots *s, struct slots_model *m,
                          const struct rt_replica *list, size_t n);
void slots_home_tick (struct gw_slots *s, struct slots_model *m);

#endif
