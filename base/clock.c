#include "base/clock.h"

#include <fcntl.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

static clk_ms
read_clock (clockid_t id)
{
  struct timespec ts;
  clock_gettime (id, &ts);
  return (clk_ms)ts.tv_sec * CLK_SECOND + ts.tv_nsec / 1000000;
}

clk_ms
clk_now (void)
{
  return read_clock (CLOCK_BOOTTIME);
}

clk_ms
clk_wall (void)
{
  return read_clock (CLOCK_REALTIME);
}

clk_ms
clk_cpu_wait (void)
{
  /* Three numbers: time on a processor, time waiting for one (both in ns), and
     the number of time slices. */
  char text[96], *end = text;
  int fd = open ("/proc/thread-self/schedstat", O_RDONLY | O_CLOEXEC);
  ssize_t n = fd >= 0 ? read (fd, text, sizeof text - 1) : 0;

  if (fd >= 0)
    close (fd);
  text[n > 0 ? n : 0] = '\0';
  strtoull (text, &end, 10);
  return (clk_ms)(strtoull (end, NULL, 10) / 1000000);
}
