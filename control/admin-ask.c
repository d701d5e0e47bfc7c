#include "control/admin.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "base/json.h"

/* Longest wait for the node that carries out a drain. */
#define DRAIN_MS (2 * CLK_SECOND)

/* Longest wait for spans: of one's own gateway, and of the other nodes, which
   ask their gateways in turn. */
#define GATEWAY_SPANS_MS ((clk_ms)300)
#define TRACE_MS CLK_SECOND

/* Bound of what waits at once; operators are few. */
#define MAX_ASKS 256

/**
 * One thing asked of other nodes: by an operator here (http is set), or, for
 * spans of the own gateway, by the node `peer`.
 */
struct ask
{
  struct ctl_admin *a;
  struct ask *next;
  struct ask **prev;
  uint64_t id;
  uv_timer_t timer;
  struct httpd_req *http; /* NULL once the caller has gone */
  uint64_t peer;          /* who asked; with peer_id */
  uint64_t peer_id;       /* 0: asked here */
  /* A drain. */
  char *who;
  char *what;
  char *node; /* that was asked */
  /* A trace. */
  bool is_trace;
  uint8_t trace[16];
  struct buf spans; /* elements of the array, with commas */
  unsigned waiting; /* answers that have not come */
  unsigned missing; /* nodes that gave none in time */
};

static void
free_ask (uv_handle_t *h)
{
  struct ask *k = h->data;
  buf_free (&k->spans);
  free (k->who);
  free (k->what);
  free (k->node);
  free (k);
}

static void
end_ask (struct ask *k)
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
  struct ask *k = ctx;
  k->http = NULL;
}

static size_t
count_asks (const struct ctl_admin *a)
{
  size_t n = 0;
  for (const struct ask *k = a->asks; k; k = k->next)
    n++;
  return n;
}

static struct ask *
new_ask (struct ctl_admin *a, struct httpd_req *http, clk_ms wait_ms,
         uv_timer_cb on_late)
{
  if (count_asks (a) >= MAX_ASKS)
    return NULL;
  struct ask *k = xcalloc (1, sizeof *k);
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

static struct ask *
find_ask (const struct ctl_admin *a, uint64_t id, bool is_trace)
{
  for (struct ask *k = a->asks; k; k = k->next)
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
        adm_error (a->asks->http, 503, "stopping",
                   "this process stops; it may have happened");
      end_ask (a->asks);
    }
}

/* --- drains ------------------------------------------------------------- */

static void
log_change (const struct ctl *c, struct str who, const char *what,
            struct str name, bool on)
{
  LOG (admin_change, LOG_S ("operator", who), LOG_C ("what", what),
       LOG_S ("name", name), LOG_C ("drain", on ? "on" : "off"),
       LOG_I ("revision", c->cfg ? c->cfg->revision : 0));
}

/* Drain a replica that this node's domains own. */
static bool
drain_here (struct ctl *c, struct str replica, bool on, struct str who)
{
  if (!ctl_domains_drain (c->domains, replica, on))
    return false;
  log_change (c, who, "replica", replica, on);
  return true;
}

static void
answer_done (struct httpd_req *http, struct str name, const char *by)
{
  struct buf out = BUF_INIT;
  buf_add_c (&out, "{\"done\":true,\"name\":");
  buf_add_json (&out, name);
  buf_add_c (&out, ",\"node\":");
  buf_add_json (&out, str_from (by));
  buf_add_c (&out, "}\n");
  adm_answer (http, 200, buf_str (&out));
  buf_free (&out);
}

static void
on_drain_late (uv_timer_t *t)
{
  struct ask *k = t->data;
  if (k->http)
    adm_error (k->http, 504, "no-answer",
               "the node that can do it gave no answer; it may have "
               "happened");
  end_ask (k);
}

/* Hand a drain to the node that can carry it out. */
static void
forward_drain (const struct adm_request *r, struct str node,
               const Lapis__DrainAsk *asked)
{
  struct ctl *c = r->a->c;
  Lapis__DrainAsk ask = *asked;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  struct ask *k = new_ask (r->a, r->http, DRAIN_MS, on_drain_late);
  if (!k)
    {
      adm_error (r->http, 503, "busy", "too many requests wait");
      return;
    }
  k->who = str_dup (r->who->name);
  k->what = str_dup (r->name);
  k->node = str_dup (node);
  ask.id = k->id;
  ask.who = k->who;
  ask.config_revision = (uint64_t)c->cfg->revision;
  f.body_case = LAPIS__FRAME__BODY_DRAIN_ASK;
  f.drain_ask = &ask;
  if (ctl_peers_send_node (c->peers, node, &f))
    {
      LOG (admin_forwarded, LOG_S ("operator", r->who->name),
           LOG_S ("name", r->name), LOG_S ("to", node),
           LOG_I ("revision", c->cfg->revision));
      return;
    }
  adm_error (r->http, 503, "unreachable",
             "the node that can do it is not linked; nothing happened");
  end_ask (k);
}

/**
 * Whether to drain: an empty body or {"on": true}, against {"on": false}.
 * @return false when the body says neither, and then it was refused: taken
 *         for a drain, an undo with a slip in it would stop a replica
 */
static bool
read_on (const struct httpd_req *http, bool *on)
{
  struct str body = str_trim (httpd_get (http)->body);
  json_object *root = jsn_parse (body);
  json_object *value = jsn_get (root, "on");
  bool empty
      = body.len == 0 || (root && json_object_object_length (root) == 0);
  bool good = empty || json_object_is_type (value, json_type_boolean);

  *on = empty || json_object_get_boolean (value);
  json_object_put (root);
  return good;
}

