#include "serve/limit-int.h"

#include <stdlib.h>

#include "base/str.h"

/** A permit that is not used within this lapses. */
#define PERMIT_MS CLK_SECOND
/** Permits are wanted for so long after a request that would have gone to the
    server: it has gone elsewhere by then, or was refused. */
#define WANTED_MS ((clk_ms)50)
/** The node that grants has answered within this, if it has one to grant. */
#define ANSWER_MS ((clk_ms)20)
/** How often permits are asked for, about. */
#define ASK_S 0.1

/* --- life --------------------------------------------------------------- */

static void
row_free (void *row)
{
  struct lim_row *r = row;

  if (r->wants)
    g_array_free (r->wants, true);
  free (r);
}

struct lim *
lim_new (uint64_t seed)
{
  struct lim *l = xcalloc (1, sizeof *l);

  l->rows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, row_free);
  l->updates = g_array_new (false, false, sizeof (uint64_t));
  l->told = g_array_new (false, false, sizeof (struct lim_update));
  l->permits = g_array_new (false, false, sizeof (struct lim_permits));
  l->grants = true;
  l->nodes = 1;
  rng_seed (&l->rng, seed);
  return l;
}

void
lim_free (struct lim *l)
{
  if (!l)
    return;
  free (l->followers);
  g_array_free (l->updates, true);
  g_array_free (l->told, true);
  g_array_free (l->permits, true);
  g_hash_table_destroy (l->rows);
  free (l);
}

/* --- rows --------------------------------------------------------------- */

struct lim_row *
lim_find (const struct lim *l, uint64_t server)
{
  return g_hash_table_lookup (l->rows, &server);
}

/** Make room: the server that has said nothing for longest goes. */
static void
drop_oldest (struct lim *l)
{
  struct lim_row *r, *oldest = NULL;
  GHashTableIter at;

  g_hash_table_iter_init (&at, l->rows);
  while (g_hash_table_iter_next (&at, NULL, (gpointer *)&r))
    if (!oldest || r->at < oldest->at)
      oldest = r;
  if (!oldest)
    return;
  l->limited -= oldest->limited;
  g_hash_table_remove (l->rows, &oldest->server);
}

static struct lim_row *
add (struct lim *l, uint64_t server)
{
  struct lim_row *r = xcalloc (1, sizeof *r);

  if (g_hash_table_size (l->rows) >= LIM_MOST)
    drop_oldest (l);
  r->server = server;
  g_hash_table_insert (l->rows, &r->server, r);
  return r;
}

double
lim_granted_rate (const struct lim_row *r)
{
  return MAX (r->rate, LIM_RATE_LEAST);
}

unsigned
lim_portion (const struct lim_row *r)
{
  double n = r->rate * ASK_S;

  if (n > UINT16_MAX)
    return UINT16_MAX;
  return n > 1 ? (unsigned)n : 1;
}

/* --- what servers say --------------------------------------------------- */

static enum lim_change
set_limit (struct lim *l, struct lim_row *r, clk_ms at, bool limited,
           double rate)
{
  if (!r->limited)
    {
      r->sent = 0;
      r->permits = 0;
      r->due = 0;
      r->threshold = rng_unit (&l->rng);
      r->due_at = at;
    }
  l->limited += limited;
  l->limited -= r->limited;
  r->limited = limited;
  r->rate = rate;
  r->at = at;
  g_array_append_val (l->updates, r->server);
  return limited ? LIM_NAMED : LIM_ENDED;
}

/** The row of the server; a new one only if there is something to remember. */
static struct lim_row *
row_for (struct lim *l, const struct lim_word *word)
{
  struct lim_row *r = lim_find (l, word->server);

  return r || word->says == LIM_SAYS_NOTHING ? r : add (l, word->server);
}

static bool
is_same (const struct lim_row *r, bool limited, double rate)
{
  return limited == r->limited && (!limited || rate == r->rate);
}

/** Whether the answer holds instead of what is known. */
static bool
supersedes (const struct lim_word *word, const struct lim_row *r)
{
  bool stricter
      = word->says == LIM_SAYS_RATE && (!r->limited || word->rate < r->rate);

  return stricter || word->sent_at >= r->at;
}

enum lim_change
lim_answered (struct lim *l, clk_ms now, const struct lim_word *word)
{
  struct lim_row *r = row_for (l, word);
  bool limited = word->says == LIM_SAYS_RATE;
  bool reported;

  if (!r)
    return LIM_SAME;
  if (word->says == LIM_SAYS_UNREADABLE)
    {
      reported = r->unreadable;
      r->unreadable = true;
      return reported ? LIM_SAME : LIM_UNREADABLE;
    }
  if (is_same (r, limited, word->rate))
    {
      r->at = now;
      return LIM_SAME;
    }
  if (!supersedes (word, r))
    return LIM_SAME;
  return set_limit (l, r, now, limited, word->rate);
}

static bool
is_stricter (const struct lim_update *update, const struct lim_row *r)
{
  return update->limited && (!r->limited || update->rate < r->rate);
}

bool
lim_apply (struct lim *l, clk_ms now, const struct lim_update *update)
{
  struct lim_row *r = lim_find (l, update->server);
  clk_ms at = now - update->age_ms;

  if (!r && !update->limited)
    return false;
  if (!r)
    r = add (l, update->server);
  if (is_same (r, update->limited, update->rate))
    return false;
  /* Of two words of one moment the stricter holds, at all nodes. */
  if (at < r->at || (at == r->at && !is_stricter (update, r)))
    return false;
  set_limit (l, r, at, update->limited, update->rate);
  return true;
}

