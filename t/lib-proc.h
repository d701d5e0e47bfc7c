/**
 * @file
 * Child processes and plain HTTP calls for tests.
 *
 * Every wait has a timeout, so a process that hangs fails its test instead of
 * blocking the run.  Each suite must call proc_stop_all() as its teardown
 * (.fini).
 */
#ifndef LAPISLINE_T_LIB_PROC_H
#define LAPISLINE_T_LIB_PROC_H

#include <signal.h>

#include "base/str.h"

/** Default timeout, long enough for sanitizers on a loaded machine. */
#define PROC_WAIT_MS 20000

struct proc;

/** Path of a program in the build directory, e.g. "lapisline", "standin".
    Valid until proc_stop_all(). */
const char *proc_binary_path (const char *name);

/**
 * Starts a program; it inherits the standard error of the test.
 * @param argv  NULL-terminated; argv[0] is a path or a program name
 */
struct proc *proc_start (const char *const argv[]);

/** Starts a program and appends its output to a file.  Use it for output that
    exceeds the capacity of a pipe. */
struct proc *proc_start_to (const char *const argv[], const char *path);

/** proc_start() with variable arguments: PROC ("standin", "store"). */
#define PROC(...) proc_start ((const char *const[]){ __VA_ARGS__, NULL })

/** Waits for the line that begins with "ready"; false on exit or timeout. */
bool proc_ready (struct proc *p, int wait_ms);

/** Value of KEY=ADDR in the ready line, or NULL; valid until
    proc_stop_all(). */
const char *proc_addr (const struct proc *p, const char *key);

/** Starts a program and waits until it is ready; fails the test otherwise. */
struct proc *proc_start_ready (const char *const argv[]);
#define PROC_START_READY(...)                                                 \
  proc_start_ready ((const char *const[]){ __VA_ARGS__, NULL })

/**
 * Limits the freed memory that the address sanitizer retains in processes
 * started from now on.  It counts as resident memory of the process.
 * @param mb  0: none is retained
 */
void proc_set_quarantine_mb (int mb);

/** Whether the programs are built with the address sanitizer, whose own memory
    is a multiple of theirs. */
bool proc_is_sanitized (void);

/** Resident memory, in kB; 0: the process has ended. */
long proc_memory_kb (const struct proc *p);

pid_t proc_pid (const struct proc *p);
void proc_signal (struct proc *p, int sig);

/**
 * Waits for the process to exit.
 * @return exit status, 128 + signal, or -1 on timeout
 */
int proc_wait (struct proc *p, int wait_ms);

/** Standard output read so far, including the ready line; complete once
    proc_wait() has returned the exit status. */
struct str proc_output (struct proc *p);

/** Runs a command until it exits; returns the status as proc_wait() does and
    appends the output. */
int proc_run (const char *const argv[], struct buf *output, int wait_ms);
#define PROC_RUN(output, ...)                                                 \
  proc_run ((const char *const[]){ __VA_ARGS__, NULL }, (output), PROC_WAIT_MS)

/** Kills all processes of this test and removes its temporary directory. */
void proc_stop_all (void);

/** Temporary directory of this test, created on the first call. */
const char *proc_dir (void);

/**
 * Writes secret.txt with a secret that differs between tests.  The port of a
 * killed process is soon reused by another test.  With a common secret, the
 * remaining processes would accept that test's node, which has the same name,
 * as their own peer.
 */
const char *proc_secret (void);

/**
 * Writes a file below proc_dir() and creates the directories in @p name.
 * @return path of the file, valid until proc_stop_all()
 */
const char *proc_file (const char *name, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Reserves an unused port outside the kernel's ephemeral range for a process
    of this test, which can be restarted at the same address. */
int proc_port (void);

/** Loopback address with a proc_port(); valid until proc_stop_all(). */
const char *proc_listen (void);

struct web_answer
{
  int status;      /**< 0: no headers received */
  bool whole;      /**< received completely, according to its framing */
  struct buf head; /**< status line and headers as received */
  struct buf body;
};

/**
 * Makes one call over a new connection.
 * @param headers  lines that end in "\r\n", or NULL
 * @param body     request body, or NULL
 * @return whether the complete response was received
 */
bool web_call (const char *addr, const char *method, const char *path,
               const char *headers, const char *body, struct web_answer *out);
void web_free (struct web_answer *a);

/** Value of a header, by case-insensitive name; empty if missing. */
struct str web_header (const struct web_answer *a, const char *name);

/** Repeats a GET until the body contains @p text; false after @p wait_ms. */
bool web_poll_until (const char *addr, const char *path, const char *headers,
                     const char *text, int wait_ms);

/** HTTP connection whose responses are read incrementally. */
struct web_stream;

/** Connects and sends @p bytes, which may be none or a part of a request; NULL
    if the connection fails.  web_next() sends a request on it. */
struct web_stream *web_connect (const char *addr, const char *bytes);

/** Connects and sends the request; NULL if the connection fails. */
struct web_stream *web_open (const char *addr, const char *method,
                             const char *path, const char *headers,
                             const char *body);

/** Sends another request over the connection.  False if the previous response
    was not read to its end or had "connection: close". */
bool web_next (struct web_stream *s, const char *addr, const char *method,
               const char *path, const char *headers, const char *body);

/** Waits for the response headers; returns the status, 0 on timeout or EOF. */
int web_status (struct web_stream *s, int wait_ms);

/** Status line and headers; valid once web_status() returned a status. */
const char *web_stream_head (struct web_stream *s);

enum web_read
{
  WEB_BYTES,  /**< bytes were appended to the buffer */
  WEB_WHOLE,  /**< the response is complete */
  WEB_BROKEN, /**< the connection closed before the end of the response */
  WEB_TIMEOUT
};
enum web_read web_read (struct web_stream *s, struct buf *out, int wait_ms);

/** Reads until @p out contains @p text; false if the response ends first or
    after @p wait_ms. */
bool web_read_until (struct web_stream *s, struct buf *out, const char *text,
                     int wait_ms);

/** Closes the connection, even in the middle of a response. */
void web_close (struct web_stream *s);

#endif
