#include "route/record.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "route/record-names.h"

static void
put_str (struct json_object *o, const char *key, struct str s)
{
  if (s.len > 0)
    json_object_object_add (o, key,
                            json_object_new_string_len (s.ptr, (int)s.len));
}

static void
put_int (struct json_object *o, const char *key, int64_t n)
{
  if (n != 0)
    json_object_object_add (o, key, json_object_new_int64 (n));
}

static void
put_double (struct json_object *o, const char *key, double n)
{
  if (n != 0)
    json_object_object_add (o, key, json_object_new_double (n));
}

static void
put_bool (struct json_object *o, const char *key, bool b)
{
  if (b)
    json_object_object_add (o, key, json_object_new_boolean (true));
}

static void
put_hex (struct json_object *o, const char *key, const uint8_t *bytes,
         size_t len)
{
  struct buf hex = BUF_INIT;
  buf_add_hex (&hex, bytes, len);
  put_str (o, key, buf_str (&hex));
  buf_free (&hex);
}

static void
put_addr (struct json_object *o, const char *key, const struct net_addr *a)
{
  struct buf text = BUF_INIT;
  if (a->port == 0)
    return;
  net_addr_format (a, &text);
  put_str (o, key, buf_str (&text));
  buf_free (&text);
}

static void
add_line (struct json_object *o, struct buf *out)
{
  buf_add_c (out, json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  buf_add_char (out, '\n');
  json_object_put (o);
}

static struct json_object *
request_json (const struct rt_request *q)
{
  struct json_object *o = json_object_new_object ();
  put_str (o, "account", q->account);
  put_str (o, "target", q->target);
  put_bool (o, "model", q->is_model);
  put_bool (o, "idempotent", q->idempotent);
  if (q->has_key)
    {
      put_hex (o, "claim", q->claim_key, sizeof q->claim_key);
      put_hex (o, "fingerprint", q->fingerprint, sizeof q->fingerprint);
      put_hex (o, "attempt_id", q->attempt_id, sizeof q->attempt_id);
    }
  put_int (o, "priority", q->priority);
  put_int (o, "deadline", q->deadline);
  put_double (o, "cost", q->cost);
  put_int (o, "prefix", (int64_t)q->prefix);
  return o;
}

static struct json_object *
replicas_json (const struct rt_replica *replicas, size_t n)
{
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < n; i++)
    {
      const struct rt_replica *p = &replicas[i];
      struct json_object *o = json_object_new_object ();
      put_str (o, "name", p->name);
      put_str (o, "model", p->model);
      put_str (o, "zone", p->zone);
      put_addr (o, "addr", &p->addr);
      put_int (o, "generation", p->generation);
      put_bool (o, "whole", p->whole);
      put_bool (o, "draining", p->draining);
      put_int (o, "valid_until", p->valid_until);
      put_int (o, "load", p->load);
      put_int (o, "load_at", p->load_at);
      json_object_array_add (list, o);
    }
  return list;
}

/* Key digests would allow offline guessing of weak keys, and the core
   does not use them. Unique placeholders of the same form keep the
   configuration valid. */
static void
redact (struct json_object *o, unsigned *counter)
{
  static const char *const secret[] = { "key_digests", "token_digest" };
  char dummy[65];

  if (!json_object_is_type (o, json_type_object))
    return;
  json_object_object_foreach (o, key, value)
  {
    if (strcmp (key, secret[0]) == 0)
      {
        struct json_object *list = json_object_new_array ();
        snprintf (dummy, sizeof dummy, "%064x", ++*counter);
        json_object_array_add (list, json_object_new_string (dummy));
        json_object_object_add (o, key, list);
      }
    else if (strcmp (key, secret[1]) == 0)
      {
        snprintf (dummy, sizeof dummy, "%064x", ++*counter);
        json_object_object_add (o, key, json_object_new_string (dummy));
      }
    else
      redact (value, counter);
  }
}

