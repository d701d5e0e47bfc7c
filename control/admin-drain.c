#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "control/admin.h"

/* Timeout of a drain that was forwarded to another node. */
#define DRAIN_TIMEOUT_MS (2 * CLK_SECOND)

static void
log_change (const struct ctl *c, struct str operator_name, const char *what,
            struct str name, bool on)
{
  LOG (admin_change, LOG_S ("operator", operator_name), LOG_C ("what", what),
       LOG_S ("name", name), LOG_C ("drain", on ? "on" : "off"),
       LOG_I ("revision", c->cfg ? c->cfg->revision : 0));
}

/* Drains a replica that this node probes. */
static bool
drain_local (struct ctl *c, struct str replica, bool on,
             struct str operator_name)
{
  if (!ctl_domains_drain (c->domains, replica, on))
    return false;
  log_change (c, operator_name, "replica", replica, on);
  return true;
}

static void
respond_done (struct httpd_req *http, struct str name, const char *node)
{
  struct buf out = BUF_INIT;
  buf_add_c (&out, "{\"done\":true,\"name\":");
  buf_add_json (&out, name);
  buf_add_c (&out, ",\"node\":");
  buf_add_json (&out, str_from (node));
  buf_add_c (&out, "}\n");
  adm_respond (http, 200, buf_str (&out));
  buf_free (&out);
}

static void
on_drain_timeout (uv_timer_t *t)
{
  struct adm_pending *p = t->data;
  if (p->http)
    adm_error (p->http, 504, "no-answer",
               "the responsible node did not respond; the drain may have run");
  adm_pending_end (p);
}

/* Forwards a drain to the node that can run it. */
static void
forward_drain (const struct adm_request *r, struct str node,
               const Lapis__DrainAsk *request)
{
  struct ctl *c = r->a->c;
  Lapis__DrainAsk ask = *request;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  struct adm_pending *p
      = adm_pending_new (r->a, r->http, DRAIN_TIMEOUT_MS, on_drain_timeout);
  if (!p)
    {
      adm_error (r->http, 503, "busy", "too many open requests");
      return;
    }
  p->operator_name = str_dup (r->operator->name);
  p->target_name = str_dup (r->name);
  p->forwarded_to = str_dup (node);
  ask.id = p->id;
  ask.who = p->operator_name;
  ask.config_revision = (uint64_t)c->cfg->revision;
  f.body_case = LAPIS__FRAME__BODY_DRAIN_ASK;
  f.drain_ask = &ask;
  if (ctl_peers_send_node (c->peers, node, &f))
    {
      LOG (admin_forwarded, LOG_S ("operator", r->operator->name),
           LOG_S ("name", r->name), LOG_S ("to", node),
           LOG_I ("revision", c->cfg->revision));
      return;
    }
  adm_error (r->http, 503, "unreachable",
             "the responsible node is not linked; the drain was not executed");
  adm_pending_end (p);
}

/**
 * Parses the request body: empty or {"on": true} drains, {"on": false} ends a
 * drain.
 * @return false when the body is neither; a 400 response was sent then,
 * because a malformed request to end a drain must not start one
 */
static bool
parse_on (struct httpd_req *http, bool *on)
{
  struct str body = str_trim (httpd_get (http)->body);
  json_object *root = jsn_parse (body);
  json_object *value = jsn_get (root, "on");
  /* json-c aborts when asked for the length of a value that is no object. */
  bool empty = body.len == 0
               || (json_object_is_type (root, json_type_object)
                   && json_object_object_length (root) == 0);
  bool good = empty || json_object_is_type (value, json_type_boolean);

  *on = empty || json_object_get_boolean (value);
  json_object_put (root);
  if (!good)
    adm_error (http, 400, "bad-request",
               "the body must be empty, {\"on\": true} or {\"on\": false}");
  return good;
}

void
adm_drain_replica (const struct adm_request *r)
{
  struct ctl *c = r->a->c;
  const struct ctl_replica *found = adm_find_replica (c, r->name);
  bool on;
  if (!parse_on (r->http, &on))
    return;
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
  if (drain_local (c, r->name, on, r->operator->name))
    respond_done (r->http, r->name, c->set.node);
  else
    adm_error (r->http, 409, "not-drained",
               "this node doesn't probe the replica's fabric domain now");
}

void
adm_drain_node (const struct adm_request *r)
{
  struct ctl *c = r->a->c;
  bool on;
  if (!parse_on (r->http, &on))
    return;
  if (!on)
    {
      adm_error (r->http, 400, "not-taken-back",
                 "a leaving node can't be undrained; restart it");
      return;
    }
  if (str_is (r->name, c->set.node))
    {
      log_change (c, r->operator->name, "node", r->name, true);
      respond_done (r->http, r->name, c->set.node);
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

/* The node that forwarded the request has checked the operator's role. */
void
adm_on_drain_ask (struct ctl_admin *a, uint64_t peer,
                  const Lapis__DrainAsk *ask)
{
  struct ctl *c = a->c;
  struct str operator_name = str_from (ask->who);
  Lapis__DrainAnswer answer = LAPIS__DRAIN_ANSWER__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  bool drains_node = strcmp (ask->node, c->set.node) == 0;
  const struct ctl_replica *r = adm_find_replica (c, str_from (ask->replica));
  answer.id = ask->id;
  if (drains_node)
    log_change (c, operator_name, "node", str_from (ask->node), true);
  answer.done = drains_node
                || (r && str_is (r->owner, c->set.node)
                    && drain_local (c, str_from (ask->replica), ask->on,
                                    operator_name));
  answer.reason = answer.done ? "" : "that node does not own the domain now";
  f.body_case = LAPIS__FRAME__BODY_DRAIN_ANSWER;
  f.drain_answer = &answer;
  ctl_peers_send (c->peers, peer, &f);
  if (drains_node)
    ctl_leave (c);
}

void
adm_on_drain_answer (struct ctl_admin *a, const Lapis__DrainAnswer *answer)
{
  struct adm_pending *p = adm_pending_find (a, answer->id, false);
  if (!p)
    return;
  if (p->http && answer->done)
    respond_done (p->http, str_from (p->target_name), p->forwarded_to);
  else if (p->http)
    adm_error (p->http, 409, "not-drained", answer->reason);
  adm_pending_end (p);
}
