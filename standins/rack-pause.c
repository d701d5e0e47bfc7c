#include <stdlib.h>

#include "platform/names.h"
#include "standins/rack.h"

/*
 * A paused server is like a stopped process: its connections stay open, the
 * kernel accepts new ones, and requests are only read when it goes on.  It
 * then runs requests whose caller has gone, too.
 */

struct held_request
{
  struct server *s;
  struct httpd_req *req; /**< NULL: the caller has gone */
  char *id, *order;      /**< order: its body; NULL: another request */
  bool expected;         /**< an order or a client's request for this server */
  bool side;
  struct held_request *next;
};

static void
on_gone (void *ctx)
{
  struct held_request *h = ctx;

  h->req = NULL;
}

static void
ignore_gone (void *ctx)
{
}

void
rack_pause_hold (struct server *s, struct httpd_req *req, bool side)
{
  struct held_request *h = xcalloc (1, sizeof *h), **end = &s->held;
  const struct httpd_view *v = httpd_get (req);

  h->s = s;
  h->req = req;
  h->side = side;
  h->id = str_dup (httpd_header (req, PLT_H_REQUEST_ID));
  h->order = str_is (v->path, PLT_ORDER) ? str_dup (v->body) : NULL;
  h->expected = str_is (httpd_header (req, PLT_H_EXPECT), s->id)
                && !str_is (v->path, PLT_REPORT);
  while (*end)
    end = &(*end)->next;
  *end = h;
  httpd_on_disconnect (req, on_gone, h);
}

static void
free_held (struct held_request *h)
{
  if (h->req)
    httpd_on_disconnect (h->req, ignore_gone, NULL);
  free (h->id);
  free (h->order);
  free (h);
}

void
rack_pause_drop (struct server *s, bool side_only)
{
  struct held_request **at = &s->held, *h;

  while ((h = *at) != NULL)
    if (!side_only || h->side)
      {
        *at = h->next;
        free_held (h);
      }
    else
      at = &h->next;
}

/** Runs what was held, in the order of arrival. */
static void
on_resume (uv_timer_t *t)
{
  struct server *s = t->data;
  struct held_request *h;

  s->paused = false;
  while ((h = s->held) != NULL)
    {
      struct httpd_req *req = h->req;
      bool side = h->side;
      s->held = h->next;
      if (!req && h->expected)
        rack_server_run_abandoned (s, h->id, h->order);
      free_held (h);
      if (req)
        rack_server_on_request (s, req, side);
    }
}

void
rack_pause (struct server *s, clk_ms ms)
{
  if (s->dead)
    return;
  s->paused = true;
  uv_timer_start (&s->pause_timer, on_resume, (uint64_t)ms, 0);
}

void
rack_pause_init (struct server *s)
{
  uv_timer_init (&s->rack->loop, &s->pause_timer);
  s->pause_timer.data = s;
}

void
rack_pause_cancel (struct server *s)
{
  uv_timer_stop (&s->pause_timer);
  s->paused = false;
  rack_pause_drop (s, false);
}
