#include "serve/currency.h"

/** The store is read again when `known_at` is older than this part of the
    limit; the rest of the limit leaves time for one read that gets no answer
    and a second one. */
#define RENEW_DIVISOR 2
/** The same for a node whose announcements others rely on, so that these keep
    the others from reading. */
#define RENEW_ANNOUNCED_DIVISOR 3
/** Part of the limit that a watch waits so that several versions are returned
    together: operators sometimes push about a dozen within two seconds, and
    each watch result is a priced call and a whole document for every node. */
#define PAUSE_DIVISOR 4
/** Time for an announced version to be pushed; a push is faster than a
    read. */
#define PUSH_WAIT_MS ((clk_ms)150)
/** Delay after a failed read. */
#define READ_AGAIN_MS ((clk_ms)200)
/** Delay of the read that follows a failed watch. */
#define WATCH_AGAIN_MS ((clk_ms)100)
/** Limit on deferring requests until the first answer of the store after a
    pause of the process; after that the node serves by the configuration in
    force. */
#define RESUMED_MS ((clk_ms)500)

void
cur_init (struct cur *c, clk_ms apply_ms)
{
  *c = (struct cur){ .apply_ms = apply_ms, .next_watch = CLK_NEVER };
}

static void
known (struct cur *c, clk_ms at)
{
  if (at > c->known_at)
    c->known_at = at;
}

static void
read_by (struct cur *c, clk_ms at)
{
  if (at < c->next_read)
    c->next_read = at;
}

void
cur_in_force (struct cur *c, int64_t version)
{
  /* known_at stays: the previous version was the newest at that time. */
  c->version = version;
}

void
cur_asked (struct cur *c, clk_ms now)
{
  c->reading = true;
  c->asked = now;
}

void
cur_answered (struct cur *c, clk_ms now, enum cur_answer what)
{
  c->reading = false;
  /* The result of a call sent before the pause says nothing about the store's
     present state. */
  if (c->resumed_at && c->asked < c->resumed_at)
    {
      c->next_read = now;
      return;
    }
  c->resumed_at = 0;
  if (what != CUR_READ)
    {
      c->next_read = now
                     + (what == CUR_FAILED ? READ_AGAIN_MS
                                           : c->apply_ms / RENEW_DIVISOR);
      return;
    }
  known (c, c->asked);
  c->next_read = CLK_NEVER;
  /* After a start, the links are up by then and announcements arrive. */
  if (c->next_watch == CLK_NEVER)
    c->next_watch = now + c->apply_ms / PAUSE_DIVISOR;
}

void
cur_watched (struct cur *c, clk_ms now)
{
  c->next_watch = now + c->apply_ms / PAUSE_DIVISOR;
}

void
cur_watch_ended (struct cur *c, clk_ms now)
{
  c->next_watch = CLK_NEVER;
  read_by (c, now + WATCH_AGAIN_MS);
}

clk_ms
cur_announced_at (const struct cur_announcement *a)
{
  return a->stamped ? a->stamp - a->age_ms : 0;
}

void
cur_announced (struct cur *c, clk_ms now, const struct cur_announcement *a)
{
  clk_ms at = cur_announced_at (a);

  if (a->version > c->newest)
    {
      c->newest = a->version;
      c->newest_at = now;
    }
  if (a->version != c->version)
    return;
  if (at > now)
    at = now;
  known (c, at);
  if (at > c->announced_at)
    c->announced_at = at;
}

void
cur_resumed (struct cur *c, clk_ms now)
{
  c->resumed_at = now;
}

static clk_ms
age (const struct cur *c, clk_ms now)
{
  return c->known_at ? now - c->known_at : CLK_NEVER;
}

/** Whether an announced version has not been pushed to this node in time. */
static bool
is_behind (const struct cur *c, clk_ms now)
{
  return c->newest > c->version && now >= c->newest_at + PUSH_WAIT_MS
         && now >= c->asked + c->apply_ms / PAUSE_DIVISOR;
}

bool
cur_should_read (const struct cur *c, clk_ms now, bool announces)
{
  clk_ms most
      = c->apply_ms / (announces ? RENEW_ANNOUNCED_DIVISOR : RENEW_DIVISOR);

  if (c->reading)
    return false;
  if (c->next_read != CLK_NEVER)
    return now >= c->next_read;
  return is_behind (c, now) || age (c, now) >= most;
}

bool
cur_is_announced (const struct cur *c, clk_ms now)
{
  return c->announced_at
         && now - c->announced_at < c->apply_ms / RENEW_DIVISOR;
}

void
cur_watch_stopped (struct cur *c)
{
  c->next_watch = CLK_NEVER;
}

bool
cur_may_watch (const struct cur *c, clk_ms now)
{
  return now >= c->next_watch;
}

enum cur_trust
cur_trust (const struct cur *c, clk_ms now)
{
  if (age (c, now) <= c->apply_ms)
    return CUR_CONFIRMED;
  return c->resumed_at && now - c->resumed_at < RESUMED_MS ? CUR_RESUMED
                                                           : CUR_UNCONFIRMED;
}
