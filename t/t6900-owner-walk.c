/*
 * A randomized test of the ownership core: three nodes that all are candidates
 * for one fabric domain, a store that applies calls late or never and loses
 * responses, leases that expire, suspensions, restarts, and delayed orders to
 * a VM.  A seed determines the whole run.
 *
 * Checked at the VM: it never executes an order of an older owner after one of
 * a newer owner.  Backend servers that check fencing numbers ensure this; with
 * others, it depends on the owners' clocks and waiting times.
 */
#include <criterion/criterion.h>
#include <string.h>

#include "replica/owner.h"
#include "t/lib-claim.h"

#define NODES 3
#define CALLS 64
#define ORDERS 32
#define LEASE_TTL_MS (6 * CLK_SECOND)
#define ORDER_FLIGHT_MS (2 * CLK_SECOND)

enum fault
{
  FAULT_NONE,
  FAULT_NO_CLOCK_CHECK, /**< sends orders in state OWN_HOLDING without
                     own_may_order() */
  FAULT_FENCE_IGNORED   /**< servers ignore fencing numbers although the
                          configuration says that they check them */
};

struct call
{
  bool used, applied, responded;
  int node;
  struct own_action action;
  struct store_compare compare;
  struct store_put put;
  struct buf key, value;
  struct store_result result;
  struct store_kv kv;
  struct buf range_value;
};

struct order
{
  bool used;
  int64_t fence;
  clk_ms sent;
};

struct walk
{
  struct kv kv;
  struct rng rng;
  clk_ms now;
  bool checks_fence;
  enum fault fault;
  struct own *nodes[NODES];
  bool suspended[NODES];
  struct call calls[CALLS];
  struct order orders[ORDERS];
  uint64_t boots;
  int64_t highest; /**< highest fencing number of an executed order */
  uint64_t executed, refused, owners;
  const char *violation;
};

static uint64_t
random_below (struct walk *k, uint64_t n)
{
  return rng_below (&k->rng, n);
}

static void
hold_call (struct walk *k, int node, const struct own_action *a)
{
  struct call *c = k->calls;

  while (c < k->calls + CALLS && c->used)
    c++;
  /* All entries hold lost writes: drop one, which is then never applied. */
  if (c == k->calls + CALLS)
    c = &k->calls[random_below (k, CALLS)];
  c->used = true;
  c->applied = c->responded = false;
  c->node = node;
  c->action = *a;
  if (a->kind != OWN_TXN)
    return;
  buf_clear (&c->key);
  buf_add (&c->key, a->txn.puts[0].key);
  buf_clear (&c->value);
  buf_add (&c->value, a->txn.puts[0].value);
  c->compare = (struct store_compare){ buf_str (&c->key),
                                       a->txn.compares[0].mod_rev };
  c->put = (struct store_put){ buf_str (&c->key), buf_str (&c->value),
                               a->txn.puts[0].lease };
  c->action.txn = (struct store_txn){ &c->compare, 1, &c->put, 1, NULL, 0 };
}

static void
fetch_actions (struct walk *k, int node)
{
  struct own_action a;

  while (own_next (k->nodes[node], &a))
    if (a.kind == OWN_ACQUIRED)
      k->owners++;
    else if (a.kind != OWN_LOST)
      hold_call (k, node, &a);
}

static void
apply_range (struct walk *k, struct call *c)
{
  const struct kv_entry *e = k->kv.n ? &k->kv.entries[0] : NULL;

  if (!e)
    return;
  buf_clear (&c->range_value);
  buf_add (&c->range_value, buf_str (&e->value));
  c->kv = (struct store_kv){ str_from ("o"), buf_str (&c->range_value),
                             e->mod_rev, e->create_rev, e->lease };
  c->result.kvs = &c->kv;
  c->result.nkvs = 1;
}

