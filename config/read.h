/**
 * @file
 * Reading JSON objects into structures by tables of fields.  Everything that
 * is wrong becomes a finding; reading goes on with the default.
 */
#ifndef LAPISLINE_CONFIG_READ_H
#define LAPISLINE_CONFIG_READ_H

#include <json-c/json.h>

#include "base/findings.h"
#include "config/arena.h"

/** A place in a document; chained on the stack, rendered when needed. */
struct rd_at
{
  const struct rd_at *up; /**< NULL: the top */
  struct str key;         /**< empty: an element of an array */
  size_t index;
};

/** What all readers share. */
struct rd
{
  struct arena *arena; /**< owns the strings that are read */
  struct fnd_list *findings;
};

enum rd_type
{
  RD_NESTED,   /**< known, but read by other code */
  RD_TEXT,     /**< struct str */
  RD_NAME,     /**< struct str of name syntax */
  RD_DIGEST,   /**< struct str, SHA-256 in hexadecimal */
  RD_BOOL,     /**< bool */
  RD_UNSIGNED, /**< unsigned */
  RD_SIZE,     /**< size_t, bytes or a count */
  RD_MS,       /**< clk_ms */
  RD_NUMBER,   /**< double */
  RD_ADDR,     /**< struct net_addr; min 0 allows port 0 */
  RD_CHOICE    /**< enum as int, by the position in choices */
};

struct rd_field
{
  const char *name;
  enum rd_type type;
  size_t offset; /**< into the structure */
  bool required;
  double min; /**< of numbers, inclusive */
  double max;
  const char *const *choices; /**< ended by NULL */
};

/* Rows of a table of fields. */
#define RD_FIELD(n, t, at, req)                                               \
  {                                                                           \
    .name = (n), .type = (t), .offset = (at), .required = (req)               \
  }
#define RD_RANGE(n, t, at, req, lo, hi)                                       \
  {                                                                           \
    .name = (n), .type = (t), .offset = (at), .required = (req), .min = (lo), \
    .max = (hi)                                                               \
  }
#define RD_ENUM(n, at, req, words)                                            \
  {                                                                           \
    .name = (n), .type = RD_CHOICE, .offset = (at), .required = (req),        \
    .choices = (words)                                                        \
  }
/** Known, and read by other code. */
#define RD_KNOWN(n, req) RD_FIELD (n, RD_NESTED, 0, req)
/** Address of another process: a port is needed. */
#define RD_REMOTE(n, at, req) RD_RANGE (n, RD_ADDR, at, req, 1, 0)
/** Address to listen at: port 0 lets the kernel choose. */
#define RD_LISTEN(n, at, req) RD_FIELD (n, RD_ADDR, at, req)

#define RD_LEN(table) (sizeof (table) / sizeof (table)[0])

void rd_error (struct rd *r, const struct rd_at *at, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
void rd_warn (struct rd *r, const struct rd_at *at, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Append the JSON pointer of @p at. */
void rd_pointer (const struct rd_at *at, struct buf *out);

/**
 * Read the members of @p json into @p out, which holds the defaults.  Unknown
 * members are findings that name the nearest known one.
 */
void rd_object (struct rd *r, const struct rd_at *at, struct json_object *json,
                const struct rd_field *fields, size_t n, void *out);

/** Read one member, when it is there, as its field tells. */
void rd_optional (struct rd *r, const struct rd_at *at,
                  struct json_object *json, const struct rd_field *f,
                  void *out);

/** A member that must be an object or array if it is there; else NULL. */
struct json_object *rd_member (struct rd *r, const struct rd_at *at,
                               struct json_object *json, const char *key,
                               enum json_type type);

bool rd_is_name (struct str name);

/** Check the syntax: a letter or digit, then at most 62 more or "._-". */
void rd_check_name (struct rd *r, const struct rd_at *at, struct str name);

/** Read an array of strings, each of @p type (RD_TEXT, RD_NAME, RD_DIGEST). */
struct str *rd_strings (struct rd *r, const struct rd_at *at,
                        struct json_object *json, const char *key,
                        enum rd_type type, size_t max, size_t *n);

/** Read "not_run_status": at most four statuses from 400 to 599. */
size_t rd_statuses (struct rd *r, const struct rd_at *at,
                    struct json_object *json, int out[4]);

#endif
