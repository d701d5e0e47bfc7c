/**
 * @file
 * Scripts over a bus of membership cores.
 *
 * One command a line:
 *   nodes N [ZONES [REGION]]  add N nodes, spread over zones z1..; all join
 *                             the first node of the bus
 *   run MS
 *   until STATUS NODE MS      run until every other node in its region that
 *                             runs holds NODE for that; say whether within MS
 *   load WHO N MS             give WHO that load; do all that hold a row of
 *                             them know it within MS
 *   kill|leave|replace NODE
 *   restart NODE              replace, but the new one joins nobody
 *   freeze NODE MS
 *   lossy WHO PERCENT         lose some of the packets that come to WHO
 *   cut|mend FROM TO          FROM and TO are nodes, zones, regions or
 *                             "all" others
 *   tap NODE                  keep what NODE sends from now on
 *   replay|corrupt NODE       put the kept packets before NODE once more, as
 *                             they were or with a bit turned
 *   inject NODE KIND          put a bad packet before NODE: foreign (wrong
 *                             HMAC), short, garbage (right HMAC)
 *   views                     who holds whom for what, equal views together
 *   regions                   what nodes know about other regions
 *   count WHO NAME...         sums over the running nodes among WHO
 *   at-most N WHO NAME        whether such a sum is within N
 *   accused                   how often a node that runs was taken for silent
 *   buried-by WHO             whom any of WHO ever held for dead
 *   busiest BYTES             run ten seconds; did any node send more in one
 */
#ifndef LAPISLINE_T_LIB_FLEET_H
#define LAPISLINE_T_LIB_FLEET_H

/** Run @p script with @p seed and compare what it printed. */
void fleet_script (unsigned seed, const char *script, const char *expected);

#endif
