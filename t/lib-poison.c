#include "t/lib-poison.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/str.h"

#define STEP_MS ((clk_ms)10)

static bool
collects (const struct psn_fleet *f, int node)
{
  return f->relays == 0 || node < f->relays;
}

static void
queue_updates (struct psn_fleet *f, int from, int to,
               const struct psn_update *list, size_t n)
{
  f->queue[to] = xrealloc (f->queue[to],
                           (f->nqueue[to] + n + 1) * sizeof (*f->queue[to]));
  for (size_t i = 0; i < n; i++)
    if (f->linked[from][to] && (list[i].broadcast || collects (f, to)))
      {
        f->queue[to][f->nqueue[to]++] = list[i];
        f->sent++;
      }
}

static void
send_updates (struct psn_fleet *f, int from)
{
  size_t n;
  const struct psn_update *list = psn_updates (f->node[from], &n);

  for (int to = 0; to < f->n; to++)
    queue_updates (f, from, to, list, n);
}

void
psn_fleet_step (struct psn_fleet *f)
{
  f->now += STEP_MS;
  for (int i = 0; i < f->n; i++)
    {
      struct psn_update *list = f->queue[i];
      size_t n = f->nqueue[i];
      f->queue[i] = NULL;
      f->nqueue[i] = 0;
      for (size_t k = 0; k < n; k++)
        psn_apply (f->node[i], f->now, &list[k]);
      free (list);
      if (f->now >= psn_next_deadline (f->node[i]))
        psn_tick (f->node[i], f->now);
    }
  for (int i = 0; i < f->n; i++)
    send_updates (f, i);
}

void
psn_fleet_crash (struct psn_fleet *f, int node, uint64_t digest,
                 uint64_t endpoint, clk_ms ran_ms)
{
  psn_run_crashed (f->node[node], f->now,
                   &(struct psn_run){ .request = { .digest = digest },
                                      .endpoint = endpoint,
                                      .ran_ms = ran_ms });
}

void
psn_fleet_complete (struct psn_fleet *f, int node, uint64_t digest)
{
  psn_completed (f->node[node], f->now,
                 &(struct psn_request){ .digest = digest });
}

bool
psn_fleet_refuses (struct psn_fleet *f, int node, uint64_t digest,
                   clk_ms *retry_ms)
{
  struct psn_request r = { .digest = digest };
  struct psn_refusal why = { .retry_ms = 0 };
  bool refused = psn_should_refuse (f->node[node], f->now, &r, &why);

  *retry_ms = why.retry_ms;
  return refused;
}

void
psn_fleet_link (struct psn_fleet *f, int a, int b, bool linked)
{
  const struct psn_update *list;
  size_t n;

  f->linked[a][b] = f->linked[b][a] = linked;
  if (!linked)
    return;
  list = psn_snapshot (f->node[a], f->now, &n);
  queue_updates (f, a, b, list, n);
  list = psn_snapshot (f->node[b], f->now, &n);
  queue_updates (f, b, a, list, n);
}

static bool
may_link (const struct psn_fleet *f, int a, int b)
{
  return a != b && (f->relays == 0 || a < f->relays || b < f->relays);
}

void
psn_fleet_restart (struct psn_fleet *f, int node)
{
  psn_free (f->node[node]);
  f->node[node] = psn_new ();
  psn_set_collecting (f->node[node], f->now, collects (f, node));
  f->nqueue[node] = 0;
  for (int i = 0; i < f->n; i++)
    if (may_link (f, node, i))
      psn_fleet_link (f, node, i, true);
}

void
psn_fleet_init (struct psn_fleet *f, int nodes, int relays)
{
  memset (f, 0, sizeof *f);
  f->n = nodes;
  f->relays = relays;
  f->now = 100000;
  for (int i = 0; i < nodes; i++)
    {
      f->node[i] = psn_new ();
      psn_set_collecting (f->node[i], f->now, collects (f, i));
    }
  for (int i = 0; i < nodes; i++)
    for (int k = 0; k < nodes; k++)
      f->linked[i][k] = may_link (f, i, k);
}

