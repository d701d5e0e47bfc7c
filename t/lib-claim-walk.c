#include "t/lib-claim-walk.h"

#include <string.h>

static uint64_t
below (struct cwk_walk *k, uint64_t n)
{
  return rng_below (&k->rng, n);
}

/* All keys are of one shard, so that they meet in one head. */
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
ask_of (const struct cwk_req *q, enum clm_kind kind)
{
  struct clm_request a = { .id = q->ask, .kind = kind };

  key_bytes (q->key, a.key);
  memcpy (a.attempt, &q->no, sizeof q->no);
  a.fingerprint[0] = (uint8_t)q->key;
  return a;
}

static struct cwk_req *
req_of (struct cwk_walk *k, uint64_t ask)
{
  for (size_t i = 0; i < CWK_REQUESTS; i++)
    if (k->reqs[i].state != REQ_FREE && k->reqs[i].ask == ask)
      return &k->reqs[i];
  return NULL;
}

static void
post (struct cwk_walk *k, const struct cwk_message *m)
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
core_ask (struct cwk_walk *k, int home, struct clm_request a)
{
  clm_request (k->w.homes[home], k->w.now, &a);
  cw_drain (&k->w, home);
}

/* The asker's release: to its own core, which keeps it until it is written. */
static void
release (struct cwk_walk *k, const struct cwk_req *q)
{
  struct clm_request a = ask_of (q, CLM_RELEASE);

  a.id = 0;
  core_ask (k, q->gateway, a);
}

static void
do_asker (struct cwk_walk *k, struct cwk_req *q,
          enum clm_requester_action what, enum clm_verdict verdict)
{
  struct clm_request a;
  int target;

  switch (what)
    {
    case CLM_REQUESTER_NONE:
      return;
    case CLM_REQUESTER_SEND:
      a = ask_of (q, CLM_ACQUIRE);
      target = q->targets[q->asker.ntried - 1];
      a.wait_ms = q->asker.deadline - k->w.now;
      a.final
          = q->asker.ntargets == 1 || k->fault == CWK_FAULT_HOME_RELEASES
            || (k->fault == CWK_FAULT_OWN_RELEASES && target == q->gateway);
      if (target == q->gateway)
        core_ask (k, target, a);
      else
        post (k, &(struct cwk_message){
                     .from = q->gateway, .to = target, .ask = a });
      return;
    case CLM_REQUESTER_REPLY:
      q->state = verdict == CLM_GRANTED ? REQ_GRANTED : REQ_OVER;
      q->granted = k->w.now;
      k->refused += verdict != CLM_GRANTED;
      return;
    case CLM_REQUESTER_REPLY_AND_RELEASE:
      q->state = REQ_OVER;
      k->refused++;
      release (k, q);
      return;
    case CLM_REQUESTER_GIVE_UP_AND_RELEASE:
      q->state = REQ_OVER;
      k->given_up++;
      release (k, q);
      return;
    case CLM_REQUESTER_GIVE_UP:
      q->state = REQ_OVER;
      k->given_up++;
      return;
    case CLM_REQUESTER_RELEASE:
      release (k, q);
    }
}

static void
answer_req (struct cwk_walk *k, uint64_t no, enum clm_verdict verdict)
{
  struct cwk_req *q = req_of (k, no);

  if (q && k->fault == CWK_FAULT_FORGETS_GRANT)
    q->asker.granted = false;
  if (q)
    do_asker (k, q, clm_requester_on_verdict (&q->asker, k->w.now, verdict),
              verdict);
}

/* A core's reply goes to the gateway whose request it was. */
static void
on_reply (void *ctx, int home, const struct clm_reply *r)
{
  struct cwk_walk *k = ctx;
  struct cwk_req *q = req_of (k, r->id);

  if (!q || r->verdict == CLM_ACKNOWLEDGED)
    return;
  post (k, &(struct cwk_message){ .is_answer = true,
                                  .from = home,
                                  .to = q->gateway,
                                  .ask = { .id = r->id },
                                  .verdict = r->verdict });
}

/* Steps of the walk. */

static bool
start_request (struct cwk_walk *k)
{
  struct cwk_req *q = &k->reqs[below (k, CWK_REQUESTS)];
  int n = 0;

  if (q->state == REQ_ASKING || q->state == REQ_GRANTED)
    return false;
  *q = (struct cwk_req){ .state = REQ_ASKING, .no = ++k->last_req };
  q->gateway = (int)below (k, CW_HOMES);
  if (k->frozen[q->gateway])
    {
      q->state = REQ_FREE;
      return false;
    }
  q->key = (int)below (k, CWK_KEYS);
  q->ask = ++k->last_ask;
  /* Views differ: any order of homes, ending with the own one. */
  for (int h = (int)below (k, CW_HOMES); n < CLM_MAX_TARGETS; h++)
    {
      q->targets[n++] = h % CW_HOMES;
      if (h % CW_HOMES == q->gateway)
        break;
    }
  do_asker (k, q,
            clm_requester_start (&q->asker, k->w.now, 500 + below (k, 3000),
                                 (unsigned)n),
            CLM_UNAVAILABLE);
  return true;
}

