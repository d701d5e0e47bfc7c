#include "base/str.h"

#include "t/lib-limit.h"

#include <criterion/criterion.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_MS ((clk_ms)10)
#define REPORT_MS ((clk_ms)100)
/** A node requests no permits from a relay that has sent nothing for the
    shorter time, and grants to itself.  After the longer time, it selects the
    next relay. */
#define GRANT_TIMEOUT_MS ((clk_ms)1000)
#define DEAD_MS ((clk_ms)2500)
#define WINDOW_MS ((clk_ms)4000)
/** Requests of a started process are not counted for this long, as it must
    receive the limits first. */
#define LEARN_MS ((clk_ms)500)
/** How long a request waits for a permit. */
#define WAIT_MS ((clk_ms)40)
/** How long the entry of a node that is cut off or does not run is kept, and
    how long a started process does not know the other nodes. */
#define LEASE_MS ((clk_ms)3000)
#define LIST_MS ((clk_ms)1000)
#define MAX_LIST 16

/** A message between two nodes. */
struct limit_message
{
  struct limit_message *next;
  int from;
  clk_ms due;
  bool periodic, is_follower, grants;
  struct lim_permits permits[MAX_LIST]; /**< requested or granted */
  size_t npermits;
  struct lim_update updates[MAX_LIST];
  size_t nupdates;
};

struct limit_response
{
  struct limit_response *next;
  int node;
  struct limit_server *server;
  struct lim *sender; /**< process that sent the request */
  clk_ms sent, due;
};

/** A connection that is being established; its request is written then. */
struct limit_connection
{
  struct limit_connection *next;
  int node;
  struct limit_server *server;
  struct lim *sender;
  clk_ms due, permit_expires_at;
};

/* --- links --------------------------------------------------------------- */

static bool
is_linked (const struct limit_fleet *f, int a, int b)
{
  return a != b && (a < LIMIT_RELAYS || b < LIMIT_RELAYS) && f->node[a].l
         && f->node[b].l && !f->node[a].cut && !f->node[b].cut;
}

static void
send_message (struct limit_fleet *f, int to,
              const struct limit_message *message)
{
  struct limit_node *x = &f->node[to];
  struct limit_message *copy;

  if (!is_linked (f, message->from, to))
    return;
  copy = xmalloc (sizeof *copy);
  *copy = *message;
  copy->next = NULL;
  copy->due = f->now + STEP_MS;
  if (f->delay)
    copy->due += (clk_ms)rng_below (&f->rng, (uint64_t)f->delay);
  if (x->inbox)
    x->inbox_last->next = copy;
  else
    x->inbox = copy;
  x->inbox_last = copy;
}

static void
fill_updates (struct limit_message *message, const struct lim_update *list,
              size_t n)
{
  message->nupdates = n < MAX_LIST ? n : MAX_LIST;
  if (n)
    memcpy (message->updates, list, message->nupdates * sizeof *list);
}

static void
send_updates (struct limit_fleet *f, int from)
{
  struct limit_message message = { .from = from };
  size_t n;
  const struct lim_update *list = lim_updates (f->node[from].l, f->now, &n);

  fill_updates (&message, list, n);
  for (int to = 0; n > 0 && to < f->n; to++)
    send_message (f, to, &message);
}

static void
send_snapshot (struct limit_fleet *f, int from, int to)
{
  struct limit_message message = { .from = from };
  size_t n;
  const struct lim_update *list = lim_snapshot (f->node[from].l, f->now, &n);

  fill_updates (&message, list, n);
  send_message (f, to, &message);
}

static void
exchange_snapshots (struct limit_fleet *f, int node)
{
  for (int i = 0; i < f->n; i++)
    if (is_linked (f, node, i))
      {
        send_snapshot (f, node, i);
        send_snapshot (f, i, node);
      }
}

/* --- nodes --------------------------------------------------------------- */

/** The relay that grants permits to a node; -1: the node grants them itself.
 */
