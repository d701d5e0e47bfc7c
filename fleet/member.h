/**
 * @file
 * Membership (SWIM): who is there, as a hint (decision core).
 *
 * Random probes, indirect probes, suspicion that its subject can refute by a
 * higher incarnation number, and local health: a node whose own probes go
 * unanswered or whose own ticks come late waits longer before it accuses.
 * A node is its name and boot number; the same name with a higher boot
 * replaces the older one.  Nodes know all of their own region and, of each
 * other region, its bridges: two nodes per pair of regions, picked by
 * rendezvous hashing, that probe each other and exchange summaries.  Packets
 * are protobuf (proto/swim.proto) with an HMAC; what does not verify is
 * dropped and counted.
 *
 * Nothing that must not happen twice relies on this view.
 *
 * A node is alive, then suspect and either alive again or dead, or it says
 * that it is leaving.  Callers: control/swim.c with sockets and a clock, and
 * fleet/bus.h with virtual ones.  docs/CAPACITY.md has what it costs and how
 * fast it is; the periods behind that stand in member-internal.h.
 */
#ifndef LAPISLINE_FLEET_MEMBER_H
#define LAPISLINE_FLEET_MEMBER_H

#include "base/clock.h"
#include "base/rng.h"
#include "base/str.h"
#include "net/httpc.h"

enum mbr_status
{
  MBR_ALIVE,   /**< answered somebody of late */
  MBR_SUSPECT, /**< silent; dead unless it refutes that in time */
  MBR_LEAVING, /**< drains: takes no new callers */
  MBR_DEAD     /**< gave no answer; its place in views is kept a while */
};

/** What a node says about itself; strings are NUL-terminated, owned by the
    core. */
struct mbr_node
{
  struct str name;
  uint64_t boot;
  struct str zone;
  struct str region;
  struct net_addr swim;
  struct net_addr peer;    /**< control link */
  struct net_addr gw_http; /**< its gateway's caller address; port 0: none */
  struct net_addr gw_peer;
  enum mbr_status status;
  uint32_t incarnation;
  uint32_t load;
  int64_t config_revision;
};

struct mbr_options
{
  struct mbr_node self;
  uint8_t secret[32]; /**< key of the packets' HMAC, one for all nodes */
};

enum mbr_action_kind
{
  MBR_SEND,   /**< packet to addr */
  MBR_CHANGED /**< node: appeared, changed status or what it says */
};

struct mbr_action
{
  enum mbr_action_kind kind;
  struct net_addr to;
  struct str packet; /**< valid until the next event */
  const struct mbr_node *node;
  bool figures; /**< only its load or revision changed */
};

struct mbr_counts
{
  uint64_t sent, received, bytes_out, bytes_in;
  uint64_t bad_mac;   /**< another secret, or changed on the way */
  uint64_t malformed; /**< authentic, but not of this protocol */
  uint64_t replayed;
  uint64_t foreign;   /**< for another node or boot, or by a predecessor */
  uint64_t suspected; /**< accusations by this node itself */
  uint64_t refuted;   /**< suspected or dead nodes that proved alive */
  uint64_t died;      /**< declared dead by this node itself */
  uint64_t self_suspected; /**< accusations of this node, refuted */
  uint64_t pauses;         /**< own ticks late by more than a period */
};

/** What the bridges of another region last said about it. */
struct mbr_region
{
  struct str name;
  uint32_t nodes; /**< alive there */
  uint64_t load;  /**< sum over its nodes */
  clk_ms heard;   /**< when this node first saw the figures */
};

struct mbr;

/** NULL when a name is empty or longer than 64 bytes or the swim address has
    no port. */
struct mbr *mbr_new (const struct mbr_options *opt, uint64_t seed);
void mbr_free (struct mbr *m);

/** Time passes; call it every 50 ms or so, as what is due waits for it. */
void mbr_tick (struct mbr *m, clk_ms now);

/** A datagram came; one that does not verify is counted and dropped. */
void mbr_packet (struct mbr *m, clk_ms now, const struct net_addr *from,
                 struct str bytes);

/** Introduce oneself to a possible peer. */
void mbr_join (struct mbr *m, clk_ms now, const struct net_addr *to);

/** Change what this node says about itself (addresses, load, revision). */
void mbr_update_self (struct mbr *m, clk_ms now, const struct mbr_node *self);

/** Say that this node leaves. */
void mbr_leave (struct mbr *m, clk_ms now);

/** The next action, or false; call it until then after each event. */
bool mbr_next (struct mbr *m, struct mbr_action *out);

/** All nodes known, this one included, in the order of their names. */
const struct mbr_node *const *mbr_nodes (const struct mbr *m, size_t *n);

/** What happened since the start. */
const struct mbr_counts *mbr_counts (const struct mbr *m);

/** Other regions known; their nodes in mbr_nodes() are the bridges only. */
size_t mbr_regions (const struct mbr *m, struct mbr_region *out, size_t max);

/** Whether this node is a bridge of its region towards @p region. */
bool mbr_is_bridge (const struct mbr *m, struct str region);

/** Bytes of memory that the core holds. */
size_t mbr_memory (const struct mbr *m);

#endif
