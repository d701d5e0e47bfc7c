#include <stdlib.h>

#include "replica/core.h"

static uint64_t
new_call (struct rep *r, clk_ms now, enum rep_call call)
{
  r->call = call;
  r->call_at = now;
  r->call_token = ++r->last_token;
  return r->call_token;
}

void
chg_read (struct rep *r, clk_ms now)
{
  struct rep_action *a = rep_push (r, REP_STORE_READ);

  a->token = new_call (r, now, RCALL_READ);
  a->key = buf_str (&r->key);
}

void
chg_set_assignment (struct rep *r, clk_ms now, struct str value,
                    int64_t mod_rev)
{
  struct asn assignment = { 0 };

  r->read_at = now;
  r->assignment_fresh = true;
  if (r->has_assignment && mod_rev == r->mod_rev)
    return;
  /* An assignment that can't be parsed or contains a VM twice must be repaired
     by an operator: using part of it could assign a VM twice. */
  r->assignment_invalid = mod_rev && !asn_parse (value, &assignment);
  if (r->assignment_invalid)
    {
      r->has_assignment = r->assignment_fresh = false;
      return;
    }
  asn_free (&r->assignment);
  r->assignment = assignment;
  r->has_assignment = true;
  r->mod_rev = mod_rev;
  rep_rebuild (r, now);
}

static void
on_read_response (struct rep *r, clk_ms now, const struct store_result *res)
{
  if (res->status != STORE_OK)
    r->read_at = now - REP_READ_MS + REP_STORE_RETRY_MS;
  else if (res->nkvs)
    chg_set_assignment (r, now, res->kvs[0].value, res->kvs[0].mod_rev);
  else
    chg_set_assignment (r, now, STR_EMPTY, 0);
}

/* Without a delay, an owner that lost its key would write on every tick. */
static void
delay_next_change (struct rep *r, clk_ms now)
{
  r->next_change = now + REP_STORE_RETRY_MS
                   + (clk_ms)rng_below (&r->rng, REP_STORE_RETRY_MS);
}

static void
on_change_response (struct rep *r, clk_ms now, const struct store_result *res)
{
  switch (res->status)
    {
    case STORE_OK:
      asn_free (&r->assignment);
      r->assignment = r->proposed;
      r->proposed = (struct asn){ 0 };
      r->mod_rev = res->revision;
      r->read_at = now;
      rep_rebuild (r, now);
      break;
    case STORE_CONFLICT:
    case STORE_UNCERTAIN:
      /* Another node wrote first, or the response was lost.  In both cases
         read the current assignment.  A lost write that is applied later
         compares the same revision as the next write of this node, so only one
         of the two can take effect. */
      r->assignment_fresh = false;
      chg_read (r, now);
      delay_next_change (r, now);
      break;
    default:
      delay_next_change (r, now);
    }
  asn_free (&r->proposed);
  for (size_t i = 0; i < r->nreplicas; i++)
    if (r->replicas[i].state == RST_FORMING)
      evd_apply_event (r, &r->replicas[i], "refused");
}

void
chg_on_response (struct rep *r, clk_ms now, uint64_t token,
                 const struct store_result *res)
{
  enum rep_call call = r->call;

  if (token != r->call_token || call == RCALL_NONE)
    return;
  r->call = RCALL_NONE;
  if (call == RCALL_READ)
    on_read_response (r, now, res);
  else
    on_change_response (r, now, res);
}

void
chg_tick (struct rep *r, clk_ms now)
{
  clk_ms period = r->owner ? REP_READ_MS : REP_NON_OWNER_READ_MS;
  struct store_result lost = { .status = STORE_UNCERTAIN };

  if (r->call != RCALL_NONE && now - r->call_at >= REP_CALL_TIMEOUT_MS)
    chg_on_response (r, now, r->call_token, &lost);
  if (r->call == RCALL_NONE && (!r->read_at || now - r->read_at >= period))
    chg_read (r, now);
}

/*
 * Writes the assignment of the whole domain in one transaction.  Comparing the
 * revision of the assignment keeps a VM from being in two replicas, whichever
 * node writes.  Comparing the owner key's revision rejects the write of an
 * owner whose lease ended while the write was in flight.
 */
static void
propose (struct rep *r, clk_ms now, struct asn *next, bool as_owner)
{
  struct rep_action *a;

  asn_free (&r->proposed);
  r->proposed = *next;
  buf_clear (&r->proposed_text);
  asn_print (&r->proposed, &r->proposed_text);
  r->compares[0] = (struct store_compare){ buf_str (&r->key), r->mod_rev };
  r->compares[1] = (struct store_compare){ buf_str (&r->owner_key), r->fence };
  r->put = (struct store_put){ buf_str (&r->key), buf_str (&r->proposed_text),
                               0 };
  a = rep_push (r, REP_STORE_TXN);
  a->token = new_call (r, now, RCALL_CHANGE);
  a->key = buf_str (&r->key);
  a->txn = (struct store_txn){ .compares = r->compares,
                               .ncompares = as_owner ? 2 : 1,
                               .puts = &r->put,
                               .nputs = 1 };
}

/* Each decision makes at most one of these changes; the next one is made once
   the store has accepted the first. */
static bool
decide_as_owner (struct rep *r, clk_ms now, struct asn *next)
{
  return drn_release (r, now, next) || drn_replace_leaving (r, now, next)
         || plc_repair (r, now, next) || plc_form (r, now, next);
}

void
chg_decide (struct rep *r, clk_ms now)
{
  struct asn next;
  bool as_owner = false;
  bool changed;

  if (!r->assignment_fresh || r->call != RCALL_NONE || now < r->next_change)
    return;
  asn_copy (&r->assignment, &next);
  changed = drn_apply_requests (r, &next);
  if (!changed && r->owner && now >= r->settle_until)
    changed = as_owner = decide_as_owner (r, now, &next);
  if (changed && asn_valid (&next))
    propose (r, now, &next, as_owner);
  else
    asn_free (&next);
}
