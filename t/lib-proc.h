/**
 * @file
 * Real processes and plain HTTP calls for tests.
 *
 * Every wait is bounded: a process that hangs fails its test, it never hangs
 * the run.  proc_stop_all() belongs into each suite's teardown (.fini).
 */
#ifndef LAPISLINE_T_LIB_PROC_H
#define LAPISLINE_T_LIB_PROC_H

#include <signal.h>

#include "base/str.h"

/** Usual bound of one wait, generous for a busy machine with sanitizers. */
#define PROC_WAIT_MS 20000

struct proc;

/** Path of a program beside this test's folder, e.g. "lapisline", "standin".
    Valid until proc_stop_all(). */
const char *proc_binary (const char *name);

/**
 * Start a program; standard error is the test's own.
 * @param argv  NULL-terminated; argv[0] is a path or a name for proc_binary()
 */
struct proc *proc_start (const char *const argv[]);

/** Start a program whose output is appended to a file: more than a pipe holds.
 */
struct proc *proc_start_to (const char *const argv[], const char *path);

/** proc_start() with the arguments in a row: PROC ("standin", "store"). */
#define PROC(...) proc_start ((const char *const[]){ __VA_ARGS__, NULL })

/** Wait for the line that begins with "ready"; false on end or timeout. */
bool proc_ready (struct proc *p, int wait_ms);

/** Address printed as KEY=ADDR in the ready line, or NULL; valid until
    proc_stop_all(). */
const char *proc_addr (const struct proc *p, const char *key);

/** Start, wait until ready, and fail the test otherwise. */
struct proc *proc_up (const char *const argv[]);
#define PROC_UP(...) proc_up ((const char *const[]){ __VA_ARGS__, NULL })

pid_t proc_pid (const struct proc *p);
void proc_signal (struct proc *p, int sig);

/**
 * Wait for the end.
 * @return exit status, 128 + signal, or -1 when it still runs
 */
int proc_wait (struct proc *p, int wait_ms);

/** All standard output so far, the ready line included (after proc_wait()
    everything). */
struct str proc_output (struct proc *p);

/** Run a command to its end: status as of proc_wait(), output appended. */
int proc_run (const char *const argv[], struct buf *output, int wait_ms);
#define PROC_RUN(output, ...)                                                 \
  proc_run ((const char *const[]){ __VA_ARGS__, NULL }, (output), PROC_WAIT_MS)

/** Kill what this test started and remove its folder. */
void proc_stop_all (void);

/** This test's own folder under the temporary folder. */
const char *proc_dir (void);

/**
 * Write secret.txt, another one for each test.  The port of a process that a
 * test has killed is soon another test's; under one secret for all, the
 * survivors would take that test's node, of the same name, for their own.
 */
const char *proc_secret (void);

/**
 * Write a file into proc_dir(); folders in @p name are made.
 * @return its path, valid until proc_stop_all()
 */
const char *proc_file (const char *name, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/** A port that nobody has and that the kernel gives to no connection, for
   processes of this test: one may be started again at its address. */
int proc_port (void);

/** Address with such a port, valid until proc_stop_all(). */
const char *proc_listen (void);

/** A whole answer. */
struct web_answer
{
  int status;      /**< 0: no head came */
  bool whole;      /**< complete by its length or its last chunk */
  struct buf head; /**< status line and headers as they came */
  struct buf body;
};

/**
 * One call over a connection of its own.
 * @param headers  lines that end in "\r\n", or NULL
 * @param body     or NULL
 * @return whether a whole answer came
 */
bool web_call (const char *addr, const char *method, const char *path,
               const char *headers, const char *body, struct web_answer *out);
void web_free (struct web_answer *a);

/** Value of a header by its lower-case name, or the empty view. */
struct str web_header (const struct web_answer *a, const char *name);

/** GET until the body holds @p text, at most @p wait_ms. */
bool web_until (const char *addr, const char *path, const char *headers,
                const char *text, int wait_ms);

/** An answer read piece by piece. */
struct web_stream;

/** Connect and send the request; NULL when nobody listens. */
struct web_stream *web_open (const char *addr, const char *method,
                             const char *path, const char *headers,
                             const char *body);

/** Send a further request over the connection, once the last answer was read
    to its end; false when that was not so, or the other end will close it. */
bool web_next (struct web_stream *s, const char *addr, const char *method,
               const char *path, const char *headers, const char *body);

/** Wait for the head: its status, or 0. */
int web_status (struct web_stream *s, int wait_ms);

/** Status line and headers as they came, once web_status() gave one. */
const char *web_stream_head (struct web_stream *s);

enum web_read
{
  WEB_BYTES,  /**< something was appended */
  WEB_WHOLE,  /**< clean end */
  WEB_BROKEN, /**< the connection ended before the answer's end */
  WEB_TIMEOUT
};
enum web_read web_read (struct web_stream *s, struct buf *out, int wait_ms);

/** Read on until @p out holds @p text or the answer ends. */
bool web_read_until (struct web_stream *s, struct buf *out, const char *text,
                     int wait_ms);

/** Close the connection, also in the middle of an answer. */
void web_close (struct web_stream *s);

#endif
