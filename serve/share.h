/**
 * @file
 * The list of backend servers as frames between nodes.
 */
#ifndef LAPISLINE_SERVE_SHARE_H
#define LAPISLINE_SERVE_SHARE_H

#include "net/link.h"
#include "serve/backends.h"

/**
 * Send what has changed since version @p *told of the list, or all of it when
 * that is 0, and bring @p *told up to date.
 * @param age_ms  of the reading
 * @return  bytes that it takes on the link
 */
size_t shr_send (struct link *l, struct bks *b, clk_ms age_ms, uint64_t *told);

/** Take such a frame. @return whether anything changed */
bool shr_take (struct bks *b, clk_ms now, const Lapis__ServerList *list);

#endif
