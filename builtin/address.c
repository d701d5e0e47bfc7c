#include <stdio.h>

#include "base/json.h"
#include "builtin/admin-client.h"
#include "builtin/commands.h"
#include "lapisline.h"

struct options
{
  struct admin_client client; /**< a gateway takes the same calls */
  char *model;
  char *service;
};

static const struct admin_column columns[]
    = { { "NODE", "node" }, { "ADDRESS", "address" } };

static bool
parse (struct options *o, int *argc, char ***argv)
{
  GOptionEntry entries[]
      = { { "gateway", 0, 0, G_OPTION_ARG_STRING, &o->client.admin,
            "any gateway's address for callers", "ADDR" },
          { "key-file", 0, 0, G_OPTION_ARG_FILENAME, &o->client.token_file,
            "file with the account's bearer key", "FILE" },
          { "model", 0, 0, G_OPTION_ARG_STRING, &o->model, "a model", "NAME" },
          { "service", 0, 0, G_OPTION_ARG_STRING, &o->service, "or a service",
            "NAME" },
          { "json", 0, 0, G_OPTION_ARG_NONE, &o->client.json,
            "print the answer as it came", NULL },
          { 0 } };

  return commands_options (
      entries, "- which address to use",
      "Ask a gateway which addresses an account's caller should use.", argc,
      argv);
}

static bool
complete (const struct options *o, int argc)
{
  bool one = (o->model != NULL) != (o->service != NULL);

  if (argc == 1 && one && o->client.admin && o->client.token_file)
    return true;
  fputs ("lapisline address: --gateway, --key-file and one of --model and "
         "--service are needed\n",
         stderr);
  return false;
}

static void
print_addresses (struct str answer)
{
  json_object *root = jsn_parse (answer);

  admin_client_table (root, "addresses", columns, G_N_ELEMENTS (columns));
  if (jsn_get (root, "valid_ms"))
    printf ("valid for %lld ms\n", (long long)jsn_int (root, "valid_ms"));
  json_object_put (root);
}

static int
ask (const struct options *o)
{
  struct buf path = BUF_INIT, answer = BUF_INIT;

  buf_addf (&path, "/v1/address?%s=%s", o->model ? "model" : "service",
            o->model ? o->model : o->service);
  int code = admin_client_call (&o->client, "GET", buf_c (&path), NULL, true,
                                &answer);
  if (code == EXIT_DONE && o->client.json)
    fputs (buf_c (&answer), stdout);
  else if (code == EXIT_DONE)
    print_addresses (buf_str (&answer));
  buf_free (&path);
  buf_free (&answer);
  return code;
}

int
cmd_address (int argc, char **argv)
{
  struct options o = { 0 };
  int code = EXIT_USAGE;

  if (parse (&o, &argc, &argv) && complete (&o, argc))
    code = ask (&o);
  g_free (o.model);
  g_free (o.service);
  admin_client_free (&o.client);
  return code;
}
