#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib-route.h"
#include "route/slots.h"

/*
 * Script interpreter for a model's home. Input lines are "TIME VERB ARGS...";
 * the log contains the actions of each line. Replicas have two slots.
 *
 *   replicas NAME[=LOAD]...     ask GATEWAY ID ACCOUNT [COST [DEADLINE]]
 *   once ...                    like ask, for a non-idempotent request
 *   warm GATEWAY ID PREFIX      like ask, with a prefix
 *   taken GATEWAY ID REPLICA    done GATEWAY ID       gone GATEWAY
 *   fail GATEWAY ID             like done, after a failure of the replica
 *   open GATEWAY [ID=REPLICA]...                      tick
 */

#define CONFIG                                                                \
  "{\"models\":{\"lm\":{\"mode\":\"route\",\"vms\":1,\"capacity\":2}},"       \
  "\"limits\":{\"max_queue\":3,\"queue_ms\":30000},\"accounts\":{"            \
  "\"big\":{" KEY_DIGESTS ",\"may\":[\"*\"]},"                                \
  "\"small\":{\"key_digests\":[],\"may\":[\"*\"]}}}"

#define MAX_WORDS 16

struct home
{
  struct slt *core;
  struct buf log;
  clk_ms now;
};

static void
log_actions (struct home *h)
{
  struct slt_action a;
  while (slt_next (h->core, &a))
    {
      unsigned long long id = a.id;
      if (a.reply == RT_SLOT_GRANTED)
        buf_addf (&h->log, " grant(%u/%llu %.*s)", a.gateway, id,
                  STR_ARG (a.replica));
      else if (a.reply == RT_SLOT_QUEUED)
        buf_addf (&h->log, " queued(%u/%llu)", a.gateway, id);
      else
        buf_addf (&h->log, " refuse(%u/%llu %s)", a.gateway, id,
                  rt_code_name (a.code));
    }
}

static void
replicas (struct home *h, char **w, size_t n)
{
  struct rt_replica list[MAX_WORDS] = { 0 };
  for (size_t i = 0; i < n; i++)
    {
      const char *load = strchr (w[i], '=');
      list[i] = (struct rt_replica){
        .name = str_make (w[i], strcspn (w[i], "=")),
        .model = STR ("lm"),
        .generation = 1,
        .whole = true,
        .valid_until = 1000000,
        .load = load ? (uint32_t)atoi (load + 1) : 0,
        .load_at = load ? h->now : 0,
      };
    }
  struct slt_event ev = { .kind = SLT_EV_REPLICAS, .replicas = list, .n = n };
  slt_event (h->core, h->now, &ev);
}

static void
open_list (struct home *h, uint32_t gateway, char **w, size_t n)
{
  struct rt_slot list[MAX_WORDS] = { 0 };
  for (size_t i = 0; i < n; i++)
    list[i] = (struct rt_slot){ (uint64_t)atoll (w[i]),
                                str_from (strchr (w[i], '=') + 1), 100 };
  struct slt_event ev = {
    .kind = SLT_EV_HELD, .gateway = gateway, .held_slots = list, .n = n
  };
  slt_event (h->core, h->now, &ev);
}

static void
one_request (struct home *h, char **w, size_t n)
{
  struct slt_event ev = { .gateway = n > 1 ? (uint32_t)atoi (w[1]) : 0,
                          .id = n > 2 ? (uint64_t)atoll (w[2]) : 0,
                          .cost = 100 };
  bool ask = strcmp (w[0], "ask") == 0 || strcmp (w[0], "once") == 0;
  if (ask && n > 4)
    ev.cost = atof (w[4]);
  if (ask && n > 5)
    ev.deadline = atoll (w[5]);
  ev.kind = SLT_EV_ASK;
  ev.idempotent = strcmp (w[0], "once") != 0;
  ev.account = ask ? str_from (w[3]) : STR ("big");
  if (strcmp (w[0], "warm") == 0)
    ev.prefix = (uint64_t)atoll (w[3]);
  else if (strcmp (w[0], "taken") == 0)
    {
      ev.kind = SLT_EV_TAKEN;
      ev.replica = str_from (w[3]);
    }
  else if (strcmp (w[0], "fail") == 0)
    {
      ev.kind = SLT_EV_DONE;
      ev.failed = true;
    }
  else if (strcmp (w[0], "done") == 0)
    {
      ev.kind = SLT_EV_DONE;
      ev.first_ms = 50;
    }
  else if (strcmp (w[0], "gone") == 0)
    ev.kind = SLT_EV_GATEWAY_LOST;
  else if (strcmp (w[0], "tick") == 0)
    ev.kind = SLT_EV_TICK;
  slt_event (h->core, h->now, &ev);
}

