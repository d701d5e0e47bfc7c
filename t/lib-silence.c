#include "t/lib-silence.h"

#include <stdio.h>
#include <string.h>

#define CAPACITY 8
#define WINDOW_MS ((clk_ms)10000)
/** Time in which a server learns that an attempt was canceled. */
#define CANCEL_MS ((clk_ms)20)

static clk_ms
draw (struct sil *m, clk_ms least, clk_ms span)
{
  return least + (clk_ms)rng_below (&m->rng, (uint64_t)span);
}

static struct tbl *
make_config (void)
{
  static const enum tbl_kind kinds[SIL_KINDS]
      = { TBL_STREAM, TBL_IDEMPOTENT, TBL_AT_MOST_ONCE };
  struct tbl *t = tbl_new ();
  struct tbl_service *s = arena_alloc (&t->arena, 2, sizeof *s);
  struct tbl_route *r = arena_alloc (&t->arena, SIL_KINDS, sizeof *r);
  struct tbl_target *to = arena_alloc (&t->arena, 2, sizeof *to);

  s[0].name = STR ("lm");
  s[1].name = STR ("app");
  to[0] = (struct tbl_target){ &s[0], 1 };
  to[1] = (struct tbl_target){ &s[1], 1 };
  for (int i = 0; i < SIL_KINDS; i++)
    r[i] = (struct tbl_route){ .name = STR ("r"),
                               .prefix = STR ("/"),
                               .kind = kinds[i],
                               .resumable = true,
                               .latency_goal_ms = 400,
                               .max_attempts = SIL_MAX_ATTEMPTS,
                               .targets = &to[i != SIL_STREAM],
                               .ntargets = 1 };
  t->services = s;
  t->nservices = 2;
  t->routes = r;
  t->nroutes = SIL_KINDS;
  return t;
}

static void
set_endpoints (struct sil *m)
{
  struct dsp_endpoint list[SIL_SERVERS_MAX];

  for (size_t i = 0; i < m->nservers; i++)
    list[i] = (struct dsp_endpoint){
      .server = str_from (m->server[i].name),
      .service = m->server[i].model ? STR ("lm") : STR ("app"),
      .model = m->server[i].model ? STR ("m") : STR_EMPTY,
      .zone = STR ("z"),
      .capacity = CAPACITY,
      .accepting = true
    };
  for (unsigned i = 0; i < m->nnodes; i++)
    dsp_set_endpoints (m->node[i], m->now, list, m->nservers);
}

void
sil_init (struct sil *m, uint64_t seed, unsigned nodes, unsigned replicas,
          unsigned plain, double retry_ratio, double retry_slack)
{
  struct dsp_options opt = { .zone = STR ("z"),
                             .retry_ratio = retry_ratio,
                             .retry_slack = retry_slack,
                             .retry_window_ms = WINDOW_MS,
                             .stall_ms = 4000 };

  memset (m, 0, sizeof *m);
  rng_seed (&m->rng, seed);
  m->now = 100000;
  m->config = make_config ();
  m->retry_ratio = retry_ratio;
  m->retry_slack = retry_slack;
  m->nnodes = nodes;
  for (m->nservers = 0; m->nservers < replicas + plain; m->nservers++)
    {
      struct sil_server *s = &m->server[m->nservers];
      s->model = m->nservers < replicas;
      snprintf (s->name, sizeof s->name, "s%zu", m->nservers);
      s->silent_from = CLK_NEVER;
    }
  for (unsigned i = 0; i < nodes; i++)
    {
      m->node[i] = dsp_new (&opt, seed * 100 + i);
      dsp_set_node_count (m->node[i], m->now, nodes, nodes);
    }
  set_endpoints (m);
}

void
sil_free (struct sil *m)
{
  for (unsigned i = 0; i < m->nnodes; i++)
    dsp_free (m->node[i]);
  tbl_unref (m->config);
}

static bool
is_silent (const struct sil *m, const struct sil_server *s)
{
  return m->now >= s->silent_from && m->now < s->silent_until;
}

static struct sil_attempt *
find_attempt (struct sil *m, size_t request, unsigned number)
{
  for (size_t i = 0; i < m->nattempts; i++)
    if (m->attempt[i].request == request && m->attempt[i].number == number)
      return &m->attempt[i];
  return NULL;
}

/* --- actions ----------------------------------------------------------- */

static void
add_attempt (struct sil *m, const struct dsp_action *a)
{
  struct sil_attempt *t = &m->attempt[m->nattempts++];

  *t = (struct sil_attempt){ .request = a->id - 1,
                             .number = a->attempt,
                             .resume = a->resume,
                             .next_at = m->now + draw (m, 10, 30) };
  while (!str_is (a->server, m->server[t->server].name))
    t->server++;
}

/** A refusal counts if a sound server of the service has a free slot. */
static void
count_refusal (struct sil *m, const struct sil_request *q)
{
  for (size_t i = 0; i < m->nservers; i++)
    {
      const struct sil_server *s = &m->server[i];
      if (s->model != (q->kind == SIL_STREAM) || is_silent (m, s)
          || s->taken >= CAPACITY)
        continue;
      m->refused_beside_room++;
      m->refused_late += m->now > m->pause_ends_at + 500;
      return;
    }
}

