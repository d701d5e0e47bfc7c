/**
 * @dir net
 * TCP and HTTP on one libuv loop.
 *
 *   addr.h   addresses: IP number and port
 *   httpc.h  HTTP calls: connect, send, head, body..., end
 *   httpd.h  HTTP server: reads a complete request, calls the handler, sends
 *            the response
 *   link.h   framed links between lapisline processes: connecting, up, down
 *
 * Each object exists from its _new, _start or _listen function until its last
 * callback or _free; no callback runs within the call that starts it.  Users
 * are the processes (front/, control/), the store's adapter and the commands;
 * the decision cores use addr.h only.
 */
/**
 * @file
 * Addresses to listen on or connect to.  Host names are never resolved, so
 * that a slow or faulty name service is no additional source of failures.
 */
#ifndef LAPISLINE_NET_ADDR_H
#define LAPISLINE_NET_ADDR_H

#include "base/str.h"

struct sockaddr_storage;

/** IP number and port; text form is a.b.c.d:port or [v6]:port. */
struct net_addr
{
  char host[46]; /**< NUL-terminated */
  uint16_t port; /**< 0: assigned by the kernel, for listening only */
};

/** False unless @p s is an IP number with a port (0 only if @p allow_zero). */
bool net_addr_parse (struct str s, bool allow_zero, struct net_addr *out);

/** Append the text form. */
void net_addr_format (const struct net_addr *a, struct buf *out);
bool net_addr_eq (const struct net_addr *a, const struct net_addr *b);

/** Convert for socket calls; returns 0, or a negative libuv error if the host
    is no IP number. */
int net_addr_sockaddr (const struct net_addr *a, struct sockaddr_storage *out);

#endif
