#include "serve/evacuation-kept.h"

#include <stdlib.h>
#include <string.h>

struct zone
{
  char *name;
  bool in_store; /* in the newest state; else it is kept after a restore */
};

struct evc
{
  int64_t era, revision; /* of the newest state */
  bool known;            /* a state or a change was processed */
  bool partial; /* only changes were processed since `era` is known: there may
                   be zones in the store that are not recorded */
  clk_ms era_known_at;
  clk_ms keep_until; /* no evacuation ends before; 0: no restore was seen */
  int64_t era_before, revision_before; /* of the newest state from before the
                                          restore */
  struct zone zones[EVC_MAX_ZONES];
  size_t n;
  uint64_t version;
  char **ended; /* zones whose evacuation has ended */
  size_t nended, nreturned;
  struct evc_ignored ignored;
  struct str in_store[EVC_MAX_ZONES]; /* list returned by evc_state() */
  struct str kept[EVC_MAX_ZONES];     /* list returned by evc_kept_state() */
  size_t nin_store;
};

struct evc *
evc_new (void)
{
  return xcalloc (1, sizeof (struct evc));
}

void
evc_free (struct evc *e)
{
  if (!e)
    return;
  for (size_t i = 0; i < e->n; i++)
    free (e->zones[i].name);
  for (size_t i = 0; i < e->nended; i++)
    free (e->ended[i]);
  free (e->ended);
  free (e);
}

/* --- zones ------------------------------------------------------------- */

static struct zone *
find_zone (const struct evc *e, struct str name)
{
  for (size_t i = 0; i < e->n; i++)
    if (str_is (name, e->zones[i].name))
      return (struct zone *)&e->zones[i];
  return NULL;
}

static bool
has_zone (const struct evc_state *in, struct str name)
{
  for (size_t i = 0; i < in->n; i++)
    if (str_eq (in->zones[i], name))
      return true;
  return false;
}

/** @return whether a zone was added */
static bool
add_zone (struct evc *e, struct str name, bool in_store)
{
  struct zone *z = find_zone (e, name);

  if (z)
    {
      z->in_store |= in_store;
      return false;
    }
  e->ignored.unnamed += name.len == 0;
  if (name.len == 0)
    return false;
  e->ignored.too_many += e->n == EVC_MAX_ZONES;
  if (e->n == EVC_MAX_ZONES)
    return false;
  e->zones[e->n++]
      = (struct zone){ .name = str_dup (name), .in_store = in_store };
  return true;
}

/** The zone is no longer in the store.
    @return whether its evacuation has ended */
static bool
end_zone (struct evc *e, clk_ms now, struct zone *z)
{
  if (now < e->keep_until)
    {
      z->in_store = false;
      return false;
    }
  e->ended = xrealloc (e->ended, (e->nended + 1) * sizeof (*e->ended));
  e->ended[e->nended++] = z->name;
  e->n--;
  memmove (z, z + 1, (size_t)(&e->zones[e->n] - z) * sizeof *z);
  return true;
}

static void
forget_returned (struct evc *e)
{
  for (size_t i = 0; i < e->nreturned; i++)
    free (e->ended[i]);
  e->nended -= e->nreturned;
  if (e->nreturned)
    memmove (e->ended, e->ended + e->nreturned,
             e->nended * sizeof (*e->ended));
  e->nreturned = 0;
}

/** Updates the lists of zones that are in the store and that are kept.
    @return whether the first list has changed */
static bool
update_lists (struct evc *e)
{
  size_t n = 0, before = e->nin_store;
  bool changed = false;

  for (size_t i = 0; i < e->n; i++)
    {
      struct str name = str_from (e->zones[i].name);
      e->kept[i] = name;
      if (!e->zones[i].in_store)
        continue;
      changed |= n >= before || e->in_store[n].ptr != name.ptr;
      e->in_store[n++] = name;
    }
  e->nin_store = n;
  return changed || n != before;
}

/* --- states ------------------------------------------------------------ */

int
evc_compare (const struct evc_state *a, const struct evc_state *b)
{
  if (a->store_era != b->store_era)
    return a->store_era < b->store_era ? -1 : 1;
  return (a->revision > b->revision) - (a->revision < b->revision);
}

bool
evc_same_zones (const struct evc_state *a, const struct evc_state *b)
{
  for (size_t i = 0; i < a->n; i++)
    if (!has_zone (b, a->zones[i]))
      return false;
  for (size_t i = 0; i < b->n; i++)
    if (!has_zone (a, b->zones[i]))
      return false;
  return true;
}

/** The restore counter is higher than the one known so far.
    @return whether it is the first one */