static void
run_line (struct home *h, char *line)
{
  char *w[MAX_WORDS] = { NULL }, *save = NULL;
  size_t n = 0;
  for (char *x = strtok_r (line, " ", &save); x && n < MAX_WORDS;
       x = strtok_r (NULL, " ", &save))
    w[n++] = x;
  h->now = atoll (w[0]);
  buf_addf (&h->log, "%s %s%s%s:", w[0], w[1], n > 2 ? " " : "",
            n > 2 ? w[2] : "");
  if (strcmp (w[1], "replicas") == 0)
    replicas (h, w + 2, n - 2);
  else if (strcmp (w[1], "open") == 0)
    open_list (h, (uint32_t)atoi (w[2]), w + 3, n - 3);
  else
    one_request (h, w + 1, n - 1);
  log_actions (h);
  buf_addf (&h->log, " [%zu]\n", slt_occupied_slots (h->core));
}

/** The number in brackets is the number of occupied slots after the line. */
static void
check (const char *script, const char *log)
{
  struct fnd_list findings = { 0 };
  struct cfg *cfg = cfg_parse (STR (CONFIG), 1, &findings);
  struct home h = { .core = slt_new (STR ("lm"), 0) };
  struct slt_event ev = { .kind = SLT_EV_CONFIG, .cfg = cfg };
  char *text = xstrdup (script), *save = NULL;

  cr_assert (cfg);
  slt_event (h.core, 0, &ev);
  for (char *l = strtok_r (text, "\n", &save); l;
       l = strtok_r (NULL, "\n", &save))
    run_line (&h, l);
  cr_expect_str_eq (buf_c (&h.log), log);
  slt_free (h.core);
  buf_free (&h.log);
  cfg_unref (cfg);
  fnd_free (&findings);
  free (text);
}

Test (slots, exact_across_gateways)
{
  /* Four gateways share four slots. The fifth request waits until a
     request of any gateway ends, and gets its slot. */
  check ("1 replicas r1 r2\n300 ask 1 1 big\n301 ask 2 1 big\n"
         "302 ask 3 1 big\n303 ask 4 1 big\n304 ask 1 2 big\n"
         "400 done 3 1\n",
         "1 replicas r1: [0]\n"
         "300 ask 1: grant(1/1 r1) [1]\n301 ask 2: grant(2/1 r2) [2]\n"
         "302 ask 3: grant(3/1 r1) [3]\n303 ask 4: grant(4/1 r2) [4]\n"
         "304 ask 1: queued(1/2) [4]\n"
         "400 done 3: grant(1/2 r1) [4]\n");
}

Test (slots, prefix_and_fairness)
{
  /* An idle server with the prefix is preferred. Queued requests are granted
     by fair shares: the small account's request overtakes those of the busy
     account at another gateway, and a full queue drops the newest of these. */
  check ("1 replicas r1 r2\n300 warm 1 1 7\n900 done 1 1\n"
         "1700 warm 2 3 7\n"
         "1701 taken 2 4 r1\n1701 taken 2 5 r2\n1701 taken 2 6 r2\n"
         "1702 ask 1 10 big 512\n1703 ask 1 11 big 512\n"
         "1704 ask 1 12 big 512\n1705 ask 2 20 small 512\n1800 done 2 4\n"
         "1801 done 2 5\n",
         "1 replicas r1: [0]\n300 warm 1: grant(1/1 r1) [1]\n"
         "900 done 1: [0]\n1700 warm 2: grant(2/3 r1) [1]\n"
         "1701 taken 2: [2]\n1701 taken 2: [3]\n1701 taken 2: [4]\n"
         "1702 ask 1: queued(1/10) [4]\n1703 ask 1: queued(1/11) [4]\n"
         "1704 ask 1: queued(1/12) [4]\n"
         "1705 ask 2: queued(2/20) refuse(1/12 queue-full) [4]\n"
         "1800 done 2: grant(1/10 r1) [4]\n"
         "1801 done 2: grant(2/20 r2) [4]\n");
}

Test (slots, lost_release_message)
{
  /* Gateway 1's release message is lost, and gateway 2 stops while holding a
     slot. Without a timeout the model would lose one slot after another.
     Gateway 3 reports its slots every second and keeps them. */
  check ("1 replicas r1 r2\n300 ask 1 1 big\n300 ask 2 1 big\n"
         "300 ask 3 1 big\n300 ask 3 2 big\n400 ask 3 3 big\n"
         "2000 open 3 1=r1 2=r2\n3000 open 3 1=r1 2=r2\n3800 tick\n"
         "4300 tick\n4301 ask 3 4 big\n4302 ask 3 5 big\n",
         "1 replicas r1: [0]\n300 ask 1: grant(1/1 r1) [1]\n"
         "300 ask 2: grant(2/1 r2) [2]\n300 ask 3: grant(3/1 r1) [3]\n"
         "300 ask 3: grant(3/2 r2) [4]\n400 ask 3: queued(3/3) [4]\n"
         "2000 open 3: [4]\n3000 open 3: [4]\n3800 tick: [4]\n"
         "4300 tick: grant(3/3 r1) [3]\n"
         "4301 ask 3: grant(3/4 r2) [4]\n4302 ask 3: queued(3/5) [4]\n");
}

