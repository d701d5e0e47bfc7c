#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "t/lib-proc.h"

TestSuite (proc, .fini = proc_stop_all, .timeout = 60);

Test (proc, output_and_status_of_a_command)
{
  struct buf out = BUF_INIT;
  cr_assert_eq (PROC_RUN (&out, "lapisline", "--version"), 0);
  cr_assert_str_eq (buf_c (&out), "lapisline 0.1.0\n");
  buf_clear (&out);
  cr_assert_eq (PROC_RUN (&out, "lapisline", "no-such-command"), 2);
  buf_free (&out);
}

Test (proc, ready_line_signal_and_end)
{
  struct proc *p
      = PROC_START_READY ("/bin/sh", "-c",
                          "echo warming; echo ready x http=127.0.0.1:7 "
                          "peer=127.0.0.1:8; exec sleep 60");
  cr_assert_str_eq (proc_addr (p, "peer"), "127.0.0.1:8");
  cr_assert_null (proc_addr (p, "swim"));
  cr_assert_eq (proc_wait (p, 0), -1);
  proc_signal (p, SIGTERM);
  cr_assert_eq (proc_wait (p, PROC_WAIT_MS), 128 + SIGTERM);
}

Test (proc, a_process_that_ends_is_never_ready)
{
  struct proc *p = PROC ("/bin/sh", "-c", "echo nothing; exit 3");
  cr_assert (!proc_ready (p, PROC_WAIT_MS));
  cr_assert_eq (proc_wait (p, PROC_WAIT_MS), 3);
  cr_assert (str_is (proc_output (p), "nothing\n"));
}

/*
 * A process ends and is started again at the address that it had.  The kernel
 * gives ports of its own range to connections, so one of these may be taken
 * between the two lives, and the second ends with "address already in use".
 */
Test (proc, ports_that_no_connection_is_given)
{
  int first = 0, last = 0, before = 0;
  FILE *f = fopen ("/proc/sys/net/ipv4/ip_local_port_range", "r");

  cr_assert_not_null (f);
  cr_assert_eq (fscanf (f, "%d %d", &first, &last), 2);
  fclose (f);
  for (int i = 0; i < 20; i++)
    {
      int port = proc_port ();
      cr_expect (port < first || port > last, "%d", port);
      cr_expect_neq (port, before);
      before = port;
    }
}

/*
 * Two tests with many processes chose the same ports before any of these
 * listened, and the processes of the second ended with "address already in
 * use".
 */
Test (proc, ports_that_no_other_test_is_given)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  const int on = 1;
  int other = socket (AF_INET, SOCK_STREAM, 0);
  int server = socket (AF_INET, SOCK_STREAM, 0);

  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  sa.sin_port = htons ((uint16_t)proc_port ());
  cr_expect_neq (bind (other, (struct sockaddr *)&sa, sizeof sa), 0);
  setsockopt (server, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  cr_expect_eq (bind (server, (struct sockaddr *)&sa, sizeof sa), 0);
  cr_expect_eq (listen (server, 1), 0);
  close (other);
  close (server);
}
