/**
 * @file
 * Request rates that backend servers ask for (decision core).
 *
 * A server in trouble names in its answers how many requests a second it takes
 * from all nodes together, for as long as its answers say so.
 *
 * What is known.  An answer proves that it is newer than another one if its
 * request was sent after that one had come.  Answers on different connections
 * may overtake each other, so a limit is raised or ended only by an answer
 * that is proved to be newer; a lower one holds at once.  Nodes tell each
 * other what has changed by lim_updates().
 *
 * Who may send.  Each request to a limited server takes a permit.  One node
 * grants them, at the rate that is named; the others follow it, and say for
 * which servers they want one.  Each node stands for an equal part of the
 * rate, and the one that grants hands out the parts of those that follow it:
 * so the rate holds over all nodes also while links are cut, where several
 * grant.  A node that has nobody to follow grants to itself, of its own part.
 *
 * A permit that isn't used soon lapses, so that no number of nodes can save
 * them up and use them together.
 *
 * Servers are known by dsp_place_hash() without a generation: a limit is one
 * of the process, not of the replica that it leads.  Events and time go in.
 */
#ifndef LAPISLINE_SERVE_LIMIT_H
#define LAPISLINE_SERVE_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/** Servers that are remembered. */
#define LIM_MAX_SERVERS 1024
/** Requests a second that a limited server is sent at least: only answers tell
    that a limit has ended. */
#define LIM_RATE_LEAST 0.25

/** What an answer says of the rate that its server takes. */
enum lim_says
{
  LIM_SAYS_NOTHING, /**< the server takes any rate */
  LIM_SAYS_RATE,
  LIM_SAYS_UNREADABLE /**< ignored, but reported once for each server */
};

/** What an answer has changed. */
enum lim_change
{
  LIM_SAME,
  LIM_SET, /**< a limit, or another one than before */
  LIM_ENDED,
  LIM_UNREADABLE /**< nothing, and it is the first one of its server */
};

struct lim_word
{
  uint64_t server;
  enum lim_says says;
  double rate;    /**< requests a second, if LIM_SAYS_RATE */
  clk_ms sent_at; /**< when the answer's request was sent */
};

/** What a node knows of a server. */
struct lim_update
{
  uint64_t server;
  bool limited;
  double rate;   /**< requests a second, if limited */
  clk_ms age_ms; /**< since the answer came that says so */
};

/** Permits for requests to a server: wanted, or granted. */
struct lim_permits
{
  uint64_t node;
  uint64_t server;
  unsigned n;
  double rate;   /**< of what is wanted: the limit that the node knows */
  clk_ms age_ms; /**< and since when */
};

struct lim;

struct lim *lim_new (uint64_t seed);
void lim_free (struct lim *l);

/* --- what servers say --------------------------------------------------- */

/** An answer has come at @p now. */
enum lim_change lim_answered (struct lim *l, clk_ms now,
                              const struct lim_word *word);

/** Another node tells. @return  whether it was new */
bool lim_apply (struct lim *l, clk_ms now, const struct lim_update *update);

/** What was new since the last call, to be told to the other nodes; valid
    until the next event. */
const struct lim_update *lim_updates (struct lim *l, clk_ms now, size_t *n);

/** All limits, for a node that has just been linked; valid until the next
    event. */
const struct lim_update *lim_snapshot (struct lim *l, clk_ms now, size_t *n);

/** Whether any server is limited. */
bool lim_any (const struct lim *l);

/** Whether the server is limited. @param rate  receives the limit */
bool lim_rate (const struct lim *l, uint64_t server, double *rate);

/* --- requests of this node ---------------------------------------------- */

/** Whether a request may be sent to the server now. */
bool lim_allows (const struct lim *l, clk_ms now, uint64_t server);

/** A request that has just come would have gone there. */
void lim_want (struct lim *l, clk_ms now, uint64_t server);

/** A request is sent there. */
void lim_take (struct lim *l, clk_ms now, uint64_t server);

/** Requests that this node has sent to the server since it was limited. */
uint64_t lim_count_sent (const struct lim *l, uint64_t server);

/** Whether permits are wanted since the last call that were not wanted before:
    they are to be asked for at once. */
bool lim_wants_more (struct lim *l);

/** Whether a permit for the server has been asked for in vain: the node that
    grants had none left.  Requests need not wait for it. */
bool lim_is_spent (const struct lim *l, clk_ms now, uint64_t server);

/**
 * Permits that the node this one follows is to be asked for; valid until the
 * next event.
 * @param again  only those that request after request wants; else all
 */
const struct lim_permits *lim_wanted (struct lim *l, clk_ms now, bool again,
                                      size_t *n);

/** That node grants permits. */
void lim_granted (struct lim *l, clk_ms now, uint64_t server, unsigned n);

/* --- granting ----------------------------------------------------------- */

/** This node grants, or follows another one. @param nodes  that there are, as
    far as it knows */
void lim_lead (struct lim *l, clk_ms now, bool grants, unsigned nodes);

/**
 * Another node follows this one, and wants these permits.  Where the two know
 * different limits, the newer one becomes an update.
 * @param again  it says so each tenth of a second; else at once, for a request
 *               that waits for a moment only
 */
void lim_followed (struct lim *l, clk_ms now, uint64_t node, bool again,
                   const struct lim_permits *wanted, size_t n);

/** It does no longer. */
void lim_unfollowed (struct lim *l, uint64_t node);

/**
 * Grant what is due.
 * @param all  else only where more is wanted since the last call
 * @return  what other nodes get, valid until the next event
 */
const struct lim_permits *lim_grant (struct lim *l, clk_ms now, bool all,
                                     size_t *n);

/** Counters since the start, and what holds now. */
struct lim_figures
{
  size_t limited;   /**< servers */
  size_t followers; /**< nodes */
  uint64_t sent;    /**< requests to servers that were limited */
  uint64_t granted; /**< permits, by this node */
};
struct lim_figures lim_figures (const struct lim *l, clk_ms now);

#endif
