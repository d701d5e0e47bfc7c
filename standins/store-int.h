/**
 * @file
 * What the files of the store's stand-in share: store.c takes requests and
 * faults, store-calls.c carries out calls, store-watch.c feeds watches.
 */
#ifndef LAPISLINE_STANDINS_STORE_INT_H
#define LAPISLINE_STANDINS_STORE_INT_H

#include "store/etcd-json.h"
#include "standins/fault.h"
#include "standins/kv.h"

/** Largest request in bytes. */
#define MAX_REQUEST ((size_t)1536 * 1024)

enum down_mode
{
  UP,
  DOWN_REFUSE,
  DOWN_SILENT,
  DOWN_ERROR
};

struct counts
{
  unsigned ranges, txns, puts, grants, keeps, revokes, watches;
  unsigned conflicts, lost, refused;
};

struct watch
{
  struct httpd_req *req;
  GBytes *from, *end;
  int64_t next; /**< first revision that was not sent */
};

struct server
{
  uv_loop_t loop;
  uv_timer_t tick;
  struct net_addr at;
  struct httpd *api, *control;
  struct kv kv;
  struct counts counts;
  enum down_mode down;
  unsigned outages; /**< times that the listener went, with its requests */
  int delay_ms, answer_delay_ms, lose_next, lose_read_next;
  int fail_write; /**< error code, or 0 */
  bool silence_watches;
  GPtrArray *watches;
};

struct call
{
  const char *path;
  int (*run) (struct server *s, json_object *o, struct buf *out);
  size_t counter; /**< offset in struct counts */
  bool write;
};

/** Field of an object, or NULL. */
json_object *store_get (json_object *o, const char *key);

/** Number that comes as a string or as a number. */
int64_t store_num (json_object *o, const char *key);

/** Bytes that come in base64. */
GBytes *store_bytes (json_object *o, const char *key);

void store_add_header (struct server *s, struct buf *out);
void store_add_kv (struct buf *out, const struct kv_entry *e);

/** Replace @p out by an error; returns @p status. */
int store_error (struct buf *out, int status, int code, const char *text);

/** Call by its path, or NULL. */
const struct call *store_find_call (const char *path);

void store_watch_open (struct server *s, struct httpd_req *req,
                       json_object *o);

/** Send every watch what it has not got. */
void store_feed_watches (struct server *s);

/** Cut every watch. */
void store_drop_watches (struct server *s);

#endif
