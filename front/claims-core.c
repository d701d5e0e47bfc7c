#include <stdlib.h>

#include "front/claims.h"

/** Claim window until a configuration is active. */
#define DEFAULT_WINDOW_MS (10 * CLK_MINUTE)

/** Memory limit for stored responses. */
#define KEPT_BYTES ((size_t)16 * 1024 * 1024)

/** A pending store call of the claim core. */
struct claims_call
{
  struct gw_claims *c;
  uint64_t token;
  struct claims_call *next, **prev;
};

static void
call_free (struct claims_call *call)
{
  *call->prev = call->next;
  if (call->next)
    call->next->prev = call->prev;
  free (call);
}

static void
on_store (void *ctx, const struct store_result *r)
{
  struct claims_call *call = ctx;
  struct gw_claims *c = call->c;
  uint64_t token = call->token;

  call_free (call);
  clm_on_store_response (c->core, clk_now (), token, r);
  claims_after_event (c);
}

static struct claims_call *
call_new (struct gw_claims *c, uint64_t token)
{
  struct claims_call *call = xcalloc (1, sizeof *call);

  call->c = c;
  call->token = token;
  call->next = c->calls;
  call->prev = &c->calls;
  if (c->calls)
    c->calls->prev = &call->next;
  c->calls = call;
  return call;
}

static void
execute_action (struct gw_claims *c, const struct clm_action *a)
{
  struct store *s = c->g->store;

  switch (a->kind)
    {
    case CLM_ACT_REPLY:
      claims_reply_received (c, a->reply.id, &a->reply);
      break;
    case CLM_ACT_TXN:
      store_txn (s, STORE_CLAIMS, &a->txn, on_store, call_new (c, a->token));
      break;
    case CLM_ACT_RANGE:
      store_range (s, STORE_CLAIMS, a->key, a->end, on_store,
                   call_new (c, a->token));
      break;
    case CLM_ACT_LEASE_GRANT:
      store_lease_grant (s, a->ttl, on_store, call_new (c, a->token));
      break;
    }
}

void
claims_core_run (struct gw_claims *c)
{
  struct clm_action a;

  while (clm_next (c->core, &a))
    execute_action (c, &a);
}

void
claims_core_stop (struct gw_claims *c)
{
  for (struct claims_call *call = c->calls, *next; call; call = next)
    {
      next = call->next;
      store_forget (c->g->store, call);
      free (call);
    }
  c->calls = NULL;
  clm_free (c->core);
}

/* Metrics. */

struct metric
{
  const char *name;
  const char *help;
  size_t offset; /**< in struct clm_stats */
};

#define COUNT(name, help, field)                                              \
  {                                                                           \
    "lapisline_claim_" name "_total", help,                                   \
        offsetof (struct clm_stats, field)                                    \
  }

static const struct metric metrics[] = {
  COUNT ("txns", "Store transactions of claims", txns),
  COUNT ("records", "Claims and releases written", batch_records),
  COUNT ("bytes", "Of the batches written", batch_bytes),
  COUNT ("conflicts", "Transactions that met another home's", conflicts),
  COUNT ("uncertain", "Transactions whose answer was lost", uncertain),
  COUNT ("reads", "Reads of claims in the store", reads),
  COUNT ("granted", "Claims granted", granted),
  COUNT ("refused", "Repeats refused or answered from memory", refused),
  COUNT ("unavailable", "Asks that the store gave no answer for", unavailable),
};

void
claims_core_start (struct gw_claims *c)
{
  /* The node's boot number is a timestamp, which two gateways that start in
     the same millisecond would share.  One of them would then mistake the
     other's batch in the store for its own and grant claims that it lost.  The
     core therefore gets a random number. */
  struct clm_options opt = { .prefix = str_from (c->g->set.store_prefix),
                             .window = DEFAULT_WINDOW_MS,
                             .max_response_bytes = KEPT_BYTES,
                             .boot = rng_entropy () };

  c->core = clm_new (&opt, rng_next (&c->g->rng));
  /* All series exist from the start: an alert on the increase of a series
     that is created with its first count would miss that count. */
  for (size_t i = 0; i < sizeof metrics / sizeof metrics[0]; i++)
    met_counter (c->g->met, metrics[i].name, metrics[i].help, NULL);
}

static uint64_t
counter_at (const struct clm_stats *n, size_t offset)
{
  return *(const uint64_t *)((const char *)n + offset);
}

void
claims_core_metrics (struct gw_claims *c)
{
  const struct clm_stats *now = clm_stats (c->core);

  for (size_t i = 0; i < sizeof metrics / sizeof metrics[0]; i++)
    {
      const struct metric *m = &metrics[i];
      uint64_t increase
          = counter_at (now, m->offset) - counter_at (&c->reported, m->offset);
      if (increase)
        met_add (met_counter (c->g->met, m->name, m->help, NULL),
                 (double)increase);
    }
  c->reported = *now;
  met_set (
      met_gauge (c->g->met, "lapisline_claims_held", "Claims in memory", NULL),
      (double)clm_claim_count (c->core));
}
