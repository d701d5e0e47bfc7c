/* Reading and checking of configuration folders and settings: text in, the
   findings out. */
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "config/folder.h"
#include "config/settings.h"
#include "t/lib-proc.h"

TestSuite (config, .fini = proc_stop_all);

/** Two files that are in order; tests lay a third one over them. */
#define FLEET                                                                 \
  "// two VMs, one replica\n"                                                 \
  "{ \"domains\": { \"hall-a-1\": { \"zone\": \"hall-a\", \"vms\": {\n"       \
  "    \"vm-1\": { \"addr\": \"127.0.0.1:9001\" },\n"                         \
  "    \"vm-2\": { \"addr\": \"127.0.0.1:9002\" } } } },\n"                   \
  "  \"models\": { \"ghala-lm\": { \"mode\": \"route\", \"vms\": 2 } },\n"    \
  "  \"replicas\": { \"ghala-lm-1\": { \"model\": \"ghala-lm\",\n"            \
  "    \"domain\": \"hall-a-1\", \"mode\": \"route\",\n"                      \
  "    \"vms\": [\"vm-1\", \"vm-2\"] } } }\n"
#define CALLERS                                                               \
  "{ \"accounts\": { \"broker\": { \"may\": [\"*\"], \"key_digests\": [\n"    \
  "  \"" DIGEST_A "\" ] } } } /* end */\n"
#define DIGEST_B                                                              \
  "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
#define DIGEST_A                                                              \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

static struct cfg_file
file_of (const char *name, const char *text)
{
  return (struct cfg_file){ (char *)name, (char *)text, strlen (text) };
}

/** Check the two files with @p over laid over them. */
static struct cfg *
check (const char *over, struct buf *out)
{
  struct cfg_file files[] = { file_of ("10-fleet.json", FLEET),
                              file_of ("20-callers.json", CALLERS),
                              file_of ("30-over.json", over) };
  struct cfg_folder folder = { .files = files, .n = 3 };
  struct fnd_list findings = { 0 };
  struct buf merged = BUF_INIT;
  struct cfg *c = cfg_folder_check (&folder, &merged, &findings);

  fnd_print (&findings, out);
  fnd_free (&findings);
  buf_free (&merged);
  return c;
}

/** Findings of one laid-over file, or "good". */
static void
expect (const char *over, const char *want)
{
  struct buf got = BUF_INIT;
  struct cfg *c = check (over, &got);

  buf_add_c (&got, c ? "good\n" : "");
  cr_expect_str_eq (buf_c (&got), want, "for %s\ngot:\n%s\nwant:\n%s", over,
                    buf_c (&got), want);
  cfg_unref (c);
  buf_free (&got);
}

Test (config, tells_place_and_reason)
{
  expect ("{}", "good\n");
  expect ("{ \"models\": { \"ghala-lm\": {\n"
          "  \"mode\": \"rout\", \"vms\": 2.5, \"wieght_gb\": 1,\n"
          "  \"capacity\": 0, \"not_run_status\": [503, 200, \"x\"] } },\n"
          "  \"polcy\": {}, \"zzz\": 1 }",
          "30-over.json:2: /models/ghala-lm/mode: error: 'rout' is none of "
          "observe, route, manage\n"
          "30-over.json:2: /models/ghala-lm/vms: error: is not a whole "
          "number\n"
          "30-over.json:2: /models/ghala-lm/wieght_gb: error: unknown key; "
          "did you mean 'weight_gb'?\n"
          "30-over.json:3: /models/ghala-lm/capacity: error: 0 is not between "
          "1 and 100000\n"
          "30-over.json:3: /models/ghala-lm/not_run_status/1: error: 200 is "
          "not between 400 and 599\n"
          "30-over.json:3: /models/ghala-lm/not_run_status/2: error: is not "
          "a whole number\n"
          "30-over.json:4: /polcy: error: unknown key; did you mean "
          "'policy'?\n"
          "30-over.json:4: /zzz: error: unknown key\n");
  expect ("{ \"services\": { \"soko api\": { \"mode\": \"route\",\n"
          "  \"backends\": { \"s1\": { \"addr\": \"localhost:1\" } },\n"
          "  \"rules\": [ { \"method\": \"post\", \"path_prefix\": \"x\" } ]\n"
          "  } } }",
          "30-over.json:1: /services/soko api: error: 'soko api' is not a "
          "name: a letter or digit, then at most 62 letters, digits, '.', "
          "'_' or '-'\n"
          "30-over.json:2: /services/soko api/backends/s1: error: 'zone' is "
          "missing\n"
          "30-over.json:2: /services/soko api/backends/s1/addr: error: "
          "'localhost:1' is not an IP number with a port\n"
          "30-over.json:3: /services/soko api/rules/0: error: 'idempotent' "
          "is missing\n"
          "30-over.json:3: /services/soko api/rules/0/method: error: a "
          "method is in capital letters\n"
          "30-over.json:3: /services/soko api/rules/0/path_prefix: error: "
          "does not begin with '/'\n");
}

