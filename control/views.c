#include <stdlib.h>
#include <string.h>

#include "control/views.h"

/*
 * Changes within this time are sent in one view, which contains the whole
 * state.  A new configuration causes many changes at once.
 */
#define VIEW_MIN_INTERVAL_MS ((clk_ms)50)

/* An unchanged view is sent again at this interval, as its evidence
   expires. */
#define VIEW_REPEAT_INTERVAL_MS CLK_SECOND

/* The store counts as reachable again after this long without a failure. */
#define STORE_RECOVERY_MS (3 * CLK_SECOND)

static void
free_share (void *p)
{
  struct vws_share *s = p;
  free (s->account);
  free (s);
}

/* --- sending ------------------------------------------------------------ */

static bool
send_chunk (struct ctl_views *v, struct str text, size_t offset)
{
  struct str part = str_head (str_skip (text, offset), LINK_CHUNK);
  Lapis__ConfigChunk chunk = LAPIS__CONFIG_CHUNK__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  chunk.revision = (uint64_t)v->hash_revision;
  chunk.hash = (ProtobufCBinaryData){ sizeof v->hash, v->hash };
  chunk.offset = offset;
  chunk.size = text.len;
  chunk.bytes = (ProtobufCBinaryData){ part.len, (uint8_t *)part.ptr };
  f.body_case = LAPIS__FRAME__BODY_CONFIG_CHUNK;
  f.config_chunk = &chunk;
  return link_send (v->link, &f);
}

/*
 * Sends the text if the gateway doesn't have it; false when the link refused a
 * frame.  A text longer than a chunk precedes the view in chunks: frames have
 * a size limit, and other frames would wait behind a megabyte of text.
 */
static bool
add_config (struct ctl_views *v, struct vws_builder *b)
{
  struct str text = ctl_spread_text (v->c->spread);
  if (!v->c->cfg || text.len == 0)
    return true;
  int64_t revision = v->c->cfg->revision;
  if (v->hash_revision != revision)
    dig_sha256 (text, v->hash);
  v->hash_revision = revision;
  b->view.config_revision = (uint64_t)revision;
  b->view.config_hash = (ProtobufCBinaryData){ sizeof v->hash, v->hash };
  if (memcmp (v->hash, v->sent_hash, sizeof v->hash) == 0)
    return true;
  if (text.len <= LINK_CHUNK)
    b->view.config = (ProtobufCBinaryData){ text.len, (uint8_t *)text.ptr };
  for (size_t at = 0; text.len > LINK_CHUNK && at < text.len; at += LINK_CHUNK)
    if (!send_chunk (v, text, at))
      return false;
  return true;
}

static void
send_view (struct ctl_views *v)
{
  clk_ms now = clk_now ();
  Lapis__Frame f = LAPIS__FRAME__INIT;
  struct vws_builder b;
  vws_build (&b, v, now);
  b.view.seq = ++v->seq;
  b.view.store_ok = now - v->store_failed_at >= STORE_RECOVERY_MS;
  f.body_case = LAPIS__FRAME__BODY_VIEW;
  f.view = &b.view;
  if (add_config (v, &b) && link_send (v->link, &f))
    {
      memcpy (v->sent_hash, v->hash, sizeof v->hash);
      met_add (met_counter (v->c->met, "lapisline_control_messages_total",
                            "Messages by mechanism and direction.",
                            "mechanism=\"view\",direction=\"out\""),
               1);
    }
  v->sent_at = now;
  vws_free (&b);
}

static void
on_send (uv_timer_t *t)
{
  struct ctl_views *v = t->data;
  if (v->link)
    send_view (v);
}

void
ctl_views_schedule (struct ctl_views *v)
{
  if (!v->link || uv_is_active ((uv_handle_t *)&v->send_timer))
    return;
  clk_ms wait = v->sent_at + VIEW_MIN_INTERVAL_MS - clk_now ();
  uv_timer_start (&v->send_timer, on_send, wait > 0 ? (uint64_t)wait : 0, 0);
}

/* Announces the lower of the revisions in force here and at the gateway, which
   handles the requests. */
static void
announce_revision (struct ctl_views *v)
{
  int64_t revision = v->c->cfg ? v->c->cfg->revision : 0;
  if (v->link && v->gateway_revision < revision)
    revision = v->gateway_revision;
  ctl_swim_set_revision (v->c->swim, revision);
}

void
ctl_views_on_config (struct ctl_views *v)
{
  announce_revision (v);
  ctl_views_schedule (v);
}

static void
check_store (struct ctl_views *v, clk_ms now)
{
  const struct store_counts *n = store_counts (v->c->store);
  uint64_t failures = n->unavailable + n->uncertain;
  if (failures != v->store_failure_count)
    v->store_failed_at = now;
  v->store_failure_count = failures;
}

static void
on_repeat (uv_timer_t *t)
{
  struct ctl_views *v = t->data;
  clk_ms now = clk_now ();
  check_store (v, now);
  if (now - v->sent_at >= VIEW_REPEAT_INTERVAL_MS)
    ctl_views_schedule (v);
}

/* --- the gateway -------------------------------------------------------- */

static void
parse_addr (const char *text, struct net_addr *out)
{
  if (!net_addr_parse (str_from (text), false, out))
    *out = (struct net_addr){ 0 };
}

