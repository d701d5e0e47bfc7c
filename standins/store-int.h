/**
 * @file
 * Shared declarations of the etcd stand-in: store.c accepts requests and
 * injects faults, store-calls.c implements the calls and store-watch.c the
 * watches.
 */
#ifndef LAPISLINE_STANDINS_STORE_INT_H
#define LAPISLINE_STANDINS_STORE_INT_H

#include "store/etcd-json.h"
#include "standins/fault.h"
#include "standins/kv.h"

/** Maximum size of a request body in bytes, as in etcd. */
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
  /** Failed compares, answers dropped by a fault, calls while down. */
  unsigned conflicts, lost, refused;
};

struct watch
{
  struct httpd_req *req;
  GBytes *from, *end;
  int64_t next_revision; /**< first revision not yet sent */
};

struct etcd_server
{
  uv_loop_t loop;
  uv_timer_t tick;
  struct net_addr at;
  struct httpd *api, *control;
  struct kv kv;
  struct counts counts;
  enum down_mode down;
  unsigned outages; /**< times the service port was closed */
  int delay_ms, answer_delay_ms, lose_next_writes, lose_next_reads;
  int fail_write; /**< error code returned for writes; 0: off */
  bool silence_watches;
  GPtrArray *watches;
};

struct call
{
  const char *path;
  int (*run) (struct etcd_server *s, json_object *o, struct buf *out);
  size_t counter; /**< offset in struct counts */
  bool write;
};

/** Field of a JSON object; NULL if missing or not an object. */
json_object *store_json_field (json_object *o, const char *key);

/** Integer field, given as a JSON string or number; 0 if missing. */
int64_t store_json_int (json_object *o, const char *key);

/** Decodes a base64 field; empty if missing. */
GBytes *store_json_bytes (json_object *o, const char *key);

void store_add_header (struct etcd_server *s, struct buf *out);
void store_add_kv (struct buf *out, const struct kv_entry *e);

/** Replaces @p out with an error body with gRPC @p code; returns @p status. */
int store_error (struct buf *out, int status, int code, const char *text);

/** Looks up a call by its path; NULL if unknown. */
const struct call *store_find_call (const char *path);

void store_watch_open (struct etcd_server *s, struct httpd_req *req,
                       json_object *o);

/** Sends each open watch the changes not sent yet and frees closed ones. */
void store_notify_watches (struct etcd_server *s);

/** Breaks the connections of all watches. */
void store_drop_watches (struct etcd_server *s);

#endif
