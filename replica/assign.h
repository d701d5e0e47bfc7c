/**
 * @file
 * The assignment of one fabric domain: which VM belongs to which replica.
 *
 * The assignment is one store value, changed by compare-and-swap:
 *   {"next": 7, "drained": ["r2"], "replicas": [{"name": "r1", "model": "m",
 *    "generation": 6, "phase": "active", "vms": ["vm-1", "vm-2"],
 *    "joining": {"vm": "vm-3", "replaces": "vm-1", "generation": 7}}]}
 */
#ifndef LAPISLINE_REPLICA_ASSIGN_H
#define LAPISLINE_REPLICA_ASSIGN_H

#include "base/str.h"

#define ASN_MAX_VMS 16

enum asn_phase
{
  ASN_ACTIVE,
  ASN_RELEASING /**< its VMs unload, but remain assigned to it */
};

/** A VM that loads weights before it replaces a leaving member. */
struct asn_joining
{
  char *vm; /**< NULL: none */
  char *replaces;
  int64_t generation; /**< generation of the replica once the VM is a member */
};

struct asn_entry
{
  char *name;
  char *model;
  int64_t generation;
  enum asn_phase phase;
  char *vms[ASN_MAX_VMS]; /**< by rank; rank 0 is the leader */
  size_t nvms;
  struct asn_joining joining;
};

/** A zero-initialized struct is an empty assignment. */
struct asn
{
  int64_t next_generation; /**< generations are never reused */
  struct asn_entry *entries;
  size_t n;
  char **drained; /**< replicas drained by operators */
  size_t ndrained;
};

/** Returns false if the text is not a valid assignment (see asn_valid()). */
bool asn_parse (struct str text, struct asn *out);
void asn_print (const struct asn *a, struct buf *out);
void asn_free (struct asn *a);
void asn_copy (const struct asn *a, struct asn *out);

/** Whether no VM and no replica name occurs twice. */
bool asn_valid (const struct asn *a);

struct asn_entry *asn_find (const struct asn *a, const char *name);

/** The entry with the VM as a member or as the joining VM, or NULL. */
struct asn_entry *asn_holder (const struct asn *a, struct str vm);

/** Append an empty active entry with a new generation. */
struct asn_entry *asn_add (struct asn *a, struct str name, struct str model);
void asn_entry_add_vm (struct asn_entry *e, struct str vm);
void asn_remove (struct asn *a, const char *name);
void asn_set_joining (struct asn *a, struct asn_entry *e, struct str vm,
                      struct str replaces);
void asn_clear_joining (struct asn_entry *e);

/** The joining VM replaces the leaving member. */
void asn_finish_joining (struct asn_entry *e);

/** Replace one member and assign a new generation. */
void asn_replace_vm (struct asn *a, struct asn_entry *e, struct str old,
                     struct str new_vm);

bool asn_is_drained (const struct asn *a, const char *name);
void asn_set_drained (struct asn *a, const char *name, bool on);

#endif
