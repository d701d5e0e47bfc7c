#include "standins/store-int.h"

static void
watch_free (struct watch *w)
{
  g_bytes_unref (w->from);
  g_bytes_unref (w->end);
  g_free (w);
}

static void
on_watch_disconnect (void *ctx)
{
  struct watch *w = ctx;

  w->req = NULL; /* freed by the next store_notify_watches() */
}

static void
add_event (struct buf *out, const struct kv_entry *e)
{
  if (out->len > 0)
    buf_add_char (out, ',');
  buf_addf (out, "{%s\"kv\":", e->value == NULL ? "\"type\":\"DELETE\"," : "");
  store_add_kv (out, e);
  buf_add_char (out, '}');
}

/* Oldest change at or after `revision`; searches from the newest back. */
static GList *
first_change_since (struct etcd_server *s, int64_t revision)
{
  GList *first = NULL;

  for (GList *l = s->kv.history->tail; l != NULL; l = l->prev)
    {
      if (((const struct kv_entry *)l->data)->mod < revision)
        break;
      first = l;
    }
  return first;
}

/* Sends all changes from w->next_revision on in one message, because the
   changes of a revision must not be split. */
static void
send_changes (struct etcd_server *s, struct watch *w)
{
  struct buf events = BUF_INIT, out = BUF_INIT;

  for (GList *l = first_change_since (s, w->next_revision); l != NULL;
       l = l->next)
    {
      const struct kv_entry *e = l->data;
      if (kv_in_range (e->key, w->from, w->end))
        add_event (&events, e);
    }
  w->next_revision = s->kv.revision + 1;
  if (events.len > 0)
    {
      buf_add_c (&out, "{\"result\":{");
      store_add_header (s, &out);
      buf_addf (&out, ",\"events\":[%s]}}\n", buf_c (&events));
      httpd_write (w->req, buf_str (&out));
    }
  buf_free (&events);
  buf_free (&out);
}

void
store_notify_watches (struct etcd_server *s)
{
  for (guint i = 0; i < s->watches->len;)
    {
      struct watch *w = s->watches->pdata[i];
      if (w->req == NULL)
        {
          g_ptr_array_remove_index (s->watches, i);
          watch_free (w);
          continue;
        }
      if (!s->silence_watches && w->next_revision <= s->kv.revision)
        send_changes (s, w);
      i++;
    }
}

void
store_drop_watches (struct etcd_server *s)
{
  for (guint i = 0; i < s->watches->len; i++)
    {
      struct watch *w = s->watches->pdata[i];
      if (w->req != NULL)
        httpd_end (w->req, false);
      watch_free (w);
    }
  g_ptr_array_set_size (s->watches, 0);
}

static void
reject_compacted (struct etcd_server *s, struct httpd_req *req)
{
  struct buf out = BUF_INIT;

  buf_add_c (&out, "{\"result\":{");
  store_add_header (s, &out);
  buf_addf (&out, ",\"canceled\":true,\"compact_revision\":\"%lld\"}}\n",
            (long long)s->kv.compacted + 1);
  httpd_write (req, buf_str (&out));
  httpd_end (req, true);
  buf_free (&out);
}

void
store_watch_open (struct etcd_server *s, struct httpd_req *req, json_object *o)
{
  json_object *create = store_json_field (o, "create_request");
  struct watch *w = g_new0 (struct watch, 1);
  struct buf out = BUF_INIT;

  s->counts.watches++;
  httpd_begin (req, 200, NULL, 0);
  w->req = req;
  w->from = store_json_bytes (create, "key");
  w->end = store_json_bytes (create, "range_end");
  w->next_revision = store_json_int (create, "start_revision");
  if (w->next_revision == 0)
    w->next_revision = s->kv.revision + 1;
  if (w->next_revision <= s->kv.compacted)
    {
      watch_free (w);
      reject_compacted (s, req);
      return;
    }
  g_ptr_array_add (s->watches, w);
  httpd_on_disconnect (req, on_watch_disconnect, w);
  buf_add_c (&out, "{\"result\":{");
  store_add_header (s, &out);
  buf_add_c (&out, ",\"created\":true}}\n");
  httpd_write (req, buf_str (&out));
  buf_free (&out);
  store_notify_watches (s);
}
