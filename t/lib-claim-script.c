#include "t/lib-claim-script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

static const char *const verdicts[]
    = { "granted",  "running",     "answered", "unknown",
        "mismatch", "unavailable", "done" };

static void
on_reply (void *ctx, int home, const struct clm_reply *r)
{
  struct csc *run = ctx;

  buf_addf (&run->log, "  h%d %c/%c %s", home + 1, (char)(r->id >> 8),
            (char)r->id, verdicts[r->verdict]);
  if (r->verdict == CLM_COMPLETED)
    buf_addf (&run->log, " %d %.*s", r->response_status,
              STR_ARG (r->response));
  buf_add_char (&run->log, '\n');
}

void
csc_ask (struct csc *run, int home, const char *kind, char key, char attempt,
         const char *rest)
{
  struct clm_request a = { .id = (uint64_t)key << 8 | (uint64_t)attempt };

  a.key[0] = (uint8_t)key;
  a.attempt[0] = (uint8_t)attempt;
  a.final = strcmp (kind, "last") == 0;
  if (strcmp (kind, "release") == 0)
    a.kind = CLM_RELEASE;
  else if (strcmp (kind, "finish") == 0)
    {
      a.kind = CLM_FINISH;
      a.response_status = 200;
      a.response = str_from (rest);
    }
  else
    a.fingerprint[0] = (uint8_t)rest[0];
  clm_request (run->w.homes[home], run->w.now, &a);
  cw_drain (&run->w, home);
}

void
csc_all (struct csc *run)
{
  bool again = true;

  while (again)
    {
      again = false;
      for (size_t i = 0; i < CW_CALLS; i++)
        {
          struct cw_call *c = &run->w.calls[i];
          if (!c->used || c->answered)
            continue;
          cw_apply (&run->w, c);
          cw_answer (&run->w, c, STORE_OK);
          again = true;
        }
    }
}

void
csc_pass (struct csc *run, clk_ms ms)
{
  run->w.now += ms;
  for (size_t i = 0; i < run->w.nhomes; i++)
    {
      clm_tick (run->w.homes[i], run->w.now);
      cw_drain (&run->w, (int)i);
    }
}

static void
on_call (struct csc *run, const char *verb, unsigned no)
{
  struct cw_call *c = cw_call (&run->w, no);

  cr_assert (c, "no call %u", no);
  if (strcmp (verb, "ok") == 0 || strcmp (verb, "apply") == 0)
    cw_apply (&run->w, c);
  if (strcmp (verb, "ok") == 0 || strcmp (verb, "answer") == 0)
    cw_answer (&run->w, c, STORE_OK);
  if (strcmp (verb, "lost") == 0)
    cw_answer (&run->w, c, STORE_UNCERTAIN);
  if (strcmp (verb, "down") == 0)
    cw_answer (&run->w, c, STORE_UNAVAILABLE);
}

static void
line (struct csc *run, const char *l)
{
  char verb[16], key, attempt, rest[32] = "";
  int home, ms;

  buf_addf (&run->log, "%s\n", l);
  if (sscanf (l, "h%d %15s %c %c %31s", &home, verb, &key, &attempt, rest)
      >= 4)
    csc_ask (run, home - 1, verb, key, attempt, rest);
  else if (sscanf (l, "+%d", &ms) == 1)
    csc_pass (run, ms);
  else if (sscanf (l, "sleep %d", &ms) == 1)
    run->w.now += ms;
  else if (strcmp (l, "all") == 0)
    csc_all (run);
  else if (sscanf (l, "%15s %d", verb, &home) == 2)
    on_call (run, verb, (unsigned)home);
  else
    cr_assert_fail ("bad line: %s", l);
}

struct clm_options
csc_options (void)
{
  return (struct clm_options){ .prefix = STR ("/t/"),
                               .window = 60 * CLK_SECOND,
                               .max_response_bytes = 64,
                               .boot = 1 };
}

void
csc_up (struct csc *run, size_t homes, const struct clm_options *opt)
{
  memset (run, 0, sizeof *run);
  cw_init (&run->w, homes, opt, 7);
  run->w.on_reply = on_reply;
  run->w.ctx = run;
}

void
csc_down (struct csc *run)
{
  cw_clear (&run->w);
  buf_free (&run->log);
}

void
csc_expect (const char *expected)
{
  struct csc run;
  struct clm_options opt = csc_options ();
  char *text = xstrdup (expected);
  char *save = NULL;

  csc_up (&run, 2, &opt);
  run.w.log = &run.log;
  for (char *l = strtok_r (text, "\n", &save); l;
       l = strtok_r (NULL, "\n", &save))
    if (l[0] != ' ')
      line (&run, l);
  cr_expect_str_eq (buf_c (&run.log), expected, "\n--- got\n%s--- want\n%s",
                    buf_c (&run.log), expected);
  csc_down (&run);
  free (text);
}
