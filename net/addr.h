/**
 * @dir net
 * TCP and HTTP on one libuv loop.
 *
 *   addr.h   addresses: IP number and port
 *   httpc.h  HTTP calls: connect, send, head, body..., end
 *   httpd.h  HTTP server: a request is read whole, handled, answered
 *   link.h   framed links between our own processes: connecting, up, down
 *
 * Each object lives from its _new, _start or _listen function to its last
 * callback or _free; no callback comes from within the call that starts it.
 * Callers are the process shells (front/, control/), the store's adapter and
 * the commands; the decision cores use addr.h only.
 */
/**
 * @file
 * Where a process listens or connects to.  Names are never resolved: a name
 * service that answers late or wrong would be one more thing that fails.
 */
#ifndef LAPISLINE_NET_ADDR_H
#define LAPISLINE_NET_ADDR_H

#include "base/str.h"

struct sockaddr_storage;

/** IP number and port; text form is a.b.c.d:port or [v6]:port. */
struct net_addr
{
  char host[46]; /**< ended by NUL */
  uint16_t port; /**< 0: the kernel's choice, for listening only */
};

/** False unless @p s is an IP number with a port (0 only if @p allow_zero). */
bool net_addr_parse (struct str s, bool allow_zero, struct net_addr *out);

/** Append the text form. */
void net_addr_format (const struct net_addr *a, struct buf *out);
bool net_addr_eq (const struct net_addr *a, const struct net_addr *b);

/** For the calls of the system; 0, or a negative error of libuv when the host
    is no IP number. */
int net_addr_sockaddr (const struct net_addr *a, struct sockaddr_storage *out);

#endif
