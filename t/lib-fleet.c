#include "t/lib-fleet.h"

#include <criterion/criterion.h>
#include <openssl/hmac.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/bus.h"

#define MAX_NODES 64
#define STEP_MS 50

static const char *const status_names[] = { [MBR_ALIVE] = "alive",
                                            [MBR_SUSPECT] = "suspect",
                                            [MBR_LEAVING] = "leaving",
                                            [MBR_DEAD] = "dead" };

struct fleet
{
  struct bus *bus;
  struct buf out;
  char zones[MAX_NODES][16];
  char regions[MAX_NODES][16];
  struct buf tap;
  clk_ms frozen[MAX_NODES]; /**< end of its last freeze */
  unsigned healthy_accused;
  bool buried[MAX_NODES][MAX_NODES]; /**< by whom, who: was held for dead */
};

/* Talk about a freeze goes on for a moment after it. */
#define AFTERTALK_MS 3000

static bool
runs (const struct fleet *f, size_t i)
{
  return bus_core (f->bus, i) != NULL;
}

static size_t
node_index (const char *name)
{
  int n = 0;

  cr_assert (sscanf (name, "n%d", &n) == 1 && n > 0, "node '%s'", name);
  return (size_t)n - 1;
}

static const struct mbr_node *
view_of (const struct fleet *f, size_t at, const char *name)
{
  size_t n;
  const struct mbr_node *const *nodes = mbr_nodes (bus_core (f->bus, at), &n);

  for (size_t i = 0; i < n; i++)
    if (str_is (nodes[i]->name, name))
      return nodes[i];
  return NULL;
}

/** Count when a node takes one for silent that runs. */
static void
on_changed (void *ctx, clk_ms now, size_t at, const struct mbr_node *node)
{
  struct fleet *f = ctx;
  size_t subject = node_index (node->name.ptr);

  if (node->status != MBR_SUSPECT && node->status != MBR_DEAD)
    return;
  if (node->status == MBR_DEAD)
    f->buried[at][subject] = true;
  if (runs (f, subject)
      && node->boot == view_of (f, subject, node->name.ptr)->boot
      && (f->frozen[subject] == 0 || now > f->frozen[subject] + AFTERTALK_MS))
    f->healthy_accused++;
}

static void
cmd_nodes (struct fleet *f, const char *args)
{
  unsigned n = 0, zones = 1;
  char region[16] = "home";

  sscanf (args, "%u %u %15s", &n, &zones, region);
  for (unsigned i = 0; i < n; i++)
    {
      char zone[16];
      size_t at;

      snprintf (zone, sizeof zone, "z%u", i % zones + 1);
      at = bus_add (f->bus, zone, region);
      snprintf (f->zones[at], sizeof f->zones[at], "%s", zone);
      snprintf (f->regions[at], sizeof f->regions[at], "%s", region);
      if (at > 0)
        bus_join (f->bus, at, 0);
    }
}

static bool
all_hold (const struct fleet *f, const char *name, const char *status)
{
  for (size_t i = 0; i < bus_nodes (f->bus); i++)
    {
      const struct mbr_node *seen;

      if (!runs (f, i) || i == node_index (name)
          || strcmp (f->regions[i], f->regions[node_index (name)]) != 0)
        continue;
      seen = view_of (f, i, name);
      if (seen == NULL || strcmp (status_names[seen->status], status) != 0)
        return false;
    }
  return true;
}

static void
cmd_until (struct fleet *f, const char *args)
{
  char status[16], name[16];
  long long bound;
  clk_ms start = bus_now (f->bus);

  cr_assert_eq (sscanf (args, "%15s %15s %lld", status, name, &bound), 3);
  while (!all_hold (f, name, status) && bus_now (f->bus) - start < bound)
    bus_run (f->bus, STEP_MS);
  buf_addf (&f->out, "%s %s at all within %lld ms: %s\n", name, status, bound,
            all_hold (f, name, status) ? "yes" : "no");
}

static bool matches (const struct fleet *f, size_t i, const char *who);

/** Whether each row of one of WHO, wherever it is held, shows that load. */
static bool
all_show_load (const struct fleet *f, const char *who, uint32_t load)
{
  for (size_t i = 0; i < bus_nodes (f->bus); i++)
    {
      size_t n;
      const struct mbr_node *const *nodes;

      if (!runs (f, i))
        continue;
      nodes = mbr_nodes (bus_core (f->bus, i), &n);
      for (size_t j = 0; j < n; j++)
        if (matches (f, node_index (nodes[j]->name.ptr), who)
            && nodes[j]->load != load)
          return false;
    }
  return true;
}

