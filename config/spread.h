/**
 * @file
 * How a configuration that was accepted reaches every node (decision core).
 *
 * Accepted means: the compare-and-swap of the manifest key took effect.  A
 * manifest names the merged document by its SHA-256 and its change number;
 * its revision is the store's mod_revision of the manifest key.  A node takes
 * whole documents only, only when the hash fits, and only a higher revision
 * than it has; so nothing reverts and nothing is in force by halves.
 *
 * Two control processes per zone (chosen by rendezvous hash over the live
 * nodes of the zone) watch the store; the others learn from peers by
 * ConfigHave and fetch by ConfigWant/ConfigChunk.  A node that boots while
 * the store is down takes the highest that a reachable peer holds.
 *
 * What is lost on the way heals by itself: each second one peer is told what
 * is in force here, and answers when it has more; readers read the manifest
 * again now and then, as a watch can go silent.
 */
#ifndef LAPISLINE_CONFIG_SPREAD_H
#define LAPISLINE_CONFIG_SPREAD_H

#include "base/clock.h"
#include "base/digest.h"

struct spr;

enum spr_event_kind
{
  SPR_TICK,
  SPR_STORE_MANIFEST, /**< read or watched: revision (0: there is none),
                           hash, seen */
  SPR_STORE_DOCUMENT, /**< revision, hash, bytes */
  SPR_STORE_FAILED,   /**< no answer, or the watch ended */
  SPR_PEER_UP,        /**< peer */
  SPR_PEER_DOWN,      /**< peer */
  SPR_PEER_HAVE,      /**< peer, revision, hash, size */
  SPR_PEER_WANT,      /**< peer, revision, hash */
  SPR_PEER_CHUNK,     /**< peer, revision, hash, offset, size, bytes */
  SPR_READER /**< on: whether this node reads the store for its zone */
};

struct spr_event
{
  enum spr_event_kind kind;
  uint64_t peer; /**< a link's number, given by the shell */
  int64_t revision;
  uint8_t hash[DIG_SIZE];
  size_t offset;
  size_t size;
  struct str bytes;
  int64_t seen; /**< revision of the store at the read */
  bool on;
};

enum spr_action_kind
{
  SPR_READ_MANIFEST,
  SPR_READ_DOCUMENT, /**< hash */
  SPR_WATCH,         /**< the manifest key, from revision; instead of the
                          watch that there may be */
  SPR_SEND_HAVE,     /**< peer, revision, hash, size */
  SPR_SEND_WANT,     /**< peer, revision, hash */
  SPR_SEND_CHUNK,    /**< peer, revision, hash, offset, size, bytes */
  SPR_IN_FORCE       /**< revision, bytes: to be parsed and handed on */
};

struct spr_action
{
  enum spr_action_kind kind;
  uint64_t peer;
  int64_t revision;
  uint8_t hash[DIG_SIZE];
  size_t offset;
  size_t size;
  struct str bytes; /**< owned by the core, valid until the next event */
};

/** SPR_TICK is due every SPR_TICK_MS. */
#define SPR_TICK_MS ((clk_ms)100)

/** Bytes of a chunk at most. */
#define SPR_CHUNK ((size_t)32768)

struct spr *spr_new (uint64_t seed);
void spr_free (struct spr *s);

/** Feed one event; actions are read with spr_next() until it gives false. */
void spr_event (struct spr *s, clk_ms now, const struct spr_event *ev);
bool spr_next (struct spr *s, struct spr_action *out);

/** Documents whose hash or size was wrong, and fetches begun anew. */
struct spr_counts
{
  uint64_t adopted, bad_documents, bad_chunks, timeouts, served;
};

const struct spr_counts *spr_counts (const struct spr *s);
int64_t spr_revision (const struct spr *s);
struct str spr_document (const struct spr *s);

#endif
