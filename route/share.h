/**
 * @file
 * Division of an account's limits among the gateways of a region, by demand,
 * at the account's home node (decision core).
 *
 * Nodes report their demand once a second; the home divides and grants shares
 * that are valid for SHR_VALID_MS.  A node that hears nothing keeps its share
 * until then and goes from it to limit / N (see route/limit.c).  A node that
 * the home doesn't hear is taken to hold the most that it may hold by that
 * rule, so the shares of all nodes together stay within the limit as long as
 * home and nodes count the same N.  What a home that just took over doesn't
 * know is covered by SHR_QUIET_MS, in which no node is granted more than
 * limit / N.
 */
#ifndef LAPISLINE_ROUTE_SHARE_H
#define LAPISLINE_ROUTE_SHARE_H

#include "base/clock.h"
#include "base/str.h"

#define SHR_PERIOD_MS CLK_SECOND
#define SHR_VALID_MS ((clk_ms)5000)  /**< of a grant */
#define SHR_SILENT_MS ((clk_ms)3500) /**< without a demand: not heard */
#define SHR_DECAY_MS ((clk_ms)5000)  /**< half-life of a share that ended */
/** A grant of an earlier home has ended and gone by seven eighths. */
#define SHR_QUIET_MS (SHR_VALID_MS + 3 * SHR_DECAY_MS)

/** Share of an expired grant, @p age ms after its end, on its way to even. */
double shr_decayed (double share, double even, clk_ms age);

/** A limit of the configuration; 0: none. */
struct shr_limit
{
  struct str account;
  double tokens_per_s;
  double concurrency;
};

struct shr_grant
{
  struct str account;
  struct str node;
  double tokens_per_s;
  double concurrency; /**< a whole number */
  clk_ms valid_ms;
};

struct shr;

struct shr *shr_new (void);
void shr_free (struct shr *s);

/** Whole list; accounts keep what is known of them. */
void shr_limits (struct shr *s, const struct shr_limit *limits, size_t n);

/** Names of all nodes that count in N, those not heard included. */
void shr_nodes (struct shr *s, clk_ms now, const struct str *names, size_t n);

/** Whether this node is the account's home; taking over begins quiet. */
void shr_home (struct shr *s, clk_ms now, struct str account, bool home);

void shr_demand (struct shr *s, clk_ms now, struct str account,
                 struct str node, double tokens_per_s, double concurrency);

/** Divide anew what is due; grants follow by shr_next(). */
void shr_tick (struct shr *s, clk_ms now);
bool shr_next (struct shr *s, struct shr_grant *out);

#endif
