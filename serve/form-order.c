#include "serve/form-int.h"

#include <stdlib.h>
#include <string.h>

static struct frm_action *
push_action (struct frm *f, enum frm_action_kind kind, struct frm_vm *vm)
{
  if (f->count == f->cap)
    {
      size_t cap = f->cap ? 2 * f->cap : 64;
      struct frm_action *grown = xmalloc (cap * sizeof *grown);
      for (size_t i = 0; i < f->count; i++)
        grown[i] = f->queue[(f->head + i) % f->cap];
      free (f->queue);
      f->queue = grown;
      f->cap = cap;
      f->head = 0;
    }
  struct frm_action *a = &f->queue[(f->head + f->count) % f->cap];
  f->count++;
  memset (a, 0, sizeof *a);
  a->kind = kind;
  a->token = ++f->tokens;
  a->vm = str_from (vm->id);
  a->addr = vm->entry.addr;
  a->process = vm->process;
  return a;
}

bool
frm_next_action (struct frm *f, struct frm_action *out)
{
  if (f->count == 0)
    return false;
  *out = f->queue[f->head];
  f->head = (f->head + 1) % f->cap;
  f->count--;
  return true;
}

/**
 * Whether the VM accepted this order and the last list was requested too early
 * to show its effect.  With thousands of servers the list is read only every
 * few seconds; if orders were repeated in between, each server would get
 * several for each step.
 */
static bool
is_awaiting_report (const struct frm *f, const struct frm_vm *vm,
                    enum frm_order_kind kind, const struct frm_replica *r)
{
  return vm->accepted_generation == r->generation && vm->accepted_kind == kind
         && f->list_read_at < vm->accepted_at + FRM_REPORT_DELAY_MS;
}

bool
frm_is_paused (const struct frm *f, const struct frm_vm *vm)
{
  return f->opt.avail && avl_paused_until (f->opt.avail, f->now, vm->process);
}

bool
frm_send_order (struct frm *f, struct frm_vm *vm, enum frm_order_kind kind,
                struct frm_replica *r)
{
  struct frm_action *a;

  /* An order to a paused server is sent on a later tick, if it is still needed
     then. */
  if (vm->order_token || f->now < vm->next_order_at || frm_is_paused (f, vm)
      || is_awaiting_report (f, vm, kind, r))
    return false;
  a = push_action (f, FRM_ORDER, vm);
  a->order = kind;
  a->replica = str_from (r->name);
  a->generation = r->generation;
  a->fence = f->fence;
  a->model = str_from (r->model);
  a->force = r->force;
  if (kind == FRM_JOIN)
    {
      struct str *ids = xcalloc (r->nmembers + 1, sizeof *ids);
      for (size_t i = 0; i < r->nmembers; i++)
        ids[i] = str_from (r->members[i]->id);
      a->members = ids; /* freed by the caller of frm_next_action() */
      a->nmembers = r->nmembers;
    }
  vm->order_token = a->token;
  vm->order_kind = kind;
  vm->next_order_at = f->now + FRM_RESEND_MS;
  f->stats.orders++;
  return true;
}

void
frm_send_preload (struct frm *f, struct frm_vm *vm, struct str model)
{
  struct frm_action *a = push_action (f, FRM_ORDER, vm);

  a->order = FRM_PRELOAD;
  a->fence = f->fence;
  a->model = model;
  vm->order_token = a->token;
  vm->order_kind = FRM_PRELOAD;
  f->stats.orders++;
}

void
frm_probe (struct frm *f, struct frm_vm *vm)
{
  if (vm->probe_token || f->now < vm->next_probe_at)
    return;
  vm->probe_token = push_action (f, FRM_PROBE, vm)->token;
}

bool
frm_has_weights_in_memory (const struct frm_vm *vm, struct str model)
{
  if (str_eq (frm_loaded_model (vm), model))
    return true;
  for (size_t i = 0; i < vm->entry.npreloaded; i++)
    if (str_eq (vm->entry.preloaded[i], model))
      return true;
  return false;
}

bool
frm_may_load (const struct frm *f, const struct tbl_service *s, unsigned n)
{
  double limit = s->loads_per_s * f->opt.ceiling_window_s * FRM_LOADS_SHARE;
  clk_ms from
      = f->now - (clk_ms)(f->opt.ceiling_window_s * (double)CLK_SECOND);
  double recent = n;

  if (!f->had_traffic || s->loads_per_s <= 0)
    return true;
  for (size_t i = 0; i < f->nloads && i < FRM_LOAD_RING; i++)
    recent += f->load_times[i] > from;
  /*
   * A replica that alone needs more loads than the limit must be able to
   * start.
   */
  return recent <= limit || (recent == n && n <= 2 * limit);
}

void
frm_record_loads (struct frm *f, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    f->load_times[f->nloads++ % FRM_LOAD_RING] = f->now;
  f->stats.loads += n;
}
