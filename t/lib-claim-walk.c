#include "t/lib-claim-walk.h"

#include <string.h>

static uint64_t
random_below (struct cwk_run *k, uint64_t n)
{
  return rng_below (&k->rng, n);
}

/* All keys are in one shard, so that they share one head. */
static void
key_bytes (int key, uint8_t out[16])
{
  int seen = -1;

  memset (out, 0, 16);
  for (uint8_t i = 0; seen < key; i++)
    {
      out[0] = i;
      seen += clm_shard (out) == 0;
    }
}

static struct clm_request
make_request (const struct cwk_req *q, enum clm_kind kind)
{
  struct clm_request a = { .id = q->request_id, .kind = kind };

  key_bytes (q->key, a.key);
  memcpy (a.attempt, &q->attempt, sizeof q->attempt);
  a.fingerprint[0] = (uint8_t)q->key;
  return a;
}

static struct cwk_req *
find_req (struct cwk_run *k, uint64_t request_id)
{
  for (size_t i = 0; i < CWK_REQUESTS; i++)
    if (k->reqs[i].state != REQ_FREE && k->reqs[i].request_id == request_id)
      return &k->reqs[i];
  return NULL;
}

static void
post_message (struct cwk_run *k, const struct cwk_message *m)
{
  for (size_t i = 0; i < CWK_MESSAGES; i++)
    if (!k->messages[i].used)
      {
        k->messages[i] = *m;
        k->messages[i].used = true;
        return;
      }
}

static void
core_request (struct cwk_run *k, int home, struct clm_request a)
{
  clm_request (k->w.homes[home], k->w.now, &a);
  cw_fetch_actions (&k->w, home);
}

/* The requester releases through its own core, which keeps the release until
   it is written. */
static void
release (struct cwk_run *k, const struct cwk_req *q)
{
  struct clm_request a = make_request (q, CLM_RELEASE);

  a.id = 0;
  core_request (k, q->gateway, a);
}

static void
run_action (struct cwk_run *k, struct cwk_req *q,
            enum clm_requester_action what, enum clm_verdict verdict)
{
  struct clm_request a;
  int target;

  switch (what)
    {
    case CLM_REQUESTER_NONE:
      return;
    case CLM_REQUESTER_SEND:
      a = make_request (q, CLM_ACQUIRE);
      target = q->targets[q->requester.ntried - 1];
      a.wait_ms = q->requester.deadline - k->w.now;
      a.final = q->requester.ntargets == 1
                || k->fault == CWK_FAULT_HOME_RELEASES
                || (k->fault == CWK_FAULT_LOCAL_CORE_RELEASES
                    && target == q->gateway);
      if (target == q->gateway)
        core_request (k, target, a);
      else
        post_message (k, &(struct cwk_message){
                             .from = q->gateway, .to = target, .request = a });
      return;
    case CLM_REQUESTER_REPLY:
      q->state = verdict == CLM_GRANTED ? REQ_GRANTED : REQ_DONE;
      q->granted = k->w.now;
      k->refused += verdict != CLM_GRANTED;
      return;
    case CLM_REQUESTER_REPLY_AND_RELEASE:
      q->state = REQ_DONE;
      k->refused++;
      release (k, q);
      return;
    case CLM_REQUESTER_GIVE_UP_AND_RELEASE:
      q->state = REQ_DONE;
      k->given_up++;
      release (k, q);
      return;
    case CLM_REQUESTER_GIVE_UP:
      q->state = REQ_DONE;
      k->given_up++;
      return;
    case CLM_REQUESTER_RELEASE:
      release (k, q);
    }
}

static void
deliver_verdict (struct cwk_run *k, uint64_t request_id,
                 enum clm_verdict verdict)
{
  struct cwk_req *q = find_req (k, request_id);

  if (q && k->fault == CWK_FAULT_RELEASES_GRANT)
    q->requester.granted = false;
  if (q)
    run_action (k, q,
                clm_requester_on_verdict (&q->requester, k->w.now, verdict),
                verdict);
}

/* Send a core's reply to the gateway of the request. */
static void
on_reply (void *ctx, int home, const struct clm_reply *r)
{
  struct cwk_run *k = ctx;
  struct cwk_req *q = find_req (k, r->id);

  if (!q || r->verdict == CLM_ACKNOWLEDGED)
    return;
  post_message (k, &(struct cwk_message){ .is_response = true,
                                          .from = home,
                                          .to = q->gateway,
                                          .request = { .id = r->id },
                                          .verdict = r->verdict });
}

/* Steps of the randomized test. */

