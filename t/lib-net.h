/**
 * @file
 * Scripted runs over real sockets, all in one loop on one thread.
 *
 * A test runs the lines of a script; what happens is written line by line
 * into a log that is compared as one string.  Waiting is always for a line
 * of the log, with a bound, never for a time.
 */
#ifndef LAPISLINE_T_LIB_NET_H
#define LAPISLINE_T_LIB_NET_H

#include <uv.h>

#include "net/httpc.h"

struct run
{
  uv_loop_t loop;
  struct buf log;
  size_t seen; /**< end of the line last waited for */
};

/** Runs one line of a script: a word and the rest. */
typedef void (*run_fn) (void *ctx, struct str word, struct str rest);

void run_init (struct run *r);

/** Write one line into the log. */
void run_log (struct run *r, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/**
 * Turn the loop until @p line is written after the one last waited for;
 * fails after 10 s.
 */
void run_until (struct run *r, struct str line);

/** Turn the loop while there is something to do at once. */
void run_settle (struct run *r);

/** Run each line; "wait TEXT" is built in. */
void run_script (struct run *r, const char *script, run_fn fn, void *ctx);

/** Compare the log, then close the loop and check that nothing is left. */
void run_end (struct run *r, const char *expected);

/** Loopback with a port of the kernel's choice. */
struct net_addr run_any_port (void);

/** Listen on it with a raw socket; the address that it got. */
struct net_addr run_listen (struct run *r, uv_tcp_t *tcp, uv_connection_cb cb,
                            void *data);

/** A server whose queue of connections is full for a while. */
struct run_busy
{
  uv_tcp_t tcp;
  uv_timer_t until;
  uv_connection_cb cb;
  int caller; /**< the connection that fills it; 0: not up */
};

/**
 * Take up connections after @p ms only.  One lies in the queue from the
 * start; the first packet of any other is dropped.
 */
struct net_addr run_busy_up (struct run *r, struct run_busy *busy, uint64_t ms,
                             uv_connection_cb cb, void *data);
void run_busy_down (struct run_busy *busy);

/** Connect a raw socket. */
void run_connect (struct run *r, uv_tcp_t *tcp, const struct net_addr *to,
                  uv_connect_t *req, uv_connect_cb cb, void *data);

/** Read from a raw socket; its bytes are valid during @p cb. */
void run_read (uv_tcp_t *tcp, uv_read_cb cb);

/** Write to a raw socket; a socket that is gone is left alone. */
void run_write (uv_tcp_t *tcp, struct str bytes);

/** Name of the end of a call. */
const char *run_end_name (enum httpc_end end);

#endif