static void
refuse_body (struct httpd_req *http)
{
  adm_error (http, 400, "bad-request",
             "the body is neither empty nor {\"on\": true} or false");
}

void
adm_drain_replica (const struct adm_request *r)
{
  struct ctl *c = r->a->c;
  const struct ctl_replica *found = adm_find_replica (c, r->name);
  bool on;
  if (!read_on (r->http, &on))
    {
      refuse_body (r->http);
      return;
    }
  if (!found || found->owner.len == 0)
    {
      if (!found)
        adm_error (r->http, 404, "no-replica", "no replica of that name");
      else
        adm_error (r->http, 503, "no-owner",
                   "the replica's fabric domain has no owner now");
      return;
    }
  if (!str_is (found->owner, c->set.node))
    {
      char *name = str_dup (r->name);
      Lapis__DrainAsk ask = LAPIS__DRAIN_ASK__INIT;
      ask.replica = name;
      ask.on = on;
      forward_drain (r, found->owner, &ask);
      free (name);
      return;
    }
  if (drain_here (c, r->name, on, r->who->name))
    answer_done (r->http, r->name, c->set.node);
  else
    adm_error (r->http, 409, "not-drained",
               "this node can't drain the replica now");
}

void
adm_drain_node (const struct adm_request *r)
{
  struct ctl *c = r->a->c;
  bool on;
  if (!read_on (r->http, &on))
    {
      refuse_body (r->http);
      return;
    }
  if (!on)
    {
      adm_error (r->http, 400, "not-taken-back",
                 "a node that leaves can't be taken back; start it again");
      return;
    }
  if (str_is (r->name, c->set.node))
    {
      log_change (c, r->who->name, "node", r->name, true);
      answer_done (r->http, r->name, c->set.node);
      ctl_leave (c);
      return;
    }
  if (!adm_find_node (c, r->name))
    {
      adm_error (r->http, 404, "no-node", "no node of that name");
      return;
    }
  char *name = str_dup (r->name);
  Lapis__DrainAsk ask = LAPIS__DRAIN_ASK__INIT;
  ask.node = name;
  ask.on = true;
  forward_drain (r, r->name, &ask);
  free (name);
}

/* Another node was asked; the operator's right was checked there. */
static void
take_drain_ask (struct ctl_admin *a, uint64_t peer, const Lapis__DrainAsk *ask)
{
  struct ctl *c = a->c;
  struct str who = str_from (ask->who);
  Lapis__DrainAnswer answer = LAPIS__DRAIN_ANSWER__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  bool node = strcmp (ask->node, c->set.node) == 0;
  const struct ctl_replica *r = adm_find_replica (c, str_from (ask->replica));
  answer.id = ask->id;
  if (node)
    log_change (c, who, "node", str_from (ask->node), true);
  answer.done = node
                || (r && str_is (r->owner, c->set.node)
                    && drain_here (c, str_from (ask->replica), ask->on, who));
  answer.reason = answer.done ? "" : "that node does not own the domain now";
  f.body_case = LAPIS__FRAME__BODY_DRAIN_ANSWER;
  f.drain_answer = &answer;
  ctl_peers_send (c->peers, peer, &f);
  if (node)
    ctl_leave (c);
}

static void
take_drain_answer (struct ctl_admin *a, const Lapis__DrainAnswer *answer)
{
  struct ask *k = find_ask (a, answer->id, false);
  if (!k)
    return;
  if (k->http && answer->done)
    answer_done (k->http, str_from (k->what), k->node);
  else if (k->http)
    adm_error (k->http, 409, "not-drained", answer->reason);
  end_ask (k);
}

/* --- traces ------------------------------------------------------------- */

/* Add the elements of a JSON array of spans. */
static void
add_spans (struct ask *k, struct str json)
{
  json = str_trim (json);
  if (json.len <= 2)
    return;
  if (k->spans.len > 0)
    buf_add_char (&k->spans, ',');
  buf_add (&k->spans, str_make (json.ptr + 1, json.len - 2));
}

static void
answer_trace (struct ask *k)
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
answer_peer (struct ask *k)
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
finish_trace (struct ask *k)
{
  if (k->peer_id != 0)
    answer_peer (k);
  else if (k->http)
    answer_trace (k);
  end_ask (k);
}

static void
on_trace_late (uv_timer_t *t)
{
  struct ask *k = t->data;
  k->missing += k->waiting;
  finish_trace (k);
}

/* Spans of this node: its own, and those that its gateway will send. */
static void
begin_trace (struct ask *k, const uint8_t trace[16])
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
ask_peers (struct ask *k)
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
  struct ask *k = new_ask (r->a, r->http, TRACE_MS, on_trace_late);
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

static void
take_trace_ask (struct ctl_admin *a, uint64_t peer, const Lapis__TraceAsk *ask)
{
  if (ask->trace.len != 16 || ask->id == 0)
    return;
  struct ask *k = new_ask (a, NULL, GATEWAY_SPANS_MS, on_trace_late);
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
  struct ask *k = find_ask (a, id, true);
  if (!k)
    return;
  add_spans (k, json);
  if (--k->waiting == 0)
    finish_trace (k);
}

void
ctl_admin_frame (struct ctl_admin *a, uint64_t peer, const Lapis__Frame *f)
{
  switch (f->body_case)
    {
    case LAPIS__FRAME__BODY_DRAIN_ASK:
      take_drain_ask (a, peer, f->drain_ask);
      break;
    case LAPIS__FRAME__BODY_DRAIN_ANSWER:
      take_drain_answer (a, f->drain_answer);
      break;
    case LAPIS__FRAME__BODY_TRACE_ASK:
      take_trace_ask (a, peer, f->trace_ask);
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
