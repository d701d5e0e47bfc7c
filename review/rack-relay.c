/*
 * TCP relay for review cases: forwards loopback connections between a node
 * and the store or another node, and can stop doing so.
 *
 * usage: rack-relay CONTROL_PORT [FROM TO]... LISTEN:TARGET...
 *
 * FROM and TO are texts of equal length that begin with a quotation mark.
 * FROM is replaced where it stands in the base64 text of a store item that the
 * target sends, so that a node finds the relay's port in the entry of another
 * node or of a server.
 *
 * Control, by HTTP GET on CONTROL_PORT:
 *   /cut             forward nothing; new connections get no answer
 *   /heal            forward again; what was held is delivered, unless its
 *                    sender has closed the connection
 *   /silence/PORT    forward nothing any more on the connections that were
 *                    opened to this port so far; new ones work
 *   /slow/MS/TEXT    hold the response to the next request that contains TEXT
 *                    for MS milliseconds
 *   /slowed          number of responses that were held
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
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_LISTENERS 8
#define MAX_SUBST 8
#define MAX_PAIRS 200
#define BUFFER (256 * 1024)

struct side
{
  int fd;
  char *held; /* received from fd, not yet sent to the other side */
  size_t len;
  bool ended; /* end of input */
};

struct pair
{
  struct side s[2]; /* 0: the node that connected, 1: the target */
  long long hold_until;
  int port; /* that was connected to */
  bool silent;
};

static struct listener
{
  int fd, port, target;
} listeners[MAX_LISTENERS];
static int nlisteners;
static struct pair pairs[MAX_PAIRS];
static int npairs;
static bool is_cut;
static char slow_text[128];
static int slow_ms, slowed;

/** Replacements in base64 text, one for each alignment. */
static struct
{
  char from[128], to[128];
  size_t len;
} subst[3 * MAX_SUBST];
static size_t nsubst;

static long long
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static void
die (const char *what)
{
  perror (what);
  exit (2);
}

static struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET };

  a.sin_port = htons ((unsigned short)port);
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return a;
}

static int
listen_on (int port)
{
  struct sockaddr_in a = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM, 0), on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) != 0 || listen (fd, 100) != 0)
    die ("rack-relay: listen");
  fcntl (fd, F_SETFL, O_NONBLOCK);
  return fd;
}

static void
encode (const char *text, size_t skip, char *out, size_t *len)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t bits = 8 * (skip + strlen (text)), n = 0;

  for (size_t i = (8 * skip + 5) / 6; i < bits / 6; i++)
    {
      unsigned v = 0;
      for (size_t b = 6 * i; b < 6 * i + 6; b++)
        {
          unsigned char c = (unsigned char)text[b / 8 - skip];
          v = v << 1 | (c >> (7 - b % 8) & 1);
        }
      out[n++] = digits[v];
    }
  *len = n;
}

static void
set_subst (const char *from, const char *to)
{
  if (strlen (from) != strlen (to) || strlen (from) > 90
      || nsubst == 3 * MAX_SUBST)
    {
      fprintf (stderr, "rack-relay: %s can't replace %s\n", to, from);
      exit (2);
    }
  for (size_t k = 0; k < 3; k++)
    {
      encode (from, k, subst[nsubst].from, &subst[nsubst].len);
      encode (to, k, subst[nsubst].to, &subst[nsubst].len);
      nsubst++;
    }
}

static void
apply_subst (char *text, size_t n)
{
  for (size_t k = 0; k < nsubst; k++)
    {
      char *at = text;
      while ((at = memmem (at, n - (size_t)(at - text), subst[k].from,
                              subst[k].len))
                    != NULL)
        memcpy (at, subst[k].to, subst[k].len);
    }
}

static void
close_pair (struct pair *p)
{
  for (int i = 0; i < 2; i++)
    {
      close (p->s[i].fd);
      free (p->s[i].held);
    }
  *p = pairs[--npairs];
}

