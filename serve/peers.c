#include "serve/peers-int.h"

#include <stdlib.h>
#include <string.h>

/*
 * Links between nodes: each tells what it has under way where.  Places fill
 * and empty within a second, so what was told has to be some tenth of a second
 * old at most to keep two nodes from taking the same last slot.  hubs.h says
 * which nodes are linked.
 */

/** A link is given up after this: it may have gone silent for good. */
#define LINK_TIMEOUT_MS ((clk_ms)2500)
#define RECONNECT_MS ((clk_ms)300)
/** The one that forms replicas links to nodes that did not link to it: they
    may not know it yet. */
#define LEADER_CONNECT_DELAY_MS ((clk_ms)1000)
/** A link that this node has begun is kept for so long when it is not wanted
    any more: what is known of other nodes grows within seconds after a start.
 */
#define UNWANTED_LINK_MS ((clk_ms)5000)
/** Before there is traffic each node is told the list this often: servers that
    appear, load and open change thrice each within seconds, and nobody needs
    what is between. */
#define IDLE_LIST_INTERVAL_MS ((clk_ms)1000)
/** What a hub told of ready nodes holds for so long: two changes of the node
    that forms replicas, of some two seconds each. */
#define NODE_LIST_VALID_MS ((clk_ms)5000)

static struct peer *
find_peer (const struct srv_peers *p, struct str node)
{
  struct peer *x = p->list;

  while (x && !str_is (node, x->node))
    x = x->next;
  return x;
}

static struct peer *
find_peer_by_link (const struct srv_peers *p, const struct link *l)
{
  struct peer *x = p->list;

  while (x && x->link != l)
    x = x->next;
  return x;
}

struct peer *
prs_find_or_add_peer (struct srv_peers *p, struct str node)
{
  struct peer *x = find_peer (p, node);

  if (x)
    return x;
  x = xcalloc (1, sizeof *x);
  x->p = p;
  x->node = str_dup (node);
  x->hash = str_hash (node, 0);
  x->next = p->list;
  p->list = x;
  return x;
}

void
prs_update_node_count (struct srv_peers *p)
{
  dsp_nodes (p->s->dispatch, srv_peers_nodes (p->s));
}

static void
peer_down (struct peer *x, const char *why)
{
  struct srv *s = x->p->s;

  if (x->up)
    LOG (node_lost, LOG_C ("peer", x->node), LOG_C ("why", why),
         LOG_I ("unheard_ms", clk_now () - x->received_at));
  x->connect_failed = !x->up;
  x->link = NULL;
  x->up = x->ready = x->list_received = x->leads = false;
  x->list_version = 0;
  x->has_timestamp = false;
  x->load_sent_earliest = 0;
  x->config_version = x->config_version_sent = 0;
  x->ncounts = 0;
  lim_unfollowed (s->limits, x->hash);
  x->next_connect = clk_now () + RECONNECT_MS;
  prs_update_dispatch (x, clk_now ());
  srv_act (s);
  prs_update_node_count (x->p);
}

/* --- frames ------------------------------------------------------------ */

static void
send_hello (const struct srv_peers *p, struct link *l)
{
  Lapis__Hello hello = LAPIS__HELLO__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  char *node = str_dup (p->s->set.node);

  hello.node = node;
  hello.boot = p->s->boot;
  f.body_case = LAPIS__FRAME__BODY_HELLO;
  f.hello = &hello;
  link_send (l, &f);
  free (node);
}

static void
on_hello (struct srv_peers *p, struct link *l, const Lapis__Hello *hello)
{
  struct peer *x = prs_find_or_add_peer (p, str_from (hello->node));

  if (x->link && x->link != l)
    {
      /* It has begun a new link; the old one is of an earlier life. */
      link_close (x->link);
      peer_down (x, "replaced");
    }
  x->initiated = x->initiated && x->link == l;
  x->link = l;
  x->up = true;
  x->connect_failed = false;
  x->received_at = clk_now ();
  x->load_sent_at = 0;
  LOG (node_linked, LOG_C ("peer", x->node));
  prs_update_node_count (p);
  prs_send_poison_snapshot (x, x->received_at);
  prs_send_limits (x, x->received_at);
}