static void
apply (struct walk *k, struct call *c)
{
  const struct own_action *a = &c->action;

  if (c->applied)
    return;
  c->applied = true;
  kv_expire_leases (&k->kv, k->now);
  memset (&c->result, 0, sizeof c->result);
  if (a->kind == OWN_GRANT)
    {
      c->result.lease = kv_grant (&k->kv, k->now, a->ttl);
      c->result.ttl = a->ttl;
    }
  else if (a->kind == OWN_TXN)
    c->result.status = kv_txn (&k->kv, &a->txn);
  else if (a->kind == OWN_RANGE)
    apply_range (k, c);
  else if (a->kind == OWN_KEEPALIVE)
    c->result.status = kv_keepalive (&k->kv, k->now, a->lease, LEASE_TTL_MS);
  else
    kv_revoke (&k->kv, a->lease);
  c->result.revision = k->kv.revision;
  if (c->responded || a->kind == OWN_REVOKE)
    c->used = false;
}

static void
respond (struct walk *k, struct call *c, enum store_status status)
{
  struct store_result none = { .status = status };

  c->responded = true;
  own_on_store_response (k->nodes[c->node], k->now, c->action.token,
                         status == STORE_OK ? &c->result : &none);
  c->used = status == STORE_UNCERTAIN && !c->applied;
  fetch_actions (k, c->node);
}

/* Steps. */

static bool
store_step (struct walk *k)
{
  struct call *c = NULL;
  size_t from = random_below (k, CALLS);
  uint64_t what = random_below (k, 16);

  for (size_t i = 0; i < CALLS && !c; i++)
    if (k->calls[(from + i) % CALLS].used)
      c = &k->calls[(from + i) % CALLS];
  if (!c)
    return false;
  if (c->responded || c->action.kind == OWN_REVOKE)
    {
      if (what < 4)
        apply (k, c);
      else if (what == 4)
        c->used = false;
      return what <= 4;
    }
  if (what < 2)
    {
      apply (k, c);
      return true;
    }
  if (k->suspended[c->node])
    return false;
  if (what == 2)
    respond (k, c,
             c->action.kind == OWN_RANGE ? STORE_UNAVAILABLE
                                         : STORE_UNCERTAIN);
  else if (what == 3 && !c->applied)
    respond (k, c, STORE_UNAVAILABLE);
  else
    {
      apply (k, c);
      respond (k, c, STORE_OK);
    }
  return true;
}

static bool
send_order (struct walk *k)
{
  int node = (int)random_below (k, NODES);
  const struct own *o = k->nodes[node];
  bool may = k->fault == FAULT_NO_CLOCK_CHECK ? own_state (o) == OWN_HOLDING
                                              : own_may_order (o, k->now);

  if (k->suspended[node] || !may)
    return false;
  for (size_t i = 0; i < ORDERS; i++)
    if (!k->orders[i].used)
      {
        k->orders[i] = (struct order){ true, own_fence (o), k->now };
        return true;
      }
  return false;
}

static bool
order_arrives (struct walk *k)
{
  struct order *o = &k->orders[random_below (k, ORDERS)];

  if (!o->used)
    return false;
  o->used = false;
  if (k->now - o->sent > ORDER_FLIGHT_MS)
    return true; /* the call has timed out and its connection is closed */
  if (k->checks_fence && k->fault != FAULT_FENCE_IGNORED
      && o->fence < k->highest)
    {
      k->refused++;
      return true;
    }
  if (o->fence < k->highest)
    k->violation = "a VM executed an older owner's order after a newer one's";
  k->highest = o->fence;
  k->executed++;
  return true;
}

/* A resumed node runs as if no time had passed: it may send before its
   tick. */
static void
tick_all (struct walk *k)
{
  for (int n = 0; n < NODES; n++)
    if (!k->suspended[n] && random_below (k, 4))
      {
        own_tick (k->nodes[n], k->now);
        fetch_actions (k, n);
      }
}

static void
time_step (struct walk *k)
{
  uint64_t how = random_below (k, 256);

  if (how == 0)
    k->now += (clk_ms)random_below (k, 4 * LEASE_TTL_MS);
  else if (how < 12)
    k->now += (clk_ms)random_below (k, LEASE_TTL_MS);
  else
    k->now += (clk_ms)random_below (k, 100);
  tick_all (k);
}

