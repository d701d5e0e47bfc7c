/* Stand-in for the platform's list of VMs; /control/set changes the list. */
#include <stdlib.h>

#include "standins/fault.h"
#include "standins/standin.h"

struct platform
{
  struct backend b;
  json_object *vms; /**< VM name -> state */
};

static json_object *
list_json (const struct platform *p)
{
  json_object *list = json_object_new_array ();

  json_object_object_foreach (p->vms, name, state)
  {
    json_object *vm = json_object_new_object ();
    json_object_object_add (vm, "name", json_object_new_string (name));
    json_object_object_add (vm, "state", json_object_get (state));
    json_object_array_add (list, vm);
  }
  return list;
}

static void
on_request (void *ctx, struct httpd_req *req)
{
  struct platform *p = ctx;

  if (backend_control (&p->b, req))
    return;
  if (!str_is (httpd_get (req)->path, "/platform/v1/vms"))
    {
      httpd_answer (req, 404, NULL, 0, STR ("no such path\n"));
      return;
    }
  if (!backend_admit (&p->b, req))
    return;
  json_object *list = list_json (p);
  struct reply *r = reply_new (&p->b, req);
  r->type = "application/json";
  buf_add_c (&r->body, json_object_to_json_string (list));
  json_object_put (list);
  reply_start (r);
}

/** {"vms": {"vm-1": "leaving", "vm-2": null}}: null removes the VM. */
static void
on_set (void *ctx, json_object *o)
{
  struct platform *p = ctx;
  json_object *vms;

  if (!json_object_object_get_ex (o, "vms", &vms))
    return;
  json_object_object_foreach (vms, name, state)
  {
    if (state == NULL)
      json_object_object_del (p->vms, name);
    else
      json_object_object_add (p->vms, name, json_object_get (state));
  }
}

int
standin_platform (int argc, char **argv)
{
  static struct platform p;
  char *listen = NULL;
  char **vms = NULL;
  GOptionEntry entries[]
      = { { "listen", 0, 0, G_OPTION_ARG_STRING, &listen, "address", "ADDR" },
          { "vm", 0, 0, G_OPTION_ARG_STRING_ARRAY, &vms, "a live VM", "NAME" },
          { 0 } };
  GOptionContext *oc = g_option_context_new ("- platform's list of VMs");

  g_option_context_add_main_entries (oc, entries, NULL);
  if (!g_option_context_parse (oc, &argc, &argv, NULL))
    return 2;
  g_option_context_free (oc);
  p.vms = json_object_new_object ();
  for (char **v = vms; v != NULL && *v != NULL; v++)
    json_object_object_add (p.vms, *v, json_object_new_string ("live"));
  p.b.count_by_request = true;
  p.b.on_set = on_set;
  p.b.ctx = &p;
  return backend_run (&p.b, "platform", listen ? listen : "127.0.0.1:0",
                      on_request);
}