static int
find_grantor (const struct limit_fleet *f, int node)
{
  for (int i = 0; i < LIMIT_RELAYS && i < f->n; i++)
    {
      clk_ms silent = f->now - f->node[node].last_seen[i];
      if (i == node)
        return -1;
      if (silent < DEAD_MS)
        return silent < GRANT_TIMEOUT_MS ? i : -1;
    }
  return -1;
}

/** Send the demand of a node to the grantor. */
static void
send_demand (struct limit_fleet *f, int node, int grantor, bool periodic)
{
  struct limit_message message
      = { .from = node, .periodic = periodic, .is_follower = true };
  size_t n;
  const struct lim_permits *list
      = lim_get_demand (f->node[node].l, f->now, periodic, &n);

  message.npermits = n < MAX_LIST ? n : MAX_LIST;
  if (n)
    memcpy (message.permits, list, message.npermits * sizeof *list);
  send_message (f, grantor, &message);
}

/** Number of nodes that a node knows. */
static unsigned
count_nodes (const struct limit_fleet *f, int node)
{
  const struct limit_node *x = &f->node[node];

  if (!f->leases || x->cut)
    return (unsigned)f->n;
  return f->now - x->started_at < LIST_MS ? 1 : f->counted;
}

static void
grant (struct limit_fleet *f, int node)
{
  struct lim *l = f->node[node].l;
  size_t n;

  lim_set_role (l, f->now, find_grantor (f, node) < 0, count_nodes (f, node));
  const struct lim_permits *due = lim_grant (l, f->now, true, &n);
  for (size_t i = 0; i < n; i++)
    {
      struct limit_message message = { .from = node, .grants = true };
      message.npermits = 1;
      message.permits[0] = due[i];
      send_message (f, (int)due[i].node - 1, &message);
    }
}

static void
send_report (struct limit_fleet *f, int node)
{
  int grantor = find_grantor (f, node);
  struct limit_message message = { .from = node, .periodic = true };

  if (grantor >= 0)
    send_demand (f, node, grantor, true);
  for (int to = 0; to < f->n; to++)
    if (to != grantor && (node < LIMIT_RELAYS || to < LIMIT_RELAYS))
      send_message (f, to, &message);
  grant (f, node);
}

static void
receive_message (struct limit_fleet *f, int node,
                 const struct limit_message *in)
{
  struct lim *l = f->node[node].l;

  if (in->from < LIMIT_RELAYS)
    f->node[node].last_seen[in->from] = f->now;
  for (size_t i = 0; i < in->nupdates; i++)
    lim_apply_update (l, f->now, &in->updates[i]);
  for (size_t i = 0; in->grants && i < in->npermits; i++)
    if (find_grantor (f, node) == in->from && in->permits[i].cold_ms > 0)
      lim_add_cold_permits (l, f->now, in->permits[i].server, in->permits[i].n,
                            in->permits[i].cold_ms);
    else if (find_grantor (f, node) == in->from)
      lim_add_permits (l, f->now, in->permits[i].server, in->permits[i].n);
  if (in->is_follower)
    lim_on_follower_demand (l, f->now, (uint64_t)in->from + 1, in->periodic,
                            in->permits, in->npermits);
  else if (in->periodic)
    lim_remove_follower (l, (uint64_t)in->from + 1);
  if (in->is_follower)
    grant (f, node);
}

/* --- requests ------------------------------------------------------------ */

static void
add_arrival (struct limit_server *s, clk_ms now)
{
  if (s->n == s->capacity)
    {
      s->capacity = 2 * s->capacity + 64;
      s->arrivals = xrealloc (s->arrivals, s->capacity * sizeof *s->arrivals);
    }
  s->arrivals[s->n++] = now;
}

/** Establish the connection for a request to a cold server. */
static void
connect_to_cold (struct limit_fleet *f, int node, struct limit_server *s)
{
  struct limit_connection *c = xmalloc (sizeof *c);

  *c = (struct limit_connection){ .next = f->connections,
                                  .node = node,
                                  .server = s,
                                  .sender = f->node[node].l,
                                  .due = f->now };
  c->permit_expires_at
      = lim_use_permit (f->node[node].l, f->now, (uint64_t)s->name);
  if (f->connect && rng_below (&f->rng, 3) == 0)
    c->due += (clk_ms)rng_below (&f->rng, (uint64_t)f->connect);
  f->connections = c;
}

