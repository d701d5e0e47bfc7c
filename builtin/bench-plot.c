#include "builtin/bench.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/str.h"
#include "builtin/commands.h"
#include "lapisline.h"

#define PLOT_MAX_SERIES 8
#define PLOT_MAX_ROWS 256

/* Size of the picture and of the margins around the axes, in pixels. */
#define WIDTH 640
#define HEIGHT 400
#define LEFT 70
#define RIGHT 150
#define TOP 40
#define BOTTOM 50
#define TICKS 5

static const char *const colours[PLOT_MAX_SERIES]
    = { "#1b6ca8", "#c8553d", "#4a8f4f", "#8a5fa8",
        "#b08a1e", "#3a9a9a", "#777777", "#a83a6c" };

/** A table read from CSV: "# TITLE|X LABEL|Y LABEL", names, numbers. */
struct table
{
  gchar **labels; /**< title, x label, y label */
  gchar **names;  /**< x, then one per series */
  int nseries;
  int nrows;
  double cell[PLOT_MAX_ROWS][PLOT_MAX_SERIES + 1];
};

struct axes
{
  double x0, x1, y0, y1;
  bool log_x, log_y;
};

static bool
complain (const char *file, int line, const char *text)
{
  fprintf (stderr, "%s:%d: error: %s\n", file, line, text);
  return false;
}

static bool
read_row (struct table *t, const char *file, int line, const char *text)
{
  gchar **cells = g_strsplit (text, ",", -1);
  bool ok = (int)g_strv_length (cells) == t->nseries + 1;

  if (!ok)
    complain (file, line, "not as many cells as there are names");
  else if (t->nrows == PLOT_MAX_ROWS)
    ok = complain (file, line, "more than 256 rows");
  for (int i = 0; ok && i <= t->nseries; i++)
    {
      char *end;
      t->cell[t->nrows][i] = g_ascii_strtod (cells[i], &end);
      if (end == cells[i])
        ok = complain (file, line, "not a number");
    }
  t->nrows += ok;
  g_strfreev (cells);
  return ok;
}

static bool
read_line (struct table *t, const char *file, int line, const char *text)
{
  if (line == 1 && text[0] == '#')
    {
      t->labels = g_strsplit (text + 1, "|", 3);
      return g_strv_length (t->labels) == 3
             || complain (file, line, "expected '# TITLE|X LABEL|Y LABEL'");
    }
  if (t->labels == NULL)
    return complain (file, line, "expected '# TITLE|X LABEL|Y LABEL'");
  if (text[0] == '\0' || text[0] == '#')
    return true;
  if (t->names != NULL)
    return read_row (t, file, line, text);
  t->names = g_strsplit (text, ",", -1);
  t->nseries = (int)g_strv_length (t->names) - 1;
  return (t->nseries >= 1 && t->nseries <= PLOT_MAX_SERIES)
         || complain (file, line, "expected one to eight series");
}

static bool
read_table (struct table *t, const char *file, const char *text)
{
  gchar **lines = g_strsplit (text, "\n", -1);
  bool ok = true;
  for (int i = 0; ok && lines[i] != NULL; i++)
    ok = read_line (t, file, i + 1, g_strstrip (lines[i]));
  if (ok && t->nrows == 0)
    ok = complain (file, 0, "no rows");
  g_strfreev (lines);
  return ok;
}

static double
scale (double v, bool log_scale)
{
  return log_scale ? log10 (fmax (v, 1e-9)) : v;
}

static void
span_of (const struct table *t, int from, int to, bool log_scale, double *lo,
         double *hi)
{
  *lo = log_scale ? INFINITY : 0;
  *hi = -INFINITY;
  for (int r = 0; r < t->nrows; r++)
    for (int c = from; c <= to; c++)
      {
        double v = scale (t->cell[r][c], log_scale);
        *lo = fmin (*lo, v);
        *hi = fmax (*hi, v);
      }
  if (*hi <= *lo)
    *hi = *lo + 1;
}

static double
px (const struct axes *a, double x)
{
  double v = (scale (x, a->log_x) - a->x0) / (a->x1 - a->x0);
  return LEFT + v * (WIDTH - LEFT - RIGHT);
}

static double
py (const struct axes *a, double y)
{
  double v = (scale (y, a->log_y) - a->y0) / (a->y1 - a->y0);
  return HEIGHT - BOTTOM - v * (HEIGHT - TOP - BOTTOM);
}

static void
text_at (struct buf *out, double x, double y, const char *anchor,
         const char *text)
{
  gchar *safe = g_markup_escape_text (text, -1);
  buf_addf (out,
            "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\" "
            "font-size=\"12\" font-family=\"sans-serif\">%s</text>\n",
            x, y, anchor, safe);
  g_free (safe);
}

