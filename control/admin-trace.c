#include <string.h>

#include "control/admin.h"

/* Timeouts for the spans of this node's gateway and of the other nodes, which
   request them from their gateways in turn. */
#define GATEWAY_SPANS_MS ((clk_ms)300)
#define TRACE_MS CLK_SECOND

/* Appends the elements of a JSON array of spans. */
static void
add_spans (struct adm_ask *k, struct str json)
{
  json = str_trim (json);
  if (json.len <= 2)
    return;
  if (k->spans.len > 0)
    buf_add_char (&k->spans, ',');
  buf_add (&k->spans, str_make (json.ptr + 1, json.len - 2));
}

static void
answer_trace (struct adm_ask *k)
{
  struct buf out = BUF_INIT;
  buf_add_c (&out, "{\"trace\":\"");
  buf_add_hex (&out, k->trace, sizeof k->trace);
  buf_addf (&out, "\",\"missing_nodes\":%u,\"spans\":[", k->missing);
  buf_add (&out, buf_str (&k->spans));
  buf_add_c (&out, "]}\n");
  adm_answer (k->http, 200, buf_str (&out));
  buf_free (&out);
}

static void
answer_peer (struct adm_ask *k)
{
  struct buf json = BUF_INIT;
  Lapis__TraceAnswer answer = LAPIS__TRACE_ANSWER__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  buf_add_char (&json, '[');
  buf_add (&json, buf_str (&k->spans));
  buf_add_char (&json, ']');
  answer.id = k->peer_id;
  answer.json = (ProtobufCBinaryData){ json.len, (uint8_t *)json.ptr };
  f.body_case = LAPIS__FRAME__BODY_TRACE_ANSWER;
  f.trace_answer = &answer;
  ctl_peers_send (k->a->c->peers, k->peer, &f);
  buf_free (&json);
}

static void
finish_trace (struct adm_ask *k)
{
  if (k->peer_id != 0)
    answer_peer (k);
  else if (k->http)
    answer_trace (k);
  adm_ask_end (k);
}

static void
on_trace_late (uv_timer_t *t)
{
  struct adm_ask *k = t->data;
  k->missing += k->waiting;
  finish_trace (k);
}

/* Adds the spans of this process and requests those of its gateway. */
static void
begin_trace (struct adm_ask *k, const uint8_t trace[16])
{
  struct ctl *c = k->a->c;
  struct buf own = BUF_INIT;
  k->is_trace = true;
  memcpy (k->trace, trace, sizeof k->trace);
  trc_ring_json (c->spans, trace, str_from (c->set.node), &own);
  add_spans (k, buf_str (&own));
  buf_free (&own);
  k->waiting += ctl_views_trace (c->views, k->id, trace);
}

static void
ask_peers (struct adm_ask *k)
{
  struct ctl *c = k->a->c;
  Lapis__TraceAsk ask = LAPIS__TRACE_ASK__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  size_t n;
  const struct mbr_node *const *nodes = ctl_swim_nodes (c->swim, &n);
  ask.id = k->id;
  ask.trace = (ProtobufCBinaryData){ sizeof k->trace, k->trace };
  f.body_case = LAPIS__FRAME__BODY_TRACE_ASK;
  f.trace_ask = &ask;
  for (size_t i = 0; i < n; i++)
    if (nodes[i]->status != MBR_DEAD && !str_is (nodes[i]->name, c->set.node))
      {
        if (ctl_peers_send_node (c->peers, nodes[i]->name, &f))
          k->waiting++;
        else
          k->missing++;
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
  struct adm_ask *k = adm_ask_new (r->a, r->http, TRACE_MS, on_trace_late);
  if (!k)
    {
      adm_error (r->http, 503, "busy", "too many requests wait");
      return;
    }
  begin_trace (k, trace);
  ask_peers (k);
  if (k->waiting == 0)
    finish_trace (k);
}

void
adm_take_trace_ask (struct ctl_admin *a, uint64_t peer,
                    const Lapis__TraceAsk *ask)
{
  if (ask->trace.len != 16 || ask->id == 0)
    return;
  struct adm_ask *k = adm_ask_new (a, NULL, GATEWAY_SPANS_MS, on_trace_late);
  if (!k)
    return;
  k->peer = peer;
  k->peer_id = ask->id;
  begin_trace (k, ask->trace.data);
  if (k->waiting == 0)
    finish_trace (k);
}

void
ctl_admin_spans (struct ctl_admin *a, uint64_t id, struct str json)
{
  struct adm_ask *k = adm_ask_find (a, id, true);
  if (!k)
    return;
  add_spans (k, json);
  if (--k->waiting == 0)
    finish_trace (k);
}
