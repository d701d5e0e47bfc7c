#include "base/metric.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

enum met_kind
{
  MET_COUNTER,
  MET_GAUGE,
  MET_HISTOGRAM
};

static const double bounds[]
    = { 1,   2,    5,    10,   20,    50,    100,  200,
        500, 1000, 2000, 5000, 10000, 20000, 60000 };

#define NBOUNDS (sizeof bounds / sizeof bounds[0])

static const char *const kind_names[] = {
  [MET_COUNTER] = "counter",
  [MET_GAUGE] = "gauge",
  [MET_HISTOGRAM] = "histogram",
};

struct met_series
{
  char *labels; /* NULL: none */
  double value; /* of a histogram: the sum */
  uint64_t count;
  uint64_t *buckets; /* NBOUNDS, not cumulative; NULL unless a histogram */
};

struct family
{
  char *name;
  char *help;
  enum met_kind kind;
  GHashTable *by_labels; /* borrowed keys of the series */
  GPtrArray *series;     /* in order of creation */
};

struct met_reg
{
  GHashTable *by_name;
  GPtrArray *families;
};

static void
free_series (void *p)
{
  struct met_series *s = p;
  free (s->labels);
  free (s->buckets);
  free (s);
}

static void
free_family (void *p)
{
  struct family *f = p;
  g_hash_table_destroy (f->by_labels);
  g_ptr_array_free (f->series, TRUE);
  free (f->name);
  free (f->help);
  free (f);
}

struct met_reg *
met_new (void)
{
  struct met_reg *reg = xcalloc (1, sizeof *reg);
  reg->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  reg->families = g_ptr_array_new_with_free_func (free_family);
  return reg;
}

void
met_free (struct met_reg *reg)
{
  if (!reg)
    return;
  g_hash_table_destroy (reg->by_name);
  g_ptr_array_free (reg->families, TRUE);
  free (reg);
}

static struct family *
find_family (struct met_reg *reg, enum met_kind kind, const char *name,
             const char *help)
{
  struct family *f = g_hash_table_lookup (reg->by_name, name);
  if (f)
    return f;
  f = xcalloc (1, sizeof *f);
  f->name = xstrdup (name);
  f->help = xstrdup (help);
  f->kind = kind;
  f->by_labels = g_hash_table_new (g_str_hash, g_str_equal);
  f->series = g_ptr_array_new_with_free_func (free_series);
  g_hash_table_insert (reg->by_name, f->name, f);
  g_ptr_array_add (reg->families, f);
  return f;
}

static struct met_series *
find_series (struct met_reg *reg, enum met_kind kind, const char *name,
             const char *help, const char *labels)
{
  struct family *f = find_family (reg, kind, name, help);
  const char *key = labels ? labels : "";
  struct met_series *s = g_hash_table_lookup (f->by_labels, key);
  if (s)
    return s;
  s = xcalloc (1, sizeof *s);
  s->labels = xstrdup (key);
  if (f->kind == MET_HISTOGRAM)
    s->buckets = xcalloc (NBOUNDS, sizeof *s->buckets);
  g_hash_table_insert (f->by_labels, s->labels, s);
  g_ptr_array_add (f->series, s);
  return s;
}

struct met_series *
met_counter (struct met_reg *reg, const char *name, const char *help,
             const char *labels)
{
  return find_series (reg, MET_COUNTER, name, help, labels);
}

struct met_series *
met_gauge (struct met_reg *reg, const char *name, const char *help,
           const char *labels)
{
  return find_series (reg, MET_GAUGE, name, help, labels);
}

struct met_series *
met_histogram (struct met_reg *reg, const char *name, const char *help,
               const char *labels)
{
  return find_series (reg, MET_HISTOGRAM, name, help, labels);
}

void
met_add (struct met_series *s, double n)
{
  s->value += n;
}

void
met_set (struct met_series *s, double value)
{
  s->value = value;
}

void
met_observe (struct met_series *s, double ms)
{
  s->value += ms;
  s->count++;
  for (size_t i = 0; s->buckets && i < NBOUNDS; i++)
    if (ms <= bounds[i])
      {
        s->buckets[i]++;
        return;
      }
}

double
met_value (const struct met_series *s)
{
  return s->value;
}

static void
add_number (struct buf *out, double v)
{
  if (v == floor (v) && fabs (v) < 1e15)
    buf_addf (out, "%lld\n", (long long)v);
  else
    buf_addf (out, "%.15g\n", v);
}

/* NAME[SUFFIX][{LABELS[,EXTRA]}] and a space. */
static void
add_name (struct buf *out, const struct family *f, const char *suffix,
          const char *labels, const char *extra)
{
  buf_addf (out, "%s%s", f->name, suffix);
  if (*labels || *extra)
    buf_addf (out, "{%s%s%s}", labels, *labels && *extra ? "," : "", extra);
  buf_add_char (out, ' ');
}

static void
expose_histogram (const struct family *f, const struct met_series *s,
                  struct buf *out)
{
  uint64_t total = 0;
  char le[32];
  for (size_t i = 0; i < NBOUNDS; i++)
    {
      total += s->buckets[i];
      g_snprintf (le, sizeof le, "le=\"%.0f\"", bounds[i]);
      add_name (out, f, "_bucket", s->labels, le);
      add_number (out, (double)total);
    }
  add_name (out, f, "_bucket", s->labels, "le=\"+Inf\"");
  add_number (out, (double)s->count);
  add_name (out, f, "_sum", s->labels, "");
  add_number (out, s->value);
  add_name (out, f, "_count", s->labels, "");
  add_number (out, (double)s->count);
}

static void
expose_family (const struct family *f, struct buf *out)
{
  buf_addf (out, "# HELP %s %s\n# TYPE %s %s\n", f->name, f->help, f->name,
            kind_names[f->kind]);
  for (guint i = 0; i < f->series->len; i++)
    {
      const struct met_series *s = f->series->pdata[i];
      if (f->kind == MET_HISTOGRAM)
        {
          expose_histogram (f, s, out);
          continue;
        }
      add_name (out, f, "", s->labels, "");
      add_number (out, s->value);
    }
}

void
met_expose (const struct met_reg *reg, struct buf *out)
{
  for (guint i = 0; i < reg->families->len; i++)
    expose_family (reg->families->pdata[i], out);
}
