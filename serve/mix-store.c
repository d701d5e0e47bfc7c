#include "serve/node-int.h"

#include <stdlib.h>

#include "base/json.h"

/*
 * The observed mix of each service that is planned by demand is kept in the
 * store, so that a system that starts later begins with it:
 *
 *   mix   {"SERVICE": {"MODEL": mean requests, ...}, ...}
 *
 * The leader writes it.  The key has no lease.  If it is missing or can't be
 * parsed, the declared shares are in effect.
 */

/** Interval between two writes, at least. */
#define WRITE_INTERVAL_MS ((clk_ms)15000)
/** Delay before a failed write is repeated. */
#define RETRY_MS ((clk_ms)3000)
/** Services and models per service that are read, at most. */
#define MAX_ITEMS 16

struct srv_mix
{
  struct srv *s;
  struct buf key;
  bool call_pending;
  clk_ms next_write;
  struct buf value; /**< last value written */
};

/* --- reading ------------------------------------------------------------- */

static void
apply_service (struct frm *form, struct str service, struct json_object *o)
{
  unsigned n = 0;

  if (!json_object_is_type (o, json_type_object))
    return;
  json_object_object_foreach (o, model, requests)
  {
    if (n++ == MAX_ITEMS)
      return;
    if (json_object_is_type (requests, json_type_double)
        || json_object_is_type (requests, json_type_int))
      frm_set_stored_mix (form, service, str_from (model),
                          json_object_get_double (requests));
  }
}

void
srv_mix_store_item (struct srv *s, bool deleted, struct str value)
{
  struct frm *form = srv_leader_form (s);
  struct json_object *o = deleted ? NULL : jsn_parse (value);
  unsigned n = 0;

  frm_clear_stored_mix (form);
  if (json_object_is_type (o, json_type_object))
    {
      json_object_object_foreach (o, service, models)
      {
        if (n++ == MAX_ITEMS)
          break;
        apply_service (form, str_from (service), models);
      }
    }
  json_object_put (o);
}

void
srv_mix_store_reread (struct srv *s)
{
  frm_clear_stored_mix (srv_leader_form (s));
}

/* --- writing ------------------------------------------------------------- */

static void
on_written (void *ctx, const struct store_result *r)
{
  struct srv_mix *m = ctx;
  clk_ms now = clk_now ();

  m->call_pending = false;
  if (r->status == STORE_OK)
    srv_mix_store_item (m->s, false, buf_str (&m->value));
  else
    m->next_write = now + RETRY_MS;
  pau_call_ended (&m->s->store_backoff, now, r->status, &m->s->rng);
}

static void
format_value (const struct frm_mix *rows, size_t n, struct buf *out)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *models = NULL;

  for (size_t i = 0; i < n; i++)
    {
      char *service = str_dup (rows[i].service);
      char *model = str_dup (rows[i].model);
      char text[16];
      if (i == 0 || !str_eq (rows[i].service, rows[i - 1].service))
        {
          models = json_object_new_object ();
          json_object_object_add (o, service, models);
        }
      snprintf (text, sizeof text, "%.1f", rows[i].requests);
      json_object_object_add (
          models, model, json_object_new_double_s (rows[i].requests, text));
      free (service);
      free (model);
    }
  buf_add_c (out, json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  json_object_put (o);
}

void
srv_mix_tick (struct srv *s, clk_ms now)
{
  struct srv_mix *m = s->mix;
  struct frm_mix rows[FRM_MODEL_ROWS];
  struct store_put put;
  struct store_txn txn = { .puts = &put, .nputs = 1 };
  bool changed;
  size_t n;

  if (m->call_pending || now < m->next_write || !srv_is_leader (s)
      || s->stopping_since || !pau_may_call (&s->store_backoff, now))
    return;
  n = frm_mix (srv_leader_form (s), now, rows, &changed);
  if (n == 0 || !changed)
    return;
  buf_clear (&m->value);
  format_value (rows, n, &m->value);
  put = (struct store_put){ .key = buf_str (&m->key),
                            .value = buf_str (&m->value) };
  m->call_pending = true;
  m->next_write = now + WRITE_INTERVAL_MS;
  pau_call_started (&s->store_backoff);
  store_txn (s->store, STORE_ROSTER, &txn, on_written, m);
}

void
srv_mix_start (struct srv *s)
{
  s->mix = xcalloc (1, sizeof *s->mix);
  s->mix->s = s;
  buf_addf (&s->mix->key, "%smix", s->adapter->own_prefix);
}
