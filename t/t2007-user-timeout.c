/*
 * Options that the libraries set on the sockets of this project.
 */
#include <criterion/criterion.h>
#include <dirent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "net/httpd.h"
#include "net/link.h"
#include "t/lib-net.h"

struct ends
{
  struct run run;
  struct link *client;
};

static void
on_request (void *ctx, struct httpd_req *req)
{
  (void)ctx;
  httpd_begin (req, 200, NULL, 0); /* stays open */
  httpd_write (req, STR ("x"));
}

static void
on_head (void *ctx, int status, const struct http_header *h, size_t n)
{
  struct ends *e = ctx;

  (void)h;
  (void)n;
  run_log (&e->run, "response %d", status);
}

static void
on_body (void *ctx, struct str bytes)
{
  (void)ctx;
  (void)bytes;
}

static void
on_end (void *ctx, enum httpc_end end)
{
  (void)ctx;
  (void)end;
}

static void
on_state (void *ctx, struct link *l, enum link_state state)
{
  struct ends *e = ctx;

  if (state == LINK_UP && l == e->client)
    run_log (&e->run, "link up");
}

static void
on_frame (void *ctx, struct link *l, const Lapis__Frame *frame)
{
  (void)ctx;
  (void)l;
  (void)frame;
}

/** Counts the connected TCP sockets of this process.
    @param timeouts  receives how many of them have a user timeout */
static int
count_connections (int *timeouts)
{
  DIR *dir = opendir ("/proc/self/fd");
  int connections = 0;

  *timeouts = 0;
  for (struct dirent *d; (d = readdir (dir)) != NULL;)
    {
      struct sockaddr_storage peer;
      socklen_t len = sizeof peer, size = sizeof (unsigned);
      unsigned ms = 0;
      int fd = atoi (d->d_name);
      if (getpeername (fd, (struct sockaddr *)&peer, &len) != 0
          || getsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, &size) != 0)
        continue;
      connections++;
      *timeouts += ms != 0;
    }
  closedir (dir);
  return connections;
}

/* Guards against a library that sets TCP_USER_TIMEOUT, which would decide when
   the kernel gives up a silent connection, whatever the timers here say. */
Test (user_timeout, no_library_sets_it)
{
  static const struct link_callbacks link_cb = { on_state, on_frame };
  static const struct httpc_callbacks http_cb
      = { NULL, on_head, on_body, on_end };
  struct httpd_limits limits
      = { .max_body = 1000, .max_connections = 10, .request_ms = 5000 };
  struct link_secret secret = { 0 };
  struct net_addr at = run_any_loopback ();
  struct buf err = BUF_INIT;
  struct ends e;
  int timeouts;

  run_init (&e.run);
  struct httpd *httpd
      = httpd_listen (&e.run.loop, &at, &limits, on_request, &e, &err);
  struct link_server *server
      = link_listen (&e.run.loop, &at, &secret, &link_cb, &e, &err);
  cr_assert (httpd && server, "%s", buf_c (&err));
  struct httpc_request r = { .to = at,
                             .method = STR ("GET"),
                             .path = STR ("/"),
                             .connect_ms = 1000,
                             .progress_ms = 5000 };
  r.to.port = httpd_port (httpd);
  struct httpc *http = httpc_new (&e.run.loop);
  struct httpc_call *call = httpc_start (http, &r, &http_cb, &e);
  run_until (&e.run, STR ("response 200"));
  at.port = link_server_port (server);
  e.client = link_connect (&e.run.loop, &at, &secret, &link_cb, &e);
  run_until (&e.run, STR ("link up"));
  cr_expect_geq (count_connections (&timeouts), 4);
  cr_expect_eq (timeouts, 0);
  httpc_cancel (call);
  httpc_free (http);
  httpd_free (httpd);
  link_close (e.client);
  link_server_free (server);
  buf_free (&err);
  run_end (&e.run, "response 200\nlink up\n");
}
