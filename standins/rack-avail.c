#include <stdlib.h>
#include <string.h>

#include "platform/names.h"
#include "standins/rack.h"

/** Time that a node has to apply an announced pause. */
#define PAUSE_GRACE_MS ((clk_ms)500)
/** Time after which a node that was told of a shutdown must have stopped to
    send requests: drain_ms of the nodes' settings. */
#define LEAVING_GRACE_MS ((clk_ms)2000)

static struct told_node *
node_of (struct server *s, struct httpd_req *req)
{
  struct str id = httpd_header (req, PLT_H_REQUEST_ID);
  size_t end = str_chr (id, '/');
  int64_t number = 0;

  if (end == id.len || !str_to_i64 (str_head (id, end), &number) || number < 0
      || number >= AVAIL_NODES)
    number = 0;
  return &s->avail.nodes[number];
}

static bool
is_client_request (struct httpd_req *req)
{
  struct str path = httpd_get (req)->path;

  return !str_is (path, PLT_ORDER) && !str_is (path, PLT_REPORT);
}

void
rack_avail_count_arrival (struct server *s, struct httpd_req *req)
{
  struct told_node *t = node_of (s, req);
  clk_ms now = clk_now ();

  for (unsigned i = 0; i < AVAIL_PAUSES; i++)
    {
      struct asked_pause *p = &t->pauses[i];
      if (now < p->counts_from || now >= p->ends_at)
        continue;
      if (++p->arrivals > s->avail.pause_max)
        s->avail.pause_max = p->arrivals;
    }
  if (t->told_leaving_at && is_client_request (req)
      && now - t->told_leaving_at > LEAVING_GRACE_MS)
    s->avail.late_arrivals++;
}

size_t
rack_avail_headers (struct server *s, struct httpd_req *req, bool rejected,
                    struct http_header *out)
{
  struct availability *a = &s->avail;
  struct told_node *t = node_of (s, req);
  clk_ms now = clk_now ();
  size_t n = 0;

  if (rejected && a->retry_after[0])
    {
      t->pauses[t->npauses++ % AVAIL_PAUSES] = (struct asked_pause){
        .counts_from = now + PAUSE_GRACE_MS,
        .ends_at
        = now + (clk_ms)(strtod (a->retry_after, NULL) * (double)CLK_SECOND)
      };
      out[n++] = (struct http_header){ STR (PLT_H_RETRY_AFTER),
                                       str_from (a->retry_after) };
    }
  if (a->leaving)
    {
      if (!t->told_leaving_at)
        t->told_leaving_at = now;
      out[n++] = (struct http_header){ STR (PLT_H_LEAVING), STR ("1") };
    }
  return n;
}

void
rack_avail_forget_node (struct rack *r, unsigned node)
{
  for (size_t i = 0; node < AVAIL_NODES && i < r->nservers; i++)
    memset (&r->servers[i].avail.nodes[node], 0,
            sizeof r->servers[i].avail.nodes[node]);
}
