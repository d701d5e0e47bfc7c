#include "serve/node-int.h"
#include "serve/share.h"

#include <stdlib.h>
#include <string.h>

/*
 * Links between nodes: each tells each other what it has under way where.
 * Places fill and empty within a second, so what was told has to be some tenth
 * of a second old at most to keep two nodes from taking the same last slot.
 */

/** How often a node tells its load, with few nodes. */
#define TELL_MS ((clk_ms)100)
/** With many, each node sends and takes about this many frames a second. */
#define FRAMES_PER_S 110
/** What has not changed is told again after this, as a sign of life. */
#define ALIVE_MS ((clk_ms)400)
/** A peer that was not heard for so long gets no new callers. */
#define SILENT_MS ((clk_ms)1200)
/** Its link is given up after this: it may have gone silent for good. */
#define DEAD_MS ((clk_ms)2500)
#define CONNECT_AGAIN_MS ((clk_ms)300)

struct peer
{
  struct srv_peers *p;
  struct peer *next;
  char *node;
  uint64_t hash;
  struct net_addr front, addr;
  bool listed; /* the store has its entry */
  bool named;
  bool ready;
  struct link *link; /* NULL: none */
  bool up;
  bool listing;  /* its ServerList has come on this link */
  uint64_t told; /* version of the list of backend servers that it has from
                    this node; 0: none */
  clk_ms heard;
  clk_ms next_connect;
};

struct srv_peers
{
  struct srv *s;
  struct link_secret secret;
  struct link_server *server;
  struct peer *list;
  struct buf told; /* the last frame's content */
  clk_ms told_at;
  clk_ms next_tell;
};

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

static struct peer *
peer_of (struct srv_peers *p, struct str node)
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

/** Nodes that share the load: those that are linked, and this one. */
static void
count_nodes (struct srv_peers *p)
{
  unsigned n = 1;

  for (const struct peer *x = p->list; x; x = x->next)
    n += x->up;
  dsp_nodes (p->s->dispatch, n);
}

static void
peer_down (struct peer *x)
{
  struct srv *s = x->p->s;

  if (x->up)
    LOG (node_lost, LOG_C ("peer", x->node));
  x->link = NULL;
  x->up = x->ready = x->listing = false;
  x->told = 0;
  x->next_connect = clk_now () + CONNECT_AGAIN_MS;
  dsp_peer_load (s->dispatch, clk_now (), x->hash, NULL, 0);
  srv_act (s);
  count_nodes (x->p);
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
  struct peer *x = peer_of (p, str_from (hello->node));

  if (x->link && x->link != l)
    {
      /* It has begun a new link; the old one is of an earlier life. */
      link_close (x->link);
      peer_down (x);
    }
  x->link = l;
  x->up = true;
  x->heard = clk_now ();
  p->told_at = 0;
  LOG (node_linked, LOG_C ("peer", x->node));
  count_nodes (p);
}

static void
on_load (struct peer *x, const Lapis__NodeLoad *load)
{
  struct srv *s = x->p->s;
  struct dsp_count *counts = xcalloc (load->n_places + 1, sizeof *counts);

  for (size_t i = 0; i < load->n_places; i++)
    {
      const Lapis__PlaceLoad *pl = load->places[i];
      counts[i] = (struct dsp_count){ .place = pl->place,
                                      .in_flight = pl->in_flight,
                                      .patient = pl->patient,
                                      .begun = pl->begun,
                                      .heard = clk_now () - pl->heard_age_ms,
                                      .stalled = pl->stalled };
      if (pl->stalled)
        srv_duty_stalled (s, pl->place);
    }
  x->heard = clk_now ();
  x->ready = load->ready;
  if (load->leads && x->listing)
    srv_sync_heard (s, x->heard, load->list_age_ms);
  s->traffic = s->traffic || load->traffic;
  dsp_peer_load (s->dispatch, x->heard, x->hash, counts, load->n_places);
  free (counts);
  srv_act (s);
}

static void
on_servers (struct peer *x, const Lapis__ServerList *list)
{
  struct srv *s = x->p->s;
  clk_ms now = clk_now ();

  x->heard = now;
  x->listing = true;
  srv_sync_heard (s, now, list->age_ms);
  if (shr_take (s->backends, now, list))
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
    on_load (x, f->node_load);
  else if (x && f->body_case == LAPIS__FRAME__BODY_SERVER_LIST)
    on_servers (x, f->server_list);
}

static void
on_state (void *ctx, struct link *l, enum link_state state)
{
  struct srv_peers *p = ctx;
  struct peer *x = find_link (p, l);

  if (state == LINK_UP)
    send_hello (p, l);
  else if (state == LINK_DOWN && x)
    peer_down (x);
}

static const struct link_callbacks callbacks = { on_state, on_frame };

/* --- telling the own load ---------------------------------------------- */

