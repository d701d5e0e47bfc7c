#include "control/peers.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/hash.h"

#define BACKOFF_MIN_MS ((clk_ms)250)
#define BACKOFF_MAX_MS (10 * CLK_SECOND)

/* Time without a link after which the node with the larger name opens it. */
#define SMALLER_NAME_OPENS_MS (3 * CLK_SECOND)

/* A link opened on demand is kept for this long after the last failed send. */
#define ON_DEMAND_KEEP_MS CLK_MINUTE

static struct target *
add_target (struct ctl_peers *p, const struct net_addr *addr)
{
  struct target *t = xcalloc (1, sizeof *t);

  t->addr = *addr;
  t->backoff = BACKOFF_MIN_MS;
  t->requested_at = -ON_DEMAND_KEEP_MS;
  t->next = p->targets;
  p->targets = t;
  return t;
}

static struct target *
find_target (const struct ctl_peers *p, struct str node)
{
  for (struct target *t = p->targets; t != NULL; t = t->next)
    if (t->node != NULL && !t->from_settings && str_is (node, t->node))
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
    add_target (p, &p->c->set.peers[i])->from_settings = true;
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
prs_on_target_unlinked (struct target *t)
{
  t->peer = NULL;
}

void
prs_on_target_hello (struct target *t, const char *node)
{
  char *copy = xstrdup (node);

  free (t->node);
  t->node = copy;
  t->backoff = BACKOFF_MIN_MS;
}

void
prs_on_target_self (struct target *t)
{
  t->is_self = true;
}

void
prs_request_link (struct ctl_peers *p, struct str node)
{
  struct target *t = find_target (p, node);

  if (t != NULL)
    t->requested_at = clk_now ();
}

/* --- which nodes to link to --------------------------------------------- */

/** Input of the policy, collected once per tick. */
struct policy_input
{
  const struct mbr_node *const *nodes;
  size_t n;
  size_t region_nodes; /**< nodes of this region that are not dead */
  bool is_home;
  struct str picked_names[PRS_LINKS_PER_NODE];
  size_t npicked;
};

static bool
is_self (const struct ctl_peers *p, const struct mbr_node *node)
{
  return str_is (node->name, p->c->set.node);
}

static bool
in_own_region (const struct ctl_peers *p, const struct mbr_node *node)
{
  return str_is (node->region, p->c->set.region);
}

static bool
is_home_of_any_domain (const struct ctl_peers *p)
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
pick_links (const struct ctl_peers *p, struct policy_input *s)
{
  struct str *names = xcalloc (s->n + 1, sizeof *names);
  size_t picked[PRS_LINKS_PER_NODE];
  struct buf role = BUF_INIT;
  size_t n = 0;

  for (size_t i = 0; i < s->n; i++)
    if (!is_self (p, s->nodes[i]) && in_own_region (p, s->nodes[i])
        && s->nodes[i]->status == MBR_ALIVE)
      names[n++] = s->nodes[i]->name;
  buf_addf (&role, "links of %s", p->c->set.node);
  s->npicked
      = hash_pick_k (buf_str (&role), names, n, picked, PRS_LINKS_PER_NODE);
  for (size_t i = 0; i < s->npicked; i++)
    s->picked_names[i] = names[picked[i]];
  buf_free (&role);
  free (names);
}

static void
collect_input (const struct ctl_peers *p, struct policy_input *s)
{
  memset (s, 0, sizeof *s);
  s->nodes = ctl_swim_nodes (p->c->swim, &s->n);
  for (size_t i = 0; i < s->n; i++)
    s->region_nodes
        += in_own_region (p, s->nodes[i]) && s->nodes[i]->status != MBR_DEAD;
  if (s->region_nodes <= PRS_MAX_FULL_MESH)
    return;
  s->is_home = is_home_of_any_domain (p);
  pick_links (p, s);
}

/**
 * Whether this node should open a link to @p node.  Small regions are a full
 * mesh.  In large ones the homes of domains open links to every node, to send
 * evidence; configuration is forwarded over a few links picked by hashing, and
 * other links are opened on demand.
 */
static bool
should_open_link (const struct ctl_peers *p, const struct policy_input *s,
                  const struct mbr_node *node, const struct target *t,
                  clk_ms now)
{
  bool own_is_smaller = str_cmp (str_from (p->c->set.node), node->name) < 0;

  if (t->requested_at + ON_DEMAND_KEEP_MS > now)
    return true;
  if (!in_own_region (p, node))
    return ctl_swim_is_bridge (p->c->swim, node->region);
  if (s->region_nodes <= PRS_MAX_FULL_MESH)
    return own_is_smaller || now - t->last_linked_at >= SMALLER_NAME_OPENS_MS;
  for (size_t i = 0; i < s->npicked; i++)
    if (str_eq (s->picked_names[i], node->name))
      return true;
  return s->is_home;
}

static void
try_open (struct ctl_peers *p, struct target *t, clk_ms now)
{
  clk_ms half = t->backoff / 2;

  if (t->peer != NULL || t->is_self || now < t->next_try)
    return;
  t->next_try
      = now + half + (clk_ms)rng_below (&p->c->rng, (uint64_t)half + 1);
  t->backoff *= 2;
  if (t->backoff > BACKOFF_MAX_MS)
    t->backoff = BACKOFF_MAX_MS;
  prs_open (p, t);
}

static void
update_member_link (struct ctl_peers *p, const struct policy_input *s,
                    const struct mbr_node *node, clk_ms now)
{
  struct target *t = find_target (p, node->name);
  struct peer *peer = prs_find (p, node->name);

  if (t == NULL)
    {
      t = add_target (p, &node->peer);
      t->node = str_dup (node->name);
      t->last_linked_at = now;
    }
  t->addr = node->peer;
  if (peer != NULL)
    {
      t->last_linked_at = now;
      t->backoff = BACKOFF_MIN_MS;
    }
  if (should_open_link (p, s, node, t, now))
    {
      if (peer == NULL && node->peer.port != 0)
        try_open (p, t, now);
    }
  else if (peer != NULL && peer == t->peer
           && s->region_nodes > PRS_MAX_FULL_MESH)
    prs_close (peer);
}

/** The settings list addresses only; the hello contains the node's name. */
static void
update_settings_link (struct ctl_peers *p, struct target *t, clk_ms now)
{
  if (t->node == NULL || prs_find (p, str_from (t->node)) == NULL)
    try_open (p, t, now);
}

/** Frees targets whose node is no longer a member. */
static void
drop_stale_targets (struct ctl_peers *p, const struct policy_input *s)
{
  struct target **at = &p->targets;

  while (*at != NULL)
    {
      struct target *t = *at;
      bool keep = t->from_settings;

      for (size_t i = 0; i < s->n && !keep; i++)
        keep = str_is (s->nodes[i]->name, t->node);
      if (keep)
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
  struct policy_input s;

  collect_input (p, &s);
  for (size_t i = 0; i < s.n; i++)
    if (!is_self (p, s.nodes[i]) && s.nodes[i]->status != MBR_DEAD)
      update_member_link (p, &s, s.nodes[i], now);
  for (struct target *t = p->targets; t != NULL; t = t->next)
    if (t->from_settings)
      update_settings_link (p, t, now);
  drop_stale_targets (p, &s);
}
