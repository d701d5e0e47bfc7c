#include "net/httpd-int.h"

#include <fcntl.h>
#include <poll.h>
#include <stdlib.h>
#include <unistd.h>

/*
 * Monitoring a connection costs eight system calls, and most requests end
 * within a short time.  It therefore starts only for requests that are open
 * for this long.  A caller that disconnected before is detected then, as poll
 * still reports the hang-up.
 */
#define WATCH_AFTER_MS 100

struct disconnect_watch
{
  uv_poll_t poll;
  int fd;
};

static void
on_watch_closed (uv_handle_t *h)
{
  struct disconnect_watch *w = h->data;

  close (w->fd);
  free (w);
}

static void
unwatched_add (struct httpd_req *r)
{
  struct httpd *d = r->d;

  r->watch_at = (clk_ms)uv_now (d->listener.loop) + WATCH_AFTER_MS;
  r->prev_unwatched = d->last_unwatched;
  *d->last_unwatched = r;
  d->last_unwatched = &r->next_unwatched;
}

static void
unwatched_remove (struct httpd_req *r)
{
  if (r->prev_unwatched == NULL)
    return;
  *r->prev_unwatched = r->next_unwatched;
  if (r->next_unwatched != NULL)
    r->next_unwatched->prev_unwatched = r->prev_unwatched;
  else
    r->d->last_unwatched = r->prev_unwatched;
  r->prev_unwatched = NULL;
  r->next_unwatched = NULL;
}

void
httpd_watch_stop (struct httpd_req *r)
{
  unwatched_remove (r);
  if (r->watch == NULL)
    return;
  struct disconnect_watch *w = r->watch;
  r->watch = NULL;
  uv_poll_stop (&w->poll);
  w->poll.data = w;
  uv_close ((uv_handle_t *)&w->poll, on_watch_closed);
}

static void
on_watch (uv_poll_t *poll, int status, int events)
{
  struct httpd_req *r = poll->data;

  if (status == 0 && (events & UV_DISCONNECT) == 0)
    return;
  httpd_watch_stop (r);
  httpd_notify_disconnect (r);
  httpd_abort (r);
}

/*
 * h2o does not read from a connection while a request is in progress, so a
 * disconnect would be detected only at the next write, and a request could
 * wait in a queue or for its first token without a caller.  A duplicate of the
 * descriptor is polled for a hang-up only; h2o reads all bytes itself.
 */
static void
watch_start (struct httpd_req *r)
{
  int fd = httpd_conn_fd (r->conn);

  /* The kernel reports a hang-up of a receiving side that this end shut down;
     a disconnect is then detected at the next write. */
  if (r->conn->read_closed)
    return;
  if (fd < 0 || (fd = fcntl (fd, F_DUPFD_CLOEXEC, 0)) < 0)
    return;
  struct disconnect_watch *w = xcalloc (1, sizeof *w);
  w->fd = fd;
  if (uv_poll_init (r->d->listener.loop, &w->poll, fd) != 0)
    {
      close (fd);
      free (w);
      return;
    }
  w->poll.data = r;
  r->watch = w;
  uv_poll_start (&w->poll, UV_DISCONNECT, on_watch);
}

/* The timer runs until the list is empty: starting and stopping it with each
   request would cost as much as the delay saves. */
static void
on_watch_timer (uv_timer_t *t)
{
  struct httpd *d = t->data;
  clk_ms now = (clk_ms)uv_now (t->loop);

  if (d->unwatched == NULL)
    uv_timer_stop (t);
  while (d->unwatched != NULL && d->unwatched->watch_at <= now)
    {
      struct httpd_req *r = d->unwatched;
      unwatched_remove (r);
      watch_start (r);
    }
}

void
httpd_watch_start (struct httpd_req *r)
{
  struct httpd *d = r->d;

  if (r->watch != NULL || r->prev_unwatched != NULL || r->ended || d->freeing)
    return;
  unwatched_add (r);
  if (!uv_is_active ((uv_handle_t *)&d->watch_timer))
    uv_timer_start (&d->watch_timer, on_watch_timer, WATCH_AFTER_MS,
                    WATCH_AFTER_MS / 2);
}

void
httpd_watch_init (struct httpd *d, uv_loop_t *loop)
{
  d->last_unwatched = &d->unwatched;
  uv_timer_init (loop, &d->watch_timer);
  d->watch_timer.data = d;
  uv_unref ((uv_handle_t *)&d->watch_timer);
}

bool
httpd_has_disconnected (const struct httpd_req *r)
{
  struct pollfd p = { .fd = httpd_conn_fd (r->conn),
                      .events = r->conn->read_closed ? 0 : POLLRDHUP };

  return p.fd >= 0 && poll (&p, 1, 0) > 0;
}
