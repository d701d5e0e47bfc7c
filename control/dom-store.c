#include <stdlib.h>

#include "control/domains.h"

static void
on_owner_response (void *ctx, const struct store_result *r)
{
  struct dom_call *call = ctx;
  struct dom *d = call->dom;

  own_on_store_response (d->own, clk_now (), call->token, r);
  dom_call_free (call);
  dom_run_actions (d);
}

static void
on_assignment_response (void *ctx, const struct store_result *r)
{
  struct dom_call *call = ctx;
  struct dom *d = call->dom;
  struct rep_event ev
      = { .kind = REP_STORE_RESPONSE, .token = call->token, .result = r };

  rep_event (d->rep, clk_now (), &ev);
  dom_call_free (call);
  dom_run_actions (d);
}

/* Ignores failures: a lease that was not revoked expires. */
static void
on_revoked (void *ctx, const struct store_result *r)
{
}

static struct dom_call *
new_call (struct dom *d, enum dom_call_kind kind, uint64_t token)
{
  struct dom_call *call = dom_call_new (d, kind);

  call->token = token;
  return call;
}

void
dom_store_owner (struct dom *d, const struct own_action *a)
{
  struct store *s = d->domains->c->store;
  struct dom_call *call;

  if (a->kind == OWN_REVOKE)
    {
      store_lease_revoke (s, a->lease, on_revoked, d->domains->c);
      return;
    }
  call = new_call (d, DCALL_STORE_OWNER, a->token);
  switch (a->kind)
    {
    case OWN_GRANT:
      store_lease_grant (s, a->ttl, on_owner_response, call);
      break;
    case OWN_TXN:
      store_txn (s, STORE_OWNERSHIP, &a->txn, on_owner_response, call);
      break;
    case OWN_RANGE:
      store_range (s, STORE_OWNERSHIP, a->key, STR_EMPTY, on_owner_response,
                   call);
      break;
    default:
      store_lease_keep (s, a->lease, on_owner_response, call);
    }
}

void
dom_store_assignment (struct dom *d, const struct rep_action *a)
{
  struct store *s = d->domains->c->store;
  struct dom_call *call = new_call (d, DCALL_STORE_ASSIGNMENT, a->token);

  if (a->kind == REP_STORE_TXN)
    store_txn (s, STORE_ASSIGNMENT, &a->txn, on_assignment_response, call);
  else
    store_range (s, STORE_ASSIGNMENT, a->key, STR_EMPTY,
                 on_assignment_response, call);
}
