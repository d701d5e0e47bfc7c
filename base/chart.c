#include "base/chart.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json.h"

/** One embedded file; the list ends with a NULL name. */
struct chart_source
{
  const char *name;
  const char *json;
};
extern const struct chart_source chart_sources[];

struct chart
{
  char *name;
  char **states;
  bool *final;
  int nstates;
  char **events;
  int nevents;
  int initial;
  int *step; /* nstates rows of nevents columns */
};

struct loader
{
  struct chart *chart;
  const char *file;
  struct fnd_list *findings;
};

#define COMPLAIN(ld, pointer, ...)                                            \
  fnd_addf ((ld)->findings, FND_ERROR, (ld)->file, 0, (pointer), __VA_ARGS__)

static int
find_name (char *const *names, int n, const char *name)
{
  for (int i = 0; i < n; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  return -1;
}

static int
add_name (char ***names, int *n, const char *name)
{
  *names = xrealloc (*names, (size_t)(*n + 1) * sizeof **names);
  (*names)[*n] = xstrdup (name);
  return (*n)++;
}

static void
load_state_names (struct loader *ld, json_object *states)
{
  struct chart *c = ld->chart;
  json_object_object_foreach (states, state, body)
  {
    json_object *on = jsn_object (body, "on");
    add_name (&c->states, &c->nstates, state);
    if (!on)
      continue;
    json_object_object_foreach (on, event, target)
    {
      (void)target;
      if (find_name (c->events, c->nevents, event) < 0)
        add_name (&c->events, &c->nevents, event);
    }
  }
}

static void
load_target (struct loader *ld, int from, const char *event,
             json_object *target)
{
  struct chart *c = ld->chart;
  const char *to = json_object_is_type (target, json_type_string)
                       ? json_object_get_string (target)
                       : "";
  int state = find_name (c->states, c->nstates, to);
  char pointer[256];
  snprintf (pointer, sizeof pointer, "/states/%s/on/%s", c->states[from],
            event);
  if (state < 0)
    COMPLAIN (ld, pointer, "no state '%s'", to);
  int column = find_name (c->events, c->nevents, event);
  c->step[from * c->nevents + column] = state < 0 ? CHART_REFUSED : state;
}

static void
load_state (struct loader *ld, int state, json_object *body)
{
  struct chart *c = ld->chart;
  json_object *on = jsn_object (body, "on");
  char pointer[256];
  int ways = 0;
  snprintf (pointer, sizeof pointer, "/states/%s", c->states[state]);
  c->final[state] = jsn_bool (body, "final");
  if (on)
    {
      json_object_object_foreach (on, event, target)
      {
        load_target (ld, state, event, target);
        ways++;
      }
    }
  if (c->final[state] && ways > 0)
    COMPLAIN (ld, pointer, "a final state has a way out");
  if (!c->final[state] && ways == 0)
    COMPLAIN (ld, pointer, "no way out of a state that is not final");
}

static void
mark_reached (const struct chart *c, int state, bool *reached)
{
  if (reached[state])
    return;
  reached[state] = true;
  for (int e = 0; e < c->nevents; e++)
    {
      int to = chart_step (c, state, e);
      if (to != CHART_REFUSED)
        mark_reached (c, to, reached);
    }
}

static void
check_reached (struct loader *ld)
{
  struct chart *c = ld->chart;
  bool *reached = xcalloc ((size_t)c->nstates, sizeof *reached);
  char pointer[256];
  mark_reached (c, c->initial, reached);
  for (int s = 0; s < c->nstates; s++)
    if (!reached[s])
      {
        snprintf (pointer, sizeof pointer, "/states/%s", c->states[s]);
        COMPLAIN (ld, pointer, "the state can't be reached");
      }
  free (reached);
}

static void
load_initial (struct loader *ld, json_object *root)
{
  struct chart *c = ld->chart;
  const char *name = jsn_text (root, "initial");
  c->initial = find_name (c->states, c->nstates, name);
  if (c->initial < 0)
    COMPLAIN (ld, "/initial", "no state '%s'", name);
}

static void
load_states (struct loader *ld, json_object *root, json_object *states)
{
  struct chart *c = ld->chart;
  int state = 0;
  load_state_names (ld, states);
  if (c->nstates == 0)
    {
      COMPLAIN (ld, "/states", "the chart has no states");
      return;
    }
  c->final = xcalloc ((size_t)c->nstates, sizeof *c->final);
  size_t cells = (size_t)c->nstates * (size_t)c->nevents;
  c->step = xmalloc (cells * sizeof *c->step);
  for (size_t i = 0; i < cells; i++)
    c->step[i] = CHART_REFUSED;
  json_object_object_foreach (states, name, body)
  {
    (void)name;
    load_state (ld, state++, body);
  }
  load_initial (ld, root);
  if (c->initial >= 0)
    check_reached (ld);
}

static int
line_at (struct str text, size_t offset)
{
  int line = 1;
  for (size_t i = 0; i < offset && i < text.len; i++)
    line += text.ptr[i] == '\n';
  return line;
}

static json_object *
parse_json (struct str json, const char *file, struct fnd_list *findings)
{
  json_tokener *tok = json_tokener_new ();
  json_object *root = json_tokener_parse_ex (tok, json.ptr, (int)json.len);
  enum json_tokener_error error = json_tokener_get_error (tok);
  size_t offset = json_tokener_get_parse_end (tok);
  json_tokener_free (tok);
  if (root && error == json_tokener_success)
    return root;
  fnd_addf (findings, FND_ERROR, file, line_at (json, offset), NULL, "%s",
            json_tokener_error_desc (error));
  json_object_put (root);
  return NULL;
}

struct chart *
chart_load (struct str json, const char *file, struct fnd_list *findings)
{
  size_t errors = findings->errors;
  json_object *root = parse_json (json, file, findings);
  if (!root)
    return NULL;
  json_object *states = jsn_object (root, "states");
  struct chart *c = xcalloc (1, sizeof *c);
  struct loader ld = { c, file, findings };
  c->name = xstrdup (jsn_text (root, "chart"));
  if (c->name[0] == '\0')
    COMPLAIN (&ld, "/chart", "the chart has no name");
  if (states)
    load_states (&ld, root, states);
  else
    COMPLAIN (&ld, "/states", "the chart has no states");
  json_object_put (root);
  if (findings->errors == errors)
    return c;
  chart_free (c);
  return NULL;
}

void
chart_free (struct chart *c)
{
  if (!c)
    return;
  for (int i = 0; i < c->nstates; i++)
    free (c->states[i]);
  for (int i = 0; i < c->nevents; i++)
    free (c->events[i]);
  free (c->states);
  free (c->events);
  free (c->final);
  free (c->step);
  free (c->name);
  free (c);
}

/* Charts that were asked for, kept until the process ends. */
struct loaded
{
  char *name; /* of the file */
  struct chart *chart;
};

static struct loaded loaded[32];
static size_t nloaded;

static struct chart *
load_embedded (const char *name)
{
  const struct chart_source *src = chart_sources;
  struct fnd_list findings = { 0 };
  struct buf text = BUF_INIT;
  while (src->name && strcmp (src->name, name) != 0)
    src++;
  if (!src->name)
    {
      fprintf (stderr, "no embedded chart '%s'\n", name);
      abort ();
    }
  struct chart *c = chart_load (str_from (src->json), name, &findings);
  if (c)
    return c;
  fnd_print (&findings, &text);
  fputs (buf_c (&text), stderr);
  abort ();
}

const struct chart *
chart_embedded (const char *name)
{
  for (size_t i = 0; i < nloaded; i++)
    if (strcmp (loaded[i].name, name) == 0)
      return loaded[i].chart;
  if (nloaded == sizeof loaded / sizeof loaded[0])
    abort ();
  struct chart *c = load_embedded (name);
  loaded[nloaded++] = (struct loaded){ xstrdup (name), c };
  return c;
}

int
chart_initial (const struct chart *c)
{
  return c->initial;
}

int
chart_state (const struct chart *c, const char *name)
{
  return find_name (c->states, c->nstates, name);
}

int
chart_event (const struct chart *c, const char *name)
{
  return find_name (c->events, c->nevents, name);
}

const char *
chart_state_name (const struct chart *c, int state)
{
  return c->states[state];
}

const char *
chart_event_name (const struct chart *c, int event)
{
  return c->events[event];
}

int
chart_states (const struct chart *c)
{
  return c->nstates;
}

int
chart_events (const struct chart *c)
{
  return c->nevents;
}

bool
chart_final (const struct chart *c, int state)
{
  return c->final[state];
}

int
chart_step (const struct chart *c, int state, int event)
{
  if (event < 0 || event >= c->nevents || state < 0 || state >= c->nstates)
    return CHART_REFUSED;
  return c->step[state * c->nevents + event];
}
