/**
 * @file
 * The request core of a node on a platform: which backend server gets which
 * request and when, what is tried again, what becomes of it (decision core,
 * chart "forward").
 *
 * Events and time go in by the functions below, actions come out of
 * dsp_next(); serve/ingress.c and serve/attempt.c do the I/O.  An attempt is
 * known by (request, attempt number); what is said of one that is over is
 * ignored, so a late answer never reaches a caller.
 *
 * "Not run" is only said while no attempt was sent, or when each attempt that
 * was sent ended with the backend server's word that it did not run.
 */
#ifndef LAPISLINE_SERVE_DISPATCH_H
#define LAPISLINE_SERVE_DISPATCH_H

#include "base/rng.h"
#include "net/addr.h"
#include "serve/limit.h"
#include "serve/poison.h"
#include "serve/table.h"

/** Why a request got an answer of our own. */
enum dsp_code
{
  DSP_NONE,
  DSP_NO_SERVER, /**< 503: none is known that could run it */
  DSP_OVERLOAD,  /**< 503: no place became free in time */
  DSP_LIMITED,   /**< 503: all servers name rates, which are used up */
  DSP_UNRUN,     /**< 503: every backend server that was asked refused it */
  DSP_CONNECT,   /**< 503: no connection to any backend server */
  DSP_LEAVING,   /**< 503: this node is stopping */
  DSP_POISON,    /**< 503: servers crash when they run it */
  DSP_BROKEN,    /**< 502: it may have run; the answer broke off */
  DSP_DEADLINE   /**< 504: it may have run; its time is over */
};

/** A request as it arrives. */
struct dsp_request
{
  uint64_t id;
  const struct tbl_route *route; /**< of @p table */
  struct tbl *table;             /**< a reference is taken */
  const struct tbl_service *service;
  struct str model;  /**< empty: the service has none */
  unsigned priority; /**< 0 is the highest */
  clk_ms deadline;   /**< absolute: the caller's or the route's, which is
                          earlier */
  clk_ms waited;     /**< what the caller has waited already, for an answer
                          to an earlier try */
  double prompt;     /**< tokens to be read, 0: not known */
  double answer;     /**< tokens to be written at most, 0: not known */
  uint64_t digest;   /**< the same whenever this caller asks for the same */
};

/** A place that requests can be sent to: a backend server of a plain service,
    or the leader of a model's replica. */
struct dsp_place
{
  struct str server;  /**< id of the backend server */
  int64_t born;       /**< start of its process; 0: not told */
  int64_t generation; /**< of the replica that it leads; 0: none */
  struct str service;
  struct str model;
  struct str zone;
  struct net_addr addr;
  unsigned capacity;
  double read_per_ms; /**< prompt tokens; 0: not known */
  bool accepting;     /**< false: it goes on, but gets nothing new */
};

/** What another node has under way at one place. */
struct dsp_count
{
  uint64_t place;     /**< dsp_place_hash() */
  uint32_t in_flight; /**< without the next */
  uint32_t begun;     /**< of these, streams that have had an event */
  uint32_t unread;    /**< tokens of prompts to be read, but for those that
                           were told by a notice */
  clk_ms heard; /**< when the last event of any of them came, by the clock
                     of the node that is told */
  bool stalled; /**< nothing moves there, as far as this node sees */
  bool ended;   /**< this node has found that its process is gone */
};

/** A long prompt that a node has just sent to a place. */
struct dsp_notice
{
  uint64_t place; /**< dsp_place_hash() */
  uint32_t tokens;
};

/** The number by which nodes tell each other of a place. */
uint64_t dsp_place_hash (struct str server, int64_t born, int64_t generation);

/** What an attempt's answer turned out to be. */
enum dsp_head
{
  DSP_HEAD_GOOD,  /**< 2xx */
  DSP_HEAD_FINAL, /**< another status that a repeat would not change */
  DSP_HEAD_ERROR, /**< it ran and failed; a repeat may succeed */
  DSP_HEAD_UNRUN  /**< the backend server says that it did not run it */
};

enum dsp_action_kind
{
  DSP_ACT_SEND,    /**< id, attempt, server, addr, left_ms: connect and send */
  DSP_ACT_CANCEL,  /**< id, attempt: close its connection */
  DSP_ACT_PASS,    /**< id, attempt: hand events to the caller as they come */
  DSP_ACT_END,     /**< id, attempt: its answer is whole; deliver the rest */
  DSP_ACT_ANSWER,  /**< id, code, retry_ms: an error answer of our own */
  DSP_ACT_CUT,     /**< id, code: end the passed answer visibly cut */
  DSP_ACT_FORGET,  /**< id: nothing more will come */
  DSP_ACT_STALLED, /**< server, left_ms: nothing has moved there for so long;
                        for the log, its requests follow by themselves */
  DSP_ACT_CHECK    /**< server, addr, place: runs broke off there; find out
                        whether its process has ended, then dsp_checked() */
};

