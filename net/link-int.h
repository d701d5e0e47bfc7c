/**
 * @file
 * What the files of a link share: link.c holds one link, link-server.c the
 * listener and the accepted links that have not proved themselves.
 */
#ifndef LAPISLINE_NET_LINK_INT_H
#define LAPISLINE_NET_LINK_INT_H

#include "net/link-auth.h"

enum link_stage
{
  STAGE_CONNECT,
  STAGE_HELLO,
  STAGE_PROOF,
  STAGE_UP,
  STAGE_OVER
};

struct link
{
  uv_tcp_t tcp; /**< first */
  uv_timer_t timer;
  uv_connect_t connect;
  struct link_auth auth;
  struct link_callbacks cb;
  void *ctx;
  struct link_server *server; /**< while an accepted link is not proven */
  struct link *next;          /**< in the server's list of those */
  struct link **prev;
  struct buf in;
  enum link_stage stage;
  int handles; /**< not closed yet */
  clk_ms heard, sent;
  clk_ms due; /**< when the timer is to run */
  uint64_t bytes_out, bytes_in;
};

struct link_server
{
  uv_tcp_t tcp; /**< first */
  struct link_secret secret;
  struct link_callbacks cb;
  void *ctx;
  struct link *pending;
  size_t npending;
  uint16_t port;
};

/** A link that is not connected yet. */
struct link *link_new (uv_loop_t *loop, const struct link_secret *secret,
                       bool connecting, const struct link_callbacks *cb,
                       void *ctx);

/** Connected: send our hello and read the peer's. */
void link_begin (struct link *l);

/** The link is proven or gone: take it off its server's list. */
void link_leave_server (struct link *l);

#endif
