/**
 * @file
 * Internal interface of the link to this node's gateway.
 *
 *   views.c       the link, reports of the gateway, when a view is sent
 *   view-build.c  nodes, replicas and shares of a view
 */
#ifndef LAPISLINE_CONTROL_VIEWS_H
#define LAPISLINE_CONTROL_VIEWS_H

#include <glib.h>

#include "base/digest.h"
#include "control/control.h"

/** This node's share of an account's limit, granted by the account's home. */
struct vws_share
{
  char *account;
  double tokens_per_s;
  double concurrency;
  clk_ms expires_at;
};

struct ctl_views
{
  struct ctl *c;
  uv_timer_t send_timer;   /**< one shot, started when something changed */
  uv_timer_t repeat_timer; /**< sends an unchanged view again */
  struct link *link;       /**< NULL: no gateway */
  struct net_addr gateway_http; /**< for clients */
  struct net_addr gateway_peer; /**< for other gateways */
  uint64_t gateway_boot;
  int64_t gateway_revision; /**< in force at the gateway */
  uint64_t seq;
  clk_ms sent_at;
  int64_t hash_revision; /**< of the text that `hash` was computed from */
  uint8_t hash[DIG_SIZE];
  uint8_t sent_hash[DIG_SIZE];  /**< of the text last sent to the gateway */
  GPtrArray *shares;            /**< of struct vws_share */
  uint64_t store_failure_count; /**< at the last check */
  clk_ms store_failed_at;
  uint64_t closed_out, closed_in; /**< bytes on closed links */
};

/** A view and its strings, which vws_free() releases. */
struct vws_builder
{
  GStringChunk *text;
  Lapis__View view;
};

/** Fills in all but sequence number, configuration and state of the store. */
void vws_build (struct vws_builder *b, const struct ctl_views *v, clk_ms now);
void vws_free (struct vws_builder *b);

#endif
