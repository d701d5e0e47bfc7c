/**
 * @file
 * What the files of the membership core share.
 *
 *   member.c    events in, actions out; which file gets which packet
 *   packet.c    encoding, HMAC, replay window
 *   table.c     the nodes known and which statement about one wins
 *   probe.c     probes, helpers, local health, suspicion
 *   gossip.c    what is piggybacked, under a budget of bytes
 *   exchange.c  joining and comparing whole views
 *   region.c    bridges and summaries between regions
 */
#ifndef LAPISLINE_FLEET_MEMBER_INTERNAL_H
#define LAPISLINE_FLEET_MEMBER_INTERNAL_H

#include "fleet/member.h"
#include "proto/swim.pb-c.h"

/*
 * The periods, in milliseconds, and what follows from them at 330 nodes is
 * measured in docs/CAPACITY.md ("Membership").  A suspicion lasts
 * MBR_SUSPECT_MULT * log10 (n + 1) * MBR_PROBE_MS.
 */
#define MBR_PROBE_MS ((clk_ms)500) /**< a node probes one other in each */
#define MBR_ACK_MS ((clk_ms)200)   /**< wait for a direct answer */
#define MBR_HELPERS 3u             /**< asked when there was none */
#define MBR_SUSPECT_MULT 4u
#define MBR_GOSSIP_BPS 6000u           /**< piggybacked bytes a second */
#define MBR_FORGET_MS (5 * CLK_MINUTE) /**< the dead are forgotten after */

#define MBR_MAC_LEN 16
#define MBR_MAX_PACKET 1200
#define MBR_MAX_NAME 64
#define MBR_ADDR_LEN 18 /**< an IPv6 number and a port */

#define MBR_ACCUSERS 4  /**< accusers remembered of one suspicion */
#define MBR_CONFIRM 3   /**< accusers beyond the first that matter */
#define MBR_MAX_SCORE 6 /**< worst local health */
#define MBR_LAMBDA 6    /**< each fact is sent lambda * log10(n+1) times */
#define MBR_RELAYS 64   /**< probes for others that are under way */
#define MBR_TRANSFERS 8 /**< whole views being sent */
#define MBR_REGIONS 8   /**< other regions */
#define MBR_BRIDGES 2   /**< per pair of regions */

/** Packets of one sender that may arrive out of order. */
struct mbr_window
{
  uint64_t top;  /**< highest number seen; 0: none */
  uint64_t seen; /**< bit i: top - i was seen */
};

/** One node of the table. */
struct mbr_row
{
  struct mbr_node node; /**< first, as mbr_nodes() hands it out */
  uint64_t id;          /**< hash of name and boot */
  char *name, *zone, *region;
  struct mbr_window window;

  clk_ms since; /**< when it got its status */
  uint32_t accusers[MBR_ACCUSERS];
  size_t naccusers;
  bool asked;           /**< of a suspect: pinged half way to its death */
  bool unsure;          /**< accused by this node while it heard nobody */
  enum mbr_status sure; /**< of an unsure one: what it was before */
  clk_ms mentioned;     /**< of another region: last named as a bridge */

  bool fact_queued;
  unsigned fact_sent;
  uint64_t fact_order; /**< higher: queued later */

  uint32_t gauge_version;
  bool gauge_queued;
  unsigned gauge_sent;
};

/** The probe under way. */
struct mbr_probe
{
  bool active;
  uint64_t number;
  uint64_t target; /**< id of the row */
  clk_ms started;
  unsigned helpers, nacks;
  bool asked; /**< helpers were asked */
};

/** A probe done for another node. */
struct mbr_relay
{
  uint64_t number;    /**< own probe number; 0: free */
  uint64_t asked_no;  /**< number of the node that asked */
  uint64_t requester; /**< id of its row */
  clk_ms deadline;
};

/** A whole view being sent in parts. */
struct mbr_transfer
{
  bool active;
  struct net_addr to;
  bool want_back;
  size_t next;
};

struct mbr_far_region
{
  char *name;
  bool bridge; /**< this node is one towards it */
  size_t turn; /**< round robin over its rows */
  clk_ms next_summary;
  clk_ms mentioned; /**< last time that any of its bridges was named */

  /* The last summary, passed on within the own region. */
  char *origin;
  uint64_t version;
  uint32_t nodes;
  uint64_t load;
  clk_ms heard;
  bool queued;
  unsigned sent;
};

struct mbr_out
{
  struct mbr_action action;
  char bytes[MBR_MAX_PACKET];
};

struct mbr
{
  struct mbr_options opt;
  struct rng rng;
  struct mbr_counts counts;
  clk_ms now, last_tick;
  uint64_t seq;
  bool misjudged; /**< the packet at hand holds this node for silent */

  /* table.c: ordered by name; the views of both arrays are the same. */
  struct mbr_row *self;
  struct mbr_row **rows;
  size_t nrows, cap_rows;
  struct mbr_row **dropped; /**< freed at the next event */
  size_t ndropped;

  /* probe.c */
  unsigned score; /**< local health: 0 is well */
  clk_ms heard;   /**< last authentic packet */
  bool deaf;
  struct mbr_probe probe;
  uint64_t probe_no;
  clk_ms next_probe, next_reconnect;
  uint64_t *order; /**< ids, in this round's random order */
  size_t norder, at_order, cap_order;
  unsigned slot;
  struct mbr_relay relays[MBR_RELAYS];

  /* gossip.c */
  double tokens;
  clk_ms tokens_at;
  uint64_t fact_order;
  clk_ms next_gauge;
  bool gauge_changed;

  /* exchange.c */
  struct mbr_transfer transfers[MBR_TRANSFERS];
  double state_tokens;
  clk_ms next_sync;