Test (config, tells_what_several_entries_break)
{
  /* A VM in two replicas: each would be told to load, and both would count
     the VM as their own. */
  expect ("{ \"replicas\": { \"ghala-lm-2\": { \"model\": \"ghala-ml\",\n"
          "  \"domain\": \"hall-a-1\", \"mode\": \"route\",\n"
          "  \"vms\": [\"vm-2\", \"vm-9\"] } } }",
          "30-over.json:1: /replicas/ghala-lm-2/model: error: there is no "
          "model 'ghala-ml'; did you mean 'ghala-lm'?\n"
          "30-over.json:3: /replicas/ghala-lm-2/vms/0: error: VM 'vm-2' "
          "belongs to replica 'ghala-lm-1' as well\n"
          "30-over.json:3: /replicas/ghala-lm-2/vms/1: error: no domain has "
          "a VM 'vm-9'\n");
  /* The file that set the value last is named, not the one of the entry. */
  expect ("{ \"replicas\": { \"ghala-lm-1\": { \"domain\": \"hall-b-1\" } },\n"
          "  \"domains\": { \"hall-b-1\": { \"zone\": \"hall-b\",\n"
          "    \"vms\": { \"vm-1\": { \"addr\": \"127.0.0.1:9002\" } } } } }",
          "10-fleet.json:8: /replicas/ghala-lm-1/vms/1: error: VM 'vm-2' is "
          "in domain 'hall-a-1', the replica in 'hall-b-1'\n"
          "30-over.json:3: /domains/hall-b-1/vms/vm-1: error: VM 'vm-1' is "
          "in domain 'hall-a-1' as well\n"
          "30-over.json:3: /domains/hall-b-1/vms/vm-1/addr: error: is the "
          "address of 'vm-2' of 'hall-a-1' as well\n");
  expect ("{ \"replicas\": { \"ghala-lm-1\": { \"vms\": [\"vm-1\"] } } }",
          "30-over.json:1: /replicas/ghala-lm-1/vms: error: has 1 VMs; a "
          "replica of 'ghala-lm' has 2\n");
  expect ("{ \"accounts\": { \"shelter\": { \"may\": [\"quill\"],\n"
          "  \"key_digests\": [ \"" DIGEST_A "\", \"AB\", \"ab\",\n"
          "  \"ab\\u0000\" ] } } }",
          "30-over.json:1: /accounts/shelter/may/0: error: there is no model "
          "or service 'quill'\n"
          "30-over.json:2: /accounts/shelter/key_digests: error: account "
          "'broker' has one of these digests as well\n"
          "30-over.json:2: /accounts/shelter/key_digests/1: error: a digest "
          "has only the digits 0-9 and a-f\n"
          "30-over.json:2: /accounts/shelter/key_digests/2: error: a SHA-256 "
          "digest has 64 digits, not 2\n"
          "30-over.json:3: /accounts/shelter/key_digests/3: error: a digest "
          "has only the digits 0-9 and a-f\n");
  expect ("{ \"operators\": { \"amina\": { \"role\": \"operator\",\n"
          "  \"token_digest\": \"" DIGEST_A "\" } },\n"
          "  \"services\": { \"ghala-lm\": { \"mode\": \"observe\",\n"
          "  \"backends\": {} } },\n"
          "  \"policy\": { \"downtime_weight\": 0, \"stranded_weight\": 0 } }",
          "30-over.json:2: /operators/amina/token_digest: error: account "
          "'broker' has this digest as well\n"
          "30-over.json:3: /services/ghala-lm: error: a model has this name "
          "as well\n"
          "30-over.json:3: /services/ghala-lm: warning: has no backend "
          "server\n"
          "30-over.json:5: /policy: error: downtime_weight and "
          "stranded_weight are both 0\n");
}

