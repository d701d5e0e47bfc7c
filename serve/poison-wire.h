/**
 * @file
 * Updates about poison requests and parts of prompts (serve/poison.h) in the
 * frames between nodes.
 */
#ifndef LAPISLINE_SERVE_POISON_WIRE_H
#define LAPISLINE_SERVE_POISON_WIRE_H

#include "net/link.h"
#include "serve/poison.h"

/** Send updates over a link.
    @param collector  the peer is a collector: also send the updates that are
                      not broadcast */
void psn_send (struct link *l, const struct psn_update *list, size_t n,
               bool collector);

/** @retval false  the row is invalid, or of a kind that is not known here */
bool psn_read_row (const Lapis__PoisonUpdate *row, struct psn_update *out);

#endif
