/**
 * @file
 * A TCP relay on a thread of the test: what a middlebox does to connections.
 */
#ifndef LAPISLINE_T_LIB_RELAY_H
#define LAPISLINE_T_LIB_RELAY_H

struct relay;

/** Relay two ports to two addresses; it lives until the test ends. */
struct relay *relay_new (const char *to0, const char *to1);
const char *relay_addr (struct relay *r, int which);

/** From now on swallow what comes over the connections that are open;
    neither end is told.  New ones work. */
void relay_blackhole (struct relay *r);

/** From now on close every connection, old and new. */
void relay_refuse (struct relay *r);

#endif
