/*
 * Connections of backend servers and callers that break, stall or carry
 * unexpected bytes: what the caller receives, and that other callers are not
 * affected.
 */
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "t/lib-front.h"

#define TEXT "/v1/completions"
#define MAX_FILL 5000

TestSuite (broken, .fini = proc_stop_all, .timeout = 120);

/* ---- raw sockets ---- */

static struct sockaddr_in
sockaddr_of (const char *addr)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  unsigned port = 0;

  cr_assert_eq (sscanf (addr, "127.0.0.1:%u", &port), 1);
  sa.sin_port = htons ((uint16_t)port);
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return sa;
}

/** Connect with a short timeout; -1 if the connection was not accepted. */
static int
connect_briefly (const struct sockaddr_in *sa)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct pollfd p = { .fd = fd, .events = POLLOUT };

  if (connect (fd, (const struct sockaddr *)sa, sizeof *sa) == 0
      || poll (&p, 1, 50) == 1)
    return fd;
  close (fd);
  return -1;
}

/** Whether this machine has a pending connection attempt to a port. */
static bool
connecting_to (const struct sockaddr_in *sa)
{
  char line[256], wanted[32];
  bool found = false;
  FILE *f = fopen ("/proc/net/tcp", "r");

  /* "SLOT: LOCAL REMOTE STATE ..."; state 02 is SYN_SENT. */
  snprintf (wanted, sizeof wanted, "0100007F:%04X 02", ntohs (sa->sin_port));
  while (f != NULL && !found && fgets (line, sizeof line, f) != NULL)
    found = strstr (line, wanted) != NULL;
  if (f != NULL)
    fclose (f);
  return found;
}

/* ---- tests ---- */

/* Guards against refusing requests while a backend server's accept queue is
   full for a moment, as when thousands of streams are opened at once.  The
   kernel drops the SYN and retransmits it after 1 s, when the connect timeout
   expired too. */
Test (broken, full_queue_of_connections)
{
  struct front f;
  static int fill[MAX_FILL];
  int n = 0;

  front_up (&f, "", "");
  struct sockaddr_in sa = sockaddr_of (proc_addr (f.quote, "http"));
  proc_signal (f.quote, SIGSTOP);
  while (n < MAX_FILL && (fill[n] = connect_briefly (&sa)) >= 0)
    n++;
  cr_assert_lt (n, MAX_FILL, "the queue does not get full");
  struct web_stream *s
      = web_open (f.http, "GET", "/svc/quote-api/x", FRONT_KEY, NULL);
  cr_assert_not_null (s);
  for (int i = 0; i < 1000 && !connecting_to (&sa); i++)
    usleep (1000);
  cr_expect (connecting_to (&sa));
  proc_signal (f.quote, SIGCONT);
  cr_expect_eq (web_status (s, PROC_WAIT_MS), 200);
  web_close (s);
  while (n > 0)
    close (fill[--n]);
}

/* Guards against a caller that waits forever for a stalled stream.  The engine
   stops in the middle of a stream and keeps its connection open; after
   progress_ms the caller must get an incomplete stream whose last event has
   the outcome failed. */
Test (broken, stalled_stream_is_cut)
{
  struct front f;
  struct buf got = BUF_INIT;
  enum web_read last;

  front_up (&f, "\"first_byte_ms\": 60000, \"progress_ms\": 700", "");
  front_fault_both (f.vm, "{\"stall\": true}");
  struct web_stream *s = web_open (f.http, "POST", TEXT, FRONT_KEY,
                                   front_prompt ("stalls", true, 20));
  cr_assert_eq (web_status (s, PROC_WAIT_MS), 200);
  while ((last = web_read (s, &got, PROC_WAIT_MS)) == WEB_BYTES)
    ;
  cr_expect_eq (last, WEB_BROKEN);
  cr_expect_not_null (strstr (buf_c (&got), " w3"));
  cr_expect_null (strstr (buf_c (&got), "[DONE]"));
  cr_expect_not_null (strstr (buf_c (&got), "event: lapis-outcome\ndata: "
                                            "{\"outcome\":\"failed\","
                                            "\"code\":\"silent\"}"));
  for (int i = 0; i < 2; i++)
    cr_expect (front_count_is (f.vm[i], "open", 0));
  web_close (s);
  buf_free (&got);
}

/** Close with a reset, as when a process dies with unread bytes. */
static void
reset (int fd)
{
  struct linger now = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (fd);
}

