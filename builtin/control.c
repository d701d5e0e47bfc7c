#include <glib.h>
#include <stdio.h>

#include "builtin/commands.h"
#include "control/control.h"
#include "lapisline.h"

static char *
parse_options (int *argc, char ***argv)
{
  char *path = NULL;
  GOptionEntry entries[] = {
    { "settings", 0, 0, G_OPTION_ARG_FILENAME, &path,
      "settings of this node (JSON with comments)", "FILE" },
    { 0 },
  };
  if (!commands_options (
          entries, NULL,
          "Run a node's control process: membership, configuration, "
          "ownership of fabric\ndomains, shares, and the administration "
          "API.  SIGTERM lets the node leave.",
          argc, argv))
    return NULL;
  if (path && *argc == 1)
    return path;
  fputs ("lapisline control: give --settings FILE and nothing else\n", stderr);
  g_free (path);
  return NULL;
}

static bool
read_settings (const char *path, struct settings *set)
{
  struct fnd_list findings = { 0 };
  struct buf text = BUF_INIT;
  bool ok = settings_read (path, SETTINGS_NEED_CONTROL, set, &findings);
  fnd_print (&findings, &text);
  fputs (buf_c (&text), stderr);
  buf_free (&text);
  fnd_free (&findings);
  return ok;
}

int
cmd_control (int argc, char **argv)
{
  struct settings set = { 0 };
  struct buf err = BUF_INIT;
  int code = EXIT_DONE;
  char *path = parse_options (&argc, &argv);
  if (!path)
    return EXIT_USAGE;
  if (!read_settings (path, &set))
    {
      settings_free (&set);
      g_free (path);
      return EXIT_INPUT;
    }
  g_free (path);
  log_setup (set.log_format, set.log_level, str_from (set.node));
  if (!ctl_run (&set, &err))
    {
      fprintf (stderr, "lapisline control: %s\n", buf_c (&err));
      code = EXIT_FAILED;
    }
  buf_free (&err);
  return code;
}
