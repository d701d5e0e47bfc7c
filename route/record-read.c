#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "route/record-names.h"
#include "route/record.h"

const char *const rec_event_names[REC_EVENTS] = {
  [RT_EV_TICK] = "tick",           [RT_EV_CONFIG] = "config",
  [RT_EV_REPLICAS] = "replicas",   [RT_EV_BACKEND_DOWN] = "backend-down",
  [RT_EV_SHARE] = "share",         [RT_EV_LEAVING] = "leaving",
  [RT_EV_ARRIVE] = "arrive",       [RT_EV_CLAIM] = "claim",
  [RT_EV_CONNECTED] = "connected", [RT_EV_CONNECT_FAILED] = "connect-failed",
  [RT_EV_HEAD] = "head",           [RT_EV_BODY] = "body",
  [RT_EV_WHOLE] = "whole",         [RT_EV_BROKEN] = "broken",
  [RT_EV_SILENT] = "silent",       [RT_EV_CALLER_GONE] = "caller-gone",
  [RT_EV_NODES] = "nodes",         [RT_EV_SLOT] = "slot",
  [RT_EV_SLOT_HOME] = "slot-home", [RT_EV_NOTICE] = "notice",
  [RT_EV_POISON] = "poison",
};

const char *const rec_action_names[REC_ACTIONS] = {
  [RT_ACT_CLAIM] = "claim",
  [RT_ACT_RELEASE] = "release",
  [RT_ACT_FINISH] = "finish",
  [RT_ACT_CONNECT] = "connect",
  [RT_ACT_SEND] = "send",
  [RT_ACT_CANCEL] = "cancel",
  [RT_ACT_PASS] = "pass",
  [RT_ACT_ANSWER] = "answer",
  [RT_ACT_REPLAY] = "replay",
  [RT_ACT_END] = "end",
  [RT_ACT_CUT] = "cut",
  [RT_ACT_FORGET] = "forget",
  [RT_ACT_SLOT_ASK] = "slot-ask",
  [RT_ACT_SLOT_TAKEN] = "slot-taken",
  [RT_ACT_SLOT_DONE] = "slot-done",
};

const char *const rec_verdict_names[REC_VERDICTS] = {
  [CLM_GRANTED] = "granted",    [CLM_RUNNING] = "running",
  [CLM_COMPLETED] = "answered", [CLM_UNKNOWN] = "unknown",
  [CLM_MISMATCH] = "mismatch",  [CLM_UNAVAILABLE] = "unavailable",
  [CLM_ACKNOWLEDGED] = "done",
};

const char *const rec_slot_names[RT_SLOT_REPLIES] = {
  [RT_SLOT_GRANTED] = "granted",
  [RT_SLOT_QUEUED] = "queued",
  [RT_SLOT_REFUSED] = "refused",
};

/* Owner of the data that the last returned event points to. */
struct scratch
{
  struct json_object *doc;
  struct rt_request request;
  struct rt_replica *replicas;
  struct cfg *cfg;
};

static void
scratch_clear (struct scratch *s)
{
  if (s->doc != NULL)
    json_object_put (s->doc);
  if (s->cfg != NULL)
    cfg_unref (s->cfg);
  free (s->replicas);
  memset (s, 0, sizeof *s);
}

static int
find_name (const char *const *names, int n, struct str s)
{
  for (int i = 0; i < n; i++)
    if (str_is (s, names[i]))
      return i;
  return -1;
}

static bool
get_hex (struct json_object *o, const char *key, uint8_t *out, size_t len)
{
  return str_to_bytes (jsn_str (o, key), out, len);
}

