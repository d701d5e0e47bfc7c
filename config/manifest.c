#include "config/manifest.h"

#include <stdlib.h>

#include "base/digest.h"
#include "config/json.h"
#include "config/read.h"

/** One parse. */
struct parse
{
  struct rd rd;
  struct rd_at root;
  struct json_object *top;
  struct mft *out;
};

static size_t
array_length (struct json_object *array)
{
  return array ? json_object_array_length (array) : 0;
}

static void
parse_head (struct parse *p)
{
#define AT(member) offsetof (struct mft, member)
  static const struct rd_field fields[] = {
    RD_FIELD ("change", RD_TEXT, AT (change), true),
    RD_FIELD ("who", RD_NAME, AT (who), true),
    RD_RANGE ("when", RD_MS, AT (when), true, 0, 1e15),
    RD_FIELD ("doc", RD_DIGEST, AT (doc), true),
    RD_KNOWN ("files", true),
    RD_KNOWN ("past", true),
  };
#undef AT

  rd_object (&p->rd, &p->root, p->top, fields, RD_LEN (fields), p->out);
}

static void
parse_files (struct parse *p)
{
#define AT(member) offsetof (struct mft_file, member)
  static const struct rd_field fields[] = {
    RD_FIELD ("name", RD_NAME, AT (name), true),
    RD_FIELD ("hash", RD_DIGEST, AT (hash), true),
    RD_FIELD ("who", RD_NAME, AT (who), true),
  };
#undef AT
  struct json_object *array
      = rd_member (&p->rd, &p->root, p->top, "files", json_type_array);
  struct rd_at list = { &p->root, STR ("files"), 0 };
  size_t n = array_length (array);

  p->out->files = arena_alloc (p->rd.arena, n + 1, sizeof *p->out->files);
  p->out->nfiles = n;
  for (size_t i = 0; i < n; i++)
    rd_object (&p->rd, &(struct rd_at){ &list, STR_EMPTY, i },
               json_object_array_get_idx (array, i), fields, RD_LEN (fields),
               &p->out->files[i]);
}

static void
parse_past (struct parse *p)
{
#define AT(member) offsetof (struct mft_past, member)
  static const struct rd_field fields[] = {
    RD_RANGE ("revision", RD_MS, AT (revision), true, 1, 9e15),
    RD_FIELD ("change", RD_TEXT, AT (change), true),
    RD_FIELD ("who", RD_NAME, AT (who), true),
    RD_FIELD ("doc", RD_DIGEST, AT (doc), true),
    RD_KNOWN ("dropped", true),
  };
#undef AT
  struct json_object *array
      = rd_member (&p->rd, &p->root, p->top, "past", json_type_array);
  struct rd_at list = { &p->root, STR ("past"), 0 };
  size_t n = array_length (array);

  p->out->past = arena_alloc (p->rd.arena, n + 1, sizeof *p->out->past);
  p->out->npast = n;
  for (size_t i = 0; i < n; i++)
    {
      struct mft_past *past = &p->out->past[i];
      struct rd_at at = { &list, STR_EMPTY, i };
      struct json_object *json = json_object_array_get_idx (array, i);
      rd_object (&p->rd, &at, json, fields, RD_LEN (fields), past);
      past->dropped = rd_strings (&p->rd, &at, json, "dropped", RD_DIGEST,
                                  SIZE_MAX, &past->ndropped);
    }
}

bool
mft_parse (struct str text, int64_t revision, struct arena *arena,
           struct mft *out, struct fnd_list *findings)
{
  struct parse p = { .rd = { arena, findings }, .out = out };
  size_t errors = findings->errors;

  *out = (struct mft){ .revision = revision };
  p.top = cfj_read (text, "config/manifest", findings);
  if (!p.top)
    return false;
  parse_head (&p);
  parse_files (&p);
  parse_past (&p);
  json_object_put (p.top);
  return findings->errors == errors;
}

static void
add_text (struct buf *out, const char *key, struct str value)
{
  buf_addf (out, "\"%s\":", key);
  buf_add_json (out, value);
}

static void
format_files (const struct mft *m, struct buf *out)
{
  buf_add_c (out, ",\"files\":[");
  for (size_t i = 0; i < m->nfiles; i++)
    {
      buf_add_c (out, i ? ",{" : "{");
      add_text (out, "name", m->files[i].name);
      buf_add_char (out, ',');
      add_text (out, "hash", m->files[i].hash);
      buf_add_char (out, ',');
      add_text (out, "who", m->files[i].who);
      buf_add_char (out, '}');
    }
  buf_add_char (out, ']');
}

static void
format_past (const struct mft_past *past, struct buf *out)
{
  buf_addf (out, "{\"revision\":%lld,", (long long)past->revision);
  add_text (out, "change", past->change);
  buf_add_char (out, ',');
  add_text (out, "who", past->who);
  buf_add_char (out, ',');
  add_text (out, "doc", past->doc);
  buf_add_c (out, ",\"dropped\":[");
  for (size_t i = 0; i < past->ndropped; i++)
    {
      if (i)
        buf_add_char (out, ',');
      buf_add_json (out, past->dropped[i]);
    }
  buf_add_c (out, "]}");
}

void
mft_format (const struct mft *m, struct buf *out)
{
  buf_add_char (out, '{');
  add_text (out, "change", m->change);
  buf_add_char (out, ',');
  add_text (out, "who", m->who);
  buf_addf (out, ",\"when\":%lld,", (long long)m->when);
  add_text (out, "doc", m->doc);
  format_files (m, out);
  buf_add_c (out, ",\"past\":[");
  for (size_t i = 0; i < m->npast; i++)
    {
      if (i)
        buf_add_char (out, ',');
      format_past (&m->past[i], out);
    }
  buf_add_c (out, "]}");
}

const struct mft_file *
mft_file (const struct mft *m, struct str name)
{
  for (size_t i = 0; i < m->nfiles; i++)
    if (str_eq (m->files[i].name, name))
      return &m->files[i];
  return NULL;
}

struct str
mft_hash (struct arena *arena, struct str text)
{
  struct buf hex = BUF_INIT;
  struct str result;

  dig_add_hex (&hex, text);
  result = arena_str (arena, buf_str (&hex));
  buf_free (&hex);
  return result;
}

bool
mft_refers (const struct mft *m, struct str hash)
{
  if (str_eq (m->doc, hash))
    return true;
  for (size_t i = 0; i < m->nfiles; i++)
    if (str_eq (m->files[i].hash, hash))
      return true;
  for (size_t i = 0; i < m->npast; i++)
    {
      if (str_eq (m->past[i].doc, hash))
        return true;
      for (size_t j = 0; j < m->past[i].ndropped; j++)
        if (str_eq (m->past[i].dropped[j], hash))
          return true;
    }
  return false;
}
