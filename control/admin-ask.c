#include "control/admin.h"

#include <stdlib.h>

/* Limit of requests that wait at the same time; there are few operators. */
#define MAX_ASKS 256

static void
free_ask (uv_handle_t *h)
{
  struct adm_ask *k = h->data;
  buf_free (&k->spans);
  free (k->who);
  free (k->what);
  free (k->node);
  free (k);
}

void
adm_ask_end (struct adm_ask *k)
{
  if (k->next)
    k->next->prev = k->prev;
  *k->prev = k->next;
  k->http = NULL;
  uv_close ((uv_handle_t *)&k->timer, free_ask);
}

static void
on_gone (void *ctx)
{
  struct adm_ask *k = ctx;
  k->http = NULL;
}

static size_t
count_asks (const struct ctl_admin *a)
{
  size_t n = 0;
  for (const struct adm_ask *k = a->asks; k; k = k->next)
    n++;
  return n;
}

struct adm_ask *
adm_ask_new (struct ctl_admin *a, struct httpd_req *http, clk_ms wait_ms,
             uv_timer_cb on_late)
{
  if (count_asks (a) >= MAX_ASKS)
    return NULL;
  struct adm_ask *k = xcalloc (1, sizeof *k);
  k->a = a;
  k->id = ++a->last_id;
  k->http = http;
  k->next = a->asks;
  k->prev = &a->asks;
  if (k->next)
    k->next->prev = &k->next;
  a->asks = k;
  if (http)
    httpd_on_gone (http, on_gone, k);
  uv_timer_init (a->c->loop, &k->timer);
  k->timer.data = k;
  uv_timer_start (&k->timer, on_late, (uint64_t)wait_ms, 0);
  return k;
}

struct adm_ask *
adm_ask_find (const struct ctl_admin *a, uint64_t id, bool is_trace)
{
  for (struct adm_ask *k = a->asks; k; k = k->next)
    if (k->id == id && k->is_trace == is_trace)
      return k;
  return NULL;
}

void
adm_asks_stop (struct ctl_admin *a)
{
  while (a->asks)
    {
      if (a->asks->http)
        adm_error (a->asks->http, 504, "stopping",
                   "this process stops; it may have happened");
      adm_ask_end (a->asks);
    }
}

void
ctl_admin_frame (struct ctl_admin *a, uint64_t peer, const Lapis__Frame *f)
{
  switch (f->body_case)
    {
    case LAPIS__FRAME__BODY_DRAIN_ASK:
      adm_take_drain_ask (a, peer, f->drain_ask);
      break;
    case LAPIS__FRAME__BODY_DRAIN_ANSWER:
      adm_take_drain_answer (a, f->drain_answer);
      break;
    case LAPIS__FRAME__BODY_TRACE_ASK:
      adm_take_trace_ask (a, peer, f->trace_ask);
      break;
    case LAPIS__FRAME__BODY_TRACE_ANSWER:
      ctl_admin_spans (
          a, f->trace_answer->id,
          str_make (f->trace_answer->json.data, f->trace_answer->json.len));
      break;
    default:
      break;
    }
}