static void
on_servers (struct peer *x, const Lapis__ServerList *list)
{
  struct srv *s = x->p->s;
  clk_ms now = clk_now ();

  x->received_at = now;
  x->list_received = true;
  /* A frame of an earlier owner may arrive late, after this node has taken the
     duty.  It is older than what this node reads by itself, and the forming
     core borrows the text of these entries: it read freed memory. */
  if (srv_duty_holds (s))
    return;
  srv_sync_heard (s, prs_sent_at (x, now) - list->age_ms);
  if (svl_apply (s->backends, now, prs_sent_at (x, now), list))
    srv_places_changed (s);
}

static void
on_frame (void *ctx, struct link *l, const Lapis__Frame *f)
{
  struct srv_peers *p = ctx;
  struct peer *x = find_peer_by_link (p, l);

  if (f->body_case == LAPIS__FRAME__BODY_HELLO)
    on_hello (p, l, f->hello);
  else if (x && f->body_case == LAPIS__FRAME__BODY_NODE_LOAD)
    prs_on_load (x, f->node_load);
  else if (x && f->body_case == LAPIS__FRAME__BODY_SERVER_LIST)
    on_servers (x, f->server_list);
  else if (x && f->body_case == LAPIS__FRAME__BODY_FLEET_LOAD)
    prs_on_sum (x, f->fleet_load);
  else if (x && f->body_case == LAPIS__FRAME__BODY_PROMPT_NOTICE)
    prs_on_prompt_notice (x, f->prompt_notice);
  else if (x && f->body_case == LAPIS__FRAME__BODY_NODE_LIST)
    prs_on_node_list (x, f->node_list);
  else if (x && f->body_case == LAPIS__FRAME__BODY_POISON_UPDATES)
    prs_on_poison_updates (x, f->poison_updates);
  else if (x && f->body_case == LAPIS__FRAME__BODY_RATE_LIMITS)
    prs_on_limits (x, f->rate_limits);
  else if (x && f->body_case == LAPIS__FRAME__BODY_PERMIT_ASK)
    prs_on_permit_ask (x, f->permit_ask);
  else if (x && f->body_case == LAPIS__FRAME__BODY_PERMIT_GRANTS)
    prs_on_permit_grants (x, f->permit_grants);
  else if (x && f->body_case == LAPIS__FRAME__BODY_CONFIG_TEXT)
    srv_config_pushed (
        p->s, f->config_text->version,
        str_make (f->config_text->text.data, f->config_text->text.len));
}

static void
on_state (void *ctx, struct link *l, enum link_state state)
{
  struct srv_peers *p = ctx;
  struct peer *x = find_peer_by_link (p, l);

  if (state == LINK_UP)
    send_hello (p, l);
  else if (state == LINK_DOWN && x)
    peer_down (x, "closed");
}

static const struct link_callbacks callbacks = { on_state, on_frame };

size_t
prs_count_up (const struct srv_peers *p)
{
  size_t n = 0;

  for (const struct peer *x = p->list; x; x = x->next)
    n += x->up;
  return n;
}

bool
srv_peers_linked (const struct srv *s)
{
  return s->peers && prs_count_up (s->peers) > 0;
}

/* --- keeping links ----------------------------------------------------- */

/** Decide anew which nodes to link to. */
static void
choose_links (struct srv_peers *p, clk_ms now)
{
  struct rly_peer *list;
  const struct rly_peer *aggregator;
  struct peer **peers;
  bool leads = srv_duty_holds (p->s);
  size_t n = 0;

  for (const struct peer *x = p->list; x; x = x->next)
    n += x->listed;
  list = xcalloc (n + 1, sizeof *list);
  peers = xcalloc (n + 1, sizeof (*peers));
  n = 0;
  for (struct peer *x = p->list; x; x = x->next)
    if (x->listed)
      {
        list[n] = (struct rly_peer){ .node = x->spec,
                                     .up = x->up,
                                     .failing = x->connect_failed,
                                     .leads = x->leads };
        peers[n++] = x;
      }
  p->nlisted = n;
  rly_choose_links (&p->spec, leads, list, n);
  aggregator = rly_aggregator (&p->spec, leads, list, n);
  p->aggregator = aggregator ? peers[aggregator - list] : NULL;
  for (size_t i = 0; i < n; i++)
    {
      if (peers[i]->wanted != list[i].wanted)
        peers[i]->wanted_changed_at = now;
      peers[i]->wanted = list[i].wanted;
    }
  free (list);
  free (peers);
}

