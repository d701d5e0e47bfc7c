/*
 * Requests that crash model servers, through gateways: whole requests, and
 * messages that requests share.
 */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "t/lib-cluster.h"

TestSuite (gateway_poison, .fini = proc_stop_all, .timeout = 120);

#define GATEWAYS 2
#define VMS 12
/** Maximum number of crashes before requests must be refused. */
#define MAX_CRASHES 5
/** Time until a crash that one gateway detected is evaluated and propagated.
 */
#define PROPAGATION_US 600000

static void
start (struct cluster *c)
{
  cluster_up_model (c, GATEWAYS, VMS);
  for (size_t i = 0; i < VMS; i++)
    front_fault (c->vm[i], "{\"crash_text\": \"bad\"}");
}

static int
count_crashed (const struct cluster *c)
{
  int n = 0;

  /* A timeout of 0 skips servers that are running. */
  for (size_t i = 0; i < VMS; i++)
    n += proc_wait (c->vm[i], 0) >= 0;
  return n;
}

/** A chat whose first message is @p shared and whose last one is @p own. */
static int
chat (const struct cluster *c, size_t gateway, const char *shared,
      const char *own)
{
  struct web_answer a = { 0 };
  char body[256];
  int status;

  snprintf (body, sizeof body,
            "{\"model\": \"ghala-lm\", \"max_tokens\": 3, \"stream\": true, "
            "\"messages\": ["
            "{\"role\": \"system\", \"content\": \"be kind\"}, "
            "{\"role\": \"user\", \"content\": \"%s\"}, "
            "{\"role\": \"user\", \"content\": \"%s\"}]}",
            shared, own);
  web_call (c->http[gateway], "POST", "/v1/chat/completions", FRONT_KEY, body,
            &a);
  status = a.whole ? a.status : -a.status;
  web_free (&a);
  return status;
}

/* Guards against chats that crash one server after another because of a
   message that they share, at any gateway, while no two of them are the
   same. */
Test (gateway_poison, shared_message_is_blocked)
{
  struct cluster c;
  char own[32];

  start (&c);
  for (int i = 0; i < 10; i++)
    {
      snprintf (own, sizeof own, "own %d", i);
      chat (&c, (size_t)i % GATEWAYS, "good", own);
      chat (&c, (size_t)i % GATEWAYS, "bad", own);
      usleep (PROPAGATION_US);
    }
  cr_expect_leq (count_crashed (&c), MAX_CRASHES, "%d servers crashed",
                 count_crashed (&c));
  for (size_t i = 0; i < GATEWAYS; i++)
    {
      cr_expect_eq (chat (&c, i, "bad", "new"), 503);
      cr_expect_eq (chat (&c, i, "good", "new"), 200);
      cr_expect_eq (chat (&c, i, "other", "new"), 200);
    }
}

/* Guards against a client that sends the same request repeatedly and crashes
   one server after another; its other messages must remain allowed. */
Test (gateway_poison, repeated_request_is_blocked)
{
  struct cluster c;

  start (&c);
  for (int i = 0; i < 8; i++)
    {
      chat (&c, (size_t)i % GATEWAYS, "good", "bad");
      usleep (PROPAGATION_US);
    }
  cr_expect_leq (count_crashed (&c), MAX_CRASHES, "%d servers crashed",
                 count_crashed (&c));
  for (size_t i = 0; i < GATEWAYS; i++)
    {
      cr_expect_eq (chat (&c, i, "good", "bad"), 503);
      cr_expect_eq (chat (&c, i, "good", "new"), 200);
    }
}