static void
read_request (struct json_object *o, uint64_t id, struct rt_request *q)
{
  memset (q, 0, sizeof *q);
  q->id = id;
  q->account = jsn_str (o, "account");
  q->target = jsn_str (o, "target");
  q->is_model = jsn_bool (o, "model");
  q->idempotent = jsn_bool (o, "idempotent");
  q->has_key = get_hex (o, "claim", q->claim_key, sizeof q->claim_key);
  get_hex (o, "fingerprint", q->fingerprint, sizeof q->fingerprint);
  get_hex (o, "attempt_id", q->attempt_id, sizeof q->attempt_id);
  q->priority = (unsigned)jsn_int (o, "priority");
  q->deadline = jsn_int (o, "deadline");
  q->cost = jsn_double (o, "cost");
  q->prefix = (uint64_t)jsn_int (o, "prefix");
}

static bool
read_replica (struct json_object *o, struct rt_replica *p)
{
  struct str addr = jsn_str (o, "addr");
  p->name = jsn_str (o, "name");
  p->model = jsn_str (o, "model");
  p->zone = jsn_str (o, "zone");
  p->generation = jsn_int (o, "generation");
  p->whole = jsn_bool (o, "whole");
  p->draining = jsn_bool (o, "draining");
  p->valid_until = jsn_int (o, "valid_until");
  p->load = (uint32_t)jsn_int (o, "load");
  p->load_at = jsn_int (o, "load_at");
  return addr.len == 0 || net_addr_parse (addr, true, &p->addr);
}

static bool
read_replicas (struct scratch *s, struct rt_event *ev)
{
  size_t n;
  struct json_object *list = jsn_array (s->doc, "replicas", &n);

  if (list == NULL)
    return false;
  s->replicas = xcalloc (n + 1, sizeof *s->replicas);
  for (size_t i = 0; i < n; i++)
    if (!read_replica (json_object_array_get_idx (list, i), &s->replicas[i]))
      return false;
  ev->replicas = s->replicas;
  ev->n = n;
  return true;
}

static struct json_object *
parse_line (const struct rec_reader *r, struct str line,
            struct fnd_list *findings)
{
  struct json_tokener *tok = json_tokener_new ();
  struct json_object *o = json_tokener_parse_ex (tok, line.ptr, (int)line.len);
  enum json_tokener_error err = json_tokener_get_error (tok);
  const char *text;

  json_tokener_free (tok);
  if (o != NULL && json_object_is_type (o, json_type_object))
    return o;
  if (err == json_tokener_success)
    text = "not a JSON object";
  else if (err == json_tokener_continue)
    text = "unexpected end of line inside a value";
  else
    text = json_tokener_error_desc (err);
  fnd_addf (findings, FND_ERROR, r->file, r->line, NULL, "%s", text);
  if (o != NULL)
    json_object_put (o);
  return NULL;
}

static struct scratch *
reader_scratch (struct rec_reader *r)
{
  if (r->scratch == NULL)
    r->scratch = xcalloc (1, sizeof (struct scratch));
  return r->scratch;
}

static bool
add_error (const struct rec_reader *r, struct fnd_list *findings,
           const char *pointer, const char *text)
{
  fnd_addf (findings, FND_ERROR, r->file, r->line, pointer, "%s", text);
  return false;
}

bool
rec_read_header (struct rec_reader *r, struct str line,
                 struct rec_header *head, struct fnd_list *findings)
{
  struct scratch *s = reader_scratch (r);

  r->line++;
  scratch_clear (s);
  s->doc = parse_line (r, line, findings);
  if (s->doc == NULL)
    return false;
  if (!str_is (jsn_str (s->doc, "core"), "route"))
    return add_error (r, findings, "/core",
                      "unsupported core; only \"route\" can be replayed");
  head->seed = (uint64_t)jsn_int (s->doc, "seed");
  head->options.zone = jsn_str (s->doc, "zone");
  head->options.node = jsn_str (s->doc, "node");
  head->options.nodes = (unsigned)jsn_int (s->doc, "nodes");
  return true;
}

static bool
read_config (struct rec_reader *r, struct scratch *s, struct rt_event *ev,
             struct fnd_list *findings)
{
  struct json_object *v = jsn_object (s->doc, "config");
  const char *text;

