/**
 * @file
 * Starts control processes, all in zone "hall-a" of region "nairobi", and
 * opens links to them as their gateways would.
 */
#ifndef LAPISLINE_T_LIB_CONTROL_H
#define LAPISLINE_T_LIB_CONTROL_H

#include "net/link.h"
#include "t/lib-front.h"

/**
 * Writes settings to the file NODE.json.
 * @param store  address of the store
 * @param peers  addresses separated by spaces, or ""
 * @param more   further keys, each with a comma before it, or ""
 * @return its path, as from proc_file()
 */
const char *control_settings (const char *node, const char *store,
                              const char *peers, const char *more);

/** Starts a control process and waits until it is ready. */
struct proc *control_up (const char *settings);

/** Pushes the folder "config" of proc_dir(): "--settings" PATH or "--store"
    ADDR. */
void control_push (const char *option, const char *value);

/** A link whose hello has the role of a node's gateway. */
struct control_gateway
{
  const char *node;
  struct link *link;
  enum link_state state;
  void (*on_view) (struct control_gateway *g, const Lapis__View *view);
};

/** Connects; initializes @p g, which must stay valid until the link is
    down. */
void control_gateway_up (struct control_gateway *g, uv_loop_t *loop,
                         const char *node, const char *peer,
                         void (*on_view) (struct control_gateway *,
                                          const Lapis__View *));

#endif
