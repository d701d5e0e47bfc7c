#include "lib-route.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_WORDS 64

static const char *const action_names[]
    = { "claim",  "release", "finish", "connect", "send",
        "cancel", "pass",    "answer", "replay",  "end",
        "cut",    "forget",  "ask",    "taken",   "slot-done" };

static const char *const verdicts[] = { "granted", "running",  "answered",
                                        "unknown", "mismatch", "unavailable" };

void
script_configure (struct script *s, const char *config)
{
  struct fnd_list findings = { 0 };
  struct cfg *old = s->cfg;

  s->cfg
      = cfg_parse (str_from (config), old ? old->revision + 1 : 1, &findings);
  if (!s->cfg)
    {
      struct buf text = BUF_INIT;
      fnd_print (&findings, &text);
      cr_assert_fail ("configuration: %s", buf_c (&text));
    }
  fnd_free (&findings);
  struct rt_event ev = { .kind = RT_EV_CONFIG, .cfg = s->cfg };
  rt_event (s->rt, s->now, &ev);
  if (old)
    cfg_unref (old);
}

struct script
script_new (const char *config, unsigned nodes)
{
  struct script s = { 0 };
  struct rt_options opt = { STR ("a"), STR ("entry-1"), nodes };
  s.rt = rt_new (&opt, 1);
  script_configure (&s, config);
  return s;
}

void
script_free (struct script *s)
{
  rt_free (s->rt);
  cfg_unref (s->cfg);
  buf_free (&s->log);
}

static void
record_connect (struct script *s, const struct rt_action *a)
{
  size_t at = s->nrunning++;
  cr_assert_lt (at, sizeof s->running / sizeof s->running[0]);
  s->running[at] = a->id;
  s->attempts[at] = a->attempt;
  snprintf (s->servers[at], sizeof s->servers[at], "%.*s", STR_ARG (a->name));
}

static void
log_action (struct script *s, const struct rt_action *a)
{
  if (a->kind == RT_ACT_CONNECT)
    record_connect (s, a);
  if (s->brief && a->kind == RT_ACT_CONNECT)
    buf_addf (&s->log, " %llu", (unsigned long long)a->id);
  if (s->brief && a->kind != RT_ACT_ANSWER)
    return;
  buf_addf (&s->log, " %s(%llu", action_names[a->kind],
            (unsigned long long)a->id);
  if (a->attempt && a->kind >= RT_ACT_CONNECT && a->kind <= RT_ACT_PASS)
    buf_addf (&s->log, "/%u", a->attempt);
  if (a->kind == RT_ACT_CONNECT)
    buf_addf (&s->log, " %.*s%s", STR_ARG (a->name), a->fresh ? " fresh" : "");
  if (a->slot.failed)
    buf_add_c (&s->log, " failed");
  if (a->kind == RT_ACT_SLOT_TAKEN)
    buf_addf (&s->log, " %.*s", STR_ARG (a->name));
  if (a->resume)
    buf_addf (&s->log, " from %zu", a->offset);
  if (a->kind == RT_ACT_ANSWER)
    buf_addf (&s->log, " %d", a->http_status);
  if (a->kind == RT_ACT_ANSWER && s->show_delays)
    buf_addf (&s->log, " retry=%lld", (long long)a->retry_ms);
  if (a->kind == RT_ACT_FINISH && a->http_status == 0)
    buf_add_c (&s->log, " unanswered");
  if (a->kind == RT_ACT_ANSWER || a->kind == RT_ACT_CUT)
    buf_addf (&s->log, " %s", rt_code_name (a->code));
  if (a->kind == RT_ACT_ANSWER || a->kind == RT_ACT_CUT
      || a->kind == RT_ACT_END)
    buf_addf (&s->log, " %s", rt_outcome_name (a->outcome));
  buf_add_c (&s->log, ")");
}

static void
drain (struct script *s)
{
  struct rt_action a;
  while (rt_next (s->rt, &a))
    if (a.kind != RT_ACT_FORGET)
      log_action (s, &a);
}

static bool
has_flag (const char *word, const char *flag)
{
  const char *at = strchr (word, '/');
  return at && strstr (at, flag);
}

/** An address that depends on the name only. */
static struct net_addr
replica_addr (const char *name)
{
  struct net_addr addr = { .host = "127.0.0.1" };
  addr.port = (uint16_t)(1
                         + str_hash (str_make (name, strcspn (name, "/")), 0)
                               % 60000);
  return addr;
}

static void
replicas (struct script *s, char **w, size_t n)
{
  struct rt_replica list[MAX_WORDS] = { 0 };
  for (size_t i = 0; i < n; i++)
    {
      const char *load = strstr (w[i], "n=");
      const char *until = strstr (w[i], "until=");
      list[i] = (struct rt_replica){
        .name = str_make (w[i], strcspn (w[i], "/")),
        .model = STR ("lm"),
        .zone = has_flag (w[i], "far") ? STR ("b") : STR ("a"),
        .generation = has_flag (w[i], "gen2") ? 2 : 1,
        .addr = replica_addr (w[i]),
        .whole = !has_flag (w[i], "broken"),
        .draining = has_flag (w[i], "draining"),
        .valid_until = s->now + (until ? atoi (until + 6) : 1000000),
        .load = load ? (uint32_t)atoi (load + 2) : 0,
        .load_at = load ? s->now : 0,
      };
    }
  struct rt_event ev = { .kind = RT_EV_REPLICAS, .replicas = list, .n = n };
  rt_event (s->rt, s->now, &ev);
}

