/* The folders of examples/ are in order, warnings included, and have the size
   that they tell of. */
#include <criterion/criterion.h>

#include "config/folder.h"

static void
expect (const char *path, size_t vms, size_t replicas, size_t accounts)
{
  struct fnd_list findings = { 0 };
  struct buf merged = BUF_INIT;
  struct buf printed = BUF_INIT;
  struct cfg_folder folder;
  struct cfg *c;

  cr_assert (cfg_folder_read (path, &folder, &findings));
  c = cfg_folder_check (&folder, &merged, &findings);
  fnd_print (&findings, &printed);
  cr_expect_str_eq (buf_c (&printed), "");
  cr_assert_not_null (c);
  cr_expect_eq (c->nvms, vms);
  cr_expect_eq (c->nreplicas, replicas);
  cr_expect_eq (c->naccounts, accounts);
  cfg_unref (c);
  cfg_folder_free (&folder);
  fnd_free (&findings);
  buf_free (&merged);
  buf_free (&printed);
}

Test (examples, are_in_order)
{
  expect ("examples/demo", 2, 1, 2);
  expect ("examples/nairobi", 286, 65, 10);
  expect ("examples/taipei", 273, 65, 10);
}
