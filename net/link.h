/**
 * @file
 * Framed TCP links between lapisline processes.
 *
 * A frame is a 4-byte big-endian length and that many bytes of protobuf
 * (proto/wire.proto, message Frame).  Before the first frame both ends prove
 * that they have the shared secret: each sends a nonce and responds to the
 * other's with an HMAC-SHA256.  Each frame has a truncated HMAC over a counter
 * and its bytes; an injected or replayed frame closes the link.
 *
 * Senders split large payloads into chunks of at most LINK_CHUNK bytes, so
 * that small messages don't wait long behind large ones.
 */
#ifndef LAPISLINE_NET_LINK_H
#define LAPISLINE_NET_LINK_H

#include "net/httpc.h"
#include "proto/wire.pb-c.h"

#define LINK_CHUNK ((size_t)32768)
#define LINK_MAX_FRAME ((size_t)262144)

struct link;
struct link_server;

struct link_secret
{
  uint8_t key[32]; /**< SHA-256 of the secret file's content */
};

enum link_state
{
  LINK_CONNECTING,
  LINK_UP,
  LINK_DOWN
};

struct link_callbacks
{
  /** The state changed; after LINK_DOWN the link is closed. */
  void (*on_state) (void *ctx, struct link *l, enum link_state state);
  /** A frame was received; @p frame is valid during the call. */
  void (*on_frame) (void *ctx, struct link *l, const Lapis__Frame *frame);
};

/** Accepted links use @p cb and @p ctx; link_set_ctx() may change the ctx. */
struct link_server *link_listen (uv_loop_t *loop, const struct net_addr *at,
                                 const struct link_secret *secret,
                                 const struct link_callbacks *cb, void *ctx,
                                 struct buf *err);
/** Set the secret for links that are accepted from now on. */
void link_server_set_secret (struct link_server *s,
                             const struct link_secret *secret);
uint16_t link_server_port (const struct link_server *s);
void link_server_free (struct link_server *s);

/** Connect; the result is reported by on_state, never within this call. */
struct link *link_connect (uv_loop_t *loop, const struct net_addr *to,
                           const struct link_secret *secret,
                           const struct link_callbacks *cb, void *ctx);
void link_set_ctx (struct link *l, void *ctx);
void *link_ctx (struct link *l);

/**
 * Queue one frame.
 * @retval false  the link is not up or more than 4 MiB are queued
 */
bool link_send (struct link *l, const Lapis__Frame *frame);

/** Milliseconds since the last frame of the peer, heartbeats included. */
clk_ms link_idle_ms (const struct link *l);

/** Bytes sent and received since the start, for the budget counters. */
void link_traffic (const struct link *l, uint64_t *out, uint64_t *in);

/** Close without further callbacks. */
void link_close (struct link *l);

#endif