Test (config, tells_what_replicas_and_operators_break)
{
  expect ("{ \"replicas\": { \"ghala-lm-1\": { \"vms\": [],\n"
          "  \"domain\": \"hall-a-2\", \"mode\": \"manage\" } } }",
          "30-over.json:2: /replicas/ghala-lm-1/domain: error: there is no "
          "domain 'hall-a-2'; did you mean 'hall-a-1'?\n");
  expect ("{ \"domains\": { \"hall-a-1\": { \"vms\": { \"vm-2\": {\n"
          "  \"spare_only\": true } } } } }",
          "10-fleet.json:8: /replicas/ghala-lm-1/vms/1: error: VM 'vm-2' is "
          "spare only\n");
  expect ("{ \"operators\": {\n"
          "  \"amina\": { \"role\": \"operator\",\n"
          "    \"token_digest\": \"" DIGEST_B "\" },\n"
          "  \"otieno\": { \"role\": \"viewer\",\n"
          "    \"token_digest\": \"" DIGEST_B "\" } } }",
          "30-over.json:5: /operators/otieno/token_digest: error: operator "
          "'amina' has this digest as well\n");
}

Test (config, refuses_what_the_store_can_not_hold)
{
  /* One value of the store holds a megabyte.  A larger document would pass
     every check and then be refused by the store, push after push. */
  size_t size = CFG_MAX_TEXT + 1;
  char *text = xmalloc (size + 1);
  struct fnd_list findings = { 0 };
  struct buf got = BUF_INIT;

  memset (text, ' ', size);
  text[0] = '{';
  text[size - 1] = '}';
  text[size] = '\0';
  expect (text, "30-over.json: error: has 1000001 bytes; at most 1000000 fit "
                "into the store\n");
  cr_expect_null (cfg_parse (str_from (text), 1, &findings));
  fnd_print (&findings, &got);
  cr_expect_str_eq (buf_c (&got), "error: has 1000001 bytes; at most 1000000 "
                                  "fit into the store\n");
  fnd_free (&findings);
  buf_free (&got);
  free (text);
}

Test (config, folder_that_can_not_be_opened)
{
  /* A wrong path must not push an empty configuration over a full one. */
  struct cfg_folder folder;
  struct fnd_list findings = { 0 };
  struct buf got = BUF_INIT;

  cr_expect (!cfg_folder_read ("/nonexistent", &folder, &findings));
  fnd_print (&findings, &got);
  cr_expect_str_eq (buf_c (&got), "/nonexistent: error: can't open the "
                                  "folder: No such file or directory\n");
  cfg_folder_free (&folder);
  fnd_free (&findings);
  buf_free (&got);
}

Test (config, loses_nothing_of_a_file)
{
  /* A key twice in one file: a parser keeps the last, and the operator's
     first value is gone without a word. */
  expect ("{ \"limits\": { \"max_queue\": 5,\n  \"max\\u005fqueue\": 7 } }",
          "30-over.json:2: /limits/max_queue: error: key stands twice, first "
          "in line 1\n");
  expect ("[]", "30-over.json:1: error: the top level is not an object\n");
  expect ("{\n  \"limits\": { \"max_queue\" 5 } }",
          "30-over.json:2: error: column 27: JSON syntax: object property "
          "name separator ':' expected\n");
  expect ("{ \"limits\": {", "30-over.json:1: error: column 14: JSON syntax: "
                             "ends before the value is complete\n");
  expect ("{ \"limits\": {} } /* open",
          "30-over.json:1: error: column 18: JSON syntax: unexpected "
          "character\n");
  expect ("{ // \xff\n}", "30-over.json:1: error: column 6: is not UTF-8\n");
  expect ("{ \"a//b\": \"/*\", 'x': 1 }",
          "30-over.json:1: error: column 17: JSON syntax: strings "
          "stand in double quotes\n");
}

/** The whole merged document of files given in any order on disk. */
static void
expect_merged (const char *const texts[], const char *want)
{
  struct fnd_list findings = { 0 };
  struct cfg_folder folder;
  struct buf merged = BUF_INIT;
  const char *path = NULL;

  for (int i = 0; texts[i]; i += 2)
    path = proc_file (texts[i], "%s", texts[i + 1]);
  cr_assert_not_null (path);
  cr_assert (cfg_folder_read (proc_dir (), &folder, &findings));
  cfg_unref (cfg_folder_check (&folder, &merged, &findings));
  cr_expect_str_eq (buf_c (&merged), want);
  cfg_folder_free (&folder);
  fnd_free (&findings);
  buf_free (&merged);
}

