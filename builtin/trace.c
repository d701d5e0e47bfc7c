#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json.h"
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
  size_t n;
  json_object *spans = jsn_array (root, "spans", &n);
  struct row *rows = xcalloc (n, sizeof *rows);
  for (size_t i = 0; i < n; i++)
    {
      json_object *s = json_object_array_get_idx (spans, i);
      rows[i] = (struct row){ .span = jsn_text (s, "span"),
                              .parent = jsn_text (s, "parent"),
                              .node = jsn_text (s, "node"),
                              .name = jsn_text (s, "name"),
                              .detail = jsn_text (s, "detail"),
                              .start = jsn_int (s, "start_ms"),
                              .duration = jsn_int (s, "duration_ms") };
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

static bool
has_spans (json_object *root)
{
  size_t n;

  jsn_array (root, "spans", &n);
  return n > 0;
}

static int
show_trace (const struct admin_client *a, const char *id)
{
  struct buf path = BUF_INIT;
  json_object *root;
  buf_addf (&path, "/admin/v1/traces/%s", id);
  int code = admin_client_get (a, buf_c (&path), &root);
  if (!a->json)
    print_tree (root);
  if (root && !has_spans (root))
    {
      fputs ("lapisline: no node that answered has spans of this trace\n",
             stderr);
      code = EXIT_FAILED;
    }
  int64_t missing = jsn_int (root, "missing_nodes");
  if (missing > 0)
    fprintf (stderr, "lapisline: %lld nodes gave no answer\n",
             (long long)missing);
  json_object_put (root);
  buf_free (&path);
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
