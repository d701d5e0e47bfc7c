#include "fleet/member-internal.h"

#include <arpa/inet.h>
#include <openssl/hmac.h>
#include <string.h>

/* Tag and length of an embedded message, at most. */
#define EMBED_COST 4

static size_t
addr_write (const struct net_addr *a, uint8_t out[MBR_ADDR_LEN])
{
  size_t len = 0;

  if (a->port == 0 && a->host[0] == '\0')
    return 0;
  if (inet_pton (AF_INET, a->host, out) == 1)
    len = 4;
  else if (inet_pton (AF_INET6, a->host, out) == 1)
    len = 16;
  else
    return 0;
  out[len] = (uint8_t)(a->port >> 8);
  out[len + 1] = (uint8_t)a->port;
  return len + 2;
}

bool
pkt_addr_read (const ProtobufCBinaryData *b, struct net_addr *out)
{
  size_t ip;

  memset (out, 0, sizeof *out);
  if (b->len == 0)
    return true;
  if (b->len != 6 && b->len != 18)
    return false;
  ip = b->len - 2;
  out->port = (uint16_t)(b->data[ip] << 8 | b->data[ip + 1]);
  return inet_ntop (ip == 4 ? AF_INET : AF_INET6, b->data, out->host,
                    sizeof out->host)
         != NULL;
}

static ProtobufCBinaryData
addr_bytes (const struct net_addr *a, uint8_t out[MBR_ADDR_LEN])
{
  ProtobufCBinaryData b = { addr_write (a, out), out };
  return b;
}

void
pkt_begin (struct mbr *m, struct pkt *p, Swim__Kind kind,
           const struct mbr_row *to)
{
  swim__packet__init (&p->msg);
  p->msg.from = m->self->name;
  p->msg.boot = m->self->node.boot;
  p->msg.seq = ++m->seq;
  p->msg.kind = kind;
  p->msg.members = p->member_ptrs;
  p->msg.gauges = p->gauge_ptrs;
  p->msg.summaries = p->summary_ptrs;
  if (to != NULL)
    {
      p->msg.to = to->name;
      p->msg.to_boot = to->node.boot;
    }
  /* The numbers set later take ten bytes and a tag each at most. */
  p->size = MBR_MAC_LEN + swim__packet__get_packed_size (&p->msg) + 40;
}

void
pkt_target (struct pkt *p, const struct mbr_row *target)
{
  swim__target__init (&p->target);
  p->target.name = target->name;
  p->target.boot = target->node.boot;
  p->target.addr = addr_bytes (&target->node.swim, p->target_addr);
  p->msg.target = &p->target;
  p->size += EMBED_COST + swim__target__get_packed_size (&p->target);
}

static void
member_from_row (Swim__Member *s, const struct mbr_row *row,
                 uint8_t addrs[4][MBR_ADDR_LEN])
{
  swim__member__init (s);
  s->name = row->name;
  s->boot = row->node.boot;
  s->zone = row->zone;
  s->region = row->region;
  s->swim = addr_bytes (&row->node.swim, addrs[0]);
  s->peer = addr_bytes (&row->node.peer, addrs[1]);
  s->gw_http = addr_bytes (&row->node.gw_http, addrs[2]);
  s->gw_peer = addr_bytes (&row->node.gw_peer, addrs[3]);
  s->status = row->node.status;
  s->incarnation = row->node.incarnation;
  s->n_accusers = row->naccusers;
  s->accusers = (uint32_t *)row->accusers;
}

bool
pkt_add_member (struct pkt *p, const struct mbr_row *row, size_t limit)
{
  size_t n = p->msg.n_members;
  size_t cost;

  if (n == PKT_MEMBERS)
    return false;
  member_from_row (&p->members[n], row, p->addrs[n]);
  cost = EMBED_COST + swim__member__get_packed_size (&p->members[n]);
  if (p->size + cost > limit)
    return false;
  p->member_ptrs[n] = &p->members[n];
  p->msg.n_members = n + 1;
  p->size += cost;
  return true;
}

bool
pkt_add_gauge (struct pkt *p, const struct mbr_row *row, size_t limit)
{
  size_t n = p->msg.n_gauges;
  Swim__Gauge *g = &p->gauges[n];
  size_t cost;

  if (n == PKT_GAUGES)
    return false;
  swim__gauge__init (g);
  g->id = row->id;
  g->version = row->gauge_version;
  g->load = row->node.load;
  g->revision = row->node.config_revision;
  cost = EMBED_COST + swim__gauge__get_packed_size (g);
  if (p->size + cost > limit)
    return false;
  p->gauge_ptrs[n] = g;
  p->msg.n_gauges = n + 1;
  p->size += cost;
  return true;
}

bool
pkt_add_summary (struct pkt *p, const struct mbr_far_region *r,
                 struct mbr_row *const *bridges, size_t n, size_t limit)
{
  size_t i = p->msg.n_summaries;
  size_t first = p->msg.n_members;
  Swim__Summary *s = &p->summaries[i];
  size_t cost;

