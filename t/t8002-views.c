#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/control.h"
#include "t/lib-transcript.h"

/*
 * The link to the gateway, with stubs for the other modules.  Commands of a
 * transcript:
 *   config REVISION BYTES               a document of that size is in force
 *   gateway LINK NODE BOOT ADDR         a gateway's hello arrives
 *   down LINK
 *   report LINK REVISION OPEN LEAVING
 *   share ACCOUNT TOKENS VALID_MS
 *   leave                               the node drains
 *   view                                wait for the next view
 */

#define WAIT_MS 10000

struct link
{
  const char *name;
};

static struct link links[] = { { "a" }, { "b" } };

static struct fixture
{
  struct ctl c;
  uv_loop_t loop;
  struct buf log;
  struct buf text;
  unsigned nviews;
} fx;

/* --- stubs -------------------------------------------------------------- */

const struct mbr_node *const *
ctl_swim_nodes (const struct ctl_swim *s, size_t *n)
{
  static const struct mbr_node self = { .name = STR ("entry-1") };
  static const struct mbr_node *all[] = { &self };
  *n = 1;
  return all;
}

void
ctl_swim_set_gateway (struct ctl_swim *s, const struct net_addr *http,
                      const struct net_addr *peer, uint32_t load)
{
  buf_addf (&fx.log, "  membership: http port %u, load %u\n", http->port,
            load);
}

void
ctl_swim_set_revision (struct ctl_swim *s, int64_t revision)
{
  static int64_t last = -1;
  if (revision != last)
    buf_addf (&fx.log, "  membership: revision %d\n", (int)revision);
  last = revision;
}

char *const *
ctl_domains_leaving (struct ctl_domains *d, size_t *n)
{
  *n = 0;
  return NULL;
}

const struct ctl_replica *
ctl_domains_replicas (struct ctl_domains *d, size_t *n)
{
  static struct ctl_replica r
      = { .name = STR ("ghala-lm-1"), .complete = true };
  r.valid_until = clk_now () + CLK_MINUTE;
  *n = 1;
  return &r;
}

struct str
ctl_spread_text (const struct ctl_spread *s)
{
  return buf_str (&fx.text);
}

void
ctl_shares_on_demand (struct ctl_shares *s, struct str node,
                      const Lapis__ShareDemand *d)
{
}

void
ctl_admin_on_spans (struct ctl_admin *a, uint64_t id, struct str json)
{
}

const struct store_counts *
store_counts (const struct store *s)
{
  static const struct store_counts none;
  return &none;
}

void
link_traffic (const struct link *l, uint64_t *out, uint64_t *in)
{
  *out = 10;
  *in = 1;
}

static void
log_view (const struct link *l, const Lapis__View *v)
{
  buf_addf (&fx.log, "  to %s: view %d", l->name, (int)v->seq);
  buf_addf (&fx.log, " revision %d", (int)v->config_revision);
  if (v->config.len > 0)
    buf_addf (&fx.log, " text %zu", v->config.len);
  for (size_t i = 0; i < v->n_replicas; i++)
    buf_addf (&fx.log, " %s%s", v->replicas[i]->replica,
              v->replicas[i]->valid_ms > 0 ? "" : " expired");
  for (size_t i = 0; i < v->n_shares; i++)
    buf_addf (&fx.log, " share %s %g", v->shares[i]->account,
              v->shares[i]->tokens_per_s);
  buf_addf (&fx.log, "%s\n", v->leaving ? " leaving" : "");
  fx.nviews++;
}

bool
link_send (struct link *l, const Lapis__Frame *f)
{
  if (f->body_case == LAPIS__FRAME__BODY_VIEW)
    log_view (l, f->view);
  else
    buf_addf (&fx.log, "  to %s: chunk %d + %zu of %d\n", l->name,
              (int)f->config_chunk->offset, f->config_chunk->bytes.len,
              (int)f->config_chunk->size);
  return true;
}

/* --- scripts ------------------------------------------------------------ */

static struct link *
find_link (const char *name)
{
  return &links[name[0] == 'b'];
}

static void
do_gateway (const char *line)
{
  char link[8];
  char node[32];
  char addr[32];
  unsigned boot;
  Lapis__Hello hello = LAPIS__HELLO__INIT;
  sscanf (line, "gateway %7s %31s %u %31s", link, node, &boot, addr);
  hello.node = node;
  hello.boot = boot;
  hello.http_addr = addr;
  ctl_views_on_gateway (fx.c.views, find_link (link), &hello);
}

static void
do_report (const char *line)
{
  char link[8];
  int revision;
  unsigned open;
  int leaving;
  Lapis__Report report = LAPIS__REPORT__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  sscanf (line, "report %7s %d %u %d", link, &revision, &open, &leaving);
  report.config_revision = (uint64_t)revision;
  report.open_requests = open;
  report.leaving = leaving;
  f.body_case = LAPIS__FRAME__BODY_REPORT;
  f.report = &report;
  ctl_views_on_frame (fx.c.views, find_link (link), &f);
}

static void
do_share (const char *line)
{
  char account[32];
  Lapis__ShareGrant g = LAPIS__SHARE_GRANT__INIT;
  sscanf (line, "share %31s %lf %u", account, &g.tokens_per_s, &g.valid_ms);
  g.account = account;
  ctl_views_on_grant (fx.c.views, &g);
}

