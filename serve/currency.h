/**
 * @file
 * Freshness of a node's configuration (decision core).
 *
 * The configuration in force was the newest one at `confirmed_at`: the time at
 * which the last store read that returned no newer version was sent, by this
 * node or by a node that announced the same version.  When `confirmed_at`
 * becomes too old, the node reads the store itself.  Once it is older than the
 * time within which operators may rely on a new version being in force, the
 * node keeps serving but sends no final refusals.
 *
 * Clocks of different nodes are not compared.  Each frame carries the sender's
 * time, and an announcement echoes the latest time received from its receiver.
 * So network delay makes an announcement appear older, never newer; see
 * fresh_confirmed_at().  Each clock has to advance while its process or VM is
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
  bool stamped;  /**< it echoes a time sent by this node */
  clk_ms stamp;  /**< the echoed time, by the clock of this node */
  clk_ms age_ms; /**< from the sender's `confirmed_at` to its receipt of the
                      echoed time; negative: confirmed after that receipt */
};

/** Freshness of the configuration in force. */
enum fresh_state
{
  FRESH_CONFIRMED,   /**< confirmed to be the newest within the limit */
  FRESH_UNCONFIRMED, /**< there may be a newer version */
  FRESH_RESUMED      /**< as FRESH_UNCONFIRMED, because this process was
                          suspended; an answer of the store is due soon and
                          requests are deferred until then */
};

struct fresh
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
  bool reading;
  clk_ms read_sent_at; /**< when the last read was sent */
  clk_ms next_read;    /**< CLK_NEVER: once `confirmed_at` is too old */
  clk_ms next_watch;   /**< CLK_NEVER: after the next read */
  clk_ms resumed_at;   /**< end of the last pause of the process, until a read
                            sent after it has ended; 0: none */
};

void fresh_init (struct fresh *f, clk_ms apply_ms);

/** This version is now in force. */
void fresh_set_version (struct fresh *f, int64_t version);

/** A read of the store was sent. */
void fresh_read_sent (struct fresh *f, clk_ms now);

/** Result of a read of the store. */
enum fresh_read_result
{
  FRESH_READ_OK, /**< the version read is in force, or is older than that in
                      force */
  FRESH_READ_UNPARSABLE, /**< the version read could not be parsed */
  FRESH_READ_FAILED
};

void fresh_read_done (struct fresh *f, clk_ms now,
                      enum fresh_read_result what);

/** A watch has returned a version. */
void fresh_watch_fired (struct fresh *f, clk_ms now);

/** A watch has failed and may have missed a version. */
void fresh_watch_failed (struct fresh *f, clk_ms now);

/** The time, by the clock of this node, at which the announced version was
    last confirmed; 0: unknown. */
clk_ms fresh_confirmed_at (const struct cur_announcement *a);

/** An announcement was received. */
void fresh_on_announcement (struct fresh *f, clk_ms now,
                            const struct cur_announcement *a);

/** This process has resumed after a pause. */
void fresh_on_resume (struct fresh *f, clk_ms now);

/** Whether to read the store now. @param announces  other nodes rely on the
    announcements of this node */
bool fresh_should_read (const struct fresh *f, clk_ms now, bool announces);

/** Whether this node receives announcements that confirm its version. */
bool fresh_is_announced (const struct fresh *f, clk_ms now);

/** The watch was stopped in favour of announcements.  The next watch starts
    only after a read. */
void fresh_watch_stopped (struct fresh *f);

/** Whether a watch may start now. */
bool fresh_may_watch (const struct fresh *f, clk_ms now);

enum fresh_state fresh_state (const struct fresh *f, clk_ms now);

#endif
