#include "serve/backends.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/**
 * How long a server that is missing after an outage of the store still counts
 * as listed.  Entries can expire while the store is unreachable although their
 * servers run; the servers write them again within about 2 s after the
 * outage.  Without this delay a node would have no endpoints left.
 */
#define RECOVERY_MS ((clk_ms)2200)

/**
 * Number of removed servers that are recorded for nodes with an older version
 * of the list.  A node that lacks more removals is sent the complete list.
 */
#define REMOVED_MAX 128

/**
 * Longest list that is read at the shortest interval.  An entry takes some 600
 * bytes on the wire: reading 250 of them 10 times per second takes 1.5 MB/s,
 * over half the link capacity of the smallest VMs.
 */
#define FULL_RATE_SERVERS 250

/**
 * Number of reads in drain_ms, the time after which a draining server must get
 * no new requests.  One of the reads may fail and one may be slow.
 */
#define READS_PER_DRAIN 3
/**
 * Part of drain_ms after which the nodes of a large fleet read the list
 * themselves.  When many nodes read a long list at the same time, they
 * saturate the store's link for a second or more, just when the next leader
 * has to read it.  A change of leader takes half of drain_ms, so with a
 * slightly larger part a new leader usually sends the list first; a failed
 * read can still be repeated in time.
 */
#define LARGE_FLEET_DRAIN_PART 0.6

/**
 * How long a store that was restored from an older copy can list a server that
 * has left: the entry expires after three heartbeats of some seconds each.
 */
#define OLD_COPY_MS ((clk_ms)10000)

/**
 * The end of a cold period that is calculated from two entries differs by the
 * delays of their reads.  A larger difference is a new cold period.
 */
#define NEW_COLD_PERIOD_MS ((clk_ms)250)

/** Digest of a list without endpoints. */
#define EMPTY_DIGEST ((uint64_t)1)

struct removed
{
  char *id;
  uint64_t version;
  int64_t heartbeat;
};

struct bks
{
  uint64_t version;
  struct removed removed[REMOVED_MAX]; /* ring buffer */
  size_t nremoved;
  struct str removed_ids[REMOVED_MAX];
  struct bks_server **list;
  size_t n;
  GHashTable *by_id; /* the servers of `list`; key: bks_server.e.id */
  bool has_list;
  bool last_read_failed;
  bool tracks_cold;
  clk_ms read_started_at; /* when the last successful read was sent */
  clk_ms first_read_at;   /* when the first successful read arrived */
  clk_ms stable_since;    /* when the first successful read after a failed
                             one arrived */
  clk_ms restored_at;     /* when the store was restored from an older copy;
                             0: never */
  uint64_t digest;        /* see bks_digest() */
  struct dsp_endpoint *endpoints;
  const struct evc *evacuations; /* passed to bks_endpoints() */
  uint64_t evacuations_version;  /* of the endpoints */
};

static guint
id_hash (const void *id)
{
  return (guint)str_hash (*(const struct str *)id, 0);
}

static gboolean
id_equal (const void *a, const void *b)
{
  return str_eq (*(const struct str *)a, *(const struct str *)b);
}

struct bks *
bks_new (void)
{
  struct bks *b = xcalloc (1, sizeof *b);

  b->by_id = g_hash_table_new (id_hash, id_equal);
  return b;
}

static void
clear_members (struct bks_server *s)
{
  for (size_t i = 0; i < s->nmembers; i++)
    free (s->members[i].id);
  free (s->members);
  s->members = NULL;
  s->nmembers = 0;
}

static void
server_free (struct bks_server *s)
{
  clear_members (s);
  arena_free (&s->text);
  free (s);
}

void
bks_free (struct bks *b)
{
  if (!b)
    return;
  g_hash_table_destroy (b->by_id);
  for (size_t i = 0; i < b->n; i++)
    server_free (b->list[i]);
  for (size_t i = 0; i < REMOVED_MAX; i++)
    free (b->removed[i].id);
  free (b->list);
  free (b->endpoints);
  free (b);
}

static void
record_removed (struct bks *b, const struct bks_entry *e)
{
  struct removed *g = &b->removed[b->nremoved++ % REMOVED_MAX];

  free (g->id);
  g->id = str_dup (e->id);
  g->version = b->version;
  g->heartbeat = e->heartbeat;
}

