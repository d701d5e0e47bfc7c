#include "serve/peers-int.h"

/*
 * What nodes announce of the configuration, with each load: the version in
 * force, and how current it is known to be.  The one that others rely on also
 * pushes the document to each that has an older one.  Few watch the store by
 * themselves and have it by then, unless the store turns them away or shows
 * them an older one.
 */

/** Few nodes are given so long to read a version by themselves. */
#define FEW_MS ((clk_ms)500)

void
prs_on_stamp (struct peer *x, clk_ms now, const Lapis__NodeLoad *load)
{
  x->stamped = true;
  x->stamp = load->sent_ms;
  x->stamp_at = now;
}

void
prs_on_config (struct peer *x, clk_ms now, const Lapis__ConfigState *c)
{
  struct cur_announcement a;

  if (!c)
    return;
  x->version = c->version;
  if (c->stamped)
    x->sent_at = c->stamp + c->held_ms;
  a = (struct cur_announcement){ .version = c->version,
                                 .stamped = c->stamped && c->known,
                                 .stamp = c->stamp,
                                 .age_ms = c->age_ms };
  srv_config_announced (x->p->s, now, &a);
}

clk_ms
prs_sent_at (const struct peer *x, clk_ms now)
{
  return x->sent_at && x->sent_at < now ? x->sent_at : now;
}

void
prs_fill_config (const struct peer *x, clk_ms now, Lapis__ConfigState *c)
{
  const struct srv *s = x->p->s;
  clk_ms known_at = srv_config_known_at (s);

  lapis__config_state__init (c);
  c->version = srv_config_version (s);
  c->stamped = x->stamped;
  if (!c->stamped)
    return;
  c->stamp = x->stamp;
  c->held_ms = (uint32_t)(now - x->stamp_at);
  c->known = known_at != 0;
  c->age_ms = c->known ? x->stamp_at - known_at : 0;
}

/** It says so itself, so a node that has just been linked is not sent what it
    has read. */
static bool
lacks_config (const struct peer *x, int64_t version)
{
  return x->up && x->stamped && x->version < version
         && x->version_sent < version;
}

static bool
is_due (struct peer *x, int64_t version, clk_ms now)
{
  if (!lacks_config (x, version))
    x->lacks_since = 0;
  else if (!x->lacks_since)
    x->lacks_since = now;
  return x->lacks_since && (prs_many (x->p) || now - x->lacks_since >= FEW_MS);
}

static size_t
count_due (struct srv_peers *p, int64_t version, clk_ms now)
{
  size_t n = 0;

  for (struct peer *x = p->list; x; x = x->next)
    n += is_due (x, version, now);
  return n;
}

void
prs_push_config (struct srv_peers *p, clk_ms now)
{
  int64_t version = srv_config_version (p->s);
  bool any = count_due (p, version, now) > 0;
  Lapis__ConfigText config = LAPIS__CONFIG_TEXT__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  struct str text;

  /* What is too long for all is for each to read: else those that are slow to
     do so would be sent it as well. */
  if (!any || !srv_peers_announces (p->s)
      || !srv_config_text (p->s, prs_count_up (p), &text))
    return;
  config.version = version;
  config.text.data = (uint8_t *)text.ptr;
  config.text.len = text.len;
  f.body_case = LAPIS__FRAME__BODY_CONFIG_TEXT;
  f.config_text = &config;
  for (struct peer *x = p->list; x; x = x->next)
    if (is_due (x, version, now) && link_send (x->link, &f))
      x->version_sent = version;
}
