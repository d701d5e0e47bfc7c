#include "builtin/admin-client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "builtin/commands.h"
#include "lapisline.h"
#include "net/httpc.h"

#define CONNECT_MS (3 * CLK_SECOND)
#define ANSWER_MS (10 * CLK_SECOND)
#define MAX_TOKEN 4096

/* --- options ------------------------------------------------------------ */

/** A variable that is set to something, or NULL. */
static const char *
from_environment (const char *name)
{
  const char *value = g_getenv (name);

  return value && *value ? value : NULL;
}

bool
admin_client_options (struct admin_client *a, const char *parameters,
                      const char *summary, int *argc, char ***argv)
{
  GOptionEntry entries[] = {
    { "admin", 0, 0, G_OPTION_ARG_STRING, &a->admin,
      "admin address of any node's control (LAPISLINE_ADMIN)", "ADDR" },
    { "token-file", 0, 0, G_OPTION_ARG_FILENAME, &a->token_file,
      "file with the operator's token (LAPISLINE_TOKEN)", "FILE" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &a->json, "print JSON", NULL },
    { "undo", 0, 0, G_OPTION_ARG_NONE, &a->undo,
      "with drain: take the drain of a replica back", NULL },
    { 0 },
  };
  if (!commands_options (entries, parameters, summary, argc, argv))
    return false;
  if (!a->admin)
    a->admin = g_strdup (from_environment ("LAPISLINE_ADMIN"));
  if (a->admin)
    return true;
  fputs ("lapisline: give --admin ADDR or set LAPISLINE_ADMIN\n", stderr);
  return false;
}

void
admin_client_free (struct admin_client *a)
{
  g_free (a->admin);
  g_free (a->token_file);
}

/* Append the operator's token; false when there is none. */
static bool
read_token (const struct admin_client *a, struct buf *out)
{
  const char *env = from_environment ("LAPISLINE_TOKEN");
  const char *path = a->token_file ? a->token_file : env;
  char text[MAX_TOKEN];
  if (!path)
    {
      fputs ("lapisline: give --token-file FILE or set LAPISLINE_TOKEN\n",
             stderr);
      return false;
    }
  FILE *f = fopen (path, "r");
  if (!f)
    {
      perror (path);
      return false;
    }
  size_t n = fread (text, 1, sizeof text, f);
  fclose (f);
  buf_add (out, str_trim (str_make (text, n)));
  return true;
}

/* --- one call ----------------------------------------------------------- */

struct call
{
  int status;
  enum httpc_end end;
  struct buf *answer;
};

static bool
on_connected (void *ctx)
{
  return true;
}

static void
on_head (void *ctx, int status, const struct http_header *headers, size_t n)
{
  struct call *call = ctx;
  call->status = status;
}

static void
on_body (void *ctx, struct str bytes)
{
  struct call *call = ctx;
  buf_add (call->answer, bytes);
}

static void
on_end (void *ctx, enum httpc_end end)
{
  struct call *call = ctx;
  call->end = end;
}

static void
run_call (struct call *call, const struct httpc_request *req)
{
  static const struct httpc_callbacks callbacks
      = { .on_connected = on_connected,
          .on_head = on_head,
          .on_body = on_body,
          .on_end = on_end };
  uv_loop_t loop;
  uv_loop_init (&loop);
  struct httpc *http = httpc_new (&loop);
  httpc_start (http, req, &callbacks, call);
  while ((int)call->end < 0)
    uv_run (&loop, UV_RUN_ONCE);
  httpc_free (http);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_loop_close (&loop);
}

/* The message of an error answer, or the answer itself. */
static void
print_refusal (int status, struct buf *answer)
{
  json_object *root = jsn_parse (buf_str (answer));
  const char *message = jsn_text (jsn_get (root, "error"), "message");
  if (message[0] != '\0')
    fprintf (stderr, "lapisline: %s\n", message);
  else
    fprintf (stderr, "lapisline: status %d: %s\n", status, buf_c (answer));
  json_object_put (root);
}