static void
accept_pair (struct listener *l)
{
  struct sockaddr_in a = loopback (l->target);
  int fd = accept (l->fd, NULL, NULL), to, on = 1;
  struct pair *p = &pairs[npairs];

  if (fd < 0)
    return;
  to = socket (AF_INET, SOCK_STREAM, 0);
  if (npairs == MAX_PAIRS || connect (to, (struct sockaddr *)&a, sizeof a) != 0)
    {
      close (fd);
      close (to);
      return;
    }
  memset (p, 0, sizeof *p);
  p->port = l->port;
  p->s[0].fd = fd;
  p->s[1].fd = to;
  for (int i = 0; i < 2; i++)
    {
      p->s[i].held = malloc (BUFFER);
      setsockopt (p->s[i].fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      fcntl (p->s[i].fd, F_SETFL, O_NONBLOCK);
    }
  npairs++;
}

static void
receive (struct pair *p, int i)
{
  struct side *s = &p->s[i];
  ssize_t n = read (s->fd, s->held + s->len, BUFFER - s->len);

  if (n <= 0)
    {
      s->ended = true;
      return;
    }
  if (i == 0 && slow_ms
      && memmem (s->held + s->len, (size_t)n, slow_text, strlen (slow_text)))
    {
      p->hold_until = now_ms () + slow_ms;
      slow_ms = 0;
      slowed++;
    }
  if (i == 1)
    apply_subst (s->held + s->len, (size_t)n);
  s->len += (size_t)n;
}

static bool
may_send (const struct pair *p, int i)
{
  return !is_cut && !p->silent && p->s[i].len > 0
         && (i == 0 || now_ms () >= p->hold_until);
}

static void
send_held (struct pair *p, int i)
{
  struct side *s = &p->s[i];
  ssize_t n = send (p->s[1 - i].fd, s->held, s->len, MSG_NOSIGNAL);

  if (n <= 0)
    return;
  s->len -= (size_t)n;
  memmove (s->held, s->held + n, s->len);
}

static void
silence (int port)
{
  for (int i = 0; i < npairs; i++)
    pairs[i].silent |= pairs[i].port == port;
}

static void
control (int listener)
{
  int fd = accept (listener, NULL, NULL);
  char text[512] = "", answer[200], body[40];
  ssize_t n;
  int port;

  if (fd < 0)
    return;
  n = read (fd, text, sizeof text - 1);
  text[n > 0 ? n : 0] = '\0';
  if (strncmp (text, "GET /cut ", 9) == 0)
    is_cut = true;
  else if (strncmp (text, "GET /heal ", 10) == 0)
    is_cut = false;
  else if (sscanf (text, "GET /silence/%d ", &port) == 1)
    silence (port);
  else if (sscanf (text, "GET /slow/%d/%100s ", &slow_ms, slow_text) < 1
           && strncmp (text, "GET /slowed ", 12) != 0)
    strcpy (text, "");
  n = snprintf (body, sizeof body, "%d\n", slowed);
  snprintf (answer, sizeof answer,
            "HTTP/1.1 %s\r\nContent-Length: %zd\r\nConnection: close\r\n\r\n%s",
            text[0] ? "200 OK" : "404 Not Found", n, body);
  if (write (fd, answer, strlen (answer)) < 0)
    perror ("rack-relay: control");
  close (fd);
}

int
main (int argc, char **argv)
{
  struct pollfd p[2 * MAX_PAIRS + MAX_LISTENERS + 1];
  int at = 2, control_fd;

  signal (SIGPIPE, SIG_IGN);
  if (argc < 3)
    return 2;
  control_fd = listen_on (atoi (argv[1]));
  for (; at + 1 < argc && argv[at][0] == '"'; at += 2)
    set_subst (argv[at], argv[at + 1]);
  for (; at < argc && nlisteners < MAX_LISTENERS; at++, nlisteners++)
    {
      struct listener *l = &listeners[nlisteners];
      if (sscanf (argv[at], "%d:%d", &l->port, &l->target) != 2)
        return 2;
      l->fd = listen_on (l->port);
    }
  for (;;)
    {
      int n = 0;
      p[n++] = (struct pollfd){ .fd = control_fd, .events = POLLIN };
      for (int i = 0; i < nlisteners; i++)
        p[n++] = (struct pollfd){ .fd = listeners[i].fd,
                                  .events = is_cut ? 0 : POLLIN };
      int first = n;
      for (int i = 0; i < npairs; i++)
        for (int k = 0; k < 2; k++)
          {
            const struct side *s = &pairs[i].s[k];
            short events = may_send (&pairs[i], 1 - k) ? POLLOUT : 0;
            if (!s->ended && s->len < BUFFER)
              events |= POLLIN;
            p[n++] = (struct pollfd){ .fd = events ? s->fd : -1,
                                      .events = events };
          }
      if (poll (p, (nfds_t)n, 20) < 0)
        die ("rack-relay: poll");
      for (int i = (n - first) / 2; i-- > 0;)
        {
          for (int k = 0; k < 2; k++)
            {
              short got = p[first + 2 * i + k].revents;
              if (got & (POLLIN | POLLHUP | POLLERR))
                receive (&pairs[i], k);
              if (may_send (&pairs[i], 1 - k) && got & POLLOUT)
                send_held (&pairs[i], 1 - k);
            }
          /* Held bytes are lost when their sender closes during a cut. */
          for (int k = 0; k < 2; k++)
            if (pairs[i].s[k].ended
                && (pairs[i].s[k].len == 0 || is_cut || pairs[i].silent
                    || pairs[i].s[1 - k].ended))
              {
                if ((is_cut || pairs[i].silent) && !pairs[i].s[1 - k].ended)
                  {
                    pairs[i].s[k].len = 0;
                    continue; /* the other end learns of it after the cut */
                  }
                close_pair (&pairs[i]);
                break;
              }
        }
      if (p[0].revents)
        control (control_fd);
      for (int i = 0; i < nlisteners; i++)
        if (p[1 + i].revents && !is_cut)
          accept_pair (&listeners[i]);
    }
}
