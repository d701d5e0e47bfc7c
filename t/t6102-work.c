/*
 * Tests how the replica core divides VMs between models: domains of 37 VMs, a
 * large model of 16 VMs and a small one of 4, each with half of the VMs' work.
 * A request to the large model occupies its replica for longer, so the small
 * model gets ten times as many requests.
 */
#include <criterion/criterion.h>

#include "t/lib-form.h"

#define MODELS                                                                \
  "no-order-log\n size big 16\n size small 4\n"                               \
  "work-share big 50\n work-share small 50\n"                                 \
  "time-factor small 60\n"

/*
 * Guards against dividing the work by replicas.  A replica of the small model
 * works a little faster than one of the large model and was counted as its
 * equal: each domain held two large replicas and one small one, and requests
 * to the small model were rejected.  A share refers to the work of the VMs,
 * and four small replicas take as many VMs as a large one.
 */
Test (work, vms_are_divided_by_share)
{
  form_check (MODELS "lead 1\n vms a 37\n vms b 37\n run 9000\n"
                     "count-open a\n count-open b\n",
              "a: 1 big 5 small\n"
              "b: 1 big 5 small\n");
}

/*
 * A large replica has lost more VMs than the reserve, and two small replicas
 * have lost a member each.  The remaining VMs of the small replicas could only
 * wait for loads.  As their hosts preloaded the large model before there was
 * traffic, they complete the large replica within seconds.
 */
Test (work, members_of_broken_replicas_complete_a_large_one)
{
  form_check (MODELS "host-memory\n lead 1\n vms a 37\n run 9000\n traffic\n"
                     "kill a2\n kill a3\n kill a4\n kill a17\n kill a18\n"
                     "kill a21\n run 3000\n count-open a\n",
              "a: 1 big 3 small\n");
}

/*
 * The only replica of the large model has lost two members, and the reserve is
 * one VM.  The domain's five small replicas have more slots than requests.
 * One of them is closed, and its VMs, whose hosts hold the large model's
 * weights, complete the large replica within three seconds, while a load would
 * take much longer.
 */
Test (work, an_idle_replica_is_closed_for_a_missing_one)
{
  form_check (MODELS "host-memory\n lead 1\n vms a 37\n run 9000\n traffic\n"
                     "demand big 6\n demand small 16\n run 6000\n"
                     "kill a2\n kill a3\n run 3000\n count-open a\n plan\n",
              "a: 1 big 4 small\n"
              "big: wanted 1, formed 1, requests 5, reassigned 0\n"
              "small: wanted 4, formed 4, requests 13, reassigned 1\n");
}

/*
 * Guards against a replica in an evacuated zone that is closed to give its VMs
 * to another model: they may not be assigned.
 */
Test (work, evacuated_zone_gives_no_vms_to_another_model)
{
  form_check (MODELS "host-memory\n lead 1\n vms a 37\n run 9000\n traffic\n"
                     "demand big 6\n demand small 16\n run 6000\n"
                     "evacuate a\n kill a2\n kill a3\n run 3000\n"
                     "count-open a\n",
              "a: 0 big 5 small\n");
}

/*
 * As before the last one, but the small model needs all its replicas: with one
 * less, its requests would wait longer than those of the large model.  Nothing
 * is closed; the large replica waits for loads.
 */
Test (work, a_busy_replica_is_not_closed)
{
  form_check (MODELS
              "host-memory\n lead 1\n vms a 37\n vms b 37\n run 9000\n"
              "traffic\n demand big 6\n demand small 76\n run 6000\n"
              "kill a2\n kill a3\n run 3000\n count-open a\n count-open b\n",
              "a: 0 big 5 small\n"
              "b: 1 big 5 small\n");
}

/*
 * Requests to the small model take all its slots for a burst of three seconds,
 * while the large replica is complete.  No VM is reassigned.
 */
Test (work, a_short_burst_reassigns_no_vms)
{
  form_check (MODELS
              "host-memory\n lead 1\n vms a 37\n run 9000\n traffic\n"
              "demand big 4\n demand small 16\n run 6000\n demand small 60\n"
              "run 3000\n demand small 16\n run 6000\n count-open a\n",
              "a: 1 big 5 small\n");
}
