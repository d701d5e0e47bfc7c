#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/trace.h"
#include "builtin/admin-client.h"
#include "lapisline.h"

/* One span as it came; strings belong to the answer. */
struct row
{
  const char *span;
  const char *parent;
  const char *node;
  const char *name;
  const char *detail;
  int64_t start;
  int64_t duration;
  bool printed;
};

static const char *
get_text (json_object *object, const char *key)
{
  json_object *value = NULL;
  json_object_object_get_ex (object, key, &value);
  const char *text = json_object_get_string (value);
  return text ? text : "";
}

static int64_t
get_int (json_object *object, const char *key)
{
  json_object *value = NULL;
  json_object_object_get_ex (object, key, &value);
  return json_object_get_int64 (value);
}

static int
by_start (const void *a, const void *b)
{
  const struct row *x = a;
  const struct row *y = b;
  return (x->start > y->start) - (x->start < y->start);
}

static bool
has_parent (const struct row *rows, size_t n, const struct row *r)
{
  for (size_t i = 0; i < n; i++)
    if (&rows[i] != r && strcmp (rows[i].span, r->parent) == 0)
      return true;
  return false;
}

static void
print_under (struct row *rows, size_t n, struct row *r, int depth)
{
  /* Spans come from other processes: one that is its own ancestor must not
     be followed for ever. */
  if (r->printed)
    return;
  r->printed = true;
  printf ("%+7lld ms %6lld ms  %*s%s  %s  %s\n",
          (long long)(r->start - rows[0].start), (long long)r->duration,
          2 * depth, "", r->name, r->node, r->detail);
  for (size_t i = 0; i < n; i++)
    if (strcmp (rows[i].parent, r->span) == 0)
      print_under (rows, n, &rows[i], depth + 1);
}

static void
print_tree (json_object *root)
{
  json_object *spans = NULL;
  json_object_object_get_ex (root, "spans", &spans);
  size_t n = spans ? json_object_array_length (spans) : 0;
  struct row *rows = xcalloc (n, sizeof *rows);
  for (size_t i = 0; i < n; i++)
    {
      json_object *s = json_object_array_get_idx (spans, i);
      rows[i] = (struct row){ .span = get_text (s, "span"),
                              .parent = get_text (s, "parent"),
                              .node = get_text (s, "node"),
                              .name = get_text (s, "name"),
                              .detail = get_text (s, "detail"),
                              .start = get_int (s, "start_ms"),
                              .duration = get_int (s, "duration_ms") };
    }
  if (n > 0)
    qsort (rows, n, sizeof *rows, by_start);
  for (size_t i = 0; i < n; i++)
    if (!has_parent (rows, n, &rows[i]))
      print_under (rows, n, &rows[i], 0);
  for (size_t i = 0; i < n; i++)
    print_under (rows, n, &rows[i], 0);
  free (rows);
}

static int
show_trace (const struct admin_client *a, const char *id)
{
  struct buf path = BUF_INIT;
  struct buf answer = BUF_INIT;
  buf_addf (&path, "/admin/v1/traces/%s", id);
  int code = admin_client_call (a, "GET", buf_c (&path), NULL, true, &answer);
  json_object *root
      = code == EXIT_DONE ? json_tokener_parse (buf_c (&answer)) : NULL;
  if (code == EXIT_DONE && a->json)
    fputs (buf_c (&answer), stdout);
  else if (root)
    print_tree (root);
  int64_t missing = root ? get_int (root, "missing_nodes") : 0;
  if (missing > 0)
    fprintf (stderr, "lapisline: %lld nodes gave no answer\n",
             (long long)missing);
  json_object_put (root);
  buf_free (&path);
  buf_free (&answer);
  return code;
}

int
cmd_trace (int argc, char **argv)
{
  struct admin_client a = { 0 };
  uint8_t trace[16];
  int code = EXIT_USAGE;
  if (!admin_client_options (&a, "ID",
                             "Print the spans of one trace over all nodes as "
                             "a tree.",
                             &argc, &argv))
    goto out;
  if (argc != 2 || !trc_parse_trace (str_from (argv[1]), trace))
    {
      fputs ("lapisline: give one trace id of 32 hexadecimal digits\n",
             stderr);
      goto out;
    }
  code = show_trace (&a, argv[1]);
out:
  admin_client_free (&a);
  return code;
}
