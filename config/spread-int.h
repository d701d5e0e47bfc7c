/**
 * @file
 * What the parts of the spread core share: spread.c (events, store, what is
 * in force), spread-fetch.c (from peers), spread-serve.c (to peers).
 */
#ifndef LAPISLINE_CONFIG_SPREAD_INT_H
#define LAPISLINE_CONFIG_SPREAD_INT_H

#include "base/rng.h"
#include "config/config.h"
#include "config/spread.h"

/** One version of the document. */
struct spr_version
{
  int64_t revision;
  uint8_t hash[DIG_SIZE];
  size_t size;
};

struct spr_peer
{
  uint64_t id;
  struct spr_version has; /**< what it offered last; revision 0: nothing */
  bool asked;             /**< it waits for our document... */
  size_t sent;            /**< ...and has got this much */
};

/** A document on its way from a peer. */
struct spr_fetch
{
  bool open;
  uint64_t peer;
  struct spr_version want;
  struct buf got;
  clk_ms deadline; /**< of the next chunk */
};

/** Reading the store for the zone. */
struct spr_store
{
  bool reader;
  bool busy; /**< a read is open */
  bool watching;
  struct spr_version doc; /**< being read, or revision 0 */
  int64_t seen;           /**< revision of the store at the last read */
  clk_ms next;            /**< when the manifest is read next */
  unsigned failures;
};

struct spr
{
  struct rng rng;
  clk_ms now;
  struct spr_version cur; /**< in force; revision 0: none yet */
  struct buf text;
  struct spr_peer *peers;
  size_t npeers;
  struct spr_fetch fetch;
  clk_ms choose_at; /**< when a peer to fetch from is chosen */
  struct spr_store store;
  clk_ms next_tell;
  size_t next_serve;  /**< peer that is being served */
  size_t chunks_left; /**< that may go out in this tick */
  struct spr_action *actions;
  size_t nactions, next_action, cap;
  struct spr_counts counts;
};

struct spr_action *spr_act (struct spr *s, enum spr_action_kind kind);
struct spr_peer *spr_peer (struct spr *s, uint64_t id);
void spr_tell (struct spr *s, uint64_t peer);

/** Take the document if it is whole and of a higher revision. */
bool spr_adopt (struct spr *s, const struct spr_version *v, struct str text);

/* spread-fetch.c */
void spr_on_have (struct spr *s, const struct spr_event *ev);
void spr_on_chunk (struct spr *s, const struct spr_event *ev);
void spr_fetch_tick (struct spr *s);
void spr_fetch_peer_gone (struct spr *s, uint64_t peer);

/* spread-serve.c */
void spr_on_want (struct spr *s, const struct spr_event *ev);
void spr_serve (struct spr *s);

#endif
