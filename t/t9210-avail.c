/*
 * Pauses and shutdowns that backend servers announce: headers of responses,
 * and the table of servers.
 *
 * Script:
 *   pause SERVER MS     a response asks for a pause of MS
 *   leave SERVER        a response announces the server's shutdown
 *   malformed SERVER    a response has a malformed delay
 *   sent SERVER         a request is sent to it
 *   run MS              advances the time
 *   show SERVER         logs "SERVER open", "SERVER paused MS" or
 *                       "SERVER leaving"
 *   stats               logs the gauges and counters
 * Each change that a response causes is logged: "SERVER asks MS sent N",
 * "SERVER leaves", "SERVER malformed".
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/str.h"
#include "platform/platform.h"

/* --- headers --------------------------------------------------------------
 */

/** Parses a response with up to two Retry-After headers; returns the delay, or
    what else was found. */
static const char *
read_retry_after (int status, const char *first, const char *second)
{
  static char text[32];
  struct http_header h[2] = { { STR ("retry-after"), str_from (first) },
                              { STR ("retry-after"), str_from (second) } };
  struct avl_notice notice;

  plt_parse_notice (status, h, second ? 2 : 1, &notice);
  snprintf (text, sizeof text, "%lld%s", (long long)notice.retry_after_ms,
            notice.malformed ? " malformed" : "");
  return text;
}

/* A malformed delay must not be taken for a pause. */
Test (avail_core, retry_after_values)
{
  static const struct
  {
    int status;
    const char *first, *second, *found;
  } row[] = { { 503, "3", NULL, "3000" },
              { 503, " 2.5 ", NULL, "2500" },
              { 503, "0.0004", NULL, "1" },
              { 503, "0", NULL, "0" },
              { 503, "1", "3", "3000" },
              { 503, "4", "soon", "4000 malformed" },
              { 503, "1e300", NULL, "1000000000000" },
              { 503, "inf", NULL, "0 malformed" },
              { 503, "-1", NULL, "0 malformed" },
              { 503, "", NULL, "0 malformed" },
              { 503, "0x10", NULL, "0 malformed" },
              { 503, "3 s", NULL, "0 malformed" },
              { 429, "3", NULL, "3000" },
              { 200, "3", NULL, "0" },
              { 421, "3", NULL, "0" } };

  for (size_t i = 0; i < sizeof row / sizeof row[0]; i++)
    cr_expect_str_eq (
        read_retry_after (row[i].status, row[i].first, row[i].second),
        row[i].found, "%d %s", row[i].status, row[i].first);
}

/* The shutdown is announced in responses of any status. */
Test (avail_core, leaving_values)
{
  static const struct
  {
    int status;
    const char *value;
    bool leaving;
  } row[] = { { 200, "1", true },  { 503, " 1 ", true }, { 500, "1", true },
              { 200, "0", false }, { 200, "", false },   { 200, "x", false } };

  for (size_t i = 0; i < sizeof row / sizeof row[0]; i++)
    {
      struct http_header h
          = { STR ("server-leaving"), str_from (row[i].value) };
      struct avl_notice notice;
      plt_parse_notice (row[i].status, &h, 1, &notice);
      cr_expect_eq (notice.leaving, row[i].leaving, "%s", row[i].value);
    }
}

/* --- table ----------------------------------------------------------------
 */

struct fixture
{
  struct avl *a;
  clk_ms now;
  struct buf log;
};

static void
give_notice (struct fixture *f, const char *server,
             const struct avl_notice *notice)
{
  struct avl_change c
      = avl_on_notice (f->a, f->now, str_hash (str_from (server), 0), notice);

  if (c.paused)
    buf_addf (&f->log, "%s asks %lld sent %llu\n", server,
              (long long)c.paused_for, (unsigned long long)c.sent);
  if (c.leaving)
    buf_addf (&f->log, "%s leaves\n", server);
  if (c.malformed)
    buf_addf (&f->log, "%s malformed\n", server);
}

static void
show (struct fixture *f, const char *name)
{
  uint64_t server = str_hash (str_from (name), 0);
  clk_ms until = avl_paused_until (f->a, f->now, server);

  cr_expect_eq (avl_allows (f->a, f->now, server),
                !until && !avl_is_leaving (f->a, server));
  if (avl_is_leaving (f->a, server))
    buf_addf (&f->log, "%s leaving\n", name);
  else if (until)
    buf_addf (&f->log, "%s paused %lld\n", name, (long long)(until - f->now));
  else
    buf_addf (&f->log, "%s open\n", name);
}