static struct lim_update
describe (const struct lim_row *r, clk_ms now)
{
  return (struct lim_update){ .server = r->server,
                              .limited = r->limited,
                              .rate = r->rate,
                              .age_ms = now > r->at ? now - r->at : 0 };
}

const struct lim_update *
lim_updates (struct lim *l, clk_ms now, size_t *n)
{
  g_array_set_size (l->told, 0);
  for (guint i = 0; i < l->updates->len; i++)
    {
      const struct lim_row *r
          = lim_find (l, g_array_index (l->updates, uint64_t, i));
      struct lim_update update;
      if (!r)
        continue;
      update = describe (r, now);
      g_array_append_val (l->told, update);
    }
  g_array_set_size (l->updates, 0);
  *n = l->told->len;
  return (const struct lim_update *)(void *)l->told->data;
}

const struct lim_update *
lim_snapshot (struct lim *l, clk_ms now, size_t *n)
{
  struct lim_row *r;
  GHashTableIter at;

  g_array_set_size (l->told, 0);
  g_hash_table_iter_init (&at, l->rows);
  while (g_hash_table_iter_next (&at, NULL, (gpointer *)&r))
    if (r->limited)
      {
        struct lim_update update = describe (r, now);
        g_array_append_val (l->told, update);
      }
  *n = l->told->len;
  return (const struct lim_update *)(void *)l->told->data;
}

bool
lim_any (const struct lim *l)
{
  return l->limited > 0;
}

bool
lim_rate (const struct lim *l, uint64_t server, double *rate)
{
  const struct lim_row *r = lim_find (l, server);

  if (!r || !r->limited)
    return false;
  *rate = r->rate;
  return true;
}

/* --- requests of this node ---------------------------------------------- */

static void
lapse (struct lim_row *r, clk_ms now)
{
  if (now >= r->permits_until)
    r->permits = 0;
}

static bool
is_wanted (const struct lim_row *r, clk_ms now)
{
  return r->wanted_since != 0 && now - r->wanted_at < WANTED_MS;
}

bool
lim_allows (const struct lim *l, clk_ms now, uint64_t server)
{
  const struct lim_row *r = lim_find (l, server);

  return !r || !r->limited || (r->permits > 0 && now < r->permits_until);
}

void
lim_want (struct lim *l, clk_ms now, uint64_t server)
{
  struct lim_row *r = lim_find (l, server);

  if (!r || !r->limited)
    return;
  r->wanted_often = is_wanted (r, now);
  if (!r->wanted_often)
    {
      r->wanted_since = now;
      r->asked = l->wants_more = true;
    }
  r->wanted_at = now;
}

bool
lim_wants_more (struct lim *l)
{
  bool more = l->wants_more;

  l->wants_more = false;
  return more;
}

bool
lim_is_spent (const struct lim *l, clk_ms now, uint64_t server)
{
  const struct lim_row *r = lim_find (l, server);

  return r && r->limited && is_wanted (r, now)
         && now - r->wanted_since >= ANSWER_MS;
}

void
lim_take (struct lim *l, clk_ms now, uint64_t server)
{
  struct lim_row *r = lim_find (l, server);

  if (!r || !r->limited)
    return;
  lapse (r, now);
  r->permits -= r->permits > 0;
  r->sent++;
  l->sent++;
}

uint64_t
lim_count_sent (const struct lim *l, uint64_t server)
{
  const struct lim_row *r = lim_find (l, server);

  return r ? r->sent : 0;
}

unsigned
lim_missing (const struct lim_row *r, clk_ms now)
{
  unsigned has = now < r->permits_until ? r->permits : 0;
  unsigned portion = lim_portion (r);

  return r->limited && is_wanted (r, now) && has < portion ? portion - has : 0;
}

const struct lim_permits *
lim_wanted (struct lim *l, clk_ms now, bool again, size_t *n)
{
  struct lim_row *r;
  GHashTableIter at;

  g_array_set_size (l->permits, 0);
  g_hash_table_iter_init (&at, l->rows);
  while (g_hash_table_iter_next (&at, NULL, (gpointer *)&r))
    {
      struct lim_permits p = { .server = r->server,
                               .n = lim_missing (r, now),
                               .rate = r->rate,
                               .age_ms = now - r->at };
      if (p.n > 0 && (r->wanted_often || !again))
        g_array_append_val (l->permits, p);
    }
  *n = l->permits->len;
  return (const struct lim_permits *)(void *)l->permits->data;
}

/** Grants that were held up on their way come together; no more of them are
    kept than are asked for at a time. */
void
lim_granted (struct lim *l, clk_ms now, uint64_t server, unsigned n)
{
  struct lim_row *r = lim_find (l, server);

  if (!r || !r->limited)
    return;
  lapse (r, now);
  r->permits = MIN (r->permits + n, lim_portion (r));
  r->permits_until = now + PERMIT_MS;
  r->wanted_since = 0;
}

struct lim_figures
lim_figures (const struct lim *l, clk_ms now)
{
  return (struct lim_figures){ .limited = l->limited,
                               .followers = lim_count_followers (l, now),
                               .sent = l->sent,
                               .granted = l->granted };
}
