/**
 * @file
 * Counters, gauges and histograms, shown in the text exposition format.
 *
 * A registry belongs to one process and one thread.  Series are created once
 * at start or when a label value first occurs and live as long as the
 * registry; the number of label values is bounded by configuration.
 */
#ifndef LAPISLINE_BASE_METRIC_H
#define LAPISLINE_BASE_METRIC_H

#include "base/str.h"

struct met_reg;
struct met_series;

struct met_reg *met_new (void);
void met_free (struct met_reg *reg);

/**
 * Find or create a series.
 * @param name    family, e.g. "lapisline_requests_total"
 * @param help    one sentence
 * @param labels  as shown between the braces, e.g. "outcome=\"done\"", or NULL
 */
struct met_series *met_counter (struct met_reg *reg, const char *name,
                                const char *help, const char *labels);
struct met_series *met_gauge (struct met_reg *reg, const char *name,
                              const char *help, const char *labels);

/** Histogram of milliseconds with bounds 1, 2, 5, 10 ... 60000. */
struct met_series *met_histogram (struct met_reg *reg, const char *name,
                                  const char *help, const char *labels);

void met_add (struct met_series *s, double n);     /**< counter, gauge */
void met_set (struct met_series *s, double value); /**< gauge */
void met_observe (struct met_series *s, double ms);
double met_value (const struct met_series *s);

/** Append all families in the text exposition format. */
void met_expose (const struct met_reg *reg, struct buf *out);

#endif
