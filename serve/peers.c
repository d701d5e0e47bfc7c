#include "serve/peers-int.h"

#include <stdlib.h>
#include <string.h>

/*
 * Links between nodes.  Each node announces how many requests it has in flight
 * at each endpoint.  Endpoints fill up and become free within a second, so
 * these counts must be at most some 0.1 s old; with older ones, two nodes
 * would use the same last slot.  See hubs.h for the choice of links.
 */

/** A link on which no frame arrives for this long is closed: the other end
    may have failed without closing it. */
#define LINK_TIMEOUT_MS ((clk_ms)2500)
#define RECONNECT_MS ((clk_ms)300)
/**
 * Delay before the leader connects to a node that should have connected to the
 * leader: the node may not have been notified of the new leader yet.
 */
#define LEADER_CONNECT_DELAY_MS ((clk_ms)1000)
/**
 * How long a link that this node opened is kept after it is no longer wanted:
 * in the first seconds after a start, the choice of links changes with each
 * peer that is found.
 */
#define UNWANTED_LINK_MS ((clk_ms)5000)
/**
 * Shortest interval at which the server list is sent to a node before the
 * first request.  At the start each server changes three times within seconds
 * (listed, loading, open), and no node needs the states in between.
 */
#define IDLE_LIST_INTERVAL_MS ((clk_ms)1000)
/** Interval between two frames of changes to a node that lacks the list. */
#define CHANGES_INTERVAL_MS ((clk_ms)500)
/** How long a NodeList is used: longer than two changes of the leader in a
    row, which take some 2 s each. */
#define NODE_LIST_VALID_MS ((clk_ms)5000)

static struct peer *
find_peer (const struct srv_peers *p, struct str node)
{
  struct peer *x = p->peers;

  while (x && !str_is (node, x->node))
    x = x->next;
  return x;
}

static struct peer *
find_peer_by_link (const struct srv_peers *p, const struct link *l)
{
  struct peer *x = p->peers;

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
  x->next = p->peers;
  p->peers = x;
  return x;
}

void
prs_update_node_count (struct srv_peers *p)
{
  unsigned listed = (unsigned)p->nlisted_peers + 1;

  dsp_set_node_count (p->s->dispatch, clk_now (), srv_peers_count_nodes (p->s),
                      listed > p->announced_nodes ? listed
                                                  : p->announced_nodes);
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
  x->up = x->ready = x->server_list_received = x->is_leader = false;
  x->server_list_version = 0;
  x->list_differs_since = 0;
  x->changes_version = x->p->version_at_start;
  x->has_timestamp = false;
  x->load_sent_earliest = 0;
  x->config_version = x->config_version_sent = 0;
  x->evacuations_sent = 0;
  x->nloads = 0;
  lim_remove_follower (s->limits, x->hash);
  x->next_connect_at = clk_now () + RECONNECT_MS;
  prs_pass_load_to_dispatch (x, clk_now ());
  srv_run_actions (s);
  prs_update_node_count (x->p);
}

/* --- frames ------------------------------------------------------------ */

static void
send_hello (const struct srv_peers *p, struct link *l)
{
  Lapis__Hello hello = LAPIS__HELLO__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  char *node = str_dup (p->s->settings.node);

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
      /* The peer has opened a new link; the old link belongs to an earlier
         incarnation of its process. */
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
  x->evacuations_sent = 0;
  prs_send_evacuations (x);
  prs_update_node_count (p);
  prs_send_poison_snapshot (x, x->received_at);
  prs_send_limits (x, x->received_at);
}

static void
on_server_list (struct peer *x, const Lapis__ServerList *list)
{
  struct srv *s = x->p->s;
  clk_ms now = clk_now ();

  x->received_at = now;
  x->server_list_received = true;
  /* A frame of the previous leader can arrive after this node has become
     leader.  It is older than the list that this node reads from the store.
     The formation core keeps pointers to the text of the current entries, and
     replacing the entries caused a use after free. */
  if (srv_is_leader (s))
    return;
  if (svl_apply (s->backends, now, prs_sent_at (x, now), list))
    srv_endpoints_changed (s);
  srv_sync_list_confirmed (s, prs_sent_at (x, now) - list->age_ms,
                           list->digest);
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
    on_server_list (x, f->server_list);
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
  else if (x && f->body_case == LAPIS__FRAME__BODY_EVACUATIONS)
    prs_on_evacuations (x, f->evacuations);
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

  for (const struct peer *x = p->peers; x; x = x->next)
    n += x->up;
  return n;
}

