/**
 * @file
 * How current a node's configuration is known to be (decision core).
 *
 * The configuration in force is the newest one as of `known_at`: the sending
 * of the last read of the store that brought nothing newer, by this node or by
 * another one that has announced it.  A node whose knowledge grows old reads
 * by itself.  Once it is older than the time within which operators may count
 * on a new version, the node goes on serving, but refuses nothing for good.
 *
 * Clocks of different nodes are not compared.  Each frame that a node sends
 * carries the sender's time, and an announcement returns the last one that
 * came from its receiver.  So time on the way makes an announcement older,
 * never younger: see cur_announced_at().  Each clock has to go on while its
 * process or VM stands still.
 *
 * Events and time go in.
 */
#ifndef LAPISLINE_SERVE_CURRENCY_H
#define LAPISLINE_SERVE_CURRENCY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/** What another node says of its configuration. */
struct cur_announcement
{
  int64_t version;
  bool stamped;  /**< it returns a time of this node */
  clk_ms stamp;  /**< by the clock of this node */
  clk_ms age_ms; /**< of the sender's knowledge as that time came; below 0:
                    it has learned more since */
};

/** How far a node may rely on its configuration. */
enum cur_trust
{
  CUR_CONFIRMED,   /**< known to be the newest within the bound */
  CUR_UNCONFIRMED, /**< there may be a newer one */
  CUR_RESUMED      /**< the same, as this process did not run; an answer of the
                      store is due at once, and requests wait for it */
};

struct cur
{
  clk_ms apply_ms;     /**< within which a new version is in force */
  int64_t version;     /**< in force; 0: none */
  clk_ms known_at;     /**< 0: never */
  clk_ms announced_at; /**< the same, by announcements only */
  int64_t newest;      /**< that another node has in force; 0: none */
  clk_ms newest_at;    /**< when it was first announced */
  bool reading;
  clk_ms asked;      /**< sending of the last read */
  clk_ms next_read;  /**< CLK_NEVER: when the knowledge grows old */
  clk_ms next_watch; /**< CLK_NEVER: after the next read */
  clk_ms resumed_at; /**< end of the last pause, until a read that was sent
                        after it has ended; 0: none */
};

void cur_init (struct cur *c, clk_ms apply_ms);

/** This version has come into force. */
void cur_in_force (struct cur *c, int64_t version);

/** A read of the store is sent. */
void cur_asked (struct cur *c, clk_ms now);

/** How a read of the store ended. */
enum cur_answer
{
  CUR_READ,       /**< what it brought is in force, or older than that */
  CUR_UNREADABLE, /**< it brought what this program can't read */
  CUR_FAILED
};

void cur_answered (struct cur *c, clk_ms now, enum cur_answer what);

/** A watch has brought a version. */
void cur_watched (struct cur *c, clk_ms now);

/** A watch has ended with an error: it may have missed a version. */
void cur_watch_ended (struct cur *c, clk_ms now);

/** When the sender's knowledge was current, by the clock of this node;
    0: not known. */
clk_ms cur_announced_at (const struct cur_announcement *a);

/** Another node has announced this. */
void cur_announced (struct cur *c, clk_ms now,
                    const struct cur_announcement *a);

/** This process goes on after it did not run for a while. */
void cur_resumed (struct cur *c, clk_ms now);

/** Whether to read the store now. @param announces  others rely on this node
 */
bool cur_should_read (const struct cur *c, clk_ms now, bool announces);

/** Whether others announce to this node what is in force. */
bool cur_is_announced (const struct cur *c, clk_ms now);

/** The watch was stopped, as announcements come: the next one begins after a
    read. */
void cur_watch_stopped (struct cur *c);

/** Whether a watch may begin now. */
bool cur_may_watch (const struct cur *c, clk_ms now);

enum cur_trust cur_trust (const struct cur *c, clk_ms now);

#endif