Test (config, merges_in_the_order_of_names)
{
  expect_merged (
      (const char *const[]){
          "20-b.json",
          "{ \"limits\": { \"max_queue\": 2, \"queue_ms\": null },"
          "  \"models\": { \"m\": { \"not_run_status\": [429] } } }",
          "10-a.json",
          "{ \"models\": { \"m\": { \"mode\": \"route\", \"vms\": 2,"
          "  \"not_run_status\": [503, 500] } },"
          "  \"limits\": { \"queue_ms\": 9, \"max_queue\": 1 } }",
          "30-c.json",
          "{ \"models\": { \"m\": { \"vms\": 3 }, \"n\": null } }",
          "90-not-ours.txt", "{ \"limits\": 7 }", NULL },
      "{\"limits\":{\"max_queue\":2},\"models\":{\"m\":{"
      "\"mode\":\"route\",\"not_run_status\":[429],\"vms\":3}}}");
}

Test (config, refuses_a_folder_without_files)
{
  /* The operator gives a wrong path.  An empty document would be valid, and
     pushing it would take every model away; so a folder that holds no file
     is an error. */
  struct fnd_list findings = { 0 };
  struct cfg_folder folder;

  cr_expect_not (cfg_folder_read (proc_dir (), &folder, &findings));
  cr_assert_eq (findings.n, 1);
  cr_expect_str_eq (findings.items[0].text, "holds no *.json file");
  cfg_folder_free (&folder);
  fnd_free (&findings);
}

Test (config, an_unreadable_file_hides_no_other_finding)
{
  /* One file can't be read, one has a syntax error.  The operator sees both
     at once; of the rest nothing is said, as the file that can't be read may
     declare what seems to be missing. */
  struct fnd_list findings = { 0 };
  struct cfg_folder folder;
  struct buf merged = BUF_INIT;

  proc_file ("10-a.json", "{ \"models\": 7 }");
  proc_file ("20-b.json/not-a-file", "%s", "");
  proc_file ("30-c.json", "{ , }");
  cfg_folder_read (proc_dir (), &folder, &findings);
  cr_expect_null (cfg_folder_check (&folder, &merged, &findings));
  cr_assert_eq (findings.n, 2);
  cr_expect_str_eq (findings.items[0].text,
                    "can't read the file: Is a directory");
  cr_expect_not_null (strstr (findings.items[1].text, "JSON syntax"));
  cfg_folder_free (&folder);
  fnd_free (&findings);
  buf_free (&merged);
}

Test (config, answers_look_ups)
{
  struct buf got = BUF_INIT;
  struct cfg *c
      = check ("{ \"services\": { \"soko\": { \"mode\": \"route\",\n"
               "  \"backends\": {}, \"rules\": [\n"
               "  { \"method\": \"POST\", \"path_prefix\": \"/quotes\",\n"
               "    \"idempotent\": true },\n"
               "  { \"path_prefix\": \"/b\", \"idempotent\": false } ] } } }",
               &got);
  const struct cfg_service *s = cfg_service (c, STR ("soko"));

  cr_assert_not_null (s);
  cr_expect_str_eq (
      buf_c (&got),
      "30-over.json:1: /services/soko: warning: has no backend server\n");
  cr_expect (cfg_service_idempotent (s, STR ("POST"), STR ("/quotes/1")));
  cr_expect_not (cfg_service_idempotent (s, STR ("POST"), STR ("/x")));
  cr_expect_not (cfg_service_idempotent (s, STR ("GET"), STR ("/bookings")));
  cr_expect (cfg_service_idempotent (s, STR ("GET"), STR ("/x")));
  cr_expect_eq (cfg_account_by_key (c, STR (DIGEST_A)), &c->accounts[0]);
  cr_expect_null (cfg_account_by_key (c, STR ("")));
  cr_expect_eq (c->replicas[0].nvms, 2);
  cr_expect (str_is (c->vms[c->replicas[0].vms[1]].name, "vm-2"));
  cfg_unref (c);
  buf_free (&got);
}

static void
expect_settings (unsigned need, const char *text, const char *want)
{
  const char *path = proc_file ("settings.json", "%s", text);
  struct fnd_list findings = { 0 };
  struct settings set;
  struct buf got = BUF_INIT;
  bool good;

  proc_file ("secret.txt", "a secret of a zone's nodes\n");
  good = settings_read (path, need, &set, &findings);
  for (size_t i = 0; i < findings.n; i++)
    buf_addf (&got, "%d: %s: %s\n", findings.items[i].line,
              findings.items[i].pointer ? findings.items[i].pointer : "",
              findings.items[i].text);
  if (good)
    buf_addf (&got, "%s %s:%u %s peers=%zu %02x\n", set.node,
              set.control_peer.host, set.control_peer.port, set.store_prefix,
              set.npeers, set.secret[0]);
  cr_expect_str_eq (buf_c (&got), want, "got:\n%s\nwant:\n%s", buf_c (&got),
                    want);
  settings_free (&set);
  fnd_free (&findings);
  buf_free (&got);
}

