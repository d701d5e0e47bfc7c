/**
 * @file
 * Freshness of a node's configuration (decision core).
 *
 * At `confirmed_at` the configuration in force was the newest: a store read
 * sent at this time returned no newer version.  The read was made by this node
 * or by a node that announced the same version.  When `confirmed_at` is too
 * old, the node reads the store itself.  Each new version is to be in force at
 * all nodes within a limit.  While `confirmed_at` is older than this limit, or
 * another node has announced a newer version, the node serves requests but
 * sends no final refusals.
 *
 * Clocks of different nodes are not compared.  Each frame carries the sender's
 * time, and an announcement echoes the latest time received from its receiver.
 * So network delay makes an announcement appear older, never newer; see
 * cur_confirmed_at().  Each clock has to advance while its process or VM is
 * suspended.
 *
 * The inputs are events and the time.
 */
#ifndef LAPISLINE_SERVE_CURRENCY_H
#define LAPISLINE_SERVE_CURRENCY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/** A node's announcement of its configuration. */
struct cur_announcement
{
  int64_t version;
  bool has_echo;    /**< it echoes a time sent by this node */
  clk_ms echoed_at; /**< the echoed time, by the clock of this node */
  clk_ms age_ms;    /**< from the sender's `confirmed_at` to its receipt of the
                         echoed time; negative: confirmed after that receipt */
};

/** Whether the configuration in force is confirmed. */
enum cur_state
{
  CUR_CONFIRMED,     /**< confirmed to be the newest within the limit */
  CUR_UNCONFIRMED,   /**< there may be a newer version */
  CUR_AWAITING_STORE /**< as CUR_UNCONFIRMED, after a pause of this
                          process; requests are deferred until a read of
                          the store ends */
};

struct cur
{
  clk_ms apply_ms;     /**< limit: a new version is in force within this
                            time */
  int64_t version;     /**< in force; 0: none */
  clk_ms confirmed_at; /**< last time at which `version` was the newest; 0:
                            never */
  clk_ms announced_at; /**< the same, from announcements alone */
  int64_t announced_version; /**< newest version announced by another node; 0:
                                  none */
  clk_ms announced_since; /**< when `announced_version` was first announced */
  clk_ms expected_until;  /**< until then a first announcement is expected, and
                               nothing is confirmed without it */
  bool reading;
  clk_ms read_sent_at; /**< when the last read was sent */
  clk_ms next_read;    /**< CLK_NEVER: when `confirmed_at` is too old */
  clk_ms next_watch;   /**< CLK_NEVER: set by the next read */
  clk_ms resumed_at;   /**< end of the last pause of the process, until a read
                            sent after it has ended; 0: none */
};

void cur_init (struct cur *f, clk_ms apply_ms);

/** This process has just started, and other nodes may be running: until one
    has announced its version, or this time, nothing is confirmed. */
void cur_expect_announcement (struct cur *f, clk_ms until);

void cur_set_version (struct cur *f, int64_t version);

void cur_read_sent (struct cur *f, clk_ms now);

enum cur_read_result
{
  CUR_READ_OK, /**< the version read is in force, or is older than that in
                    force */
  CUR_READ_UNPARSABLE, /**< the version read could not be parsed */
  CUR_READ_FAILED
};

void cur_read_done (struct cur *f, clk_ms now, enum cur_read_result result);

/** A watch has returned a version. */
void cur_watch_fired (struct cur *f, clk_ms now);

/** A watch has failed and may have missed a version. */
void cur_watch_failed (struct cur *f, clk_ms now);

/** The time, by the clock of this node, at which the announced version was
    last confirmed; 0: unknown. */
clk_ms cur_confirmed_at (const struct cur_announcement *a);

void cur_on_announcement (struct cur *f, clk_ms now,
                          const struct cur_announcement *a);

void cur_on_resume (struct cur *f, clk_ms now);

/** Whether to read the store now. @param announces  other nodes rely on the
    announcements of this node */
bool cur_should_read (const struct cur *f, clk_ms now, bool announces);

/** Whether announcements of other nodes confirm the version in force often
    enough that no watch is needed. */
bool cur_has_announcements (const struct cur *f, clk_ms now);

/** The watch was stopped in favour of announcements.  The next watch starts
    only after a read. */
void cur_watch_stopped (struct cur *f);

/** Whether a watch may start now. */
bool cur_may_watch (const struct cur *f, clk_ms now);

enum cur_state cur_state (const struct cur *f, clk_ms now);

#endif
