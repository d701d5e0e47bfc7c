/*
 * Tests the formation of replicas by demand over all domains: three domains of
 * 27 VMs, a large model of 12 VMs and a small one of 6, with equal shares, so
 * that each domain holds one large and two small replicas at first.
 */
#include <criterion/criterion.h>

#include "t/lib-form.h"

#define DOMAINS                                                               \
  "no-order-log\n size big 12\n size small 6\n"                               \
  "work-share big 50\n work-share small 50\n host-memory\n"                   \
  "lead 1\n vms a 27\n vms b 27\n vms c 27\n run 9000\n traffic\n"

#define COUNT "count-open a\n count-open b\n count-open c\n"

/*
 * The callers of the small model wait, while the large model is hardly used.
 * One large replica closes, and the hosts of its members hold the weights of
 * the small model: both new replicas are open within 5 s.
 */
Test (demand, an_idle_large_replica_gives_its_vms_to_the_small_model)
{
  form_check (DOMAINS "demand big 4\n demand small 40\n run 5000\n" COUNT,
              "a: 0 big 4 small\n"
              "b: 1 big 2 small\n"
              "c: 1 big 2 small\n");
}
