#include "serve/server-list.h"

#include <stdlib.h>

/**
 * Part of this VM's link that the sums of loads may use.  If they would need
 * more, they are sent less often, but at least every SUM_MAX_INTERVAL_MS,
 * because receivers do not use older sums.
 */
#define SUM_LINK_SHARE 0.3
#define SUM_MAX_INTERVAL_MS ((clk_ms)400)
/** Part of this VM's link that may be used for sending the list; the rest is
    left for reading the list, for loads and for client requests. */
#define LIST_LINK_SHARE 0.5
/**
 * Unused budget accumulates for at most this many seconds.  The renewal of the
 * leader's lease waits behind a burst on the link: with 2 s, the leader of 875
 * servers lost a lease of 1.2 s while it sent the list to 294 nodes.  With
 * this value a burst takes 1/8 s of the link, enough for the changes of a few
 * repairs.
 */
#define LIST_BURST_S 0.25

/** NUL-terminated copies of strings, freed together. */
struct string_list
{
  char **list;
  size_t n, capacity;
};

static char *
copy_string (struct string_list *t, struct str s)
{
  if (t->n == t->capacity)
    {
      t->capacity = t->capacity ? 2 * t->capacity : 64;
      t->list = xrealloc (t->list, t->capacity * sizeof (*t->list));
    }
  t->list[t->n] = str_dup (s);
  return t->list[t->n++];
}

static void
string_list_free (struct string_list *t)
{
  for (size_t i = 0; i < t->n; i++)
    free (t->list[i]);
  free (t->list);
}

/** How much longer the server is cold, from the time at which the list was
   read on; the receiver adds it to that time. */
static clk_ms
cold_since_read (const struct bks_server *s, clk_ms read_at)
{
  clk_ms until = s->cold_until > s->cold_marked_until ? s->cold_until
                                                      : s->cold_marked_until;

  return until > read_at ? until - read_at : 0;
}

static void
fill_entry (struct string_list *t, const struct bks_server *s, clk_ms read_at,
            Lapis__ServerEntry *out)
{
  const struct bks_entry *e = &s->e;
  struct buf addr = BUF_INIT;

  lapis__server_entry__init (out);
  net_addr_format (&e->addr, &addr);
  out->id = copy_string (t, e->id);
  out->service = copy_string (t, e->service);
  out->zone = copy_string (t, e->zone);
  out->addr = copy_string (t, buf_str (&addr));
  out->capacity = e->capacity;
  out->draining = e->draining;
  out->model = copy_string (t, e->model);
  out->replica = copy_string (t, e->replica);
  out->generation = e->generation;
  out->rank = e->rank;
  out->part = e->member_state;
  out->born = e->start_time;
  out->beat = e->heartbeat;
  out->verdict = s->accepting ? BKS_ACCEPTING : BKS_NOT_ACCEPTING;
  out->cold_ms = (uint32_t)cold_since_read (s, read_at);
  buf_free (&addr);
}

struct svl_frame
{
  Lapis__ServerList list;
  Lapis__ServerEntry *entries;
  struct string_list strings;
  uint64_t since;   /* version that the receivers have */
  uint64_t version; /* version that they have afterwards */
  size_t bytes;
};

static void
add_entries (struct svl_frame *f, struct bks *b, uint64_t since)
{
  size_t n;
  const struct bks_server *const *list = bks_list (b, &n);

  f->entries = xcalloc (n + 1, sizeof *f->entries);
  f->list.servers = xcalloc (n + 1, sizeof (*f->list.servers));
  for (size_t i = 0; i < n; i++)
    {
      size_t k = f->list.n_servers;
      if (!list[i]->is_endpoint || list[i]->endpoint_version <= since)
        continue;
      fill_entry (&f->strings, list[i], bks_read_started_at (b),
                  &f->entries[k]);
      f->list.servers[k] = &f->entries[k];
      f->list.n_servers++;
    }
}

/** Add servers that were removed from the list, and servers that are no
    longer endpoints. */
static void
add_removed (struct svl_frame *f, const struct bks *b, uint64_t since,
             const struct str *removed, size_t nremoved)
{
  size_t n;
  const struct bks_server *const *list = bks_list (b, &n);

  f->list.gone = xcalloc (n + nremoved + 1, sizeof (*f->list.gone));
  for (size_t i = 0; i < nremoved; i++)
    f->list.gone[f->list.n_gone++] = copy_string (&f->strings, removed[i]);
  for (size_t i = 0; i < n; i++)
    if (!list[i]->is_endpoint && list[i]->endpoint_version > since)
      f->list.gone[f->list.n_gone++]
          = copy_string (&f->strings, list[i]->e.id);
}

