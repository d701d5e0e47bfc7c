/**
 * @file
 * Requests and answers of the etcd v3 JSON gateway: keys and values in
 * base64, 64-bit numbers as strings, absent fields zero.
 */
#ifndef LAPISLINE_STORE_ETCD_JSON_H
#define LAPISLINE_STORE_ETCD_JSON_H

#include <json-c/json.h>

#include "store/store.h"

/** Append a base64 JSON string. */
void etcd_add_base64 (struct buf *out, struct str s);

/** Decode standard base64 with padding; false when it is not. */
bool etcd_base64 (struct str s, struct buf *out);

void etcd_range_json (struct str key, struct str end, struct buf *out);
void etcd_txn_json (const struct store_txn *txn, struct buf *out);
void etcd_grant_json (clk_ms ttl, struct buf *out);
void etcd_lease_json (int64_t lease, struct buf *out);
void etcd_watch_json (struct str key, struct str end, int64_t from,
                      struct buf *out);

/** Error codes (gRPC) of which we know something. */
enum etcd_code
{
  ETCD_INVALID_ARGUMENT = 3,
  ETCD_NOT_FOUND = 5,
  ETCD_PERMISSION_DENIED = 7,
  ETCD_RESOURCE_EXHAUSTED = 8,
  ETCD_FAILED_PRECONDITION = 9,
  ETCD_OUT_OF_RANGE = 11,
  ETCD_UNIMPLEMENTED = 12,
  ETCD_UNAUTHENTICATED = 16
};

/** One answer, or one message of a stream; all zero is empty. */
struct etcd_answer
{
  bool is_error;
  int code; /**< of the error, 0 when it has none */
  int64_t revision;
  bool succeeded;
  bool canceled;
  bool compacted;
  int64_t lease;
  int64_t ttl_s;
  struct store_kv *kvs;
  size_t nkvs;
  struct store_watch_event *events;
  size_t nevents;
};

/** Read one object; false when it is not an answer of the gateway. */
bool etcd_read (json_object *o, struct etcd_answer *out);

/** As etcd_read() from text. */
bool etcd_parse (struct str text, struct etcd_answer *out);

void etcd_answer_free (struct etcd_answer *a);

#endif
