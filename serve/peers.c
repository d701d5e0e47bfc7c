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
#define DEAD_MS ((clk_ms)2500)
#define CONNECT_AGAIN_MS ((clk_ms)300)
/** The one that forms replicas links to nodes that did not link to it: they
    may not know it yet. */
#define REACH_MS ((clk_ms)1000)
/** A link that this node has begun is kept for so long when it is not wanted
    any more: what is known of other nodes grows within seconds after a start.
 */
#define UNWANTED_MS ((clk_ms)5000)
/** Before there is traffic each node is told the list this often: servers that
    appear, load and open change thrice each within seconds, and nobody needs
    what is between. */
#define START_LIST_MS ((clk_ms)1000)
/** What a hub told of ready nodes holds for so long: two changes of the node
    that forms replicas, of some two seconds each. */
#define NAMED_MS ((clk_ms)5000)

static struct peer *
find_peer (const struct srv_peers *p, struct str node)
{
  struct peer *x = p->list;

  while (x && !str_is (node, x->node))
    x = x->next;
  return x;
}

static struct peer *
find_link (const struct srv_peers *p, const struct link *l)
{
  struct peer *x = p->list;

  while (x && x->link != l)
    x = x->next;
  return x;
}

struct peer *
prs_peer_of (struct srv_peers *p, struct str node)
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
prs_count_nodes (struct srv_peers *p)
{
  dsp_nodes (p->s->dispatch, srv_peers_nodes (p->s));
}

static void
peer_down (struct peer *x, const char *why)
{
  struct srv *s = x->p->s;

  if (x->up)
    LOG (node_lost, LOG_C ("peer", x->node), LOG_C ("why", why),
         LOG_I ("unheard_ms", clk_now () - x->heard));
  x->failing = !x->up;
  x->link = NULL;
  x->up = x->ready = x->listing = x->leads = false;
  x->told = 0;
  x->stamped = false;
  x->sent_at = 0;
  x->version = x->version_sent = 0;
  x->ncounts = 0;
  lim_unfollowed (s->limits, x->hash);
  x->next_connect = clk_now () + CONNECT_AGAIN_MS;
  prs_feed (x, clk_now ());
  srv_act (s);
  prs_count_nodes (x->p);
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
  struct peer *x = prs_peer_of (p, str_from (hello->node));

  if (x->link && x->link != l)
    {
      /* It has begun a new link; the old one is of an earlier life. */
      link_close (x->link);
      peer_down (x, "replaced");
    }
  x->connects = x->connects && x->link == l;
  x->link = l;
  x->up = true;
  x->failing = false;
  x->heard = clk_now ();
  x->told_at = 0;
  LOG (node_linked, LOG_C ("peer", x->node));
  prs_count_nodes (p);
  prs_send_poison_snapshot (x, x->heard);
  prs_send_limits (x, x->heard);
}

static void
on_servers (struct peer *x, const Lapis__ServerList *list)
{
  struct srv *s = x->p->s;
  clk_ms now = clk_now ();

  x->heard = now;
  x->listing = true;
  /* A frame of an earlier owner may arrive late, after this node has taken the
     duty.  It is older than what this node reads by itself, and the forming
     core borrows the text of these entries: it read freed memory. */
  if (srv_duty_holds (s))
    return;
  srv_sync_heard (s, prs_sent_at (x, now) - list->age_ms);
  if (shr_take (s->backends, now, prs_sent_at (x, now), list))
    srv_places_changed (s);
}