static int
judge_call (const struct admin_client *a, const struct call *call, bool change)
{
  if (call->end == HTTPC_COMPLETE && call->status == 200)
    return EXIT_DONE;
  if (call->end == HTTPC_COMPLETE)
    {
      if (!a->quiet)
        print_refusal (call->status, call->answer);
      return call->status == 504 && change ? EXIT_UNKNOWN : EXIT_FAILED;
    }
  if (call->end == HTTPC_CONNECT_FAILED)
    {
      if (!a->quiet)
        fprintf (stderr, "lapisline: nobody answers at %s\n", a->admin);
      return EXIT_UNREACHABLE;
    }
  if (!a->quiet)
    fprintf (stderr, "lapisline: the answer of %s was cut%s\n", a->admin,
             change ? "; the change may or may not have happened" : "");
  return change ? EXIT_UNKNOWN : EXIT_UNREACHABLE;
}

int
admin_client_call (const struct admin_client *a, const char *method,
                   const char *path, const char *body, bool with_token,
                   struct buf *answer)
{
  struct buf bearer = BUF_INIT;
  struct call call = { .end = (enum httpc_end) - 1, .answer = answer };
  struct httpc_request req = { .method = str_from (method),
                               .path = str_from (path),
                               .body = str_from (body),
                               .connect_ms = CONNECT_MS,
                               .progress_ms = ANSWER_MS,
                               .fresh = true };
  if (!net_addr_parse (str_from (a->admin), false, &req.to))
    {
      fprintf (stderr, "lapisline: '%s' is not an IP number with a port\n",
               a->admin);
      return EXIT_USAGE;
    }
  buf_add_c (&bearer, "Bearer ");
  if (with_token && !read_token (a, &bearer))
    {
      buf_free (&bearer);
      return EXIT_USAGE;
    }
  struct http_header headers[]
      = { { STR ("authorization"), buf_str (&bearer) } };
  req.headers = headers;
  req.nheaders = with_token ? 1 : 0;
  run_call (&call, &req);
  buf_free (&bearer);
  return judge_call (a, &call, strcmp (method, "GET") != 0);
}

int
admin_client_get (const struct admin_client *a, const char *path,
                  json_object **root)
{
  struct buf answer = BUF_INIT;
  int code = admin_client_call (a, "GET", path, NULL, true, &answer);
  *root = code == EXIT_DONE ? jsn_parse (buf_str (&answer)) : NULL;
  if (code == EXIT_DONE && a->json)
    fputs (buf_c (&answer), stdout);
  buf_free (&answer);
  return code;
}

/* --- tables ------------------------------------------------------------- */

/* Longest text of a cell, its end included; what is longer is cut. */
#define CELL_SIZE 256

/* What a cell shows; `text` backs it where the value is no string. */
static const char *
cell_text (json_object *row, const char *key, char *text, size_t size)
{
  json_object *value = jsn_get (row, key);
  if (!value)
    return "-";
  switch (json_object_get_type (value))
    {
    case json_type_boolean:
      return json_object_get_boolean (value) ? "yes" : "no";
    case json_type_string:
      snprintf (text, size, "%s", json_object_get_string (value));
      return text[0] ? text : "-";
    default:
      snprintf (
          text, size, "%s",
          json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN));
      return text;
    }
}

/* Every column but the last is filled up to its width. */
static void
print_cell (const char *text, int width, bool last)
{
  printf ("%-*s%s", last ? 0 : width, text, last ? "\n" : "  ");
}

static int
column_width (json_object *rows, size_t nrows,
              const struct admin_column *column)
{
  char text[CELL_SIZE];
  size_t width = strlen (column->title);
  for (size_t i = 0; i < nrows; i++)
    {
      json_object *row = json_object_array_get_idx (rows, i);
      size_t len = strlen (cell_text (row, column->key, text, sizeof text));
      width = MAX (width, len);
    }
  return (int)width;
}