/** Write the requests whose connections are established. */
static void
write_requests (struct limit_fleet *f)
{
  struct limit_connection **at = &f->connections;

  while (*at)
    {
      struct limit_connection *c = *at;
      struct limit_node *x = &f->node[c->node];
      if (x->l == c->sender && (x->frozen || c->due > f->now))
        {
          at = &c->next;
          continue;
        }
      if (x->l == c->sender
          && lim_may_write (x->l, f->now, (uint64_t)c->server->name,
                            c->permit_expires_at)
          && f->now < c->server->cold_until)
        add_arrival (c->server, f->now);
      *at = c->next;
      free (c);
    }
}

static void
send_request (struct limit_fleet *f, int node, struct limit_server *s)
{
  struct limit_response *a;

  if (s->cold_per_s > 0)
    {
      connect_to_cold (f, node, s);
      return;
    }
  a = xmalloc (sizeof *a);
  lim_use_permit (f->node[node].l, f->now, (uint64_t)s->name);
  if (f->now - f->node[node].started_at >= LEARN_MS)
    add_arrival (s, f->now);
  *a = (struct limit_response){ .next = f->responses,
                                .node = node,
                                .server = s,
                                .sender = f->node[node].l,
                                .sent = f->now };
  a->due = f->now + 100 + (clk_ms)rng_below (&f->rng, 100);
  f->responses = a;
}

/** Request permits immediately if there is new demand. */
static void
request_permits (struct limit_fleet *f, int node)
{
  int grantor = find_grantor (f, node);

  if (!lim_poll_new_demand (f->node[node].l))
    return;
  if (grantor < 0)
    grant (f, node);
  else
    send_demand (f, node, grantor, false);
}

static void
start_request (struct limit_fleet *f)
{
  int node
      = f->target ? f->target - 1 : (int)rng_below (&f->rng, (uint64_t)f->n);
  struct limit_node *x = &f->node[node];
  struct limit_server *s = &f->server[f->next_server++ % f->nservers];

  if (!x->l || x->frozen)
    return;
  if (s->cold_per_s > 0
      && (f->now >= s->cold_until || !lim_is_cold (x->l, (uint64_t)s->name)))
    return;
  if (lim_allows (x->l, f->now, (uint64_t)s->name))
    {
      send_request (f, node, s);
      return;
    }
  lim_record_demand (x->l, f->now, (uint64_t)s->name);
  request_permits (f, node);
  if (!lim_is_exhausted (x->l, f->now, (uint64_t)s->name))
    x->waiting[s - f->server] = f->now + WAIT_MS;
}

/** Send the waiting requests for which a permit has arrived. */
static void
send_waiting (struct limit_fleet *f, int node)
{
  struct limit_node *x = &f->node[node];

  for (int i = 0; i < f->nservers; i++)
    if (x->waiting[i] >= f->now
        && lim_allows (x->l, f->now, (uint64_t)f->server[i].name))
      {
        x->waiting[i] = 0;
        send_request (f, node, &f->server[i]);
      }
}

/* --- cold servers -------------------------------------------------------- */

/** The node learns which servers are cold; the times that it is told are late
    by up to 100 ms. */
static void
learn_cold (struct limit_fleet *f, struct limit_node *x)
{
  uint64_t server, sent;

  for (int i = 0; i < f->nservers; i++)
    if (x->learns_at[i] && f->now >= x->learns_at[i])
      {
        struct limit_server *s = &f->server[i];
        x->learns_at[i] = 0;
        lim_set_cold (x->l, f->now, (uint64_t)s->name, s->cold_per_s,
                      s->cold_until + (clk_ms)rng_below (&f->rng, 100));
      }
  while (lim_next_warm (x->l, f->now, &server, &sent))
    ;
}

static void
make_cold (struct limit_fleet *f, struct limit_server *s, double per_s,
           clk_ms ms)
{
  s->cold_ms += MIN (ms, f->now + ms - MAX (s->cold_until, f->now - ms));
  s->cold_per_s = per_s;
  s->cold_until = f->now + ms;
  for (int i = 0; i < f->n; i++)
    f->node[i].learns_at[s - f->server]
        = f->now + 1 + (clk_ms)rng_below (&f->rng, 300);
}

