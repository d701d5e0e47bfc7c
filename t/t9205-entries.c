/* Entries of the list of backend servers: single fields, invalid entries,
   and servers that restart under the same id. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/rng.h"
#include "platform/platform.h"
#include "serve/backends.h"
#include "serve/invalid-entries.h"
#include "t/lib-rack.h"

TestSuite (serve, .fini = proc_stop_all, .timeout = 90);

/** Fields of a complete entry. */
static const char *const fields[]
    = { "\"service\":\"lm\"",
        "\"address\":\"10.0.0.1:80\"",
        "\"zone\":\"z1\"",
        "\"version\":\"v1\"",
        "\"capacity\":26",
        "\"state\":\"ready\"",
        "\"seq\":4",
        "\"cold_left_ms\":0",
        "\"born\":1788525883000",
        "\"stage\":\"both\"",
        "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]",
        "\"domain\":\"z1-d0\"",
        "\"staged\":[\"m\"]",
        "\"group\":{\"name\":\"r1\",\"epoch\":5,\"rank\":0,"
        "\"state\":\"open\"}" };
#define FIELDS (sizeof fields / sizeof fields[0])

/** Writes an entry in which field @p at is replaced; "" omits the field. */
static void
build_json (struct buf *out, size_t at, const char *instead)
{
  buf_clear (out);
  buf_add_char (out, '{');
  for (size_t i = 0; i < FIELDS; i++)
    {
      const char *text = i == at ? instead : fields[i];
      if (text[0] == '\0')
        continue;
      if (out->len > 1)
        buf_add_char (out, ',');
      buf_add_c (out, text);
    }
  buf_add_char (out, '}');
}

static bool
parses (struct str value, struct bks_entry *e, const char **invalid)
{
  struct arena text = { 0 };
  bool ok = plt_parse_server (STR ("servers/i-1"), value, &text, e, invalid);

  arena_free (&text);
  return ok;
}

Test (entries, complete)
{
  struct buf json = BUF_INIT;
  struct arena text = { 0 };
  struct bks_entry e;

  build_json (&json, FIELDS, "");
  cr_assert (plt_parse_server (STR ("servers/i-1"), buf_str (&json), &text, &e,
                               NULL));
  cr_expect (str_is (e.id, "i-1") && str_is (e.service, "lm"));
  cr_expect (str_is (e.model, "m") && str_is (e.replica, "r1"));
  cr_expect_eq (e.capacity, 26);
  cr_expect_eq (e.generation, 5);
  cr_expect_eq (e.member_state, BKS_OPEN);
  cr_expect_eq (e.start_time, 1788525883000);
  arena_free (&text);
  buf_free (&json);
}

/* Fields that a server without a model or in a service without models
   omits. */
Test (entries, optional_fields)
{
  struct buf json = BUF_INIT;
  struct bks_entry e;

  for (size_t i = 8; i < FIELDS; i++)
    {
      build_json (&json, i, "");
      cr_expect (parses (buf_str (&json), &e, NULL), "without %s", fields[i]);
    }
  build_json (&json, 13, "\"group\":null");
  cr_expect (parses (buf_str (&json), &e, NULL));
  cr_expect_eq (e.member_state, BKS_NO_REPLICA);
  buf_free (&json);
}

/*
 * Guards against replacing a missing or invalid field by zero: an unknown
 * state would count as ready, and a capacity of the wrong type as no slots.
 * The entry is rejected as a whole.
 */