static void
arrive (struct script *s, uint64_t id, char **w, size_t n)
{
  struct rt_request q = { .id = id,
                          .account = str_from (w[0]),
                          .target = str_from (w[1]),
                          .is_model = strcmp (w[1], "lm") == 0,
                          .idempotent = true,
                          .cost = 100 };
  for (size_t i = 2; i < n; i++)
    if (strcmp (w[i], "once") == 0)
      q.idempotent = false;
    else if (strcmp (w[i], "key") == 0)
      q.has_key = true;
    else if (strncmp (w[i], "prio=", 5) == 0)
      q.priority = (unsigned)atoi (w[i] + 5);
    else if (strncmp (w[i], "by=", 3) == 0)
      q.deadline = atoll (w[i] + 3);
    else if (strncmp (w[i], "cost=", 5) == 0)
      q.cost = atof (w[i] + 5);
    else if (strncmp (w[i], "prefix=", 7) == 0)
      q.prefix = (uint64_t)atoll (w[i] + 7);
    else
      cr_assert_fail ("unknown word %s", w[i]);
  struct rt_event ev = { .kind = RT_EV_ARRIVE, .request = &q };
  rt_event (s->rt, s->now, &ev);
}

static bool
attempt_verb (const char *verb, enum rt_event_kind *kind)
{
  static const struct
  {
    const char *verb;
    enum rt_event_kind kind;
  } rows[]
      = { { "open", RT_EV_CONNECTED },    { "fail", RT_EV_CONNECT_FAILED },
          { "head", RT_EV_HEAD },         { "body", RT_EV_BODY },
          { "whole", RT_EV_WHOLE },       { "broken", RT_EV_BROKEN },
          { "silent", RT_EV_SILENT },     { "gone", RT_EV_CALLER_GONE },
          { "tick", RT_EV_TICK },         { "leaving", RT_EV_LEAVING },
          { "down", RT_EV_BACKEND_DOWN }, { "up", RT_EV_BACKEND_DOWN } };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    if (strcmp (verb, rows[i].verb) == 0)
      {
        *kind = rows[i].kind;
        return true;
      }
  return false;
}

static void
send_event (struct script *s, enum rt_event_kind kind, char **w, size_t n)
{
  struct rt_event ev = { .kind = kind, .on = strcmp (w[0], "up") != 0 };
  if (kind == RT_EV_BACKEND_DOWN)
    ev.name = str_from (w[1]);
  else if (n > 1)
    {
      const char *slash = strchr (w[1], '/');
      ev.id = strtoull (w[1], NULL, 10);
      ev.attempt = slash ? (unsigned)atoi (slash + 1) : 0;
    }
  if (n > 2)
    {
      ev.status = atoi (w[2]);
      ev.size = (size_t)atoi (w[2]);
    }
  rt_event (s->rt, s->now, &ev);
}

static void
claim (struct script *s, char **w)
{
  struct rt_event ev = { .kind = RT_EV_CLAIM,
                         .id = strtoull (w[1], NULL, 10),
                         .retry_ms = 200 };
  for (size_t i = 0; i < sizeof verdicts / sizeof verdicts[0]; i++)
    if (strcmp (w[2], verdicts[i]) == 0)
      ev.verdict = (enum clm_verdict)i;
  rt_event (s->rt, s->now, &ev);
}

static void
slot (struct script *s, char **w, size_t n)
{
  struct rt_event ev = { .kind = RT_EV_SLOT,
                         .id = strtoull (w[1], NULL, 10),
                         .retry_ms = 300 };
  if (strcmp (w[2], "granted") == 0)
    ev.name = str_from (n > 3 ? w[3] : "");
  else
    ev.slot = strcmp (w[2], "queued") == 0 ? RT_SLOT_QUEUED : RT_SLOT_REFUSED;
  if (ev.slot == RT_SLOT_REFUSED)
    ev.code = RT_CODE_DEADLINE;
  rt_event (s->rt, s->now, &ev);
}

/** notice ID/ATTEMPT pause=MS | notice ID/ATTEMPT leaving */
static void
notice (struct script *s, char **w)
{
  const char *slash = strchr (w[1], '/');
  struct rt_event ev = { .kind = RT_EV_NOTICE,
                         .id = strtoull (w[1], NULL, 10),
                         .attempt = slash ? (unsigned)atoi (slash + 1) : 0,
                         .on = strcmp (w[2], "leaving") == 0 };
  if (!ev.on)
    ev.retry_ms = atoll (w[2] + strlen ("pause="));
  rt_event (s->rt, s->now, &ev);
}

