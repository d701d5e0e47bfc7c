#include "t/lib-cpu.h"

#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/str.h"

/** Position of the processor in /proc/PID/stat, counted from the state, which
    follows the name in parentheses. */
#define PROCESSOR_FIELD 36

static int
read_processor (const char *path)
{
  char text[1024] = "", *at;
  int processor = -1;
  FILE *f = fopen (path, "re");

  if (!f)
    return -1;
  text[fread (text, 1, sizeof text - 1, f)] = '\0';
  fclose (f);
  at = strrchr (text, ')');
  for (int i = 0; at && i <= PROCESSOR_FIELD; i++)
    at = strchr (at + 1, ' ');
  if (at && sscanf (at, "%d", &processor) != 1)
    return -1;
  return processor;
}

/** @param dir  of a thread or process below /proc */
static struct cpu_use
read_use (const char *dir)
{
  unsigned long long ran = 0, waited = 0;
  char path[64];
  FILE *f;

  snprintf (path, sizeof path, "%s/schedstat", dir);
  f = fopen (path, "re");
  if (f && fscanf (f, "%llu %llu", &ran, &waited) != 2)
    ran = waited = 0;
  if (f)
    fclose (f);
  snprintf (path, sizeof path, "%s/stat", dir);
  return (struct cpu_use){ .ran = (clk_ms)(ran / 1000000),
                           .waited = (clk_ms)(waited / 1000000),
                           .processor = read_processor (path) };
}

static struct cpu_use
read_process (const struct proc *p)
{
  char dir[32];

  snprintf (dir, sizeof dir, "/proc/%d", (int)proc_pid (p));
  return read_use (dir);
}

static void
read_stolen (clk_ms *stolen)
{
  FILE *f = fopen ("/proc/stat", "re");
  unsigned long long ticks;
  char line[256];
  unsigned cpu;

  memset (stolen, 0, CPU_MAX * sizeof *stolen);
  while (f && fgets (line, sizeof line, f) && strncmp (line, "cpu", 3) == 0)
    if (sscanf (line, "cpu%u %*u %*u %*u %*u %*u %*u %*u %llu", &cpu, &ticks)
            == 2
        && cpu < CPU_MAX)
      stolen[cpu] = (clk_ms)ticks * CLK_SECOND / sysconf (_SC_CLK_TCK);
  if (f)
    fclose (f);
}

void
cpu_sample (const struct rack *r, struct cpu_sample *s)
{
  s->wall = clk_wall ();
  s->test = read_use ("/proc/thread-self");
  s->platform = read_process (r->platform);
  for (int i = 0; i < RACK_NODES; i++)
    s->node[i] = read_process (r->node[i]);
  read_stolen (s->stolen);
}

struct description
{
  const struct cpu_sample *before;
  struct cpu_sample now;
  struct buf text;
};

static void
describe_use (struct description *d, const char *name, struct cpu_use before,
              struct cpu_use now)
{
  buf_addf (&d->text, "; %s ran %d ms and waited %d ms", name,
            (int)(now.ran - before.ran), (int)(now.waited - before.waited));
  if (now.processor >= 0 && now.processor < CPU_MAX)
    buf_addf (
        &d->text, ", the host took %d ms of processor %d",
        (int)(d->now.stolen[now.processor] - d->before->stolen[now.processor]),
        now.processor);
}

const char *
cpu_describe (const struct rack *r, const struct cpu_sample *before)
{
  static char text[1024];
  struct description d = { .before = before, .text = BUF_INIT };
  time_t second = (time_t)(before->wall / CLK_SECOND);
  char name[16], utc[32];

  cpu_sample (r, &d.now);
  strftime (utc, sizeof utc, "%H:%M:%S", gmtime (&second));
  buf_addf (&d.text, "from %s.%03d on for %d ms", utc,
            (int)(before->wall % CLK_SECOND),
            (int)(d.now.wall - before->wall));
  describe_use (&d, "the test", before->test, d.now.test);
  for (int i = 0; i < RACK_NODES; i++)
    {
      snprintf (name, sizeof name, "node-%d", i + 1);
      describe_use (&d, name, before->node[i], d.now.node[i]);
    }
  describe_use (&d, "the stand-in", before->platform, d.now.platform);
  snprintf (text, sizeof text, "%s", buf_c (&d.text));
  buf_free (&d.text);
  return text;
}
