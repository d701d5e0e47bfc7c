#include "net/link-int.h"

#include <stdlib.h>

#define LINK_BACKLOG 256

/* Limit of concurrent unauthenticated connections, which bounds the resources
   that unknown clients can use; further ones are closed. */
#define LINK_PENDING_MAX 256

void
link_unlink_pending (struct link *l)
{
  if (l->server == NULL)
    return;
  *l->prev = l->next;
  if (l->next != NULL)
    l->next->prev = l->prev;
  l->server->npending--;
  l->server = NULL;
}

static void
on_accept (uv_stream_t *stream, int status)
{
  struct link_server *s = stream->data;

  if (status != 0)
    return;
  struct link *l = link_new (stream->loop, &s->secret, false, &s->cb, s->ctx);
  l->server = s;
  l->next = s->pending;
  l->prev = &s->pending;
  if (l->next != NULL)
    l->next->prev = &l->next;
  s->pending = l;
  s->npending++;
  if (uv_accept (stream, (uv_stream_t *)&l->tcp) != 0
      || s->npending > LINK_PENDING_MAX)
    link_close (l);
  else
    link_start_handshake (l);
}

static void
on_server_closed (uv_handle_t *h)
{
  free (h);
}

static int
listen_at (struct link_server *s, const struct net_addr *at)
{
  struct sockaddr_storage ss;
  int len = sizeof ss;
  int rc = net_addr_sockaddr (at, &ss);

  if (rc == 0)
    rc = uv_tcp_bind (&s->tcp, (struct sockaddr *)&ss, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&s->tcp, LINK_BACKLOG, on_accept);
  if (rc == 0)
    rc = uv_tcp_getsockname (&s->tcp, (struct sockaddr *)&ss, &len);
  if (rc == 0)
    s->port = ss.ss_family == AF_INET6
                  ? ntohs (((struct sockaddr_in6 *)&ss)->sin6_port)
                  : ntohs (((struct sockaddr_in *)&ss)->sin_port);
  return rc;
}

struct link_server *
link_listen (uv_loop_t *loop, const struct net_addr *at,
             const struct link_secret *secret, const struct link_callbacks *cb,
             void *ctx, struct buf *err)
{
  struct link_server *s = xcalloc (1, sizeof *s);
  int rc;

  s->secret = *secret;
  s->cb = *cb;
  s->ctx = ctx;
  uv_tcp_init (loop, &s->tcp);
  s->tcp.data = s;
  rc = listen_at (s, at);
  if (rc == 0)
    return s;
  if (err != NULL)
    buf_addf (err, "cannot listen on %s:%u: %s", at->host, (unsigned)at->port,
              uv_strerror (rc));
  link_server_free (s);
  return NULL;
}

void
link_server_set_secret (struct link_server *s,
                        const struct link_secret *secret)
{
  s->secret = *secret;
}

uint16_t
link_server_port (const struct link_server *s)
{
  return s->port;
}

/* Closes the links that are not authenticated yet; links that are up stay. */
void
link_server_free (struct link_server *s)
{
  while (s->pending != NULL)
    link_close (s->pending);
  uv_close ((uv_handle_t *)&s->tcp, on_server_closed);
}