static void
do_config (const char *line)
{
  int revision;
  size_t bytes;
  static struct cfg cfg;
  sscanf (line, "config %d %zu", &revision, &bytes);
  buf_clear (&fx.text);
  while (fx.text.len < bytes)
    buf_add_char (&fx.text, (char)('a' + revision));
  cfg.revision = revision;
  fx.c.cfg = &cfg;
  ctl_views_on_config (fx.c.views);
}

static void
wait_view (void)
{
  unsigned before = fx.nviews;
  clk_ms until = clk_now () + WAIT_MS;
  while (fx.nviews == before)
    {
      cr_assert_lt (clk_now (), until, "no view; so far:\n%s",
                    buf_c (&fx.log));
      uv_run (&fx.loop, UV_RUN_ONCE);
    }
}

static void
run_line (char *line)
{
  if (strncmp (line, "config", 6) == 0)
    do_config (line);
  else if (strncmp (line, "gateway", 7) == 0)
    do_gateway (line);
  else if (strncmp (line, "down", 4) == 0)
    ctl_views_on_gateway_down (fx.c.views, find_link (line + 5));
  else if (strncmp (line, "report", 6) == 0)
    do_report (line);
  else if (strncmp (line, "share", 5) == 0)
    do_share (line);
  else if (strcmp (line, "leave") == 0)
    fx.c.leaving = true;
  else if (strcmp (line, "view") == 0)
    wait_view ();
}

static void
check (const char *transcript)
{
  transcript_check (&fx.log, run_line, transcript);
}

static void
setup (void)
{
  uv_loop_init (&fx.loop);
  fx.c.loop = &fx.loop;
  fx.c.met = met_new ();
  fx.c.set.node = "entry-1";
  fx.c.views = ctl_views_start (&fx.c, NULL);
  log_setup (LOG_JSON, LOG_ERROR, STR ("entry-1"));
}

static void
teardown (void)
{
  ctl_views_stop (fx.c.views);
  uv_run (&fx.loop, UV_RUN_DEFAULT);
  uv_loop_close (&fx.loop);
  met_free (fx.c.met);
  buf_free (&fx.log);
  buf_free (&fx.text);
}

TestSuite (views, .init = setup, .fini = teardown, .timeout = 60);

Test (views, text_is_sent_once_per_gateway)
{
  /* With a text of a megabyte, sending it in each view would take a megabyte
     per second.  A restarted gateway has no text and gets it again. */
  check ("> config 1 5\n"
         "  membership: revision 1\n"
         "> gateway a entry-1 1 127.0.0.1:80\n"
         "  membership: http port 80, load 0\n"
         "  membership: revision 0\n"
         "> view\n"
         "  to a: view 1 revision 1 text 5 ghala-lm-1\n"
         "> view\n"
         "  to a: view 2 revision 1 ghala-lm-1\n"
         "> config 2 40000\n"
         "> view\n"
         "  to a: chunk 0 + 32768 of 40000\n"
         "  to a: chunk 32768 + 7232 of 40000\n"
         "  to a: view 3 revision 2 ghala-lm-1\n"
         "> view\n"
         "  to a: view 4 revision 2 ghala-lm-1\n"
         "> down a\n"
         "  membership: http port 0, load 0\n"
         "  membership: revision 2\n"
         "> gateway b entry-1 2 127.0.0.1:81\n"
         "  membership: http port 81, load 0\n"
         "  membership: revision 0\n"
         "> view\n"
         "  to b: chunk 0 + 32768 of 40000\n"
         "  to b: chunk 32768 + 7232 of 40000\n"
         "  to b: view 5 revision 2 ghala-lm-1\n");
}

Test (views, newer_gateway_replaces_older)
{
  /* The gateway was killed and restarted, and its old link is dead but not yet
     closed.  The new process must get views at once, and neither a late hello
     on the old link nor the old link's close may remove the new address.  A
     gateway with another node's name is ignored. */
  check ("> gateway a entry-2 1 127.0.0.1:80\n"
         "> gateway a entry-1 1 127.0.0.1:80\n"
         "  membership: http port 80, load 0\n"
         "  membership: revision 0\n"
         "> gateway b entry-1 2 127.0.0.1:81\n"
         "  membership: http port 0, load 0\n"
         "  membership: http port 81, load 0\n"
         "> gateway a entry-1 1 127.0.0.1:80\n"
         "> report a 0 9 0\n"
         "> down a\n"
         "> view\n"
         "  to b: view 1 revision 0 ghala-lm-1\n");
}

Test (views, revision_is_that_of_the_gateway)
{
  /* `config status --wait` must not report a revision while the gateway still
     serves an older one.  A leaving gateway completes its requests, but its
     address is no longer announced. */
  check ("> config 3 5\n"
         "  membership: revision 3\n"
         "> gateway a entry-1 1 127.0.0.1:80\n"
         "  membership: http port 80, load 0\n"
         "  membership: revision 0\n"
         "> view\n"
         "  to a: view 1 revision 3 text 5 ghala-lm-1\n"
         "> report a 2 4 0\n"
         "  membership: http port 80, load 4\n"
         "  membership: revision 2\n"
         "> report a 3 4 0\n"
         "  membership: http port 80, load 4\n"
         "  membership: revision 3\n"
         "> report a 3 4 1\n"
         "  membership: http port 0, load 4\n"
         "> leave\n"
         "> share broker-app 50 60000\n"
         "> view\n"
         "  to a: view 2 revision 3 ghala-lm-1 share broker-app 50"
         " leaving\n");
}
