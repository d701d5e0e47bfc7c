#include "t/lib-control.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "base/digest.h"

#define SECRET "a secret of the test"

/* Appends the words of "A B" as "\"A\",\"B\"". */
static void
add_quoted (struct buf *out, struct str words)
{
  while (words.len > 0)
    {
      size_t end = str_chr (words, ' ');

      buf_addf (out, "%s\"%.*s\"", out->len > 0 ? "," : "",
                STR_ARG (str_head (words, end)));
      words = str_trim (str_skip (words, end));
    }
}

const char *
control_settings (const char *node, const char *store, const char *peers,
                  const char *more)
{
  struct buf quoted = BUF_INIT;
  const char *path;
  char name[64];

  proc_file ("secret.txt", SECRET);
  snprintf (name, sizeof name, "%s.json", node);
  add_quoted (&quoted, str_from (peers));
  path = proc_file (
      name,
      "{\"node\":\"%s\",\"zone\":\"hall-a\",\"region\":\"nairobi\","
      "\"gateway\":{\"http\":\"127.0.0.1:0\",\"peer\":\"127.0.0.1:0\"},"
      "\"control\":{\"swim\":\"127.0.0.1:0\",\"peer\":\"127.0.0.1:0\","
      "\"admin\":\"127.0.0.1:0\"},"
      "\"store\":{\"endpoints\":[\"%s\"],\"prefix\":\"/lapisline/\","
      "\"writes_per_s\":50,\"reads_per_s\":200},"
      "\"peers\":[%s],\"secret_file\":\"secret.txt\"%s}",
      node, store, buf_c (&quoted), more);
  buf_free (&quoted);
  return path;
}

struct proc *
control_up (const char *settings)
{
  return PROC_START_READY ("lapisline", "control", "--settings", settings);
}

void
control_push (const char *option, const char *value)
{
  struct buf out = BUF_INIT;
  char folder[512];

  snprintf (folder, sizeof folder, "%s/config", proc_dir ());
  cr_assert_eq (PROC_RUN (&out, "lapisline", "config", "push", folder, option,
                          value, "--who", "amina"),
                0, "%s", buf_c (&out));
  buf_free (&out);
}

static void
on_state (void *ctx, struct link *l, enum link_state state)
{
  struct control_gateway *g = ctx;
  Lapis__Hello hello = LAPIS__HELLO__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;

  g->state = state;
  if (state != LINK_UP)
    return;
  hello.node = (char *)g->node;
  hello.boot = 1;
  hello.role = "gateway";
  hello.http_addr = "127.0.0.1:8080";
  hello.peer_addr = "127.0.0.1:7001";
  f.body_case = LAPIS__FRAME__BODY_HELLO;
  f.hello = &hello;
  cr_assert (link_send (l, &f));
}

static void
on_frame (void *ctx, struct link *l, const Lapis__Frame *f)
{
  struct control_gateway *g = ctx;

  if (f->body_case == LAPIS__FRAME__BODY_VIEW)
    g->on_view (g, f->view);
}

void
control_gateway_up (struct control_gateway *g, uv_loop_t *loop,
                    const char *node, const char *peer,
                    void (*on_view) (struct control_gateway *,
                                     const Lapis__View *))
{
  static const struct link_callbacks cb = { on_state, on_frame };
  struct link_secret secret;
  struct net_addr to;

  dig_sha256 (STR (SECRET), secret.key);
  cr_assert (net_addr_parse (str_from (peer), false, &to));
  *g = (struct control_gateway){ .node = node, .on_view = on_view };
  g->link = link_connect (loop, &to, &secret, &cb, g);
}
