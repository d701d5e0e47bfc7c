/**
 * @file
 * Entry points of the stand-ins for external systems.  One test program
 * contains them all; its first argument selects one.
 */
#ifndef LAPISLINE_STANDINS_STANDIN_H
#define LAPISLINE_STANDINS_STANDIN_H

/* Each parses its own options (--help), prints "ready NAME http=ADDR" and
   serves /control/... on that port.  All but the control stand-in accept
   "--listen ADDR".  Returns the exit code of the process.  */
int standin_control (int argc, char **argv);
int standin_model (int argc, char **argv);
int standin_platform (int argc, char **argv);
int standin_rack (int argc, char **argv);
int standin_service (int argc, char **argv);
int standin_store (int argc, char **argv);

#endif
