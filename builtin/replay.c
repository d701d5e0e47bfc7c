#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/commands.h"
#include "route/record.h"

/** Feed the actions that one event caused to the log. */
static void
drain_actions (struct rt *core, clk_ms now, struct buf *log)
{
  struct rt_action act;
  while (rt_next (core, &act))
    rec_write_action (now, &act, log);
}

/** The next line of @p text, without its end; false at the end. */
static bool
next_line (struct str *text, struct str *line)
{
  size_t n = str_chr (*text, '\n');
  if (text->len == 0)
    return false;
  *line = str_head (*text, n);
  *text = str_skip (*text, n + 1);
  return true;
}

static bool
run_trace (const char *file, struct str text, struct buf *log,
           struct fnd_list *findings)
{
  struct rec_reader reader = { .file = file };
  struct rec_header head;
  struct rt_event ev;
  struct rt *core = NULL;
  struct str line;
  clk_ms now;

  if (!next_line (&text, &line))
    fnd_addf (findings, FND_ERROR, file, 0, NULL, "the trace is empty");
  else if (rec_read_header (&reader, line, &head, findings))
    core = rt_new (&head.options, head.seed);
  while (core != NULL && next_line (&text, &line))
    if (rec_read_event (&reader, line, &now, &ev, findings))
      {
        rt_event (core, now, &ev);
        drain_actions (core, now, log);
      }
  if (core != NULL)
    rt_free (core);
  rec_reader_free (&reader);
  return findings->errors == 0;
}

static bool
read_file (const char *path, gchar **text, gsize *len)
{
  GError *error = NULL;
  if (g_file_get_contents (path, text, len, &error))
    return true;
  fprintf (stderr, "lapisline replay: %s\n", error->message);
  g_error_free (error);
  return false;
}

/** Print the first line in which both texts differ. */
static void
show_difference (struct str want, struct str got)
{
  struct str a, b;
  for (int line = 1;; line++)
    {
      bool more_a = next_line (&want, &a);
      bool more_b = next_line (&got, &b);
      if (!more_a)
        a = STR ("(end)");
      if (!more_b)
        b = STR ("(end)");
      if (!str_eq (a, b))
        {
          fprintf (stderr, "line %d\n  expected: %.*s\n  got:      %.*s\n",
                   line, STR_ARG (a), STR_ARG (b));
          return;
        }
      if (!more_a && !more_b)
        return;
    }
}

static int
compare (const char *path, struct str got)
{
  gchar *want = NULL;
  gsize len;
  int rc = EXIT_DONE;

  if (!read_file (path, &want, &len))
    return EXIT_INPUT;
  if (!str_eq (str_make (want, len), got))
    {
      show_difference (str_make (want, len), got);
      rc = EXIT_FAILED;
    }
  g_free (want);
  return rc;
}

static int
replay_file (const char *path, const char *expect)
{
  struct fnd_list findings = { 0 };
  struct buf log = BUF_INIT;
  struct buf text = BUF_INIT;
  gchar *trace = NULL;
  gsize len;
  int rc = EXIT_DONE;

  if (!read_file (path, &trace, &len))
    return EXIT_INPUT;
  if (!run_trace (path, str_make (trace, len), &log, &findings))
    {
      fnd_print (&findings, &text);
      fputs (buf_c (&text), stderr);
      rc = EXIT_INPUT;
    }
  else if (expect != NULL)
    rc = compare (expect, buf_str (&log));
  else
    fputs (buf_c (&log), stdout);
  fnd_free (&findings);
  buf_free (&text);
  buf_free (&log);
  g_free (trace);
  return rc;
}

int
cmd_replay (int argc, char **argv)
{
  gchar *expect = NULL;
  GOptionEntry entries[]
      = { { "expect", 0, 0, G_OPTION_ARG_FILENAME, &expect,
            "compare the actions with FILE; exit 1 when they differ", "FILE" },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  int rc = EXIT_USAGE;

  if (!commands_options (
          entries,
          "TRACE - feed recorded events to the request core and print its "
          "actions",
          NULL, &argc, &argv))
    return EXIT_USAGE;
  if (argc != 2)
    fputs ("usage: lapisline replay [--expect FILE] TRACE\n", stderr);
  else
    rc = replay_file (argv[1], expect);
  g_free (expect);
  return rc;
}
