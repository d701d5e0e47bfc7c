#include "t/lib-many.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

/** What a version needs to be in force, of the settings. */
#define APPLY_MS ((clk_ms)2000)
/** What it may need beyond, where the store failed a moment ago. */
#define STRETCH_MS ((clk_ms)5000)
/** Who was disturbed so lately is out of touch. */
#define CONTACT_MS ((clk_ms)3000)
/** A node goes back if it does so later than this after it showed a version.
 */
#define BACK_MS ((clk_ms)250)
/** Of a checker between two requests, for each node. */
#define REST_MS 4
#define ENGINES 4
/** Requests for what was added that make a share of them. */
#define SHARE_LEAST 20

/* --- operators --------------------------------------------------------- */

unsigned
many_send (struct many *m, struct buf *key, struct buf *routes)
{
  unsigned version;

  pthread_mutex_lock (&m->operator);
  pthread_mutex_lock (&m->s.lock);
  version = ver_send (&m->vs, clk_now ());
  ver_text (&m->vs, key, routes);
  pthread_mutex_unlock (&m->s.lock);
  return version;
}

void
many_acked (struct many *m, unsigned version)
{
  pthread_mutex_lock (&m->s.lock);
  m->vs.v[version].acked = clk_now ();
  pthread_mutex_unlock (&m->s.lock);
  pthread_mutex_unlock (&m->operator);
}

/* --- a caller at each node --------------------------------------------- */

/** Ask over the connection that is kept, or a new one; the status, or 0. */
static int
ask_once (struct checker *c, const struct ver_asked *a, const char *id)
{
  const char *addr = c->m->s.r.front[c->node];
  char path[32] = "/safe/x", headers[256];
  struct buf body = BUF_INIT;
  enum web_read got = WEB_BYTES;
  int status;

  if (a->item && !a->by_key)
    snprintf (path, sizeof path, "/a%u/x", a->item);
  snprintf (headers, sizeof headers,
            "Host: h\r\nX-Lapisline-Request-Id: %s\r\nX-Api-Key: %c%u\r\n", id,
            a->item && a->by_key ? 'a' : 'k',
            a->item && a->by_key ? a->item : 1);
  if (!c->open || !web_next (c->open, addr, "POST", path, headers, "hello"))
    {
      web_close (c->open);
      c->open = web_open (addr, "POST", path, headers, "hello");
    }
  if (!c->open)
    return 0;
  status = web_status (c->open, PROC_WAIT_MS);
  while (status && got == WEB_BYTES)
    got = web_read (c->open, &body, PROC_WAIT_MS);
  buf_free (&body);
  return status;
}

/** What was told of a node, and how far it was disturbed meanwhile. */
struct finding
{
  const struct checker *c;
  const struct ver_asked *a;
  int status;
  unsigned due;
};

/** Since the run began, for the lines of findings. */
static int
since (const struct many *m, clk_ms at)
{
  return at ? (int)(at - m->s.began) : -1;
}

static void
add_time (struct buf *out)
{
  clk_ms wall = clk_wall ();
  time_t s = (time_t)(wall / CLK_SECOND);
  struct tm tm;

  gmtime_r (&s, &tm);
  buf_addf (out, "%02d:%02d:%02d.%03d", tm.tm_hour, tm.tm_min, tm.tm_sec,
            (int)(wall % CLK_SECOND));
}