uint64_t
bks_version (const struct bks *b)
{
  return b->version;
}

bool
bks_removed_since (struct bks *b, uint64_t version, const struct str **ids,
                   size_t *n)
{
  size_t kept = b->nremoved < REMOVED_MAX ? b->nremoved : REMOVED_MAX;

  *n = 0;
  *ids = b->removed_ids;
  if (b->nremoved > REMOVED_MAX
      && b->removed[b->nremoved % REMOVED_MAX].version > version)
    return false;
  for (size_t i = 0; i < kept; i++)
    if (b->removed[i].version > version)
      b->removed_ids[(*n)++] = str_from (b->removed[i].id);
  return true;
}

static struct bks_server *
find (const struct bks *b, struct str id)
{
  return g_hash_table_lookup (b->by_id, &id);
}

const struct bks_server *
bks_find (const struct bks *b, struct str id)
{
  return find (b, id);
}

static bool
same_preloaded (const struct bks_entry *a, const struct bks_entry *b)
{
  if (a->npreloaded != b->npreloaded)
    return false;
  for (size_t i = 0; i < a->npreloaded; i++)
    if (!str_eq (a->preloaded[i], b->preloaded[i]))
      return false;
  return true;
}

/** Whether the server was warm and is cold, or the other way round, or its
   cold period has begun anew. */
static bool
cold_changed (const struct bks_server *s, clk_ms stated_at,
              const struct bks_entry *in)
{
  return (s->e.cold_ms > 0) != (in->cold_ms > 0)
         || (in->cold_ms > 0
             && stated_at + in->cold_ms > s->cold_until + NEW_COLD_PERIOD_MS);
}

/** Record the cold state of an entry that was read or received.  A read that
    returns the same entry again says nothing new. */
static void
record_cold (struct bks_server *s, clk_ms stated_at,
             const struct bks_entry *in)
{
  s->e.cold_ms = in->cold_ms;
  s->cold_stated_at = stated_at;
  s->cold_until = in->cold_ms > 0 ? stated_at + in->cold_ms : 0;
}

/** Whether the entry was written later than the recorded one, or was sent by
    the leader, which sends only entries that have changed.  Not all servers
    count their heartbeats; the same heartbeat with another cold time is a
   later entry, too. */
static bool
is_later_statement (const struct bks_server *s, const struct bks_entry *in)
{
  return in->heartbeat > s->e.heartbeat
         || (in->heartbeat == s->e.heartbeat && in->cold_ms != s->e.cold_ms)
         || in->acceptance != BKS_ACCEPTANCE_UNKNOWN;
}

/** Whether the fields are the same that nodes send to each other. */
static bool
same_sent_fields (const struct bks_entry *a, const struct bks_entry *b)
{
  return a->start_time == b->start_time && str_eq (a->service, b->service)
         && str_eq (a->zone, b->zone) && net_addr_eq (&a->addr, &b->addr)
         && a->capacity == b->capacity && a->draining == b->draining
         && str_eq (a->model, b->model) && str_eq (a->replica, b->replica)
         && a->generation == b->generation && a->rank == b->rank
         && a->member_state == b->member_state;
}

static bool
same_entry (const struct bks_entry *a, const struct bks_entry *b)
{
  return same_sent_fields (a, b) && str_eq (a->domain, b->domain)
         && same_preloaded (a, b) && a->acceptance == b->acceptance;
}

static void
copy_entry (struct bks_server *s, const struct bks_entry *in)
{
  struct arena text = { 0 };

  s->e = *in;
  s->e.id = arena_str (&text, in->id);
  s->e.service = arena_str (&text, in->service);
  s->e.zone = arena_str (&text, in->zone);
  s->e.domain = arena_str (&text, in->domain);
  s->e.model = arena_str (&text, in->model);
  for (size_t i = 0; i < in->npreloaded; i++)
    s->e.preloaded[i] = arena_str (&text, in->preloaded[i]);
  s->e.replica = arena_str (&text, in->replica);
  arena_free (&s->text);
  s->text = text;
}

/**
 * Whether the entry was written by an earlier incarnation of the server or
 * does not state its start time.  This happens when a read was in flight
 * during the restart, or with entries of another writer.
 */
