/**
 * @file
 * TCP proxy (no relay node) in a thread of the test; imitates a middlebox.
 */
#ifndef LAPISLINE_T_LIB_RELAY_H
#define LAPISLINE_T_LIB_RELAY_H

#include <stdbool.h>

struct relay;

/** Forwards two ports to two addresses until the test process exits. */
struct relay *relay_new (const char *to0, const char *to1);
const char *relay_addr (struct relay *r, int which);

/** Discards all further data of the open connections without closing them. New
   connections work. */
void relay_blackhole (struct relay *r);

/** Forwards the response to the next request that contains @p text only after
    @p ms.  The text is not copied. */
void relay_delay (struct relay *r, const char *text, int ms);
/** Whether that request has been forwarded. */
bool relay_has_delayed (struct relay *r);

/** Closes all connections, and new ones as soon as they are accepted. */
void relay_close_connections (struct relay *r);
/** Ends that. */
void relay_accept_connections (struct relay *r);

#endif
