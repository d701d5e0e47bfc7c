/*
 * Entries of another writer in the store, with real processes: nodes go on
 * serving and follow the entries of the others.
 */
#include <criterion/criterion.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/json.h"
#include "t/lib-rack.h"

TestSuite (odd_entries, .fini = proc_stop_all, .timeout = 120);

#define DEPTH 50000

static void
put (const struct rack *r, const char *key, const char *value, size_t len)
{
  struct web_answer a = { 0 };
  struct buf body = BUF_INIT;
  gchar *text = g_base64_encode ((const guchar *)value, len);

  buf_add_c (&body,
             "{\"expected\": [], \"remove\": [], \"writes\": [{\"key\": ");
  buf_add_json (&body, str_from (key));
  buf_addf (&body, ", \"value\": \"%s\", \"lease\": 0}]}", text);
  cr_assert (
      web_call (r->platform_addr, "POST", "/kv-txn", NULL, buf_c (&body), &a));
  web_free (&a);
  buf_free (&body);
  g_free (text);
}

static void
put_text (const struct rack *r, const char *key, const char *value)
{
  put (r, key, value, strlen (value));
}

static void
put_nested (const struct rack *r, const char *key, const char *open)
{
  struct buf text = BUF_INIT;

  for (int i = 0; i < DEPTH; i++)
    buf_add_c (&text, open);
  put (r, key, text.ptr, text.len);
  buf_free (&text);
}

#define SERVER                                                                \
  "\"service\": \"lm\", \"zone\": \"z1\", \"domain\": \"d1\", \"version\": "  \
  "\"v1\", \"state\": \"ready\", "
#define AT "\"address\": \"127.0.0.1:9\", "

static const char *const values[] = {
  "",
  "null",
  "[]",
  "7",
  "\"x\"",
  "{",
  "{}",
  "{" SERVER "\"address\": \"127.0.0.1:99999\"}",
  "{" SERVER "\"address\": \"127.0.0.1:0\"}",
  "{" SERVER "\"address\": \"127.0.0.1:-1\"}",
  "{" SERVER "\"address\": 7}",
  "{" SERVER "\"address\": \"[::1]:99999999999999999999\"}",
  "{" SERVER AT "\"capacity\": -5, \"cold_left_ms\": -1e300, \"seq\": 1e300}",
  "{" SERVER AT "\"capacity\": 1e999, \"born\": 99999999999999999999999}",
  "{" SERVER AT "\"capacity\": 8, \"born\": -9223372036854775808, "
  "\"group\": {\"name\": \"r1\", \"epoch\": 9223372036854775807, "
  "\"rank\": 4294967295, \"state\": \"open\"}}",
  "{" SERVER AT "\"capacity\": 8, \"group\": {\"name\": \"r1\", \"epoch\": "
  "-1, \"rank\": -1, \"state\": \"ready\"}, \"models\": [null, 7, {}]}",
  "{" SERVER AT "\"capacity\": 8, \"group\": [], \"models\": {}, "
  "\"staged\": [[], null]}",
  "{" SERVER AT "\"capacity\": 8, \"zone\": \"\\u0000\\ud800\"}",
};

static const char *const prefixes[]
    = { "servers/odd", "lapisline/nodes/odd", "lapisline/blocked/odd",
        "lapisline/mix", "op/evacuate/odd" };

/** Under each prefix: all values, nested ones, and odd keys. */
static void
put_all (const struct rack *r)
{
  for (size_t p = 0; p < sizeof prefixes / sizeof prefixes[0]; p++)
    {
      char key[300];
      for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
        {
          snprintf (key, sizeof key, "%s%zu", prefixes[p], i);
          put_text (r, key, values[i]);
        }
      snprintf (key, sizeof key, "%s-a", prefixes[p]);
      put_nested (r, key, "[");
      snprintf (key, sizeof key, "%s-o", prefixes[p]);
      put_nested (r, key, "{\"a\":");
      put_text (r, prefixes[p], values[14]);
      snprintf (key, sizeof key, "%s/%0150d", prefixes[p], 7);
      put_text (r, key, values[12]);
      snprintf (key, sizeof key, "%s\n\x01", prefixes[p]);
      put_text (r, key, values[12]);
    }
  put_text (r, "servers/", values[12]);
  put_text (r, "lapisline/nodes/", "{}");
}

/** Another writer copies the entry of a member. */
static void
copy_entry (const struct rack *r, const char *from, const char *to)
{
  struct web_answer a = { 0 };
  struct json_object *o;
  gsize len;
  guchar *value;

  cr_assert (web_call (r->platform_addr, "GET", from, NULL, NULL, &a));
  o = jsn_parse (buf_str (&a.body));
  value = g_base64_decode (jsn_text (o, "value"), &len);
  put (r, to, (const char *)value, len);
  g_free (value);
  json_object_put (o);
  web_free (&a);
}

static void
expect_served (const struct rack *r)
{
  for (int i = 0; i < RACK_NODES; i++)
    {
      cr_expect (rack_call_until (r, i, "/safe/x", rack_headers ("a"), 200),
                 "node %d", i + 1);
      cr_expect (rack_call_until (r, i, "/stream/x", rack_headers ("b"), 200),
                 "node %d", i + 1);
    }
}

/* Guards against nodes that end, or stop following the list of servers, when
   another writer has left odd entries. */
Test (odd_entries, nodes_go_on)
{
  struct rack r;
  int runs;

  rack_start_all (&r, 6);
  put_all (&r);
  usleep (1500000);
  expect_served (&r);
  copy_entry (&r, "/kv-key?key=servers/e2", "servers/odd-copy");
  copy_entry (&r, "/kv-key?key=servers/e1", "servers/aaa-copy");
  usleep (1000000);
  rack_set (&r, "{\"server\": \"e1\", \"dead\": true}");
  usleep (3000000);
  rack_set (&r, "{\"server\": \"p1\", \"unlisted\": true}");
  usleep (1500000);
  runs = rack_get_count (&r, "p1", "runs");
  for (int k = 0; k < 10; k++)
    for (int i = 0; i < RACK_NODES; i++)
      rack_call (&r, i, "/once/x", "c", NULL, NULL);
  cr_expect_eq (rack_get_count (&r, "p1", "runs"), runs);
  for (int i = 0; i < RACK_NODES; i++)
    {
      cr_expect (rack_call_until (&r, i, "/safe/x", rack_headers ("a"), 200));
      proc_signal (r.node[i], SIGTERM);
      cr_expect_eq (proc_wait (r.node[i], PROC_WAIT_MS), 0, "node %d", i + 1);
    }
}