static bool
is_earlier_incarnation (const struct bks_entry *recorded,
                        const struct bks_entry *in)
{
  return in->start_time < recorded->start_time;
}

static const struct removed *
find_removed (const struct bks *b, struct str id)
{
  const struct removed *last = NULL;

  for (size_t i = 0; i < REMOVED_MAX && b->removed[i].id; i++)
    if (str_is (id, b->removed[i].id)
        && (!last || b->removed[i].version > last->version))
      last = &b->removed[i];
  return last;
}

/** Whether the entry is older than the recorded state of the server, or
    than its removal.  It then comes from an older copy of the store's data. */
static bool
is_from_older_copy (const struct bks *b, clk_ms now,
                    const struct bks_server *recorded,
                    const struct bks_entry *in)
{
  const struct removed *removed;

  if (!b->restored_at || now - b->restored_at >= OLD_COPY_MS)
    return false;
  if (recorded)
    return in->start_time == recorded->e.start_time
           && in->heartbeat < recorded->e.heartbeat;
  removed = find_removed (b, in->id);
  return removed && in->heartbeat && in->heartbeat <= removed->heartbeat;
}

/** The server has restarted under its id.  The new process holds no state
    of the old one, and membership in its earlier replica has ended. */
static void
begin_incarnation (struct bks_server *s, clk_ms now)
{
  clear_members (s);
  s->cold_marked_until = 0;
  s->first_seen_at = now;
}

static bool
apply_entry (struct bks *b, clk_ms now, clk_ms read_started_at,
             const struct bks_entry *listed)
{
  struct bks_entry entry = *listed;
  const struct bks_entry *in = &entry;
  struct bks_server *s = find (b, in->id);
  bool from_older_copy = is_from_older_copy (b, now, s, in);
  bool earlier = s && (is_earlier_incarnation (&s->e, in) || from_older_copy);
  bool later = s && !earlier && is_later_statement (s, in);
  bool own_read = in->acceptance == BKS_ACCEPTANCE_UNKNOWN;
  bool send;

  entry.cold_ms = b->tracks_cold ? MIN (listed->cold_ms, BKS_COLD_MS_MAX) : 0;
  if (!s && from_older_copy)
    return false;
  if (s
      && (earlier
          || (same_entry (&s->e, in)
              && !(later && cold_changed (s, read_started_at, in)))))
    {
      s->seen = true;
      if (own_read && !earlier)
        s->own_read_at = read_started_at;
      if (later && b->tracks_cold)
        record_cold (s, read_started_at, in);
      s->e.heartbeat
          = in->heartbeat > s->e.heartbeat ? in->heartbeat : s->e.heartbeat;
      return false;
    }
  send = !s || !same_sent_fields (&s->e, in)
         || (later && cold_changed (s, read_started_at, in));
  if (s && s->e.start_time != in->start_time)
    begin_incarnation (s, now);
  if (!s)
    {
      s = xcalloc (1, sizeof *s);
      s->first_seen_at = now;
      b->list = xrealloc (b->list, (b->n + 1) * sizeof (*b->list));
      b->list[b->n++] = s;
    }
  copy_entry (s, in);
  record_cold (s, read_started_at, in);
  g_hash_table_insert (b->by_id, &s->e.id, s);
  s->seen = true;
  if (own_read)
    s->own_read_at = read_started_at;
  /* A new leader has its copy from the previous one, without the other
     fields. */
  if (send)
    s->version = b->version;
  return true;
}

/**
 * Remove servers that the list no longer contains.
 * @return whether any was removed
 */
static bool
remove_missing (struct bks *b)
{
  size_t kept = 0;

  for (size_t i = 0; i < b->n; i++)
    if (b->list[i]->seen)
      b->list[kept++] = b->list[i];
    else
      {
        record_removed (b, &b->list[i]->e);
        g_hash_table_remove (b->by_id, &b->list[i]->e.id);
        server_free (b->list[i]);
      }
  bool changed = kept != b->n;
  b->n = kept;
  return changed;
}

clk_ms
bks_read_started_at (const struct bks *b)
{
  return b->read_started_at;
}