struct svl_frame *
svl_frame_new (struct bks *b, clk_ms age_ms, uint64_t since)
{
  struct svl_frame *f = xcalloc (1, sizeof *f);
  const struct str *removed = NULL;
  size_t nremoved = 0;
  uint64_t from
      = since && bks_removed_since (b, since, &removed, &nremoved) ? since : 0;

  lapis__server_list__init (&f->list);
  f->since = since;
  f->version = bks_version (b);
  f->list.age_ms = (uint32_t)(age_ms > 0 ? age_ms : 0);
  f->list.whole = from == 0;
  add_entries (f, b, from);
  if (from)
    add_removed (f, b, from, removed, nremoved);
  f->bytes = lapis__server_list__get_packed_size (&f->list);
  return f;
}

void
svl_frame_free (struct svl_frame *f)
{
  if (!f)
    return;
  string_list_free (&f->strings);
  free (f->entries);
  free (f->list.servers);
  free (f->list.gone);
  free (f);
}

void
svl_frame_set_digest (struct svl_frame *f, uint64_t digest, bool complete)
{
  f->list.digest = digest;
  f->list.complete = complete;
  f->bytes = lapis__server_list__get_packed_size (&f->list);
}

const Lapis__ServerList *
svl_frame_list (const struct svl_frame *f)
{
  return &f->list;
}

bool
svl_frame_matches (const struct svl_frame *f, uint64_t version_sent)
{
  return f && f->since == version_sent;
}

size_t
svl_frame_send (const struct svl_frame *f, struct link *l,
                uint64_t *version_sent)
{
  Lapis__Frame frame = LAPIS__FRAME__INIT;
  bool empty = f->list.n_servers == 0 && f->list.n_gone == 0 && !f->list.whole;

  frame.body_case = LAPIS__FRAME__BODY_SERVER_LIST;
  frame.server_list = (Lapis__ServerList *)&f->list;
  if (empty || link_send (l, &frame))
    *version_sent = f->version;
  return f->bytes;
}

/* --- use of the link --------------------------------------------------- */

bool
svl_may_send (struct svl_budget *c, clk_ms now, double link_bytes_per_s)
{
  double per_s = LIST_LINK_SHARE * link_bytes_per_s;

  if (link_bytes_per_s <= 0)
    return true;
  c->bytes += per_s * (double)(now - c->at) / (double)CLK_SECOND;
  if (c->bytes > LIST_BURST_S * per_s)
    c->bytes = LIST_BURST_S * per_s;
  c->at = now;
  return c->bytes >= 0;
}

clk_ms
svl_sum_interval (double link_bytes_per_s, size_t bytes, size_t n)
{
  double per_ms = SUM_LINK_SHARE * link_bytes_per_s / (double)CLK_SECOND;
  clk_ms ms = per_ms > 0 ? (clk_ms)((double)(bytes * n) / per_ms) : 0;

  return ms < SUM_MAX_INTERVAL_MS ? ms : SUM_MAX_INTERVAL_MS;
}

/**
 * With a long list and many nodes, some nodes wait before changes are sent to
 * them.  If the age of the newest list were announced to these nodes, they
 * would use their older copy and send requests to a server that left seconds
 * ago.  With the age of their copy, they read the list from the store when it
 * is too old.
 */
clk_ms
svl_update_list_age (clk_ms *current_at, uint64_t version_sent,
                     uint64_t version, clk_ms read_at, clk_ms now)
{
  if (version_sent == version)
    *current_at = read_at;
  return now - *current_at;
}

/* --- receiving --------------------------------------------------------- */

static bool
read_entry (const Lapis__ServerEntry *in, struct bks_entry *out)
{
  *out = (struct bks_entry){ .id = str_from (in->id),
                             .service = str_from (in->service),
                             .zone = str_from (in->zone),
                             .capacity = in->capacity,
                             .draining = in->draining,
                             .model = str_from (in->model),
                             .replica = str_from (in->replica),
                             .generation = in->generation,
                             .rank = in->rank,
                             .start_time = in->born,
                             .cold_ms = in->cold_ms,
                             .heartbeat = in->beat };
  out->member_state = in->part <= BKS_BROKEN ? (enum bks_member_state)in->part
                                             : BKS_NO_REPLICA;
  if (in->verdict <= BKS_NOT_ACCEPTING)
    out->acceptance = (enum bks_acceptance)in->verdict;
  return out->id.len > 0
         && net_addr_parse (str_from (in->addr), false, &out->addr);
}

bool
svl_apply (struct bks *b, clk_ms now, clk_ms sent_at,
           const Lapis__ServerList *list)
{
  struct bks_entry *entries = xcalloc (list->n_servers + 1, sizeof *entries);
  struct str *removed = xcalloc (list->n_gone + 1, sizeof *removed);
  clk_ms read_started_at = sent_at - list->age_ms;
  size_t n = 0;
  bool changed;

  for (size_t i = 0; i < list->n_servers; i++)
    if (read_entry (list->servers[i], &entries[n]))
      n++;
  for (size_t i = 0; i < list->n_gone; i++)
    removed[i] = str_from (list->gone[i]);
  changed = list->whole ? bks_apply_list (b, now, read_started_at, entries, n,
                                          list->complete)
                        : bks_apply_changes (b, now, read_started_at, entries,
                                             n, removed, list->n_gone);
  free (entries);
  free (removed);
  return changed;
}
