/**
 * @file
 * Scripted tests over real sockets, with one event loop in one thread.
 *
 * A test executes the lines of a script.  Events are logged one per line, and
 * the log is compared as one string at the end.  A script waits for a log line
 * with a timeout, never for a fixed time.
 */
#ifndef LAPISLINE_T_LIB_NET_H
#define LAPISLINE_T_LIB_NET_H

#include <uv.h>

#include "net/httpc.h"

struct run
{
  uv_loop_t loop;
  struct buf log;
  size_t matched_end; /**< log offset after the last line matched */
};

/** Executes one line of a script: its first word and the rest. */
typedef void (*run_fn) (void *ctx, struct str word, struct str rest);

void run_init (struct run *r);

void run_log (struct run *r, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/**
 * Runs the loop until @p line appears in the log after the line matched last;
 * fails the test after 10 s.
 */
void run_until (struct run *r, struct str line);

/** Handles the events that are ready now, without blocking. */
void run_poll (struct run *r);

/** Executes each line of a script; "wait TEXT" calls run_until(). */
void run_script (struct run *r, const char *script, run_fn fn, void *ctx);

/** Compares the log, closes the loop and checks that no handle is open. */
void run_end (struct run *r, const char *expected);

/** Loopback address with port 0, for a port assigned by the kernel. */
struct net_addr run_any_loopback (void);

/** Listens on run_any_loopback() with a raw socket; returns the bound address.
 */
struct net_addr run_listen (struct run *r, uv_tcp_t *tcp, uv_connection_cb cb,
                            void *data);

/** Server whose accept queue is full for a while. */
struct run_full_backlog
{
  uv_tcp_t tcp;
  uv_timer_t accept_timer;
  uv_connection_cb cb;
  int filler_fd; /**< client socket that fills the queue; 0: not started */
};

/**
 * Starts to accept connections only after @p ms.  Until then one connection
 * fills the accept queue, and the kernel drops the SYN of any other.
 */
struct net_addr run_full_backlog_start (struct run *r,
                                        struct run_full_backlog *backlog,
                                        uint64_t ms, uv_connection_cb cb,
                                        void *data);
void run_full_backlog_stop (struct run_full_backlog *backlog);

void run_connect (struct run *r, uv_tcp_t *tcp, const struct net_addr *to,
                  uv_connect_t *req, uv_connect_cb cb, void *data);

/** Reads from a raw socket; the bytes are valid during @p cb. */
void run_read (uv_tcp_t *tcp, uv_read_cb cb);

/** Writes to a raw socket; a write error is ignored. */
void run_write (uv_tcp_t *tcp, struct str bytes);

/** Log text for the result of a client call. */
const char *run_call_end_name (enum httpc_end end);

#endif
