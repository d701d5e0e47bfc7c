#include <criterion/criterion.h>
#include <stdio.h>

#include "fleet/hash.h"
#include "fleet/member-internal.h"

#define NODES 9
#define ROLES 900

static struct str
role_name (char *text, size_t cap, int i)
{
  snprintf (text, cap, "hall-a-%d", i);
  return str_from (text);
}

Test (hash, losing_a_node_moves_only_its_own_roles)
{
  /* A node that goes must not move the roles of those that stay: each moved
     domain would change its owner, and its replicas would wait meanwhile. */
  struct str names[NODES];
  char text[NODES][16], role[32];
  int held[NODES] = { 0 };

  for (int i = 0; i < NODES; i++)
    {
      snprintf (text[i], sizeof text[i], "entry-%d", i + 1);
      names[i] = str_from (text[i]);
    }
  for (int i = 0; i < ROLES; i++)
    {
      struct str what = role_name (role, sizeof role, i);
      size_t all = hash_pick (what, names, NODES);
      size_t less = hash_pick (what, names, NODES - 1);

      held[all]++;
      cr_expect (all == NODES - 1 || all == less, "role %d", i);
    }
  for (int i = 0; i < NODES; i++)
    cr_expect (held[i] > ROLES / NODES / 2 && held[i] < 2 * ROLES / NODES,
               "node %d holds %d", i, held[i]);
}

Test (hash, order_of_names_does_not_matter)
{
  /* Nodes list their members in any order and must name the same holder. */
  struct str names[] = { STR ("a"), STR ("b"), STR ("c"), STR ("d") };
  struct str turned[] = { STR ("d"), STR ("c"), STR ("b"), STR ("a") };
  char role[32];

  for (int i = 0; i < ROLES; i++)
    {
      struct str what = role_name (role, sizeof role, i);
      size_t x[3], y[3], all[4];

      cr_expect_eq (hash_pick_k (what, names, 4, x, 3), 3);
      cr_expect_eq (hash_pick_k (what, turned, 4, y, 3), 3);
      cr_expect_eq (hash_pick_k (what, names, 4, all, 9), 4);
      for (int j = 0; j < 3; j++)
        cr_expect (x[j] == 3 - y[j] && x[j] == all[j], "role %d", i);
      cr_expect_eq (x[0], hash_pick (what, names, 4));
    }
}

Test (hash, ids_of_boots_differ)
{
  /* Probes find their target by a hash of name and boot.  When the new boot
     of one VM had the id of another node, nobody probed the VM any more, and
     its death was noticed by no one. */
  enum
  {
    NAMES = 400,
    BOOTS = 8
  };
  static uint64_t ids[NAMES * BOOTS];
  size_t n = 0;

  for (int i = 0; i < NAMES; i++)
    for (uint64_t boot = 1000; boot < 1000 + BOOTS; boot++)
      {
        char name[16];

        snprintf (name, sizeof name, "n%d", i + 1);
        ids[n] = mbt_id (str_from (name), boot);
        for (size_t j = 0; j < n; j++)
          cr_assert_neq (ids[j], ids[n], "%s boot %d", name, (int)boot);
        n++;
      }
}
