/**
 * @dir builtin
 * One file a command, from the command line to its exit code; the parts of
 * `config` and `bench` have a file each (config.h, bench.h), the commands that
 * ask a control process share admin-client.h.
 */
/**
 * @file
 * Commands of the binary: every builtin/NAME.c defines one of them.
 */
#ifndef LAPISLINE_H
#define LAPISLINE_H

#define LAPISLINE_VERSION "0.1.0"

/** Exit codes of every command, documented in docs/OPERATORS.md. */
enum exit_code
{
  EXIT_DONE = 0,
  EXIT_FAILED = 1,      /**< the thing asked for did not happen */
  EXIT_USAGE = 2,       /**< wrong command line */
  EXIT_INPUT = 3,       /**< settings or configuration have errors */
  EXIT_UNREACHABLE = 4, /**< store or node gave no answer */
  EXIT_UNKNOWN = 5      /**< it may or may not have happened */
};

typedef int (*cmd_fn) (int argc, char **argv);

int cmd_account (int argc, char **argv);
int cmd_address (int argc, char **argv);
int cmd_bench (int argc, char **argv);
int cmd_config (int argc, char **argv);
int cmd_control (int argc, char **argv);
int cmd_gateway (int argc, char **argv);
int cmd_metrics (int argc, char **argv);
int cmd_node (int argc, char **argv);
int cmd_replay (int argc, char **argv);
int cmd_replica (int argc, char **argv);
int cmd_serve (int argc, char **argv);
int cmd_trace (int argc, char **argv);
int cmd_version (int argc, char **argv);

#endif
