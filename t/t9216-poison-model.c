/*
 * Random schedules of requests that crash servers because of a part of their
 * prompts, among sound requests that share their other parts, in a simulation
 * of nodes that exchange updates.
 *
 * POISON_SEEDS sets the number of seeds, POISON_FIRST_SEED the first one; with
 * POISON_REPORT set, each seed writes a line.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "t/lib-poison.h"

#define DEFAULT_SEEDS 100
#define STEP_MS 10
#define SIM_MS ((clk_ms)30000)
#define ENDPOINTS 12
#define RUNS 400
#define POPULAR_PARTS 6
#define SUBJECTS 300
#define CULPRITS_AT ((clk_ms)5000)
/** Bounds of the rule: crashes after which a part has to be blocked, and the
    time that nodes have to learn of it. */
#define MAX_CRASHES 5
#define CONTACT_MS ((clk_ms)3000)
#define MAX_LATE_REQUESTS 3

enum scenario
{
  ONE_PART,
  TWO_PARTS,
  PART_WITH_COMPANION,
  WHOLE_REQUEST,
  RACK_FAILURES,
  SCENARIOS
};

static const char *const scenario_names[]
    = { "one part", "two parts", "companion", "request", "racks" };

enum part_ids
{
  POPULAR = 100,
  SUBJECT = 1000,
  CULPRIT = 10000, /* and the next one */
  COMPANION = 20000
};

struct run
{
  uint64_t digest; /* 0: unused */
  uint64_t parts[4];
  size_t nparts;
  int culprit; /* 0: sound; else 1 or 2 */
  int node;
  uint64_t endpoint;
  clk_ms begins_at, ends_at; /* first event; end of the run, or crash */
  unsigned attempts;
};

struct model
{
  struct psn_fleet f;
  struct rng rng;
  enum scenario scenario;
  struct run runs[RUNS];
  uint64_t endpoints[ENDPOINTS];
  uint64_t next_endpoint, next_digest;
  unsigned crashes[3]; /* by culprit; 0: others */
  clk_ms fifth_at[3];
  unsigned late_requests; /* of culprits, after the fifth crash */
  unsigned sound, refused, refused_late, sound_late;
  clk_ms popular_blocked_since[POPULAR_PARTS], popular_blocked_ms;
};

static clk_ms
draw (struct model *m, clk_ms least, clk_ms span)
{
  return least + (clk_ms)rng_below (&m->rng, (uint64_t)span);
}

static struct psn_request
request_of (const struct run *r)
{
  return (struct psn_request){ r->digest, r->parts, r->nparts };
}

static bool
is_blocked (struct model *m, const struct run *r, bool *pending)
{
  struct psn_request request = request_of (r);
  struct psn_refusal why = { .retry_ms = 0 };
  bool refused
      = psn_should_refuse (m->f.node[r->node], m->f.now, &request, &why);

  *pending = refused && why.retry_ms;
  return refused && !why.retry_ms;
}

static void
start_run (struct model *m, struct run *r)
{
  r->endpoint = m->endpoints[rng_below (&m->rng, ENDPOINTS)];
  r->begins_at = m->f.now + draw (m, 80, 200);
  r->ends_at
      = r->begins_at + (r->culprit ? draw (m, 50, 450) : draw (m, 150, 2500));
  r->attempts++;
}

static void
count_arrival (struct model *m, const struct run *r, bool refused)
{
  bool late = m->fifth_at[1] && m->f.now > m->fifth_at[1] + 2 * CONTACT_MS;

  if (r->culprit)
    {
      clk_ms fifth_at = m->fifth_at[r->culprit];
      if (!refused && fifth_at && m->f.now > fifth_at + CONTACT_MS)
        m->late_requests++;
      return;
    }
  m->sound++;
  m->refused += refused;
  m->sound_late += late;
  m->refused_late += refused && late;
}

static void
arrive (struct model *m, struct run request)
{
  struct run *r = m->runs;
  bool pending, refused;

  while (r < m->runs + RUNS && r->digest)
    r++;
  if (r == m->runs + RUNS)
    return;
  *r = request;
  r->node = (int)rng_below (&m->rng, (uint64_t)m->f.n);
  refused = is_blocked (m, r, &pending);
  count_arrival (m, r, refused || pending);
  if (refused || pending)
    r->digest = 0;
  else
    start_run (m, r);
}

