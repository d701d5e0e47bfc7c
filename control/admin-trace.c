#include <string.h>

#include "control/admin.h"

/* Timeouts for the spans of this node's gateway and of the other nodes, which
   request them from their gateways in turn. */
#define GATEWAY_TIMEOUT_MS ((clk_ms)300)
#define PEERS_TIMEOUT_MS CLK_SECOND

/* Appends the elements of a JSON array of spans. */
static void
add_spans (struct adm_pending *p, struct str json)
{
  json = str_trim (json);
  if (json.len <= 2)
    return;
  if (p->spans.len > 0)
    buf_add_char (&p->spans, ',');
  buf_add (&p->spans, str_make (json.ptr + 1, json.len - 2));
}

static void
respond_trace (struct adm_pending *p)
{
  struct buf out = BUF_INIT;
  buf_add_c (&out, "{\"trace\":\"");
  buf_add_hex (&out, p->trace, sizeof p->trace);
  buf_addf (&out, "\",\"missing_nodes\":%u,\"spans\":[", p->missing_nodes);
  buf_add (&out, buf_str (&p->spans));
  buf_add_c (&out, "]}\n");
  adm_respond (p->http, 200, buf_str (&out));
  buf_free (&out);
}

static void
send_to_requester (struct adm_pending *p)
{
  struct buf json = BUF_INIT;
  Lapis__TraceAnswer answer = LAPIS__TRACE_ANSWER__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  buf_add_char (&json, '[');
  buf_add (&json, buf_str (&p->spans));
  buf_add_char (&json, ']');
  answer.id = p->requester_id;
  answer.json = (ProtobufCBinaryData){ json.len, (uint8_t *)json.ptr };
  f.body_case = LAPIS__FRAME__BODY_TRACE_ANSWER;
  f.trace_answer = &answer;
  ctl_peers_send (p->a->c->peers, p->requester, &f);
  buf_free (&json);
}

static void
finish_trace (struct adm_pending *p)
{
  if (p->requester_id != 0)
    send_to_requester (p);
  else if (p->http)
    respond_trace (p);
  adm_pending_end (p);
}

static void
on_trace_timeout (uv_timer_t *t)
{
  struct adm_pending *p = t->data;
  p->missing_nodes += p->outstanding;
  finish_trace (p);
}

/* Adds the spans of this process and requests those of its gateway. */
static void
collect_local_spans (struct adm_pending *p, const uint8_t trace[16])
{
  struct ctl *c = p->a->c;
  struct buf own = BUF_INIT;
  p->is_trace = true;
  memcpy (p->trace, trace, sizeof p->trace);
  trc_ring_json (c->spans, trace, str_from (c->set.node), &own);
  add_spans (p, buf_str (&own));
  buf_free (&own);
  p->outstanding += ctl_views_request_spans (c->views, p->id, trace);
}

static void
request_peer_spans (struct adm_pending *p)
{
  struct ctl *c = p->a->c;
  Lapis__TraceAsk ask = LAPIS__TRACE_ASK__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  size_t n;
  const struct mbr_node *const *nodes = ctl_swim_nodes (c->swim, &n);
  ask.id = p->id;
  ask.trace = (ProtobufCBinaryData){ sizeof p->trace, p->trace };
  f.body_case = LAPIS__FRAME__BODY_TRACE_ASK;
  f.trace_ask = &ask;
  for (size_t i = 0; i < n; i++)
    if (nodes[i]->status != MBR_DEAD && !str_is (nodes[i]->name, c->set.node))
      {
        if (ctl_peers_send_node (c->peers, nodes[i]->name, &f))
          p->outstanding++;
        else
          p->missing_nodes++;
      }
}

void
adm_trace (const struct adm_request *r)
{
  uint8_t trace[16];
  if (!trc_parse_trace (r->name, trace))
    {
      adm_error (r->http, 400, "no-trace-id",
                 "a trace id is 32 hexadecimal digits");
      return;
    }
  struct adm_pending *p
      = adm_pending_new (r->a, r->http, PEERS_TIMEOUT_MS, on_trace_timeout);
  if (!p)
    {
      adm_error (r->http, 503, "busy", "too many open requests");
      return;
    }
  collect_local_spans (p, trace);
  request_peer_spans (p);
  if (p->outstanding == 0)
    finish_trace (p);
}

void
adm_on_trace_ask (struct ctl_admin *a, uint64_t peer,
                  const Lapis__TraceAsk *ask)
{
  if (ask->trace.len != 16 || ask->id == 0)
    return;
  struct adm_pending *p
      = adm_pending_new (a, NULL, GATEWAY_TIMEOUT_MS, on_trace_timeout);
  if (!p)
    return;
  p->requester = peer;
  p->requester_id = ask->id;
  collect_local_spans (p, ask->trace.data);
  if (p->outstanding == 0)
    finish_trace (p);
}

void
ctl_admin_on_spans (struct ctl_admin *a, uint64_t id, struct str json)
{
  struct adm_pending *p = adm_pending_find (a, id, true);
  if (!p)
    return;
  add_spans (p, json);
  if (--p->outstanding == 0)
    finish_trace (p);
}
