#include "back/avail.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

/** A server that has announced something. */
struct avl_server
{
  uint64_t server;
  bool leaving;
  clk_ms leaving_since;  /**< when its shutdown was first announced */
  bool malformed_logged; /**< a malformed delay of this server was logged */
  clk_ms paused_until;   /**< end of the latest pause; 0: never paused */
  clk_ms noticed_at;     /**< time of the newest notice */
  uint64_t sent;         /**< requests sent in the current pause */
};

struct avl
{
  GHashTable *servers; /**< struct avl_server by `server` */
  uint64_t pauses, sent_paused, sent_leaving;
};

/** Limit on delays, so that times computed from them don't overflow. */
#define MAX_DELAY_S 1e9

uint64_t
avl_address_key (const struct net_addr *addr)
{
  return str_hash (str_from (addr->host), addr->port);
}

/* --- table --------------------------------------------------------------- */

struct avl *
avl_new (void)
{
  struct avl *a = xcalloc (1, sizeof *a);

  a->servers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  return a;
}

void
avl_free (struct avl *a)
{
  if (!a)
    return;
  g_hash_table_destroy (a->servers);
  free (a);
}

bool
avl_is_empty (const struct avl *a)
{
  return g_hash_table_size (a->servers) == 0;
}

static struct avl_server *
find (const struct avl *a, uint64_t server)
{
  /* Mostly empty, and asked for each endpoint of each request. */
  if (avl_is_empty (a))
    return NULL;
  return g_hash_table_lookup (a->servers, &server);
}

static bool
is_paused (const struct avl_server *x, clk_ms now)
{
  return now < x->paused_until;
}

/** Whether @p x is less worth keeping than @p y: its pause is over, or its
    notice is older. */
static bool
comes_first (const struct avl_server *x, const struct avl_server *y,
             clk_ms now)
{
  bool x_in_force = x->leaving || is_paused (x, now);
  bool y_in_force = y->leaving || is_paused (y, now);

  if (x_in_force != y_in_force)
    return !x_in_force;
  return x->noticed_at < y->noticed_at;
}

/** Remove one server, to make room in the table. */
static void
evict (struct avl *a, clk_ms now)
{
  struct avl_server *x, *first = NULL;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, a->servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&x))
    if (!first || comes_first (x, first, now))
      first = x;
  if (first)
    g_hash_table_remove (a->servers, &first->server);
}

static struct avl_server *
find_or_add (struct avl *a, clk_ms now, uint64_t server)
{
  struct avl_server *x = find (a, server);

  if (x)
    return x;
  if (g_hash_table_size (a->servers) >= AVL_MAX_SERVERS)
    evict (a, now);
  x = xcalloc (1, sizeof *x);
  x->server = server;
  g_hash_table_insert (a->servers, &x->server, x);
  return x;
}

/* --- notices ------------------------------------------------------------- */

void
avl_add_delay (struct avl_notice *notice, struct str seconds)
{
  double x;

  if (!str_to_decimal (str_trim (seconds), &x))
    {
      notice->malformed = true;
      return;
    }
  clk_ms ms = (clk_ms)ceil (fmin (x, MAX_DELAY_S) * (double)CLK_SECOND);
  if (ms > notice->retry_after_ms)
    notice->retry_after_ms = ms;
}

static void
extend_pause (struct avl *a, struct avl_server *x, clk_ms now, clk_ms ms,
              struct avl_change *out)
{
  a->pauses++;
  if (!is_paused (x, now))
    x->sent = 0;
  out->sent = x->sent;
  if (now + ms > x->paused_until)
    {
      x->paused_until = now + ms;
      out->paused = true;
    }
  out->paused_for = x->paused_until - now;
}

struct avl_change
avl_on_notice (struct avl *a, clk_ms now, uint64_t server,
               const struct avl_notice *notice)
{
  struct avl_change out = { 0 };
  struct avl_server *x;

  if (!notice->leaving && !notice->malformed && notice->retry_after_ms <= 0)
    return out;
  x = find_or_add (a, now, server);
  x->noticed_at = now;
  if (notice->leaving && !x->leaving)
    {
      out.leaving = x->leaving = true;
      x->leaving_since = now;
    }
  out.malformed = notice->malformed && !x->malformed_logged;
  x->malformed_logged |= notice->malformed;
  if (notice->retry_after_ms > 0)
    extend_pause (a, x, now, notice->retry_after_ms, &out);
  return out;
}

/* --- requests ------------------------------------------------------------ */

bool
avl_allows (const struct avl *a, clk_ms now, uint64_t server)
{
  const struct avl_server *x = find (a, server);

  return !x || (!x->leaving && !is_paused (x, now));
}

bool
avl_is_leaving (const struct avl *a, uint64_t server)
{
  const struct avl_server *x = find (a, server);

  return x && x->leaving;
}

clk_ms
avl_leaving_since (const struct avl *a, uint64_t server)
{
  const struct avl_server *x = find (a, server);

  return x && x->leaving ? x->leaving_since : 0;
}

void
avl_forget_leaving (struct avl *a, uint64_t server)
{
  struct avl_server *x = find (a, server);

  if (x)
    x->leaving = false;
}

clk_ms
avl_paused_until (const struct avl *a, clk_ms now, uint64_t server)
{
  const struct avl_server *x = find (a, server);

  return x && is_paused (x, now) ? x->paused_until : 0;
}

void
avl_count_sent (struct avl *a, clk_ms now, uint64_t server)
{
  struct avl_server *x = find (a, server);

  if (!x)
    return;
  a->sent_leaving += x->leaving;
  if (!is_paused (x, now))
    return;
  x->sent++;
  a->sent_paused++;
}

struct avl_stats
avl_stats (const struct avl *a, clk_ms now)
{
  struct avl_stats out = { .pauses = a->pauses,
                           .sent_paused = a->sent_paused,
                           .sent_leaving = a->sent_leaving };
  const struct avl_server *x;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, a->servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&x))
    {
      out.paused += is_paused (x, now);
      out.leaving += x->leaving;
    }
  return out;
}