static void
on_error (struct sil *m, struct sil_request *q, const struct dsp_action *a)
{
  q->refused
      = a->kind == DSP_ACT_RESPOND_ERROR && dsp_code_status (a->code) == 503;
  q->cut = !q->refused;
  if (q->refused)
    count_refusal (m, q);
  if (q->refused && q->arrivals > 0)
    m->faults[SIL_TWICE]++;
  if (q->cut && !q->hit_loss)
    m->faults[SIL_CUT]++;
}

/** No attempt may be open any more, except the one that is complete. */
static void
on_release (struct sil *m, size_t request)
{
  const struct sil_request *q = &m->request[request];

  for (size_t i = 0; i < m->nattempts; i++)
    {
      const struct sil_attempt *t = &m->attempt[i];
      if (t->request == request && !t->canceled_at
          && !(q->complete && t->next == q->events))
        m->faults[SIL_OPEN]++;
    }
}

static void
take_actions (struct sil *m, unsigned node)
{
  struct dsp_action a;
  struct sil_attempt *t;

  while (dsp_next_action (m->node[node], &a))
    {
      struct sil_request *q = &m->request[a.id ? a.id - 1 : 0];
      if (a.kind == DSP_ACT_SEND)
        add_attempt (m, &a);
      else if (a.kind == DSP_ACT_FORWARD)
        q->forwarding = a.attempt;
      else if (a.kind == DSP_ACT_COMPLETE)
        {
          q->complete = true;
          m->faults[SIL_ORDER]
              += q->kind == SIL_STREAM && q->forwarded != q->events;
        }
      else if (a.kind == DSP_ACT_RELEASE)
        on_release (m, a.id - 1);
      else if (a.kind == DSP_ACT_CANCEL
               && (t = find_attempt (m, a.id - 1, a.attempt)) != NULL)
        t->canceled_at = m->now;
      else if (a.kind == DSP_ACT_RESPOND_ERROR || a.kind == DSP_ACT_TRUNCATE)
        on_error (m, q, &a);
    }
}

/* --- servers ----------------------------------------------------------- */

static size_t
count_between (const clk_ms *at, size_t n, clk_ms after, clk_ms until)
{
  size_t total = 0;

  for (size_t i = 0; i < n; i++)
    total += at[i] > after && at[i] <= until;
  return total;
}

/** Requests are those of the window, of the one before it or of the one half a
    window before it. */
static void
check_budget (struct sil *m)
{
  size_t retries
      = count_between (m->retried_at, m->nretries, m->now - WINDOW_MS, m->now);
  size_t requests = 0;

  for (clk_ms back = 0; back <= WINDOW_MS; back += WINDOW_MS / 2)
    {
      clk_ms until = m->now - back;
      size_t n = count_between (m->submitted_at, m->nrequests,
                                until - WINDOW_MS, until);
      requests = n > requests ? n : requests;
    }
  m->faults[SIL_BUDGET]
      += (double)retries > m->retry_ratio * (double)requests + m->retry_slack;
}

/** @retval false  the attempt has ended */
static bool
send_request (struct sil *m, struct sil_attempt *t)
{
  struct sil_request *q = &m->request[t->request];

  if (!dsp_request_sent (m->node[q->node], m->now, t->request + 1, t->number))
    return false;
  t->sent = true;
  t->next = t->resume ? q->forwarded : 0;
  if (++q->arrivals > 1)
    {
      m->retried_at[m->nretries++] = m->now;
      check_budget (m);
    }
  m->faults[SIL_ATTEMPTS] += q->arrivals > SIL_MAX_ATTEMPTS;
  m->faults[SIL_TWICE] += q->kind == SIL_ONCE && q->arrivals > 1;
  return true;
}

static void
begin_run (struct sil *m, struct sil_attempt *t)
{
  t->running = true;
  m->server[t->server].taken++;
  t->next_at = m->now + draw (m, 80, 150);
}

/** The client gets an event. */
static void
forward (struct sil *m, struct sil_attempt *t, unsigned number)
{
  struct sil_request *q = &m->request[t->request];

  if (t->canceled_at)
    return;
  if (q->forwarding != t->number || number != q->forwarded)
    {
      m->faults[SIL_ORDER]++;
      return;
    }
  if (q->interrupted && m->now - q->last_event_at > q->pause_ms)
    q->pause_ms = m->now - q->last_event_at;
  q->interrupted = false;
  q->last_event_at = m->now;
  q->forwarded++;
}

static void
make_event (struct sil *m, struct sil_attempt *t)
{
  struct sil_request *q = &m->request[t->request];
  struct dsp *d = m->node[q->node];
  uint64_t id = t->request + 1, bit = UINT64_C (1) << t->next;
  unsigned number = t->next++;

  q->made_twice += (q->made & bit) != 0;
  q->made |= bit;
  t->next_at = m->now + draw (m, 60, 40);
  if (!t->streaming)
    dsp_response_head (d, m->now, id, t->number, DSP_RESPONSE_OK);
  if (q->kind == SIL_STREAM)
    {
      t->streaming = true;
      dsp_data_received (d, m->now, id, t->number, true);
      take_actions (m, q->node);
      forward (m, t, number);
    }
  if (t->next == q->events)
    dsp_response_complete (d, m->now, id, t->number);
  take_actions (m, q->node);
}

