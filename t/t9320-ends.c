/*
 * Responses with neither a length nor chunks, which end with their connection
 * at any byte, with real nodes and servers of raw bytes.  See "Which ends of a
 * response prove a run" in docs/design/crashing-requests.md.
 */
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "platform/names.h"
#include "t/lib-rack.h"

TestSuite (ends, .fini = proc_stop_all, .timeout = 120);

#define SERVERS 2
#define EVENT_1 "id: 1\ndata: w1\n\n"
#define EVENT_2 "id: 2\ndata: w2\n\n"
#define EVENT_LEN (sizeof EVENT_1 - 1)
#define BODY EVENT_1 EVENT_2
#define BODY_LEN (sizeof BODY - 1)
/** Time in which a server would be checked after a response. */
#define CHECK_US 10000
#define CHECK_WAIT_MS ((clk_ms)2000)
/** Number of complete responses before each that is cut: a server that breaks
    off too many of its responses gets no requests for some time. */
#define SOUND_REQUESTS 8
/** Interval between two heartbeats of the servers' entries. */
#define HEARTBEAT_MS ((clk_ms)400)

/** A server of the plain service, in a thread. */
struct server
{
  pthread_t thread;
  char id[8];
  int listener, port;
};

static struct server servers[SERVERS];
static struct rack r;
#define CUT_NONE (-1)
/** Byte of the body at which the next response ends, or CUT_NONE. */
static atomic_int cut_at;
static atomic_bool cut_resets; /**< the next response ends with a reset */
static atomic_int attempts, checks;

/* --- the servers --------------------------------------------------------- */

/** Reads a request with its body; false if there is none. */
static bool
read_request (int fd, char *text, size_t size)
{
  size_t len = 0;
  const char *end, *length;

  for (;;)
    {
      ssize_t n = read (fd, text + len, size - len - 1);
      if (n <= 0)
        return false;
      len += (size_t)n;
      text[len] = '\0';
      end = strstr (text, "\r\n\r\n");
      if (!end)
        continue;
      length = strcasestr (text, "content-length: ");
      if (!length || length > end
          || text + len
                 >= end + 4 + atoi (length + strlen ("content-length: ")))
        return true;
    }
}

/** Value of a header, up to the end of the line; "" if missing. */
static void
copy_header (const char *text, const char *name, char *value, size_t size)
{
  char start[64];
  const char *at;

  snprintf (start, sizeof start, "\r\n%s: ", name);
  at = strcasestr (text, start);
  snprintf (value, size, "%.*s",
            at ? (int)strcspn (at + strlen (start), "\r") : 0,
            at ? at + strlen (start) : "");
}

static void
write_text (int fd, const char *text, size_t len)
{
  cr_assert_eq (write (fd, text, len), (ssize_t)len);
}

static void
close_connection (int fd, bool reset)
{
  struct linger now = { 1, 0 };

  if (reset)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (fd);
}

/** Runs a request: the first attempt ends at @ref cut_at, later ones are
    complete and have a length. */
static void
run_request (const struct server *s, int fd, const char *request)
{
  char id[64], last[16], head[512], type[32];
  int cut = atomic_exchange (&cut_at, CUT_NONE);
  const char *body = BODY;

  atomic_fetch_add (&attempts, 1);
  copy_header (request, PLT_H_REQUEST_ID, id, sizeof id);
  copy_header (request, PLT_H_LAST_EVENT, last, sizeof last);
  body += EVENT_LEN * (size_t)atoi (last);
  snprintf (type, sizeof type, "%s",
            strstr (request, "/events/") ? "text/event-stream" : "text/plain");
  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\ncontent-type: %s\r\n" PLT_H_REQUEST_ID
            ": %s\r\n" PLT_H_SEAL ": %s\r\nconnection: close\r\n",
            type, id, s->id);
  write_text (fd, head, strlen (head));
  if (cut == CUT_NONE)
    {
      snprintf (head, sizeof head, "content-length: %zu\r\n", strlen (body));
      write_text (fd, head, strlen (head));
      cut = (int)strlen (body);
    }
  write_text (fd, "\r\n", 2);
  write_text (fd, body, (size_t)cut);
}

/** Answers one request. @return whether the connection is to be reset */
static bool
answer_request (const struct server *s, int fd)
{
  static const char report[]
      = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}";
  static const char check[] = "GET " PLT_REPORT;
  char request[8192];
  bool resets;

  if (!read_request (fd, request, sizeof request))
    return false;
  if (strncmp (request, check, sizeof check - 1) == 0)
    {
      atomic_fetch_add (&checks, 1);
      write_text (fd, report, sizeof report - 1);
      return false;
    }
  resets = atomic_exchange (&cut_resets, false);
  run_request (s, fd, request);
  return resets;
}

static void *
serve (void *ctx)
{
  const struct server *s = ctx;
  const struct timeval timeout = { .tv_usec = 200000 };

  for (int fd; (fd = accept (s->listener, NULL, NULL)) >= 0;)
    {
      setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
      close_connection (fd, answer_request (s, fd));
    }
  return NULL;
}

static void
start_server (struct server *s, int number)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t len = sizeof at;

  snprintf (s->id, sizeof s->id, "x%d", number);
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  s->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  cr_assert_eq (bind (s->listener, (struct sockaddr *)&at, len), 0);
  cr_assert_eq (listen (s->listener, 64), 0);
  getsockname (s->listener, (struct sockaddr *)&at, &len);
  s->port = ntohs (at.sin_port);
  cr_assert_eq (pthread_create (&s->thread, NULL, serve, s), 0);
}