/* --- processes ----------------------------------------------------------- */

static void
step_node (struct limit_fleet *f, int node)
{
  struct limit_node *x = &f->node[node];

  if (x->l && !x->cut && !x->frozen)
    x->listed_until = f->now + LEASE_MS;
  if (!x->l || x->frozen)
    return;
  learn_cold (f, x);
  while (x->inbox && x->inbox->due <= f->now && !x->held)
    {
      struct limit_message *in = x->inbox;
      x->inbox = in->next;
      receive_message (f, node, in);
      free (in);
    }
  if (f->now >= x->next_report)
    {
      x->next_report = f->now + REPORT_MS;
      send_report (f, node);
    }
  send_updates (f, node);
  send_waiting (f, node);
}

static void
start_node (struct limit_fleet *f, int node)
{
  struct limit_node *x = &f->node[node];

  *x = (struct limit_node){ .l = lim_new (rng_next (&f->rng)) };
  x->started_at = f->now;
  x->next_report = f->now + (clk_ms)rng_below (&f->rng, REPORT_MS);
  for (int i = 0; i < LIMIT_RELAYS; i++)
    x->last_seen[i] = f->leases ? f->now - GRANT_TIMEOUT_MS : f->now;
  if (f->bound.over > 0)
    lim_configure_cold (x->l, f->now, &f->bound);
  for (int i = 0; i < f->nservers; i++)
    if (f->now < f->server[i].cold_until)
      x->learns_at[i] = f->now;
}

static void
drop_inbox (struct limit_node *x)
{
  while (x->inbox)
    {
      struct limit_message *next = x->inbox->next;
      free (x->inbox);
      x->inbox = next;
    }
}

static void
kill_node (struct limit_fleet *f, int node)
{
  struct limit_node *x = &f->node[node];
  struct limit_response **at = &f->responses;

  while (*at)
    if ((*at)->sender == x->l)
      {
        struct limit_response *gone = *at;
        *at = gone->next;
        free (gone);
      }
    else
      at = &(*at)->next;
  lim_free (x->l);
  x->l = NULL;
  drop_inbox (x);
}

/* --- time ---------------------------------------------------------------- */

static void
receive_responses (struct limit_fleet *f)
{
  struct limit_response **at = &f->responses;

  while (*at)
    {
      struct limit_response *a = *at;
      struct limit_server *s = a->server;
      if (a->due > f->now || f->node[a->node].frozen)
        {
          at = &a->next;
          continue;
        }
      lim_on_report (a->sender, f->now,
                     &(struct lim_report){ .server = (uint64_t)s->name,
                                           .kind = s->limited
                                                       ? LIM_REPORT_RATE
                                                       : LIM_REPORT_NONE,
                                           .rate = s->rate,
                                           .sent_at = a->sent });
      *at = a->next;
      free (a);
    }
}

static void
step (struct limit_fleet *f)
{
  f->now += STEP_MS;
  receive_responses (f);
  f->counted = 0;
  for (int i = 0; i < f->n; i++)
    f->counted += f->now < f->node[i].listed_until;
  for (int i = 0; i < f->n; i++)
    step_node (f, i);
  write_requests (f);
  if (f->nservers == 0)
    return;
  f->credit += f->load * (double)STEP_MS / (double)CLK_SECOND;
  for (; f->credit >= 1; f->credit--)
    start_request (f);
}

/* --- the script ---------------------------------------------------------- */

static size_t
max_in (const struct limit_server *s, clk_ms ms)
{
  size_t most = 0, first = 0;

  for (size_t i = 0; i < s->n; i++)
    {
      while (s->arrivals[i] - s->arrivals[first] >= ms)
        first++;
      if (i + 1 - first > most)
        most = i + 1 - first;
    }
  return most;
}

size_t
limit_max_in_window (const struct limit_server *s)
{
  return max_in (s, WINDOW_MS);
}

