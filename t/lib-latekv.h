/**
 * @file
 * A store behind store/store.h, in memory: each call is answered in a later
 * turn of the loop, and the test says what is wrong with the store.
 */
#ifndef LAPISLINE_T_LIB_LATEKV_H
#define LAPISLINE_T_LIB_LATEKV_H

#include <uv.h>

#include "t/lib-memkv.h"

struct latekv
{
  uv_loop_t *loop;
  struct memkv *kv;
  bool unavailable; /**< calls have no effect and end as unavailable */
  bool
      loses_response; /**< the next txn has its effect, its end is uncertain */
  bool lease_lost;    /**< each txn conflicts, each lease is gone */
  clk_ms renewed_at;  /**< last renewal that succeeded, of any lease */
  int64_t last_lease; /**< last one granted */
};

void latekv_init (struct latekv *k, uv_loop_t *loop);
void latekv_destroy (struct latekv *k);

/** One process's client; released by store_free(). */
struct store *latekv_store (struct latekv *k);

#endif