Test (entries, invalid_fields)
{
  static const struct
  {
    size_t at;
    const char *text, *invalid;
  } rows[] = {
    { 0, "", "service" },
    { 0, "\"service\":7", "service" },
    { 0, "\"service\":\"\"", "service" },
    { 1, "", "address" },
    { 1, "\"address\":\"here\"", "address" },
    { 1, "\"address\":\"10.0.0.1:99999\"", "address" },
    { 2, "\"zone\":[]", "zone" },
    { 3, "", "version" },
    { 4, "\"capacity\":\"26\"", "capacity" },
    { 4, "\"capacity\":-3", "capacity" },
    { 4, "\"capacity\":2.5", "capacity" },
    { 4, "\"capacity\":900000000000", "capacity" },
    { 5, "", "state" },
    { 5, "\"state\":\"resting\"", "state" },
    { 5, "\"state\":1", "state" },
    { 6, "\"seq\":-1", "seq" },
    { 7, "\"cold_left_ms\":{}", "cold_left_ms" },
    { 8, "\"born\":\"yesterday\"", "born" },
    { 8, "\"born\":17.5", "born" },
    { 8, "\"born\":-1", "born" },
    { 10, "\"models\":{\"name\":\"m\"}", "models" },
    { 10, "\"models\":[4]", "models" },
    { 11, "\"domain\":true", "domain" },
    { 12, "\"staged\":[null]", "staged" },
    { 13, "\"group\":\"r1\"", "group" },
    { 13, "\"group\":{}", "name" },
    { 13,
      "\"group\":{\"name\":\"r1\",\"epoch\":-5,\"rank\":0,"
      "\"state\":\"open\"}",
      "epoch" },
    { 13,
      "\"group\":{\"name\":\"r1\",\"epoch\":5,\"rank\":64,"
      "\"state\":\"open\"}",
      "rank" },
    { 13,
      "\"group\":{\"name\":\"r1\",\"epoch\":5,\"rank\":0,"
      "\"state\":\"sleepy\"}",
      "state" },
  };
  struct buf json = BUF_INIT;
  struct bks_entry e;

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      const char *invalid = NULL;
      build_json (&json, rows[i].at, rows[i].text);
      cr_expect_not (parses (buf_str (&json), &e, &invalid), "row %zu: %s", i,
                     rows[i].text);
      cr_expect (invalid && strcmp (invalid, rows[i].invalid) == 0,
                 "row %zu: %s", i, invalid ? invalid : "nothing");
    }
  buf_free (&json);
}

Test (entries, not_an_object)
{
  static const char *const texts[]
      = { "", "null", "7", "[]", "\"text\"", "{", "{]", "\xff\xfe" };
  struct bks_entry e;
  struct arena text = { 0 };

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    cr_expect_not (parses (str_from (texts[i]), &e, NULL), "%s", texts[i]);
  cr_expect_not (
      plt_parse_server (STR ("servers/"), STR ("{}"), &text, &e, NULL));
  cr_expect_not (
      plt_parse_server (STR ("servers/a/b"), STR ("{}"), &text, &e, NULL));
  arena_free (&text);
}

/* Entries with random byte changes are either rejected or have values
   within the limits that other code relies on. */
Test (entries, random_byte_changes)
{
  struct buf json = BUF_INIT;
  struct rng rng;

  rng_seed (&rng, 11);
  for (int i = 0; i < 20000; i++)
    {
      struct bks_entry e;
      build_json (&json, FIELDS, "");
      for (uint64_t k = rng_below (&rng, 4); k < 4; k++)
        json.ptr[rng_below (&rng, json.len)] = (char)rng_below (&rng, 256);
      if (!parses (buf_str (&json), &e, NULL))
        continue;
      cr_assert (e.capacity >= 1 && e.capacity <= 100000);
      cr_assert (e.rank < FRM_MAX_MEMBERS && e.generation >= 0
                 && e.start_time >= 0);
      cr_assert_leq (e.member_state, BKS_BROKEN);
    }
  buf_free (&json);
}

/* The list is read three times per second; an entry that cannot be parsed
   is logged when it appears and when it changes. */
Test (entries, each_change_is_logged_once)
{
  struct inv *u = inv_new ();

  inv_begin_list (u);
  cr_expect (inv_record (u, STR ("servers/x"), STR ("{")));
  inv_end_list (u);
  inv_begin_list (u);
  cr_expect_not (inv_record (u, STR ("servers/x"), STR ("{")));
  cr_expect (inv_record (u, STR ("servers/y"), STR ("{")));
  inv_end_list (u);
  cr_expect_eq (inv_count (u), 2);
  inv_begin_list (u);
  cr_expect (inv_record (u, STR ("servers/x"), STR ("}")));
  inv_end_list (u);
  cr_expect_eq (inv_count (u), 1);
  inv_free (u);
}

