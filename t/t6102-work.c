/*
 * Which model gets the VMs, seen by the forming core: domains of 37 VMs, a
 * large model of 16 and a small one of 4 that each take half of the VMs' work.
 * A request to the large model occupies its replica for longer, so ten times
 * as many come for the small one.
 */
#include <criterion/criterion.h>

#include "t/lib-form.h"

#define MODELS                                                                \
  "quiet\n size big 16\n size small 4\n share big 50\n share small 50\n"      \
  "pace small 60\n"

/*
 * Callers of the small model are refused: a replica of it works a little
 * faster than one of the large model, so that counted by replicas one of it
 * had as much to give as one of the large, and each domain held two of the
 * large and one of the small.  A share is of the VMs' work, and four small
 * replicas take as many VMs as one of the large.
 */
Test (work, half_of_the_vms_are_for_each_model)
{
  form_play (MODELS "owner 1\n vms a 37\n vms b 37\n run 9000\n"
                    "count a\n count b\n",
             "a: 1 big 5 small\n"
             "b: 1 big 5 small\n");
}
