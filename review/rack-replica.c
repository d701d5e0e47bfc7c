/*
 * Stand-in for one replica of a service without models, on a loopback address.
 *
 *   rack-replica ID PORT RECORD [SPOIL-FILE SPOIL-PER-MILLE]
 *
 * It answers a path below /stream/ with ten events that are 20 ms apart, and
 * any other path with a short body.  Each request that it runs is a line
 * "run ID METHOD TARGET BODY-BYTES" in the file RECORD.
 *
 * While SPOIL-FILE exists, SPOIL-PER-MILLE of 1,000 of its streams are spoilt:
 * after two events come bytes that are no event, at 1,000 Mbit/s, until the
 * caller closes the connection or 10 s have passed.
 *
 *   rack-replica ports N
 *
 * prints N free ports.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536
#define EVENTS 10
#define EVENT_GAP_US 20000
#define LINK_BYTES_PER_S 125000000.0
#define SPOIL_S 10.0

static const char *id, *spoil_file;
static int spoil_per_mille;
static FILE *record;

static double
now (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static int
send_all (int fd, const char *p, size_t n)
{
  while (n > 0)
    {
      ssize_t k = send (fd, p, n, MSG_NOSIGNAL);
      if (k <= 0)
        return -1;
      p += k;
      n -= (size_t)k;
    }
  return 0;
}

static void
find_header (const char *head, const char *name, char *out, size_t size)
{
  size_t len = strlen (name);

  *out = '\0';
  for (const char *p = strstr (head, "\r\n"); p; p = strstr (p, "\r\n"))
    {
      p += 2;
      if (strncasecmp (p, name, len) != 0 || p[len] != ':')
        continue;
      p += len + 1;
      while (*p == ' ')
        p++;
      size_t n = strcspn (p, "\r\n");
      if (n >= size)
        n = size - 1;
      memcpy (out, p, n);
      out[n] = '\0';
      return;
    }
}

static int
send_spoilt (int fd)
{
  static char junk[65536];
  double start = now (), sent = 0, ahead;

  memset (junk, 'x', sizeof junk);
  while (now () - start < SPOIL_S)
    {
      if (send_all (fd, junk, sizeof junk) != 0)
        return -1;
      sent += sizeof junk;
      ahead = sent / LINK_BYTES_PER_S - (now () - start);
      if (ahead > 0)
        usleep ((useconds_t)(ahead * 1e6));
    }
  return -1;
}

static int
send_stream (int fd, const char *head, unsigned *seed)
{
  int spoilt = spoil_file && access (spoil_file, F_OK) == 0
               && (int)(rand_r (seed) % 1000) < spoil_per_mille;
  char text[64];

  if (send_all (fd, head, strlen (head)) != 0)
    return -1;
  for (int i = 1; i <= EVENTS; i++)
    {
      int n = snprintf (text, sizeof text, "id: %d\ndata: w%d\n\n", i, i);
      if (send_all (fd, text, (size_t)n) != 0)
        return -1;
      if (spoilt && i == 2)
        return send_spoilt (fd);
      usleep (EVENT_GAP_US);
    }
  return -1; /* the response has no length: it ends with its connection */
}

/* Answers one request; 0 if the connection stays open. */
static int
answer (int fd, const char *head, size_t body, unsigned *seed)
{
  char request[128], expected[128], method[32], target[8192], out[1024];
  int n;

  find_header (head, "x-lapisline-request-id", request, sizeof request);
  find_header (head, "x-lapisline-expect-instance", expected,
               sizeof expected);
  if (sscanf (head, "%31s %8191s", method, target) != 2)
    return -1;
  if (strcmp (target, "/h") == 0 || strcmp (target, "/report") == 0)
    {
      n = snprintf (out, sizeof out,
                    "HTTP/1.1 200 OK\r\nX-Lapisline-Replica-Id: %s\r\n"
                    "Content-Length: 2\r\n\r\n{}",
                    id);
      return send_all (fd, out, (size_t)n);
    }
  if (expected[0] && strcmp (expected, id) != 0)
    {
      n = snprintf (out, sizeof out,
                    "HTTP/1.1 421 Misdirected Request\r\n"
                    "X-Lapisline-Request-Id: %s\r\nContent-Length: 0\r\n\r\n",
                    request);
      return send_all (fd, out, (size_t)n);
    }
  fprintf (record, "run %s %s %s %zu\n", request, method, target, body);
  fflush (record);
  if (strncmp (target, "/stream/", 8) == 0)
    {
      snprintf (out, sizeof out,
                "HTTP/1.1 200 OK\r\nX-Lapisline-Request-Id: %s\r\n"
                "X-Lapisline-Response-Seal: %s\r\n"
                "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
                request, id);
      return send_stream (fd, out, seed);
    }
  n = snprintf (out, sizeof out,
                "HTTP/1.1 200 OK\r\nX-Lapisline-Request-Id: %s\r\n"
                "X-Lapisline-Response-Seal: %s\r\nContent-Length: 2\r\n\r\nok",
                request, id);
  return send_all (fd, out, (size_t)n);
}

static void *
serve (void *arg)
{
  int fd = (int)(long)arg;
  unsigned seed = (unsigned)fd ^ (unsigned)(now () * 1e6);
  char *head = malloc (HEAD_MAX + 1), length[32], *end;
  size_t have = 0;
  ssize_t k;

  for (;;)
    {
      head[have] = '\0';
      end = strstr (head, "\r\n\r\n");
      if (!end)
        {
          k = have < HEAD_MAX ? recv (fd, head + have, HEAD_MAX - have, 0) : 0;
          if (k <= 0)
            break;
          have += (size_t)k;
          continue;
        }
      end[2] = '\0';
      find_header (head, "content-length", length, sizeof length);
      size_t body = (size_t)atol (length), used = (size_t)(end + 4 - head);
      size_t got = have - used < body ? have - used : body;
      char rest[65536];
      for (size_t left = body - got; left > 0; left -= (size_t)k)
        if ((k = recv (fd, rest, left < sizeof rest ? left : sizeof rest, 0))
            <= 0)
          goto done;
      if (answer (fd, head, body, &seed) != 0)
        break;
      memmove (head, head + used + got, have - used - got);
      have -= used + got;
    }
done:
  close (fd);
  free (head);
  return NULL;
}

static int
listen_on (int port, struct sockaddr_in *at)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  socklen_t len = sizeof *at;

  *at = (struct sockaddr_in){ .sin_family = AF_INET,
                              .sin_port = htons ((uint16_t)port) };
  at->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)at, sizeof *at) != 0
      || listen (fd, 1024) != 0)
    return -1;
  getsockname (fd, (struct sockaddr *)at, &len);
  return fd;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in at;
  pthread_attr_t attr;
  pthread_t t;
  int fd;

  if (argc == 3 && strcmp (argv[1], "ports") == 0)
    {
      for (int i = atoi (argv[2]); i > 0 && listen_on (0, &at) >= 0; i--)
        printf ("%d\n", ntohs (at.sin_port));
      return 0;
    }
  if (argc != 4 && argc != 6)
    return 2;
  id = argv[1];
  record = fopen (argv[3], "a");
  if (argc == 6)
    {
      spoil_file = argv[4];
      spoil_per_mille = atoi (argv[5]);
    }
  fd = listen_on (atoi (argv[2]), &at);
  if (fd < 0 || !record)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  pthread_attr_init (&attr);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attr, 1 << 20);
  for (;;)
    {
      int c = accept (fd, NULL, NULL);
      if (c >= 0 && pthread_create (&t, &attr, serve, (void *)(long)c) != 0)
        close (c);
    }
}
