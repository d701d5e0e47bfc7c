#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "replica/assign.h"

static void
entry_free (struct asn_entry *e)
{
  for (size_t i = 0; i < e->nvms; i++)
    free (e->vms[i]);
  asn_clear_joining (e);
  free (e->name);
  free (e->model);
}

void
asn_free (struct asn *a)
{
  for (size_t i = 0; i < a->n; i++)
    entry_free (&a->entries[i]);
  for (size_t i = 0; i < a->ndrained; i++)
    free (a->drained[i]);
  free (a->entries);
  free (a->drained);
  memset (a, 0, sizeof *a);
}

void
asn_copy (const struct asn *a, struct asn *out)
{
  struct asn c = { .next_generation = a->next_generation };

  for (size_t i = 0; i < a->n; i++)
    {
      const struct asn_entry *from = &a->entries[i];
      struct asn_entry *to
          = asn_add (&c, str_from (from->name), str_from (from->model));

      to->generation = from->generation;
      to->phase = from->phase;
      for (size_t v = 0; v < from->nvms; v++)
        asn_entry_add_vm (to, str_from (from->vms[v]));
      if (from->joining.vm)
        {
          asn_set_joining (&c, to, str_from (from->joining.vm),
                           str_from (from->joining.replaces));
          to->joining.generation = from->joining.generation;
        }
    }
  for (size_t i = 0; i < a->ndrained; i++)
    asn_set_drained (&c, a->drained[i], true);
  c.next_generation = a->next_generation;
  *out = c;
}

struct asn_entry *
asn_find (const struct asn *a, const char *name)
{
  for (size_t i = 0; i < a->n; i++)
    if (strcmp (a->entries[i].name, name) == 0)
      return &a->entries[i];
  return NULL;
}

/* Number of occurrences of the VM in the entry. */
static unsigned
entry_count_vm (const struct asn_entry *e, struct str vm)
{
  unsigned n = e->joining.vm && str_is (vm, e->joining.vm);

  for (size_t i = 0; i < e->nvms; i++)
    n += str_is (vm, e->vms[i]);
  return n;
}

struct asn_entry *
asn_holder (const struct asn *a, struct str vm)
{
  for (size_t i = 0; i < a->n; i++)
    if (entry_count_vm (&a->entries[i], vm))
      return &a->entries[i];
  return NULL;
}

static unsigned
count_vm (const struct asn *a, const char *vm)
{
  unsigned n = 0;

  for (size_t i = 0; i < a->n; i++)
    n += entry_count_vm (&a->entries[i], str_from (vm));
  return n;
}

bool
asn_valid (const struct asn *a)
{
  for (size_t i = 0; i < a->n; i++)
    {
      const struct asn_entry *e = &a->entries[i];

      if (asn_find (a, e->name) != e)
        return false;
      for (size_t v = 0; v < e->nvms; v++)
        if (count_vm (a, e->vms[v]) != 1)
          return false;
      if (e->joining.vm && count_vm (a, e->joining.vm) != 1)
        return false;
    }
  return true;
}

struct asn_entry *
asn_add (struct asn *a, struct str name, struct str model)
{
  struct asn_entry *e;

  a->entries = xrealloc (a->entries, (a->n + 1) * sizeof *a->entries);
  e = &a->entries[a->n++];
  memset (e, 0, sizeof *e);
  e->name = str_dup (name);
  e->model = str_dup (model);
  e->generation = ++a->next_generation;
  return e;
}

void
asn_entry_add_vm (struct asn_entry *e, struct str vm)
{
  if (e->nvms < ASN_MAX_VMS)
    e->vms[e->nvms++] = str_dup (vm);
}

void
asn_remove (struct asn *a, const char *name)
{
  struct asn_entry *e = asn_find (a, name);

  if (!e)
    return;
  entry_free (e);
  a->n--;
  memmove (e, e + 1, (size_t)(a->entries + a->n - e) * sizeof *e);
}

void
asn_set_joining (struct asn *a, struct asn_entry *e, struct str vm,
                 struct str replaces)
{
  asn_clear_joining (e);
  e->joining.vm = str_dup (vm);
  e->joining.replaces = str_dup (replaces);
  e->joining.generation = ++a->next_generation;
}

void
asn_clear_joining (struct asn_entry *e)
{
  free (e->joining.vm);
  free (e->joining.replaces);
  memset (&e->joining, 0, sizeof e->joining);
}

static void
replace_vm (struct asn_entry *e, struct str old, struct str new_vm)
{
  for (size_t i = 0; i < e->nvms; i++)
    if (str_is (old, e->vms[i]))
      {
        char *copy = str_dup (new_vm);

        free (e->vms[i]);
        e->vms[i] = copy;
        return;
      }
}

void
asn_finish_joining (struct asn_entry *e)
{
  replace_vm (e, str_from (e->joining.replaces), str_from (e->joining.vm));
  e->generation = e->joining.generation;
  asn_clear_joining (e);
}