bool
srv_peers_any_linked (const struct srv *s)
{
  return s->peers && prs_count_up (s->peers) > 0;
}

/* --- choice of links --------------------------------------------------- */

/** Update which nodes this node links to, and which node is the aggregator. */
static void
choose_links (struct srv_peers *p, clk_ms now)
{
  struct rly_peer *list;
  const struct rly_peer *aggregator;
  struct peer **peers;
  bool is_leader = srv_is_leader (p->s);
  size_t n = 0;

  for (const struct peer *x = p->peers; x; x = x->next)
    n += x->listed;
  list = xcalloc (n + 1, sizeof *list);
  peers = xcalloc (n + 1, sizeof (*peers));
  n = 0;
  for (struct peer *x = p->peers; x; x = x->next)
    if (x->listed)
      {
        list[n] = (struct rly_peer){ .node = x->spec,
                                     .up = x->up,
                                     .connect_failed = x->connect_failed,
                                     .is_leader = x->is_leader };
        peers[n++] = x;
      }
  p->nlisted_peers = n;
  rly_choose_links (&p->spec, is_leader, list, n);
  aggregator = rly_choose_aggregator (&p->spec, is_leader, list, n);
  p->aggregator = aggregator ? peers[aggregator - list] : NULL;
  for (size_t i = 0; i < n; i++)
    {
      if (peers[i]->link_wanted != list[i].link_wanted)
        peers[i]->link_wanted_changed_at = now;
      peers[i]->link_wanted = list[i].link_wanted;
    }
  free (list);
  free (peers);
}

/**
 * Of two nodes, the one that is later by rly_cmp() connects to the other.  The
 * leader of a large fleet also connects to nodes later than itself, after
 * LEADER_CONNECT_DELAY_MS.
 */
static bool
may_connect (const struct peer *x, clk_ms now)
{
  if (x->link || !x->listed || !x->link_wanted || now < x->next_connect_at)
    return false;
  if (rly_cmp (&x->spec, &x->p->spec) < 0)
    return true;
  return srv_is_leader (x->p->s) && x->p->nlisted_peers + 1 > RLY_FULL_MESH_MAX
         && now - x->link_wanted_changed_at >= LEADER_CONNECT_DELAY_MS;
}

static void
connect_peer (struct peer *x, clk_ms now)
{
  if (!may_connect (x, now))
    return;
  x->next_connect_at = now + RECONNECT_MS;
  x->initiated = true;
  x->link = link_connect (&x->p->s->loop, &x->addr, &x->p->secret, &callbacks,
                          x->p);
}

static void
check_peer (struct peer *x, clk_ms now)
{
  bool timed_out = x->up && now - x->received_at > LINK_TIMEOUT_MS;
  bool unwanted = x->up && x->initiated && !x->link_wanted
                  && now - x->link_wanted_changed_at > UNWANTED_LINK_MS;

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
  for (struct peer *x = p->peers; x; x = x->next)
    check_peer (x, now);
  if (now < p->next_send_at)
    return;
  p->next_send_at = now + PRS_SEND_INTERVAL_MS;
  choose_links (p, now);
  prs_update_node_count (p);
  prs_update_proxies (p, now);
  srv_peers_send_evacuations (s);
  srv_peers_send_servers (s);
  prs_send_due (p, now);
  prs_grant_permits (p, now, true);
}

bool
srv_peers_is_announcer (const struct srv *s)
{
  const struct srv_peers *p = s->peers;

  if (!p || prs_count_up (p) == 0)
    return false;
  return srv_is_leader (s) || (prs_exceeds_full_mesh (p) && !p->aggregator);
}

/** A time of before a pause of this process, moved by its duration. */
static clk_ms
add_pause (clk_ms at, clk_ms now, clk_ms ms)
{
  return at + ms < now ? at + ms : now;
}

/**
 * Add the length of the pause to the time of the last frame of each peer,
 * because frames that arrived during the pause are not read yet.
 */
void
srv_peers_resumed (struct srv *s, clk_ms now, clk_ms ms)
{
  struct srv_peers *p = s->peers;

  if (!p)
    return;
  for (struct peer *x = p->peers; x; x = x->next)
    if (x->up)
      x->received_at = add_pause (x->received_at, now, ms);
  if (p->node_list_received_at)
    p->node_list_received_at = add_pause (p->node_list_received_at, now, ms);
}

/** The peer to which the list was sent longest ago, among those that lack
    changes and whose interval is over; NULL: there is none. */