static void
say (const struct finding *f, const char *what)
{
  struct many *m = f->c->m;
  const struct soak_node *d = &m->s.node[f->c->node];
  const struct ver_asked *a = f->a;
  struct buf text = BUF_INIT;

  add_time (&text);
  buf_addf (&text, " %s: node-%d, %s of version %u, removed by %u: %d;", what,
            f->c->node + 1, a->by_key ? "key" : "route", a->item,
            m->vs.v[a->item].removed, f->status);
  buf_addf (&text, " sent %d, answered %d; due %u, acknowledged %d;",
            since (m, a->sent), since (m, a->answered), f->due,
            since (m, m->vs.v[f->due].acked));
  buf_addf (&text, " shown %u by %d; newest %u;", f->c->floor,
            since (m, f->c->floor_at), m->vs.newest);
  buf_addf (&text, " node touched %d, stood %d; store failed %d",
            since (m, d->touched), since (m, d->stood_at),
            since (m, m->s.store_failed));
  soak_note (&m->s, buf_c (&text));
  buf_free (&text);
}

/** Whether it was in touch from @p sent on, and CONTACT_MS before. */
static bool
in_touch (const struct soak_node *d, clk_ms sent)
{
  return !d->stopped && d->touched < sent - CONTACT_MS;
}

static bool
stood (const struct soak_node *d, clk_ms sent)
{
  return d->stopped || (d->stood_at && d->stood_at >= sent - CONTACT_MS);
}

/** Whether only a version from before the one that is due by @p bound handles
    the request so. */
static bool
is_late (struct finding *f, clk_ms bound)
{
  const struct versions *vs = &f->c->m->vs;

  f->due = ver_acked (vs, f->a->sent - bound - 1);
  return f->due && ver_least (vs, f->a, f->due) == 0;
}

/** What is final for callers is refused by no node later than the bound, in
    touch or not. */
static void
check_denied (const struct many *m, struct finding *f)
{
  const struct soak_node *d = &m->s.node[f->c->node];

  if (f->a->denied && is_late (f, APPLY_MS))
    say (f, stood (d, f->a->sent) ? "denied after a stop" : "denied late");
}

static bool
store_calm (const struct soak *s, clk_ms sent)
{
  return !s->store_fails && s->store_failed < sent - CONTACT_MS;
}

/** A node in touch has each version in force within the bound. */
static void
check_due (struct many *m, struct finding *f)
{
  const struct soak *s = &m->s;
  clk_ms sent = f->a->sent, bound = APPLY_MS;
  bool late;

  if (!in_touch (&s->node[f->c->node], sent))
    return;
  if (!store_calm (s, sent))
    bound += STRETCH_MS;
  late = is_late (f, bound);
  m->in_time += f->due > 0;
  if (late)
    say (f, "late");
}

/** What nodes in touch serve of that which was there from the first, and of
    that which was added. */
static void
count_share (struct many *m, const struct checker *c,
             const struct ver_asked *a, bool served)
{
  struct many_share *of = a->item ? &m->added : &m->first;

  if (!in_touch (&m->s.node[c->node], a->sent) || !store_calm (&m->s, a->sent)
      || m->vs.v[a->item].removed
      || a->item > ver_acked (&m->vs, a->sent - APPLY_MS - 1))
    return;
  of->asked++;
  of->served += served;
}

/** A node never goes back within the life of its process. */
static void
check_back (struct checker *c, const struct finding *f)
{
  const struct versions *vs = &c->m->vs;
  unsigned least = ver_least (vs, f->a, c->floor);

  if (least == 0 && f->a->sent > c->floor_at + BACK_MS)
    say (f, "went back");
  if (least <= c->floor)
    return;
  c->floor = least;
  c->floor_at = f->a->answered;
}

static void
judge (struct checker *c, const struct ver_asked *a, int status)
{
  struct many *m = c->m;
  struct finding f = { .c = c, .a = a, .status = status };
  unsigned life = m->s.node[c->node].life;

  m->told++;
  m->served += !a->denied;
  if (a->item == 0 && a->denied)
    say (&f, "denied what all versions allow");
  if (a->item == 0)
    return;
  check_denied (m, &f);
  check_due (m, &f);
  /* An answer that came while the node went may be of either life. */
  if (life == c->life)
    check_back (c, &f);
}