static void
on_frame (void *ctx, struct link *l, const Lapis__Frame *f)
{
  struct srv_peers *p = ctx;
  struct peer *x = find_link (p, l);

  if (f->body_case == LAPIS__FRAME__BODY_HELLO)
    on_hello (p, l, f->hello);
  else if (x && f->body_case == LAPIS__FRAME__BODY_NODE_LOAD)
    prs_on_load (x, f->node_load);
  else if (x && f->body_case == LAPIS__FRAME__BODY_SERVER_LIST)
    on_servers (x, f->server_list);
  else if (x && f->body_case == LAPIS__FRAME__BODY_FLEET_LOAD)
    prs_on_sum (x, f->fleet_load);
  else if (x && f->body_case == LAPIS__FRAME__BODY_PROMPT_NOTICE)
    prs_on_notice (x, f->prompt_notice);
  else if (x && f->body_case == LAPIS__FRAME__BODY_NODE_LIST)
    prs_on_nodes (x, f->node_list);
  else if (x && f->body_case == LAPIS__FRAME__BODY_POISON_UPDATES)
    prs_on_poison_updates (x, f->poison_updates);
  else if (x && f->body_case == LAPIS__FRAME__BODY_RATE_LIMITS)
    prs_on_limits (x, f->rate_limits);
  else if (x && f->body_case == LAPIS__FRAME__BODY_PERMIT_ASK)
    prs_on_ask (x, f->permit_ask);
  else if (x && f->body_case == LAPIS__FRAME__BODY_PERMIT_GRANTS)
    prs_on_permits (x, f->permit_grants);
  else if (x && f->body_case == LAPIS__FRAME__BODY_CONFIG_TEXT)
    srv_config_pushed (
        p->s, f->config_text->version,
        str_make (f->config_text->text.data, f->config_text->text.len));
}

static void
on_state (void *ctx, struct link *l, enum link_state state)
{
  struct srv_peers *p = ctx;
  struct peer *x = find_link (p, l);

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
  struct hub_peer *list;
  const struct hub_peer *sums;
  struct peer **at;
  bool leads = srv_duty_holds (p->s);
  size_t n = 0;

  for (const struct peer *x = p->list; x; x = x->next)
    n += x->listed;
  list = xcalloc (n + 1, sizeof *list);
  at = xcalloc (n + 1, sizeof (*at));
  n = 0;
  for (struct peer *x = p->list; x; x = x->next)
    if (x->listed)
      {
        list[n] = (struct hub_peer){ .node = x->spec,
                                     .up = x->up,
                                     .failing = x->failing,
                                     .leads = x->leads };
        at[n++] = x;
      }
  p->nlisted = n;
  hub_choose (&p->spec, leads, list, n);
  sums = hub_summing (&p->spec, leads, list, n);
  p->summing = sums ? at[sums - list] : NULL;
  for (size_t i = 0; i < n; i++)
    {
      if (at[i]->wanted != list[i].wanted)
        at[i]->wanted_at = now;
      at[i]->wanted = list[i].wanted;
    }
  free (list);
  free (at);
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
         && now - x->wanted_at >= REACH_MS;
}

static void
connect_peer (struct peer *x, clk_ms now)
{
  if (!may_connect (x, now))
    return;
  x->next_connect = now + CONNECT_AGAIN_MS;
  x->connects = true;
  x->link = link_connect (&x->p->s->loop, &x->addr, &x->p->secret, &callbacks,
                          x->p);
}

