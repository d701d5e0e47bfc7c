#include "serve/peers-int.h"

/*
 * What nodes announce of the configuration, with each load: the version in
 * force, and how current it is known to be.  Among many, the one that others
 * go by also hands the document on to each that has an older one; few watch
 * the store by themselves.
 */

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
  a = (struct cur_announcement){ .version = c->version,
                                 .stamped = c->stamped,
                                 .stamp = c->stamp,
                                 .age_ms = c->age_ms };
  srv_config_announced (x->p->s, now, &a);
}

void
prs_fill_config (const struct peer *x, Lapis__ConfigState *c)
{
  const struct srv *s = x->p->s;
  clk_ms known_at = srv_config_known_at (s);

  lapis__config_state__init (c);
  c->version = srv_config_version (s);
  c->stamped = x->stamped && known_at != 0;
  if (!c->stamped)
    return;
  c->stamp = x->stamp;
  c->age_ms = x->stamp_at - known_at;
}

/** It says so itself, so a node that has just been linked is not sent what it
    has read. */
static bool
lacks_config (const struct peer *x, int64_t version)
{
  return x->up && x->stamped && x->version < version
         && x->version_sent < version;
}

static size_t
count_lacking (const struct srv_peers *p, int64_t version)
{
  size_t n = 0;

  for (const struct peer *x = p->list; x; x = x->next)
    n += lacks_config (x, version);
  return n;
}

void
prs_hand_on_config (struct srv_peers *p)
{
  int64_t version = srv_config_version (p->s);
  size_t n = count_lacking (p, version);
  Lapis__ConfigText config = LAPIS__CONFIG_TEXT__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  struct str text;

  if (n == 0 || !prs_many (p) || !srv_peers_announces (p->s)
      || !srv_config_text (p->s, n, &text))
    return;
  config.version = version;
  config.text.data = (uint8_t *)text.ptr;
  config.text.len = text.len;
  f.body_case = LAPIS__FRAME__BODY_CONFIG_TEXT;
  f.config_text = &config;
  for (struct peer *x = p->list; x; x = x->next)
    if (lacks_config (x, version) && link_send (x->link, &f))
      x->version_sent = version;
}