static struct json_object *
config_json (struct str text)
{
  struct json_tokener *tok = json_tokener_new ();
  struct json_object *o = json_tokener_parse_ex (tok, text.ptr, (int)text.len);
  unsigned counter = 0;
  json_tokener_free (tok);
  if (o != NULL)
    redact (o, &counter);
  return o;
}

void
rec_write_header (const struct rec_header *head, struct buf *out)
{
  struct json_object *o = json_object_new_object ();
  put_str (o, "core", STR ("route"));
  put_int (o, "seed", (int64_t)head->seed);
  put_str (o, "zone", head->options.zone);
  put_str (o, "node", head->options.node);
  put_int (o, "nodes", head->options.nodes);
  add_line (o, out);
}

void
rec_write_event (clk_ms now, const struct rt_event *ev, struct buf *out)
{
  struct json_object *o = json_object_new_object ();

  json_object_object_add (o, "t", json_object_new_int64 (now));
  put_str (o, "ev", str_from (rec_event_names[ev->kind]));
  put_int (o, "id", (int64_t)ev->id);
  put_int (o, "attempt", ev->attempt);
  if (ev->kind == RT_EV_ARRIVE)
    json_object_object_add (o, "request", request_json (ev->request));
  if (ev->kind == RT_EV_REPLICAS)
    json_object_object_add (o, "replicas",
                            replicas_json (ev->replicas, ev->n));
  if (ev->kind == RT_EV_CONFIG)
    json_object_object_add (o, "config", config_json (ev->cfg->text));
  if (ev->kind == RT_EV_CLAIM)
    put_str (o, "verdict", str_from (rec_verdict_names[ev->verdict]));
  if (ev->kind == RT_EV_SLOT)
    put_str (o, "slot", str_from (rec_slot_names[ev->slot]));
  put_int (o, "code", ev->code);
  put_str (o, "name", ev->name);
  put_bool (o, "on", ev->on);
  put_bool (o, "suspect", ev->suspect);
  put_double (o, "tokens_per_s", ev->tokens_per_s);
  put_double (o, "concurrency", ev->concurrency);
  put_int (o, "valid_ms", ev->valid_ms);
  put_int (o, "retry_ms", ev->retry_ms);
  put_int (o, "status", ev->status);
  put_int (o, "size", (int64_t)ev->size);
  put_double (o, "tokens", ev->tokens);
  add_line (o, out);
}

static void
add_outcome (const struct rt_action *act, struct buf *out)
{
  buf_addf (out, " outcome=%s", rt_outcome_name (act->outcome));
  if (act->code != RT_CODE_NONE)
    buf_addf (out, " code=%s", rt_code_name (act->code));
  if (act->http_status != 0)
    buf_addf (out, " status=%d", act->http_status);
  if (act->retry_ms != 0)
    buf_addf (out, " retry=%lld", (long long)act->retry_ms);
}

static void
add_target (const struct rt_action *act, struct buf *out)
{
  buf_addf (out, " attempt=%u to=%.*s", act->attempt, STR_ARG (act->name));
  if (act->fresh)
    buf_add_c (out, " fresh");
  if (act->resume)
    buf_addf (out, " resume=%zu", act->offset);
}

void
rec_write_action (clk_ms now, const struct rt_action *act, struct buf *out)
{
  buf_addf (out, "%lld %s id=%llu", (long long)now,
            rec_action_names[act->kind], (unsigned long long)act->id);
  switch (act->kind)
    {
    case RT_ACT_CONNECT:
      add_target (act, out);
      break;
    case RT_ACT_SLOT_TAKEN:
      buf_addf (out, " to=%.*s", STR_ARG (act->name));
      break;
    case RT_ACT_SEND:
    case RT_ACT_CANCEL:
    case RT_ACT_PASS:
      buf_addf (out, " attempt=%u", act->attempt);
      break;
    case RT_ACT_ANSWER:
    case RT_ACT_END:
    case RT_ACT_CUT:
      add_outcome (act, out);
      break;
    default:
      break;
    }
  buf_add_char (out, '\n');
}
