/**
 * @file
 * Soak framework: threads that run clients and fault injectors concurrently,
 * and a record of which node or store was disturbed when.
 */
#ifndef LAPISLINE_T_LIB_SOAK_H
#define LAPISLINE_T_LIB_SOAK_H

#include <pthread.h>

#include "base/clock.h"
#include "base/rng.h"
#include "t/lib-rack.h"

#define SOAK_THREADS (RACK_MAX_NODES + 8)

/** State and last faults of a node. */
struct soak_node
{
  unsigned incarnation; /**< incremented at each exit of the process */
  bool restarting;      /**< stopped for a restart */
  bool paused;          /**< by SIGSTOP */
  clk_ms disturbed_at;  /**< last exit, start, pause or resume */
  clk_ms paused_at;     /**< last pause or resume */
};

struct soak
{
  struct rack r;
  int nodes;
  uint64_t seed;
  clk_ms started_at, ends_at;
  pthread_mutex_t lock;
  struct buf violations; /**< one line per violated guarantee */
  unsigned nviolations;
  unsigned disturbances; /**< exits, starts, pauses, other signals */
  struct soak_node node[RACK_MAX_NODES];
  bool forgets_told; /**< servers' announcements to a node no longer count once
                          it was disturbed */
  bool store_faulty;
  clk_ms store_fault_at; /**< start or end of the last store fault */
};

/** Thread that repeats a step: a request or a fault. */
struct soak_thread
{
  struct soak *s;
  unsigned number;
  unsigned steps; /**< steps begun */
  struct rng rng;
  void (*step) (struct soak_thread *t);
  void *ctx; /**< argument of the step function */
};

/** Integer value of an environment variable, or the default. */
uint64_t soak_env_number (const char *name, uint64_t default_value);

void soak_init (struct soak *s, uint64_t seed, int nodes);

/** Expects that no violations were recorded. */
void soak_finish (struct soak *s);

/** Repeats each thread's step for @p seconds; that of @p caller_thread runs in
   the calling thread. Only the calling thread may start processes, because a
   process is killed when the thread that started it exits. */
void soak_run (struct soak *s, struct soak_thread *t, unsigned n,
               unsigned caller_thread, uint64_t seconds);

/** Records a violated guarantee; the caller holds the lock. */
void soak_add_violation (struct soak *s, const char *text);
/** Same; the caller doesn't hold the lock. */
void soak_report_violation (struct soak *s, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Sleeps for a random time below @p max. */
void soak_random_sleep (struct rng *rng, clk_ms max);

/** Sends the nodes, all at once, a signal that ends their processes. */
void soak_signal_exit (struct soak *s, const int *nodes, int n, int sig);
/** Waits until the processes have exited and restarts them. */
void soak_restart (struct soak *s, const int *nodes, int n);
/** Sends a signal that ends no process; skips restarting nodes. */
void soak_signal (struct soak *s, const int *nodes, int n, int sig);
/** Pauses nodes by SIGSTOP for @p ms, all at once. */
void soak_pause (struct soak *s, const int *nodes, int n, clk_ms ms);

/** Injects one of the first @p kinds store faults for less than 2 s. */
void soak_inject_store_fault (struct soak *s, struct rng *rng, unsigned kinds);
#define SOAK_STORE_FAULTS 5
/** Excludes the last fault, the loss of all leases. */
#define SOAK_STORE_FAULTS_NO_LAPSE 4

#endif
