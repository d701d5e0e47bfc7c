#include "control/control.h"
#include "control/roster.h"

#include <openssl/hmac.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 50

/* More than the longest packet of the core, so that longer ones are
   detected. */
#define MAX_PACKET 2048

/* Join intervals without and with other members.  Nodes with members also
   join, because after a partition each side lists the other as dead. */
#define JOIN_ALONE_MS CLK_SECOND
#define JOIN_MS (30 * CLK_SECOND)

#define MAX_SEEDS 64

struct ctl_swim
{
  struct ctl *c;
  uv_udp_t udp;
  uv_timer_t timer;
  int open_handles; /* not yet closed */
  uint16_t port;
  struct mbr *core;
  struct mbr_node self; /* its strings belong to the settings */
  bool running_actions;
  struct net_addr seeds[MAX_SEEDS];
  size_t nseeds;
  clk_ms next_join;
  uint64_t logged_pauses; /* count at the last log line */
  struct ctl_roster *roster;
};

/* --- actions ------------------------------------------------------------ */

/* A full socket buffer drops the packet, as the network may. */
static void
send_packet (struct ctl_swim *s, const struct mbr_action *a)
{
  struct sockaddr_storage to;
  uv_buf_t b = uv_buf_init ((char *)a->packet.ptr, (unsigned)a->packet.len);

  if (net_addr_sockaddr (&a->to, &to) == 0)
    uv_udp_try_send (&s->udp, &b, 1, (struct sockaddr *)&to);
}

static void
log_status (const struct mbr_node *n)
{
  struct log_field fields[]
      = { LOG_S ("member", n->name), LOG_S ("zone", n->zone),
          LOG_I ("boot", n->boot), LOG_I ("incarnation", n->incarnation) };
  static const enum log_event events[]
      = { [MBR_ALIVE] = LOG_EV_member_alive,
          [MBR_SUSPECT] = LOG_EV_member_suspected,
          [MBR_LEAVING] = LOG_EV_member_leaving,
          [MBR_DEAD] = LOG_EV_member_dead };

  log_write (events[n->status], fields, sizeof fields / sizeof fields[0]);
}

/* Not reentrant: ctl_member_changed() may change what this node announces,
   which calls this again; the outer call runs the new actions. */
static void
run_actions (struct ctl_swim *s)
{
  struct mbr_action a;

  if (s->running_actions)
    return;
  s->running_actions = true;
  while (mbr_next (s->core, &a))
    {
      if (a.kind == MBR_SEND)
        send_packet (s, &a);
      else if (!a.figures)
        {
          log_status (a.node);
          ctl_member_changed (s->c, a.node);
        }
    }
  s->running_actions = false;
  if (mbr_counts (s->core)->pauses != s->logged_pauses)
    LOG (paused, LOG_I ("times", mbr_counts (s->core)->pauses));
  s->logged_pauses = mbr_counts (s->core)->pauses;
}

/* --- joining ------------------------------------------------------------ */

static bool
is_member (const struct ctl_swim *s, const struct net_addr *at)
{
  size_t n;
  const struct mbr_node *const *nodes = mbr_nodes (s->core, &n);

  for (size_t i = 0; i < n; i++)
    if (nodes[i]->status != MBR_DEAD && net_addr_eq (&nodes[i]->swim, at))
      return true;
  return false;
}

static void
join_through_seeds (struct ctl_swim *s, clk_ms now)
{
  size_t n;
  size_t first = s->nseeds ? (size_t)rng_below (&s->c->rng, s->nseeds) : 0;

  mbr_nodes (s->core, &n);
  s->next_join = now + (n > 1 ? JOIN_MS : JOIN_ALONE_MS);
  for (size_t i = 0; i < s->nseeds; i++)
    {
      const struct net_addr *at = &s->seeds[(first + i) % s->nseeds];

      if (is_member (s, at))
        continue;
      mbr_join (s->core, now, at);
      if (n > 1)
        return;
    }
}

void
ctl_swim_add_seed (struct ctl_swim *s, const struct net_addr *swim)
{
  if (swim->port == 0 || net_addr_eq (swim, &s->self.swim))
    return;
  for (size_t i = 0; i < s->nseeds; i++)
    if (net_addr_eq (&s->seeds[i], swim))
      return;
  /* A random seed may be replaced: seeds are only used to join. */
  if (s->nseeds < MAX_SEEDS)
    s->seeds[s->nseeds++] = *swim;
  else
    s->seeds[rng_below (&s->c->rng, MAX_SEEDS)] = *swim;
  if (is_member (s, swim))
    return;
  mbr_join (s->core, clk_now (), swim);
  run_actions (s);
}

static void
on_roster_seed (void *ctx, const struct net_addr *swim)
{
  ctl_swim_add_seed (ctx, swim);
}

/* --- socket and timer --------------------------------------------------- */

/* A static buffer is safe: each packet is handled before the next is read. */
static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *out)
{
  static char bytes[MAX_PACKET];

  *out = uv_buf_init (bytes, sizeof bytes);
}

static bool
parse_sockaddr (const struct sockaddr *from, struct net_addr *out)
{
  memset (out, 0, sizeof *out);
  if (from->sa_family == AF_INET6)
    {
      const struct sockaddr_in6 *a = (const struct sockaddr_in6 *)from;

      out->port = ntohs (a->sin6_port);
      return uv_ip6_name (a, out->host, sizeof out->host) == 0;
    }
  const struct sockaddr_in *a = (const struct sockaddr_in *)from;
  out->port = ntohs (a->sin_port);
  return uv_ip4_name (a, out->host, sizeof out->host) == 0;
}

