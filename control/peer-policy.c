#include "control/peers.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/hash.h"

#define WAIT_FIRST_MS ((clk_ms)250)
#define WAIT_LAST_MS (10 * CLK_SECOND)

/* The node with the larger name opens a link only after the one with the
   smaller name has not done so for this long. */
#define TURN_MS (3 * CLK_SECOND)

/* A link opened on demand is kept for this long after the last failed send. */
#define WANTED_MS CLK_MINUTE

static struct target *
add_target (struct ctl_peers *p, const struct net_addr *addr)
{
  struct target *t = xcalloc (1, sizeof *t);

  t->addr = *addr;
  t->wait = WAIT_FIRST_MS;
  t->wanted_at = -WANTED_MS;
  t->next = p->targets;
  p->targets = t;
  return t;
}

static struct target *
find_target (const struct ctl_peers *p, struct str node)
{
  for (struct target *t = p->targets; t != NULL; t = t->next)
    if (t->node != NULL && !t->settings && str_is (node, t->node))
      return t;
  return NULL;
}

static void
free_target (struct target *t)
{
  if (t->peer != NULL)
    t->peer->target = NULL;
  free (t->node);
  free (t);
}

void
prs_policy_start (struct ctl_peers *p)
{
  for (size_t i = 0; i < p->c->set.npeers; i++)
    add_target (p, &p->c->set.peers[i])->settings = true;
}

void
prs_policy_stop (struct ctl_peers *p)
{
  while (p->targets != NULL)
    {
      struct target *t = p->targets;

      p->targets = t->next;
      free_target (t);
    }
}

void
prs_target_lost (struct target *t)
{
  t->peer = NULL;
}

void
prs_target_named (struct target *t, const char *node)
{
  char *copy = xstrdup (node);

  free (t->node);
  t->node = copy;
  t->wait = WAIT_FIRST_MS;
}

void
prs_target_is_self (struct target *t)
{
  t->is_self = true;
}

void
prs_want (struct ctl_peers *p, struct str node)
{
  struct target *t = find_target (p, node);

  if (t != NULL)
    t->wanted_at = clk_now ();
}

/* --- which nodes to link to
   -------------------------------------------------- */

/** Input of the policy, collected once per tick. */
struct survey
{
  const struct mbr_node *const *nodes;
  size_t n;
  size_t region; /**< nodes of this region that are not dead */
  bool owner;    /**< this node owns a fabric domain */
  struct str picks[PRS_PICKS];
  size_t npicks;
};

static bool
is_self (const struct ctl_peers *p, const struct mbr_node *node)
{
  return str_is (node->name, p->c->set.node);
}

static bool
is_near (const struct ctl_peers *p, const struct mbr_node *node)
{
  return str_is (node->region, p->c->set.region);
}

static bool
owns_a_domain (const struct ctl_peers *p)
{
  size_t n;
  const struct ctl_replica *all;

  if (p->c->domains == NULL)
    return false;
  all = ctl_domains_replicas (p->c->domains, &n);
  for (size_t i = 0; i < n; i++)
    if (str_is (all[i].owner, p->c->set.node))
      return true;
  return false;
}

static void
pick_some (const struct ctl_peers *p, struct survey *s)
{
  struct str *names = xcalloc (s->n + 1, sizeof *names);
  size_t picked[PRS_PICKS];
  struct buf role = BUF_INIT;
  size_t n = 0;

  for (size_t i = 0; i < s->n; i++)
    if (!is_self (p, s->nodes[i]) && is_near (p, s->nodes[i])
        && s->nodes[i]->status == MBR_ALIVE)
      names[n++] = s->nodes[i]->name;
  buf_addf (&role, "links of %s", p->c->set.node);
  s->npicks = hash_pick_k (buf_str (&role), names, n, picked, PRS_PICKS);
  for (size_t i = 0; i < s->npicks; i++)
    s->picks[i] = names[picked[i]];
  buf_free (&role);
  free (names);
}

