/**
 * @file
 * Scripts for pushes over a store in memory: steps in, the log of actions out.
 *
 *   push NAME BASE FILE=N[,FILE=N]   begin; FILE.json declares model FILE of N
 *                                    VMs, or with a word an account that may
 *                                    use the model of that name
 *   step NAME [FAULT]                one action.  lost: applied, no answer;
 *                                    dropped: not applied, no answer; held:
 *                                    on its way, no answer; down: refused
 *   run NAME                         to the end
 *   deliver                          what was held reaches the store
 *   seed FILE=N[,FILE=N]             a push by ops, not logged
 *   show                             the manifest
 */
#ifndef LAPISLINE_T_LIB_PUSH_H
#define LAPISLINE_T_LIB_PUSH_H

#include "config/push.h"
#include "t/lib-memkv.h"

#define PUSH_MAX_FILES 320

/** Prefix of all keys in the store. */
#define PUSH_PREFIX "/l/"

struct pusher
{
  char name[16];
  struct cfg_file files[PUSH_MAX_FILES];
  struct cfg_folder folder;
  struct psh *psh;
  struct psh_action act;
  bool open; /**< act waits to be done */
};

/** One run; all zero but for the store, which it owns. */
struct pushes
{
  struct memkv *kv;
  struct pusher pushers[4];
  size_t n;
  uint64_t changes; /**< change numbers given so far */
  struct buf log;
};

/** Run the lines of a script. */
void pushes_lines (struct pushes *r, const char *script);

/** As the line "seed"; @p spec is cut up. */
void pushes_seed (struct pushes *r, char *spec);
void pushes_end (struct pushes *r);

/** Run a script over an empty store and compare the log. */
void pushes_expect (const char *script, const char *want);

#endif
