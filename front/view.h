/**
 * @file
 * What a gateway stores of the views that its control process sends; used by
 * view*.c only.
 */
#ifndef LAPISLINE_FRONT_VIEW_H
#define LAPISLINE_FRONT_VIEW_H

#include "front/gateway.h"

/** Owned copy of one view's lists; all zero is an empty one. */
struct view_lists
{
  struct gw_node *nodes;
  size_t nnodes;
  struct rt_replica *replicas;
  size_t nreplicas;
  struct str
      *shutting_down; /**< backend servers of plain services that shut down */
  size_t nleaving;
  char **texts; /**< memory of every string above */
  size_t ntexts;
};

/**
 * Read the lists of a view; its periods start now.
 * @param old       the previous lists; entries that the view lacks are copied
 * @param new_link  the control process may have restarted and not yet have the
 *                  list of servers that shut down
 */
void view_lists_read (struct view_lists *l, const struct view_lists *old,
                      const struct cfg *cfg, const Lapis__View *v,
                      bool new_link);
/** Whether a backend server of a plain service shuts down. */
bool view_lists_is_leaving (const struct view_lists *l, struct str backend);
void view_lists_free (struct view_lists *l);

/** A configuration that is being received; all zero is an empty one. */
struct view_config
{
  int64_t revision;
  uint8_t hash[32];
  struct buf text;         /**< the bytes received, without a gap */
  uint8_t active_hash[32]; /**< of the text last activated */
};

/** Handle one chunk of a text that is too large for a frame; the last one
    activates the configuration. */
void view_config_chunk (struct view_config *c, struct gw *g,
                        const Lapis__ConfigChunk *chunk);

/** Handle the configuration in a view: a text, or only a revision if the text
    is unchanged. */
void view_config_view (struct view_config *c, struct gw *g,
                       const Lapis__View *v);

/** Discard an incomplete text. */
void view_config_clear (struct view_config *c);

#endif