/** What is known of a backend server's process. */
enum dsp_liveness
{
  DSP_UNREACHABLE, /**< it could not be reached */
  DSP_ALIVE,
  DSP_ENDED
};

struct dsp_action
{
  enum dsp_action_kind kind;
  uint64_t id;
  unsigned attempt;
  struct net_addr addr;
  struct str server; /**< valid until the next event */
  uint64_t place;    /**< dsp_place_hash() */
  clk_ms left_ms;    /**< of the request's time */
  bool fresh;        /**< use a connection of its own */
  bool resume;       /**< go on after the last event passed */
  unsigned priority; /**< at the backend server, 0 to 9, 0 is first */
  enum dsp_code code;
  clk_ms retry_ms; /**< when to come back; 0: nothing to say */
};

struct dsp_options
{
  struct str zone;
  double retry_ratio; /**< of requests, all nodes together */
  double retry_slack; /**< retries in a window beside these, all nodes */
  clk_ms retry_window_ms;
  clk_ms stall_ms;    /**< after which a replica without a member gives up */
  struct psn *poison; /**< requests that crash servers; borrowed; NULL: none
                           is known */
  struct lim *limits; /**< rates that servers ask for; borrowed; NULL: none is
                           heeded */
};

struct dsp;

struct dsp *dsp_new (const struct dsp_options *opt, uint64_t seed);
void dsp_free (struct dsp *d);

/** Time passes; call it at dsp_wake() at the latest. */
void dsp_tick (struct dsp *d, clk_ms now);

/** Earliest time at which a tick may change something. */
clk_ms dsp_wake (const struct dsp *d);

/** All places that there are now. */
void dsp_places (struct dsp *d, clk_ms now, const struct dsp_place *list,
                 size_t n);

/** How many nodes share the load, this one included. */
void dsp_nodes (struct dsp *d, unsigned n);

/** All that the other node @p peer has under way; n 0 also when it is gone. */
void dsp_peer_load (struct dsp *d, clk_ms now, uint64_t peer,
                    const struct dsp_count *counts, size_t n);

/** Long prompts that another node has just sent. */
void dsp_noticed (struct dsp *d, clk_ms now, const struct dsp_notice *list,
                  size_t n);

/** Long prompts sent since the last call, for the other nodes to know at once;
    valid until the next event. */
const struct dsp_notice *dsp_notices (struct dsp *d, size_t *n);

/** What this node has under way; valid until the next event. */
const struct dsp_count *dsp_own_load (struct dsp *d, size_t *n);

/** No new request is taken from now on. */
void dsp_leave (struct dsp *d);

void dsp_arrive (struct dsp *d, clk_ms now, const struct dsp_request *in);

/** The caller left. */
void dsp_gone (struct dsp *d, clk_ms now, uint64_t id);

/** Bytes go to the kernel next. @retval false  the attempt is over */
bool dsp_sent (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt);
void dsp_connect_failed (struct dsp *d, clk_ms now, uint64_t id,
                         unsigned attempt);
void dsp_head (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt,
               enum dsp_head head);

/** What the answer's head says of the rate that its server takes; call it
    before dsp_head(). @param rate  requests a second */
enum lim_change dsp_answer_limit (struct dsp *d, clk_ms now, uint64_t id,
                                  unsigned attempt, enum lim_says says,
                                  double rate);
/** Requests that this node has sent to that attempt's server while it was
    limited. */
uint64_t dsp_sent_limited (const struct dsp *d, uint64_t id, unsigned attempt);

/** Permits for limited servers have been granted. */
void dsp_permitted (struct dsp *d, clk_ms now);

/** Bytes of a stream came; @p event: at least one whole event is among them.
 */
void dsp_heard (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt,
                bool event);
void dsp_whole (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt);
/** The answer broke off, or was none. */
void dsp_broken (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt);

/** The answer to DSP_ACT_CHECK.
    @return  how many runs had broken off there */
size_t dsp_checked (struct dsp *d, clk_ms now, uint64_t place,
                    enum dsp_liveness found);

/** It crashes servers: end those requests that have not begun to run. */
void dsp_blocked (struct dsp *d, clk_ms now, uint64_t digest);

/** The next action, or false; call it until then after each event. */
bool dsp_next (struct dsp *d, struct dsp_action *out);

/** Requests that have not ended. */
size_t dsp_open (const struct dsp *d);

/** Requests of a model that have a slot or wait for one, at all nodes as far
    as this one knows. */
double dsp_demand (const struct dsp *d, struct str service, struct str model);

const char *dsp_liveness_name (enum dsp_liveness found);
const char *dsp_code_name (enum dsp_code c);
int dsp_code_status (enum dsp_code c);

/** Counters since the start. */
struct dsp_figures
{
  uint64_t arrived, ended, answered[DSP_DEADLINE + 1];
  uint64_t sent, repeated, repeat_denied, resumed, stalls, ejections;
  uint64_t servers_ended; /**< under requests of this node */
};
const struct dsp_figures *dsp_figures (const struct dsp *d);

#endif
