#include "serve/limit.h"

#include <glib.h>
#include <stdlib.h>

#include "base/str.h"

/** A server that has named a limit. */
struct row
{
  uint64_t server;
  bool limited;
  double rate;
  clk_ms at;       /**< when the newest answer came that said so */
  bool unreadable; /**< it was reported */
  uint64_t sent;
};

struct lim
{
  GHashTable *rows; /**< by server */
  uint64_t sent;
};

struct lim *
lim_new (void)
{
  struct lim *l = xcalloc (1, sizeof *l);

  l->rows = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  return l;
}

void
lim_free (struct lim *l)
{
  if (!l)
    return;
  g_hash_table_destroy (l->rows);
  free (l);
}

static struct row *
find (const struct lim *l, uint64_t server)
{
  return g_hash_table_lookup (l->rows, &server);
}

/** Make room: the server that has said nothing for longest goes. */
static void
drop_oldest (struct lim *l)
{
  struct row *r, *oldest = NULL;
  GHashTableIter at;

  g_hash_table_iter_init (&at, l->rows);
  while (g_hash_table_iter_next (&at, NULL, (gpointer *)&r))
    if (!oldest || r->at < oldest->at)
      oldest = r;
  if (oldest)
    g_hash_table_remove (l->rows, &oldest->server);
}

static struct row *
add (struct lim *l, uint64_t server)
{
  struct row *r = xcalloc (1, sizeof *r);

  if (g_hash_table_size (l->rows) >= LIM_MOST)
    drop_oldest (l);
  r->server = server;
  g_hash_table_insert (l->rows, &r->server, r);
  return r;
}

/** The row of the server; a new one only if there is something to remember. */
static struct row *
row_for (struct lim *l, const struct lim_word *word)
{
  struct row *r = find (l, word->server);

  return r || word->says == LIM_SAYS_NOTHING ? r : add (l, word->server);
}

static bool
says_the_same (const struct lim_word *word, const struct row *r)
{
  bool limited = word->says == LIM_SAYS_RATE;

  return limited == r->limited && (!limited || word->rate == r->rate);
}

/** Whether the answer holds instead of what is known. */
static bool
supersedes (const struct lim_word *word, const struct row *r)
{
  bool stricter
      = word->says == LIM_SAYS_RATE && (!r->limited || word->rate < r->rate);

  return stricter || word->sent_at >= r->at;
}

static enum lim_change
set_limit (struct row *r, clk_ms now, bool limited, double rate)
{
  if (!r->limited)
    r->sent = 0;
  r->limited = limited;
  r->rate = rate;
  r->at = now;
  return limited ? LIM_NAMED : LIM_ENDED;
}

enum lim_change
lim_answered (struct lim *l, clk_ms now, const struct lim_word *word)
{
  struct row *r = row_for (l, word);
  bool reported;

  if (!r)
    return LIM_SAME;
  if (word->says == LIM_SAYS_UNREADABLE)
    {
      reported = r->unreadable;
      r->unreadable = true;
      return reported ? LIM_SAME : LIM_UNREADABLE;
    }
  if (says_the_same (word, r))
    {
      r->at = now;
      return LIM_SAME;
    }
  if (!supersedes (word, r))
    return LIM_SAME;
  return set_limit (r, now, word->says == LIM_SAYS_RATE, word->rate);
}

void
lim_sent (struct lim *l, uint64_t server)
{
  struct row *r = find (l, server);

  if (!r || !r->limited)
    return;
  r->sent++;
  l->sent++;
}

bool
lim_rate (const struct lim *l, uint64_t server, double *rate)
{
  const struct row *r = find (l, server);

  if (!r || !r->limited)
    return false;
  *rate = r->rate;
  return true;
}

uint64_t
lim_count_sent (const struct lim *l, uint64_t server)
{
  const struct row *r = find (l, server);

  return r ? r->sent : 0;
}

struct lim_figures
lim_figures (const struct lim *l)
{
  struct lim_figures f = { .sent = l->sent };
  struct row *r;
  GHashTableIter at;

  g_hash_table_iter_init (&at, l->rows);
  while (g_hash_table_iter_next (&at, NULL, (gpointer *)&r))
    f.limited += r->limited;
  return f;
}
