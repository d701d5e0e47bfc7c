/*
 * Backend server of a plain service for review cases.
 *
 * usage: rack-server PORT ID WORK_MS LOG [SUFFIX]
 *
 * It runs each request for WORK_MS and answers 200 with the id of the request,
 * a seal and a body.  LOG gets a line for each request that it begins to run,
 * has answered, or drops as its caller has gone.  SUFFIX stands after the
 * length in the Content-Length field of its answers.  After SIGUSR1 it leaves:
 * all its answers say so.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_CONNS 400
#define HEAD 32768

struct conn
{
  int fd;
  size_t len;
  long long answer_at; /* 0: no request is running */
  char id[128];
  char in[HEAD];
};

static struct conn *conns[MAX_CONNS];
static int nconns, work_ms;
static const char *own_id, *suffix = "";
static FILE *out;
static volatile sig_atomic_t leaving;

static long long
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static void
record (const char *what, const char *id)
{
  fprintf (out, "server %s: %s %s\n", own_id, what, id);
  fflush (out);
}

static void
on_leave (int signum)
{
  (void)signum;
  leaving = 1;
}

/** Copies the value of a field of the head. */
static void
field (const char *head, const char *name, char *value, size_t size)
{
  const char *line = head;
  size_t n = strlen (name);

  value[0] = '\0';
  while ((line = strstr (line, "\r\n")) != NULL)
    {
      line += 2;
      if (strncasecmp (line, name, n) != 0 || line[n] != ':')
        continue;
      line += n + 1;
      while (*line == ' ')
        line++;
      snprintf (value, size, "%.*s", (int)strcspn (line, "\r"), line);
      return;
    }
}

static void
send_text (struct conn *c, const char *text)
{
  if (send (c->fd, text, strlen (text), MSG_NOSIGNAL) < 0)
    perror ("rack-server: send");
}

static void
answer (struct conn *c)
{
  char text[1024], body[200];
  int n = snprintf (body, sizeof body, "{\"server\":\"%s\"}\n", own_id);

  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "X-Lapisline-Request-Id: %s\r\nX-Lapisline-Response-Seal: %s.1\r\n"
            "%sContent-Length: %d%s\r\n\r\n%s",
            c->id, own_id, leaving ? "Server-Leaving: 1\r\n" : "", n, suffix,
            body);
  send_text (c, text);
  record ("answers", c->id);
  c->answer_at = 0;
}

/** Starts to run the request that the input holds, if it is complete. */
static void
start_request (struct conn *c)
{
  char value[128];
  char *end;
  size_t size;

  c->in[c->len] = '\0';
  end = strstr (c->in, "\r\n\r\n");
  if (c->answer_at || !end)
    return;
  field (c->in, "content-length", value, sizeof value);
  size = (size_t)(end + 4 - c->in) + (size_t)atoi (value);
  if (c->len < size)
    return;
  field (c->in, "x-lapisline-request-id", c->id, sizeof c->id);
  field (c->in, "x-lapisline-expect-instance", value, sizeof value);
  c->len -= size;
  memmove (c->in, c->in + size, c->len);
  if (strcmp (value, own_id) != 0)
    {
      send_text (c, "HTTP/1.1 421 Misdirected Request\r\n"
                    "X-Lapisline-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
  record ("runs", c->id);
  c->answer_at = now_ms () + work_ms;
}

static void
close_conn (int i)
{
  if (conns[i]->answer_at)
    record ("drops, as its caller has gone,", conns[i]->id);
  close (conns[i]->fd);
  free (conns[i]);
  conns[i] = conns[--nconns];
}

int
main (int argc, char **argv)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  struct pollfd p[MAX_CONNS + 1];
  int fd = socket (AF_INET, SOCK_STREAM, 0), on = 1;

  signal (SIGPIPE, SIG_IGN);
  signal (SIGUSR1, on_leave);
  if (argc < 5 || !(out = fopen (argv[4], "a")))
    return 2;
  own_id = argv[2];
  work_ms = atoi (argv[3]);
  if (argc > 5)
    suffix = argv[5];
  a.sin_port = htons ((unsigned short)atoi (argv[1]));
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) != 0 || listen (fd, 200) != 0)
    {
      perror ("rack-server");
      return 2;
    }
  for (;;)
    {
      p[0] = (struct pollfd){ .fd = fd,
                              .events = nconns < MAX_CONNS ? POLLIN : 0 };
      for (int i = 0; i < nconns; i++)
        p[i + 1] = (struct pollfd){ .fd = conns[i]->fd, .events = POLLIN };
      if (poll (p, (nfds_t)nconns + 1, 10) < 0)
        continue; /* a signal */
      for (int i = nconns; i-- > 0;)
        {
          struct conn *c = conns[i];
          ssize_t n;
          if (p[i + 1].revents)
            {
              n = read (c->fd, c->in + c->len, HEAD - 1 - c->len);
              if (n <= 0)
                {
                  close_conn (i);
                  continue;
                }
              c->len += (size_t)n;
            }
          if (c->answer_at && now_ms () >= c->answer_at)
            answer (c);
          start_request (c);
        }
      if (p[0].revents)
        {
          int to = accept (fd, NULL, NULL);
          if (to < 0)
            continue;
          setsockopt (to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
          conns[nconns] = calloc (1, sizeof *conns[0]);
          conns[nconns++]->fd = to;
        }
    }
}