static void
show_stats (struct fixture *f)
{
  struct avl_stats x = avl_stats (f->a, f->now);

  buf_addf (&f->log, "paused %zu leaving %zu asked %llu sent %llu %llu\n",
            x.paused, x.leaving, (unsigned long long)x.pauses,
            (unsigned long long)x.sent_paused,
            (unsigned long long)x.sent_leaving);
}

static void
run_command (struct fixture *f, const char *command, const char *x, clk_ms ms)
{
  if (strcmp (command, "pause") == 0)
    give_notice (f, x, &(struct avl_notice){ .retry_after_ms = ms });
  else if (strcmp (command, "leave") == 0)
    give_notice (f, x, &(struct avl_notice){ .leaving = true });
  else if (strcmp (command, "malformed") == 0)
    give_notice (f, x, &(struct avl_notice){ .malformed = true });
  else if (strcmp (command, "sent") == 0)
    avl_count_sent (f->a, f->now, str_hash (str_from (x), 0));
  else if (strcmp (command, "run") == 0)
    f->now += atoi (x);
  else if (strcmp (command, "show") == 0)
    show (f, x);
  else if (strcmp (command, "stats") == 0)
    show_stats (f);
  else
    cr_assert (false, "unknown command: %s", command);
}

static void
play (const char *script, const char *expected)
{
  struct fixture f = { .a = avl_new (), .now = 1000 };
  char *copy = xstrdup (script), *next = copy, *text;

  while ((text = strsep (&next, "\n")) != NULL)
    {
      char command[16] = "", x[16] = "";
      long ms = 0;
      if (sscanf (text, " %15s %15s %ld", command, x, &ms) > 0)
        run_command (&f, command, x, ms);
    }
  cr_expect_str_eq (buf_c (&f.log), expected, "got:\n%s\nexpected:\n%s",
                    buf_c (&f.log), expected);
  avl_free (f.a);
  buf_free (&f.log);
  free (copy);
}

/* A pause holds for its server only, and ends by itself. */
Test (avail_core, pause_ends_after_its_time)
{
  play ("pause a 3000\n run 2999\n show a\n show b\n run 1\n show a\n",
        "a asks 3000 sent 0\na paused 1\nb open\na open\n");
}

/* Guards against a pause that a shorter one shortens, although both responses
   were sent at the same time. */
Test (avail_core, pause_is_only_extended)
{
  play ("pause a 3000\n run 500\n pause a 1000\n show a\n pause a 4000\n"
        "show a\n",
        "a asks 3000 sent 0\na paused 2500\na asks 4000 sent 0\n"
        "a paused 4000\n");
}

/* A shutdown outlasts the pause. */
Test (avail_core, shutdown_is_final)
{
  play ("leave a\n leave a\n pause a 100\n run 1000000\n show a\n stats\n",
        "a leaves\na asks 100 sent 0\na leaving\n"
        "paused 0 leaving 1 asked 1 sent 0 0\n");
}

/* Requests are counted from the start of a pause, over all its extensions. */
Test (avail_core, requests_in_a_pause_are_counted)
{
  play ("sent a\n pause a 1000\n sent a\n sent a\n run 500\n pause a 1000\n"
        "run 1000\n sent a\n pause a 1000\n leave a\n sent a\n stats\n",
        "a asks 1000 sent 0\na asks 1000 sent 2\na asks 1000 sent 0\n"
        "a leaves\npaused 1 leaving 1 asked 3 sent 3 1\n");
}

/* A malformed delay is logged once for each server. */
Test (avail_core, malformed_delay_changes_nothing)
{
  play ("malformed a\n malformed a\n show a\n malformed b\n",
        "a malformed\na open\nb malformed\n");
}

/* Guards against a full table that forgets a server whose notice is still in
   force. */
Test (avail_core, full_table_drops_ended_pauses_first)
{
  struct avl *a = avl_new ();
  struct avl_notice leaving = { .leaving = true },
                    brief = { .retry_after_ms = 10 };

  for (uint64_t i = 0; i < AVL_MAX_SERVERS / 2; i++)
    avl_on_notice (a, 1000, i, &leaving);
  for (uint64_t i = 0; i < AVL_MAX_SERVERS; i++)
    avl_on_notice (a, 2000 + 20 * (clk_ms)i, 10000 + i, &brief);
  cr_expect_eq (avl_stats (a, 1000000).leaving, AVL_MAX_SERVERS / 2);
  avl_free (a);
}
