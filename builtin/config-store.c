#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/commands.h"
#include "builtin/config.h"
#include "config/file.h"
#include "config/folder.h"
#include "store/etcd.h"

#define CALL_MS (3 * CLK_SECOND)
#define CALLS_PER_S 100

bool
conf_parse (const GOptionEntry *entries, const char *parameters,
            const char *summary, int operands, int *argc, char ***argv)
{
  if (!commands_options (entries, parameters, summary, argc, argv))
    return false;
  if (*argc == operands + 1)
    return true;
  fprintf (stderr, "usage: %s [OPTION...] %s\n", g_get_prgname (), parameters);
  return false;
}

void
conf_print_findings (const struct fnd_list *findings, FILE *out)
{
  struct buf text = BUF_INIT;

  fnd_print (findings, &text);
  fwrite (text.ptr ? text.ptr : "", 1, text.len, out);
  buf_free (&text);
}

static int
read_settings (struct conf_store *cs, const struct conf_options *o,
               struct etcd_options *etcd)
{
  struct fnd_list findings = { 0 };
  bool good = settings_read (o->settings, 0, &cs->set, &findings);

  conf_print_findings (&findings, stderr);
  fnd_free (&findings);
  etcd->endpoints = cs->set.endpoints;
  etcd->nendpoints = cs->set.nendpoints;
  cs->prefix = str_from (cs->set.store_prefix);
  return good ? EXIT_DONE : EXIT_INPUT;
}

static int
take_address (struct conf_store *cs, const struct conf_options *o,
              struct etcd_options *etcd)
{
  struct net_addr *addr = &cs->set.endpoints[0];

  cs->prefix = str_from (o->prefix ? o->prefix : "/lapisline/");
  etcd->endpoints = addr;
  etcd->nendpoints = 1;
  if (o->store && net_addr_parse (str_from (o->store), false, addr))
    return EXIT_DONE;
  fprintf (stderr, "lapisline: %s\n",
           o->store ? "--store needs an IP number with a port"
                    : "give --settings FILE or --store ADDR");
  return EXIT_USAGE;
}

int
conf_store_open (struct conf_store *cs, const struct conf_options *o)
{
  struct store_budget budget = { CALLS_PER_S, CALLS_PER_S };
  struct etcd_options etcd = { .call_ms = CALL_MS };
  int code;

  memset (cs, 0, sizeof *cs);
  code = o->settings ? read_settings (cs, o, &etcd)
                     : take_address (cs, o, &etcd);
  if (code != EXIT_DONE)
    {
      settings_free (&cs->set);
      return code;
    }
  uv_loop_init (&cs->loop);
  cs->http = httpc_new (&cs->loop);
  cs->store = etcd_store_new (&cs->loop, cs->http, &etcd, &budget);
  return EXIT_DONE;
}

void
conf_store_close (struct conf_store *cs)
{
  store_free (cs->store);
  httpc_free (cs->http);
  uv_run (&cs->loop, UV_RUN_DEFAULT);
  uv_loop_close (&cs->loop);
  settings_free (&cs->set);
  buf_free (&cs->key);
  buf_free (&cs->value);
}

void
conf_options_free (struct conf_options *o)
{
  g_free (o->settings);
  g_free (o->store);
  g_free (o->prefix);
}

/** Keep the answer, as the adapter's ends with the callback. */
static void
on_answer (void *ctx, const struct store_result *r)
{
  struct conf_store *cs = ctx;

  cs->result = *r;
  cs->answered = true;
  if (r->nkvs == 0)
    return;
  buf_clear (&cs->key);
  buf_clear (&cs->value);
  buf_add (&cs->key, r->kvs[0].key);
  buf_add (&cs->value, r->kvs[0].value);
  cs->kv = r->kvs[0];
  cs->kv.key = buf_str (&cs->key);
  cs->kv.value = buf_str (&cs->value);
  cs->result.kvs = &cs->kv;
}

static const struct store_result *
wait_for_answer (struct conf_store *cs)
{
  while (!cs->answered)
    uv_run (&cs->loop, UV_RUN_ONCE);
  return &cs->result;
}

const struct store_result *
conf_range (struct conf_store *cs, struct str key)
{
  cs->answered = false;
  store_range (cs->store, STORE_CONFIG, key, STR_EMPTY, on_answer, cs);
  return wait_for_answer (cs);
}

const struct store_result *
conf_txn (struct conf_store *cs, const struct store_txn *txn)
{
  cs->answered = false;
  store_txn (cs->store, STORE_CONFIG, txn, on_answer, cs);
  return wait_for_answer (cs);
}

const struct store_result *
conf_get (struct conf_store *cs, const char *kind, struct str name)
{
  struct buf key = BUF_INIT;
  const struct store_result *r;

  buf_addf (&key, "%.*sconfig/%s%.*s", STR_ARG (cs->prefix), kind,
            STR_ARG (name));
  r = conf_range (cs, buf_str (&key));
  buf_free (&key);
  return r;
}

int
conf_manifest (struct conf_store *cs, struct arena *arena, struct mft *m)
{
  const struct store_result *r = conf_get (cs, "manifest", STR_EMPTY);
  struct fnd_list findings = { 0 };
  bool good = true;

  *m = (struct mft){ 0 };
  if (r->status != STORE_OK)
    {
      fputs ("lapisline: the store gives no answer\n", stderr);
      return EXIT_UNREACHABLE;
    }
  if (r->nkvs)
    good = mft_parse (r->kvs[0].value, r->kvs[0].mod_rev, arena, m, &findings);
  conf_print_findings (&findings, stderr);
  fnd_free (&findings);
  return good ? EXIT_DONE : EXIT_FAILED;
}

bool
conf_folder (const char *path, struct cfg_folder *folder, struct buf *merged)
{
  struct fnd_list findings = { 0 };
  struct cfg *c = NULL;

  cfg_folder_read (path, folder, &findings);
  c = cfg_folder_check (folder, merged, &findings);
  conf_print_findings (&findings, stderr);
  fnd_free (&findings);
  cfg_unref (c);
  return c != NULL;
}

static char *
base_path (const char *folder)
{
  return g_build_filename (folder, CONF_REVISION_FILE, NULL);
}

int64_t
conf_read_base (const char *folder)
{
  char *path = base_path (folder);
  struct buf text = BUF_INIT;
  struct buf why = BUF_INIT;
  int64_t revision = 0;

  if (cff_read (path, &text, &why))
    str_to_i64 (str_trim (buf_str (&text)), &revision);
  buf_free (&text);
  buf_free (&why);
  g_free (path);
  return revision > 0 ? revision : 0;
}

void
conf_write_base (const char *folder, int64_t revision)
{
  char *path = base_path (folder);
  FILE *f = fopen (path, "w");

  if (f)
    fprintf (f, "%lld\n", (long long)revision);
  if (!f || fclose (f) != 0)
    fprintf (stderr, "lapisline: can't write %s; give --base %lld next time\n",
             path, (long long)revision);
  g_free (path);
}
