/**
 * @file
 * Division of an account's limits among the nodes of a region (decision
 * core of the account's home node).
 *
 * Every second each node tells the account's home what its callers asked for,
 * and gets a share with a lifetime.  The home adds up what may still be valid
 * anywhere: unexpired grants, and for nodes that it does not hear what they
 * fall back to (an even part of the limit).  It grants growth only out of
 * what is left, so the shares of one home never exceed the limit.  Two homes
 * on both sides of a partition each leave an even part to every node that
 * they do not hear, which bounds their sum by the limit as well, once grants
 * from before the partition have expired.
 */
#ifndef LAPISLINE_ROUTE_SHARE_H
#define LAPISLINE_ROUTE_SHARE_H

#include "base/clock.h"
#include "base/str.h"

/** Lifetime of a share. */
#define SHR_VALID_MS ((clk_ms)3000)
/** Half-life of what an expired share has above or below an even part. */
#define SHR_DECAY_MS ((clk_ms)1000)
/** Longest way of a grant to its gateway; counted as valid meanwhile. */
#define SHR_FLIGHT_MS ((clk_ms)500)
/** A node is heard while its last demand is younger. */
#define SHR_HEARD_MS ((clk_ms)2500)

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

/** What a share has become @p age ms after its grant expired; the rule of
    every gateway (route/limit.c), by which homes count with it. */
double shr_decayed (double share, double even, clk_ms age);

struct shr;

struct shr *shr_new (void);
void shr_free (struct shr *s);

/**
 * Set an account's limits; zero amounts mean no limit and no grants.
 * @param home  whether this node is the account's home.  A new home grants
 *              nothing until the grants of its predecessor, which it does
 *              not know, have expired and gone.
 */
void shr_account (struct shr *s, clk_ms now, struct str account,
                  const struct shr_amount *limit, bool home);

/** Accounts that were not set since the last call are dropped. */
void shr_sweep (struct shr *s);

/**
 * The nodes of this region that are known, gone ones included as long as
 * they are remembered: a node that can't be heard may still serve.
 * @param all  nodes of all regions; the region divides its part of the limit
 */
void shr_nodes (struct shr *s, const struct str *names, size_t n, size_t all);

void shr_demand (struct shr *s, clk_ms now, struct str account,
                 struct str node, const struct shr_amount *demand);

/** Divide; then read the grants with shr_next(). Once a second. */
void shr_tick (struct shr *s, clk_ms now);
bool shr_next (struct shr *s, struct shr_grant *out);

#endif
