/**
 * @file
 * Settings of one process, from a JSON file with comments.
 *
 *   { "node": "entry-1", "zone": "hall-a", "region": "nairobi",
 *     "gateway": { "http": "127.0.0.1:8080", "peer": "127.0.0.1:7001" },
 *     "control": { "swim": "127.0.0.1:7002", "peer": "127.0.0.1:7003",
 *                  "admin": "127.0.0.1:7004" },
 *     "store": { "endpoints": ["127.0.0.1:2379"], "prefix": "/lapisline/",
 *                "writes_per_s": 80, "reads_per_s": 60 },
 *     "platform": "127.0.0.1:8500",         // list of live and leaving VMs
 *     "peers": ["127.0.0.1:7013"],          // control peer addresses
 *     "secret_file": "secret.txt",          // relative to the settings file
 *     "log": { "format": "text", "level": "info" } }
 *
 * Port 0 lets the kernel choose; the process prints what it got.
 */
#ifndef LAPISLINE_CONFIG_SETTINGS_H
#define LAPISLINE_CONFIG_SETTINGS_H

#include "base/findings.h"
#include "base/log.h"
#include "net/addr.h"

#define SET_MAX_PEERS 64
#define SET_MAX_ENDPOINTS 8

/** Default of store.writes_per_s for control. */
#define SETTINGS_CONTROL_WRITES 20.

/** For a gateway: four of the eight claim shards at their full 20 a second,
    so that any two gateways can carry all shards. */
#define SETTINGS_GATEWAY_WRITES 80.

struct settings
{
  char *node;
  char *zone;
  char *region;
  struct net_addr gateway_http;
  struct net_addr gateway_peer;
  struct net_addr control_swim;
  struct net_addr control_peer;
  struct net_addr control_admin;
  struct net_addr endpoints[SET_MAX_ENDPOINTS];
  size_t nendpoints;
  struct net_addr platform; /**< port 0: none */
  char *store_prefix;
  double store_writes; /**< a second; 0: not set, see settings_writes() */
  double store_reads;
  struct net_addr peers[SET_MAX_PEERS];
  size_t npeers;
  uint8_t secret[32]; /**< SHA-256 of the secret file's content */
  enum log_format log_format;
  enum log_level log_level;
};

/** Parts that a process can't do without, added up. */
enum settings_need
{
  SETTINGS_NEED_GATEWAY = 1,
  SETTINGS_NEED_CONTROL = 2
};

/**
 * Read and check; false with every finding when something is wrong.  @p out
 * is to be freed in either case.
 * @param need  sum of enum settings_need
 */
bool settings_read (const char *path, unsigned need, struct settings *out,
                    struct fnd_list *findings);

/** The writes a second that are set, or else the default @p usual. */
double settings_writes (const struct settings *s, double usual);

void settings_free (struct settings *s);

#endif