/** Of two nodes the one connects that is later in the order of hubs. */
static bool
may_connect (const struct peer *x, clk_ms now)
{
  if (x->link || !x->listed || !x->wanted || now < x->next_connect)
    return false;
  if (hub_cmp (&x->spec, &x->p->spec) < 0)
    return true;
  return srv_duty_holds (x->p->s) && x->p->nlisted + 1 > HUB_MESH_MOST
         && now - x->wanted_changed_at >= LEADER_CONNECT_DELAY_MS;
}

static void
connect_peer (struct peer *x, clk_ms now)
{
  if (!may_connect (x, now))
    return;
  x->next_connect = now + RECONNECT_MS;
  x->initiated = true;
  x->link = link_connect (&x->p->s->loop, &x->addr, &x->p->secret, &callbacks,
                          x->p);
}

static void
check_peer (struct peer *x, clk_ms now)
{
  bool timed_out = x->up && now - x->received_at > LINK_TIMEOUT_MS;
  bool unwanted = x->up && x->initiated && !x->wanted
                  && now - x->wanted_changed_at > UNWANTED_LINK_MS;

  if (timed_out || unwanted)
    {
      link_close (x->link);
      peer_down (x, timed_out ? "silent" : "unwanted");
    }
  connect_peer (x, now);
}

void
srv_peers_tick (struct srv *s, clk_ms now)
{
  struct srv_peers *p = s->peers;

  if (!p)
    return;
  for (struct peer *x = p->list; x; x = x->next)
    check_peer (x, now);
  if (now < p->next_send)
    return;
  p->next_send = now + PRS_SEND_INTERVAL_MS;
  choose_links (p, now);
  srv_peers_servers (s);
  prs_send_due (p, now);
  prs_grant_permits (p, now, true);
}

bool
srv_peers_announces (const struct srv *s)
{
  const struct srv_peers *p = s->peers;

  if (!p || prs_count_up (p) == 0)
    return false;
  return srv_duty_holds (s) || (prs_exceeds_mesh (p) && !p->aggregator);
}

/** Silence of the others is not judged by time in which this process could
    not hear them. */
void
srv_peers_resumed (struct srv *s, clk_ms now, clk_ms ms)
{
  for (struct peer *x = s->peers ? s->peers->list : NULL; x; x = x->next)
    if (x->up)
      x->received_at = x->received_at + ms < now ? x->received_at + ms : now;
}

/** Of those that lack changes of the list and were not told just now, the one
    told longest ago. */
static struct peer *
next_list_receiver (const struct srv_peers *p, uint64_t version, clk_ms now)
{
  clk_ms interval = p->s->traffic ? 1 : IDLE_LIST_INTERVAL_MS;
  struct peer *best = NULL;

  for (struct peer *x = p->list; x; x = x->next)
    if (x->up && x->list_version != version
        && now - x->list_sent_at >= interval
        && (!best || x->list_sent_at < best->list_sent_at))
      best = x;
  return best;
}

/**
 * A thousand servers that are formed into replicas change some three times
 * each, and to tell each change to a hundred nodes takes more than a small
 * VM's link; then the owner's own lease is not renewed in time, the next owner
 * begins with the whole list for everybody, and loses it too.  So the list
 * takes a part of the link, the least informed first.  Changes that wait go
 * together, and a node that hears nothing reads by itself.
 */
void
srv_peers_servers (struct srv *s)
{
  struct srv_peers *p = s->peers;
  struct svl_frame *frame = NULL;
  clk_ms now = clk_now ();
  struct peer *x;

  if (!p || !srv_duty_holds (s))
    return;
  while (svl_may_send (&p->list_budget, now, s->set.link_bytes_per_s)
         && (x = next_list_receiver (p, bks_version (s->backends), now))
                != NULL)
    {
      if (!svl_frame_matches (frame, x->list_version))
        {
          svl_frame_free (frame);
          frame = svl_frame_new (s->backends, srv_sync_age (s, now),
                                 x->list_version);
        }
      p->list_budget.bytes
          -= (double)svl_frame_send (frame, x->link, &x->list_version);
      x->list_sent_at = now;
    }
  svl_frame_free (frame);
}

