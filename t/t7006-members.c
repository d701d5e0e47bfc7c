/*
 * Leader of a managed replica, derived from the ranks that its members report,
 * for a gateway that was started without a control process.  With a wrong
 * leader, requests would be sent to a replica that lacks a VM.
 */
#include <criterion/criterion.h>
#include <stdio.h>

#include "base/str.h"
#include "front/members.h"

#define MAX_MEMBERS 8

struct row
{
  const char *said; /**< "GENERATION/RANK@TIME" of each member */
  size_t need;
  const char *found; /**< "leader INDEX at TIME" or "none" */
};

static const struct row rows[] = {
  { "5/0@10 5/1@20", 2, "leader 0 at 10" },
  { "5/1@10 5/0@20", 2, "leader 1 at 10" },
  { "5/2@9 0/-1@30 5/0@20 5/1@8", 3, "leader 2 at 8" },
  /* a rank is missing, not matching, or not reported */
  { "5/0@10", 2, "none" },
  { "5/1@10 5/2@20", 2, "none" },
  { "5/0@10 5/1@0", 2, "none" },
  { "5/0@0 5/1@10", 2, "none" },
  { "5/-1@10 5/-1@20", 2, "none" },
  /* a replaced VM is back and reports the same rank as its replacement */
  { "5/0@10 5/1@20 5/1@30", 2, "none" },
  { "5/0@10 5/0@20 5/1@30", 2, "none" },
  /* members of two generations: not combined; the newest complete one is used
   */
  { "5/0@10 6/1@20", 2, "none" },
  { "5/0@10 5/1@20 6/1@30", 2, "leader 0 at 10" },
  { "5/0@10 5/1@20 6/1@30 6/0@40", 2, "leader 3 at 30" },
  { "6/0@10 6/1@20 5/1@30 5/0@40", 2, "leader 0 at 10" },
};

static size_t
read_said (const char *text, struct member_report *said)
{
  size_t n = 0;
  int used;
  long long generation, rank, at;

  while (sscanf (text, " %lld/%lld@%lld%n", &generation, &rank, &at, &used)
         == 3)
    {
      cr_assert_lt (n, MAX_MEMBERS);
      said[n++] = (struct member_report){ generation, rank, at };
      text += used;
    }
  return n;
}

Test (members, leader_by_rank)
{
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct member_report said[MAX_MEMBERS];
      size_t n = read_said (rows[i].said, said);
      char got[64] = "none";
      clk_ms at;
      size_t leader = members_leader (said, n, rows[i].need, &at);
      if (leader < n)
        snprintf (got, sizeof got, "leader %zu at %lld", leader,
                  (long long)at);
      cr_expect_str_eq (got, rows[i].found, "%s: %s", rows[i].said, got);
      cr_expect_eq (leader < n, at != 0);
    }
}
