#include <criterion/criterion.h>

#include "lib-route.h"

/* One model of three replicas and one plain service of two backend servers;
   the life of single requests. */

#define DIGEST                                                                \
  "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

#define CONFIG                                                                \
  "{\"domains\":{\"d\":{\"zone\":\"a\",\"vms\":{"                             \
  "\"v1\":{\"addr\":\"127.0.0.1:1\"},\"v2\":{\"addr\":\"127.0.0.1:2\"},"      \
  "\"v3\":{\"addr\":\"127.0.0.1:3\"}}}},"                                     \
  "\"models\":{\"lm\":{\"mode\":\"route\",\"vms\":1,\"replicas\":3,"          \
  "\"capacity\":4,\"can_resume\":true,\"tokens_per_s\":100,"                  \
  "\"not_run_status\":[503]}},"                                               \
  "\"replicas\":{"                                                            \
  "\"r1\":{\"model\":\"lm\",\"domain\":\"d\",\"mode\":\"route\",\"vms\":["    \
  "\"v1\"]},"                                                                 \
  "\"r2\":{\"model\":\"lm\",\"domain\":\"d\",\"mode\":\"route\",\"vms\":["    \
  "\"v2\"]},"                                                                 \
  "\"r3\":{\"model\":\"lm\",\"domain\":\"d\",\"mode\":\"route\",\"vms\":["    \
  "\"v3\"]}},"                                                                \
  "\"services\":{\"api\":{\"mode\":\"route\",\"capacity\":2,"                 \
  "\"not_run_status\":[503],\"backends\":{"                                   \
  "\"s1\":{\"addr\":\"127.0.0.1:11\",\"zone\":\"a\"},"                        \
  "\"s2\":{\"addr\":\"127.0.0.1:12\",\"zone\":\"a\"}}}},"                     \
  "\"accounts\":{\"acme\":{\"key_digests\":[\"" DIGEST                        \
  "\"],\"may\":[\"*\"]}}}"

static void
check (const char *script, const char *log)
{
  struct script s = script_new (CONFIG, 1);
  script_expect (&s, script, log);
  cr_expect_eq (rt_open (s.rt), 0, "%zu requests left", rt_open (s.rt));
  script_free (&s);
}

Test (life, plain_call)
{
  check ("1 arrive 1 acme api\n"
         "2 open 1/1\n"
         "3 head 1/1 200\n"
         "4 body 1/1 10\n"
         "5 whole 1/1\n",
         "1 arrive 1: connect(1/1 s1)\n"
         "2 open 1/1: send(1/1)\n"
         "3 head 1/1:\n"
         "4 body 1/1: pass(1/1)\n"
         "5 whole 1/1: end(1 done)\n");
}