size_t
limit_max_in_second (const struct limit_server *s)
{
  return max_in (s, CLK_SECOND);
}

static struct limit_server *
server_of (struct limit_fleet *f, char name)
{
  for (int i = 0; i < f->nservers; i++)
    if (f->server[i].name == name)
      return &f->server[i];
  cr_assert_lt (f->nservers, LIMIT_SERVERS);
  f->server[f->nservers].name = name;
  return &f->server[f->nservers++];
}

static const char *
classify_usage (size_t n, double owed)
{
  if ((double)n >= 0.8 * owed)
    return "used";
  return (double)n >= 0.5 * owed ? "half" : "little";
}

static void
log_count (struct limit_fleet *f, const struct limit_server *s,
           struct buf *log)
{
  double allowed = 1.5 * s->rate * (double)WINDOW_MS / (double)CLK_SECOND + 5;
  double owed = s->rate * (double)(f->now - s->reset_at) / (double)CLK_SECOND;
  size_t most = limit_max_in_window (s);

  buf_addf (log, "%c ", s->name);
  if ((double)most <= allowed)
    buf_add_c (log, "kept");
  else
    buf_addf (log, "%zu of %d", most, (int)allowed);
  buf_addf (log, " %s\n", classify_usage (s->n, owed));
}

/** Permits for cold servers that the nodes granted, or used. */
static size_t
sum_stats (const struct limit_fleet *f, bool granted)
{
  size_t sum = 0;

  for (int i = 0; i < f->n; i++)
    if (f->node[i].l)
      {
        struct lim_stats x = lim_stats (f->node[i].l, f->now);
        sum += granted ? x.cold_granted : x.cold_sent;
      }
  return sum;
}

static void
log_second (struct limit_fleet *f, const struct limit_server *s,
            struct buf *log)
{
  double allowed = s->cold_per_s * f->bound.over + f->bound.slack;
  double owed = s->cold_per_s * (double)s->cold_ms / (double)CLK_SECOND;
  size_t most = limit_max_in_second (s);

  buf_addf (log, "%c ", s->name);
  if ((double)most <= allowed)
    buf_add_c (log, "kept");
  else
    buf_addf (log, "%zu of %d", most, (int)allowed);
  buf_addf (log, " %s\n", classify_usage (s->n, owed));
  if (getenv ("LIMIT_FIGURES"))
    fprintf (stderr, "%c: most %zu, %zu of %.0f, granted %zu, used %zu\n",
             s->name, most, s->n, owed, sum_stats (f, true),
             sum_stats (f, false));
}

static void
log_limited (const struct limit_fleet *f, const struct limit_server *s,
             struct buf *log)
{
  double rate;

  buf_addf (log, "%c ", s->name);
  for (int i = 0; i < f->n; i++)
    buf_add_char (log, !f->node[i].l ? '.'
                       : lim_get_rate (f->node[i].l, (uint64_t)s->name, &rate)
                           ? 'L'
                           : '-');
  buf_add_char (log, '\n');
}

static void
reset (struct limit_fleet *f)
{
  for (int i = 0; i < f->nservers; i++)
    {
      f->server[i].n = 0;
      f->server[i].reset_at = f->now;
      f->server[i].cold_ms = MAX (f->server[i].cold_until - f->now, 0);
    }
}

static void
set_limit (struct limit_fleet *f, char name, const char *rate)
{
  struct limit_server *s = server_of (f, name);

  s->limited = strcmp (rate, "none") != 0;
  if (s->limited)
    s->rate = atof (rate);
}

static void
record_limit (struct limit_fleet *f, int node, char server, const char *rate)
{
  struct lim_update update = { .server = (uint64_t)server };
  size_t n;

  update.limited = strcmp (rate, "none") != 0;
  update.rate = atof (rate);
  lim_apply_update (f->node[node].l, f->now, &update);
  lim_updates (f->node[node].l, f->now, &n);
}

static void
set_bound (struct limit_fleet *f, double over, double slack)
{
  f->bound
      = (struct lim_cold_bound){ .per_s = 26, .over = over, .slack = slack };
  for (int i = 0; i < f->n; i++)
    lim_configure_cold (f->node[i].l, f->now, &f->bound);
}