void
asn_replace_vm (struct asn *a, struct asn_entry *e, struct str old,
                struct str new_vm)
{
  replace_vm (e, old, new_vm);
  e->generation = ++a->next_generation;
}

bool
asn_is_drained (const struct asn *a, const char *name)
{
  for (size_t i = 0; i < a->ndrained; i++)
    if (strcmp (a->drained[i], name) == 0)
      return true;
  return false;
}

void
asn_set_drained (struct asn *a, const char *name, bool on)
{
  if (asn_is_drained (a, name) == on)
    return;
  if (on)
    {
      a->drained
          = xrealloc (a->drained, (a->ndrained + 1) * sizeof *a->drained);
      a->drained[a->ndrained++] = xstrdup (name);
      return;
    }
  for (size_t i = 0; i < a->ndrained; i++)
    if (strcmp (a->drained[i], name) == 0)
      {
        free (a->drained[i]);
        a->drained[i] = a->drained[--a->ndrained];
        return;
      }
}

static void
parse_joining (struct json_object *o, struct asn_entry *e)
{
  if (!o)
    return;
  e->joining.vm = xstrdup (jsn_text (o, "vm"));
  e->joining.replaces = xstrdup (jsn_text (o, "replaces"));
  e->joining.generation = jsn_int (o, "generation");
}

static bool
parse_entry (struct json_object *o, struct asn *a)
{
  size_t n;
  struct json_object *vms = jsn_array (o, "vms", &n);
  struct asn_entry *e;

  if (!vms || n > ASN_MAX_VMS)
    return false;
  e = asn_add (a, str_from (jsn_text (o, "name")),
               str_from (jsn_text (o, "model")));
  e->generation = jsn_int (o, "generation");
  if (strcmp (jsn_text (o, "phase"), "releasing") == 0)
    e->phase = ASN_RELEASING;
  for (size_t i = 0; i < n; i++)
    asn_entry_add_vm (e, str_from (json_object_get_string (
                             json_object_array_get_idx (vms, i))));
  parse_joining (jsn_get (o, "joining"), e);
  return *e->name != 0;
}

static bool
parse_all (struct json_object *o, struct asn *a)
{
  size_t n, ndrained;
  struct json_object *list = jsn_array (o, "replicas", &n);
  struct json_object *drained = jsn_array (o, "drained", &ndrained);

  if (!list)
    return false;
  for (size_t i = 0; i < n; i++)
    if (!parse_entry (json_object_array_get_idx (list, i), a))
      return false;
  for (size_t i = 0; i < ndrained; i++)
    {
      struct json_object *name = json_object_array_get_idx (drained, i);

      if (json_object_is_type (name, json_type_string))
        asn_set_drained (a, json_object_get_string (name), true);
    }
  a->next_generation = jsn_int (o, "next");
  return asn_valid (a);
}

bool
asn_parse (struct str text, struct asn *out)
{
  struct json_object *o = jsn_parse (text);
  struct asn a = { 0 };
  bool ok = o && parse_all (o, &a);

  json_object_put (o);
  if (ok)
    *out = a;
  else
    asn_free (&a);
  return ok;
}

static void
print_entry (const struct asn_entry *e, struct buf *out)
{
  buf_add_c (out, "{\"name\":");
  buf_add_json (out, str_from (e->name));
  buf_add_c (out, ",\"model\":");
  buf_add_json (out, str_from (e->model));
  buf_addf (out, ",\"generation\":%lld,\"phase\":\"%s\",\"vms\":[",
            (long long)e->generation,
            e->phase == ASN_RELEASING ? "releasing" : "active");
  for (size_t i = 0; i < e->nvms; i++)
    {
      if (i)
        buf_add_char (out, ',');
      buf_add_json (out, str_from (e->vms[i]));
    }
  buf_add_char (out, ']');
  if (e->joining.vm)
    {
      buf_add_c (out, ",\"joining\":{\"vm\":");
      buf_add_json (out, str_from (e->joining.vm));
      buf_add_c (out, ",\"replaces\":");
      buf_add_json (out, str_from (e->joining.replaces));
      buf_addf (out, ",\"generation\":%lld}",
                (long long)e->joining.generation);
    }
  buf_add_char (out, '}');
}

void
asn_print (const struct asn *a, struct buf *out)
{
  buf_addf (out, "{\"next\":%lld,\"drained\":[",
            (long long)a->next_generation);
  for (size_t i = 0; i < a->ndrained; i++)
    {
      if (i)
        buf_add_char (out, ',');
      buf_add_json (out, str_from (a->drained[i]));
    }
  buf_add_c (out, "],\"replicas\":[");
  for (size_t i = 0; i < a->n; i++)
    {
      if (i)
        buf_add_char (out, ',');
      print_entry (&a->entries[i], out);
    }
  buf_add_c (out, "]}");
}
