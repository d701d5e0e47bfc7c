#include "control/domains.h"

/*
 * Pauses and shutdowns that VMs announce in their responses to state probes
 * and orders.  A VM in a pause gets neither, so its last state expires like
 * that of any VM whose state can't be read: a replica is not used without
 * evidence.  A VM that shuts down counts as leaving although the platform
 * lists it as live, until another process responds at its address.
 */

static void
set_vm_leaving (struct dom *d, struct str vm, bool leaving)
{
  struct rep_event ev = { .kind = REP_VM_LISTED, .vm = vm, .on = !leaving };

  rep_event (d->rep, clk_now (), &ev);
}

static void
log_notice (struct str vm, const struct avl_notice *notice,
            const struct avl_change *change)
{
  if (change->paused)
    LOG (vm_asks_pause, LOG_S ("vm", vm), LOG_I ("ms", notice->retry_after_ms),
         LOG_I ("sent", change->sent));
  if (change->leaving)
    LOG (vm_leaving, LOG_S ("vm", vm));
  if (change->malformed)
    LOG (vm_pause_unreadable, LOG_S ("vm", vm));
}

static void
update_metrics (struct ctl_domains *domains)
{
  struct avl_stats stats = avl_stats (domains->avail, clk_now ());

  met_set (domains->paused, (double)stats.paused);
  met_set (domains->announced_leaving, (double)stats.leaving);
}

void
dom_avail_response (struct dom_call *call, int status,
                    const struct http_header *headers, size_t n)
{
  struct avl *avail = call->dom->domains->avail;
  struct str vm = buf_str (&call->vm);
  struct avl_notice notice;
  struct avl_change change;

  back_answer_notice (status, headers, n, &notice);
  if (!notice.leaving && avl_is_leaving (avail, call->server))
    {
      avl_forget_leaving (avail, call->server);
      set_vm_leaving (call->dom, vm, false);
    }
  if (!notice.leaving && !notice.malformed && !notice.retry_after_ms)
    return;
  change = avl_on_notice (avail, clk_now (), call->server, &notice);
  log_notice (vm, &notice, &change);
  if (change.leaving)
    set_vm_leaving (call->dom, vm, true);
}

bool
dom_avail_may_send (const struct dom_call *call)
{
  struct avl *avail = call->dom->domains->avail;
  clk_ms now;

  if (avl_is_empty (avail))
    return true;
  now = clk_now ();
  if (avl_paused_until (avail, now, call->server))
    return false;
  avl_count_sent (avail, now, call->server);
  return true;
}

bool
dom_avail_is_paused (const struct dom *d, const struct cfg_vm *vm)
{
  const struct avl *avail = d->domains->avail;

  return !avl_is_empty (avail)
         && avl_paused_until (avail, clk_now (), avl_address_key (&vm->addr));
}

bool
dom_avail_is_leaving (const struct ctl_domains *domains, struct str vm)
{
  const struct cfg *cfg = domains->cfg;

  if (!cfg || avl_is_empty (domains->avail))
    return false;
  for (size_t i = 0; i < cfg->nvms; i++)
    if (str_eq (cfg->vms[i].name, vm))
      return avl_is_leaving (domains->avail,
                             avl_address_key (&cfg->vms[i].addr));
  return false;
}

void
dom_avail_tick (struct ctl_domains *domains)
{
  if (!avl_is_empty (domains->avail))
    update_metrics (domains);
}