static void
arrive_sound (struct model *m)
{
  struct run r = { .digest = ++m->next_digest, .nparts = 2 };
  uint64_t popular = rng_below (&m->rng, POPULAR_PARTS);

  r.parts[0] = POPULAR + popular * popular / POPULAR_PARTS;
  r.parts[1] = SUBJECT + rng_below (&m->rng, SUBJECTS);
  arrive (m, r);
}

static void
arrive_culprit (struct model *m, int culprit)
{
  struct run r
      = { .digest = ++m->next_digest, .nparts = 3, .culprit = culprit };
  size_t at = rng_below (&m->rng, 3);

  for (size_t i = 0; i < 3; i++)
    r.parts[i] = i == 0 ? POPULAR + rng_below (&m->rng, 3)
                        : SUBJECT + rng_below (&m->rng, SUBJECTS);
  if (m->scenario == WHOLE_REQUEST)
    {
      r.digest = 77;
      r.parts[0] = POPULAR;
      r.parts[1] = r.parts[2] = SUBJECT + 5;
    }
  else
    r.parts[at] = CULPRIT + (uint64_t)culprit;
  if (m->scenario == PART_WITH_COMPANION)
    r.parts[(at + 1) % 3] = COMPANION;
  arrive (m, r);
  /* Its client may send the same once more at another node. */
  if (rng_below (&m->rng, 3) == 0)
    arrive (m, r);
}

/** The nodes report the runs that a server had, each with a delay; a few
    reports are lost, a few come twice.  Its runs are tried once more. */
static void
crash_endpoint (struct model *m, uint64_t endpoint)
{
  for (int i = 0; i < ENDPOINTS; i++)
    if (m->endpoints[i] == endpoint)
      m->endpoints[i] = ++m->next_endpoint;
  for (struct run *r = m->runs; r < m->runs + RUNS; r++)
    {
      struct psn_run crashed
          = { .request = request_of (r),
              .endpoint = endpoint,
              .ran_ms = m->f.now < r->begins_at ? PSN_NO_EVENT
                                                : m->f.now - r->begins_at,
              .ago_ms = draw (m, 0, 20) };
      if (!r->digest || r->endpoint != endpoint)
        continue;
      for (uint64_t k = rng_below (&m->rng, 50); k < 50; k += 49)
        psn_run_crashed (m->f.node[r->node], m->f.now, &crashed);
      if (r->attempts < 2
          && !psn_is_suspect (m->f.node[r->node], m->f.now, &crashed.request))
        start_run (m, r);
      else
        r->digest = 0;
    }
}

static void
culprit_crashes (struct model *m, struct run *r)
{
  int culprit = r->culprit;

  if (++m->crashes[culprit] == MAX_CRASHES)
    m->fifth_at[culprit] = m->f.now;
  crash_endpoint (m, r->endpoint);
}

static void
fail_rack (struct model *m)
{
  uint64_t first = rng_below (&m->rng, ENDPOINTS / 4) * 4;
  uint64_t list[4];

  memcpy (list, m->endpoints + first, sizeof list);
  for (int i = 0; i < 4; i++)
    crash_endpoint (m, list[i]);
}

/** A block cancels runs that have not begun. */
static void
advance_runs (struct model *m)
{
  bool pending;

  for (struct run *r = m->runs; r < m->runs + RUNS; r++)
    {
      if (!r->digest)
        continue;
      if (m->f.now < r->begins_at && is_blocked (m, r, &pending))
        r->digest = 0;
      else if (m->f.now >= r->ends_at && r->culprit)
        culprit_crashes (m, r);
      else if (m->f.now >= r->ends_at)
        {
          struct psn_request request = request_of (r);
          psn_completed (m->f.node[r->node], m->f.now, &request);
          r->digest = 0;
        }
    }
}

/** Measures for how long any node blocks a popular part. */
static void
watch_popular_parts (struct model *m)
{
  for (int i = 0; i < POPULAR_PARTS; i++)
    {
      struct run r
          = { .digest = 1, .parts = { POPULAR + (uint64_t)i }, .nparts = 1 };
      bool blocked = false, pending;
      for (r.node = 0; r.node < m->f.n; r.node++)
        blocked = blocked || is_blocked (m, &r, &pending);
      if (!blocked)
        m->popular_blocked_since[i] = 0;
      else if (!m->popular_blocked_since[i])
        m->popular_blocked_since[i] = m->f.now;
      else if (m->f.now - m->popular_blocked_since[i] > m->popular_blocked_ms)
        m->popular_blocked_ms = m->f.now - m->popular_blocked_since[i];
    }
}

