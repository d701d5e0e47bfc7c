/* Fuzz target of the parser of server-sent events, see `make fuzz`. */
#include <stdio.h>
#include <stdlib.h>

#include "t/lib-split.h"

int LLVMFuzzerTestOneInput (const unsigned char *data, size_t len);

int
LLVMFuzzerTestOneInput (const unsigned char *data, size_t len)
{
  const char *wrong = split_check (str_make ((const char *)data, len));

  if (wrong)
    {
      fprintf (stderr, "%s\n", wrong);
      abort ();
    }
  return 0;
}