/** @retval false  the attempt has ended */
static bool
advance_attempt (struct sil *m, struct sil_attempt *t)
{
  struct sil_server *s = &m->server[t->server];
  struct sil_request *q = &m->request[t->request];

  if (t->canceled_at && (!t->sent || m->now >= t->canceled_at + CANCEL_MS))
    return false;
  if (t->canceled_at && is_silent (m, s))
    return true;
  if (is_silent (m, s) && t->sent)
    {
      q->hit_silence = true;
      q->interrupted = q->forwarded > 0;
      q->hit_loss = q->hit_loss || s->silent_until == CLK_NEVER;
      return true;
    }
  if (m->now < t->next_at)
    return true;
  if (!t->sent)
    return send_request (m, t);
  if (!t->running)
    {
      if (s->taken < CAPACITY)
        begin_run (m, t);
      return true;
    }
  make_event (m, t);
  return t->next < q->events;
}

static void
advance_attempts (struct sil *m)
{
  /* New attempts are added at the end. */
  for (size_t i = 0; i < m->nattempts;)
    if (advance_attempt (m, &m->attempt[i]))
      i++;
    else
      {
        m->server[m->attempt[i].server].taken -= m->attempt[i].running;
        take_actions (m, m->request[m->attempt[i].request].node);
        m->attempt[i] = m->attempt[--m->nattempts];
      }
}

/* --- nodes ------------------------------------------------------------- */

/** The load that a node reports must be that of its open attempts. */
static void
check_load (struct sil *m, unsigned node, const struct dsp_endpoint_load *load,
            size_t n)
{
  unsigned in_flight = 0, streaming = 0;

  for (size_t i = 0; i < n; i++)
    {
      in_flight += load[i].in_flight;
      streaming += load[i].streaming;
    }
  for (size_t i = 0; i < m->nattempts; i++)
    {
      const struct sil_attempt *t = &m->attempt[i];
      if (m->request[t->request].node != node || t->canceled_at)
        continue;
      in_flight--;
      streaming -= t->streaming;
    }
  m->faults[SIL_COUNTERS] += in_flight != 0 || streaming != 0;
}

static void
report_loads (struct sil *m, unsigned node)
{
  size_t n;
  const struct dsp_endpoint_load *load = dsp_own_load (m->node[node], &n);

  check_load (m, node, load, n);
  for (unsigned i = 0; i < m->nnodes; i++)
    if (i != node)
      {
        dsp_set_peer_load (m->node[i], m->now, m->now, node + 1, load, n);
        take_actions (m, i);
      }
}

void
sil_step (struct sil *m)
{
  m->now += SIL_STEP_MS;
  advance_attempts (m);
  for (unsigned i = 0; i < m->nnodes; i++)
    {
      if (m->now >= dsp_next_tick (m->node[i]))
        dsp_tick (m->node[i], m->now);
      take_actions (m, i);
      if ((m->now / SIL_STEP_MS + i) % 10 == 0)
        report_loads (m, i);
    }
}

void
sil_submit (struct sil *m)
{
  struct sil_request *q = &m->request[m->nrequests];
  uint64_t kind = rng_below (&m->rng, 10);
  struct dsp_request in;

  if (m->nrequests == SIL_REQUESTS_MAX)
    return;
  q->kind = kind < 7 ? SIL_STREAM : kind < 9 ? SIL_SAFE : SIL_ONCE;
  q->node = (unsigned)rng_below (&m->rng, m->nnodes);
  q->events = q->kind == SIL_STREAM ? (unsigned)draw (m, 10, 30) : 1;
  m->submitted_at[m->nrequests] = m->now;
  in = (struct dsp_request){ .id = ++m->nrequests,
                             .route = &m->config->routes[q->kind],
                             .config = m->config,
                             .deadline = m->now + SIL_DEADLINE_MS,
                             .digest = m->nrequests };
  in.service = in.route->targets[0].service;
  if (q->kind == SIL_STREAM)
    in.model = STR ("m");
  dsp_submit (m->node[q->node], m->now, &in);
  take_actions (m, q->node);
}

void
sil_check_end (struct sil *m)
{
  size_t n;

  for (unsigned i = 0; i < m->nnodes; i++)
    {
      const struct dsp_endpoint_load *load = dsp_own_load (m->node[i], &n);
      m->faults[SIL_OPEN] += dsp_count_open (m->node[i]) != 0;
      check_load (m, i, load, n);
      for (size_t k = 0; k < n; k++)
        m->faults[SIL_COUNTERS] += load[k].pending_prefill != 0;
    }
  for (size_t i = 0; i < m->nrequests; i++)
    m->faults[SIL_OPEN] += !m->request[i].complete && !m->request[i].cut
                           && !m->request[i].refused;
}
