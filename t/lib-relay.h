/**
 * @file
 * TCP proxy (no relay node) in a thread of the test; imitates a middlebox.
 */
#ifndef LAPISLINE_T_LIB_RELAY_H
#define LAPISLINE_T_LIB_RELAY_H

struct relay;

/** Forwards two ports to two addresses until the test process exits. */
struct relay *relay_new (const char *to0, const char *to1);
const char *relay_addr (struct relay *r, int which);

/** Discards all further data of the open connections without closing them. New
   connections work. */
void relay_blackhole (struct relay *r);

/** Closes all connections, and new ones as soon as they are accepted. */
void relay_close_connections (struct relay *r);
/** Ends that. */
void relay_accept_connections (struct relay *r);

#endif
