/**
 * @file
 * Internal interface of the links, used by link*.c only: link.c implements a
 * link, link-server.c the listener and the accepted links that are not
 * authenticated yet.
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
  uv_tcp_t tcp; /**< first field */
  uv_timer_t timer;
  uv_connect_t connect;
  struct link_auth auth;
  struct link_callbacks cb;
  void *ctx;
  struct link_server *server; /**< of an accepted link, until authenticated */
  struct link *next;          /**< in the server's list of pending links */
  struct link **prev;
  struct buf in;
  enum link_stage stage;
  int handles;                 /**< not closed yet */
  clk_ms received_at, sent_at; /**< when a frame was last received and sent */
  clk_ms due;                  /**< when the timer is due */
  uint64_t bytes_out, bytes_in;
};

struct link_server
{
  uv_tcp_t tcp; /**< first field */
  struct link_secret secret;
  struct link_callbacks cb;
  void *ctx;
  struct link *pending;
  size_t npending;
  uint16_t port;
};

/** Create a link that is not connected yet. */
struct link *link_new (uv_loop_t *loop, const struct link_secret *secret,
                       bool connecting, const struct link_callbacks *cb,
                       void *ctx);

/** Start the handshake on a connected link. */
void link_start_handshake (struct link *l);

/** Remove a link that was authenticated or closed from its server's list. */
void link_unlink_pending (struct link *l);

#endif