/** Set a load and run until it is known, at most so long. */
static void
cmd_load (struct fleet *f, const char *args)
{
  char who[16];
  unsigned load;
  long long bound;
  clk_ms start = bus_now (f->bus);

  cr_assert_eq (sscanf (args, "%15s %u %lld", who, &load, &bound), 3);
  for (size_t i = 0; i < bus_nodes (f->bus); i++)
    if (runs (f, i) && matches (f, i, who))
      bus_load (f->bus, i, load);
  while (!all_show_load (f, who, load) && bus_now (f->bus) - start < bound)
    bus_run (f->bus, STEP_MS);
  buf_addf (&f->out, "load of %s known within %lld ms: %s\n", who, bound,
            all_show_load (f, who, load) ? "yes" : "no");
}

static bool
matches (const struct fleet *f, size_t i, const char *who)
{
  char name[16];

  snprintf (name, sizeof name, "n%zu", i + 1);
  return strcmp (who, "all") == 0 || strcmp (who, name) == 0
         || strcmp (who, f->zones[i]) == 0 || strcmp (who, f->regions[i]) == 0;
}

static void
cmd_cut (struct fleet *f, const char *args, bool cut)
{
  char from[16], to[16];

  cr_assert_eq (sscanf (args, "%15s %15s", from, to), 2);
  /* "all" on one side means all others. */
  for (size_t i = 0; i < bus_nodes (f->bus); i++)
    for (size_t j = 0; j < bus_nodes (f->bus); j++)
      if (matches (f, i, from) && matches (f, j, to)
          && !(strcmp (to, "all") == 0 && matches (f, j, from))
          && !(strcmp (from, "all") == 0 && matches (f, i, to)))
        bus_cut (f->bus, i, j, cut);
}

static void
cmd_lossy (struct fleet *f, const char *args)
{
  char who[16];
  unsigned percent;

  cr_assert_eq (sscanf (args, "%15s %u", who, &percent), 2);
  for (size_t i = 0; i < bus_nodes (f->bus); i++)
    if (matches (f, i, who))
      bus_lossy (f->bus, i, percent);
}

/** "alive 8 dead 1 (n3)": the names of all that are not simply alive. */
static void
describe_view (const struct fleet *f, size_t at, struct buf *out)
{
  size_t n;
  const struct mbr_node *const *nodes = mbr_nodes (bus_core (f->bus, at), &n);

  for (int s = MBR_ALIVE; s <= MBR_DEAD; s++)
    {
      struct buf names = BUF_INIT;
      size_t count = 0;

      for (size_t i = 0; i < n; i++)
        {
          if ((int)nodes[i]->status != s
              || !str_is (nodes[i]->region, f->regions[at]))
            continue;
          buf_addf (&names, " %.*s", STR_ARG (nodes[i]->name));
          count++;
        }
      if (count > 0)
        buf_addf (out, " %s %zu", status_names[s], count);
      if (count > 0 && s != MBR_ALIVE)
        buf_addf (out, " (%s)", buf_c (&names) + 1);
      buf_free (&names);
    }
}

static void
cmd_views (struct fleet *f)
{
  struct buf views[MAX_NODES] = { BUF_INIT };
  size_t n = bus_nodes (f->bus);

  for (size_t i = 0; i < n; i++)
    if (runs (f, i))
      describe_view (f, i, &views[i]);
  for (size_t i = 0; i < n; i++)
    {
      if (views[i].len == 0)
        continue;
      buf_addf (&f->out, "n%zu", i + 1);
      for (size_t j = i + 1; j < n; j++)
        if (strcmp (f->regions[i], f->regions[j]) == 0
            && str_eq (buf_str (&views[i]), buf_str (&views[j])))
          {
            buf_addf (&f->out, " n%zu", j + 1);
            buf_clear (&views[j]);
          }
      buf_addf (&f->out, ":%s\n", buf_c (&views[i]));
    }
  for (size_t i = 0; i < n; i++)
    buf_free (&views[i]);
}

static void
cmd_regions (struct fleet *f)
{
  size_t n = bus_nodes (f->bus);
  struct buf last = BUF_INIT;

  for (size_t i = 0; i < n; i++)
    {
      struct mbr_region r[4];
      struct buf line = BUF_INIT;
      size_t have = 0, rows;
      const struct mbr_node *const *nodes;

      if (!runs (f, i))
        continue;
      have = mbr_regions (bus_core (f->bus, i), r, 4);
      nodes = mbr_nodes (bus_core (f->bus, i), &rows);
      buf_add_c (&line, f->regions[i]);
      for (size_t j = 0; j < have; j++)
        {
          size_t bridges = 0;

          for (size_t k = 0; k < rows; k++)
            bridges += str_eq (nodes[k]->region, r[j].name)
                       && nodes[k]->status == MBR_ALIVE;
          buf_addf (&line, "; %.*s: %u nodes, %zu bridges alive",
                    STR_ARG (r[j].name), r[j].nodes, bridges);
        }
      if (!str_eq (buf_str (&line), buf_str (&last)))
        buf_addf (&f->out, "from n%zu: %s\n", i + 1, buf_c (&line));
      buf_clear (&last);
      buf_add (&last, buf_str (&line));
      buf_free (&line);
    }
  buf_free (&last);
}

