#include "config/settings.h"

#include <stdlib.h>
#include <string.h>

#include "base/digest.h"
#include "config/file.h"
#include "config/json.h"
#include "config/locate.h"
#include "config/read.h"

#define MIN_SECRET 16

/** What the text holds before it is copied out of the arena. */
struct draft
{
  struct str node, zone, region, prefix, secret_file;
  struct settings *set;
};

/** One reading of a settings file. */
struct reading
{
  struct rd rd;
  struct json_object *top;
  struct rd_at root;
  struct draft draft;
};

static void
read_top (struct reading *g, unsigned need)
{
#define AT(member) offsetof (struct draft, member)
  const struct rd_field fields[] = {
    RD_FIELD ("node", RD_NAME, AT (node), true),
    RD_FIELD ("zone", RD_NAME, AT (zone), true),
    RD_FIELD ("region", RD_NAME, AT (region), true),
    RD_KNOWN ("gateway", need & SETTINGS_NEED_GATEWAY),
    RD_KNOWN ("control", need & SETTINGS_NEED_CONTROL),
    RD_KNOWN ("store", true),
    RD_KNOWN ("platform", false),
    RD_KNOWN ("peers", false),
    RD_FIELD ("secret_file", RD_TEXT, AT (secret_file), true),
    RD_KNOWN ("log", false),
  };
#undef AT

  rd_object (&g->rd, &g->root, g->top, fields, RD_LEN (fields), &g->draft);
}

static void
read_part (struct reading *g, const char *key, const struct rd_field *fields,
           size_t n, void *out)
{
  struct rd_at here = { &g->root, str_from (key), 0 };
  struct json_object *json
      = rd_member (&g->rd, &g->root, g->top, key, json_type_object);

  if (json)
    rd_object (&g->rd, &here, json, fields, n, out);
}

#define AT(member) offsetof (struct settings, member)

static void
read_listeners (struct reading *g, struct settings *set)
{
  static const struct rd_field gateway[] = {
    RD_LISTEN ("http", AT (gateway_http), true),
    RD_LISTEN ("peer", AT (gateway_peer), true),
  };
  static const struct rd_field control[] = {
    RD_LISTEN ("swim", AT (control_swim), true),
    RD_LISTEN ("peer", AT (control_peer), true),
    RD_LISTEN ("admin", AT (control_admin), true),
  };

  read_part (g, "gateway", gateway, RD_LEN (gateway), set);
  read_part (g, "control", control, RD_LEN (control), set);
}

static size_t
read_addresses (struct reading *g, const struct rd_at *at,
                struct json_object *json, const char *key, size_t max,
                struct net_addr *out)
{
  struct rd_at here = { at, str_from (key), 0 };
  size_t n;
  struct str *texts = rd_strings (&g->rd, at, json, key, RD_TEXT, max, &n);

  for (size_t i = 0; i < n; i++)
    {
      struct rd_at element = { &here, STR_EMPTY, i };
      if (texts[i].ptr && !net_addr_parse (texts[i], false, &out[i]))
        rd_error (&g->rd, &element, "'%.*s' is not an IP number with a port",
                  STR_ARG (texts[i]));
    }
  return n;
}

static void
check_prefix (struct reading *g, const struct rd_at *at)
{
  struct str prefix = g->draft.prefix;

  if (prefix.len == 0 || prefix.ptr[prefix.len - 1] != '/')
    rd_error (&g->rd, &(struct rd_at){ at, STR ("prefix"), 0 },
              "does not end in '/'");
}

static void
read_store (struct reading *g, struct settings *set)
{
  static const struct rd_field rates[] = {
    RD_KNOWN ("endpoints", true),
    RD_KNOWN ("prefix", false),
    RD_RANGE ("writes_per_s", RD_NUMBER, AT (store_writes), false, 0.1, 10000),
    RD_RANGE ("reads_per_s", RD_NUMBER, AT (store_reads), false, 0.1, 10000),
  };
  static const struct rd_field prefix
      = RD_FIELD ("prefix", RD_TEXT, offsetof (struct draft, prefix), false);
  struct rd_at here = { &g->root, STR ("store"), 0 };
  struct json_object *json
      = rd_member (&g->rd, &g->root, g->top, "store", json_type_object);

  if (!json)
    return;
  rd_object (&g->rd, &here, json, rates, RD_LEN (rates), set);
  rd_optional (&g->rd, &here, json, &prefix, &g->draft);
  set->nendpoints = read_addresses (g, &here, json, "endpoints",
                                    SET_MAX_ENDPOINTS, set->endpoints);
  if (set->nendpoints == 0
      && json_object_object_get_ex (json, "endpoints", NULL))
    rd_error (&g->rd, &(struct rd_at){ &here, STR ("endpoints"), 0 },
              "names no address");
  check_prefix (g, &here);
}