  if (v == NULL)
    return add_error (r, findings, "/config", "missing");
  text = json_object_to_json_string (v);
  s->cfg = cfg_parse (str_from (text), jsn_int (v, "revision"), findings);
  ev->cfg = s->cfg;
  return s->cfg != NULL;
}

static bool
read_slot (struct rec_reader *r, struct scratch *s, struct rt_event *ev,
           struct fnd_list *findings)
{
  int reply
      = find_name (rec_slot_names, RT_SLOT_REPLIES, jsn_str (s->doc, "slot"));

  if (reply < 0)
    return add_error (r, findings, "/slot", "unknown slot reply");
  ev->slot = (enum rt_slot_reply)reply;
  ev->code = (enum rt_code)jsn_int (s->doc, "code");
  return true;
}

static bool
read_payload (struct rec_reader *r, struct scratch *s, struct rt_event *ev,
              struct fnd_list *findings)
{
  struct json_object *v;
  int verdict;

  switch (ev->kind)
    {
    case RT_EV_ARRIVE:
      v = jsn_object (s->doc, "request");
      if (v == NULL)
        return add_error (r, findings, "/request", "missing");
      read_request (v, ev->id, &s->request);
      ev->request = &s->request;
      return true;
    case RT_EV_REPLICAS:
      if (!read_replicas (s, ev))
        return add_error (r, findings, "/replicas",
                          "missing or invalid address");
      return true;
    case RT_EV_CONFIG:
      return read_config (r, s, ev, findings);
    case RT_EV_CLAIM:
      verdict = find_name (rec_verdict_names, REC_VERDICTS,
                           jsn_str (s->doc, "verdict"));
      if (verdict < 0)
        return add_error (r, findings, "/verdict", "unknown verdict");
      ev->verdict = (enum clm_verdict)verdict;
      return true;
    case RT_EV_SLOT:
      return read_slot (r, s, ev, findings);
    default:
      return true;
    }
}

bool
rec_read_event (struct rec_reader *r, struct str line, clk_ms *now,
                struct rt_event *ev, struct fnd_list *findings)
{
  struct scratch *s = reader_scratch (r);
  int kind;

  r->line++;
  line = str_trim (line);
  if (line.len == 0 || str_starts (line, STR ("//"))
      || str_starts (line, STR ("ready ")))
    return false;
  scratch_clear (s);
  s->doc = parse_line (r, line, findings);
  if (s->doc == NULL)
    return false;
  kind = find_name (rec_event_names, REC_EVENTS, jsn_str (s->doc, "ev"));
  if (kind < 0)
    return add_error (r, findings, "/ev", "unknown event");
  memset (ev, 0, sizeof *ev);
  ev->kind = (enum rt_event_kind)kind;
  *now = jsn_int (s->doc, "t");
  ev->id = (uint64_t)jsn_int (s->doc, "id");
  ev->attempt = (unsigned)jsn_int (s->doc, "attempt");
  ev->name = jsn_str (s->doc, "name");
  ev->on = jsn_bool (s->doc, "on");
  ev->suspect = jsn_bool (s->doc, "suspect");
  ev->tokens_per_s = jsn_double (s->doc, "tokens_per_s");
  ev->concurrency = jsn_double (s->doc, "concurrency");
  ev->valid_ms = jsn_int (s->doc, "valid_ms");
  ev->retry_ms = jsn_int (s->doc, "retry_ms");
  ev->status = (int)jsn_int (s->doc, "status");
  ev->size = (size_t)jsn_int (s->doc, "size");
  ev->tokens = jsn_double (s->doc, "tokens");
  return read_payload (r, s, ev, findings);
}

void
rec_reader_free (struct rec_reader *r)
{
  if (r->scratch != NULL)
    scratch_clear (r->scratch);
  free (r->scratch);
  r->scratch = NULL;
}
