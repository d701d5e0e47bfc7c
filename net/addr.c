#include "net/addr.h"

#include <arpa/inet.h>
#include <string.h>
#include <uv.h>

#define PORT_MAX 65535

/* Split "host:port" or "[host]:port"; false when there is no port. */
static bool
split_host_port (struct str s, struct str *host, struct str *port)
{
  if (s.len > 0 && s.ptr[0] == '[')
    {
      size_t close = str_chr (s, ']');
      if (close + 1 >= s.len || s.ptr[close + 1] != ':')
        return false;
      *host = str_make (s.ptr + 1, close - 1);
      *port = str_skip (s, close + 2);
      return true;
    }
  size_t colon = str_chr (s, ':');
  if (colon == s.len)
    return false;
  *host = str_head (s, colon);
  *port = str_skip (s, colon + 1);
  return true;
}

static bool
parse_port (struct str s, bool allow_zero, uint16_t *out)
{
  int64_t port;

  if (s.len == 0 || s.ptr[0] < '0' || s.ptr[0] > '9')
    return false;
  if (!str_to_i64 (s, &port) || port > PORT_MAX)
    return false;
  if (port == 0 && !allow_zero)
    return false;
  *out = (uint16_t)port;
  return true;
}

bool
net_addr_parse (struct str s, bool allow_zero, struct net_addr *out)
{
  struct str host, port;
  struct net_addr a;
  unsigned char ip[sizeof (struct in6_addr)];

  if (!split_host_port (s, &host, &port))
    return false;
  if (!parse_port (port, allow_zero, &a.port))
    return false;
  if (host.len == 0 || host.len >= sizeof a.host)
    return false;
  memset (a.host, 0, sizeof a.host);
  memcpy (a.host, host.ptr, host.len);
  if (inet_pton (s.ptr[0] == '[' ? AF_INET6 : AF_INET, a.host, ip) != 1)
    return false;
  *out = a;
  return true;
}

void
net_addr_format (const struct net_addr *a, struct buf *out)
{
  bool v6 = strchr (a->host, ':') != NULL;

  buf_addf (out, v6 ? "[%s]:%u" : "%s:%u", a->host, (unsigned)a->port);
}

bool
net_addr_eq (const struct net_addr *a, const struct net_addr *b)
{
  return a->port == b->port && strcmp (a->host, b->host) == 0;
}

int
net_addr_sockaddr (const struct net_addr *a, struct sockaddr_storage *out)
{
  memset (out, 0, sizeof *out);
  if (strchr (a->host, ':') != NULL)
    return uv_ip6_addr (a->host, a->port, (struct sockaddr_in6 *)out);
  return uv_ip4_addr (a->host, a->port, (struct sockaddr_in *)out);
}
