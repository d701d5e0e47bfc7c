#include "serve/currency.h"

/** The store is read again when `confirmed_at` is older than this part of the
    limit; the rest of the limit leaves time for one read that gets no answer
    and a second one. */
#define REREAD_DIVISOR 2
/** The same for a node whose announcements others rely on.  It reads more
    often, so that the others need not read. */
#define REREAD_ANNOUNCER_DIVISOR 3
/** Part of the limit that a watch waits so that several versions are returned
    together: operators sometimes push about a dozen within two seconds, and
    each watch result costs every node a billed store call and a complete
    document. */
#define SETTLE_DIVISOR 4
/** Time for an announced version to be pushed; a push is faster than a
    read. */
#define PUSH_WAIT_MS ((clk_ms)150)
/** Delay after a failed read. */
#define READ_RETRY_MS ((clk_ms)200)
/** Delay before the read that follows a failed watch. */
#define WATCH_FAILED_READ_MS ((clk_ms)100)
/** After a pause of the process, requests are deferred until the store
    answers, for at most this time; then the node uses the configuration in
    force. */
#define RESUME_WAIT_MS ((clk_ms)500)

void
cur_init (struct cur *f, clk_ms apply_ms)
{
  *f = (struct cur){ .apply_ms = apply_ms, .next_watch = CLK_NEVER };
}

void
cur_expect_announcement (struct cur *f, clk_ms until)
{
  f->expected_until = until;
}

static void
confirm (struct cur *f, clk_ms at)
{
  if (at > f->confirmed_at)
    f->confirmed_at = at;
}

static void
schedule_read (struct cur *f, clk_ms at)
{
  if (at < f->next_read)
    f->next_read = at;
}

void
cur_set_version (struct cur *f, int64_t version)
{
  /* confirmed_at stays: the previous version was the newest at that time. */
  f->version = version;
}

void
cur_read_sent (struct cur *f, clk_ms now)
{
  f->reading = true;
  f->read_sent_at = now;
}

void
cur_read_done (struct cur *f, clk_ms now, enum cur_read_result result)
{
  f->reading = false;
  /* A call sent before the pause does not show the present state of the
     store. */
  if (f->resumed_at && f->read_sent_at < f->resumed_at)
    {
      f->next_read = now;
      return;
    }
  f->resumed_at = 0;
  if (result != CUR_READ_OK)
    {
      f->next_read
          = now
            + (result == CUR_READ_FAILED ? READ_RETRY_MS
                                         : f->apply_ms / REREAD_DIVISOR);
      return;
    }
  confirm (f, f->read_sent_at);
  f->next_read = CLK_NEVER;
  /* After a start, the links are up by then, and announcements may make the
     watch unnecessary. */
  if (f->next_watch == CLK_NEVER)
    f->next_watch = now + f->apply_ms / SETTLE_DIVISOR;
}

void
cur_watch_fired (struct cur *f, clk_ms now)
{
  f->next_watch = now + f->apply_ms / SETTLE_DIVISOR;
}

void
cur_watch_failed (struct cur *f, clk_ms now)
{
  f->next_watch = CLK_NEVER;
  schedule_read (f, now + WATCH_FAILED_READ_MS);
}

clk_ms
cur_confirmed_at (const struct cur_announcement *a)
{
  return a->has_echo ? a->echoed_at - a->age_ms : 0;
}

void
cur_on_announcement (struct cur *f, clk_ms now,
                     const struct cur_announcement *a)
{
  clk_ms at = cur_confirmed_at (a);

  if (a->version > f->announced_version)
    {
      f->announced_version = a->version;
      f->announced_since = now;
    }
  if (a->version != f->version)
    return;
  if (at > now)
    at = now;
  confirm (f, at);
  if (at > f->announced_at)
    f->announced_at = at;
}

void
cur_on_resume (struct cur *f, clk_ms now)
{
  f->resumed_at = now;
}

static clk_ms
age (const struct cur *f, clk_ms now)
{
  return f->confirmed_at ? now - f->confirmed_at : CLK_NEVER;
}

/** Whether an announced version has not been pushed to this node in time. */
static bool
is_push_overdue (const struct cur *f, clk_ms now)
{
  return f->announced_version > f->version
         && now >= f->announced_since + PUSH_WAIT_MS
         && now >= f->read_sent_at + f->apply_ms / SETTLE_DIVISOR;
}

bool
cur_should_read (const struct cur *f, clk_ms now, bool announces)
{
  clk_ms max_age
      = f->apply_ms / (announces ? REREAD_ANNOUNCER_DIVISOR : REREAD_DIVISOR);

  if (f->reading)
    return false;
  if (f->next_read != CLK_NEVER)
    return now >= f->next_read;
  return is_push_overdue (f, now) || age (f, now) >= max_age;
}

bool
cur_has_announcements (const struct cur *f, clk_ms now)
{
  return f->announced_at
         && now - f->announced_at < f->apply_ms / REREAD_DIVISOR;
}

void
cur_watch_stopped (struct cur *f)
{
  f->next_watch = CLK_NEVER;
}

bool
cur_may_watch (const struct cur *f, clk_ms now)
{
  return now >= f->next_watch;
}

enum cur_state
cur_state (const struct cur *f, clk_ms now)
{
  /* A restored store may return an older version than other nodes have. */
  bool newer_known = f->announced_version > f->version;
  bool unheard = f->announced_version == 0 && now < f->expected_until;

  if (age (f, now) <= f->apply_ms && !newer_known && !unheard)
    return CUR_CONFIRMED;
  return f->resumed_at && now - f->resumed_at < RESUME_WAIT_MS
             ? CUR_AWAITING_STORE
             : CUR_UNCONFIRMED;
}