Test (slots, new_home_waits_for_slot_reports)
{
  /* A new home takes over under load. It queues requests until the
     gateways have reported their slots; otherwise all of them would be
     sent to full replicas. Older engine reports are ignored, since all
     the load that they show would look like that of others. */
  check ("1 replicas r1=9000 r2=9000\n2 ask 1 9 big\n"
         "10 open 1 1=r1 2=r1\n11 open 2 1=r2\n150 tick\n200 tick\n"
         "300 ask 2 2 big\n301 done 1 1\n",
         "1 replicas r1=9000: [0]\n2 ask 1: queued(1/9) [0]\n"
         "10 open 1: [2]\n11 open 2: [3]\n150 tick: [3]\n"
         "200 tick: grant(1/9 r2) [4]\n300 ask 2: queued(2/2) [4]\n"
         "301 done 1: grant(2/2 r1) [4]\n");
}

Test (slots, deadline_and_lost_gateway)
{
  /* At the measured rate a request takes 600 ms: one with an earlier
     deadline is refused at once. When the link of a gateway is lost, its
     queued request is dropped, as the grant could not be delivered; its
     running request keeps its slot. */
  check ("1 replicas r1\n300 ask 1 1 big\n900 done 1 1\n"
         "1000 ask 1 2 big 100 1300\n1000 ask 1 3 big 100 1700\n"
         "1001 ask 2 4 big\n1002 ask 1 5 big\n1003 ask 2 6 big\n"
         "1004 gone 1\n1005 done 2 4\n",
         "1 replicas r1: [0]\n300 ask 1: grant(1/1 r1) [1]\n"
         "900 done 1: [0]\n1000 ask 1: refuse(1/2 deadline) [0]\n"
         "1000 ask 1: grant(1/3 r1) [1]\n1001 ask 2: grant(2/4 r1) [2]\n"
         "1002 ask 1: queued(1/5) [2]\n1003 ask 2: queued(2/6) [2]\n"
         "1004 gone 1: [2]\n1005 done 2: grant(2/6 r1) [2]\n");
}

Test (slots, failing_replica_is_ejected)
{
  /* r1 fails every request at once, so it always has the most free slots
     and would attract all requests. Three failures at three gateways
     eject it for 5 s. Then one idempotent request probes it, and no
     other until that one has ended. */
  check ("1 replicas r1 r2 r3\n300 taken 1 1 r1\n301 fail 1 1\n"
         "302 taken 2 1 r1\n303 fail 2 1\n304 taken 3 1 r1\n305 fail 3 1\n"
         "306 ask 1 2 big\n307 ask 1 3 big\n308 ask 1 4 big\n"
         "309 ask 1 5 big\n310 ask 1 6 big\n5400 once 1 7 big\n"
         "5401 ask 1 8 big\n5402 done 1 6\n",
         "1 replicas r1: [0]\n300 taken 1: [1]\n301 fail 1: [0]\n"
         "302 taken 2: [1]\n303 fail 2: [0]\n304 taken 3: [1]\n"
         "305 fail 3: [0]\n306 ask 1: grant(1/2 r2) [1]\n"
         "307 ask 1: grant(1/3 r3) [2]\n308 ask 1: grant(1/4 r3) [3]\n"
         "309 ask 1: grant(1/5 r2) [4]\n310 ask 1: queued(1/6) [4]\n"
         "5400 once 1: grant(1/6 r1) queued(1/7) [5]\n"
         "5401 ask 1: queued(1/8) [5]\n"
         "5402 done 1: grant(1/7 r1) grant(1/8 r1) [6]\n");
}

Test (slots, two_homes)
{
  /* Two gateways act as home, and the other one has filled r1. This one got no
     report of it, but the engine's load report shows unreported requests; if
     it ignored them, requests would wait at r1 while r2 is idle. */
  check ("1 replicas r1 r2\n300 replicas r1=20000 r2\n301 ask 1 1 big\n"
         "302 ask 1 2 big\n303 ask 1 3 big\n1300 replicas r1=100 r2=200\n",
         "1 replicas r1: [0]\n300 replicas r1=20000: [0]\n"
         "301 ask 1: grant(1/1 r2) [1]\n302 ask 1: grant(1/2 r2) [2]\n"
         "303 ask 1: queued(1/3) [2]\n"
         "1300 replicas r1=100: grant(1/3 r1) [3]\n");
}