static struct peer *
next_list_receiver (const struct srv_peers *p, uint64_t version, clk_ms now)
{
  clk_ms interval = p->s->had_traffic ? 1 : IDLE_LIST_INTERVAL_MS;
  struct peer *best = NULL;

  for (struct peer *x = p->peers; x; x = x->next)
    if (x->up && x->server_list_version != version
        && now - x->server_list_sent_at >= interval
        && (!best || x->server_list_sent_at < best->server_list_sent_at))
      best = x;
  return best;
}

void
srv_peers_became_leader (struct srv *s, clk_ms now)
{
  struct srv_peers *p = s->peers;

  if (!p)
    return;
  p->version_at_start = bks_version (s->backends);
  p->list_at_start = now - srv_sync_list_age (s, now);
  for (struct peer *x = p->peers; x; x = x->next)
    {
      x->changes_version = p->version_at_start;
      x->changes_sent_at = 0;
    }
}

/** The peer to which changes were sent longest ago, of those that have at most
    the list of when this node became leader; NULL: none is due. */
static struct peer *
next_changes_receiver (const struct srv_peers *p, uint64_t version, clk_ms now)
{
  struct peer *best = NULL;

  for (struct peer *x = p->peers; x; x = x->next)
    if (x->up && x->ready && x->server_list_version <= p->version_at_start
        && x->changes_version != 0 && x->changes_version < version
        && now - x->changes_sent_at >= CHANGES_INTERVAL_MS
        && (!best || x->changes_sent_at < best->changes_sent_at))
      best = x;
  return best;
}

/**
 * A new leader sends the complete list to all nodes, which takes seconds in a
 * large fleet.  Until then, a node doesn't learn which servers have left; when
 * it reads the list itself, so do all others, over the store's link.  It is
 * therefore sent first what has changed since this node's own copy, which came
 * from the previous leader like the node's.  The copies may differ, so this
 * doesn't make the node's list newer.
 */
static void
send_changes_first (struct srv *s, clk_ms now)
{
  struct srv_peers *p = s->peers;
  uint64_t version = bks_version (s->backends);
  struct svl_frame *frame = NULL;
  struct peer *x;

  if (!prs_exceeds_full_mesh (p))
    return;
  while (svl_may_send (&p->list_budget, now, s->settings.link_bytes_per_s)
         && (x = next_changes_receiver (p, version, now)) != NULL)
    {
      if (!svl_frame_matches (frame, x->changes_version))
        {
          svl_frame_free (frame);
          frame = svl_frame_new (s->backends, now - p->list_at_start,
                                 x->changes_version);
        }
      x->changes_sent_at = now;
      if (!svl_frame_list (frame)->whole)
        p->list_budget.bytes
            -= (double)svl_frame_send (frame, x->link, &x->changes_version);
    }
  svl_frame_free (frame);
}

/**
 * Limit the sending of the list to a part of this VM's link.  Each of 1,000
 * servers changes some three times while replicas are formed, and sending each
 * change to 100 nodes exceeds the link of a small VM.  The leader then failed
 * to renew its lease in time, and the next leader, which first sends the
 * complete list to all nodes, lost its lease in the same way.
 *
 * The peer to which the list was sent longest ago comes first.  Accumulated
 * changes are sent in one frame, and a node that receives no list reads it
 * from the store.
 */
void
srv_peers_send_servers (struct srv *s)
{
  struct srv_peers *p = s->peers;
  struct svl_frame *frame = NULL;
  clk_ms now = clk_now ();
  struct peer *x;

  if (!p || !srv_is_leader (s))
    return;
  send_changes_first (s, now);
  while (svl_may_send (&p->list_budget, now, s->settings.link_bytes_per_s)
         && (x = next_list_receiver (p, bks_version (s->backends), now))
                != NULL)
    {
      if (!svl_frame_matches (frame, x->server_list_version))
        {
          svl_frame_free (frame);
          frame = svl_frame_new (s->backends, srv_sync_read_age (s, now),
                                 x->server_list_version);
          svl_frame_set_digest (frame, bks_digest (s->backends),
                                bks_is_stable (s->backends, now));
        }
      p->list_budget.bytes
          -= (double)svl_frame_send (frame, x->link, &x->server_list_version);
      x->server_list_sent_at = now;
    }
  svl_frame_free (frame);
}

