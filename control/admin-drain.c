#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "control/admin.h"

/* Timeout of a drain that was forwarded to another node. */
#define DRAIN_MS (2 * CLK_SECOND)

static void
log_change (const struct ctl *c, struct str who, const char *what,
            struct str name, bool on)
{
  LOG (admin_change, LOG_S ("operator", who), LOG_C ("what", what),
       LOG_S ("name", name), LOG_C ("drain", on ? "on" : "off"),
       LOG_I ("revision", c->cfg ? c->cfg->revision : 0));
}

/* Drains a replica of a domain that this node owns. */
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
  struct adm_ask *k = t->data;
  if (k->http)
    adm_error (k->http, 504, "no-answer",
               "the node that can do it gave no answer; it may have "
               "happened");
  adm_ask_end (k);
}

/* Forwards a drain to the node that can run it. */
static void
forward_drain (const struct adm_request *r, struct str node,
               const Lapis__DrainAsk *asked)
{
  struct ctl *c = r->a->c;
  Lapis__DrainAsk ask = *asked;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  struct adm_ask *k = adm_ask_new (r->a, r->http, DRAIN_MS, on_drain_late);
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
  adm_ask_end (k);
}

/**
 * Parses the request body: empty or {"on": true} drains, {"on": false} ends a
 * drain.
 * @return false when the body is neither; a 400 response was sent then,
 * because a malformed request to end a drain must not start one
 */
static bool
read_on (struct httpd_req *http, bool *on)
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
               "the body is neither empty nor {\"on\": true} or false");
  return good;
}

void
adm_drain_replica (const struct adm_request *r)
{
  struct ctl *c = r->a->c;
  const struct ctl_replica *found = adm_find_replica (c, r->name);
  bool on;
  if (!read_on (r->http, &on))
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
    return;
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

/* The node that forwarded the request has checked the operator's role. */
void
adm_take_drain_ask (struct ctl_admin *a, uint64_t peer,
                    const Lapis__DrainAsk *ask)
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

void
adm_take_drain_answer (struct ctl_admin *a, const Lapis__DrainAnswer *answer)
{
  struct adm_ask *k = adm_ask_find (a, answer->id, false);
  if (!k)
    return;
  if (k->http && answer->done)
    answer_done (k->http, str_from (k->what), k->node);
  else if (k->http)
    adm_error (k->http, 409, "not-drained", answer->reason);
  adm_ask_end (k);
}
