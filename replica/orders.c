#include "replica/core.h"

/** The order that would bring a VM to its assigned state. */
struct order
{
  enum rep_order order;
  struct str replica;
  struct str model;
  int64_t generation;
  unsigned rank;
  unsigned world;
};

static bool
reports_generation (const struct rep_vm *vm, struct str replica,
                    int64_t generation)
{
  return !vm->reported.unloaded && vm->reported.generation == generation
         && str_eq (vm->reported.replica, replica);
}

/*
 * Unload a VM without an entry in the assignment that reports one of the
 * managed replicas: it returned after it was replaced, or a delayed order of a
 * previous owner reached it.  Unmanaged replicas and those that may still be
 * adopted are not unloaded.
 */
static bool
unload_unassigned (const struct rep *r, clk_ms now, const struct rep_vm *vm,
                   struct order *out)
{
  size_t vms[ASN_MAX_VMS];
  const struct rep_replica *p;
  int64_t generation;

  if (vm->reported.unloaded || !vm->reported.replica.len)
    return false;
  p = rep_replica_by_name (r, vm->reported.replica);
  if (!p || !p->managed)
    return false;
  if (!asn_find (&r->assignment, p->name)
      && !asn_is_drained (&r->assignment, p->name)
      && (now - r->owner_since < REP_ADOPT_MS || !p->model
          || evd_reporting (r, now, vm->reported.replica, vms, &generation)
                 >= p->model->vms))
    return false;
  *out = (struct order){ .order = REP_UNLOAD,
                         .replica = vm->reported.replica,
                         .generation = vm->reported.generation };
  return true;
}

static unsigned
rank_of (const struct asn_entry *e, struct str vm)
{
  for (unsigned i = 0; i < e->nvms; i++)
    if (str_is (vm, e->vms[i]))
      return i;
  return 0;
}

static bool
is_joining (const struct asn_entry *e, const struct rep_vm *vm)
{
  return e->joining.vm && str_is (vm->cfg->name, e->joining.vm);
}

static bool
order_for_member (const struct rep_vm *vm, const struct rep_replica *p,
                  const struct asn_entry *e, struct order *out)
{
  bool joining = is_joining (e, vm);
  int64_t generation = joining ? e->joining.generation : e->generation;
  struct str name = str_from (e->name);

  *out = (struct order){ .replica = name,
                         .model = str_from (e->model),
                         .generation = generation,
                         .world = (unsigned)e->nvms };
  if (e->phase == ASN_RELEASING)
    {
      out->order = REP_UNLOAD;
      return !vm->reported.unloaded;
    }
  if (reports_generation (vm, name, generation))
    return false;
  if (!vm->reported.unloaded && vm->reported.replica.len
      && !str_eq (vm->reported.replica, name))
    {
      /* A delayed order made the VM load another replica's weights: unload
         these first. */
      out->order = REP_UNLOAD;
      out->replica = vm->reported.replica;
      out->generation = vm->reported.generation;
      return true;
    }
  out->order = REP_LOAD;
  out->rank
      = rank_of (e, joining ? str_from (e->joining.replaces) : vm->cfg->name);
  return joining || p->has_slot;
}

static bool
next_order_for (const struct rep *r, clk_ms now, const struct rep_vm *vm,
                struct order *out)
{
  const struct asn_entry *e = asn_holder (&r->assignment, vm->cfg->name);
  const struct rep_replica *p;

  if (!e)
    return unload_unassigned (r, now, vm, out);
  p = rep_replica_find (r, e->name);
  if (p->cfg && !p->managed)
    return false;
  return order_for_member (vm, p, e, out);
}

static void
send_order (struct rep *r, clk_ms now, struct rep_vm *vm,
            const struct order *o)
{
  struct rep_action *a = rep_push (r, REP_SEND_ORDER);

  vm->order_token = ++r->last_token;
  vm->next_order = now + REP_CALL_TIMEOUT_MS;
  a->token = vm->order_token;
  a->vm = vm->cfg;
  a->order = o->order;
  a->model = o->model;
  a->replica = o->replica;
  a->generation = o->generation;
  a->rank = o->rank;
  a->world = o->world;
  a->fence = r->fence;
}

/* Orders are repeated until the VM reports the ordered state, as the response
   to an order only confirms its receipt. */
void
ord_tick (struct rep *r, clk_ms now)
{
  struct order o;

  if (!r->owner || !r->assignment_fresh || now < r->settle_until)
    return;
  for (size_t i = 0; i < r->nvms; i++)
    {
      struct rep_vm *vm = &r->vms[i];

      if (now >= vm->next_order && evd_present (vm, now)
          && next_order_for (r, now, vm, &o))
        send_order (r, now, vm, &o);
    }
}

void
ord_on_response (struct rep *r, clk_ms now, struct rep_vm *vm, uint64_t token,
                 bool ok)
{
  if (!token || token != vm->order_token)
    return;
  vm->order_token = 0;
  vm->next_order = now + (ok ? REP_ORDER_RETRY_MS : REP_ORDER_RETRY_MS / 2);
}