void
psn_fleet_free (struct psn_fleet *f)
{
  for (int i = 0; i < f->n; i++)
    {
      psn_free (f->node[i]);
      free (f->queue[i]);
    }
}

/* --- the script ---------------------------------------------------------- */

#define MAX_PARTS 8

/** A request of the script; @p parts is its list of parts. */
static struct psn_request
parse_request (const char *text, uint64_t parts[MAX_PARTS])
{
  struct psn_request r = { .digest = (uint64_t)text[0], .parts = parts };

  for (size_t i = 2; text[1] == '.' && text[i] && r.nparts < MAX_PARTS; i++)
    parts[r.nparts++] = (uint64_t)text[i];
  return r;
}

static struct psn_id
parse_id (const char *text)
{
  bool is_part = text[0] == '.';

  return (struct psn_id){ is_part, (uint64_t)text[is_part] };
}

static void
query (struct psn_fleet *f, const char *request, struct buf *log)
{
  uint64_t parts[MAX_PARTS];
  struct psn_request r = parse_request (request, parts);
  struct psn_refusal why;

  buf_addf (log, "%s ", request);
  for (int i = 0; i < f->n; i++)
    {
      bool refused = psn_should_refuse (f->node[i], f->now, &r, &why);
      buf_add_char (log, !refused ? '-' : why.retry_ms ? 'w' : 'B');
    }
  buf_add_char (log, '\n');
}

static void
run_line (struct psn_fleet *f, const char *command, const char *x,
          const char *y, const char *z, const char *ms, struct buf *log)
{
  int node = atoi (x) - 1;
  uint64_t parts[MAX_PARTS];
  struct psn_request r = parse_request (y, parts);

  if (strcmp (command, "nodes") == 0)
    psn_fleet_init (f, atoi (x), 0);
  else if (strcmp (command, "relays") == 0)
    psn_fleet_init (f, atoi (x), 4);
  else if (strcmp (command, "crash") == 0)
    psn_run_crashed (f->node[node], f->now,
                     &(struct psn_run){ .request = r,
                                        .endpoint = (uint64_t)atoi (z),
                                        .ran_ms = atoi (ms) });
  else if (strcmp (command, "complete") == 0)
    psn_completed (f->node[node], f->now, &r);
  else if (strcmp (command, "cut") == 0 || strcmp (command, "link") == 0)
    psn_fleet_link (f, node, atoi (y) - 1, command[0] == 'l');
  else if (strcmp (command, "collect") == 0)
    psn_set_collecting (f->node[node], f->now, true);
  else if (strcmp (command, "restart") == 0)
    psn_fleet_restart (f, node);
  else if (strcmp (command, "stored") == 0)
    psn_apply (f->node[node], f->now,
               &(struct psn_update){ .kind = PSN_BLOCKED,
                                     .id = parse_id (y),
                                     .hold_ms = PSN_HOLD_MS,
                                     .broadcast = true });
  else if (strcmp (command, "clear") == 0)
    psn_apply (f->node[node], f->now,
               &(struct psn_update){ .kind = PSN_CLEARED,
                                     .id = parse_id (y),
                                     .broadcast = true });
  else if (strcmp (command, "query") == 0)
    query (f, x, log);
  else if (strcmp (command, "run") == 0)
    for (clk_ms end = f->now + atoi (x); f->now < end;)
      psn_fleet_step (f);
  else
    cr_assert (false, "unknown command: %s", command);
}

void
poison_run_script (const char *script, const char *expected)
{
  struct psn_fleet f = { 0 };
  struct buf log = BUF_INIT;
  char *copy = xstrdup (script), *next = copy, *text;

  while ((text = strsep (&next, "\n")) != NULL)
    {
      char command[16] = "", x[16] = "", y[16] = "", z[16] = "", ms[16] = "";
      if (sscanf (text, " %15s %15s %15s %15s %15s", command, x, y, z, ms) > 0)
        run_line (&f, command, x, y, z, ms, &log);
    }
  cr_expect_str_eq (buf_c (&log), expected, "got:\n%s\nexpected:\n%s",
                    buf_c (&log), expected);
  psn_fleet_free (&f);
  buf_free (&log);
  free (copy);
}
