#include "serve/currency.h"

/** Knowledge that is older than this part of the bound is renewed by a read;
    the rest is for one that gets no answer, and a second one. */
#define RENEW_DIVISOR 2
/** The same of a node on which others rely, so that what it announces is
    younger than what they would renew. */
#define RENEW_ANNOUNCED_DIVISOR 3
/** Part of the bound in which versions of a storm come together: operators
    push some dozen within two seconds at times, and each is a priced call and
    a whole document for every node. */
#define PAUSE_DIVISOR 4
/** What is announced is pushed too, and comes sooner than a read. */
#define PUSH_WAIT_MS ((clk_ms)150)
/** After a failed read. */
#define READ_AGAIN_MS ((clk_ms)200)
/** After a watch ended the whole is read. */
#define WATCH_AGAIN_MS ((clk_ms)100)
/** Callers wait so long for the first answer of the store after a pause of the
    process; without one the node serves by what it knows. */
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
  /* known_at stays: the earlier version was the newest then. */
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
  /* A call from before the pause says nothing of the store now. */
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
  /* By then the links are up after a start, and announcements come. */
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

/** Whether a version that was announced has not been pushed in time. */
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