Test (config, reads_settings)
{
  expect_settings (0,
                   "{ \"node\": \"entry-1\", \"zone\": \"hall-a\",\n"
                   "  \"region\": \"nairobi\", // here\n"
                   "  \"control\": { \"swim\": \"127.0.0.1:0\",\n"
                   "    \"peer\": \"127.0.0.1:7003\",\n"
                   "    \"admin\": \"[::1]:0\" },\n"
                   "  \"store\": { \"endpoints\": [\"127.0.0.1:2379\"] },\n"
                   "  \"peers\": [\"127.0.0.1:7013\"],\n"
                   "  \"secret_file\": \"secret.txt\" }",
                   "entry-1 127.0.0.1:7003 /lapisline/ peers=1 9d\n");
  expect_settings (0,
                   "{ \"node\": \"entry 1\", \"zon\": \"hall-a\",\n"
                   "  \"gateway\": { \"http\": \"127.0.0.1:99999\" },\n"
                   "  \"store\": { \"endpoints\": [\"127.0.0.1:0\"],\n"
                   "    \"prefix\": \"/x\", \"reads_per_s\": \"many\" },\n"
                   "  \"secret_file\": \"none.txt\",\n"
                   "  \"log\": { \"level\": \"loud\" } }",
                   "0: : 'region' is missing\n"
                   "0: : 'zone' is missing\n"
                   "1: /node: 'entry 1' is not a name: a letter or digit, "
                   "then at most 62 letters, digits, '.', '_' or '-'\n"
                   "1: /zon: unknown key; did you mean 'zone'?\n"
                   "2: /gateway: 'peer' is missing\n"
                   "2: /gateway/http: '127.0.0.1:99999' is not an IP number "
                   "with a port\n"
                   "3: /store/endpoints/0: '127.0.0.1:0' is not an IP number "
                   "with a port\n"
                   "4: /store/prefix: does not end in '/'\n"
                   "4: /store/reads_per_s: is not a number\n"
                   "5: /secret_file: can't open the file: No such file or "
                   "directory\n"
                   "6: /log/level: 'loud' is none of debug, info, warn, "
                   "error\n");
}

Test (config, settings_name_what_the_process_needs)
{
  /* An operator starts a process with settings that lack its part.  It must
     hear so with everything else that is wrong, not as a failed bind. */
  expect_settings (SETTINGS_NEED_GATEWAY | SETTINGS_NEED_CONTROL,
                   "{ \"node\": \"entry-1\", \"zone\": \"hall-a\",\n"
                   "  \"region\": \"nairobi\",\n"
                   "  \"store\": { \"endpoints\": [], \"writes\": 1 },\n"
                   "  \"secret_file\": \"secret.txt\" }",
                   "0: : 'control' is missing\n"
                   "0: : 'gateway' is missing\n"
                   "3: /store/endpoints: names no address\n"
                   "3: /store/writes: unknown key; did you mean "
                   "'writes_per_s'?\n");
}

Test (config, settings_refuse_a_short_secret)
{
  /* Whoever guesses the secret speaks as a node.  White space around it does
     not make it longer. */
  struct fnd_list findings = { 0 };
  struct settings set;
  struct buf got = BUF_INIT;

  proc_file ("short.txt", "fifteen letters                 \n");
  expect_settings (0,
                   "{ \"node\": \"entry-1\", \"zone\": \"hall-a\",\n"
                   "  \"region\": \"nairobi\",\n"
                   "  \"store\": { \"endpoints\": [\"127.0.0.1:2379\"] },\n"
                   "  \"secret_file\": \"short.txt\" }",
                   "4: /secret_file: the secret has fewer than 16 bytes\n");
  cr_expect (!settings_read ("/nonexistent", 0, &set, &findings));
  fnd_print (&findings, &got);
  cr_expect_str_eq (buf_c (&got), "/nonexistent: error: can't open the file: "
                                  "No such file or directory\n");
  settings_free (&set);
  fnd_free (&findings);
  buf_free (&got);
}
