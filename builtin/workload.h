/**
 * @file
 * Recorded-style workloads for `bench route`: the same requests for every
 * policy that is measured.
 */
#ifndef LAPISLINE_BUILTIN_WORKLOAD_H
#define LAPISLINE_BUILTIN_WORKLOAD_H

#include <stddef.h>
#include <stdint.h>

#define WL_ACCOUNTS 10
#define WL_GATEWAYS 128 /* at most */
#define WL_ZONES 3

/** One deployment and its hours. */
struct workload
{
  const char *name;
  double zone_ms;    /**< one way between zones */
  double caller_ms;  /**< one way between caller and gateway */
  double seconds;    /**< of arrivals */
  double peak;       /**< arrivals at the peak, as part of all slots */
  double prompt;     /**< mean tokens after the prefix */
  double prefix;     /**< tokens of a shared prefix */
  size_t prefixes;   /**< how many there are; popularity falls as 1/rank */
  double output;     /**< mean tokens */
  double deadline_s; /**< mean; 0: no deadlines */
  double flood;      /**< arrivals of one more account, as part of slots */
};

extern const struct workload wl_nairobi;
extern const struct workload wl_taipei;

/** One request of the recording; times in milliseconds. */
struct wl_request
{
  double at;
  double deadline; /**< absolute; 0: none */
  float prompt, prefix_tokens, output;
  float cost; /**< tokens as a gateway would estimate them */
  uint32_t prefix;
  uint8_t account; /**< 0 is the small one, WL_ACCOUNTS the flooding one */
  uint8_t gateway;
};

/**
 * Make the requests of one run, ordered by time; free() them.
 * @param slots        of all replicas
 * @param service_ms   mean time of a request in a slot
 * @param gateways     that the callers are spread over
 */
struct wl_request *wl_make (const struct workload *w, double slots,
                            double service_ms, unsigned gateways,
                            uint64_t seed, size_t *n);

#endif