/* A grant has run out: the request core asks again for the same attempt. */
static void
ask_again (struct cwk_walk *k, struct cwk_req *q)
{
  unsigned n = q->asker.ntargets;

  q->state = REQ_ASKING;
  q->ask = ++k->last_ask;
  do_asker (k, q,
            clm_requester_start (&q->asker, k->w.now, CLM_MAX_WAIT_MS, n),
            CLM_UNAVAILABLE);
}

static void
send_one (struct cwk_walk *k, struct cwk_req *q)
{
  clk_ms now = k->w.now;

  if (k->fault != CWK_FAULT_NO_GRANT_CHECK
      && !clm_grant_valid (q->granted, now))
    {
      k->stale++;
      ask_again (k, q);
      return;
    }
  if (k->sends && now - k->last_send[q->key] < CWK_WINDOW)
    k->violation = "a key was sent twice within the window";
  k->last_send[q->key] = now;
  k->sends++;
  q->state = REQ_OVER;
}

static struct cwk_req *
any_granted (struct cwk_walk *k)
{
  size_t from = below (k, CWK_REQUESTS);

  for (size_t i = 0; i < CWK_REQUESTS; i++)
    {
      struct cwk_req *q = &k->reqs[(from + i) % CWK_REQUESTS];
      if (q->state == REQ_GRANTED && !k->frozen[q->gateway])
        return q;
    }
  return NULL;
}

static bool
use_grant (struct cwk_walk *k)
{
  struct cwk_req *q = any_granted (k);

  if (!q)
    return false;
  if (below (k, 2))
    {
      send_one (k, q);
      return true;
    }
  q->state = REQ_OVER;
  k->released++;
  release (k, q);
  return true;
}

static struct cw_call *
any_call (struct cwk_walk *k)
{
  size_t from = below (k, CW_CALLS);

  for (size_t i = 0; i < CW_CALLS; i++)
    {
      struct cw_call *c = &k->w.calls[(from + i) % CW_CALLS];
      if (c->used)
        return c;
    }
  return NULL;
}

static void
lose_answer (struct cwk_walk *k, struct cw_call *c)
{
  enum store_status lost
      = c->kind == CLM_ACT_TXN ? STORE_UNCERTAIN : STORE_UNAVAILABLE;

  if (lost == STORE_UNCERTAIN && k->fault == CWK_FAULT_LOST_AS_APPLIED)
    {
      int home = c->home;
      struct store_result ok = { .revision = k->w.kv.revision };
      c->answered = true;
      clm_on_store_response (k->w.homes[home], k->w.now, c->token, &ok);
      cw_drain (&k->w, home);
      return;
    }
  cw_answer (&k->w, c, lost);
}

static bool
store_step (struct cwk_walk *k)
{
  struct cw_call *c = any_call (k);
  unsigned what = (unsigned)below (k, 16);

  if (!c)
    return false;
  if (c->answered)
    {
      /* Told uncertain: lands now, later or never. */
      if (what < 4)
        cw_apply (&k->w, c);
      else if (what == 4)
        cw_forget (c);
      return what <= 4;
    }
  if (what < 3)
    {
      cw_apply (&k->w, c);
      return true;
    }
  if (k->frozen[c->home] || (k->slow[c->home] && below (k, 16)))
    return false;
  if (what == 3)
    lose_answer (k, c);
  else if (what == 4 && !c->applied)
    cw_answer (&k->w, c, STORE_UNAVAILABLE);
  else if (what == 5 && !c->applied)
    cw_answer (&k->w, c, STORE_OVER_BUDGET);
  else
    {
      cw_apply (&k->w, c);
      cw_answer (&k->w, c, STORE_OK);
    }
  return true;
}

static size_t
any_message (struct cwk_walk *k)
{
  size_t at = below (k, CWK_MESSAGES);

  for (size_t i = 0; i < CWK_MESSAGES && !k->messages[at].used; i++)
    at = (at + 1) % CWK_MESSAGES;
  return at;
}

static bool
message_step (struct cwk_walk *k)
{
  size_t at = any_message (k);
  struct cwk_message m = k->messages[at];

  if (!m.used || k->frozen[m.to])
    return false;
  k->messages[at].used = below (k, 40) == 0; /* some arrive twice */
  if (below (k, 12) == 0)
    return true;
  if (m.is_answer)
    answer_req (k, m.ask.id, m.verdict);
  else
    core_ask (k, m.to, m.ask);
  return true;
}

