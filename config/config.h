/**
 * @dir config
 * Operators' configuration from the files to the structures that decide, and
 * the settings of one process.
 *
 *   config.h    the structures; cfg_parse() in config.c, parse-*.c, cross.c
 *   read.h      JSON into structures by tables of fields, with findings
 *   json.h, locate.h, nearest.h, arena.h, file.h   what reading needs
 *   folder.h    a folder of files, merged
 *   manifest.h, push.h, rebase.h   how a change is accepted
 *   spread.h    how it reaches every node
 *   settings.h  settings of a process
 *
 * A push goes by charts/config-push.json; a struct cfg never changes and lives
 * as long as somebody holds a reference.  Callers: `lapisline config`, the
 * spread in control/, the view of a gateway; every decision core reads struct
 * cfg.
 */
/**
 * @file
 * The operators' configuration: a folder of small JSON files with comments,
 * merged in the order of their names (RFC 7396), checked as a whole, and
 * turned into the structures below.  Nothing here does network I/O.
 *
 * Top-level keys, each an object of named entries:
 *   models, replicas, domains, services, accounts, operators, limits, policy
 * examples/ holds two complete folders.
 */
#ifndef LAPISLINE_CONFIG_CONFIG_H
#define LAPISLINE_CONFIG_CONFIG_H

#include "base/clock.h"
#include "base/findings.h"
#include "net/addr.h"

/** How much of a service or replica is ours; old scripts run the rest. */
enum cfg_mode
{
  CFG_OBSERVE, /**< watch and report; no requests, no orders */
  CFG_ROUTE,   /**< requests go to it; it gets no orders */
  CFG_MANAGE   /**< requests and orders */
};

/** One VM that runs a backend server. */
struct cfg_vm
{
  struct str name;
  struct str domain; /**< fabric domain */
  struct net_addr addr;
  bool spare_only;
};

struct cfg_domain
{
  struct str name;
  struct str zone;
  bool checks_fence; /**< its backend servers refuse old fencing numbers */
  size_t first_vm;   /**< into cfg.vms, contiguous */
  size_t nvms;
};

struct cfg_model
{
  struct str name;
  enum cfg_mode mode;
  unsigned vms;         /**< VMs of one replica */
  unsigned replicas;    /**< wanted */
  double weight_gb;     /**< loaded from the weight store per replica */
  unsigned capacity;    /**< requests that a replica runs at once */
  double tokens_per_s;  /**< that a replica generates, for estimates */
  bool can_resume;      /**< streams resume by offset */
  clk_ms first_byte_ms; /**< longest silence before the head */
  clk_ms progress_ms;   /**< longest silence within a stream */
  /** Statuses that it gives only when it did not run the request. */
  int not_run_status[4];
  size_t nnot_run;
};

/** A replica declared by its members; with mode manage it may be empty. */
struct cfg_replica
{
  struct str name;
  struct str model;
  struct str domain;
  enum cfg_mode mode;
  size_t vms[16]; /**< indices into cfg.vms; the first is the leader */
  size_t nvms;
};

struct cfg_backend
{
  struct str name;
  struct str zone;
  struct net_addr addr;
};

/** A rule of a plain service; the first that matches counts. */
struct cfg_rule
{
  struct str method;      /**< empty: any */
  struct str path_prefix; /**< after /svc/NAME */
  bool idempotent;
};

struct cfg_service
{
  struct str name;
  enum cfg_mode mode;
  const struct cfg_backend *backends;
  size_t nbackends;
  const struct cfg_rule *rules; /**< none matches: GET, HEAD, OPTIONS, PUT
                                     and DELETE are idempotent */
  size_t nrules;
  unsigned capacity; /**< requests at once per backend server */
  clk_ms connect_ms;
  clk_ms first_byte_ms;
  clk_ms progress_ms;
  int not_run_status[4];
  size_t nnot_run;
};

struct cfg_account
{
  struct str name;
  const struct str *key_digests; /**< SHA-256 of bearer keys, hexadecimal */
  size_t nkeys;
  double weight;         /**< share under load */
  unsigned priority;     /**< 0 (first) to 3 */
  double tokens_per_s;   /**< limit over all nodes; 0: none */
  unsigned concurrency;  /**< limit over all nodes; 0: none */
  const struct str *may; /**< models and services; "*" for all */
  size_t nmay;
};