  /* region.c */
  struct mbr_far_region regions[MBR_REGIONS];
  size_t nregions;
  clk_ms next_bridges;
  uint64_t summary_version;

  struct mbr_out **outs;
  size_t nouts, cap_outs, next_out;
};

/** A packet under construction, with the storage of its parts. */
#define PKT_MEMBERS 16
#define PKT_GAUGES 32
#define PKT_SUMMARIES 2

struct pkt
{
  Swim__Packet msg;
  size_t size; /**< upper bound of the encoded length */
  Swim__Target target;
  uint8_t target_addr[MBR_ADDR_LEN];
  Swim__Member members[PKT_MEMBERS];
  Swim__Member *member_ptrs[PKT_MEMBERS];
  uint8_t addrs[PKT_MEMBERS][4][MBR_ADDR_LEN];
  Swim__Gauge gauges[PKT_GAUGES];
  Swim__Gauge *gauge_ptrs[PKT_GAUGES];
  Swim__Summary summaries[PKT_SUMMARIES];
  Swim__Summary *summary_ptrs[PKT_SUMMARIES];
  Swim__Member *bridge_ptrs[PKT_SUMMARIES][MBR_BRIDGES];
};

/* packet.c */
void pkt_begin (struct mbr *m, struct pkt *p, Swim__Kind kind,
                const struct mbr_row *to);
void pkt_target (struct pkt *p, const struct mbr_row *target);
/** False when the packet would get longer than @p limit bytes. */
bool pkt_add_member (struct pkt *p, const struct mbr_row *row, size_t limit);
bool pkt_add_gauge (struct pkt *p, const struct mbr_row *row, size_t limit);
bool pkt_add_summary (struct pkt *p, const struct mbr_far_region *r,
                      struct mbr_row *const *bridges, size_t n, size_t limit);
void pkt_send (struct mbr *m, struct pkt *p, const struct net_addr *to);
/** Authentic and well-formed, or NULL with the reason counted. */
Swim__Packet *pkt_open (struct mbr *m, struct str bytes);
bool pkt_addr_read (const ProtobufCBinaryData *b, struct net_addr *out);
/** Whether number @p seq is new; remembers it. */
bool pkt_window_take (struct mbr_window *w, uint64_t seq);

/* table.c */
struct mbr_row *mbt_find (const struct mbr *m, struct str name);
struct mbr_row *mbt_find_id (const struct mbr *m, uint64_t id);
struct mbr_row *mbt_add (struct mbr *m, const struct mbr_node *node);
void mbt_drop (struct mbr *m, struct mbr_row *row);
void mbt_free (struct mbr *m);
void mbt_free_dropped (struct mbr *m);
bool mbt_local (const struct mbr *m, const struct mbr_row *row);
/** Take a statement about a node if it wins over what is known. */
void mbt_take (struct mbr *m, const Swim__Member *s);
/** As mbt_take(), but only about nodes that this one keeps a row for. */
void mbt_merge (struct mbr *m, const Swim__Member *s);
void mbt_set_status (struct mbr *m, struct mbr_row *row,
                     enum mbr_status status);
/** Alive, suspected or leaving nodes of the own region, this one included. */
size_t mbt_present (const struct mbr *m);
uint64_t mbt_view (const struct mbr *m);
uint64_t mbt_id (struct str name, uint64_t boot);
/** Tell the shell; @p figures: only load or revision. */
void mbt_changed (struct mbr *m, const struct mbr_row *row, bool figures);

/* probe.c */
void prb_tick (struct mbr *m);
void prb_resume (struct mbr *m, clk_ms pause);
void prb_heard (struct mbr *m);
void prb_ping (struct mbr *m, const Swim__Packet *p, struct mbr_row *from,
               const struct net_addr *addr);
void prb_ack (struct mbr *m, const Swim__Packet *p);
void prb_nack (struct mbr *m, const Swim__Packet *p);
void prb_ping_req (struct mbr *m, const Swim__Packet *p, struct mbr_row *from);
void prb_worse (struct mbr *m, unsigned by);

/* gossip.c */
void gsp_queue_fact (struct mbr *m, struct mbr_row *row);
void gsp_queue_gauge (struct mbr_row *row);
void gsp_take_gauge (struct mbr *m, const Swim__Gauge *g);
/** Add known figures, from a random row on, as many as there is room for. */
void gsp_add_gauges (struct mbr *m, struct pkt *p);
/** Add what is due for a node of the own region. */
void gsp_fill (struct mbr *m, struct pkt *p);
void gsp_tick (struct mbr *m);

/* exchange.c */
void xch_tick (struct mbr *m);
void xch_join (struct mbr *m, const struct net_addr *to,
               const struct mbr_row *row);
void xch_take_join (struct mbr *m, const Swim__Packet *p,
                    const struct net_addr *from);
void xch_take_state (struct mbr *m, const Swim__Packet *p,
                     const struct net_addr *from);

/* region.c */
void rgn_tick (struct mbr *m);
struct mbr_far_region *rgn_find (struct mbr *m, struct str name);
/** Whether a statement about a node of another region may be taken. */
bool rgn_admit (struct mbr *m, const Swim__Member *s);
void rgn_mention (struct mbr *m, struct mbr_row *row);
void rgn_take_summary (struct mbr *m, const Swim__Summary *s);
/** Send the next summary at once, as this node was accused. */
void rgn_tell_soon (struct mbr *m);
/** The next node to probe as a bridge, or NULL. */
struct mbr_row *rgn_probe_target (struct mbr *m);
/** Bridges of the own region towards @p region; returns how many. */
size_t rgn_bridges (const struct mbr *m, struct str region,
                    struct mbr_row **out);
void rgn_free (struct mbr *m);

/* member.c */
struct mbr_out *mbr_out_new (struct mbr *m);

#endif