/** Start an update from a list that this or another node has read. */
static bool
begin_update (struct bks *b, clk_ms now, clk_ms read_started_at)
{
  bool first = !b->has_list;

  if (first)
    b->first_read_at = now;
  if (b->last_read_failed)
    b->stable_since = now;
  b->last_read_failed = false;
  b->has_list = true;
  if (read_started_at > b->read_started_at)
    b->read_started_at = read_started_at;
  b->version++;
  return first;
}

void
bks_track_cold (struct bks *b, bool enabled)
{
  b->tracks_cold = enabled;
  for (size_t i = 0; !enabled && i < b->n; i++)
    b->list[i]->e.cold_ms = b->list[i]->cold_until = 0;
}

void
bks_mark_cold (struct bks *b, struct str id, clk_ms until)
{
  struct bks_server *s = find (b, id);

  if (s)
    s->cold_marked_until = until;
}

bool
bks_update (struct bks *b, clk_ms now, clk_ms read_started_at,
            const struct bks_entry *list, size_t n)
{
  return bks_apply_list (b, now, read_started_at, list, n, false);
}

bool
bks_apply_list (struct bks *b, clk_ms now, clk_ms read_started_at,
                const struct bks_entry *list, size_t n, bool complete)
{
  bool changed = begin_update (b, now, read_started_at);

  for (size_t i = 0; i < b->n; i++)
    b->list[i]->seen = false;
  for (size_t i = 0; i < n; i++)
    changed |= apply_entry (b, now, read_started_at, &list[i]);
  if (complete || b->stable_since == 0 || now - b->stable_since >= RECOVERY_MS)
    changed |= remove_missing (b);
  return changed;
}

bool
bks_apply_changes (struct bks *b, clk_ms now, clk_ms read_started_at,
                   const struct bks_entry *list, size_t n,
                   const struct str *removed, size_t nremoved)
{
  bool changed = begin_update (b, now, read_started_at);

  for (size_t i = 0; i < b->n; i++)
    b->list[i]->seen = true;
  for (size_t i = 0; i < n; i++)
    changed |= apply_entry (b, now, read_started_at, &list[i]);
  for (size_t i = 0; i < nremoved; i++)
    {
      struct bks_server *s = find (b, removed[i]);
      if (s)
        s->seen = false;
    }
  return remove_missing (b) || changed;
}

void
bks_read_failed (struct bks *b, clk_ms now)
{
  (void)now;
  if (b->has_list)
    b->last_read_failed = true;
}

void
bks_store_restored (struct bks *b, clk_ms now)
{
  bks_read_failed (b, now);
  b->restored_at = now;
}

bool
bks_is_stable (const struct bks *b, clk_ms now)
{
  return b->has_list && !b->last_read_failed
         && now - b->first_read_at >= RECOVERY_MS
         && (b->stable_since == 0 || now - b->stable_since >= RECOVERY_MS);
}

clk_ms
bks_poll_interval (const struct bks *b, clk_ms min_interval)
{
  return b->n > FULL_RATE_SERVERS
             ? min_interval * (clk_ms)b->n / FULL_RATE_SERVERS
             : min_interval;
}

clk_ms
bks_leader_poll_interval (const struct bks *b, clk_ms min_interval,
                          clk_ms drain_ms)
{
  clk_ms interval = bks_poll_interval (b, min_interval);
  clk_ms max_interval = bks_direct_poll_ms (drain_ms, false);

  return interval < max_interval ? interval : max_interval;
}

clk_ms
bks_direct_poll_ms (clk_ms drain_ms, bool is_leaf)
{
  if (is_leaf)
    return (clk_ms)((double)drain_ms * LARGE_FLEET_DRAIN_PART);
  return drain_ms / READS_PER_DRAIN;
}

bool
bks_has_list (const struct bks *b)
{
  return b->has_list;
}

const struct bks_server *const *
bks_list (const struct bks *b, size_t *n)
{
  *n = b->n;
  return (const struct bks_server *const *)b->list;
}

/* --- endpoints --------------------------------------------------------- */

static bool
is_member (const struct bks_entry *e, const struct bks_entry *leader)
{
  return str_eq (e->replica, leader->replica)
         && e->generation == leader->generation;
}

/** Whether the server drains or, as a member other than the leader, is not
    ready. */
static bool
is_unavailable (const struct bks_entry *e)
{
  return e->draining || (e->rank > 0 && e->member_state != BKS_READY);
}