static uint64_t
counter (const struct mbr_counts *c, const char *name)
{
  const struct
  {
    const char *name;
    uint64_t value;
  } rows[] = {
    { "suspected", c->suspected }, { "died", c->died },
    { "refuted", c->refuted },     { "self_suspected", c->self_suspected },
    { "pauses", c->pauses },       { "bad_mac", c->bad_mac },
    { "malformed", c->malformed }, { "replayed", c->replayed },
    { "foreign", c->foreign }
  };

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    if (strcmp (rows[i].name, name) == 0)
      return rows[i].value;
  cr_assert (false, "no counter '%s'", name);
  return 0;
}

/** A counter summed over the running nodes among WHO. */
static uint64_t
sum_of (const struct fleet *f, const char *who, const char *name)
{
  uint64_t sum = 0;

  for (size_t i = 0; i < bus_nodes (f->bus); i++)
    if (runs (f, i) && matches (f, i, who))
      sum += counter (mbr_counts (bus_core (f->bus, i)), name);
  return sum;
}

static void
cmd_count (struct fleet *f, char *args)
{
  char *save = NULL;
  const char *who = strtok_r (args, " ", &save);
  char *name;

  buf_addf (&f->out, "%s:", who);
  while ((name = strtok_r (NULL, " ", &save)) != NULL)
    buf_addf (&f->out, " %s %llu", name,
              (unsigned long long)sum_of (f, who, name));
  buf_add_char (&f->out, '\n');
}

/** Whether a counter summed over WHO is within a bound. */
static void
cmd_at_most (struct fleet *f, const char *args)
{
  unsigned long long bound;
  char who[16], name[32];

  cr_assert_eq (sscanf (args, "%llu %15s %31s", &bound, who, name), 3);
  buf_addf (&f->out, "%s: %s at most %llu: %s\n", who, name, bound,
            sum_of (f, who, name) <= bound ? "yes" : "no");
}

/** Bytes that each node sends in each of the next ten seconds. */
static void
cmd_busiest (struct fleet *f, const char *args)
{
  unsigned long long bound = strtoull (args, NULL, 10);
  bool over = false;

  for (int second = 0; second < 10; second++)
    {
      uint64_t before[MAX_NODES] = { 0 };

      for (size_t i = 0; i < bus_nodes (f->bus); i++)
        if (runs (f, i))
          before[i] = mbr_counts (bus_core (f->bus, i))->bytes_out;
      bus_run (f->bus, CLK_SECOND);
      for (size_t i = 0; i < bus_nodes (f->bus); i++)
        if (runs (f, i)
            && mbr_counts (bus_core (f->bus, i))->bytes_out - before[i]
                   > bound)
          over = true;
    }
  buf_addf (&f->out, "over %llu bytes in a second: %s\n", bound,
            over ? "yes" : "no");
}

/** Put the taped packets before a node, as they were or with a bit turned. */
static void
cmd_replay (struct fleet *f, const char *args, bool change)
{
  size_t node = node_index (args);
  struct str rest = buf_str (&f->tap);

  while (rest.len > 2)
    {
      size_t len = (size_t)(uint8_t)rest.ptr[0] << 8 | (uint8_t)rest.ptr[1];
      char *copy = str_dup (str_head (str_skip (rest, 2), len));

      if (change)
        copy[len - 1] ^= 1;
      bus_inject (f->bus, node, str_make (copy, len));
      free (copy);
      rest = str_skip (rest, 2 + len);
    }
}

/** Whom any node of a zone ever held for dead. */
static void
cmd_buried (struct fleet *f, const char *who)
{
  buf_addf (&f->out, "%s held for dead:", who);
  for (size_t i = 0; i < bus_nodes (f->bus); i++)
    {
      bool any = false;

      for (size_t at = 0; at < bus_nodes (f->bus); at++)
        any = any || (matches (f, at, who) && f->buried[at][i]);
      if (any)
        buf_addf (&f->out, " n%zu", i + 1);
    }
  buf_add_char (&f->out, '\n');
}