static void
check_peer (struct peer *x, clk_ms now)
{
  bool dead = x->up && now - x->heard > DEAD_MS;
  bool unwanted
      = x->up && x->connects && !x->wanted && now - x->wanted_at > UNWANTED_MS;

  if (dead || unwanted)
    {
      link_close (x->link);
      peer_down (x, dead ? "silent" : "unwanted");
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
  if (now < p->next_tell)
    return;
  p->next_tell = now + PRS_TELL_MS;
  choose_links (p, now);
  srv_peers_servers (s);
  prs_tell (p, now);
  prs_grant (p, now, true);
}

bool
srv_peers_announces (const struct srv *s)
{
  const struct srv_peers *p = s->peers;

  if (!p || prs_count_up (p) == 0)
    return false;
  return srv_duty_holds (s) || (prs_many (p) && !p->summing);
}

/** Silence of the others is not judged by time in which this process could
    not hear them. */
void
srv_peers_resumed (struct srv *s, clk_ms now, clk_ms ms)
{
  for (struct peer *x = s->peers ? s->peers->list : NULL; x; x = x->next)
    if (x->up)
      x->heard = x->heard + ms < now ? x->heard + ms : now;
}

/** Of those that lack changes of the list and were not told just now, the one
    told longest ago. */
static struct peer *
least_informed (const struct srv_peers *p, uint64_t version, clk_ms now)
{
  clk_ms pause = p->s->traffic ? 1 : START_LIST_MS;
  struct peer *best = NULL;

  for (struct peer *x = p->list; x; x = x->next)
    if (x->up && x->told != version && now - x->told_list_at >= pause
        && (!best || x->told_list_at < best->told_list_at))
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
  struct shr_frame *frame = NULL;
  clk_ms now = clk_now ();
  struct peer *x;

  if (!p || !srv_duty_holds (s))
    return;
  while (shr_may_tell (&p->credit, now, s->set.link_bytes_per_s)
         && (x = least_informed (p, bks_version (s->backends), now)) != NULL)
    {
      if (!shr_frame_fits (frame, x->told))
        {
          shr_frame_free (frame);
          frame = shr_frame_new (s->backends, srv_sync_age (s, now), x->told);
        }
      p->credit.bytes -= (double)shr_frame_send (frame, x->link, &x->told);
      x->told_list_at = now;
    }
  shr_frame_free (frame);
}

void
srv_peers_entries (struct srv *s, const struct srv_entry *list, size_t n)
{
  struct srv_peers *p = s->peers;

  if (!p)
    return;
  for (struct peer *x = p->list; x; x = x->next)
    x->named = false;
  for (size_t i = 0; i < n; i++)
    {
      if (str_eq (list[i].node, s->set.node))
        continue;
      struct peer *x = prs_peer_of (p, list[i].node);
      x->front = list[i].front;
      x->addr = list[i].peer;
      x->spec = list[i].spec;
      x->named = true;
    }
  /* One that is linked lives, whatever became of its entry: entries lapse
     while the store is away. */
  for (struct peer *x = p->list; x; x = x->next)
    x->listed = x->named || (x->listed && x->up);
}

bool
srv_peers_led (const struct srv *s, clk_ms now)
{
  if (srv_duty_holds (s))
    return true;
  for (const struct peer *x = s->peers ? s->peers->list : NULL; x; x = x->next)
    if (x->up && x->leads && now - x->heard < PRS_SILENT_MS)
      return true;
  return false;
}

/** A hub tells this node of the others, lately. */
static bool
is_told (const struct srv_peers *p, clk_ms now)
{
  return p->named_at && now - p->named_at < NAMED_MS
         && p->nlisted + 1 > HUB_MESH_MOST && p->summing != NULL;
}

unsigned
srv_peers_nodes (const struct srv *s)
{
  const struct srv_peers *p = s->peers;
  unsigned up = p ? (unsigned)prs_count_up (p) + 1 : 1;

  return p && is_told (p, clk_now ()) && p->told_nodes > up ? p->told_nodes
                                                            : up;
}

static bool
is_usable (const struct peer *x, clk_ms now)
{
  return x->up && x->ready && x->listed && now - x->heard < PRS_SILENT_MS;
}

/** Ready peers from number @p from on, around. */
static size_t
name_linked (const struct srv_peers *p, size_t from, clk_ms now,
             struct net_addr *out, size_t most)
{
  size_t n = 0, i = 0;

  for (const struct peer *x = p->list; x && n < most; x = x->next)
    if (is_usable (x, now) && i++ >= from)
      out[n++] = x->front;
  i = 0;
  for (const struct peer *x = p->list; x && n < most && i < from; x = x->next)
    if (is_usable (x, now) && i++ < from)
      out[n++] = x->front;
  return n;
}

static size_t
count_usable (const struct srv_peers *p, clk_ms now)
{
  size_t n = 0;

  for (const struct peer *x = p->list; x; x = x->next)
    n += is_usable (x, now);
  return n;
}

/** What a hub told, without this node. */
static size_t
name_told (const struct srv_peers *p, struct net_addr *out, size_t most)
{
  size_t n = 0;

  for (size_t i = 0; i < p->nnamed && n < most; i++)
    if (!net_addr_eq (&p->named[i], &p->s->set.front))
      out[n++] = p->named[i];
  return n;
}

/**
 * Where there are more ready nodes than one answer holds, each answer begins
 * where the one before ended: were it always the same ones, callers would
 * fill these and leave the others idle.
 */
size_t
srv_peers_ready (struct srv *s, struct net_addr *out, size_t most)
{
  struct srv_peers *p = s->peers;
  clk_ms now = clk_now ();
  size_t n = 0, usable;

  if (srv_is_ready (s))
    out[n++] = s->set.front;
  if (!p)
    return n;
  if (is_told (p, now))
    return n + name_told (p, out + n, most - n);
  usable = count_usable (p, now);
  if (usable <= most - n)
    return n + name_linked (p, 0, now, out + n, most - n);
  p->next_named = (p->next_named + most - n) % usable;
  return n + name_linked (p, p->next_named, now, out + n, most - n);
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