static void
start_node (struct walk *k, int n)
{
  char name[2] = { (char)('a' + n), 0 };
  struct own_options opt = { .key = STR ("o"),
                             .node = str_from (name),
                             .boot = ++k->boots,
                             .ttl = LEASE_TTL_MS,
                             .checks_fence = k->checks_fence,
                             .order_flight_ms = ORDER_FLIGHT_MS };

  own_free (k->nodes[n]);
  k->nodes[n] = own_new (&opt, k->boots);
  for (size_t i = 0; i < CALLS; i++)
    if (k->calls[i].node == n)
      k->calls[i].responded = true;
  own_set_wanted (k->nodes[n], k->now, true);
  fetch_actions (k, n);
}

static void
fault_step (struct walk *k)
{
  int node = (int)random_below (k, NODES);
  uint64_t what = random_below (k, 64);

  if (k->suspended[node])
    k->suspended[node] = what > 20;
  else if (what == 0)
    start_node (k, node);
  else if (what < 16)
    k->suspended[node] = true;
  else if (what < 20)
    {
      own_set_wanted (k->nodes[node], k->now, what < 18);
      fetch_actions (k, node);
    }
  else if (what < 30)
    {
      own_set_wanted (k->nodes[node], k->now, true);
      fetch_actions (k, node);
    }
}

static bool
one_step (struct walk *k)
{
  uint64_t what = random_below (k, 100);

  if (what < 40)
    return store_step (k);
  if (what < 60)
    return send_order (k);
  if (what < 75)
    return order_arrives (k);
  if (what < 97)
    time_step (k);
  else
    fault_step (k);
  return true;
}

static void
clear (struct walk *k)
{
  for (int n = 0; n < NODES; n++)
    own_free (k->nodes[n]);
  for (size_t i = 0; i < CALLS; i++)
    {
      buf_free (&k->calls[i].key);
      buf_free (&k->calls[i].value);
      buf_free (&k->calls[i].range_value);
    }
  kv_clear (&k->kv);
}

static uint64_t
walk (struct walk *k, uint64_t seed, uint64_t steps, bool checks_fence,
      enum fault fault)
{
  uint64_t done = 0;

  memset (k, 0, sizeof *k);
  rng_seed (&k->rng, seed);
  k->now = 1000;
  k->kv.revision = 100;
  k->checks_fence = checks_fence;
  k->fault = fault;
  for (int n = 0; n < NODES; n++)
    start_node (k, n);
  while (done < steps && !k->violation)
    done += one_step (k);
  return done;
}

static void
expect_no_violation (bool checks_fence)
{
  static struct walk k;
  uint64_t executed = 0, refused = 0, owners = 0;

  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      uint64_t steps = walk (&k, seed, 100000, checks_fence, FAULT_NONE);
      cr_expect_null (k.violation, "seed %llu, step %llu: %s",
                      (unsigned long long)seed, (unsigned long long)steps,
                      k.violation);
      executed += k.executed;
      refused += k.refused;
      owners += k.owners;
      clear (&k);
    }
  cr_log_info ("owners %llu, orders executed %llu, refused %llu",
               (unsigned long long)owners, (unsigned long long)executed,
               (unsigned long long)refused);
  cr_expect_gt (owners, 500);
  cr_expect_gt (executed, 5000);
  cr_expect (!checks_fence || refused > 0);
}

/* An owner is suspended past its lease, another node takes the domain and
   sends orders, and the first resumes.  The VM refuses its fencing number. */
Test (owner_walk, servers_check_fencing_numbers)
{
  expect_no_violation (true);
}

/* The same with a VM that executes the last order that arrives: the old
   owner's clock must stop it, and the new owner must wait for orders in
   flight. */
Test (owner_walk, servers_ignore_fencing_numbers)
{
  expect_no_violation (false);
}

static void
expect_violation (bool checks_fence, enum fault fault)
{
  static struct walk k;
  uint64_t steps = 0;

  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      steps += walk (&k, seed, 100000, checks_fence, fault);
      clear (&k);
      if (k.violation)
        break;
    }
  cr_log_info ("found after %llu steps", (unsigned long long)steps);
  cr_expect_not_null (k.violation);
}

Test (owner_walk, finds_order_without_clock_check)
{
  expect_violation (false, FAULT_NO_CLOCK_CHECK);
}

Test (owner_walk, finds_fencing_ignored_despite_config)
{
  expect_violation (true, FAULT_FENCE_IGNORED);
}
