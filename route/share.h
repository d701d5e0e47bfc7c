/**
 * @file
 * Division of an account's limits among the nodes of a region, by the
 * account's home node (no I/O).
 *
 * Every second each node reports the demand of its clients to the account's
 * home and gets a share with a lifetime. The home adds up what may still be
 * valid: unexpired grants, and for unreachable nodes the even part of the
 * limit to which they decay. It increases grants only by what is left, so the
 * shares of one home never exceed the limit. Two homes on both sides of a
 * partition each reserve an even part for every node that they can't reach,
 * which keeps their sum within the limit once the grants from before the
 * partition have expired.
 */
#ifndef LAPISLINE_ROUTE_SHARE_H
#define LAPISLINE_ROUTE_SHARE_H

#include "base/clock.h"
#include "base/str.h"

/** Lifetime of a share. */
#define SHR_VALID_MS ((clk_ms)3000)
/** Half-life of an expired share's difference from an even part. */
#define SHR_DECAY_MS ((clk_ms)1000)
/** Maximum transit time of a grant to its gateway, added to its lifetime. */
#define SHR_MAX_TRANSIT_MS ((clk_ms)500)
/** A node counts as reachable while its last demand is younger. */
#define SHR_DEMAND_TIMEOUT_MS ((clk_ms)2500)

/** The two limits of an account; also a demand or a share of them. */
struct shr_amount
{
  double tokens_per_s;
  double concurrency;
};

struct shr_grant
{
  struct str account;
  struct str node;
  struct shr_amount amount;
  clk_ms valid_ms;
};

/** Value of a share @p age ms after its grant expired. Gateways apply it
    (route/limit.c) and homes account for it. */
double shr_decayed_share (double share, double even, clk_ms age);

struct shr;

struct shr *shr_new (void);
void shr_free (struct shr *s);

/**
 * Set an account's limits; zero means no limit and no grants.
 * @param home  whether this node is the account's home. A new home grants
 * nothing until the grants of its predecessor, which it has no record of, have
 * expired and decayed.
 */
void shr_set_account (struct shr *s, clk_ms now, struct str account,
                      const struct shr_amount *limit, bool home);

/** Drop the accounts that were not set since the last call. */
void shr_drop_unset (struct shr *s);

/**
 * Set the known nodes of this region, including those that left as long as
 * they are remembered: an unreachable node may still serve requests.
 * @param all  nodes of all regions; the region divides its part of the limit
 */
void shr_set_nodes (struct shr *s, const struct str *names, size_t n,
                    size_t all);

void shr_report_demand (struct shr *s, clk_ms now, struct str account,
                        struct str node, const struct shr_amount *demand);

/** Compute the grants, to be read with shr_next(). Call once a second. */
void shr_tick (struct shr *s, clk_ms now);
bool shr_next (struct shr *s, struct shr_grant *out);

#endif