static void
tick_all (struct cwk_walk *k)
{
  for (int h = 0; h < CW_HOMES; h++)
    if (!k->frozen[h])
      {
        clm_tick (k->w.homes[h], k->w.now);
        cw_drain (&k->w, h);
      }
  for (size_t i = 0; i < CWK_REQUESTS; i++)
    {
      struct cwk_req *q = &k->reqs[i];
      if (q->state == REQ_ASKING && !k->frozen[q->gateway])
        do_asker (k, q, clm_requester_tick (&q->asker, k->w.now),
                  CLM_UNAVAILABLE);
    }
}

static void
time_step (struct cwk_walk *k)
{
  uint64_t how = below (k, 512);

  if (how == 0)
    k->w.now += (clk_ms)below (k, 2 * CWK_WINDOW);
  else if (how < 10)
    k->w.now += (clk_ms)below (k, 4000);
  else
    k->w.now += (clk_ms)below (k, 30);
  tick_all (k);
}

static void
restart (struct cwk_walk *k, int home)
{
  k->opt.boot = ++k->boots;
  cw_restart (&k->w, home, &k->opt, k->boots);
  for (size_t i = 0; i < CWK_REQUESTS; i++)
    if (k->reqs[i].gateway == home)
      k->reqs[i].state = REQ_FREE;
}

static void
fault_step (struct cwk_walk *k)
{
  int home = (int)below (k, CW_HOMES);
  uint64_t what = below (k, 64);

  if (k->frozen[home])
    k->frozen[home] = what > 24;
  else if (what == 0)
    restart (k, home);
  else if (what < 16)
    k->frozen[home] = true;
  else
    k->slow[home] = what < 40;
}

/** Returns whether anything could happen. */
static bool
one_step (struct cwk_walk *k)
{
  uint64_t what = below (k, 100);

  if (what < 14)
    return start_request (k);
  if (what < 50)
    return store_step (k);
  if (what < 72)
    return message_step (k);
  if (what < 82)
    return use_grant (k);
  if (what < 98)
    time_step (k);
  else
    fault_step (k);
  return true;
}

uint64_t
cwk_walk (struct cwk_walk *k, uint64_t seed, uint64_t steps,
          enum cwk_fault fault)
{
  uint64_t done = 0;

  memset (k, 0, sizeof *k);
  rng_seed (&k->rng, seed);
  k->fault = fault;
  k->boots = 1;
  k->opt = (struct clm_options){ .prefix = STR ("/w/"),
                                 .window = CWK_WINDOW,
                                 .max_response_bytes = 1000,
                                 .boot = 1,
                                 .gap_ms = 10 };
  for (int i = 0; i < CWK_KEYS; i++)
    k->last_send[i] = -2 * CWK_WINDOW;
  k->w.same_boot = fault == CWK_FAULT_SAME_BOOT;
  cw_init (&k->w, CW_HOMES, &k->opt, seed);
  k->w.on_reply = on_reply;
  k->w.ctx = k;
  while (done < steps && !k->violation)
    done += one_step (k);
  return done;
}

/** Everything works again: what was held is answered, messages arrive. */
static void
calm (struct cwk_walk *k, clk_ms ms)
{
  clk_ms until = k->w.now + ms;

  memset (k->frozen, 0, sizeof k->frozen);
  memset (k->slow, 0, sizeof k->slow);
  for (; k->w.now < until; k->w.now += 20)
    {
      for (size_t i = 0; i < CW_CALLS; i++)
        if (k->w.calls[i].used)
          {
            cw_apply (&k->w, &k->w.calls[i]);
            if (k->w.calls[i].used)
              cw_answer (&k->w, &k->w.calls[i], STORE_OK);
          }
      for (size_t i = 0; i < CWK_MESSAGES; i++)
        {
          struct cwk_message m = k->messages[i];
          k->messages[i].used = false;
          if (m.used && m.is_answer)
            answer_req (k, m.ask.id, m.verdict);
          else if (m.used)
            core_ask (k, m.to, m.ask);
        }
      tick_all (k);
    }
}

int
cwk_usable_keys (struct cwk_walk *k)
{
  int usable = 0;

  calm (k, 3 * CWK_WINDOW);
  for (int key = 0; key < CWK_KEYS; key++)
    {
      struct cwk_req *q = &k->reqs[key];
      *q = (struct cwk_req){ .state = REQ_ASKING,
                             .no = ++k->last_req,
                             .ask = ++k->last_ask,
                             .key = key,
                             .gateway = key % CW_HOMES };
      q->targets[0] = q->gateway;
      do_asker (k, q, clm_requester_start (&q->asker, k->w.now, 2000, 1),
                CLM_UNAVAILABLE);
      calm (k, 1000);
      usable += q->state == REQ_GRANTED;
    }
  return usable;
}
