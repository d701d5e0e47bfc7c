/**
 * @file
 * Simulation of nodes that dispatch requests to servers that fall silent, in
 * steps of 10 ms.  The nodes exchange load reports; each server has slots and
 * sends an event to each of its streams every 60 to 100 ms.
 */
#ifndef LAPISLINE_T_LIB_SILENCE_H
#define LAPISLINE_T_LIB_SILENCE_H

#include "base/rng.h"
#include "serve/dispatch.h"

#define SIL_STEP_MS 10
#define SIL_NODES_MAX 80
#define SIL_SERVERS_MAX 160
#define SIL_REQUESTS_MAX 4000
#define SIL_ATTEMPTS_MAX 2048
#define SIL_MAX_ATTEMPTS 2
#define SIL_DEADLINE_MS 12000

struct sil_server
{
  char name[16];
  bool model; /**< a replica of the model, else of the plain service */
  clk_ms silent_from, silent_until; /**< CLK_NEVER: lost */
  unsigned taken;                   /**< slots */
};

enum sil_kind
{
  SIL_STREAM,
  SIL_SAFE,
  SIL_ONCE,
  SIL_KINDS
};

struct sil_request
{
  enum sil_kind kind;
  unsigned node;
  unsigned events, forwarded;
  unsigned forwarding; /**< number of the attempt */
  unsigned arrivals;   /**< at servers */
  uint64_t made;       /**< events that servers have made, as bits */
  unsigned made_twice;
  clk_ms last_event_at;
  clk_ms pause_ms;  /**< longest one that a silence made in the stream */
  bool interrupted; /**< a server was silent since its last event */
  bool hit_silence; /**< a server was silent while it ran there */
  bool hit_loss;    /**< the same of a lost one */
  bool complete, cut, refused;
};

enum sil_fault
{
  SIL_ORDER,    /**< an event came twice, out of order, or not at all */
  SIL_CUT,      /**< a request failed although no server was lost */
  SIL_ATTEMPTS, /**< more servers than the route allows */
  SIL_BUDGET,   /**< more retries than the fleet may make */
  SIL_COUNTERS, /**< a node's load differs from its open attempts */
  SIL_OPEN,     /**< an attempt was left open, or a request did not end */
  SIL_TWICE,    /**< run twice, or refused after a run, though unsafe */
  SIL_FAULTS
};

struct sil_attempt
{
  size_t request; /**< index */
  unsigned number;
  size_t server;
  bool resume, sent, running, streaming;
  unsigned next; /**< number of its next event */
  clk_ms next_at;
  clk_ms canceled_at; /**< 0: not canceled */
};

struct sil
{
  clk_ms now;
  struct rng rng;
  struct tbl *config;
  unsigned nnodes;
  struct dsp *node[SIL_NODES_MAX];
  double retry_ratio, retry_slack;
  size_t nservers, nrequests, nattempts;
  struct sil_server server[SIL_SERVERS_MAX];
  struct sil_request request[SIL_REQUESTS_MAX];
  struct sil_attempt attempt[SIL_ATTEMPTS_MAX];
  clk_ms submitted_at[SIL_REQUESTS_MAX], retried_at[SIL_REQUESTS_MAX];
  size_t nretries;
  clk_ms pause_ends_at;         /**< of the last server that goes on */
  unsigned refused_beside_room; /**< while a sound server had a free slot */
  unsigned refused_late;        /**< the same, 0.5 s after the pause */
  unsigned faults[SIL_FAULTS];
};

/** Servers of either service have 8 slots. */
void sil_init (struct sil *m, uint64_t seed, unsigned nodes, unsigned replicas,
               unsigned plain, double retry_ratio, double retry_slack);
void sil_free (struct sil *m);
void sil_submit (struct sil *m);
void sil_step (struct sil *m);
/** Checks the state after the last request has ended. */
void sil_check_end (struct sil *m);

#endif