bool
admin_client_table (json_object *root, const char *key,
                    const struct admin_column *columns, size_t n)
{
  char text[CELL_SIZE];
  size_t nrows;
  json_object *rows = jsn_array (root, key, &nrows);
  if (!rows)
    return false;
  int *width = xcalloc (n, sizeof *width);
  for (size_t c = 0; c < n; c++)
    {
      width[c] = column_width (rows, nrows, &columns[c]);
      print_cell (columns[c].title, width[c], c + 1 == n);
    }
  for (size_t i = 0; i < nrows; i++)
    for (size_t c = 0; c < n; c++)
      {
        json_object *row = json_object_array_get_idx (rows, i);
        print_cell (cell_text (row, columns[c].key, text, sizeof text),
                    width[c], c + 1 == n);
      }
  free (width);
  return true;
}

static void
print_object (json_object *object)
{
  char text[1024];
  json_object_object_foreach (object, key, value)
  {
    (void)value;
    printf ("%-14s %s\n", key, cell_text (object, key, text, sizeof text));
  }
}

/* --- resources: list, show, drain --------------------------------------- */

static int
run_list (const struct admin_client *a, const struct admin_resource *resource)
{
  struct buf path = BUF_INIT;
  json_object *root;
  buf_addf (&path, "/admin/v1/%s", resource->path);
  int code = admin_client_get (a, buf_c (&path), &root);
  if (!a->json)
    admin_client_table (root, resource->path, resource->columns,
                        resource->ncolumns);
  json_object_put (root);
  buf_free (&path);
  return code;
}

static int
run_show (const struct admin_client *a, const struct admin_resource *resource,
          const char *name)
{
  struct buf path = BUF_INIT;
  json_object *root;
  buf_addf (&path, "/admin/v1/%s/%s", resource->path, name);
  int code = admin_client_get (a, buf_c (&path), &root);
  if (!a->json && json_object_is_type (root, json_type_object))
    print_object (root);
  json_object_put (root);
  buf_free (&path);
  return code;
}

static int
run_drain (const struct admin_client *a, const struct admin_resource *resource,
           const char *name)
{
  struct buf path = BUF_INIT;
  struct buf answer = BUF_INIT;
  buf_addf (&path, "/admin/v1/%s/%s/drain", resource->path, name);
  int code = admin_client_call (a, "POST", buf_c (&path),
                                a->undo ? "{\"on\":false}" : "{\"on\":true}",
                                true, &answer);
  if (code == EXIT_DONE && a->json)
    fputs (buf_c (&answer), stdout);
  else if (code == EXIT_DONE)
    printf ("%s %s: %s\n", resource->name, name,
            a->undo ? "no longer draining" : "draining");
  buf_free (&path);
  buf_free (&answer);
  return code;
}

static bool
is_name (const char *text)
{
  return text[0] != '\0'
         && strspn (text, "abcdefghijklmnopqrstuvwxyz"
                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
                == strlen (text);
}

static int
run_verb (const struct admin_client *a, const struct admin_resource *resource,
          int argc, char **argv)
{
  const char *verb = argc > 1 ? argv[1] : "";
  if (argc == 2 && strcmp (verb, "list") == 0)
    return run_list (a, resource);
  if (argc == 3 && !is_name (argv[2]))
    {
      fprintf (stderr, "lapisline: '%s' is not a name\n", argv[2]);
      return EXIT_USAGE;
    }
  if (argc == 3 && resource->can_show && strcmp (verb, "show") == 0)
    return run_show (a, resource, argv[2]);
  if (argc == 3 && resource->can_drain && strcmp (verb, "drain") == 0)
    return run_drain (a, resource, argv[2]);
  fprintf (stderr, "lapisline: see 'lapisline %s --help'\n", resource->name);
  return EXIT_USAGE;
}

int
admin_client_resource (const struct admin_resource *resource, int argc,
                       char **argv)
{
  struct admin_client a = { 0 };
  char parameters[64];
  snprintf (parameters, sizeof parameters, "list%s%s",
            resource->can_show ? " | show NAME" : "",
            resource->can_drain ? " | drain NAME" : "");
  int code = EXIT_USAGE;
  if (admin_client_options (&a, parameters, resource->summary, &argc, &argv))
    code = run_verb (&a, resource, argc, argv);
  admin_client_free (&a);
  return code;
}