static void
look_around (const struct ctl_peers *p, struct survey *s)
{
  memset (s, 0, sizeof *s);
  s->nodes = ctl_swim_nodes (p->c->swim, &s->n);
  for (size_t i = 0; i < s->n; i++)
    s->region += is_near (p, s->nodes[i]) && s->nodes[i]->status != MBR_DEAD;
  if (s->region <= PRS_MESH)
    return;
  s->owner = owns_a_domain (p);
  pick_some (p, s);
}

/**
 * Whether this node should open a link to @p node.  Small regions are a full
 * mesh.  In large ones evidence must reach every node from the owners, and
 * configuration spreads over a few links picked by hashing; other links are
 * opened on demand.
 */
static bool
is_ours_to_link (const struct ctl_peers *p, const struct survey *s,
                 const struct mbr_node *node, const struct target *t,
                 clk_ms now)
{
  bool smaller = str_cmp (str_from (p->c->set.node), node->name) < 0;

  if (t->wanted_at + WANTED_MS > now)
    return true;
  if (!is_near (p, node))
    return ctl_swim_is_bridge (p->c->swim, node->region);
  if (s->region <= PRS_MESH)
    return smaller || now - t->missed >= TURN_MS;
  for (size_t i = 0; i < s->npicks; i++)
    if (str_eq (s->picks[i], node->name))
      return true;
  return s->owner;
}

static void
try_open (struct ctl_peers *p, struct target *t, clk_ms now)
{
  clk_ms half = t->wait / 2;

  if (t->peer != NULL || t->is_self || now < t->next_try)
    return;
  t->next_try
      = now + half + (clk_ms)rng_below (&p->c->rng, (uint64_t)half + 1);
  t->wait *= 2;
  if (t->wait > WAIT_LAST_MS)
    t->wait = WAIT_LAST_MS;
  prs_open (p, t);
}

static void
tend_member (struct ctl_peers *p, const struct survey *s,
             const struct mbr_node *node, clk_ms now)
{
  struct target *t = find_target (p, node->name);
  struct peer *peer = prs_find (p, node->name);

  if (t == NULL)
    {
      t = add_target (p, &node->peer);
      t->node = str_dup (node->name);
      t->missed = now;
    }
  t->addr = node->peer;
  if (peer != NULL)
    {
      t->missed = now;
      t->wait = WAIT_FIRST_MS;
    }
  if (is_ours_to_link (p, s, node, t, now))
    {
      if (peer == NULL && node->peer.port != 0)
        try_open (p, t, now);
    }
  else if (peer != NULL && peer == t->peer && s->region > PRS_MESH)
    prs_close (peer);
}

/** An address of the settings is a seed, whose node is known only after its
    hello. */
static void
tend_settings (struct ctl_peers *p, struct target *t, clk_ms now)
{
  if (t->node == NULL || prs_find (p, str_from (t->node)) == NULL)
    try_open (p, t, now);
}

/** Drops targets whose node is no longer a member. */
static void
drop_targets (struct ctl_peers *p, const struct survey *s)
{
  struct target **at = &p->targets;

  while (*at != NULL)
    {
      struct target *t = *at;
      bool known = t->settings;

      for (size_t i = 0; i < s->n && !known; i++)
        known = str_is (s->nodes[i]->name, t->node);
      if (known)
        {
          at = &t->next;
          continue;
        }
      *at = t->next;
      free_target (t);
    }
}

void
prs_policy_tick (struct ctl_peers *p)
{
  clk_ms now = clk_now ();
  struct survey s;

  look_around (p, &s);
  for (size_t i = 0; i < s.n; i++)
    if (!is_self (p, s.nodes[i]) && s.nodes[i]->status != MBR_DEAD)
      tend_member (p, &s, s.nodes[i], now);
  for (struct target *t = p->targets; t != NULL; t = t->next)
    if (t->settings)
      tend_settings (p, t, now);
  drop_targets (p, &s);
}
