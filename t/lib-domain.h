/**
 * @file
 * A fabric domain for tests of replica/replica.h: VMs, the assignment key and
 * one owner, driven by a script of events; what happens comes out as text.
 *
 * Lines "TIME VERB ARG...", TIME in milliseconds.  Between two lines the core
 * is ticked every 100 ms, probes are answered at once and orders obeyed.
 *   owner FENCE | unowner       this node owns the domain, or not any more
 *   kill VM | dead VM           refuses connections | is silent as well
 *   start VM REPLICA GEN        answers again, as its engine says ("-": none)
 *   blank VM                    answers again, holding no weights
 *   work VM N                   N tokens in flight
 *   leaving VM | listed VM      by the platform's list
 *   drain R | undrain R
 *   late VM REPLICA GEN FENCE   an old owner's load order arrives
 *   store up|down|lost|race     next writes: normal, refused, applied with the
 *                               answer lost, beaten by another writer
 *   usurp FENCE                 somebody else wrote the owner key
 *   accept                      the later configuration comes into force
 *   as 1|2                      which of two cores the next lines are for
 *   run                         nothing
 */
#ifndef LAPISLINE_T_LIB_DOMAIN_H
#define LAPISLINE_T_LIB_DOMAIN_H

#include "replica/replica.h"

struct dom_options
{
  const char *config; /**< JSON; the domain is "d" */
  const char *later;  /**< with the same VMs, or NULL */
  bool checks_fence;
  bool no_budget;
  clk_ms load_ms; /**< of one VM */
  bool two;       /**< a second core over the same VMs and store */
};

struct dom;

struct dom *dom_new (const struct dom_options *opt, uint64_t seed);
void dom_free (struct dom *d);

/** One script line without its time. */
void dom_do (struct dom *d, const char *line);

/** Tick until @p to. */
void dom_until (struct dom *d, clk_ms to);

clk_ms dom_now (const struct dom *d);
unsigned dom_orders (const struct dom *d);

/** How many VMs obeyed a load order for a replica that the assignment did not
    give them at that moment. */
unsigned dom_wrong_loads (const struct dom *d);

/** Members of replicas that a core shows as whole, though they have not been
    right for longer than the evidence time. */
unsigned dom_false_whole (struct dom *d);

/** Run @p script in a new domain and compare the log. */
void dom_check (const struct dom_options *opt, const char *script,
                const char *want);

#endif