static void
read_log (struct reading *g, struct settings *set)
{
  static const char *const formats[] = { "text", "json", NULL };
  static const char *const levels[]
      = { "debug", "info", "warn", "error", NULL };
  static const struct rd_field fields[] = {
    RD_ENUM ("format", AT (log_format), false, formats),
    RD_ENUM ("level", AT (log_level), false, levels),
  };

  read_part (g, "log", fields, RD_LEN (fields), set);
}

static void
read_others (struct reading *g, struct settings *set)
{
  static const struct rd_field platform
      = RD_REMOTE ("platform", AT (platform), false);

  rd_optional (&g->rd, &g->root, g->top, &platform, set);
  set->npeers = read_addresses (g, &g->root, g->top, "peers", SET_MAX_PEERS,
                                set->peers);
}

#undef AT

/** Path of the secret: relative to the folder of the settings file. */
static char *
secret_path (const char *settings, struct str secret)
{
  const char *slash = strrchr (settings, '/');
  struct buf path = BUF_INIT;
  char *result;

  if (slash && secret.ptr[0] != '/')
    buf_add (&path, str_make (settings, (size_t)(slash - settings) + 1));
  buf_add (&path, secret);
  result = str_dup (buf_str (&path));
  buf_free (&path);
  return result;
}

static void
read_secret (struct reading *g, const char *path, struct settings *set)
{
  struct rd_at here = { &g->root, STR ("secret_file"), 0 };
  struct buf content = BUF_INIT;
  struct buf why = BUF_INIT;
  char *file;

  if (g->draft.secret_file.len == 0)
    return;
  file = secret_path (path, g->draft.secret_file);
  if (!cff_read (file, &content, &why))
    rd_error (&g->rd, &here, "%s", buf_c (&why));
  else if (str_trim (buf_str (&content)).len < MIN_SECRET)
    rd_error (&g->rd, &here, "the secret has fewer than %d bytes", MIN_SECRET);
  else
    dig_sha256 (buf_str (&content), set->secret);
  free (file);
  buf_free (&content);
  buf_free (&why);
}

static void
take_strings (const struct draft *d, struct settings *set)
{
  set->node = str_dup (d->node);
  set->zone = str_dup (d->zone);
  set->region = str_dup (d->region);
  set->store_prefix = str_dup (d->prefix);
}

/** Add file and line to the findings from number @p first on, and order them.
 */
static void
place (struct fnd_list *findings, size_t first, const char *path,
       const struct loc_map *map)
{
  for (size_t i = first; i < findings->n; i++)
    {
      struct fnd_item *item = &findings->items[i];
      if (item->file)
        continue;
      item->file = xstrdup (path);
      item->line = loc_nearest (map, item->pointer);
    }
  loc_sort_findings (findings, first);
}

static void
read_all (struct reading *g, const char *path, unsigned need,
          struct settings *out)
{
  g->draft.prefix = STR ("/lapisline/");
  out->store_reads = 60;
  out->log_level = LOG_INFO;
  read_top (g, need);
  read_listeners (g, out);
  read_store (g, out);
  read_others (g, out);
  read_log (g, out);
  read_secret (g, path, out);
  take_strings (&g->draft, out);
}

bool
settings_read (const char *path, unsigned need, struct settings *out,
               struct fnd_list *findings)
{
  struct arena arena = { NULL };
  struct reading g = { .rd = { &arena, findings } };
  struct buf text = BUF_INIT;
  struct buf why = BUF_INIT;
  struct loc_map map = { NULL };
  size_t errors = findings->errors;
  size_t first = findings->n;

  memset (out, 0, sizeof *out);
  if (!cff_read (path, &text, &why))
    {
      fnd_addf (findings, FND_ERROR, path, 0, NULL, "%s", buf_c (&why));
      goto out;
    }
  g.top = cfj_read (buf_str (&text), path, findings);
  if (!g.top)
    goto out;
  loc_read (buf_str (&text), path, &map, findings);
  read_all (&g, path, need, out);
  place (findings, first, path, &map);
  json_object_put (g.top);
out:
  loc_free (&map);
  arena_free (&arena);
  buf_free (&text);
  buf_free (&why);
  return findings->errors == errors;
}

double
settings_writes (const struct settings *s, double usual)
{
  return s->store_writes > 0 ? s->store_writes : usual;
}

void
settings_free (struct settings *s)
{
  free (s->node);
  free (s->zone);
  free (s->region);
  free (s->store_prefix);
  memset (s, 0, sizeof *s);
}
