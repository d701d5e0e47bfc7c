#include "config/file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define STEP ((size_t)65536)

bool
cff_read (const char *path, struct buf *out, struct buf *why)
{
  FILE *f = fopen (path, "rb");
  size_t n = 0;
  bool good = false;

  if (!f)
    {
      buf_addf (why, "can't open the file: %s", strerror (errno));
      return false;
    }
  do
    {
      buf_reserve (out, STEP);
      n = fread (out->ptr + out->len, 1, STEP, f);
      out->len += n;
    }
  while (n > 0 && out->len <= CFF_MAX);
  if (ferror (f))
    buf_addf (why, "can't read the file: %s", strerror (errno));
  else if (out->len > CFF_MAX)
    buf_addf (why, "the file has more than %zu bytes", CFF_MAX);
  else
    good = true;
  fclose (f);
  return good;
}
