/**
 * @file
 * What the files of domains.c share.
 *
 *   domains.c    which domains this node is home of; the cores' actions
 *   dom-calls.c  probes, orders and the platform's list over HTTP
 *   dom-store.c  the cores' store calls
 *   dom-view.c   evidence to and from other nodes, and the merged list
 *   dom-turn.c   whose turn it is to load weights, over all domains
 */
#ifndef LAPISLINE_CONTROL_DOMAINS_H
#define LAPISLINE_CONTROL_DOMAINS_H

#include "control/control.h"
#include "replica/owner.h"

#include <glib.h>

#define DOM_TICK_MS ((clk_ms)100)
/** A probe without an answer by then has failed. */
#define DOM_PROBE_MS ((clk_ms)800)
/** No order is under way for longer. */
#define DOM_ORDER_MS ((clk_ms)2000)
#define DOM_LEASE_MS ((clk_ms)6000)
#define DOM_BROADCAST_MS ((clk_ms)1000)
/** Evidence with all its names at least this often. */
#define DOM_FULL_MS ((clk_ms)5000)
/** Full broadcasts after a node has come. */
#define DOM_FULL_MORE 3
#define DOM_PLATFORM_MS ((clk_ms)1000)
/** Domains that load weights at the same time, and how long a domain waits at
    most for its turn. */
#define DOM_LOADS 4
#define DOM_TURN_MS (10 * CLK_MINUTE)
#define DOM_SHARE_MS ((clk_ms)1000)
/** Evidence of nobody's owner counts once the last owner was silent so long;
    shorter than the evidence time, so that nothing expires in between. */
#define DOM_OWNER_SILENT_MS ((clk_ms)1500)
/** A home that has just begun says nothing for so long, unless it has seen
    every replica whole before. */
#define DOM_QUIET_MS ((clk_ms)3000)

struct dom;

enum dom_call_kind
{
  DCALL_PROBE,
  DCALL_ORDER,
  DCALL_STORE_OWNER,
  DCALL_STORE_REPLICA
};

/** One call under way on behalf of a domain. */
struct dom_call
{
  struct dom *dom;
  enum dom_call_kind kind;
  struct httpc_call *http; /* NULL for store calls */
  struct buf vm;
  struct buf body;
  uint64_t token;
  int status;
  clk_ms deadline;
  struct dom_call *next;
};

/** What another node said last about a domain. */
struct dom_remote
{
  int64_t fence;   /* highest seen */
  clk_ms owner_at; /* when evidence of that fence came last */
  Lapis__Evidence *last;
  clk_ms last_at; /* when it came */
};

/** One fabric domain of the configuration. */
struct dom
{
  struct ctl_domains *all;
  struct buf name;
  const struct cfg_domain *cfg;
  bool managed; /* has a replica that may get orders */
  bool home;    /* this node probes it, and owns it if it can */
  struct buf home_node;
  bool changed;         /* evidence changed in this turn */
  clk_ms waiting_since; /* for a turn to load weights; 0: is not */
  struct own *own;
  struct rep *rep;
  struct dom_call *calls;
  uint64_t seq; /* begins anywhere, so that no two senders share them */
  uint64_t full_seq;
  size_t sent_replicas;
  int full_more; /* broadcasts that shall be full */
  clk_ms sent_at, full_at;
  clk_ms quiet_until; /* 0: it speaks */
  struct dom_remote remote;
};

struct ctl_domains
{
  struct ctl *c;
  uv_timer_t timer;
  struct cfg *cfg;
  struct dom **list;
  size_t n;
  struct dom **dom_of; /* of each replica of the configuration */
  clk_ms next_platform;
  clk_ms next_share;
  struct httpc_call *platform;
  struct buf platform_body;
  int platform_status;
  GPtrArray
      *leaving; /* backend servers, as the list that was read here says */
  GPtrArray *all_leaving; /* and by the lists of other nodes; owns nothing */
  clk_ms platform_deadline;
  struct ctl_replica *merged;
  size_t nmerged;
  struct met_series *probes, *orders, *stopped_orders, *evidence_bytes;
};

/* domains.c */
/** Carry out what the cores of the domain want; NULL-safe on its way out. */
void dom_pump (struct dom *d);
struct dom *dom_find (const struct ctl_domains *all, struct str name);

/* dom-calls.c */
void dom_probe (struct dom *d, const struct cfg_vm *vm);
void dom_order (struct dom *d, const struct rep_action *a);
/** End calls that are past their deadline. */
void dom_calls_tick (struct dom *d, clk_ms now);
/** Drop every call without an answer. */
void dom_calls_cancel (struct dom *d);
struct dom_call *dom_call_new (struct dom *d, enum dom_call_kind kind);
void dom_call_free (struct dom_call *call);
void dom_platform_tick (struct ctl_domains *all, clk_ms now);
void dom_platform_stop (struct ctl_domains *all);
/** Whether a list of names holds @p name. */
bool dom_named (const GPtrArray *names, const char *name);

/* dom-store.c */
void dom_own_action (struct dom *d, const struct own_action *a);
void dom_rep_store (struct dom *d, const struct rep_action *a);

/* dom-view.c */
void dom_broadcast (struct dom *d, clk_ms now);
/** Whether what this home has seen so far may be told. */
bool dom_speaks (struct dom *d, clk_ms now);
void dom_remote_free (struct dom_remote *r);

/* dom-turn.c */
/** Tell the cores whose turn it is to load weights, and who is alive. */
void dom_share_budget (struct ctl_domains *all, clk_ms now);

#endif