static bool
start_request (struct cwk_run *k)
{
  struct cwk_req *q = &k->reqs[random_below (k, CWK_REQUESTS)];
  int n = 0;

  if (q->state == REQ_PENDING || q->state == REQ_GRANTED)
    return false;
  *q = (struct cwk_req){ .state = REQ_PENDING, .attempt = ++k->last_attempt };
  q->gateway = (int)random_below (k, CW_HOMES);
  if (k->suspended[q->gateway])
    {
      q->state = REQ_FREE;
      return false;
    }
  q->key = (int)random_below (k, CWK_KEYS);
  q->request_id = ++k->last_request_id;
  /* Nodes may disagree on the home: any order of homes, ending with the local
     one. */
  for (int h = (int)random_below (k, CW_HOMES); n < CLM_MAX_TARGETS; h++)
    {
      q->targets[n++] = h % CW_HOMES;
      if (h % CW_HOMES == q->gateway)
        break;
    }
  run_action (k, q,
              clm_requester_start (&q->requester, k->w.now,
                                   500 + random_below (k, 3000), (unsigned)n),
              CLM_UNAVAILABLE);
  return true;
}

/* The grant has expired: request again for the same attempt. */
static void
request_again (struct cwk_run *k, struct cwk_req *q)
{
  unsigned n = q->requester.ntargets;

  q->state = REQ_PENDING;
  q->request_id = ++k->last_request_id;
  run_action (
      k, q, clm_requester_start (&q->requester, k->w.now, CLM_MAX_WAIT_MS, n),
      CLM_UNAVAILABLE);
}

static void
send_call (struct cwk_run *k, struct cwk_req *q)
{
  clk_ms now = k->w.now;

  if (k->fault != CWK_FAULT_NO_GRANT_CHECK
      && !clm_grant_valid (q->granted, now))
    {
      k->expired_grants++;
      request_again (k, q);
      return;
    }
  if (k->sends && now - k->last_send[q->key] < CWK_WINDOW)
    k->violation = "a key was sent twice within the window";
  k->last_send[q->key] = now;
  k->sends++;
  q->state = REQ_DONE;
}

static struct cwk_req *
random_granted (struct cwk_run *k)
{
  size_t from = random_below (k, CWK_REQUESTS);

  for (size_t i = 0; i < CWK_REQUESTS; i++)
    {
      struct cwk_req *q = &k->reqs[(from + i) % CWK_REQUESTS];
      if (q->state == REQ_GRANTED && !k->suspended[q->gateway])
        return q;
    }
  return NULL;
}

static bool
use_random_grant (struct cwk_run *k)
{
  struct cwk_req *q = random_granted (k);

  if (!q)
    return false;
  if (random_below (k, 2))
    {
      send_call (k, q);
      return true;
    }
  q->state = REQ_DONE;
  k->released++;
  release (k, q);
  return true;
}

static struct cw_call *
random_call (struct cwk_run *k)
{
  size_t from = random_below (k, CW_CALLS);

  for (size_t i = 0; i < CW_CALLS; i++)
    {
      struct cw_call *c = &k->w.calls[(from + i) % CW_CALLS];
      if (c->used)
        return c;
    }
  return NULL;
}

static void
lose_response (struct cwk_run *k, struct cw_call *c)
{
  enum store_status lost
      = c->kind == CLM_ACT_TXN ? STORE_UNCERTAIN : STORE_UNAVAILABLE;

  if (lost == STORE_UNCERTAIN && k->fault == CWK_FAULT_LOST_AS_APPLIED)
    {
      int home = c->home;
      struct store_result ok = { .revision = k->w.kv.revision };
      c->responded = true;
      clm_on_store_response (k->w.homes[home], k->w.now, c->token, &ok);
      cw_fetch_actions (&k->w, home);
      return;
    }
  cw_respond (&k->w, c, lost);
}

static bool
store_step (struct cwk_run *k)
{
  struct cw_call *c = random_call (k);
  unsigned what = (unsigned)random_below (k, 16);

  if (!c)
    return false;
  if (c->responded)
    {
      /* Reported as uncertain: applied now, later or never. */
      if (what < 4)
        cw_apply (&k->w, c);
      else if (what == 4)
        cw_drop_call (c);
      return what <= 4;
    }
  if (what < 3)
    {
      cw_apply (&k->w, c);
      return true;
    }
  if (k->suspended[c->home] || (k->slow[c->home] && random_below (k, 16)))
    return false;
  if (what == 3)
    lose_response (k, c);
  else if (what == 4 && !c->applied)
    cw_respond (&k->w, c, STORE_UNAVAILABLE);
  else if (what == 5 && !c->applied)
    cw_respond (&k->w, c, STORE_OVER_BUDGET);
  else
    {
      cw_apply (&k->w, c);
      cw_respond (&k->w, c, STORE_OK);
    }
  return true;
}

static size_t
random_message (struct cwk_run *k)
{
  size_t at = random_below (k, CWK_MESSAGES);

  for (size_t i = 0; i < CWK_MESSAGES && !k->messages[at].used; i++)
    at = (at + 1) % CWK_MESSAGES;
  return at;
}

static bool
message_step (struct cwk_run *k)
{
  size_t at = random_message (k);
  struct cwk_message m = k->messages[at];

  if (!m.used || k->suspended[m.to])
    return false;
  k->messages[at].used = random_below (k, 40) == 0; /* some arrive twice */
  if (random_below (k, 12) == 0)
    return true;
  if (m.is_response)
    deliver_verdict (k, m.request.id, m.verdict);
  else
    core_request (k, m.to, m.request);
  return true;
}