void
many_check (struct soak_thread *t)
{
  struct checker *c = t->ctx;
  struct many *m = c->m;
  struct ver_asked a;
  unsigned life;
  char id[32];
  bool served;
  int status;

  pthread_mutex_lock (&m->s.lock);
  ver_draw (&m->vs, &t->rng, &a);
  life = m->s.node[c->node].life;
  if (life != c->life)
    *c = (struct checker){
      .m = m, .node = c->node, .open = c->open, .life = life
    };
  pthread_mutex_unlock (&m->s.lock);
  snprintf (id, sizeof id, "c%u-%u", t->number, t->turns);
  a.sent = clk_now ();
  status = ask_once (c, &a, id);
  a.answered = clk_now ();
  a.denied = status == 401 || status == 403 || status == 404;
  pthread_mutex_lock (&m->s.lock);
  m->asked++;
  served = status >= 200 && status < 300;
  count_share (m, c, &a, served);
  if (a.denied || served)
    judge (c, &a, status);
  pthread_mutex_unlock (&m->s.lock);
  soak_rest (&t->rng, 2 * REST_MS * m->s.nodes);
}

/* --- begin and end ----------------------------------------------------- */

static uint64_t
hash_of (int node)
{
  char name[32];

  snprintf (name, sizeof name, "node-%d", node + 1);
  return str_hash (str_from (name), 0);
}

/** All nodes have the same size, so that their names decide. */
static int
cmp_order (const void *a, const void *b)
{
  uint64_t x = hash_of (*(const int *)a), y = hash_of (*(const int *)b);

  return (x > y) - (x < y);
}

void
many_up (struct many *m, uint64_t seed, int nodes)
{
  soak_init (&m->s, seed, nodes);
  pthread_mutex_init (&m->operator, NULL);
  rng_seed (&m->vs.rng, seed);
  rack_up_many (&m->s.r, ENGINES, nodes, NULL);
  m->s.r.logs = getenv ("SOAK_LOGS");
  if (!m->s.r.logs)
    m->s.r.logs = proc_dir ();
  for (int i = 0; i < nodes; i++)
    m->order[i] = i;
  qsort (m->order, (size_t)nodes, sizeof *m->order, cmp_order);
}

void
many_start (struct many *m)
{
  for (int i = 0; i < m->s.nodes; i++)
    rack_start_node (&m->s.r, i);
  for (int i = 0; i < m->s.nodes; i++)
    cr_assert (rack_until (&m->s.r, i, "/safe/x", rack_headers ("warm"), 200));
}

/** Nodes are in touch once again by the end of the wait. */
static void
expect_newest (struct many *m, int node)
{
  char path[32];

  snprintf (path, sizeof path, "/a%u/x", m->vs.newest);
  cr_expect (rack_until (&m->s.r, node, path, rack_headers ("end"), 200),
             "node-%d does not serve the route of version %u after the faults",
             node + 1, m->vs.newest);
}

void
many_end (struct many *m, struct checker *c)
{
  for (int i = 0; i < m->s.nodes; i++)
    {
      expect_newest (m, i);
      web_close (c[i].open);
    }
  cr_log_info ("seed %llu: %u versions; %u asked, %u told, %u served,"
               " %u held to the bound; of what was added %u of %u served",
               (unsigned long long)m->s.seed, m->vs.newest, m->asked, m->told,
               m->served, m->in_time, m->added.served, m->added.asked);
  cr_expect_gt (m->told, m->asked / 4, "told %u of %u", m->told, m->asked);
  cr_expect_gt (m->served, m->asked / 10, "served %u of %u", m->served,
                m->asked);
  cr_expect (m->added.asked < SHARE_LEAST
                 || 4 * m->added.served * m->first.asked
                        >= m->first.served * m->added.asked,
             "nodes in touch serve %u of %u for what was added, and %u of %u"
             " for what was there",
             m->added.served, m->added.asked, m->first.served, m->first.asked);
  soak_finish (&m->s);
}