void
ctl_views_on_gateway (struct ctl_views *v, struct link *l,
                      const Lapis__Hello *hello)
{
  if (strcmp (hello->node, v->c->set.node) != 0)
    {
      LOG (gateway_foreign, LOG_C ("gateway", hello->node));
      return;
    }
  /* A replaced gateway process may still hold a dead link; clients reach the
     one with the higher boot number. */
  if (v->link && hello->boot < v->gateway_boot)
    return;
  if (v->link && v->link != l)
    ctl_views_on_gateway_down (v, v->link);
  v->link = l;
  v->gateway_boot = hello->boot;
  v->gateway_revision = 0;
  parse_addr (hello->http_addr, &v->gateway_http);
  parse_addr (hello->peer_addr, &v->gateway_peer);
  memset (v->sent_hash, 0, sizeof v->sent_hash);
  LOG (gateway_linked, LOG_C ("http", hello->http_addr));
  ctl_swim_set_gateway (v->c->swim, &v->gateway_http, &v->gateway_peer, 0);
  ctl_views_on_config (v);
}

void
ctl_views_on_gateway_down (struct ctl_views *v, struct link *l)
{
  static const struct net_addr none;
  uint64_t out;
  uint64_t in;
  if (!v || l != v->link)
    return;
  link_traffic (l, &out, &in);
  v->closed_out += out;
  v->closed_in += in;
  v->link = NULL;
  uv_timer_stop (&v->send_timer);
  LOG (gateway_gone, LOG_I ("boot", v->gateway_boot));
  ctl_swim_set_gateway (v->c->swim, &none, &none, 0);
  announce_revision (v);
}

static void
on_report (struct ctl_views *v, const Lapis__Report *r)
{
  static const struct net_addr none;
  /* A leaving gateway completes its requests, but no address response may name
     it. */
  ctl_swim_set_gateway (v->c->swim, r->leaving ? &none : &v->gateway_http,
                        &v->gateway_peer, r->open_requests);
  v->gateway_revision = (int64_t)r->config_revision;
  announce_revision (v);
  for (size_t i = 0; i < r->n_demand; i++)
    ctl_shares_on_demand (v->c->shares, str_from (v->c->set.node),
                          r->demand[i]);
}

void
ctl_views_on_frame (struct ctl_views *v, struct link *l, const Lapis__Frame *f)
{
  if (l != v->link)
    return;
  met_add (met_counter (v->c->met, "lapisline_control_messages_total",
                        "Messages by mechanism and direction.",
                        "mechanism=\"view\",direction=\"in\""),
           1);
  if (f->body_case == LAPIS__FRAME__BODY_REPORT)
    on_report (v, f->report);
  else if (f->body_case == LAPIS__FRAME__BODY_TRACE_ANSWER && v->c->admin)
    ctl_admin_on_spans (
        v->c->admin, f->trace_answer->id,
        str_make (f->trace_answer->json.data, f->trace_answer->json.len));
}

bool
ctl_views_linked (const struct ctl_views *v)
{
  return v->link != NULL;
}

bool
ctl_views_request_spans (struct ctl_views *v, uint64_t id,
                         const uint8_t trace[16])
{
  Lapis__TraceAsk ask = LAPIS__TRACE_ASK__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  ask.id = id;
  ask.trace = (ProtobufCBinaryData){ 16, (uint8_t *)trace };
  f.body_case = LAPIS__FRAME__BODY_TRACE_ASK;
  f.trace_ask = &ask;
  return v->link && link_send (v->link, &f);
}

void
ctl_views_traffic (const struct ctl_views *v, uint64_t *out, uint64_t *in)
{
  *out = *in = 0;
  if (v->link)
    link_traffic (v->link, out, in);
  *out += v->closed_out;
  *in += v->closed_in;
}

void
ctl_views_on_grant (struct ctl_views *v, const Lapis__ShareGrant *g)
{
  struct vws_share *s = NULL;
  for (guint i = 0; i < v->shares->len && !s; i++)
    {
      struct vws_share *at = v->shares->pdata[i];
      if (strcmp (at->account, g->account) == 0)
        s = at;
    }
  if (!s)
    {
      s = xcalloc (1, sizeof *s);
      s->account = xstrdup (g->account);
      g_ptr_array_add (v->shares, s);
    }
  s->tokens_per_s = g->tokens_per_s;
  s->concurrency = g->concurrency;
  s->expires_at = clk_now () + g->valid_ms;
  ctl_views_schedule (v);
}

/* --- start and stop ----------------------------------------------------- */

struct ctl_views *
ctl_views_start (struct ctl *c, struct buf *err)
{
  struct ctl_views *v = xcalloc (1, sizeof *v);
  v->c = c;
  v->hash_revision = -1;
  v->store_failed_at = -STORE_RECOVERY_MS;
  v->shares = g_ptr_array_new_with_free_func (free_share);
  uv_timer_init (c->loop, &v->send_timer);
  uv_timer_init (c->loop, &v->repeat_timer);
  v->send_timer.data = v->repeat_timer.data = v;
  uv_timer_start (&v->repeat_timer, on_repeat, VIEW_REPEAT_INTERVAL_MS / 2,
                  VIEW_REPEAT_INTERVAL_MS / 2);
  return v;
}

static void
on_closed (uv_handle_t *h)
{
  struct ctl_views *v = h->data;
  g_ptr_array_free (v->shares, TRUE);
  free (v);
}

void
ctl_views_stop (struct ctl_views *v)
{
  v->link = NULL;
  uv_close ((uv_handle_t *)&v->send_timer, NULL);
  uv_close ((uv_handle_t *)&v->repeat_timer, on_closed);
}
