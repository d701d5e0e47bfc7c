/*
 * Stand-in for clients.
 *
 *   rack-caller ADDR[,ADDR...] KEY METHOD TARGET CALLERS SECONDS RECORD
 *
 * CALLERS threads send one request after the other, each on a new connection
 * to one of the addresses, for SECONDS; with 0, each sends one request.  Each
 * request is a line "ID ADDR STATUS END" in RECORD: the status, or 0, and
 * whether the response was "whole" or "cut".  A caller waits 25 ms before its
 * next request, and 0.1 s more if it got no answer.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define ADDRS_MAX 16
#define ANSWER_MAX 262144
#define DEADLINE_S 8
#define PAUSE_US 25000
#define NO_ANSWER_PAUSE_US 100000

static char *addrs[ADDRS_MAX];
static int naddrs;
static const char *key, *method, *target;
static double until;
static FILE *record;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static double
now (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static int
connect_to (const char *addr)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  struct timeval limit = { .tv_sec = DEADLINE_S };
  char host[64];
  int port, fd = socket (AF_INET, SOCK_STREAM, 0);

  if (sscanf (addr, "%63[^:]:%d", host, &port) != 2)
    return -1;
  at.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, host, &at.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&at, sizeof at) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Whether a response that ended with its connection is complete. */
static int
is_whole (const char *text, size_t n)
{
  const char *body = strstr (text, "\r\n\r\n"), *length;

  if (!body)
    return 0;
  body += 4;
  if ((length = strcasestr (text, "\r\ncontent-length:")) && length < body)
    return (size_t)(text + n - body) == (size_t)atol (length + 17);
  return n >= 5 && memcmp (text + n - 5, "0\r\n\r\n", 5) == 0;
}

static int
call (const char *addr, const char *id, char *answer, int *status)
{
  char head[16384];
  size_t have = 0;
  ssize_t k;
  int fd = connect_to (addr), n, whole;

  *status = 0;
  if (fd < 0)
    return 0;
  n = snprintf (head, sizeof head,
                "%s %s HTTP/1.1\r\nHost: h\r\nX-Lapisline-Request-Id: %s\r\n"
                "X-Lapisline-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n"
                "Connection: close\r\n%s\r\n",
                method, target, id, DEADLINE_S * 1000, key,
                strcmp (method, "GET") ? "Content-Length: 0\r\n" : "");
  if (send (fd, head, (size_t)n, MSG_NOSIGNAL) == n)
    while (have < ANSWER_MAX
           && (k = recv (fd, answer + have, ANSWER_MAX - have, 0)) > 0)
      have += (size_t)k;
  answer[have] = '\0';
  close (fd);
  whole = is_whole (answer, have);
  if (have > 12)
    *status = atoi (answer + 9);
  return whole;
}

static void *
work (void *arg)
{
  long number = (long)arg;
  unsigned seed = (unsigned)number + (unsigned)getpid ();
  char *answer = malloc (ANSWER_MAX + 1), id[64];
  int status, whole;

  for (int i = 1; i == 1 || now () < until; i++)
    {
      const char *addr = addrs[rand_r (&seed) % (unsigned)naddrs];
      snprintf (id, sizeof id, "c%d-%ld-%d", (int)getpid (), number, i);
      whole = call (addr, id, answer, &status);
      pthread_mutex_lock (&lock);
      fprintf (record, "%s %s %d %s\n", id, addr, status,
               whole ? "whole" : "cut");
      fflush (record);
      pthread_mutex_unlock (&lock);
      usleep (PAUSE_US + (status == 0 ? NO_ANSWER_PAUSE_US : 0));
    }
  free (answer);
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t t[256];
  int n;

  if (argc != 8 || (n = atoi (argv[5])) < 1 || n > 256)
    return 2;
  for (char *p = strtok (argv[1], ","); p && naddrs < ADDRS_MAX;
       p = strtok (NULL, ","))
    addrs[naddrs++] = p;
  key = argv[2];
  method = argv[3];
  target = argv[4];
  until = now () + atof (argv[6]);
  record = fopen (argv[7], "a");
  if (!record || naddrs == 0)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  for (long i = 0; i < n; i++)
    pthread_create (&t[i], NULL, work, (void *)(i + 1));
  for (int i = 0; i < n; i++)
    pthread_join (t[i], NULL);
  return 0;
}
