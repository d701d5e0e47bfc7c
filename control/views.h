/**
 * @file
 * The link to this node's gateway, inside:
 *
 *   views.c       the gateway and its reports, when a view goes out
 *   view-build.c  what a view holds of nodes, replicas and shares
 */
#ifndef LAPISLINE_CONTROL_VIEWS_H
#define LAPISLINE_CONTROL_VIEWS_H

#include <glib.h>

#include "base/digest.h"
#include "control/control.h"

/** What this node may give to one account, as its home granted it. */
struct vws_share
{
  char *account;
  double tokens_per_s;
  double concurrency;
  clk_ms until;
};

struct ctl_views
{
  struct ctl *c;
  uv_timer_t send_timer;   /**< one shot, when something changed */
  uv_timer_t repeat_timer; /**< an unchanged view is said again */
  struct link *link;       /**< NULL: no gateway */
  struct net_addr http;    /**< of the gateway */
  struct net_addr peer;
  uint64_t gateway_boot;
  int64_t gateway_revision; /**< in force there */
  uint64_t seq;
  clk_ms sent_at;
  int64_t hashed_revision; /**< that `hash` belongs to */
  uint8_t hash[DIG_SIZE];
  uint8_t sent_hash[DIG_SIZE]; /**< that the gateway has */
  GPtrArray *shares;           /**< of struct vws_share */
  uint64_t store_failures;     /**< at the last look */
  clk_ms store_failed_at;
  uint64_t past_out, past_in; /**< traffic of links that are gone */
};

/** A view and its strings, released together after it was sent. */
struct vws_builder
{
  GStringChunk *text;
  Lapis__View view;
};

/** Fill in all but number, configuration and state of the store. */
void vws_build (struct vws_builder *b, const struct ctl_views *v, clk_ms now);
void vws_free (struct vws_builder *b);

#endif
