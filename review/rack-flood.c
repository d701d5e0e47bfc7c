/*
 * Client of one account for review cases: keeps CONNS connections open and
 * sends one request after the other on each, with a model that the
 * configuration doesn't have.
 *
 * usage: rack-flood PORT CONNS NAME_BYTES SECONDS same|other
 *
 * other: each request names another model.  Prints the number of answers by
 * status when it ends.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_CONNS 200

static struct conn
{
  int fd;
  size_t len;
  char in[4096];
} conns[MAX_CONNS];
static int port, name_bytes;
static bool other;
static unsigned long sent, answers[1000];

static void
send_request (struct conn *c)
{
  char name[20000], text[24000];
  int n = snprintf (name, sizeof name, "m%lu", other ? sent : 0UL);

  memset (name + n, 'x', (size_t)(name_bytes - n));
  name[name_bytes] = '\0';
  snprintf (text, sizeof text,
            "POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: k2\r\n"
            "X-Lapisline-Request-Id: f%lu\r\nX-Lapisline-Deadline-Ms: 8000\r\n"
            "X-Lapisline-Model: %s\r\nContent-Length: 0\r\n\r\n",
            sent++, name);
  c->len = 0;
  if (send (c->fd, text, strlen (text), MSG_NOSIGNAL) < 0)
    exit (1);
}

static void
open_conn (struct conn *c)
{
  struct sockaddr_in a = { .sin_family = AF_INET };

  a.sin_port = htons ((unsigned short)port);
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  c->fd = socket (AF_INET, SOCK_STREAM, 0);
  if (connect (c->fd, (struct sockaddr *)&a, sizeof a) != 0)
    exit (1);
  send_request (c);
}

/** @return whether the answer is complete */
static bool
receive (struct conn *c)
{
  ssize_t n = read (c->fd, c->in + c->len, sizeof c->in - 1 - c->len);
  char *end, *length;

  if (n <= 0)
    exit (1);
  c->len += (size_t)n;
  c->in[c->len] = '\0';
  end = strstr (c->in, "\r\n\r\n");
  length = strcasestr (c->in, "content-length:");
  if (!end || !length
      || c->len < (size_t)(end + 4 - c->in) + (size_t)atoi (length + 15))
    return false;
  answers[atoi (c->in + 9) % 1000]++;
  return true;
}

static void
print_answers (void)
{
  printf ("%lu requests sent; answers:", sent);
  for (int i = 0; i < 1000; i++)
    if (answers[i])
      printf (" %lu with %d", answers[i], i);
  printf ("\n");
}

int
main (int argc, char **argv)
{
  struct pollfd p[MAX_CONNS];
  int n;
  time_t end;

  signal (SIGPIPE, SIG_IGN);
  if (argc != 6 || (n = atoi (argv[2])) > MAX_CONNS || atoi (argv[3]) > 16000)
    return 2;
  atexit (print_answers);
  port = atoi (argv[1]);
  name_bytes = atoi (argv[3]);
  end = time (NULL) + atoi (argv[4]);
  other = strcmp (argv[5], "other") == 0;
  for (int i = 0; i < n; i++)
    open_conn (&conns[i]);
  while (time (NULL) < end)
    {
      for (int i = 0; i < n; i++)
        p[i] = (struct pollfd){ .fd = conns[i].fd, .events = POLLIN };
      if (poll (p, (nfds_t)n, 100) < 0)
        return 2;
      for (int i = 0; i < n; i++)
        if (p[i].revents && receive (&conns[i]))
          send_request (&conns[i]);
    }
}
