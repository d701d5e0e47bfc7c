/**
 * @file
 * What soaks share: series of faults on threads beside each other, and a
 * record of what was disturbed when.
 */
#ifndef LAPISLINE_T_LIB_SOAK_H
#define LAPISLINE_T_LIB_SOAK_H

#include <pthread.h>

#include "base/clock.h"
#include "base/rng.h"
#include "t/lib-rack.h"

#define SOAK_THREADS (RACK_MAX_NODES + 8)

/** What was done to a node. */
struct soak_node
{
  unsigned incarnation; /**< grows once a process is gone */
  bool restarting;      /**< being ended and started again */
  bool paused;          /**< by SIGSTOP */
  clk_ms
      disturbed_at; /**< when it was last ended, started, stopped or woken */
  clk_ms paused_at; /**< when it was last stopped or woken */
};

struct soak
{
  struct rack r;
  int nodes;
  uint64_t seed;
  clk_ms started_at, ends_at;
  pthread_mutex_t lock;
  struct buf violations; /**< a line for each promise that was broken */
  unsigned nviolations;
  unsigned
      disturbances; /**< times that a node was ended, stopped or started */
  struct soak_node node[RACK_MAX_NODES];
  bool store_faulty;
  clk_ms
      store_fault_at; /**< when the store was last made to fail, or mended */
};

/** A series of calls or faults. */
struct soak_thread
{
  struct soak *s;
  unsigned number;
  unsigned steps; /**< begun */
  struct rng rng;
  void (*step) (struct soak_thread *t);
  void *ctx; /**< of the turns */
};

/** A number of the environment. */
uint64_t soak_env_number (const char *name, uint64_t usual);

void soak_init (struct soak *s, uint64_t seed, int nodes);

/** Expect that nothing was wrong. */
void soak_finish (struct soak *s);

/** Run each thread's turns until the time is over, those of @p own in the
    thread of the caller.  That one alone starts processes: these are killed
    with the thread that started them. */
void soak_run (struct soak *s, struct soak_thread *t, unsigned n, unsigned own,
               uint64_t seconds);

/** Note a promise that was broken; the lock is held. */
void soak_add_violation (struct soak *s, const char *text);
/** The same; the lock is free. */
void soak_report_violation (struct soak *s, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Sleep up to so long. */
void soak_random_sleep (struct rng *rng, clk_ms most);

/** End nodes by a signal, all at once. */
void soak_signal_exit (struct soak *s, const int *nodes, int n, int sig);
/** Wait until they are gone, and start them again. */
void soak_restart (struct soak *s, const int *nodes, int n);
/** Send a signal that ends nobody to nodes that are not being ended. */
void soak_signal (struct soak *s, const int *nodes, int n, int sig);
/** Stop nodes for a while, all at once. */
void soak_pause (struct soak *s, const int *nodes, int n, clk_ms ms);

/** Make the store fail in one of @p kinds ways for a while. */
void soak_inject_store_fault (struct soak *s, struct rng *rng, unsigned kinds);
#define SOAK_STORE_FAULTS 5
/** Those without the loss of all leases. */
#define SOAK_STORE_FAULTS_NO_LAPSE 4

#endif