static void
step (struct model *m, clk_ms at, uint64_t gap)
{
  psn_fleet_step (&m->f);
  advance_runs (m);
  watch_popular_parts (m);
  if (rng_below (&m->rng, 100) < 60)
    arrive_sound (m);
  if (at < CULPRITS_AT)
    return;
  if (m->scenario == RACK_FAILURES && rng_below (&m->rng, 150) == 0)
    fail_rack (m);
  if (m->scenario != RACK_FAILURES && rng_below (&m->rng, gap) == 0)
    arrive_culprit (m, 1);
  if (m->scenario == TWO_PARTS && rng_below (&m->rng, gap) == 0)
    arrive_culprit (m, 2);
  /* A node is restarted, or loses a link for a while. */
  if (rng_below (&m->rng, 800) == 0)
    psn_fleet_restart (&m->f, (int)rng_below (&m->rng, (uint64_t)m->f.n));
}

static void
check (const struct model *m, uint64_t seed)
{
  const char *name = scenario_names[m->scenario];
  int n = (int)seed;

  if (getenv ("POISON_REPORT"))
    printf ("seed %d %s nodes %d crashes %u %u late %u sound %u refused %u "
            "late-sound %u late-refused %u popular %d\n",
            n, name, m->f.n, m->crashes[1], m->crashes[2], m->late_requests,
            m->sound, m->refused, m->sound_late, m->refused_late,
            (int)m->popular_blocked_ms);
  cr_expect_leq (m->late_requests, MAX_LATE_REQUESTS,
                 "seed %d, %s: %u requests after the fifth crash", n, name,
                 m->late_requests);
  cr_expect_leq (2 * m->refused_late, m->sound_late,
                 "seed %d, %s: %u of %u sound requests refused", n, name,
                 m->refused_late, m->sound_late);
  cr_expect_leq (m->popular_blocked_ms, 1000,
                 "seed %d, %s: a popular part was blocked for %d ms", n, name,
                 (int)m->popular_blocked_ms);
}

static void
run_model (uint64_t seed)
{
  struct model *m = calloc (1, sizeof *m);
  static const int fleets[][2] = { { 8, 0 }, { 3, 0 }, { 18, 4 }, { 24, 4 } };
  const int *fleet = fleets[seed / SCENARIOS % 4];
  uint64_t gap;

  rng_seed (&m->rng, seed);
  m->scenario = seed % SCENARIOS;
  m->next_digest = 1000;
  psn_fleet_init (&m->f, fleet[0], fleet[1]);
  for (int i = 0; i < ENDPOINTS; i++)
    m->endpoints[i] = ++m->next_endpoint;
  gap = 10 + rng_below (&m->rng, 60);
  for (clk_ms at = 0; at < SIM_MS; at += STEP_MS)
    step (m, at, gap);
  check (m, seed);
  psn_fleet_free (&m->f);
  free (m);
}

/* Guards against requests that go on crashing servers because of a shared
   part, and against sound requests that are refused with them. */
Test (poison_model, random_schedules)
{
  const char *n = getenv ("POISON_SEEDS");
  const char *from = getenv ("POISON_FIRST_SEED");
  uint64_t seeds = n ? (uint64_t)atoi (n) : DEFAULT_SEEDS;
  uint64_t first = from ? (uint64_t)atoi (from) : 1;

  for (uint64_t seed = first; seed < first + seeds; seed++)
    run_model (seed);
}

/* Seeds of earlier failures.
   - 236, 1435: a node that was no collector cleared the cause.
   - 1261, 1701: nodes took a cause for completed that had been cleared as a
     bystander.
   - 700766: a cause that had been cleared as a bystander went on unobserved.
   - 1000687: two parts that were always together cleared each other, as
     nodes compared them between the reports of one crash.
   - The others: the list of the cause's crashes was full of those that were
     attributed to another part. */
Test (poison_model, regression_seeds)
{
  static const uint64_t seeds[] = { 236,  1435, 396,  1101,   1296,   1441,
                                    2126, 1261, 1701, 700766, 1000687 };

  for (size_t i = 0; i < sizeof seeds / sizeof seeds[0]; i++)
    run_model (seeds[i]);
}
