#include "front/recorder.h"

#include <stdlib.h>
#include <unistd.h>

#include "base/log.h"

/* Limit of unwritten output.  If the reader is too slow, the gateway would
   buffer lines without bound; above this limit it logs an event and stops
   recording, while requests continue. */
#define MAX_QUEUED_BYTES ((size_t)4 << 20)

struct gw_recorder
{
  union
  {
    uv_pipe_t pipe;
    uv_tty_t tty;
    uv_stream_t stream;
  } out;
  bool ended;
};

struct pending_write
{
  uv_write_t req;
  struct buf text;
};

static void
on_written (uv_write_t *req, int status)
{
  struct pending_write *p = req->data;
  buf_free (&p->text);
  free (p);
}

/** Write asynchronously; takes ownership of the content of @p text. */
static void
write_text (struct gw_recorder *r, struct buf *text)
{
  struct pending_write *p = xcalloc (1, sizeof *p);
  uv_buf_t part;

  p->req.data = p;
  p->text = *text;
  part = uv_buf_init (p->text.ptr, (unsigned)p->text.len);
  if (uv_write (&p->req, &r->out.stream, &part, 1, on_written) != 0)
    {
      r->ended = true;
      on_written (&p->req, 0);
    }
}

static bool
open_output (struct gw_recorder *r, uv_loop_t *loop)
{
  switch (uv_guess_handle (STDOUT_FILENO))
    {
    case UV_NAMED_PIPE:
      uv_pipe_init (loop, &r->out.pipe, 0);
      return uv_pipe_open (&r->out.pipe, STDOUT_FILENO) == 0;
    case UV_TTY:
      return uv_tty_init (loop, &r->out.tty, STDOUT_FILENO, 0) == 0;
    default:
      return false;
    }
}

struct gw_recorder *
gw_recorder_start (uv_loop_t *loop, const struct rec_header *head)
{
  struct gw_recorder *r = xcalloc (1, sizeof *r);
  struct buf text = BUF_INIT;

  if (!open_output (r, loop))
    {
      free (r);
      return NULL;
    }
  rec_write_header (head, &text);
  write_text (r, &text);
  return r;
}

void
gw_recorder_event (struct gw_recorder *r, clk_ms now,
                   const struct rt_event *ev)
{
  struct buf text = BUF_INIT;

  if (r == NULL || r->ended)
    return;
  if (uv_stream_get_write_queue_size (&r->out.stream) > MAX_QUEUED_BYTES)
    {
      r->ended = true;
      LOG (recording_ended, LOG_I ("queued", MAX_QUEUED_BYTES));
      return;
    }
  rec_write_event (now, ev, &text);
  write_text (r, &text);
}