static unsigned
count_members (const struct bks *b, const struct bks_entry *leader,
               bool *unavailable)
{
  unsigned members = 0;

  *unavailable = false;
  for (size_t i = 0; i < b->n; i++)
    if (is_member (&b->list[i]->e, leader))
      {
        members++;
        *unavailable |= is_unavailable (&b->list[i]->e);
      }
  return members;
}

static bool
has_recorded_members (const struct bks_server *leader)
{
  return leader->nmembers
         && leader->members_generation == leader->e.generation;
}

static void
record_members (const struct bks *b, struct bks_server *leader, unsigned size)
{
  if (has_recorded_members (leader))
    return;
  clear_members (leader);
  leader->members = xcalloc (size, sizeof *leader->members);
  leader->members_generation = leader->e.generation;
  for (size_t i = 0; i < b->n; i++)
    if (is_member (&b->list[i]->e, &leader->e))
      leader->members[leader->nmembers++]
          = (struct bks_member){ str_dup (b->list[i]->e.id),
                                 b->list[i]->e.start_time };
}

/** Whether no recorded member has left the replica or has restarted. */
static bool
are_members_unchanged (const struct bks *b, const struct bks_server *leader)
{
  for (size_t i = 0; i < leader->nmembers; i++)
    {
      const struct bks_member *member = &leader->members[i];
      const struct bks_server *s = find (b, str_from (member->id));
      if (s
          && (!is_member (&s->e, &leader->e)
              || s->e.start_time != member->start_time))
        return false;
    }
  return true;
}

/**
 * Whether the replica may take requests: all its members were listed as ready,
 * and none of them drains or has joined another replica.
 *
 * A member whose entry expires still counts.  A server that is cut off from
 * the store continues to work; if its replica were excluded, a partition of 1
 * server in 8 would disable most replicas of 6 members.  If the member has
 * failed, its replica stops responding, which is detected by its streams
 * sooner than by the list.
 *
 * A node that has just started may not have seen all members at once.  For it,
 * a majority of listed members is enough, because a replica is ordered to open
 * only when all its members are ready.  With fewer, the other members may have
 * joined other replicas.
 */
static bool
is_complete (const struct bks *b, struct bks_server *leader, unsigned size)
{
  bool unavailable;
  unsigned members = count_members (b, &leader->e, &unavailable);

  if (unavailable || members > size)
    {
      clear_members (leader);
      return false;
    }
  if (members == size)
    record_members (b, leader, size);
  if (has_recorded_members (leader))
    return are_members_unchanged (b, leader);
  return 2 * members > size;
}

static uint64_t
hash_number (uint64_t hash, int64_t number)
{
  return str_hash (str_make ((const char *)&number, sizeof number), hash);
}

/** Of the fields that same_sent_fields() compares, and of whether it takes
    requests. */
static uint64_t
endpoint_digest (const struct bks_server *s)
{
  const struct bks_entry *e = &s->e;
  struct buf addr = BUF_INIT;
  uint64_t hash = str_hash (e->id, 0);

  net_addr_format (&e->addr, &addr);
  hash = str_hash (e->service, hash);
  hash = str_hash (e->zone, hash);
  hash = str_hash (buf_str (&addr), hash);
  hash = str_hash (e->model, hash);
  hash = str_hash (e->replica, hash);
  hash = hash_number (hash, e->start_time);
  hash = hash_number (hash, e->generation);
  hash = hash_number (hash, e->capacity);
  hash = hash_number (hash, e->rank);
  hash = hash_number (hash, e->member_state);
  hash = hash_number (hash, e->draining);
  buf_free (&addr);
  return hash_number (hash, s->accepting);
}

static void
mark_endpoint (struct bks *b, struct bks_server *s, bool is_endpoint,
               bool accepting)
{
  bool same = s->is_endpoint == is_endpoint && s->accepting == accepting
              && (!is_endpoint || s->version <= s->endpoint_version);

  s->is_endpoint = is_endpoint;
  s->accepting = accepting;
  if (same)
    return;
  s->endpoint_version = b->version;
  s->digest = is_endpoint ? endpoint_digest (s) : 0;
}

uint64_t
bks_digest (const struct bks *b)
{
  return b->digest;
}