static void
on_packet (uv_udp_t *udp, ssize_t n, const uv_buf_t *b,
           const struct sockaddr *from, unsigned flags)
{
  struct ctl_swim *s = udp->data;
  struct net_addr addr;

  if (n <= 0 || from == NULL || !parse_sockaddr (from, &addr))
    return;
  mbr_packet (s->core, clk_now (), &addr, str_make (b->base, (size_t)n));
  run_actions (s);
}

static void
on_tick (uv_timer_t *t)
{
  struct ctl_swim *s = t->data;
  clk_ms now = clk_now ();

  mbr_tick (s->core, now);
  if (now >= s->next_join)
    join_through_seeds (s, now);
  run_actions (s);
}

static bool
open_socket (struct ctl_swim *s, struct buf *err)
{
  struct sockaddr_storage ss;
  int len = sizeof ss;
  struct net_addr at;
  int rc = net_addr_sockaddr (&s->c->set.control_swim, &ss);

  if (rc == 0)
    rc = uv_udp_bind (&s->udp, (struct sockaddr *)&ss, 0);
  if (rc == 0)
    rc = uv_udp_getsockname (&s->udp, (struct sockaddr *)&ss, &len);
  if (rc == 0)
    rc = uv_udp_recv_start (&s->udp, on_alloc, on_packet);
  if (rc != 0 || !parse_sockaddr ((struct sockaddr *)&ss, &at))
    {
      buf_addf (err, "cannot open the membership socket on %s:%u: %s",
                s->c->set.control_swim.host,
                (unsigned)s->c->set.control_swim.port, uv_strerror (rc));
      return false;
    }
  s->port = at.port;
  return true;
}

/* --- start and stop ----------------------------------------------------- */

static void
make_core (struct ctl_swim *s)
{
  static const char label[] = "lapisline membership";
  struct ctl *c = s->c;
  struct mbr_options opt = { 0 };

  s->self.name = str_from (c->set.node);
  s->self.zone = str_from (c->set.zone);
  s->self.region = str_from (c->set.region);
  s->self.boot = c->boot;
  s->self.swim = c->set.control_swim;
  s->self.swim.port = s->port;
  opt.self = s->self;
  /* A separate key, so that bytes of a link never form a valid packet. */
  HMAC (EVP_sha256 (), c->set.secret, sizeof c->set.secret,
        (const uint8_t *)label, sizeof label - 1, opt.secret, NULL);
  s->core = mbr_new (&opt, rng_next (&c->rng));
}

struct ctl_swim *
ctl_swim_start (struct ctl *c, struct buf *err)
{
  struct ctl_swim *s = xcalloc (1, sizeof *s);

  s->c = c;
  s->open_handles = 2;
  uv_udp_init (c->loop, &s->udp);
  uv_timer_init (c->loop, &s->timer);
  s->udp.data = s->timer.data = s;
  if (open_socket (s, err))
    make_core (s);
  if (s->core == NULL)
    {
      if (err->len == 0)
        buf_add_c (err, "the node's name, zone or region is too long");
      ctl_swim_stop (s);
      return NULL;
    }
  uv_timer_start (&s->timer, on_tick, 0, TICK_MS);
  return s;
}

static void
on_closed (uv_handle_t *h)
{
  struct ctl_swim *s = h->data;

  if (--s->open_handles > 0)
    return;
  mbr_free (s->core);
  free (s);
}

void
ctl_swim_stop (struct ctl_swim *s)
{
  if (s->roster != NULL)
    ctl_roster_stop (s->roster);
  uv_close ((uv_handle_t *)&s->udp, on_closed);
  uv_close ((uv_handle_t *)&s->timer, on_closed);
}

/* --- interface to other modules ----------------------------------------- */

uint16_t
ctl_swim_port (const struct ctl_swim *s)
{
  return s->port;
}

const struct mbr_node *const *
ctl_swim_nodes (const struct ctl_swim *s, size_t *n)
{
  return mbr_nodes (s->core, n);
}

const struct mbr_counts *
ctl_swim_counts (const struct ctl_swim *s)
{
  return mbr_counts (s->core);
}

bool
ctl_swim_is_bridge (const struct ctl_swim *s, struct str region)
{
  return mbr_is_bridge (s->core, region);
}

static void
announce_self (struct ctl_swim *s)
{
  mbr_update_self (s->core, clk_now (), &s->self);
  run_actions (s);
}

void
ctl_swim_set_peer_addr (struct ctl_swim *s, const struct net_addr *peer)
{
  s->self.peer = *peer;
  announce_self (s);
  if (s->roster == NULL)
    s->roster = ctl_roster_start (s->c, &s->self, on_roster_seed, s);
}

void
ctl_swim_set_gateway (struct ctl_swim *s, const struct net_addr *http,
                      const struct net_addr *peer, uint32_t load)
{
  s->self.gw_http = *http;
  s->self.gw_peer = *peer;
  s->self.load = load;
  announce_self (s);
}

void
ctl_swim_set_revision (struct ctl_swim *s, int64_t revision)
{
  s->self.config_revision = revision;
  announce_self (s);
}

void
ctl_swim_leave (struct ctl_swim *s)
{
  mbr_leave (s->core, clk_now ());
  run_actions (s);
}