/** Writes the servers' entries again once they are due. */
static void
send_heartbeats (void)
{
  static clk_ms last;
  static int seq;

  if (seq > 0 && clk_now () - last < HEARTBEAT_MS)
    return;
  last = clk_now ();
  seq++;
  for (int i = 0; i < SERVERS; i++)
    rack_set (&r,
              "{\"entry\": {\"id\": \"%s\", \"value\": "
              "\"{\\\"service\\\":\\\"app\\\",\\\"address\\\":"
              "\\\"127.0.0.1:%d\\\",\\\"zone\\\":\\\"z1\\\","
              "\\\"version\\\":\\\"v1\\\",\\\"capacity\\\":8,"
              "\\\"state\\\":\\\"ready\\\",\\\"seq\\\":%d,"
              "\\\"cold_left_ms\\\":0}\"}}",
              servers[i].id, servers[i].port, seq);
}

/* --- the cases ----------------------------------------------------------- */

static void
start (void)
{
  rack_set_retry_budget (1, 1000);
  rack_prepare_nodes (&r, 4, 1, NULL);
  rack_configure (&r, 1, "k1",
                  ",{\"name\": \"e\", \"host\": \"h\", \"prefix\": "
                  "\"/events/\", \"kind\": \"streaming\", \"timeout_ms\": "
                  "20000, \"goal_ms\": 1000, \"gap_goal_ms\": 500, "
                  "\"priority\": 1, \"service\": \"app\", \"max_attempts\": "
                  "3, \"resumable\": true}");
  for (int i = 0; i < SERVERS; i++)
    start_server (&servers[i], i + 1);
  rack_set (&r, "{\"server\": \"p1\", \"dead\": true}");
  rack_set (&r, "{\"server\": \"p2\", \"dead\": true}");
  atomic_store (&cut_at, CUT_NONE);
  send_heartbeats ();
  rack_start_node (&r, 0);
  cr_assert (rack_call_until (&r, 0, "/events/x", rack_headers ("warm"), 200));
}

struct outcome
{
  int status;
  const char *body;
  size_t len;
  int attempts;
  bool
      checked; /**< the server's process is checked: the run was interrupted */
};

/** Requests a response that ends at byte @p cut of the body. */
static void
expect_outcome (const char *path, int cut, bool reset,
                const struct outcome *expected)
{
  static int n;
  struct web_answer a = { 0 };
  char id[16], body[32], what[64];
  int checks_before = atomic_load (&checks), checks_due;
  clk_ms end;

  send_heartbeats ();
  for (int i = 0; i < SOUND_REQUESTS; i++)
    cr_expect_eq (rack_call (&r, 0, "/safe/x", "sound", NULL, NULL), 200);
  snprintf (id, sizeof id, "c%d", ++n);
  snprintf (body, sizeof body, "request %d", n);
  snprintf (what, sizeof what, "%s %s at byte %d", path,
            reset ? "reset" : "closed", cut);
  atomic_store (&attempts, 0);
  atomic_store (&cut_resets, reset);
  atomic_store (&cut_at, cut);
  web_call (r.front[0], "POST", path, rack_headers (id), body, &a);
  cr_expect (a.whole, "%s: incomplete", what);
  cr_expect_eq (a.status, expected->status, "%s: status %d", what, a.status);
  if (expected->status == 200)
    cr_expect (
        str_eq (buf_str (&a.body), str_make (expected->body, expected->len)),
        "%s: got \"%s\"", what, buf_c (&a.body));
  cr_expect_eq (atomic_load (&attempts), expected->attempts, "%s: %d attempts",
                what, atomic_load (&attempts));
  /* The other server is checked, too, as only its answer makes a refused
     connection the end of a process. */
  checks_due = expected->checked ? SERVERS : 0;
  end = clk_now () + (expected->checked ? CHECK_WAIT_MS : 0);
  do
    usleep (CHECK_US);
  while (atomic_load (&checks) < checks_before + checks_due
         && clk_now () < end);
  cr_expect_eq (atomic_load (&checks) - checks_before, checks_due,
                "%s: %d checks", what, atomic_load (&checks) - checks_before);
  web_free (&a);
}

static const struct outcome repeated = { 200, BODY, BODY_LEN, 2, true };

/* Guards against a stream that a crash has cut and that counts as complete:
   only one closed at the end of an event does. */
Test (ends, stream_is_complete_at_the_end_of_an_event_only)
{
  start ();
  for (int cut = 0; cut <= (int)BODY_LEN; cut++)
    {
      const struct outcome whole = { 200, BODY, (size_t)cut, 1, false };
      bool at_end = cut > 0 && cut % (int)EVENT_LEN == 0;
      expect_outcome ("/events/x", cut, false, at_end ? &whole : &repeated);
      expect_outcome ("/events/x", cut, true, &repeated);
    }
}

/* Guards against a response that a reset has cut and that counts as complete;
   one that was closed is, with any body. */
Test (ends, plain_response_is_complete_unless_reset)
{
  static const struct outcome broken = { 502, "", 0, 1, true };

  start ();
  for (int cut = 0; cut <= (int)BODY_LEN; cut++)
    {
      const struct outcome whole = { 200, BODY, (size_t)cut, 1, false };
      expect_outcome ("/safe/x", cut, false, &whole);
      expect_outcome ("/safe/x", cut, true, &repeated);
      expect_outcome ("/once/x", cut, false, &whole);
      expect_outcome ("/once/x", cut, true, &broken);
    }
}
