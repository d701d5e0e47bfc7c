/* The command line: help, invalid options, missing files and exit codes. */
#include <criterion/criterion.h>
#include <string.h>

#include "t/lib-proc.h"

TestSuite (commands, .fini = proc_stop_all, .timeout = 60);

#define MAX_ARGS 8

struct invocation
{
  const char *args[MAX_ARGS]; /**< after the program's name */
  int code;
};

static void
check (const struct invocation *r)
{
  const char *argv[MAX_ARGS + 2] = { "lapisline" };
  struct buf out = BUF_INIT;

  memcpy (argv + 1, r->args, sizeof r->args);
  int code = proc_run (argv, &out, PROC_WAIT_MS);
  cr_expect_eq (code, r->code, "%s %s: ended with %d", r->args[0],
                r->args[1] ? r->args[1] : "", code);
  buf_free (&out);
}

/* Scripts depend on exit codes: 2 for an invalid command line, 3 for errors in
   files, 4 for no response. */
Test (commands, exit_codes)
{
  static const struct invocation invocations[] = {
    { { "--version" }, 0 },
    { { "version", "--nosuch" }, 2 },
    { { "version", "now" }, 2 },
    { { "confg" }, 2 },
    { { "gateway" }, 2 },
    { { "gateway", "--settings", "/nosuch" }, 3 },
    { { "control" }, 2 },
    { { "control", "--bogus" }, 2 },
    { { "control", "--settings", "/nosuch" }, 3 },
    { { "config", "nosuch" }, 2 },
    { { "config", "check", "/nosuch" }, 3 },
    { { "config", "show", "--store", "127.0.0.1:1" }, 4 },
    { { "config", "show", "--settings", "/nosuch" }, 3 },
    { { "replica", "list", "--admin", "nowhere" }, 2 },
    { { "replica", "list", "--admin", "127.0.0.1:1", "--token-file",
        "/dev/null" },
      4 },
    { { "replica", "list", "--admin", "127.0.0.1:1", "--token-file",
        "/nosuch" },
      2 },
    { { "node", "drain", "--admin", "127.0.0.1:1" }, 2 },
    { { "metrics", "--admin", "127.0.0.1:1" }, 4 },
    { { "trace", "xyz", "--admin", "127.0.0.1:1" }, 2 },
    { { "replay", "/nosuch" }, 3 },
    { { "bench", "pauses", "--share", "2" }, 2 },
  };

  for (size_t i = 0; i < sizeof invocations / sizeof invocations[0]; i++)
    check (&invocations[i]);
}

/* Servers run with the locale "C", in which other characters print as "?". */
Test (commands, help_is_plain_text)
{
  static const char *const commands[]
      = { "account", "address", "bench",  "config",  "control", "gateway",
          "metrics", "node",    "replay", "replica", "trace",   "version" };

  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    {
      struct buf out = BUF_INIT;
      cr_expect_eq (PROC_RUN (&out, "lapisline", commands[i], "--help"), 0);
      cr_expect_not_null (strstr (buf_c (&out), commands[i]));
      cr_expect_null (strchr (buf_c (&out), '?'), "%s", buf_c (&out));
      buf_free (&out);
    }
}
