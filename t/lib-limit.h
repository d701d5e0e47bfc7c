/**
 * @file
 * Nodes that share the request rate of limited servers, by a script.
 *
 *   nodes N          so many nodes; the first four are hubs: all link to them,
 *                    and the first one that a node has heard lately grants
 *                    permits
 *   alone            no node is linked to any other from now on
 *   load N           requests a second, at nodes drawn by chance
 *   at NODE          all of them come to that node; 0: to any
 *   limit SERVER N   what its answers say from now on; "none": nothing
 *   cut NODE, join NODE      its links; they fall silent
 *   kill NODE, start NODE    its process; it knows nothing of before
 *   freeze NODE, wake NODE
 *   hold NODE, pass NODE     what is sent to it waits, then comes at once
 *   believes NODE SERVER N   that node alone knows this limit, or "none", and
 *                    has told nobody
 *   run MS           time passes; frames take 10 ms, answers 100 to 200
 *   reset            count anew
 *   count SERVER     a line of the log
 *   known SERVER     a line: a letter for each node, "L" where it is limited,
 *                    "-" where not, "." where no process is
 *
 * A server is a letter; requests go to each that "limit" named, in turn, and
 * to others where no permit is to be had.  Of `count` the line says "kept" if
 * in no 4 s more requests came than one and a half times the limit and 5, else
 * how many, and the part of the allowance that was used, in tens of a hundred.
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

struct limit_node
{
  struct lim *l; /**< NULL: no process */
  bool cut, frozen, held;
  clk_ms started_at;
  clk_ms last_seen[LIMIT_RELAYS];
  clk_ms next_report;
  struct limit_message *inbox;
  clk_ms waiting[LIMIT_SERVERS]; /**< a request waits until then; 0: none */
};

struct limit_server
{
  char name;
  bool limited;
  double rate;
  clk_ms *arrivals; /**< since the last reset */
  size_t n, room;
  clk_ms reset_at;
};

struct limit_fleet
{
  struct limit_node node[LIMIT_NODES];
  int n;
  int target; /**< node that requests come to; 0: any */
  double load, credit;
  struct limit_server server[LIMIT_SERVERS];
  int nservers, next_server;
  struct limit_response *responses;
  struct rng rng;
  clk_ms now;
};

void limit_fleet_init (struct limit_fleet *f, int nodes, uint64_t seed);
void limit_fleet_free (struct limit_fleet *f);
/** One line of a script. */
void limit_run_line (struct limit_fleet *f, const char *text, struct buf *log);
/** Most requests in any 4 s since the last reset. */
size_t limit_max_in_window (const struct limit_server *s);
/** Play @p script and compare the log with @p expected. */
void limit_run_script (const char *script, const char *expected);

#endif
