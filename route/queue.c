#include <stdlib.h>

#include "route/core.h"

#define QUANTUM 512.0 /* tokens per round for weight 1 */
#define MIN_WEIGHT 0.01
#define AGING_MS 2000       /* waiting time that makes up for one class */
#define REQUESTS_PER_AGED 3 /* urgent ones per request preferred by age */

static struct rt_flow *
flow_of (struct rt_class *c, struct rt_account *a)
{
  for (size_t i = 0; i < c->nflows; i++)
    if (c->flows[i]->account == a)
      return c->flows[i];
  struct rt_flow *f = xcalloc (1, sizeof *f);
  f->account = a;
  c->flows = xrealloc (c->flows, (c->nflows + 1) * sizeof *c->flows);
  c->flows[c->nflows++] = f;
  return f;
}

static void
flow_activate (struct rt_class *c, struct rt_flow *f)
{
  f->active = true;
  f->deficit = 0;
  f->next = NULL;
  if (c->last)
    c->last->next = f;
  else
    c->first = f;
  c->last = f;
}

static void
flow_deactivate (struct rt_class *c, struct rt_flow *f)
{
  struct rt_flow *before = NULL;
  for (struct rt_flow *i = c->first; i != f; i = i->next)
    before = i;
  if (before)
    before->next = f->next;
  else
    c->first = f->next;
  if (c->last == f)
    c->last = before;
  f->active = false;
  f->next = NULL;
}

static void
link_flow (struct rt_flow *f, struct rt_req *q, bool front)
{
  q->flow = f;
  q->prev = front ? NULL : f->tail;
  q->next = front ? f->head : NULL;
  *(q->prev ? &q->prev->next : &f->head) = q;
  *(q->next ? &q->next->prev : &f->tail) = q;
}

static void
link_class (struct rt_class *c, struct rt_req *q, bool front)
{
  q->older = front ? NULL : c->newest;
  q->newer = front ? c->oldest : NULL;
  *(q->older ? &q->older->newer : &c->oldest) = q;
  *(q->newer ? &q->newer->older : &c->newest) = q;
}

void
rt_queue_push (struct rt_queue *queue, struct rt_req *q, double weight,
               bool front)
{
  struct rt_class *c = &queue->classes[q->priority];
  struct rt_flow *f = flow_of (c, q->account);
  f->weight = weight < MIN_WEIGHT ? MIN_WEIGHT : weight;
  if (!f->active)
    flow_activate (c, f);
  link_flow (f, q, front);
  link_class (c, q, front);
  f->tokens += q->cost;
  queue->tokens += q->cost;
  queue->n++;
  q->queued = true;
}

void
rt_queue_remove (struct rt_queue *queue, struct rt_req *q)
{
  struct rt_class *c = &queue->classes[q->priority];
  struct rt_flow *f = q->flow;
  *(q->prev ? &q->prev->next : &f->head) = q->next;
  *(q->next ? &q->next->prev : &f->tail) = q->prev;
  *(q->older ? &q->older->newer : &c->oldest) = q->newer;
  *(q->newer ? &q->newer->older : &c->newest) = q->older;
  q->prev = q->next = q->older = q->newer = NULL;
  q->queued = false;
  f->tokens -= q->cost;
  queue->tokens -= q->cost;
  queue->n--;
  if (!f->head)
    flow_deactivate (c, f);
}

/**
 * Strict priority with aging: a lower class whose oldest request has waited
 * AGING_MS for each class in between gets every (REQUESTS_PER_AGED + 1)th
 * turn. Without aging, a steady stream of urgent requests would starve the
 * lower class; without the limit, a long backlog of old requests would delay
 * urgent ones.
 */
static struct rt_class *
next_class (struct rt_queue *queue, clk_ms now)
{
  struct rt_class *best = NULL, *aged = NULL;
  clk_ms longest = 0;
  for (unsigned i = 0; i < RT_CLASSES; i++)
    {
      struct rt_class *c = &queue->classes[i];
      if (!c->first)
        continue;
      if (!best)
        {
          best = c;
          continue;
        }
      clk_ms over = now - c->oldest->arrived_at - AGING_MS * (c - best);
      if (over > longest)
        {
          longest = over;
          aged = c;
        }
    }
  return aged && queue->taken_since_aged >= REQUESTS_PER_AGED ? aged : best;
}

/** Move the first active flow to the end of the list. */
static void
rotate_flows (struct rt_class *c)
{
  struct rt_flow *f = c->first;
  if (!f->next)
    return;
  c->first = f->next;
  c->last->next = f;
  c->last = f;
  f->next = NULL;
}

struct rt_req *
rt_queue_next (struct rt_queue *queue, clk_ms now)
{
  struct rt_class *c = next_class (queue, now);
  if (!c)
    return NULL;
  /* Deficit round-robin: a flow is credited its quantum when it reaches
     the front and stays there while its deficit covers its next request
     (see rt_queue_pop()). */
  while (c->first->deficit < c->first->head->cost)
    {
      struct rt_flow *f = c->first;
      f->deficit += QUANTUM * f->weight;
      if (f->deficit < f->head->cost)
        rotate_flows (c);
    }
  return c->first->head;
}

void
rt_queue_pop (struct rt_queue *queue, struct rt_req *q)
{
  unsigned better = 0;
  while (!queue->classes[better].first)
    better++;
  queue->taken_since_aged
      = q->priority > better ? 0 : queue->taken_since_aged + 1;
  struct rt_class *c = &queue->classes[q->priority];
  struct rt_flow *f = q->flow;
  f->deficit -= q->cost;
  rt_queue_remove (queue, q);
  /* Without the rotation, a flow that has used its quantum would be
     credited the next one at once, ahead of all flows behind it. */
  if (c->first == f && f->deficit < f->head->cost)
    rotate_flows (c);
}

struct rt_req *
rt_queue_victim (const struct rt_queue *queue)
{
  for (unsigned i = RT_CLASSES; i-- > 0;)
    {
      const struct rt_class *c = &queue->classes[i];
      const struct rt_flow *most = c->first;
      for (const struct rt_flow *f = c->first; f; f = f->next)
        if (f->tokens / f->weight > most->tokens / most->weight)
          most = f;
      if (most)
        return most->tail;
    }
  return NULL;
}

double
rt_queue_tokens_ahead (const struct rt_queue *queue, unsigned priority,
                       const struct rt_account *a, double weight, double cost)
{
  double better = 0, same = 0, own = 0, weights = 0;
  for (unsigned i = 0; i < priority; i++)
    for (const struct rt_flow *f = queue->classes[i].first; f; f = f->next)
      better += f->tokens;
  for (const struct rt_flow *f = queue->classes[priority].first; f;
       f = f->next)
    {
      same += f->tokens;
      if (f->account == a)
        own = f->tokens;
      else
        weights += f->weight;
    }
  /* Until the own tokens are served, other accounts of the class get theirs in
     proportion to the weights. */
  double same_ahead = (own + cost) * (weights / weight) + own;
  return better + (same_ahead < same ? same_ahead : same);
}

void
rt_queue_clear (struct rt_queue *queue)
{
  for (unsigned i = 0; i < RT_CLASSES; i++)
    {
      for (size_t k = 0; k < queue->classes[i].nflows; k++)
        free (queue->classes[i].flows[k]);
      free (queue->classes[i].flows);
    }
}
