/**
 * @file
 * Script interpreter that runs the replica core against simulated backend
 * servers which carry out its orders.
 *
 *   vms DOMAIN N         adds N servers to the domain, named DOMAIN1 and so on
 *   stall-ms MS          sets stall_ms, which is 1000 at first; has to be the
 *                        first command
 *   lead FENCE | lead-other FENCE
 *                        the first or second core becomes the leader node, and
 *                        the other one stops being it
 *   run MS               advances the time; lists are read every 100 ms
 *   suspend MS           suspends both cores' processes for that time
 *   kill ID              stops the server: no responses, not listed
 *   hang ID              no responses, still listed
 *   silence ID           likewise, but it accepts connections
 *   restore ID           undoes hang, silence, disconnect and expire
 *   restart ID           starts it again under the same id, without weights
 *   restart-domain DOMAIN
 *                        the same for all servers of the domain
 *   disconnect ID        no responses, not listed, but it keeps running
 *   expire ID            not listed; it runs and responds as before
 *   drain ID             it reports that it is draining
 *   mimic ID N           its entry is that of server N of its domain now, but
 *                        for its id, and stays so
 *   pause ID MS          one of its responses asks for a pause
 *   leave ID             one of its responses announces its shutdown
 *   evacuate DOMAIN | return DOMAIN
 *                        the zone of the domain, which has its name, is
 *                        evacuated, or that ends
 *   broken ID            it reports its replica as broken
 *   delay KIND           the next order of this kind gets no response and is
 *                        carried out by "apply"
 *   drop KIND            the next order of this kind gets no response and is
 *                        never carried out
 *   delay-all KIND | drop-all KIND
 *                        the same for all orders of this kind
 *   respond              orders get responses again
 *   apply                carries out the delayed orders
 *   apply-on-join        carries out the delayed orders right before the next
 *                        order to join
 *   incomplete | complete
 *                        sets whether lists are known to be complete; they are
 *                        at first
 *   store-fails | store-works
 *                        reads of the first core fail from now on, or succeed
 *   traffic              requests have arrived
 *   host-memory          hosts can hold one model in memory from now on
 *   clear-hosts DOMAIN   the memory of the domain's hosts holds no weights
 *   clear-host ID        the same for the host of one server
 *   busy DOMAIN          replicas of the domain that are ordered to close wait
 *                        for their running requests
 *   idle DOMAIN          these requests have ended
 *   report-stall ID      reports that requests to this leader make no progress
 *   show                 logs the open replicas and the warm spares
 *   list-interval MS     sets the interval between lists
 *   count-orders         logs how many orders the first core has sent
 *   count-open DOMAIN    logs how many replicas of each model are open there
 *   plan                 logs the first core's frm_models()
 *   no-order-log         orders are not logged from now on
 *   drop-service | add-service
 *                        a new configuration lacks the service, or holds it
 *   size MODEL N         sets the number of VMs of one replica
 *   work-share MODEL PERCENT
 *                        sets the declared share of the work
 *   time-factor MODEL PERCENT
 *                        sets the factor on the engine's times
 *   load-rate N          sets how many loads per second may start
 *   stored-mix MODEL N   the store has this number of requests of the model
 *   mix                  logs the mean requests of each model, and whether
 *                        they differ from those in the store
 *   demand MODEL N       sets how many requests have a slot or wait for one; a
 *                        replica has eight slots
 *
 * The log has one line for each order; repeated orders are logged once.  It
 * also has "VIOLATION ..." if a server joins a replica while its previous one
 * may still serve, or if a leader opens before all members are ready.
 */
#ifndef LAPISLINE_T_LIB_FORM_H
#define LAPISLINE_T_LIB_FORM_H

/**
 * Runs @p script with a model "big" of 3 VMs and a model "small" of 2, and
 * compares the log with @p expected.
 */
void form_check (const char *script, const char *expected);

#endif