static void
home (struct script *s, const char *on)
{
  struct rt_event ev = { .kind = RT_EV_SLOT_HOME,
                         .name = STR ("lm"),
                         .on = strcmp (on, "on") == 0 };
  rt_event (s->rt, s->now, &ev);
}

static void
share (struct script *s, char **w)
{
  struct rt_event ev = { .kind = RT_EV_SHARE,
                         .name = str_from (w[1]),
                         .tokens_per_s = atof (w[2]),
                         .concurrency = atof (w[3]),
                         .valid_ms = atoll (w[4]) };
  rt_event (s->rt, s->now, &ev);
}

/** Remove the oldest attempt and return an event for it. */
static struct rt_event
pop_running (struct script *s, clk_ms *step)
{
  struct rt_event ev
      = { .id = s->running[0], .attempt = s->attempts[0], .status = 200 };
  if (strcmp (s->servers[0], s->slow) == 0)
    *step = s->slow_ms;
  size_t n = --s->nrunning;
  memmove (s->running, s->running + 1, n * sizeof s->running[0]);
  memmove (s->attempts, s->attempts + 1, n * sizeof s->attempts[0]);
  memmove (s->servers, s->servers + 1, n * sizeof s->servers[0]);
  return ev;
}

static void
serve (struct script *s, int count, clk_ms step, bool whole)
{
  static const enum rt_event_kind good[]
      = { RT_EV_CONNECTED, RT_EV_HEAD, RT_EV_WHOLE };
  static const enum rt_event_kind bad[] = { RT_EV_CONNECTED, RT_EV_BROKEN };
  s->brief = true;
  for (; count > 0 && s->nrunning; count--)
    {
      clk_ms ms = step;
      struct rt_event ev = pop_running (s, &ms);
      for (size_t i = 0; i < (whole ? 3 : 2); i++)
        {
          ev.kind = whole ? good[i] : bad[i];
          if (i == 1)
            s->now += ms;
          rt_event (s->rt, s->now, &ev);
        }
      ev.kind = RT_EV_TICK;
      rt_event (s->rt, s->now, &ev);
      drain (s);
    }
  s->brief = false;
}

static void
arrive_many (struct script *s, char **w, size_t n)
{
  uint64_t id = strtoull (w[1], NULL, 10);
  uint64_t last = strtoull (strchr (w[1], '-') + 1, NULL, 10);
  for (; id <= last; id++)
    arrive (s, id, w + 2, n - 2);
}

static void
run_line (struct script *s, char *line)
{
  char *w[MAX_WORDS];
  size_t n = 0;
  enum rt_event_kind kind;
  for (char *t = strtok (line, " "); t && n < MAX_WORDS;
       t = strtok (NULL, " "))
    w[n++] = t;
  if (n < 2)
    return;
  s->now = atoll (w[0]);
  buf_addf (&s->log, "%s %s %s:", w[0], w[1], n > 2 ? w[2] : "");
  if (strcmp (w[1], "replicas") == 0)
    replicas (s, w + 2, n - 2);
  else if (strcmp (w[1], "arrive") == 0)
    arrive (s, strtoull (w[2], NULL, 10), w + 3, n - 3);
  else if (strcmp (w[1], "arrive*") == 0)
    arrive_many (s, w + 1, n - 1);
  else if (strcmp (w[1], "claim") == 0)
    claim (s, w + 1);
  else if (strcmp (w[1], "slot") == 0)
    slot (s, w + 1, n - 1);
  else if (strcmp (w[1], "notice") == 0)
    notice (s, w + 1);
  else if (strcmp (w[1], "home") == 0)
    home (s, w[2]);
  else if (strcmp (w[1], "serve") == 0)
    serve (s, atoi (w[2]), n > 3 ? atoll (w[3]) : 0, true);
  else if (strcmp (w[1], "break") == 0)
    serve (s, atoi (w[2]), n > 3 ? atoll (w[3]) : 0, false);
  else if (strcmp (w[1], "pace") == 0)
    {
      snprintf (s->slow, sizeof s->slow, "%s", w[2]);
      s->slow_ms = atoll (w[3]);
    }
  else if (strcmp (w[1], "share") == 0)
    share (s, w + 1);
  else if (attempt_verb (w[1], &kind))
    send_event (s, kind, w + 1, n - 1);
  else
    cr_assert_fail ("unknown verb %s", w[1]);
  drain (s);
  buf_add_c (&s->log, "\n");
}

void
script_run (struct script *s, const char *text)
{
  char *copy = xstrdup (text);
  char *rest = copy, *line;
  while ((line = strsep (&rest, "\n")) != NULL)
    run_line (s, line);
  free (copy);
}

void
script_expect (struct script *s, const char *text, const char *log)
{
  buf_clear (&s->log);
  script_run (s, text);
  cr_expect (strcmp (buf_c (&s->log), log) == 0, "expected:\n%s\ngot:\n%s",
             log, buf_c (&s->log));
}