static bool
begin_era (struct evc *e, clk_ms now, int64_t era)
{
  bool first = !e->known;

  if (!first)
    {
      e->era_before = e->era;
      e->revision_before = e->revision;
      e->keep_until = now + EVC_RESTORE_MS;
    }
  e->known = true;
  e->era = era;
  e->revision = 0;
  e->partial = true;
  e->era_known_at = now;
  return first;
}

/** Makes the state the newest one. */
static bool
replace_state (struct evc *e, clk_ms now, const struct evc_state *in)
{
  bool changed = false;

  e->revision = in->revision;
  e->partial = false;
  for (size_t i = 0; i < e->n;)
    if (has_zone (in, str_from (e->zones[i].name))
        || !end_zone (e, now, &e->zones[i]))
      i++;
    else
      changed = true;
  for (size_t i = 0; i < in->n; i++)
    changed |= add_zone (e, in->zones[i], true);
  return changed;
}

/** Whether a state of an earlier era may have evacuations that the restored
    copy lacks. */
static bool
is_from_before_restore (const struct evc *e, clk_ms now,
                        const struct evc_state *in)
{
  const struct evc_state before
      = { .store_era = e->era_before, .revision = e->revision_before };

  return in->store_era < e->era && now < e->era_known_at + EVC_RESTORE_MS
         && evc_compare (in, &before) >= 0;
}

/** A state that is older than the newest one adds zones after a restore, or
    while only changes are known. */
static bool
merge_older (struct evc *e, clk_ms now, const struct evc_state *in)
{
  bool before_restore = is_from_before_restore (e, now, in);
  bool same_era = in->store_era == e->era && e->partial;
  bool changed = false;

  if (!before_restore && !same_era)
    return false;
  for (size_t i = 0; i < in->n; i++)
    changed |= add_zone (e, in->zones[i], same_era);
  if (before_restore && in->n)
    {
      e->era_before = in->store_era;
      e->revision_before = in->revision;
      e->keep_until = e->era_known_at + EVC_RESTORE_MS;
    }
  return changed;
}

bool
evc_apply_state (struct evc *e, clk_ms now, const struct evc_state *in)
{
  const struct evc_state own = evc_state (e);
  bool new_era = !e->known || in->store_era > e->era;
  bool changed;

  forget_returned (e);
  if (new_era)
    begin_era (e, now, in->store_era);
  if (new_era || evc_compare (in, &own) >= 0)
    changed = replace_state (e, now, in);
  else
    changed = merge_older (e, now, in);
  e->version += update_lists (e) || changed || new_era;
  return changed;
}

bool
evc_apply_change (struct evc *e, clk_ms now, int64_t store_era,
                  int64_t revision, struct str zone, bool evacuated)
{
  bool new_era = !e->known || store_era > e->era;
  struct zone *z;
  bool changed = false;

  forget_returned (e);
  if (new_era)
    {
      for (size_t i = 0; e->known && i < e->n; i++)
        e->zones[i].in_store = false;
      begin_era (e, now, store_era);
    }
  if (store_era < e->era || revision < e->revision)
    return false;
  e->revision = revision;
  z = find_zone (e, zone);
  if (evacuated)
    changed = add_zone (e, zone, true);
  else if (z)
    changed = end_zone (e, now, z);
  e->version += update_lists (e) || changed || new_era;
  return changed;
}

/* --- queries ----------------------------------------------------------- */

bool
evc_is_evacuated (const struct evc *e, struct str zone)
{
  return find_zone (e, zone) != NULL;
}

size_t
evc_count (const struct evc *e)
{
  return e->n;
}

struct evc_state
evc_state (const struct evc *e)
{
  return (struct evc_state){ .store_era = e->era,
                             .revision = e->revision,
                             .zones = e->in_store,
                             .n = e->nin_store };
}

struct evc_state
evc_kept_state (const struct evc *e)
{
  return (struct evc_state){ .store_era = e->era_before,
                             .revision = e->revision_before,
                             .zones = e->kept,
                             .n = e->nin_store < e->n ? e->n : 0 };
}

bool
evc_is_kept_overdue (const struct evc *e, clk_ms now)
{
  return e->nin_store < e->n && now >= e->keep_until;
}

uint64_t
evc_version (const struct evc *e)
{
  return e->version;
}

bool
evc_next_ended (struct evc *e, struct str *zone)
{
  while (e->nreturned < e->nended)
    {
      *zone = str_from (e->ended[e->nreturned++]);
      if (!evc_is_evacuated (e, *zone))
        return true;
    }
  return false;
}

struct evc_ignored
evc_ignored (const struct evc *e)
{
  return e->ignored;
}