/* Guards against forwarding an incomplete request body: clients reset their
   connections after half of a booking.  The next caller must be served. */
Test (broken, reset_in_mid_body)
{
  static const char half[]
      = "POST /svc/soko-api/bookings HTTP/1.1\r\n"
        "host: x\r\n" FRONT_KEY "content-type: application/json\r\n"
        "content-length: 40\r\n\r\n{\"bay\":7,";
  struct front f;
  struct buf log = BUF_INIT;

  front_up (&f, "", "");
  struct sockaddr_in sa = sockaddr_of (f.http);
  for (int i = 0; i < 50; i++)
    {
      int fd = connect_briefly (&sa);
      cr_assert_geq (fd, 0);
      cr_assert_eq (write (fd, half, strlen (half)), (ssize_t)strlen (half));
      reset (fd);
    }
  front_log (&f, &log, "POST", "/svc/soko-api/bookings", FRONT_KEY, "{}");
  cr_expect_str_eq (buf_c (&log),
                    "POST /svc/soko-api/bookings -> 200 done -\n");
  cr_expect_eq (front_count_both (f.soko, "runs"), 1);
  cr_expect (web_poll_until (f.http, "/metrics", NULL,
                             "\nlapisline_open_requests 0\n", PROC_WAIT_MS));
  buf_free (&log);
}

/* ---- a backend server of raw bytes ---- */

static int
listen_at (const struct sockaddr_in *sa)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  cr_assert_eq (bind (fd, (const struct sockaddr *)sa, sizeof *sa), 0);
  cr_assert_eq (listen (fd, 16), 0);
  return fd;
}

static void
wait_readable (int fd)
{
  struct pollfd p = { .fd = fd, .events = POLLIN };
  cr_assert_eq (poll (&p, 1, PROC_WAIT_MS), 1);
}

/** Read a request without a body. */
static void
read_request (int fd)
{
  struct buf got = BUF_INIT;

  while (strstr (buf_c (&got), "\r\n\r\n") == NULL)
    {
      char bytes[4096];
      wait_readable (fd);
      ssize_t n = read (fd, bytes, sizeof bytes);
      cr_assert_gt (n, 0);
      buf_add (&got, str_make (bytes, (size_t)n));
    }
  buf_free (&got);
}

static void
write_answer (int fd, const char *body)
{
  struct buf b = BUF_INIT;

  buf_addf (&b, "HTTP/1.1 200 OK\r\ncontent-length: %zu\r\n\r\n%s",
            strlen (body), body);
  cr_assert_eq (send (fd, b.ptr, b.len, MSG_NOSIGNAL), (ssize_t)b.len);
  buf_free (&b);
}

/** Check that a caller's response consists of @p body only. */
static void
expect_answer (struct web_stream *s, const char *body)
{
  struct buf got = BUF_INIT;

  cr_expect_eq (web_status (s, PROC_WAIT_MS), 200);
  while (web_read (s, &got, PROC_WAIT_MS) == WEB_BYTES)
    ;
  cr_expect_str_eq (buf_c (&got), body);
  web_close (s);
  buf_free (&got);
}

/* Guards against response mix-ups by unsolicited bytes on reused connections.
   A backend server sends two responses to the first call, and an additional
   one on the idle connection after the second.  Each call must use a
   connection without unread bytes, and each caller must get its own response.
 */
Test (broken, answers_that_nobody_asked_for)
{
  struct front f;
  struct web_stream *s;
  int conn[3];

  front_up (&f, "", "");
  struct sockaddr_in sa = sockaddr_of (proc_addr (f.quote, "http"));
  proc_signal (f.quote, SIGKILL);
  proc_wait (f.quote, PROC_WAIT_MS);
  int listener = listen_at (&sa);
  for (int i = 0; i < 3; i++)
    {
      char own[16];
      snprintf (own, sizeof own, "call-%d", i);
      s = web_open (f.http, "GET", "/svc/quote-api/x", FRONT_KEY, NULL);
      cr_assert_not_null (s);
      wait_readable (listener);
      conn[i] = accept (listener, NULL, NULL);
      read_request (conn[i]);
      write_answer (conn[i], own);
      if (i == 0)
        write_answer (conn[i], "somebody else's");
      expect_answer (s, own);
      if (i == 1)
        write_answer (conn[i], "somebody else's");
    }
  for (int i = 0; i < 3; i++)
    close (conn[i]);
  close (listener);
}

