#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "builtin/config.h"
#include "config/folder.h"

/* --- show --------------------------------------------------------------- */

struct show_options
{
  struct conf_options where;
  char *out;
  gboolean files;
};

static int
no_answer (void)
{
  fputs ("lapisline: the store gives no answer\n", stderr);
  return EXIT_UNREACHABLE;
}

static int
show_document (struct conf_store *cs, const struct mft *m)
{
  const struct store_result *r = conf_get (cs, "doc/", m->doc);
  struct json_object *o;

  if (r->status != STORE_OK)
    return no_answer ();
  if (r->nkvs == 0)
    return EXIT_FAILED;
  o = json_tokener_parse (buf_c (&cs->value));
  printf ("// revision %lld by %.*s\n%s\n", (long long)m->revision,
          STR_ARG (m->who),
          json_object_to_json_string_ext (
              o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (o);
  return EXIT_DONE;
}

static void
show_files (const struct mft *m)
{
  printf ("revision %lld by %.*s\n", (long long)m->revision, STR_ARG (m->who));
  for (size_t i = 0; i < m->nfiles; i++)
    printf ("%.12s  %-12.*s  %.*s\n", m->files[i].hash.ptr,
            STR_ARG (m->files[i].who), STR_ARG (m->files[i].name));
}

static int
write_file (struct conf_store *cs, const char *folder,
            const struct mft_file *file)
{
  const struct store_result *r = conf_get (cs, "file/", file->hash);
  char *path;
  FILE *f;
  int code = EXIT_DONE;

  if (r->status != STORE_OK)
    return no_answer ();
  /* Names come from the store; mft_parse() has refused those with a slash. */
  path = g_build_filename (folder, file->name.ptr, NULL);
  f = fopen (path, "w");
  if (!f || fwrite (cs->value.ptr, 1, cs->value.len, f) != cs->value.len
      || fclose (f) != 0)
    {
      perror (path);
      code = EXIT_FAILED;
    }
  g_free (path);
  return code;
}

/** Write all files into a new folder, the base of a later push. */
static int
write_folder (struct conf_store *cs, const struct mft *m, const char *folder)
{
  int code = EXIT_DONE;

  if (mkdir (folder, 0777) != 0)
    {
      fprintf (stderr, "lapisline: can't make %s: %s\n", folder,
               strerror (errno));
      return EXIT_FAILED;
    }
  for (size_t i = 0; code == EXIT_DONE && i < m->nfiles; i++)
    code = write_file (cs, folder, &m->files[i]);
  if (code == EXIT_DONE)
    conf_write_base (folder, m->revision);
  return code;
}

static int
show_manifest (struct conf_store *cs, const struct show_options *o,
               const struct mft *m)
{
  if (m->revision == 0)
    {
      puts ("the store holds no configuration yet");
      return EXIT_FAILED;
    }
  if (o->out)
    return write_folder (cs, m, o->out);
  if (!o->files)
    return show_document (cs, m);
  show_files (m);
  return EXIT_DONE;
}

int
conf_show (int argc, char **argv)
{
  struct show_options o = { 0 };
  struct arena arena = { NULL };
  struct conf_store cs;
  struct mft m;
  const GOptionEntry entries[] = {
    CONF_STORE_ENTRIES (&o.where),
    { "files", 0, 0, G_OPTION_ARG_NONE, &o.files,
      "list the files and who changed each last", NULL },
    { "out", 0, 0, G_OPTION_ARG_FILENAME, &o.out,
      "write the files into a new folder", "DIR" },
    { 0 },
  };
  int code = EXIT_USAGE;

  if (conf_parse (entries, "",
                  "Show the configuration that was accepted last.", 0, &argc,
                  &argv)
      && (code = conf_store_open (&cs, &o.where)) == EXIT_DONE)
    {
      code = conf_manifest (&cs, &arena, &m);
      if (code == EXIT_DONE)
        code = show_manifest (&cs, &o, &m);
      conf_store_close (&cs);
    }
  arena_free (&arena);
  conf_options_free (&o.where);
  g_free (o.out);
  return code;
}

/* --- diff --------------------------------------------------------------- */

static bool
in_folder (const struct cfg_folder *f, struct str name)
{
  for (size_t i = 0; i < f->n; i++)
    if (str_is (name, f->files[i].name))
      return true;
  return false;
}

/** Print what a push of the folder would change; the number of files. */
static size_t
print_changes (const struct cfg_folder *f, const struct mft *m,
               struct arena *arena)
{
  size_t n = 0;

  for (size_t i = 0; i < f->n; i++)
    {
      struct str name = str_from (f->files[i].name);
      struct str hash
          = mft_hash (arena, str_make (f->files[i].text, f->files[i].len));
      const struct mft_file *theirs = mft_file (m, name);
      if (theirs && str_eq (theirs->hash, hash))
        continue;
      n++;
      if (theirs)
        printf ("changed %.*s (last changed by %.*s)\n", STR_ARG (name),
                STR_ARG (theirs->who));
      else
        printf ("added %.*s\n", STR_ARG (name));
    }
  for (size_t i = 0; i < m->nfiles; i++)
    if (!in_folder (f, m->files[i].name))
      {
        n++;
        printf ("removed %.*s (last changed by %.*s)\n",
                STR_ARG (m->files[i].name), STR_ARG (m->files[i].who));
      }
  return n;
}

static int
diff_folder (struct conf_store *cs, const char *path)
{
  struct arena arena = { NULL };
  struct cfg_folder folder = { 0 };
  struct buf merged = BUF_INIT;
  struct mft m;
  int code = EXIT_INPUT;

  if (conf_folder (path, &folder, &merged))
    code = conf_manifest (cs, &arena, &m);
  if (code == EXIT_DONE)
    {
      printf ("against revision %lld\n", (long long)m.revision);
      code = print_changes (&folder, &m, &arena) ? EXIT_FAILED : EXIT_DONE;
    }
  cfg_folder_free (&folder);
  buf_free (&merged);
  arena_free (&arena);
  return code;
}

int
conf_diff (int argc, char **argv)
{
  struct conf_options where = { 0 };
  struct conf_store cs;
  const GOptionEntry entries[] = { CONF_STORE_ENTRIES (&where), { 0 } };
  int code = EXIT_USAGE;

  if (conf_parse (entries, "DIR",
                  "Tell which files of the store a push would change.\n"
                  "Exit codes: 0 none, 1 some, 3 errors in the folder.",
                  1, &argc, &argv)
      && (code = conf_store_open (&cs, &where)) == EXIT_DONE)
    {
      code = diff_folder (&cs, argv[1]);
      conf_store_close (&cs);
    }
  conf_options_free (&where);
  return code;
}
