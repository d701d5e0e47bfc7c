#include "serve/peers-int.h"

/*
 * Configuration state in the frames between nodes.  With each load a node
 * announces the version in force and when that version was last confirmed to
 * be the newest.  The node whose announcements others rely on (the leader or,
 * in a large fleet without a leader, the aggregator) also pushes the document
 * to each peer with an older version.  In a small fleet, each node watches the
 * store and usually reads a new version before a push is due, unless the store
 * rejects its requests or returns an older revision.
 *
 * That node may itself be behind: it started after the store was restored from
 * an older copy, or can't reach the store.  Then the others push to it, one
 * after the other, until it announces the newer version.
 */

/** Time that each node of a small fleet is given to read a new version from
    the store before the document is pushed to it. */
#define SMALL_FLEET_DELAY_MS ((clk_ms)500)
/** Stagger, per rank, of pushes to the node that announces. */
#define PUSH_STAGGER_MS ((clk_ms)150)

void
prs_on_load_timestamp (struct peer *x, clk_ms now, const Lapis__NodeLoad *load)
{
  x->has_timestamp = true;
  x->timestamp = load->sent_ms;
  x->timestamp_received_at = now;
}

void
prs_on_config_state (struct peer *x, clk_ms now, const Lapis__ConfigState *c)
{
  struct cur_announcement a;

  if (!c)
    return;
  x->config_version = c->version;
  store_learn_era (x->p->s->store, c->store_era, x->node);
  if (c->stamped)
    x->load_sent_earliest = c->stamp + c->held_ms;
  a = (struct cur_announcement){ .version = c->version,
                                 .has_echo = c->stamped && c->known,
                                 .echoed_at = c->stamp,
                                 .age_ms = c->age_ms };
  srv_config_announced (x->p->s, now, &a);
}

clk_ms
prs_sent_at (const struct peer *x, clk_ms now)
{
  return x->load_sent_earliest && x->load_sent_earliest < now
             ? x->load_sent_earliest
             : now;
}

void
prs_fill_config_state (struct peer *x, clk_ms now, Lapis__ConfigState *c)
{
  const struct srv *s = x->p->s;
  clk_ms confirmed_at = srv_config_confirmed_at (s);

  lapis__config_state__init (c);
  c->version = srv_config_version (s);
  c->store_era = store_era (s->store);
  c->stamped = x->has_timestamp;
  if (!c->stamped)
    return;
  c->stamp = x->timestamp;
  c->held_ms = (uint32_t)(now - x->timestamp_received_at);
  c->known = confirmed_at != 0 && prs_send_evacuations (x);
  c->age_ms = c->known ? x->timestamp_received_at - confirmed_at : 0;
}

/** A newly linked peer may have read the document already: its version is
    unknown until a load has arrived on this link. */
static bool
is_config_behind (const struct peer *x, int64_t version)
{
  return x->up && x->has_timestamp && x->config_version < version
         && x->config_version_sent < version;
}

/** Delay of a push to a peer, CLK_NEVER: another node pushes to it. */
static clk_ms
push_delay (const struct peer *x)
{
  const struct srv_peers *p = x->p;

  if (srv_peers_is_announcer (p->s))
    return prs_exceeds_full_mesh (p) ? 0 : SMALL_FLEET_DELAY_MS;
  if (x->is_leader || x == p->aggregator)
    return SMALL_FLEET_DELAY_MS + srv_node_rank (p->s) * PUSH_STAGGER_MS;
  return CLK_NEVER;
}

static bool
is_push_due (struct peer *x, int64_t version, clk_ms now)
{
  if (!is_config_behind (x, version))
    x->config_behind_since = 0;
  else if (!x->config_behind_since)
    x->config_behind_since = now;
  return x->config_behind_since
         && now - x->config_behind_since >= push_delay (x);
}

static size_t
count_push_due (struct srv_peers *p, int64_t version, clk_ms now)
{
  size_t n = 0;

  for (struct peer *x = p->peers; x; x = x->next)
    n += is_push_due (x, version, now);
  return n;
}

void
prs_push_config (struct srv_peers *p, clk_ms now)
{
  int64_t version = srv_config_version (p->s);
  size_t ndue = count_push_due (p, version, now);
  bool announces = srv_peers_is_announcer (p->s);
  Lapis__ConfigText config = LAPIS__CONFIG_TEXT__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  struct str text;

  /* The length is checked against all linked peers, not only those that are
     behind.  If a document is too long to be sent to all of them, each reads
     it from the store, and it must not be sent to the last few peers that have
     not read it yet. */
  if (!ndue
      || !srv_config_document (p->s, announces ? prs_count_up (p) : ndue,
                               &text))
    return;
  config.version = version;
  config.text.data = (uint8_t *)text.ptr;
  config.text.len = text.len;
  f.body_case = LAPIS__FRAME__BODY_CONFIG_TEXT;
  f.config_text = &config;
  for (struct peer *x = p->peers; x; x = x->next)
    if (is_push_due (x, version, now) && prs_send_evacuations (x)
        && link_send (x->link, &f))
      x->config_version_sent = version;
}
