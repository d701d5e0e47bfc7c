#include <stdio.h>

#include "platform/names.h"
#include "standins/rack.h"

/*
 * Each server listens on a second port, and the key-value service on one where
 * entries of servers name the second ports.  Nodes that use that service are
 * partitioned from the servers by what is done to the second ports.  The
 * leader sends the server list, with the first ports, to the nodes that are
 * linked to it, so these nodes are not shown its entry.
 */

static void
on_side_request (void *ctx, struct httpd_req *req)
{
  struct server *s = ctx;

  if (s->rack->cut != CUT_SILENT)
    rack_server_on_request (s, req, true);
}

static bool
listen_side (struct server *s, struct net_addr *at)
{
  struct httpd_limits limits
      = { .max_body = 1 << 20, .max_connections = 1000, .request_ms = 30000 };
  struct buf err = BUF_INIT;

  s->side_httpd
      = httpd_listen (&s->rack->loop, at, &limits, on_side_request, s, &err);
  buf_free (&err);
  return s->side_httpd != NULL;
}

bool
rack_cut_start (struct server *s)
{
  struct net_addr at = { .host = "127.0.0.1" };
  struct buf text = BUF_INIT;

  if (!listen_side (s, &at))
    return false;
  at.port = httpd_port (s->side_httpd);
  net_addr_format (&at, &text);
  snprintf (s->side_addr, sizeof s->side_addr, "%s", buf_c (&text));
  buf_free (&text);
  return true;
}

static void
open_side (struct server *s)
{
  struct net_addr at;

  if (!s->dead && !s->side_httpd
      && net_addr_parse (str_from (s->side_addr), false, &at))
    listen_side (s, &at);
}

static void
close_side (struct server *s, bool reset)
{
  if (!s->side_httpd)
    return;
  if (reset)
    {
      rack_server_close_side (s);
      rack_pause_drop (s, true);
      httpd_free (s->side_httpd);
    }
  else
    httpd_stop_accepting (s->side_httpd);
  s->side_httpd = NULL;
}

void
rack_cut_set (struct rack *r, struct str how)
{
  if (str_is (how, "silent"))
    r->cut = CUT_SILENT;
  else if (str_is (how, "refuse"))
    r->cut = CUT_REFUSE;
  else if (str_is (how, "reset"))
    r->cut = CUT_RESET;
  else
    r->cut = CUT_NONE;
  for (size_t i = 0; i < r->nservers; i++)
    if (r->cut == CUT_REFUSE || r->cut == CUT_RESET)
      close_side (&r->servers[i], r->cut == CUT_RESET);
    else
      open_side (&r->servers[i]);
}

bool
rack_cut_shows (const struct rack *r, struct str key)
{
  const struct str nodes = STR (PLT_PREFIX_OWN "nodes/");

  return !r->side_hides[0] || !str_starts (key, nodes)
         || !str_is (str_skip (key, nodes.len), r->side_hides);
}

void
rack_cut_rewrite (const struct rack *r, GString *text)
{
  char from[40], to[40];

  for (size_t i = 0; i < r->nservers; i++)
    {
      snprintf (from, sizeof from, "\"%s\"", r->servers[i].addr);
      snprintf (to, sizeof to, "\"%s\"", r->servers[i].side_addr);
      if (g_string_replace (text, from, to, 1))
        return;
    }
}
