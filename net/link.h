/**
 * @file
 * Framed TCP links between our own processes.
 *
 * A frame is a 4-byte big-endian length and that many bytes of protobuf
 * (proto/wire.proto, message Frame).  Both ends prove the shared secret
 * before the first frame: each sends a nonce and answers the other's with an
 * HMAC-SHA256; a frame then carries a truncated HMAC over a counter and the
 * bytes, so that a frame injected or replayed closes the link.
 *
 * Small messages are never stuck behind large ones for long: a sender splits
 * large payloads into chunks of at most LINK_CHUNK bytes.
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
  /** State changed; after LINK_DOWN the link is gone. */
  void (*on_state) (void *ctx, struct link *l, enum link_state state);
  /** One frame; @p frame is valid during the call. */
  void (*on_frame) (void *ctx, struct link *l, const Lapis__Frame *frame);
};

/** Accepted links use @p cb and @p ctx; link_set_ctx() may change the ctx. */
struct link_server *link_listen (uv_loop_t *loop, const struct net_addr *at,
                                 const struct link_secret *secret,
                                 const struct link_callbacks *cb, void *ctx,
                                 struct buf *err);
/** Links that are accepted from now on prove this secret. */
void link_server_set_secret (struct link_server *s,
                             const struct link_secret *secret);
uint16_t link_server_port (const struct link_server *s);
void link_server_free (struct link_server *s);

/** Connect; the result comes by on_state, never from within the call. */
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

/** Milliseconds since the peer was last heard (heartbeats included). */
clk_ms link_silence (const struct link *l);

/** Bytes sent and received since the start, for the budget counters. */
void link_traffic (const struct link *l, uint64_t *out, uint64_t *in);

/** Close without further callbacks. */
void link_close (struct link *l);

#endif