static void
change_node (struct limit_fleet *f, const char *command, int node)
{
  struct limit_node *x = &f->node[node];

  if (strcmp (command, "cut") == 0)
    x->cut = true;
  else if (strcmp (command, "freeze") == 0 || strcmp (command, "thaw") == 0)
    x->frozen = command[0] == 'f';
  else if (strcmp (command, "hold") == 0 || strcmp (command, "release") == 0)
    x->held = command[0] == 'h';
  else if (strcmp (command, "kill") == 0)
    kill_node (f, node);
  else if (strcmp (command, "start") == 0)
    start_node (f, node);
  else if (strcmp (command, "link") == 0)
    x->cut = false;
  else
    cr_assert (false, "unknown command: %s", command);
  if (strcmp (command, "start") == 0 || strcmp (command, "link") == 0)
    exchange_snapshots (f, node);
}

void
limit_fleet_init (struct limit_fleet *f, int nodes, uint64_t seed)
{
  memset (f, 0, sizeof *f);
  rng_seed (&f->rng, seed);
  f->n = nodes;
  f->now = 100000;
  for (int i = 0; i < nodes; i++)
    start_node (f, i);
}

void
limit_fleet_free (struct limit_fleet *f)
{
  for (int i = 0; i < f->n; i++)
    if (f->node[i].l)
      kill_node (f, i);
  write_requests (f);
  for (int i = 0; i < f->nservers; i++)
    free (f->server[i].arrivals);
}

void
limit_run_line (struct limit_fleet *f, const char *text, struct buf *log)
{
  char command[16] = "", x[16] = "", y[16] = "", z[16] = "";

  if (sscanf (text, " %15s %15s %15s %15s", command, x, y, z) <= 0)
    return;
  if (strcmp (command, "nodes") == 0)
    limit_fleet_init (f, atoi (x), 1);
  else if (strcmp (command, "isolate") == 0)
    for (int i = 0; i < f->n; i++)
      f->node[i].cut = true;
  else if (strcmp (command, "load") == 0)
    f->load = atof (x);
  else if (strcmp (command, "target") == 0)
    f->target = atoi (x);
  else if (strcmp (command, "limit") == 0)
    set_limit (f, x[0], y);
  else if (strcmp (command, "each") == 0)
    for (int i = atoi (y); i <= atoi (z); i++)
      change_node (f, x, i - 1);
  else if (strcmp (command, "cold") == 0)
    make_cold (f, server_of (f, x[0]), atof (y), atoi (z));
  else if (strcmp (command, "bound") == 0)
    set_bound (f, atof (x), atof (y));
  else if (strcmp (command, "delay") == 0)
    f->delay = atoi (x);
  else if (strcmp (command, "connect") == 0)
    f->connect = atoi (x);
  else if (strcmp (command, "leases") == 0)
    f->leases = true;
  else if (strcmp (command, "second") == 0)
    log_second (f, server_of (f, x[0]), log);
  else if (strcmp (command, "record") == 0)
    record_limit (f, atoi (x) - 1, y[0], z);
  else if (strcmp (command, "reset") == 0)
    reset (f);
  else if (strcmp (command, "count") == 0)
    log_count (f, server_of (f, x[0]), log);
  else if (strcmp (command, "show") == 0)
    log_limited (f, server_of (f, x[0]), log);
  else if (strcmp (command, "run") == 0)
    for (clk_ms end = f->now + atoi (x); f->now < end;)
      step (f);
  else
    change_node (f, command, atoi (x) - 1);
}

void
limit_run_script (const char *script, const char *expected)
{
  struct limit_fleet *f = xcalloc (1, sizeof *f);
  struct buf log = BUF_INIT;
  char *copy = xstrdup (script), *next = copy, *text;

  while ((text = strsep (&next, "\n")) != NULL)
    limit_run_line (f, text, &log);
  cr_expect_str_eq (buf_c (&log), expected, "got:\n%s\nexpected:\n%s",
                    buf_c (&log), expected);
  limit_fleet_free (f);
  free (f);
  buf_free (&log);
  free (copy);
}