static size_t
count_up (const struct srv_peers *p)
{
  size_t n = 0;

  for (const struct peer *x = p->list; x; x = x->next)
    n += x->up;
  return n;
}

static void
send_load (struct srv_peers *p, clk_ms now)
{
  struct srv *s = p->s;
  size_t n;
  const struct dsp_count *own = dsp_own_load (s->dispatch, &n);
  Lapis__NodeLoad load = LAPIS__NODE_LOAD__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  Lapis__PlaceLoad *places = xcalloc (n + 1, sizeof *places);
  Lapis__PlaceLoad **rows = xcalloc (n + 1, sizeof (*rows));
  struct buf packed = BUF_INIT;

  for (size_t i = 0; i < n; i++)
    {
      lapis__place_load__init (&places[i]);
      places[i].place = own[i].place;
      places[i].in_flight = own[i].in_flight;
      places[i].patient = own[i].patient;
      places[i].begun = own[i].begun;
      places[i].heard_age_ms
          = (uint32_t)(now > own[i].heard ? now - own[i].heard : 0);
      places[i].stalled = own[i].stalled;
      rows[i] = &places[i];
      if (own[i].stalled)
        srv_duty_stalled (s, own[i].place);
    }
  load.ready = srv_is_ready (s);
  load.traffic = s->traffic;
  load.leads = srv_duty_holds (s);
  if (load.leads)
    load.list_age_ms = (uint32_t)srv_sync_age (s, now);
  load.n_places = n;
  load.places = rows;
  f.body_case = LAPIS__FRAME__BODY_NODE_LOAD;
  f.node_load = &load;
  buf_reserve (&packed, lapis__node_load__get_packed_size (&load));
  packed.len = lapis__node_load__pack (&load, (uint8_t *)packed.ptr);
  if (!str_eq (buf_str (&packed), buf_str (&p->told))
      || now - p->told_at >= ALIVE_MS)
    {
      for (struct peer *x = p->list; x; x = x->next)
        if (x->up)
          link_send (x->link, &f);
      buf_clear (&p->told);
      buf_add (&p->told, buf_str (&packed));
      p->told_at = now;
    }
  buf_free (&packed);
  free (places);
  free (rows);
}

/* --- keeping links ----------------------------------------------------- */

/** Of two nodes the one with the lesser name connects. */
static void
connect_peer (struct peer *x, clk_ms now)
{
  struct srv *s = x->p->s;

  if (x->link || !x->listed || now < x->next_connect
      || str_cmp (s->set.node, str_from (x->node)) >= 0)
    return;
  x->next_connect = now + CONNECT_AGAIN_MS;
  x->link = link_connect (&s->loop, &x->addr, &x->p->secret, &callbacks, x->p);
}

static void
check_peer (struct peer *x, clk_ms now)
{
  if (x->up && now - x->heard > DEAD_MS)
    {
      link_close (x->link);
      peer_down (x);
    }
  connect_peer (x, now);
}

void
srv_peers_tick (struct srv *s, clk_ms now)
{
  struct srv_peers *p = s->peers;
  clk_ms period;

  if (!p)
    return;
  for (struct peer *x = p->list; x; x = x->next)
    check_peer (x, now);
  if (now < p->next_tell)
    return;
  srv_peers_servers (s);
  period = (clk_ms)(count_up (p) * 1000 / FRAMES_PER_S);
  p->next_tell = now + (period > TELL_MS ? period : TELL_MS);
  send_load (p, now);
}

void
srv_peers_servers (struct srv *s)
{
  clk_ms age = srv_sync_age (s, clk_now ());

  if (!s->peers || !srv_duty_holds (s))
    return;
  for (struct peer *x = s->peers->list; x; x = x->next)
    if (x->up && x->told != bks_version (s->backends))
      shr_send (x->link, s->backends, age, &x->told);
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
      struct peer *x = peer_of (p, list[i].node);
      x->front = list[i].front;
      x->addr = list[i].peer;
      x->named = true;
    }
  /* One that is linked lives, whatever became of its entry: entries lapse
     while the store is away. */
  for (struct peer *x = p->list; x; x = x->next)
    x->listed = x->named || (x->listed && x->up);
}

size_t
srv_peers_ready (const struct srv *s, struct net_addr *out, size_t most)
{
  clk_ms now = clk_now ();
  size_t n = 0;

  if (srv_is_ready (s))
    out[n++] = s->set.front;
  if (!s->peers)
    return n;
  for (const struct peer *x = s->peers->list; x && n < most; x = x->next)
    if (x->up && x->ready && x->listed && now - x->heard < SILENT_MS)
      out[n++] = x->front;
  return n;
}

bool
srv_peers_start (struct srv *s, const struct link_secret *secret,
                 struct buf *err)
{
  struct srv_peers *p = xcalloc (1, sizeof *p);

  p->s = s;
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
