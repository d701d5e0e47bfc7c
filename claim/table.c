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
same_id (const uint8_t a[16], const uint8_t b[16])
{
  return memcmp (a, b, 16) == 0;
}

void
tbl_init (struct tbl *t, size_t response_limit)
{
  memset (t, 0, sizeof *t);
  t->nbuckets = FIRST_BUCKETS;
  t->buckets = xcalloc (t->nbuckets, sizeof *t->buckets);
  t->response_limit = response_limit;
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

  while (r && !(same_id (r->key, key) && same_id (r->attempt, attempt)))
    r = r->chain;
  return r;
}

struct tbl_rec *
tbl_holder (const struct tbl *t, const uint8_t key[16],
            const uint8_t attempt[16])
{
  struct tbl_rec *found = NULL;

  for (struct tbl_rec *r = t->buckets[bucket_of (t, key)]; r; r = r->chain)
    if (same_id (r->key, key) && !same_id (r->attempt, attempt)
        && r->state == TBL_ACQUIRED && (!found || r->response))
      found = r;
  return found;
}

bool
tbl_pending_other (const struct tbl *t, const uint8_t key[16],
                   const uint8_t attempt[16])
{
  for (struct tbl_rec *r = t->buckets[bucket_of (t, key)]; r; r = r->chain)
    if (same_id (r->key, key) && !same_id (r->attempt, attempt)
        && r->pending == TBL_PEND_ACQUIRE)
      return true;
  return false;
}

static void
grow_buckets (struct tbl *t)
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
expiry_append (struct tbl *t, struct tbl_rec *r)
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
expiry_unlink (struct tbl *t, struct tbl_rec *r)
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
         const uint8_t fingerprint[16], clk_ms recorded_at, clk_ms expires)
{
  struct tbl_rec *r = xcalloc (1, sizeof *r);
  size_t b;

  if (t->n >= t->nbuckets)
    grow_buckets (t);
  b = bucket_of (t, key);
  memcpy (r->key, key, 16);
  memcpy (r->attempt, attempt, 16);
  memcpy (r->fingerprint, fingerprint, 16);
  r->recorded_at = recorded_at;
  r->written_at = INT64_MIN / 2;
  r->expires = expires;
  r->chain = t->buckets[b];
  t->buckets[b] = r;
  expiry_append (t, r);
  t->n++;
  return r;
}

void
tbl_refresh (struct tbl *t, struct tbl_rec *r, clk_ms recorded_at,
             clk_ms expires)
{
  expiry_unlink (t, r);
  r->recorded_at = recorded_at;
  r->expires = expires;
  expiry_append (t, r);
}

static void
drop_response (struct tbl *t, struct tbl_rec *r)
{
  if (!r->response)
    return;
  if (r->response_prev)
    r->response_prev->response_next = r->response_next;
  else
    t->response_first = r->response_next;
  if (r->response_next)
    r->response_next->response_prev = r->response_prev;
  else
    t->response_last = r->response_prev;
  r->response_prev = r->response_next = NULL;
  t->response_bytes -= r->response_len;
  free (r->response);
  r->response = NULL;
  r->response_len = 0;
}

void
tbl_remove (struct tbl *t, struct tbl_rec *r)
{
  struct tbl_rec **at = &t->buckets[bucket_of (t, r->key)];

  while (*at != r)
    at = &(*at)->chain;
  *at = r->chain;
  expiry_unlink (t, r);
  drop_response (t, r);
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
tbl_store_response (struct tbl *t, struct tbl_rec *r, int status,
                    struct str response)
{
  drop_response (t, r);
  r->finished = true;
  r->response_status = status;
  if (response.len > t->response_limit)
    return;
  while (t->response_bytes + response.len > t->response_limit)
    drop_response (t, t->response_first);
  r->response = str_dup (response);
  r->response_len = response.len;
  t->response_bytes += response.len;
  r->response_prev = t->response_last;
  if (t->response_last)
    t->response_last->response_next = r;
  else
    t->response_first = r;
  t->response_last = r;
}