void
srv_peers_set_entries (struct srv *s, const struct srv_node_entry *list,
                       size_t n)
{
  struct srv_peers *p = s->peers;

  if (!p)
    return;
  for (struct peer *x = p->peers; x; x = x->next)
    x->in_entries = false;
  for (size_t i = 0; i < n; i++)
    {
      if (str_eq (list[i].node, s->settings.node))
        continue;
      struct peer *x = prs_find_or_add_peer (p, list[i].node);
      x->front = list[i].front;
      x->addr = list[i].peer;
      x->spec = list[i].spec;
      x->in_entries = true;
    }
  /* Keep a peer with a link that is up even if its entry is missing:
     entries expire while the store is unreachable. */
  for (struct peer *x = p->peers; x; x = x->next)
    x->listed = x->in_entries || (x->listed && x->up);
}

bool
srv_peers_has_leader (const struct srv *s, clk_ms now)
{
  if (srv_is_leader (s))
    return true;
  for (const struct peer *x = s->peers ? s->peers->peers : NULL; x;
       x = x->next)
    if (x->up && x->is_leader && now - x->received_at < PRS_STALE_MS)
      return true;
  return false;
}

bool
prs_has_recent_node_list (const struct srv_peers *p, clk_ms now)
{
  return p->node_list_received_at
         && now - p->node_list_received_at < NODE_LIST_VALID_MS
         && p->nlisted_peers + 1 > RLY_FULL_MESH_MAX && p->aggregator != NULL;
}

unsigned
srv_peers_count_nodes (const struct srv *s)
{
  const struct srv_peers *p = s->peers;
  unsigned up = p ? (unsigned)prs_count_up (p) + 1 : 1;

  return p && prs_has_recent_node_list (p, clk_now ())
                 && p->announced_nodes > up
             ? p->announced_nodes
             : up;
}

bool
prs_is_ready (const struct peer *x, clk_ms now)
{
  return x->up && x->ready && x->listed && now - x->received_at < PRS_STALE_MS;
}

/** Front addresses of ready peers, starting at index @p from and wrapping
    around at the end of the list. */
static size_t
copy_linked_fronts (const struct srv_peers *p, size_t from, clk_ms now,
                    struct net_addr *out, size_t max)
{
  size_t n = 0, i = 0;

  for (const struct peer *x = p->peers; x && n < max; x = x->next)
    if (prs_is_ready (x, now) && i++ >= from)
      out[n++] = x->front;
  i = 0;
  for (const struct peer *x = p->peers; x && n < max && i < from; x = x->next)
    if (prs_is_ready (x, now) && i++ < from)
      out[n++] = x->front;
  return n;
}

static size_t
count_ready_peers (const struct srv_peers *p, clk_ms now)
{
  size_t n = 0;

  for (const struct peer *x = p->peers; x; x = x->next)
    n += prs_is_ready (x, now);
  return n;
}

/** Front addresses from the last NodeList, without this node's own. */
static size_t
copy_announced_fronts (const struct srv_peers *p, struct net_addr *out,
                       size_t max)
{
  size_t n = 0;

  for (size_t i = 0; i < p->nfronts && n < max; i++)
    if (!net_addr_eq (&p->fronts[i], &p->s->settings.front))
      out[n++] = p->fronts[i];
  return n;
}

/**
 * If there are more ready nodes than one response holds, each response starts
 * where the previous one ended.  With the same nodes in every response,
 * clients would overload these and leave the others idle.
 */
size_t
srv_peers_list_ready (struct srv *s, struct net_addr *out, size_t max)
{
  struct srv_peers *p = s->peers;
  clk_ms now = clk_now ();
  size_t n = 0, ready_peers;

  if (srv_is_ready (s))
    out[n++] = s->settings.front;
  if (!p)
    return n;
  if (prs_has_recent_node_list (p, now))
    return n + copy_announced_fronts (p, out + n, max - n);
  ready_peers = count_ready_peers (p, now);
  if (ready_peers <= max - n)
    return n + copy_linked_fronts (p, 0, now, out + n, max - n);
  p->next_front = (p->next_front + max - n) % ready_peers;
  return n + copy_linked_fronts (p, p->next_front, now, out + n, max - n);
}

void
srv_peers_set_secret (struct srv *s, const struct link_secret *secret)
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
  p->spec = srv_self_spec (s);
  p->secret = *secret;
  p->server
      = link_listen (&s->loop, &s->settings.peer, secret, &callbacks, p, err);
  if (!p->server)
    {
      free (p);
      return false;
    }
  s->peers = p;
  return true;
}