/** Make a call whose response has no length and ends when the connection is
    closed.
    @param reset_it  the connection is reset instead of closed
    @return the status, negated if the caller's response is incomplete */
static int
call_closed (const struct front *f, int listener, const char *type,
             const char *body, bool reset_it)
{
  struct web_stream *s
      = web_open (f->http, "POST", "/svc/quote-api/x", FRONT_KEY, "{}");
  struct buf head = BUF_INIT, got = BUF_INIT;
  enum web_read last;
  int status, fd;

  cr_assert_not_null (s);
  wait_readable (listener);
  fd = accept (listener, NULL, NULL);
  read_request (fd);
  buf_addf (&head, "HTTP/1.1 200 OK\r\ncontent-type: %s\r\n\r\n%s", type,
            body);
  cr_assert_eq (send (fd, head.ptr, head.len, MSG_NOSIGNAL),
                (ssize_t)head.len);
  usleep (20000); /* the gateway has read the body before a reset */
  if (reset_it)
    reset (fd);
  else
    close (fd);
  status = web_status (s, PROC_WAIT_MS);
  while ((last = web_read (s, &got, PROC_WAIT_MS)) == WEB_BYTES)
    ;
  web_close (s);
  buf_free (&head);
  buf_free (&got);
  return last == WEB_WHOLE ? status : -status;
}

/* Guards against truncated responses that look complete.  A response without
   length or chunks ends when its connection is closed; it is incomplete if the
   connection was reset, if an event stream ended inside an event, or if the
   server crashed before the body. */
Test (broken, answers_that_end_with_their_connection)
{
  static const char stream[] = "text/event-stream";
  static const char events[] = "data: 1\n\ndata: 2\n\n";
  struct front f;

  front_up (&f, "", "");
  struct sockaddr_in sa = sockaddr_of (proc_addr (f.quote, "http"));
  proc_signal (f.quote, SIGKILL);
  proc_wait (f.quote, PROC_WAIT_MS);
  int listener = listen_at (&sa);
  cr_expect_eq (call_closed (&f, listener, "text/plain", "hello", false), 200);
  cr_expect_eq (call_closed (&f, listener, stream, events, false), 200);
  cr_expect_neq (call_closed (&f, listener, "text/plain", "", false), 200);
  cr_expect_neq (call_closed (&f, listener, "text/plain", "hello", true), 200);
  for (size_t n = 1; n < sizeof events - 1; n++)
    {
      char *part = str_dup (str_make (events, n));
      bool whole = n == strlen ("data: 1\n\n");
      int status = call_closed (&f, listener, stream, part, false);
      cr_expect_eq (status == 200, whole, "after %zu bytes: %d", n, status);
      free (part);
    }
  close (listener);
}

/** Status that the caller of a call gets whose server answers with this one.
 */
static int
call_with_status (const struct front *f, int listener, const char *status)
{
  struct web_stream *s
      = web_open (f->http, "POST", "/svc/quote-api/x", FRONT_KEY, "{}");
  struct buf answer = BUF_INIT;
  int got, fd;

  cr_assert_not_null (s);
  wait_readable (listener);
  fd = accept (listener, NULL, NULL);
  read_request (fd);
  buf_addf (&answer,
            "HTTP/1.1 %s x\r\ncontent-length: 2\r\n"
            "connection: close\r\n\r\nno",
            status);
  send (fd, answer.ptr, answer.len, MSG_NOSIGNAL);
  close (fd);
  got = web_status (s, PROC_WAIT_MS);
  web_close (s);
  buf_free (&answer);
  return got;
}

/* Guards against passing on a response whose status is no final one: a faulty
   server's "000" reached the caller as an answer. */
Test (broken, status_that_is_none)
{
  static const char *const none[]
      = { "000", "099", "100", "101", "199", "600", "999", "20", "-20" };
  struct front f;

  front_up (&f, "", "");
  struct sockaddr_in sa = sockaddr_of (proc_addr (f.quote, "http"));
  proc_signal (f.quote, SIGKILL);
  proc_wait (f.quote, PROC_WAIT_MS);
  int listener = listen_at (&sa);
  for (size_t i = 0; i < sizeof none / sizeof none[0]; i++)
    {
      int got = call_with_status (&f, listener, none[i]);
      cr_expect_eq (got, 502, "%s: %d", none[i], got);
    }
  cr_expect_eq (call_with_status (&f, listener, "204"), 204);
  cr_expect_eq (call_with_status (&f, listener, "599"), 599);
  close (listener);
}
