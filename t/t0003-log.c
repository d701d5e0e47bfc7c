#include <criterion/criterion.h>
#include <fcntl.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"

/* Lines written to standard error while `write_lines` runs. */
static char *
capture (void (*write_lines) (void))
{
  static char text[8192];
  int fds[2];
  int saved = dup (STDERR_FILENO);
  cr_assert_eq (pipe (fds), 0);
  dup2 (fds[1], STDERR_FILENO);
  close (fds[1]);
  write_lines ();
  dup2 (saved, STDERR_FILENO);
  close (saved);
  ssize_t n = read (fds[0], text, sizeof text - 1);
  close (fds[0]);
  text[n > 0 ? n : 0] = '\0';
  return text;
}

static void
write_secrets (void)
{
  LOG (process_started, LOG_C ("token", "lapis-9"), LOG_C ("key", "lapis-9"),
       LOG_C ("secret", "lapis-9"), LOG_C ("body", "lapis-9"),
       LOG_I ("key", 9999), LOG_C ("account", "broker-app"));
}

static void
write_json (void)
{
  log_setup (LOG_JSON, LOG_INFO, STR ("entry-1"));
  write_secrets ();
}

Test (log, secrets_are_redacted)
{
  char *text = capture (write_secrets);
  cr_expect_null (strstr (text, "lapis-9"), "%s", text);
  cr_expect_null (strstr (text, "9999"), "%s", text);
  cr_expect_not_null (strstr (text, "token=\"[redacted]\""), "%s", text);
  cr_expect_not_null (strstr (text, "account=\"broker-app\""), "%s", text);
  text = capture (write_json);
  cr_expect_null (strstr (text, "lapis-9"), "%s", text);
  cr_expect_null (strstr (text, "9999"), "%s", text);
}

static void
write_hostile (void)
{
  log_setup (LOG_JSON, LOG_INFO, STR ("entry-1"));
  LOG (process_started, LOG_S ("path", STR ("/a\"\n{\xff")), LOG_I ("n", -5));
}

Test (log, hostile_text_stays_one_json_line)
{
  char *text = capture (write_hostile);
  struct json_object *line = json_tokener_parse (text);
  struct json_object *value = NULL;
  cr_assert_not_null (line, "%s", text);
  cr_expect_eq (strchr (text, '\n'), text + strlen (text) - 1);
  cr_expect (json_object_object_get_ex (line, "path", &value));
  cr_expect_str_eq (json_object_get_string (value), "/a\"\n{\xef\xbf\xbd");
  cr_expect (json_object_object_get_ex (line, "n", &value));
  cr_expect_eq (json_object_get_int (value), -5);
  cr_expect (json_object_object_get_ex (line, "node", &value));
  cr_expect_str_eq (json_object_get_string (value), "entry-1");
  cr_expect (json_object_object_get_ex (line, "event", &value));
  cr_expect_eq (json_object_get_int (value), 1001);
  json_object_put (line);
}

static void
write_below_level (void)
{
  log_setup (LOG_TEXT, LOG_WARN, STR ("entry-1"));
  LOG (process_started, LOG_I ("n", 1));
}

Test (log, level_holds_back)
{
  cr_expect_str_eq (capture (write_below_level), "");
}
