/**
 * @file
 * The stand-ins of what the system meets: one program, one file each.
 */
#ifndef LAPISLINE_STANDINS_STANDIN_H
#define LAPISLINE_STANDINS_STANDIN_H

/* Each takes "--listen ADDR" and more (--help), prints "ready NAME http=ADDR"
   and serves /control/... at the same port.  Returns an exit code.  */
int standin_control (int argc, char **argv);
int standin_model (int argc, char **argv);
int standin_platform (int argc, char **argv);
int standin_rack (int argc, char **argv);
int standin_service (int argc, char **argv);
int standin_store (int argc, char **argv);

#endif
