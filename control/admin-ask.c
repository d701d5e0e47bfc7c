#include "control/admin.h"

#include <stdlib.h>

/* Limit of requests that wait at the same time; there are few operators. */
#define MAX_PENDING 256

static void
free_pending (uv_handle_t *h)
{
  struct adm_pending *p = h->data;
  buf_free (&p->spans);
  free (p->operator_name);
  free (p->target_name);
  free (p->forwarded_to);
  free (p);
}

void
adm_pending_end (struct adm_pending *p)
{
  if (p->next)
    p->next->prev_next = p->prev_next;
  *p->prev_next = p->next;
  p->http = NULL;
  uv_close ((uv_handle_t *)&p->timer, free_pending);
}

static void
on_client_disconnect (void *ctx)
{
  struct adm_pending *p = ctx;
  p->http = NULL;
}

static size_t
count_pending (const struct ctl_admin *a)
{
  size_t n = 0;
  for (const struct adm_pending *p = a->pending; p; p = p->next)
    n++;
  return n;
}

struct adm_pending *
adm_pending_new (struct ctl_admin *a, struct httpd_req *http, clk_ms wait_ms,
                 uv_timer_cb on_timeout)
{
  if (count_pending (a) >= MAX_PENDING)
    return NULL;
  struct adm_pending *p = xcalloc (1, sizeof *p);
  p->a = a;
  p->id = ++a->last_id;
  p->http = http;
  p->next = a->pending;
  p->prev_next = &a->pending;
  if (p->next)
    p->next->prev_next = &p->next;
  a->pending = p;
  if (http)
    httpd_on_disconnect (http, on_client_disconnect, p);
  uv_timer_init (a->c->loop, &p->timer);
  p->timer.data = p;
  uv_timer_start (&p->timer, on_timeout, (uint64_t)wait_ms, 0);
  return p;
}

struct adm_pending *
adm_pending_find (const struct ctl_admin *a, uint64_t id, bool is_trace)
{
  for (struct adm_pending *p = a->pending; p; p = p->next)
    if (p->id == id && p->is_trace == is_trace)
      return p;
  return NULL;
}

void
adm_pending_stop (struct ctl_admin *a)
{
  while (a->pending)
    {
      if (a->pending->http)
        adm_error (
            a->pending->http, 504, "stopping",
            "this process is stopping; the request may have been executed");
      adm_pending_end (a->pending);
    }
}

void
ctl_admin_on_frame (struct ctl_admin *a, uint64_t peer, const Lapis__Frame *f)
{
  switch (f->body_case)
    {
    case LAPIS__FRAME__BODY_DRAIN_ASK:
      adm_on_drain_ask (a, peer, f->drain_ask);
      break;
    case LAPIS__FRAME__BODY_DRAIN_ANSWER:
      adm_on_drain_answer (a, f->drain_answer);
      break;
    case LAPIS__FRAME__BODY_TRACE_ASK:
      adm_on_trace_ask (a, peer, f->trace_ask);
      break;
    case LAPIS__FRAME__BODY_TRACE_ANSWER:
      ctl_admin_on_spans (
          a, f->trace_answer->id,
          str_make (f->trace_answer->json.data, f->trace_answer->json.len));
      break;
    default:
      break;
    }
}