void
srv_peers_entries (struct srv *s, const struct srv_entry *list, size_t n)
{
  struct srv_peers *p = s->peers;

  if (!p)
    return;
  for (struct peer *x = p->list; x; x = x->next)
    x->in_entries = false;
  for (size_t i = 0; i < n; i++)
    {
      if (str_eq (list[i].node, s->set.node))
        continue;
      struct peer *x = prs_find_or_add_peer (p, list[i].node);
      x->front = list[i].front;
      x->addr = list[i].peer;
      x->spec = list[i].spec;
      x->in_entries = true;
    }
  /* One that is linked lives, whatever became of its entry: entries lapse
     while the store is away. */
  for (struct peer *x = p->list; x; x = x->next)
    x->listed = x->in_entries || (x->listed && x->up);
}

bool
srv_peers_led (const struct srv *s, clk_ms now)
{
  if (srv_duty_holds (s))
    return true;
  for (const struct peer *x = s->peers ? s->peers->list : NULL; x; x = x->next)
    if (x->up && x->leads && now - x->received_at < PRS_STALE_MS)
      return true;
  return false;
}

/** A hub tells this node of the others, lately. */
static bool
has_node_list (const struct srv_peers *p, clk_ms now)
{
  return p->node_list_received_at
         && now - p->node_list_received_at < NODE_LIST_VALID_MS
         && p->nlisted + 1 > HUB_MESH_MOST && p->aggregator != NULL;
}

unsigned
srv_peers_nodes (const struct srv *s)
{
  const struct srv_peers *p = s->peers;
  unsigned up = p ? (unsigned)prs_count_up (p) + 1 : 1;

  return p && has_node_list (p, clk_now ()) && p->announced_nodes > up
             ? p->announced_nodes
             : up;
}

static bool
is_ready_peer (const struct peer *x, clk_ms now)
{
  return x->up && x->ready && x->listed && now - x->received_at < PRS_STALE_MS;
}

/** Ready peers from number @p from on, around. */
static size_t
copy_linked_fronts (const struct srv_peers *p, size_t from, clk_ms now,
                    struct net_addr *out, size_t max)
{
  size_t n = 0, i = 0;

  for (const struct peer *x = p->list; x && n < max; x = x->next)
    if (is_ready_peer (x, now) && i++ >= from)
      out[n++] = x->front;
  i = 0;
  for (const struct peer *x = p->list; x && n < max && i < from; x = x->next)
    if (is_ready_peer (x, now) && i++ < from)
      out[n++] = x->front;
  return n;
}

static size_t
count_ready_peers (const struct srv_peers *p, clk_ms now)
{
  size_t n = 0;

  for (const struct peer *x = p->list; x; x = x->next)
    n += is_ready_peer (x, now);
  return n;
}

/** What a hub told, without this node. */
static size_t
copy_announced_fronts (const struct srv_peers *p, struct net_addr *out,
                       size_t max)
{
  size_t n = 0;

  for (size_t i = 0; i < p->nfronts && n < max; i++)
    if (!net_addr_eq (&p->fronts[i], &p->s->set.front))
      out[n++] = p->fronts[i];
  return n;
}

/**
 * Where there are more ready nodes than one answer holds, each answer begins
 * where the one before ended: were it always the same ones, callers would
 * fill these and leave the others idle.
 */
size_t
srv_peers_ready (struct srv *s, struct net_addr *out, size_t max)
{
  struct srv_peers *p = s->peers;
  clk_ms now = clk_now ();
  size_t n = 0, ready_peers;

  if (srv_is_ready (s))
    out[n++] = s->set.front;
  if (!p)
    return n;
  if (has_node_list (p, now))
    return n + copy_announced_fronts (p, out + n, max - n);
  ready_peers = count_ready_peers (p, now);
  if (ready_peers <= max - n)
    return n + copy_linked_fronts (p, 0, now, out + n, max - n);
  p->next_front = (p->next_front + max - n) % ready_peers;
  return n + copy_linked_fronts (p, p->next_front, now, out + n, max - n);
}

void
srv_peers_secret (struct srv *s, const struct link_secret *secret)
{
  s->peers->secret = *secret;
  link_server_set_secret (s->peers->server, secret);
}

bool
srv_peers_start (struct srv *s, const struct link_secret *secret,
                 struct buf *err)
{
  struct srv_peers *p = xcalloc (1, sizeof *p);

  p->s = s;
  p->spec = srv_spec (s);
  p->secret = *secret;
  p->server = link_listen (&s->loop, &s->set.peer, secret, &callbacks, p, err);
  if (!p->server)
    {
      free (p);
      return false;
    }
  s->peers = p;
  return true;
}