/* --- incarnations ------------------------------------------------------ */

static const struct bks_entry *
update_list (struct bks *b, clk_ms now, const struct bks_entry *e)
{
  size_t n;

  bks_update (b, now, now, e, 1);
  return &bks_list (b, &n)[0]->e;
}

/*
 * Guards against sending requests to a process that no longer holds its model.
 * A server restarts under its id, and a list that was read earlier, or sent by
 * a node that is behind, shows the previous incarnation as open in a replica.
 */
Test (incarnations, earlier_never_replaces_later)
{
  struct bks *b = bks_new ();
  struct bks_entry old = { .id = STR ("a"),
                           .service = STR ("lm"),
                           .capacity = 4,
                           .replica = STR ("r1"),
                           .generation = 5,
                           .member_state = BKS_OPEN,
                           .start_time = 1000 };
  struct bks_entry restarted = {
    .id = STR ("a"), .service = STR ("lm"), .capacity = 4, .start_time = 2000
  };
  struct bks_entry no_start_time = old;

  no_start_time.start_time = 0;
  cr_expect_eq (update_list (b, 1000, &old)->member_state, BKS_OPEN);
  cr_expect_eq (update_list (b, 2000, &restarted)->member_state,
                BKS_NO_REPLICA);
  cr_expect_eq (update_list (b, 3000, &old)->member_state, BKS_NO_REPLICA);
  cr_expect_eq (update_list (b, 4000, &no_start_time)->member_state,
                BKS_NO_REPLICA);
  cr_expect_eq (update_list (b, 5000, &restarted)->start_time, 2000);
  bks_free (b);
}

/* The load and the failures of an endpoint are recorded for one
   incarnation. */
Test (incarnations, each_is_a_separate_endpoint)
{
  cr_expect_neq (dsp_endpoint_hash (STR ("a"), 1000, 5),
                 dsp_endpoint_hash (STR ("a"), 2000, 5));
  cr_expect_neq (dsp_endpoint_hash (STR ("a"), 1000, 5),
                 dsp_endpoint_hash (STR ("a"), 1000, 6));
}

/* --- with running processes -------------------------------------------- */

/*
 * The list contains two entries by another writer: one that is not JSON and
 * one with an unknown state.  Requests succeed because none is sent to these
 * two servers.
 */
Test (serve, invalid_entries_are_ignored)
{
  struct rack r;
  struct buf text = BUF_INIT;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"entry\": {\"id\": \"x1\", \"value\": \"{nonsense\"}}");
  rack_set (&r, "{\"entry\": {\"id\": \"x2\", \"value\": "
                "\"{\\\"service\\\":\\\"app\\\",\\\"address\\\":"
                "\\\"127.0.0.1:9\\\",\\\"zone\\\":\\\"z1\\\","
                "\\\"version\\\":\\\"v1\\\",\\\"capacity\\\":8,"
                "\\\"state\\\":\\\"resting\\\",\\\"seq\\\":1,"
                "\\\"cold_left_ms\\\":0}\"}}");
  usleep (1500000);
  for (int i = 0; i < 20; i++)
    cr_expect_eq (rack_call (&r, i % 2, "/safe/x", "a", NULL, NULL), 200);
  cr_expect_eq (rack_stream (&r, 0, "s1", &text), 200);
  buf_free (&text);
}

/*
 * A member of the only replica restarts under its id and address.  The replica
 * is formed again from the same servers, and then a new stream succeeds.
 */
Test (serve, restarted_member_rejoins)
{
  struct rack r;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"server\": \"e2\", \"reborn\": true}");
  for (int i = 0; i < 50; i++)
    {
      struct buf text = BUF_INIT;
      char id[16];
      snprintf (id, sizeof id, "s%d", i);
      int status = rack_stream (&r, 0, id, &text);
      buf_free (&text);
      if (i > 5 && status == 200)
        return;
      usleep (100000);
    }
  cr_assert (false, "no stream succeeded after the restart");
}
