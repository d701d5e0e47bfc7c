/**
 * @file
 * The parts of cfg_parse(): one reader per kind of entry, then the checks
 * that need several kinds.
 */
#ifndef LAPISLINE_CONFIG_PARSE_H
#define LAPISLINE_CONFIG_PARSE_H

#include "config/config.h"
#include "config/read.h"

/** A parse that is under way. */
struct prs
{
  struct rd rd;
  struct cfg *cfg;
  struct json_object *top;
  struct rd_at root;
  size_t *vms_by_name; /**< indices into cfg->vms, ordered by name */
};

/** Read one named entry into @p out. */
typedef void (*prs_entry_fn) (struct prs *p, const struct rd_at *at,
                              struct json_object *json, void *out);

/**
 * Read all entries of the object at member @p key, ordered by name.
 * @param out  an array (in the arena) of structures that begin with the name
 */
void prs_entries (struct prs *p, const struct rd_at *at,
                  struct json_object *json, const char *key, size_t size,
                  prs_entry_fn fn, void **out, size_t *n);

/* parse-fleet.c: what replicas are made of. */
void prs_domains (struct prs *p);
void prs_models (struct prs *p);
void prs_replicas (struct prs *p);

/* parse-callers.c: services, who may call, and the global objects. */
void prs_services (struct prs *p);
void prs_accounts (struct prs *p);
void prs_operators (struct prs *p);
void prs_limits (struct prs *p);
void prs_policy (struct prs *p);

/* cross.c: checks over several entries. */
void prs_cross (struct prs *p);

/** As cfg_parse(), of a document that was read already. */
struct cfg *cfg_parse_object (struct json_object *top, int64_t revision,
                              struct fnd_list *findings);

extern const char *const prs_modes[];

#endif
