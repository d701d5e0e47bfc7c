/**
 * @file
 * Simulated fabric domain for tests of replica/replica.h: VMs, the assignment
 * key and one owner, driven by a script of events.  The log is text.
 *
 * Script lines have the form "TIME VERB ARG...", with TIME in milliseconds.
 * Between two lines the core is ticked every 100 ms; probes get a response at
 * once and orders are carried out.
 *   owner FENCE | unowner       this node becomes the domain's owner, or stops
 *                               being it
 *   kill VM | dead VM           refuses connections | doesn't respond either
 *   start VM REPLICA GEN        responds again as a member of that replica
 *                               ("-": of none)
 *   blank VM                    responds again, without weights
 *   work VM N                   has N tokens in flight
 *   leaving VM | listed VM      state of the VM in the platform's list
 *   drain R | undrain R
 *   late VM REPLICA GEN FENCE   a load order of an earlier owner arrives
 *   store up|down               writes are applied | refused from now on
 *   store lost|race             the next write is applied without a response |
 *                               loses to another writer
 *   usurp FENCE                 another node wrote the owner key
 *   accept                      the next configuration is applied
 *   as 1|2                      selects the core that the next lines refer to
 *   run                         no event; only advances the time
 */
#ifndef LAPISLINE_T_LIB_DOMAIN_H
#define LAPISLINE_T_LIB_DOMAIN_H

#include "replica/replica.h"

struct dom_options
{
  const char *config; /**< JSON; the domain is "d" */
  const char
      *next_config; /**< applied by "accept"; has the same VMs; or NULL */
  bool checks_fence;
  bool no_budget;
  clk_ms load_ms; /**< time that one VM takes to load */
  bool two_cores; /**< run a second core over the same VMs and store */
};

struct dom;

struct dom *dom_new (const struct dom_options *opt, uint64_t seed);
void dom_free (struct dom *d);

/** Runs one script line, given without its time. */
void dom_run_line (struct dom *d, const char *line);

/** Ticks the cores until @p to. */
void dom_run_until (struct dom *d, clk_ms to);

clk_ms dom_now (const struct dom *d);
unsigned dom_orders (const struct dom *d);

/**
 * Number of load orders that a VM carried out for a replica to which it was
 * not assigned at that moment.
 */
unsigned dom_wrong_loads (const struct dom *d);

/**
 * Counts the members of replicas that a core reports as complete although the
 * VM stopped being a ready member more than REP_PROBE_VALID_MS ago.
 */
unsigned dom_false_complete (struct dom *d);

/** Runs @p script in a new domain and compares the log with @p want. */
void dom_check (const struct dom_options *opt, const char *script,
                const char *want);

#endif
