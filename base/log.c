#include "base/log.h"

#include <stdlib.h>
#include <string.h>
#include <poll.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"

static struct log_entry catalogue[] = {
#define LOG_EVENT(number, name, level, sentence)                              \
  { (number), #name, (level), (sentence) },
#include "events/all.def"
#undef LOG_EVENT
};

#define NCATALOGUE (sizeof catalogue / sizeof catalogue[0])

static struct
{
  enum log_format format;
  enum log_level least;
  char *node;
  bool sorted;
  int fd;
  unsigned per_second; /* lines of each event; 0: no bound */
} self = { .format = LOG_TEXT, .least = LOG_INFO, .fd = STDERR_FILENO };

static const char *const level_names[] = {
  [LOG_DEBUG] = "debug",
  [LOG_INFO] = "info",
  [LOG_WARN] = "warn",
  [LOG_ERROR] = "error",
};

/* Values of these keys give access or are a caller's own data. */
static const char *const secret_keys[] = { "secret", "token", "key", "body" };

static int
by_number (const void *a, const void *b)
{
  const struct log_entry *x = a;
  const struct log_entry *y = b;
  return (x->number > y->number) - (x->number < y->number);
}

const struct log_entry *
log_catalogue (size_t *n)
{
  if (!self.sorted)
    qsort (catalogue, NCATALOGUE, sizeof catalogue[0], by_number);
  self.sorted = true;
  *n = NCATALOGUE;
  return catalogue;
}

void
log_setup (enum log_format format, enum log_level least, struct str node)
{
  self.format = format;
  self.least = least;
  free (self.node);
  self.node = node.len ? str_dup (node) : NULL;
}

void
log_output (int fd, unsigned per_second)
{
  self.fd = fd;
  self.per_second = per_second;
}

static const struct log_entry *
find_entry (enum log_event ev)
{
  size_t n;
  const struct log_entry *all = log_catalogue (&n);
  struct log_entry wanted = { .number = (int)ev };
  return bsearch (&wanted, all, n, sizeof *all, by_number);
}

static bool
is_secret (const char *key)
{
  for (size_t i = 0; i < sizeof secret_keys / sizeof secret_keys[0]; i++)
    if (strcmp (key, secret_keys[i]) == 0)
      return true;
  return false;
}

static void
add_time (struct buf *out)
{
  clk_ms wall = clk_wall ();
  time_t seconds = wall / CLK_SECOND;
  struct tm tm;
  char text[32];
  gmtime_r (&seconds, &tm);
  strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%S", &tm);
  buf_addf (out, "%s.%03dZ", text, (int)(wall % CLK_SECOND));
}

static void
add_value (struct buf *out, const struct log_field *f)
{
  if (is_secret (f->key))
    buf_add_json (out, STR ("[redacted]"));
  else if (f->is_int)
    buf_addf (out, "%lld", (long long)f->num);
  else
    buf_add_json (out, f->text);
}

static void
format_json (struct buf *out, const struct log_entry *e,
             const struct log_field *fields, size_t n)
{
  buf_add_c (out, "{\"time\":\"");
  add_time (out);
  buf_addf (out, "\",\"level\":\"%s\",\"event\":%d,\"name\":\"%s\"",
            level_names[e->level], e->number, e->name);
  if (self.node)
    {
      buf_add_c (out, ",\"node\":");
      buf_add_json (out, str_from (self.node));
    }
  buf_addf (out, ",\"message\":\"%s\"", e->sentence);
  for (size_t i = 0; i < n; i++)
    {
      buf_add_char (out, ',');
      buf_add_json (out, str_from (fields[i].key));
      buf_add_char (out, ':');
      add_value (out, &fields[i]);
    }
  buf_add_c (out, "}\n");
}

static void
format_text (struct buf *out, const struct log_entry *e,
             const struct log_field *fields, size_t n)
{
  add_time (out);
  buf_addf (out, " %s %d %s: %s", level_names[e->level], e->number, e->name,
            e->sentence);
  if (self.node)
    buf_addf (out, " node=%s", self.node);
  for (size_t i = 0; i < n; i++)
    {
      buf_addf (out, " %s=", fields[i].key);
      add_value (out, &fields[i]);
    }
  buf_add_char (out, '\n');
}

/*
 * A reader that stops reading must cost lines, not service: where the output
 * would block, the line is dropped and counted.
 */
static bool
may_write (int fd)
{
  struct pollfd p = { .fd = fd, .events = POLLOUT };

  return poll (&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0;
}

static void
write_all (struct str s)
{
  while (s.len)
    {
      ssize_t n = write (self.fd, s.ptr, s.len);
      if (n <= 0)
        return;
      s = str_skip (s, (size_t)n);
    }
}

/** Lines of each event in the present second, and those left out. */
struct rate
{
  clk_ms second;
  unsigned written;
  unsigned left_out;
};

static struct rate rates[NCATALOGUE];

static bool
within_rate (const struct log_entry *e)
{
  struct rate *r = &rates[e - catalogue];
  clk_ms second = clk_now () / CLK_SECOND;

  if (self.per_second == 0)
    return true;
  if (r->second != second)
    {
      r->second = second;
      r->written = 0;
    }
  if (r->written >= self.per_second || !may_write (self.fd))
    {
      r->left_out++;
      return false;
    }
  r->written++;
  return true;
}

/** Say how many lines of this event were left out before this one. */
static void
add_left_out (struct buf *line, const struct log_entry *e)
{
  struct rate *r = &rates[e - catalogue];
  const struct log_entry *note = find_entry (LOG_EV_lines_left_out);
  struct log_field fields[]
      = { LOG_C ("of", e->name), LOG_I ("lines", r->left_out) };

  if (r->left_out == 0 || !note)
    return;
  r->left_out = 0;
  if (self.format == LOG_JSON)
    format_json (line, note, fields, 2);
  else
    format_text (line, note, fields, 2);
}

void
log_write (enum log_event ev, const struct log_field *fields, size_t n)
{
  const struct log_entry *e = find_entry (ev);
  if (!e || e->level < self.least)
    return;
  if (!within_rate (e))
    return;
  struct buf line = BUF_INIT;
  add_left_out (&line, e);
  if (self.format == LOG_JSON)
    format_json (&line, e, fields, n);
  else
    format_text (&line, e, fields, n);
  /* One write a line: lines of several processes that share the standard
     error of a supervisor don't get mixed. */
  write_all (buf_str (&line));
  buf_free (&line);
}
