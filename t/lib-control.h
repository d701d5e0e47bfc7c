/**
 * @file
 * Control processes as they ship, all of zone "hall-a" in region "nairobi",
 * and links of a test in the place of their gateways.
 */
#ifndef LAPISLINE_T_LIB_CONTROL_H
#define LAPISLINE_T_LIB_CONTROL_H

#include "net/link.h"
#include "t/lib-front.h"

/**
 * Write settings as file NODE.json.
 * @param store  address of the store
 * @param peers  addresses with a space between, or ""
 * @param more   further keys, each with a comma before it, or ""
 * @return its path, as of proc_file()
 */
const char *control_settings (const char *node, const char *store,
                              const char *peers, const char *more);

/** Start a control process and wait until it is ready. */
struct proc *control_up (const char *settings);

/** Push folder "config" of proc_dir(): "--settings" PATH or "--store" ADDR. */
void control_push (const char *option, const char *value);

/** A link that greets as the gateway of a node. */
struct control_gateway
{
  const char *node;
  struct link *link;
  enum link_state state;
  void (*on_view) (struct control_gateway *g, const Lapis__View *view);
};

/** Connect; @p g is cleared and must stay until the link is down. */
void control_gateway_up (struct control_gateway *g, uv_loop_t *loop,
                         const char *node, const char *peer,
                         void (*on_view) (struct control_gateway *,
                                          const Lapis__View *));

#endif