static void
draw_axes (struct buf *out, const struct table *t, const struct axes *a)
{
  char label[32];
  double bottom = HEIGHT - BOTTOM;
  double right = WIDTH - RIGHT;

  buf_addf (out,
            "<path d=\"M%d %d V%.0f H%.0f\" fill=\"none\" "
            "stroke=\"#333\"/>\n",
            LEFT, TOP, bottom, right);
  for (int i = 0; i <= TICKS; i++)
    {
      double fx = a->x0 + (a->x1 - a->x0) * i / TICKS;
      double fy = a->y0 + (a->y1 - a->y0) * i / TICKS;
      double x = LEFT + (right - LEFT) * i / TICKS;
      double y = bottom - (bottom - TOP) * i / TICKS;
      snprintf (label, sizeof label, "%.4g", a->log_x ? pow (10, fx) : fx);
      text_at (out, x, bottom + 16, "middle", label);
      snprintf (label, sizeof label, "%.4g", a->log_y ? pow (10, fy) : fy);
      text_at (out, LEFT - 6, y + 4, "end", label);
    }
  text_at (out, (LEFT + right) / 2, 20, "middle", t->labels[0]);
  text_at (out, (LEFT + right) / 2, HEIGHT - 12, "middle", t->labels[1]);
  text_at (out, 8, TOP - 10, "start", t->labels[2]);
}

static void
draw_series (struct buf *out, const struct table *t, const struct axes *a,
             int c)
{
  double y = TOP + 18.0 * c;

  buf_addf (out,
            "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"%s\" "
            "points=\"",
            colours[c - 1]);
  for (int r = 0; r < t->nrows; r++)
    buf_addf (out, "%.1f,%.1f ", px (a, t->cell[r][0]), py (a, t->cell[r][c]));
  buf_add_c (out, "\"/>\n");
  for (int r = 0; r < t->nrows; r++)
    buf_addf (out, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"%s\"/>\n",
              px (a, t->cell[r][0]), py (a, t->cell[r][c]), colours[c - 1]);
  buf_addf (out,
            "<rect x=\"%d\" y=\"%.0f\" width=\"12\" height=\"4\" "
            "fill=\"%s\"/>\n",
            WIDTH - RIGHT + 12, y - 5, colours[c - 1]);
  text_at (out, WIDTH - RIGHT + 30, y, "start", t->names[c]);
}

static void
draw (struct buf *out, const struct table *t, struct axes *a)
{
  span_of (t, 0, 0, a->log_x, &a->x0, &a->x1);
  span_of (t, 1, t->nseries, a->log_y, &a->y0, &a->y1);
  buf_addf (out,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
            "height=\"%d\">\n<rect width=\"100%%\" height=\"100%%\" "
            "fill=\"white\"/>\n",
            WIDTH, HEIGHT);
  draw_axes (out, t, a);
  for (int c = 1; c <= t->nseries; c++)
    draw_series (out, t, a, c);
  buf_add_c (out, "</svg>\n");
}

static int
plot_file (const char *csv, const char *svg, struct axes *a)
{
  struct table *t = xcalloc (1, sizeof *t);
  struct buf out = BUF_INIT;
  GError *error = NULL;
  gchar *text = NULL;
  int rc = EXIT_INPUT;

  if (!g_file_get_contents (csv, &text, NULL, &error))
    goto out;
  if (!read_table (t, csv, text))
    goto out;
  draw (&out, t, a);
  rc = EXIT_FAILED;
  if (g_file_set_contents (svg, out.ptr, (gssize)out.len, &error))
    rc = EXIT_DONE;
out:
  if (error != NULL)
    fprintf (stderr, "lapisline bench plot: %s\n", error->message);
  g_clear_error (&error);
  g_strfreev (t->labels);
  g_strfreev (t->names);
  g_free (text);
  buf_free (&out);
  free (t);
  return rc;
}

int
bench_plot (int argc, char **argv)
{
  gboolean log_x = FALSE;
  gboolean log_y = FALSE;
  GOptionEntry entries[] = { { "log-x", 0, 0, G_OPTION_ARG_NONE, &log_x,
                               "logarithmic horizontal axis", NULL },
                             { "log-y", 0, 0, G_OPTION_ARG_NONE, &log_y,
                               "logarithmic vertical axis", NULL },
                             { NULL, 0, 0, 0, NULL, NULL, NULL } };

  if (!commands_options (
          entries, "CSV SVG - draw a table of figures",
          "The table begins with '# TITLE|X LABEL|Y LABEL', then a line "
          "of names\nand lines of numbers, the first column being x.",
          &argc, &argv))
    return EXIT_USAGE;
  if (argc != 3)
    {
      fputs ("usage: lapisline bench plot [--log-x] [--log-y] CSV SVG\n",
             stderr);
      return EXIT_USAGE;
    }
  struct axes a = { .log_x = log_x, .log_y = log_y };
  return plot_file (argv[1], argv[2], &a);
}
