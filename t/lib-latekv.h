/**
 * @file
 * In-memory store behind store/store.h. It responds in a later iteration of
 * the loop, with faults set by the test.
 */
#ifndef LAPISLINE_T_LIB_LATEKV_H
#define LAPISLINE_T_LIB_LATEKV_H

#include <uv.h>

#include "t/lib-memkv.h"

struct latekv
{
  uv_loop_t *loop;
  struct memkv *kv;
  bool unavailable;    /**< calls have no effect and end as unavailable */
  bool loses_response; /**< the next txn takes effect but ends as uncertain */
  bool lease_lost;     /**< each txn conflicts, each lease is gone */
  clk_ms renewed_at;   /**< last successful renewal of any lease */
  int64_t last_lease;  /**< last lease granted */
};

void latekv_init (struct latekv *k, uv_loop_t *loop);
void latekv_destroy (struct latekv *k);

/** Store client of one process; released by store_free(). */
struct store *latekv_store (struct latekv *k);

#endif
