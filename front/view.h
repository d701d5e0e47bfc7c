/**
 * @file
 * What a gateway keeps of its control's words; used by view*.c only.
 */
#ifndef LAPISLINE_FRONT_VIEW_H
#define LAPISLINE_FRONT_VIEW_H

#include "front/gateway.h"

/** Owned copy of one view's lists; all zero is valid. */
struct view_lists
{
  struct gw_node *nodes;
  size_t nnodes;
  struct rt_replica *replicas;
  size_t nreplicas;
  struct str *leaving; /**< backend servers of plain services */
  size_t nleaving;
  char **texts; /**< every string above */
  size_t ntexts;
};

/**
 * Read a view's lists; its spans count from now.
 * @param old       the last lists; what the view does not know is copied
 * @param new_link  control may have restarted and not know yet who leaves
 */
void view_lists_read (struct view_lists *l, const struct view_lists *old,
                      const struct cfg *cfg, const Lapis__View *v,
                      bool new_link);
/** Whether a backend server of a plain service leaves. */
bool view_lists_leaving (const struct view_lists *l, struct str backend);
void view_lists_free (struct view_lists *l);

/** A configuration on its way; all zero is valid. */
struct view_config
{
  int64_t revision;
  uint8_t hash[32];
  struct buf text;           /**< the bytes from the start, without a gap */
  uint8_t hash_in_force[32]; /**< of the text last taken */
};

/** One part of a text that exceeds a frame; the last one puts it in force. */
void view_config_chunk (struct view_config *c, struct gw *g,
                        const Lapis__ConfigChunk *chunk);

/** The text, or the word that it has not changed, in a view. */
void view_config_view (struct view_config *c, struct gw *g,
                       const Lapis__View *v);

/** Forget what has come in part. */
void view_config_clear (struct view_config *c);

#endif