  if (i == PKT_SUMMARIES || first + n > PKT_MEMBERS)
    return false;
  swim__summary__init (s);
  s->region = r->name;
  s->origin = r->origin;
  s->version = r->version;
  s->nodes = r->nodes;
  s->load = r->load;
  s->bridges = p->bridge_ptrs[i];
  /* The unused tail of the members' storage carries the bridges; no member
     is added to a packet after its summaries. */
  for (size_t j = 0; j < n; j++)
    {
      size_t at = PKT_MEMBERS - 1 - i * MBR_BRIDGES - j;

      if (at < first)
        return false;
      member_from_row (&p->members[at], bridges[j], p->addrs[at]);
      s->bridges[j] = &p->members[at];
    }
  s->n_bridges = n;
  cost = EMBED_COST + swim__summary__get_packed_size (s);
  if (p->size + cost > limit)
    return false;
  p->summary_ptrs[i] = s;
  p->msg.n_summaries = i + 1;
  p->size += cost;
  return true;
}

static void
mac_of (const struct mbr *m, const uint8_t *bytes, size_t len,
        uint8_t out[MBR_MAC_LEN])
{
  uint8_t full[EVP_MAX_MD_SIZE];
  unsigned full_len = 0;

  HMAC (EVP_sha256 (), m->opt.secret, sizeof m->opt.secret, bytes, len, full,
        &full_len);
  memcpy (out, full, MBR_MAC_LEN);
}

void
pkt_send (struct mbr *m, struct pkt *p, const struct net_addr *to)
{
  struct mbr_out *o = mbr_out_new (m);
  uint8_t *body = (uint8_t *)o->bytes + MBR_MAC_LEN;
  size_t len = swim__packet__get_packed_size (&p->msg);

  swim__packet__pack (&p->msg, body);
  mac_of (m, body, len, (uint8_t *)o->bytes);
  o->action.kind = MBR_SEND;
  o->action.to = *to;
  o->action.packet = str_make (o->bytes, MBR_MAC_LEN + len);
  m->counts.sent++;
  m->counts.bytes_out += MBR_MAC_LEN + len;
}

static bool
name_valid (const char *name, bool may_be_empty)
{
  size_t len = strlen (name);

  return len <= MBR_MAX_NAME && (len > 0 || may_be_empty);
}

static bool
member_valid (const Swim__Member *s)
{
  struct net_addr a;

  return name_valid (s->name, false) && name_valid (s->zone, true)
         && name_valid (s->region, true) && s->status <= MBR_DEAD
         && pkt_addr_read (&s->swim, &a) && a.port != 0
         && pkt_addr_read (&s->peer, &a) && pkt_addr_read (&s->gw_http, &a)
         && pkt_addr_read (&s->gw_peer, &a);
}

static bool
packet_valid (const Swim__Packet *p)
{
  struct net_addr a;

  if (!name_valid (p->from, false) || p->seq == 0)
    return false;
  if (p->kind <= SWIM__KIND__NONE || p->kind > SWIM__KIND__SUMMARY)
    return false;
  if (p->target != NULL
      && (!name_valid (p->target->name, false)
          || !pkt_addr_read (&p->target->addr, &a) || a.port == 0))
    return false;
  if (p->kind == SWIM__KIND__PING_REQ && p->target == NULL)
    return false;
  for (size_t i = 0; i < p->n_members; i++)
    if (!member_valid (p->members[i]))
      return false;
  for (size_t i = 0; i < p->n_summaries; i++)
    {
      const Swim__Summary *s = p->summaries[i];

      if (!name_valid (s->region, false) || !name_valid (s->origin, false))
        return false;
      for (size_t j = 0; j < s->n_bridges; j++)
        if (!member_valid (s->bridges[j]))
          return false;
    }
  return true;
}

Swim__Packet *
pkt_open (struct mbr *m, struct str bytes)
{
  const uint8_t *raw = (const uint8_t *)bytes.ptr;
  uint8_t mac[MBR_MAC_LEN];
  Swim__Packet *p;

  if (bytes.len <= MBR_MAC_LEN || bytes.len > MBR_MAX_PACKET)
    {
      m->counts.malformed++;
      return NULL;
    }
  /* A packet of another deployment, or one changed on the way, would bring
     nodes into the view that callers are then sent to.  It is dropped before
     a byte of it is parsed. */
  mac_of (m, raw + MBR_MAC_LEN, bytes.len - MBR_MAC_LEN, mac);
  if (CRYPTO_memcmp (mac, raw, MBR_MAC_LEN) != 0)
    {
      m->counts.bad_mac++;
      return NULL;
    }
  p = swim__packet__unpack (NULL, bytes.len - MBR_MAC_LEN, raw + MBR_MAC_LEN);
  if (p != NULL && packet_valid (p))
    return p;
  m->counts.malformed++;
  if (p != NULL)
    swim__packet__free_unpacked (p, NULL);
  return NULL;
}

bool
pkt_window_take (struct mbr_window *w, uint64_t seq)
{
  uint64_t behind;

  if (seq > w->top)
    {
      uint64_t ahead = seq - w->top;

      w->seen = ahead < 64 ? w->seen << ahead : 0;
      w->seen |= 1;
      w->top = seq;
      return true;
    }
  behind = w->top - seq;
  if (behind >= 64 || (w->seen >> behind & 1) != 0)
    return false;
  w->seen |= (uint64_t)1 << behind;
  return true;
}
