#include <stdlib.h>
#include <string.h>

#include "claim/table.h"

#define FIRST_BUCKETS ((size_t)256)

static size_t
bucket_of (const struct tbl *t, const uint8_t key[16])
{
  return str_hash (str_make (key, 16), 0) & (t->nbuckets - 1);
}

static bool
same (const uint8_t a[16], const uint8_t b[16])
{
  return memcmp (a, b, 16) == 0;
}

void
tbl_init (struct tbl *t, size_t kept_limit)
{
  memset (t, 0, sizeof *t);
  t->nbuckets = FIRST_BUCKETS;
  t->buckets = xcalloc (t->nbuckets, sizeof *t->buckets);
  t->kept_limit = kept_limit;
}

void
tbl_free (struct tbl *t)
{
  while (t->first)
    tbl_remove (t, t->first);
  free (t->buckets);
}

struct tbl_rec *
tbl_find (const struct tbl *t, const uint8_t key[16],
          const uint8_t attempt[16])
{
  struct tbl_rec *r = t->buckets[bucket_of (t, key)];

  while (r && !(same (r->key, key) && same (r->attempt, attempt)))
    r = r->chain;
  return r;
}

struct tbl_rec *
tbl_holder (const struct tbl *t, const uint8_t key[16],
            const uint8_t attempt[16])
{
  struct tbl_rec *found = NULL;

  for (struct tbl_rec *r = t->buckets[bucket_of (t, key)]; r; r = r->chain)
    if (same (r->key, key) && !same (r->attempt, attempt)
        && r->state == TBL_TAKEN && (!found || r->answer))
      found = r;
  return found;
}

bool
tbl_pending_other (const struct tbl *t, const uint8_t key[16],
                   const uint8_t attempt[16])
{
  for (struct tbl_rec *r = t->buckets[bucket_of (t, key)]; r; r = r->chain)
    if (same (r->key, key) && !same (r->attempt, attempt)
        && r->pending == TBL_PEND_TAKE)
      return true;
  return false;
}

static void
grow (struct tbl *t)
{
  struct tbl_rec **old = t->buckets;
  size_t nold = t->nbuckets;

  t->nbuckets *= 2;
  t->buckets = xcalloc (t->nbuckets, sizeof *t->buckets);
  for (size_t i = 0; i < nold; i++)
    for (struct tbl_rec *r = old[i], *next; r; r = next)
      {
        size_t b = bucket_of (t, r->key);
        next = r->chain;
        r->chain = t->buckets[b];
        t->buckets[b] = r;
      }
  free (old);
}

static void
order_append (struct tbl *t, struct tbl_rec *r)
{
  r->next = NULL;
  r->prev = t->last;
  if (t->last)
    t->last->next = r;
  else
    t->first = r;
  t->last = r;
}

static void
order_unlink (struct tbl *t, struct tbl_rec *r)
{
  if (r->prev)
    r->prev->next = r->next;
  else
    t->first = r->next;
  if (r->next)
    r->next->prev = r->prev;
  else
    t->last = r->prev;
}

struct tbl_rec *
tbl_add (struct tbl *t, const uint8_t key[16], const uint8_t attempt[16],
         const uint8_t fingerprint[16], clk_ms since, clk_ms expires)
{
  struct tbl_rec *r = xcalloc (1, sizeof *r);
  size_t b;

  if (t->n >= t->nbuckets)
    grow (t);
  b = bucket_of (t, key);
  memcpy (r->key, key, 16);
  memcpy (r->attempt, attempt, 16);
  memcpy (r->fingerprint, fingerprint, 16);
  r->since = since;
  r->written = INT64_MIN / 2;
  r->expires = expires;
  r->chain = t->buckets[b];
  t->buckets[b] = r;
  order_append (t, r);
  t->n++;
  return r;
}

void
tbl_touch (struct tbl *t, struct tbl_rec *r, clk_ms since, clk_ms expires)
{
  order_unlink (t, r);
  r->since = since;
  r->expires = expires;
  order_append (t, r);
}

static void
drop_answer (struct tbl *t, struct tbl_rec *r)
{
  if (!r->answer)
    return;
  if (r->kprev)
    r->kprev->knext = r->knext;
  else
    t->kfirst = r->knext;
  if (r->knext)
    r->knext->kprev = r->kprev;
  else
    t->klast = r->kprev;
  r->kprev = r->knext = NULL;
  t->kept -= r->answer_len;
  free (r->answer);
  r->answer = NULL;
  r->answer_len = 0;
}

void
tbl_remove (struct tbl *t, struct tbl_rec *r)
{
  struct tbl_rec **at = &t->buckets[bucket_of (t, r->key)];

  while (*at != r)
    at = &(*at)->chain;
  *at = r->chain;
  order_unlink (t, r);
  drop_answer (t, r);
  t->n--;
  free (r);
}

void
tbl_expire (struct tbl *t, clk_ms now)
{
  struct tbl_rec *next;

  for (struct tbl_rec *r = t->first; r && r->expires <= now; r = next)
    {
      next = r->next;
      if (r->pending == TBL_PEND_NONE)
        tbl_remove (t, r);
    }
}

void
tbl_keep (struct tbl *t, struct tbl_rec *r, int status, struct str answer)
{
  drop_answer (t, r);
  r->ended = true;
  r->status = status;
  if (answer.len > t->kept_limit)
    return;
  while (t->kept + answer.len > t->kept_limit)
    drop_answer (t, t->kfirst);
  r->answer = str_dup (answer);
  r->answer_len = answer.len;
  t->kept += answer.len;
  r->kprev = t->klast;
  if (t->klast)
    t->klast->knext = r;
  else
    t->kfirst = r;
  t->klast = r;
}
