/**
 * @file
 * Simulation of nodes that share the request rate of limited servers, driven
 * by a script.  Commands, one per line:
 *
 *   nodes N          create N nodes; the first four are relays, and every node
 *                    is linked to all relays.  Permits are granted by the
 *                    first relay from which a node received a message recently
 *   isolate          cut the links of all nodes
 *   load N           N requests per second, at randomly selected nodes
 *   target NODE      all requests arrive at this node; 0: at any node
 *   limit SERVER N   limit in the responses of the server from now on; "none":
 *                    no limit
 *   cut NODE, link NODE      its links; messages to and from it are lost
 *   kill NODE, start NODE    its process; a started process has no state
 *   freeze NODE, thaw NODE   its process; it does nothing while frozen
 *   hold NODE, release NODE  messages to the node are queued, then delivered
 *                    all at once
 *   each COMMAND A B the command for each node from A to B
 *   record NODE SERVER N     set the limit, or "none", at this node only,
 *                    without an update to other nodes
 *   cold SERVER N MS the server is cold for MS from now on and tolerates N
 *                    requests per second; nodes learn it within 300 ms
 *   bound OVER SLACK bound for cold servers, at the running nodes and those
 *                    that are started
 *   delay MS         messages take up to MS longer from now on, in order
 *   connect MS       a third of the connections takes up to MS from now on
 *   leases           nodes that are cut off know all nodes; 3 s after the cut,
 *                    the others no longer count them, and neither those that
 *                    are not running.  A node that is started knows no other
 *                    node for 1 s
 *   run MS           let time pass; messages take 10 ms, responses 100 to 200
 *   reset            restart the counts
 *   count SERVER     write a line to the log, see below
 *   second SERVER    as count, for any second in which the server was cold,
 * its bound, and its rate while it was cold show SERVER      write a line with
 * a letter for each node: "L" if it has recorded a limit, "-" if not, "." if
 * it has no process
 *
 * A server is a letter.  Requests go to the servers named by "limit" in turn.
 * A request that gets no permit is not sent to its server.  Servers named by
 * "cold" get requests only while they are cold, from nodes that know it.
 *
 * The line of "count" has two words.  The first is "kept" if the number of
 * requests in any 4 s was at most 1.5 times that allowed by the limit, plus 5;
 * else the largest number.  The second is the part of the allowed requests
 * that arrived: "used" from 80 %, "half" from 50 %, else "little".
 */
#ifndef LAPISLINE_T_LIB_LIMIT_H
#define LAPISLINE_T_LIB_LIMIT_H

#include "base/rng.h"
#include "serve/limit.h"

#define LIMIT_NODES 300
#define LIMIT_RELAYS 4
#define LIMIT_SERVERS 4

struct limit_message;
struct limit_response;
struct limit_connection;

struct limit_node
{
  struct lim *l; /**< NULL: no process */
  bool cut, frozen, held;
  clk_ms started_at;
  clk_ms listed_until;             /**< the others count it until then */
  clk_ms learns_at[LIMIT_SERVERS]; /**< learns then that the server is cold; 0:
                                        nothing to learn */
  clk_ms last_seen[LIMIT_RELAYS];
  clk_ms next_report;
  struct limit_message *inbox, *inbox_last;
  clk_ms waiting[LIMIT_SERVERS]; /**< a request waits for a permit until then;
                                    0: none */
};

struct limit_server
{
  char name;
  bool limited;
  double rate;
  double cold_per_s;          /**< 0: never cold */
  clk_ms cold_until, cold_ms; /**< end and sum of its cold periods */
  clk_ms *arrivals;           /**< since the last reset */
  size_t n, capacity;
  clk_ms reset_at;
};

struct limit_fleet
{
  struct limit_node node[LIMIT_NODES];
  int n;
  int target; /**< node at which requests arrive; 0: any */
  double load, credit;
  struct limit_server server[LIMIT_SERVERS];
  int nservers, next_server;
  struct limit_response *responses;
  struct limit_connection *connections;
  struct lim_cold_bound bound;
  clk_ms delay, connect;
  bool leases;
  unsigned counted; /**< nodes that are listed */
  struct rng rng;
  clk_ms now;
};

void limit_fleet_init (struct limit_fleet *f, int nodes, uint64_t seed);
void limit_fleet_free (struct limit_fleet *f);
/** Run one line of a script. */
void limit_run_line (struct limit_fleet *f, const char *text, struct buf *log);
/** Maximum number of requests in any 4 s since the last reset. */
size_t limit_max_in_window (const struct limit_server *s);
/** Maximum number of requests in any second since the last reset. */
size_t limit_max_in_second (const struct limit_server *s);
/** Run @p script and compare its log with @p expected. */
void limit_run_script (const char *script, const char *expected);

#endif
