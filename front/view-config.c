#include <string.h>

#include <openssl/sha.h>

#include "front/view.h"

static bool
newer (const struct gw *g, int64_t revision)
{
  return g->cfg == NULL || revision > g->cfg->revision;
}

/** Activates only a higher revision: a control process that restarted with old
    state must not roll back the node's configuration. */
static void
apply_text (struct view_config *c, struct gw *g, int64_t revision,
            struct str text)
{
  struct fnd_list findings = { 0 };
  struct cfg *cfg;

  if (!newer (g, revision))
    return;
  cfg = cfg_parse (text, revision, &findings);
  if (cfg != NULL)
    {
      SHA256 ((const uint8_t *)text.ptr, text.len, c->active_hash);
      gw_config_changed (g, cfg);
    }
  else
    LOG (config_not_taken, LOG_I ("revision", revision),
         LOG_C ("finding", findings.n ? findings.items[0].text : ""));
  fnd_free (&findings);
}

static bool
starts_text (const struct view_config *c, const Lapis__ConfigChunk *chunk)
{
  return chunk->offset == 0 || (int64_t)chunk->revision != c->revision
         || memcmp (chunk->hash.data, c->hash, sizeof c->hash) != 0;
}

void
view_config_chunk (struct view_config *c, struct gw *g,
                   const Lapis__ConfigChunk *chunk)
{
  uint8_t sum[SHA256_DIGEST_LENGTH];

  if (chunk->hash.len != sizeof c->hash || chunk->size > CFG_MAX_TEXT)
    return;
  if (starts_text (c, chunk))
    {
      c->revision = (int64_t)chunk->revision;
      memcpy (c->hash, chunk->hash.data, sizeof c->hash);
      buf_clear (&c->text);
    }
  if (chunk->offset != c->text.len
      || c->text.len + chunk->bytes.len > chunk->size)
    return;
  buf_add (&c->text, str_make (chunk->bytes.data, chunk->bytes.len));
  if (c->text.len < chunk->size)
    return;
  /* The text is complete only if it matches its hash. */
  SHA256 ((const uint8_t *)c->text.ptr, c->text.len, sum);
  if (memcmp (sum, c->hash, sizeof sum) == 0)
    apply_text (c, g, c->revision, buf_str (&c->text));
  buf_free (&c->text);
}

/**
 * A text that is unchanged in a higher revision is not sent again.  The node
 * still adopts the revision; otherwise it would report the old one forever,
 * and a wait until the new revision is active on all nodes would never end.
 */
static void
adopt_revision (struct view_config *c, struct gw *g, const Lapis__View *v)
{
  if (g->cfg == NULL || v->config_hash.len != sizeof c->active_hash
      || memcmp (v->config_hash.data, c->active_hash, sizeof c->active_hash)
             != 0)
    return;
  g->cfg->revision = (int64_t)v->config_revision;
}

void
view_config_view (struct view_config *c, struct gw *g, const Lapis__View *v)
{
  int64_t revision = (int64_t)v->config_revision;

  if (!newer (g, revision))
    return;
  if (v->config.len > 0)
    apply_text (c, g, revision, str_make (v->config.data, v->config.len));
  else
    adopt_revision (c, g, v);
}

void
view_config_clear (struct view_config *c)
{
  buf_free (&c->text);
  c->revision = 0;
}