/** A packet whose HMAC is right, whatever its bytes are. */
static void
sign (char *packet, size_t len)
{
  uint8_t mac[EVP_MAX_MD_SIZE];
  unsigned mac_len;

  HMAC (EVP_sha256 (), bus_secret, sizeof bus_secret, (uint8_t *)packet + 16,
        len - 16, mac, &mac_len);
  memcpy (packet, mac, 16);
}

static void
cmd_inject (struct fleet *f, const char *args)
{
  char name[16], kind[16];
  char packet[64];

  cr_assert_eq (sscanf (args, "%15s %15s", name, kind), 2);
  memset (packet, 'x', sizeof packet);
  if (strcmp (kind, "short") == 0)
    bus_inject (f->bus, node_index (name), str_make (packet, 16));
  else
    {
      if (strcmp (kind, "garbage") == 0)
        sign (packet, sizeof packet);
      bus_inject (f->bus, node_index (name), str_make (packet, sizeof packet));
    }
}

/** What is done to the node that the arguments name. */
static bool
cmd_on_node (struct fleet *f, const char *cmd, const char *args)
{
  size_t node = node_index (args);
  clk_ms ms = strtoll (args + strcspn (args, " "), NULL, 10);

  if (strcmp (cmd, "kill") == 0)
    bus_kill (f->bus, node);
  else if (strcmp (cmd, "tap") == 0)
    bus_tap (f->bus, node, &f->tap);
  else if (strcmp (cmd, "leave") == 0)
    mbr_leave (bus_core (f->bus, node), bus_now (f->bus));
  else if (strcmp (cmd, "restart") == 0 || strcmp (cmd, "replace") == 0)
    bus_replace (f->bus, node);
  else if (strcmp (cmd, "freeze") == 0)
    {
      bus_freeze (f->bus, node, ms);
      f->frozen[node] = bus_now (f->bus) + ms;
    }
  else
    return false;
  if (strcmp (cmd, "replace") == 0)
    bus_join (f->bus, node, node == 0 ? 1 : 0);
  return true;
}

static void
run_line (struct fleet *f, char *line)
{
  char *args = strchr (line, ' ');
  const char *cmd = line;

  if (args != NULL)
    *args++ = '\0';
  else
    args = line + strlen (line);
  if (strcmp (cmd, "nodes") == 0)
    cmd_nodes (f, args);
  else if (strcmp (cmd, "run") == 0)
    bus_run (f->bus, strtoll (args, NULL, 10));
  else if (strcmp (cmd, "until") == 0)
    cmd_until (f, args);
  else if (strcmp (cmd, "cut") == 0)
    cmd_cut (f, args, true);
  else if (strcmp (cmd, "mend") == 0)
    cmd_cut (f, args, false);
  else if (strcmp (cmd, "lossy") == 0)
    cmd_lossy (f, args);
  else if (strcmp (cmd, "load") == 0)
    cmd_load (f, args);
  else if (strcmp (cmd, "views") == 0)
    cmd_views (f);
  else if (strcmp (cmd, "regions") == 0)
    cmd_regions (f);
  else if (strcmp (cmd, "count") == 0)
    cmd_count (f, args);
  else if (strcmp (cmd, "at-most") == 0)
    cmd_at_most (f, args);
  else if (strcmp (cmd, "accused") == 0)
    buf_addf (&f->out, "healthy nodes accused %u times\n", f->healthy_accused);
  else if (strcmp (cmd, "buried-by") == 0)
    cmd_buried (f, args);
  else if (strcmp (cmd, "busiest") == 0)
    cmd_busiest (f, args);
  else if (strcmp (cmd, "replay") == 0)
    cmd_replay (f, args, false);
  else if (strcmp (cmd, "corrupt") == 0)
    cmd_replay (f, args, true);
  else if (strcmp (cmd, "inject") == 0)
    cmd_inject (f, args);
  else
    cr_assert (cmd_on_node (f, cmd, args), "command '%s'", cmd);
}

void
fleet_script (unsigned seed, const char *script, const char *expected)
{
  struct fleet f = { .bus = bus_new (seed) };
  char *text = xstrdup (script);
  char *save = NULL;

  bus_on_changed (f.bus, on_changed, &f);
  for (char *line = strtok_r (text, "\n", &save); line != NULL;
       line = strtok_r (NULL, "\n", &save))
    run_line (&f, line);
  cr_expect_str_eq (buf_c (&f.out), expected, "seed %u:\n%s", seed,
                    buf_c (&f.out));
  bus_free (f.bus);
  buf_free (&f.out);
  buf_free (&f.tap);
  free (text);
}
