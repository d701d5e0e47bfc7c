#include <stdio.h>

#include "base/json.h"
#include "builtin/admin-client.h"
#include "builtin/config.h"

#define POLL_MS 200
#define DEFAULT_TIMEOUT_S 30

#define SUMMARY                                                               \
  "Show the revision that each live node has in force.\n"                     \
  "Exit codes: 0 all have the wanted revision, 1 some do not (with --wait:\n" \
  "not within the timeout), 4 no answer."

struct status_options
{
  struct admin_client admin;
  struct conf_options where;
  gboolean wait;
  gint64 revision;
  gint timeout_s;
};

/** A node that leaves serves what it has and takes nothing new. */
static bool
counts (json_object *node)
{
  return !str_is (jsn_str (node, "status"), "leaving");
}

static bool
all_have (json_object *root, int64_t revision)
{
  size_t n;
  json_object *nodes = jsn_array (root, "nodes", &n);

  for (size_t i = 0; i < n; i++)
    {
      json_object *node = json_object_array_get_idx (nodes, i);
      if (counts (node) && jsn_int (node, "revision") < revision)
        return false;
    }
  return n > 0;
}

static int64_t
highest (json_object *root)
{
  size_t n;
  json_object *nodes = jsn_array (root, "nodes", &n);
  int64_t revision = jsn_int (root, "revision");

  for (size_t i = 0; i < n; i++)
    {
      int64_t has = jsn_int (json_object_array_get_idx (nodes, i), "revision");
      revision = has > revision ? has : revision;
    }
  return revision;
}

static json_object *
ask (const struct status_options *o, int *code)
{
  struct buf answer = BUF_INIT;
  json_object *root = NULL;

  *code = admin_client_call (&o->admin, "GET", "/admin/v1/status", NULL, true,
                             &answer);
  if (*code == EXIT_DONE)
    root = jsn_parse (buf_str (&answer));
  buf_free (&answer);
  return root;
}

static void
print_status (const struct status_options *o, json_object *root,
              int64_t wanted)
{
  static const struct admin_column columns[] = {
    { "NODE", "node" },
    { "ZONE", "zone" },
    { "STATUS", "status" },
    { "REVISION", "revision" },
  };

  if (o->admin.json)
    puts (json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  else if (admin_client_table (root, "nodes", columns, G_N_ELEMENTS (columns)))
    printf ("wanted: revision %lld: %s\n", (long long)wanted,
            all_have (root, wanted) ? "in force on all live nodes"
                                    : "not in force on all live nodes");
}

/** The revision that all should have: given, or the store's, or the highest
    that any node reports. */
static int
wanted_revision (struct status_options *o)
{
  struct conf_store cs;
  struct arena arena = { NULL };
  struct mft m = { 0 };
  int code;

  if (o->revision || (!o->where.settings && !o->where.store))
    return EXIT_DONE;
  code = conf_store_open (&cs, &o->where);
  if (code != EXIT_DONE)
    return code;
  code = conf_manifest (&cs, &arena, &m);
  o->revision = m.revision;
  conf_store_close (&cs);
  arena_free (&arena);
  return code;
}

static int
follow (struct status_options *o)
{
  clk_ms until = clk_now () + o->timeout_s * CLK_SECOND;
  json_object *root = NULL;
  int64_t wanted = 0;
  bool done = false;
  int code;

  /* Nodes that start, or know no operator yet, refuse at first. */
  o->admin.quiet = o->wait;
  for (;;)
    {
      root = ask (o, &code);
      wanted = o->revision ? o->revision : highest (root);
      done = root && wanted > 0 && all_have (root, wanted);
      if (done || !o->wait || code == EXIT_USAGE || clk_now () >= until)
        break;
      json_object_put (root);
      uv_sleep (POLL_MS);
    }
  if (root)
    print_status (o, root, wanted);
  else if (o->wait && code != EXIT_USAGE)
    fprintf (stderr, "lapisline: no status from %s within %d s\n",
             o->admin.admin, o->timeout_s);
  json_object_put (root);
  return code != EXIT_DONE || done ? code : EXIT_FAILED;
}

static bool
take_admin (struct status_options *o)
{
  if (!o->admin.admin)
    o->admin.admin = g_strdup (g_getenv ("LAPISLINE_ADMIN"));
  if (o->admin.admin)
    return true;
  fputs ("lapisline: give --admin ADDR or set LAPISLINE_ADMIN\n", stderr);
  return false;
}

int
conf_status (int argc, char **argv)
{
  struct status_options o = { .timeout_s = DEFAULT_TIMEOUT_S };
  const GOptionEntry entries[] = {
    { "admin", 0, 0, G_OPTION_ARG_STRING, &o.admin.admin,
      "admin address of any node's control (LAPISLINE_ADMIN)", "ADDR" },
    { "token-file", 0, 0, G_OPTION_ARG_FILENAME, &o.admin.token_file,
      "file with the operator's token (LAPISLINE_TOKEN)", "FILE" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &o.admin.json, "print JSON", NULL },
    { "wait", 0, 0, G_OPTION_ARG_NONE, &o.wait,
      "wait until all live nodes have the revision in force", NULL },
    { "revision", 0, 0, G_OPTION_ARG_INT64, &o.revision,
      "revision to look for (default: the store's, else the highest of any "
      "node)",
      "REVISION" },
    { "timeout", 0, 0, G_OPTION_ARG_INT, &o.timeout_s,
      "longest wait in seconds (default 30)", "SECONDS" },
    CONF_STORE_ENTRIES (&o.where),
    { 0 },
  };
  int code = EXIT_USAGE;

  if (conf_parse (entries, "", SUMMARY, 0, &argc, &argv) && take_admin (&o)
      && (code = wanted_revision (&o)) == EXIT_DONE)
    code = follow (&o);
  admin_client_free (&o.admin);
  conf_options_free (&o.where);
  return code;
}
