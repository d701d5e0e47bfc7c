#include "config/arena.h"

#include <stdlib.h>
#include <string.h>

#define BLOCK_SIZE ((size_t)16384)
#define ALIGNMENT ((size_t)16)

struct arena_block
{
  struct arena_block *next;
  size_t used;
  size_t cap;
  _Alignas(ALIGNMENT) char bytes[];
};

static struct arena_block *
add_block (struct arena *a, size_t need)
{
  size_t cap = need > BLOCK_SIZE ? need : BLOCK_SIZE;
  struct arena_block *b = xcalloc (1, sizeof *b + cap);

  b->cap = cap;
  b->next = a->blocks;
  a->blocks = b;
  return b;
}

void *
arena_alloc (struct arena *a, size_t n, size_t size)
{
  struct arena_block *b = a->blocks;
  size_t need = (n * size + ALIGNMENT - 1) / ALIGNMENT * ALIGNMENT;
  void *p;

  if (!b || b->cap - b->used < need)
    b = add_block (a, need);
  p = b->bytes + b->used;
  b->used += need;
  return p;
}

struct str
arena_str (struct arena *a, struct str s)
{
  char *p = arena_alloc (a, s.len + 1, 1);

  if (s.len)
    memcpy (p, s.ptr, s.len);
  return str_make (p, s.len);
}

void
arena_free (struct arena *a)
{
  struct arena_block *next;

  for (struct arena_block *b = a->blocks; b; b = next)
    {
      next = b->next;
      free (b);
    }
  a->blocks = NULL;
}
