#include <stdio.h>

#include "builtin/admin-client.h"
#include "lapisline.h"

int
cmd_metrics (int argc, char **argv)
{
  struct admin_client a = { 0 };
  struct buf answer = BUF_INIT;
  int code = EXIT_USAGE;
  if (admin_client_options (&a, NULL,
                            "Print the metrics of a control process, or of a "
                            "gateway at its caller address.",
                            &argc, &argv))
    code = admin_client_call (&a, "GET", "/metrics", NULL, false, &answer);
  if (code == EXIT_DONE)
    fputs (buf_c (&answer), stdout);
  buf_free (&answer);
  admin_client_free (&a);
  return code;
}
