/*
 * Backend servers and callers whose connections break, stall or say too much:
 * what the caller sees, and that no other caller sees any of it.
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

/** Connect without waiting longer than a moment; -1 when nobody took it. */
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

/** Whether this machine has a connection under way to a port. */
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

/* Thousands of streams open at once, and the backend server's queue of
   connections is full for a moment: the kernel drops the first packet of the
   next one and repeats it after 1 s.  The caller must get its answer; it was
   refused, as the limit to connect ran out at the same moment.  */
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