static void
tick_all (struct cwk_run *k)
{
  for (int h = 0; h < CW_HOMES; h++)
    if (!k->suspended[h])
      {
        clm_tick (k->w.homes[h], k->w.now);
        cw_fetch_actions (&k->w, h);
      }
  for (size_t i = 0; i < CWK_REQUESTS; i++)
    {
      struct cwk_req *q = &k->reqs[i];
      if (q->state == REQ_PENDING && !k->suspended[q->gateway])
        run_action (k, q, clm_requester_tick (&q->requester, k->w.now),
                    CLM_UNAVAILABLE);
    }
}

static void
time_step (struct cwk_run *k)
{
  uint64_t how = random_below (k, 512);

  if (how == 0)
    k->w.now += (clk_ms)random_below (k, 2 * CWK_WINDOW);
  else if (how < 10)
    k->w.now += (clk_ms)random_below (k, 4000);
  else
    k->w.now += (clk_ms)random_below (k, 30);
  tick_all (k);
}

static void
restart (struct cwk_run *k, int home)
{
  k->opt.boot = ++k->last_boot;
  cw_restart (&k->w, home, &k->opt, k->last_boot);
  for (size_t i = 0; i < CWK_REQUESTS; i++)
    if (k->reqs[i].gateway == home)
      k->reqs[i].state = REQ_FREE;
}

static void
fault_step (struct cwk_run *k)
{
  int home = (int)random_below (k, CW_HOMES);
  uint64_t what = random_below (k, 64);

  if (k->suspended[home])
    k->suspended[home] = what > 24;
  else if (what == 0)
    restart (k, home);
  else if (what < 16)
    k->suspended[home] = true;
  else
    k->slow[home] = what < 40;
}

/** Returns whether a step was possible. */
static bool
one_step (struct cwk_run *k)
{
  uint64_t what = random_below (k, 100);

  if (what < 14)
    return start_request (k);
  if (what < 50)
    return store_step (k);
  if (what < 72)
    return message_step (k);
  if (what < 82)
    return use_random_grant (k);
  if (what < 98)
    time_step (k);
  else
    fault_step (k);
  return true;
}

uint64_t
cwk_run (struct cwk_run *k, uint64_t seed, uint64_t steps,
         enum cwk_fault fault)
{
  uint64_t done = 0;

  memset (k, 0, sizeof *k);
  rng_seed (&k->rng, seed);
  k->fault = fault;
  k->last_boot = 1;
  k->opt = (struct clm_options){ .prefix = STR ("/w/"),
                                 .window = CWK_WINDOW,
                                 .max_response_bytes = 1000,
                                 .boot = 1,
                                 .gap_ms = 10 };
  for (int i = 0; i < CWK_KEYS; i++)
    k->last_send[i] = -2 * CWK_WINDOW;
  k->w.same_boot = fault == CWK_FAULT_SHARED_BOOT;
  cw_init (&k->w, CW_HOMES, &k->opt, seed);
  k->w.on_reply = on_reply;
  k->w.ctx = k;
  while (done < steps && !k->violation)
    done += one_step (k);
  return done;
}

/** End all faults: respond to pending calls and deliver all messages. */
static void
end_faults (struct cwk_run *k, clk_ms ms)
{
  clk_ms until = k->w.now + ms;

  memset (k->suspended, 0, sizeof k->suspended);
  memset (k->slow, 0, sizeof k->slow);
  for (; k->w.now < until; k->w.now += 20)
    {
      for (size_t i = 0; i < CW_CALLS; i++)
        if (k->w.calls[i].used)
          {
            cw_apply (&k->w, &k->w.calls[i]);
            if (k->w.calls[i].used)
              cw_respond (&k->w, &k->w.calls[i], STORE_OK);
          }
      for (size_t i = 0; i < CWK_MESSAGES; i++)
        {
          struct cwk_message m = k->messages[i];
          k->messages[i].used = false;
          if (m.used && m.is_response)
            deliver_verdict (k, m.request.id, m.verdict);
          else if (m.used)
            core_request (k, m.to, m.request);
        }
      tick_all (k);
    }
}

int
cwk_usable_keys (struct cwk_run *k)
{
  int usable = 0;

  end_faults (k, 3 * CWK_WINDOW);
  for (int key = 0; key < CWK_KEYS; key++)
    {
      struct cwk_req *q = &k->reqs[key];
      *q = (struct cwk_req){ .state = REQ_PENDING,
                             .attempt = ++k->last_attempt,
                             .request_id = ++k->last_request_id,
                             .key = key,
                             .gateway = key % CW_HOMES };
      q->targets[0] = q->gateway;
      run_action (k, q, clm_requester_start (&q->requester, k->w.now, 2000, 1),
                  CLM_UNAVAILABLE);
      end_faults (k, 1000);
      usable += q->state == REQ_GRANTED;
    }
  return usable;
}
