#include <stdio.h>
#include <string.h>

#include "base/rng.h"
#include "builtin/config.h"
#include "config/push.h"
#include "config/read.h"

#define SUMMARY                                                               \
  "Check a folder and put it in force: on every node, or nowhere.\n"          \
  "What another operator changed in other files since the base is kept; a\n"  \
  "file that both changed is refused.  Exit codes: 0 accepted or "            \
  "unchanged,\n"                                                              \
  "1 clash, 3 errors in the folder, 4 the store gave no answer and nothing\n" \
  "was changed, 5 it may or may not have been accepted."

struct push_options
{
  struct conf_options where;
  char *who;
  gint64 base;
};

static const struct store_result *
perform (struct conf_store *cs, const struct psh_action *a)
{
  switch (a->kind)
    {
    case PSH_RANGE:
      return conf_range (cs, a->key);
    case PSH_TXN:
      return conf_txn (cs, &a->txn);
    default:
      uv_sleep ((unsigned)a->wait_ms);
      return NULL;
    }
}

static void
run_push (struct conf_store *cs, struct psh *p)
{
  const struct store_result *answer = NULL;
  struct psh_action a;

  while (psh_next (p, answer, &a))
    answer = perform (cs, &a);
}

static void
print_accepted (const struct psh *p)
{
  struct buf text = BUF_INIT;

  psh_summary (p, &text);
  printf ("accepted at revision %lld\n%s", (long long)psh_revision (p),
          buf_c (&text));
  if (!psh_folder_is_whole (p))
    puts ("other operators' files were kept; 'config show --out DIR' has all");
  buf_free (&text);
}

static int
report (const struct psh *p, const char *folder)
{
  conf_print_findings (psh_findings (p), stderr);
  switch (psh_state (p))
    {
    case PSH_ACCEPTED:
      print_accepted (p);
      break;
    case PSH_UNCHANGED:
      printf ("unchanged: nothing here is newer than revision %lld\n",
              (long long)psh_revision (p));
      break;
    case PSH_CLASH:
      puts ("clash: nothing was changed");
      return EXIT_FAILED;
    case PSH_INVALID:
      puts ("invalid: nothing was changed");
      return EXIT_INPUT;
    case PSH_UNAVAILABLE:
      puts ("unavailable: the store gave no answer; nothing was changed");
      return EXIT_UNREACHABLE;
    default:
      puts ("unknown: the store gave no answer that tells whether it was "
            "accepted; push again to find out");
      return EXIT_UNKNOWN;
    }
  /* With other operators' files kept, the folder is older than that revision:
     named as the next base it would take their changes back. */
  if (psh_folder_is_whole (p))
    conf_write_base (folder, psh_revision (p));
  return EXIT_DONE;
}

static int
push_folder (struct conf_store *cs, const struct push_options *o,
             const char *path)
{
  int64_t base = o->base ? o->base : conf_read_base (path);
  struct cfg_folder folder = { 0 };
  struct buf merged = BUF_INIT;
  int code = EXIT_INPUT;
  struct psh *p;

  if (conf_folder (path, &folder, &merged))
    {
      p = psh_new (&folder, cs->prefix, base, str_from (o->who),
                   rng_entropy (), clk_wall ());
      run_push (cs, p);
      code = report (p, path);
      if (code != EXIT_DONE && base && !o->base)
        fprintf (stderr, "lapisline: base %lld is from %s/%s\n",
                 (long long)base, path, CONF_REVISION_FILE);
      psh_free (p);
    }
  cfg_folder_free (&folder);
  buf_free (&merged);
  return code;
}

static bool
check_who (struct push_options *o)
{
  if (!o->who)
    o->who = g_strdup (g_get_user_name ());
  if (rd_is_name (str_from (o->who)))
    return true;
  fprintf (stderr, "lapisline: '%s' is not an operator's name; give --who\n",
           o->who);
  return false;
}

int
conf_push (int argc, char **argv)
{
  struct push_options o = { 0 };
  struct conf_store cs;
  const GOptionEntry entries[] = {
    CONF_STORE_ENTRIES (&o.where),
    { "who", 0, 0, G_OPTION_ARG_STRING, &o.who,
      "operator's name, kept with the change (default: user name)", "NAME" },
    { "base", 0, 0, G_OPTION_ARG_INT64, &o.base,
      "revision that the folder was made from (default: the one kept in "
      "the folder's " CONF_REVISION_FILE ", else the store's)",
      "REVISION" },
    { 0 },
  };
  int code = EXIT_USAGE;

  if (conf_parse (entries, "DIR", SUMMARY, 1, &argc, &argv) && check_who (&o))
    {
      code = conf_store_open (&cs, &o.where);
      if (code == EXIT_DONE)
        {
          code = push_folder (&cs, &o, argv[1]);
          conf_store_close (&cs);
        }
    }
  conf_options_free (&o.where);
  g_free (o.who);
  return code;
}
