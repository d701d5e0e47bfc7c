/**
 * @file
 * Backend servers in memory that obey the orders of the forming core, driven
 * by a script.
 *
 *   vms DOMAIN N         N servers named DOMAIN1 .. appear in that domain
 *   owner FENCE | other FENCE   this core, or a second one, becomes owner; the
 *                        one before no longer is
 *   run MS               time passes; lists are read every 100 ms
 *   kill ID              it is gone: no answer, and the list drops it
 *   dark ID              no answer; the list still names it
 *   back ID              it answers again
 *   reborn ID            it has started again under its id and holds nothing
 *   unlist ID            cut off: the list drops it, and it answers nothing
 *   lapse ID             the list drops it; it works and answers as before
 *   drain ID             it says that it leaves
 *   broken ID            it reports its replica as broken
 *   late KIND            the next order of this kind gets no answer and is
 *                        carried out by "apply"
 *   lose KIND            the next order of this kind gets no answer, ever
 *   late-all KIND, lose-all KIND   the same for each order of this kind, until
 *   prompt               orders are answered again
 *   apply                late orders are carried out
 *   trap                 late orders are carried out right before the next
 *                        join arrives
 *   unsettled | settled  whether lists count as whole; they do at first
 *   traffic              requests have come
 *   hosts                hosts keep one model in their memory from now on
 *   stalled ID           callers see nothing move there
 *   show                 the open replicas and the warm spares are logged
 *   lists MS             how often lists are read from now on
 *   orders               how many orders the first core has given
 *   count DOMAIN         how many replicas of each model are open there
 *   plan                 what the first core tells of its models
 *   quiet                orders are not logged any more
 *   size MODEL N         VMs of one replica
 *   share MODEL PERCENT  declared part of the work
 *   pace MODEL PERCENT   factor on its times
 *   ask MODEL N          so many requests have or want a slot; one replica has
 *                        eight
 *
 * The log has a line for each order but repeated ones, and
 * "TWO ..." or "PARTIAL ..." when a server is joined while its old replica may
 * still serve, or a leader opens without all members ready.
 */
#ifndef LAPISLINE_T_LIB_FORM_H
#define LAPISLINE_T_LIB_FORM_H

/** Play @p script against models big of 3 VMs and small of 2, and compare the
    log with @p expected. */
void form_check (const char *script, const char *expected);

#endif