enum cfg_role
{
  CFG_VIEWER,   /**< list and show */
  CFG_OPERATOR, /**< and drain, push */
};

struct cfg_operator
{
  struct str name;
  struct str token_digest; /**< SHA-256, hexadecimal */
  enum cfg_role role;
};

/** Lifetime of an address answer, unless limits say. */
#define CFG_ADDRESS_MS ((clk_ms)30000)

struct cfg_limits
{
  size_t max_body;
  size_t max_connections;
  size_t max_streams;
  size_t max_queue; /**< waiting requests per model or service */
  clk_ms queue_ms;  /**< longest wait when no deadline is given */
  clk_ms slot_ms;   /**< wait for the word of a model's home; 0: don't ask */
  clk_ms claim_window_ms; /**< how long an idempotency key is remembered */
  size_t kept_answer;     /**< bytes of an answer kept for repeats */
  clk_ms address_ms;      /**< lifetime of an address answer */
};

struct cfg_policy
{
  double downtime_weight; /**< of group downtime, against... */
  double stranded_weight; /**< ...stranded accelerators */
  double weight_gb_per_s; /**< rate of the weight store */
  clk_ms vm_return_ms;    /**< how long a lost VM usually stays away */
};

/** A bearer key's digest and whose it is. */
struct cfg_key
{
  struct str digest;
  const struct cfg_account *account;
};

/** Longest merged document in bytes; the store holds values up to 1 MB. */
#define CFG_MAX_TEXT ((size_t)1000000)

/** Entries of each kind are in the order of str_cmp() of their names. */
struct cfg
{
  int64_t revision; /**< of the store's manifest key; 0: a local file */
  struct str text;  /**< the document that it was made from */
  struct cfg_vm *vms;
  size_t nvms;
  struct cfg_domain *domains;
  size_t ndomains;
  struct cfg_model *models;
  size_t nmodels;
  struct cfg_replica *replicas;
  size_t nreplicas;
  struct cfg_service *services;
  size_t nservices;
  struct cfg_account *accounts;
  size_t naccounts;
  struct cfg_operator *operators;
  size_t noperators;
  struct cfg_key *keys; /**< of all accounts, in the order of digests */
  size_t nkeys;
  struct cfg_limits limits;
  struct cfg_policy policy;
  void *arena;   /**< owns every string and array above */
  unsigned refs; /**< work in flight keeps the version it began under */
};

/**
 * Parse and check one merged document.
 * @param text      JSON with comments
 * @param findings  every problem with pointer and, where known, file and line
 * @return  a configuration with one reference, or NULL when there are errors
 */
struct cfg *cfg_parse (struct str text, int64_t revision,
                       struct fnd_list *findings);
struct cfg *cfg_ref (struct cfg *c);
void cfg_unref (struct cfg *c);

/* Look-ups by name; NULL when there is none. */
const struct cfg_model *cfg_model (const struct cfg *c, struct str name);
const struct cfg_replica *cfg_replica (const struct cfg *c, struct str name);
const struct cfg_service *cfg_service (const struct cfg *c, struct str name);
const struct cfg_account *cfg_account (const struct cfg *c, struct str name);
const struct cfg_domain *cfg_domain (const struct cfg *c, struct str name);

/** The account whose key hashes to @p digest (64 hexadecimal digits). */
const struct cfg_account *cfg_account_by_key (const struct cfg *c,
                                              struct str digest);
const struct cfg_operator *cfg_operator_by_token (const struct cfg *c,
                                                  struct str digest);
bool cfg_account_may (const struct cfg_account *a, struct str target);

/**
 * How long a node that leaves is still named in callers' address answers.
 * Another node goes on naming it until it has heard of the leave, and that
 * answer then lives as long as any: were the port closed an answer's lifetime
 * after the signal, its callers would be refused.
 * @param c  NULL: without a configuration, by its defaults
 */
clk_ms cfg_leave_ms (const struct cfg *c);

/** Whether a plain-service call may be repeated. */
bool cfg_service_idempotent (const struct cfg_service *s, struct str method,
                             struct str path);

#endif