static void
update_digest (struct bks *b)
{
  b->digest = EMPTY_DIGEST;
  for (size_t i = 0; i < b->n; i++)
    b->digest ^= b->list[i]->digest;
  if (b->digest == 0)
    b->digest = EMPTY_DIGEST;
}

static bool
is_evacuated (const struct bks *b, const struct bks_entry *e)
{
  return b->evacuations && evc_is_evacuated (b->evacuations, e->zone);
}

/** Whether a listed member of the replica is in an evacuated zone. */
static bool
has_evacuated_member (const struct bks *b, const struct bks_entry *leader)
{
  if (!b->evacuations || evc_count (b->evacuations) == 0)
    return false;
  for (size_t i = 0; i < b->n; i++)
    if (is_member (&b->list[i]->e, leader) && is_evacuated (b, &b->list[i]->e))
      return true;
  return false;
}

size_t
bks_count_in_zone (const struct bks *b, struct str zone)
{
  size_t n = 0;

  for (size_t i = 0; i < b->n; i++)
    n += str_eq (b->list[i]->e.zone, zone);
  return n;
}

static void
add_endpoint (struct bks *b, size_t *n, struct bks_server *s,
              unsigned capacity, bool accepting, bool evacuated)
{
  const struct bks_entry *e = &s->e;

  accepting = accepting && !evacuated;
  mark_endpoint (b, s, true, accepting);
  b->endpoints[(*n)++] = (struct dsp_endpoint){ .server = e->id,
                                                .start_time = e->start_time,
                                                .service = e->service,
                                                .zone = e->zone,
                                                .addr = e->addr,
                                                .capacity = capacity,
                                                .accepting = accepting,
                                                .evacuated = evacuated };
}

/**
 * A leader that is not open, or whose replica is not complete, remains an
 * endpoint while it is listed, because requests may still be running there; it
 * gets no new ones.
 */
static void
add_leader (struct bks *b, const struct tbl_service *s,
            struct bks_server *leader, size_t *n)
{
  const struct bks_entry *e = &leader->e;
  const struct tbl_model *m = tbl_find_model (s, e->model);
  bool accepting = e->acceptance == BKS_ACCEPTING;
  bool evacuated = is_evacuated (b, e);

  if (!m || e->rank != 0 || e->replica.len == 0 || e->member_state < BKS_OPEN)
    {
      mark_endpoint (b, leader, false, false);
      return;
    }
  if (e->acceptance == BKS_ACCEPTANCE_UNKNOWN)
    {
      accepting
          = e->member_state == BKS_OPEN && is_complete (b, leader, m->size);
      evacuated = evacuated || has_evacuated_member (b, e);
    }
  add_endpoint (b, n, leader, s->capacity ? s->capacity : e->capacity,
                accepting, evacuated);
  b->endpoints[*n - 1].model = m->name;
  b->endpoints[*n - 1].prefill_per_ms
      = s->prefill_per_ms / (m->time_factor > 0 ? m->time_factor : 1);
  b->endpoints[*n - 1].generation = e->generation;
}

/** Nodes that already have the present version of the list must also receive
    the changes that result from the evacuations. */
static void
set_evacuations (struct bks *b, const struct evc *evacuations)
{
  b->evacuations = evacuations;
  if (!evacuations || evc_version (evacuations) == b->evacuations_version)
    return;
  b->evacuations_version = evc_version (evacuations);
  b->version++;
}

const struct dsp_endpoint *
bks_endpoints (struct bks *b, const struct tbl *t,
               const struct evc *evacuations, size_t *n)
{
  *n = 0;
  set_evacuations (b, evacuations);
  b->endpoints = xrealloc (b->endpoints, (b->n + 1) * sizeof *b->endpoints);
  for (size_t i = 0; i < b->n; i++)
    {
      const struct bks_entry *e = &b->list[i]->e;
      const struct tbl_service *s = tbl_find_service (t, e->service);
      if (!s)
        mark_endpoint (b, b->list[i], false, false);
      else if (s->nmodels)
        add_leader (b, s, b->list[i], n);
      else
        add_endpoint (b, n, b->list[i], e->capacity, !e->draining,
                      is_evacuated (b, e));
    }
  if (b->has_list)
    update_digest (b);
  return b->endpoints;
}
