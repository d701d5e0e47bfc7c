/* How an accepted configuration spreads; see t/lib-spread.h for the lines of
   a script. */
#include <criterion/criterion.h>

#include "t/lib-spread.h"

Test (spread, reader_takes_it_from_the_store)
{
  spread_expect ("reader on\nt 100\nmanifest 7 a 9\ndoc 7 a\nup 1\n"
                 "manifest 10 b 10\ndoc 10 b\nwant 1 10 b\n",
                 "> reader\n"
                 "> t\n"
                 "read manifest\n"
                 "> manifest\n"
                 "read doc 7a\n"
                 "> doc\n"
                 "in force: 7a, 5 bytes\n"
                 "watch from 10\n"
                 "> up\n"
                 "tell 1: 7a\n"
                 "> manifest\n"
                 "read doc 10b\n"
                 "> doc\n"
                 "in force: 10b, 5 bytes\n"
                 "tell 1: 10b\n"
                 "> want\n"
                 "send 1: 10b 0..5 of 5\n");
}

Test (spread, store_reverts_or_answers_late)
{
  /* The store is restored from a backup, or an old answer comes after a newer
     one: a lower revision is never taken. */
  spread_expect ("reader on\nt 100\nmanifest 7 a 9\ndoc 7 a\nmanifest 5 b 9\n"
                 "manifest 8 c 9\nmanifest 9 d 9\ndoc 8 c\ndoc 9 d\n",
                 "> reader\n"
                 "> t\n"
                 "read manifest\n"
                 "> manifest\n"
                 "read doc 7a\n"
                 "> doc\n"
                 "in force: 7a, 5 bytes\n"
                 "watch from 10\n"
                 "> manifest\n"
                 "> manifest\n"
                 "read doc 8c\n"
                 "> manifest\n"
                 "read doc 9d\n"
                 "> doc\n"
                 "> doc\n"
                 "in force: 9d, 5 bytes\n");
}

Test (spread, booted_while_the_store_is_down)
{
  /* The store is down for a long time.  What peers hold comes into force all
     the same, the highest first; the store is asked again ever more rarely. */
  spread_expect (
      "reader on\nt 100\nfail\nup 1\nup 2\nhave 1 7 a\nhave 2 9 b\nt 300\n"
      "chunk 2 9 b 0 5\nt 900\nfail\nt 1900\nfail\nt 3900\n",
      "> reader\n"
      "> t\n"
      "read manifest\n"
      "> fail\n"
      "> up\n"
      "tell 1: 0-\n"
      "> up\n"
      "tell 2: 0-\n"
      "> have\n"
      "> have\n"
      "> t\n"
      "tell 2: 0-\n"
      "ask 2: 9b\n"
      "> chunk\n"
      "in force: 9b, 5 bytes\n"
      "tell 1: 9b\n"
      "> t\n"
      "read manifest\n"
      "> fail\n"
      "> t\n"
      "tell 1: 9b\n"
      "read manifest\n"
      "> fail\n"
      "> t\n"
      "tell 2: 9b\n"
      "read manifest\n"
      "tell 1: 9b\n");
}

Test (spread, offers_in_any_order)
{
  /* A peer that was cut off offers an old revision after a newer one, and
     offers the same again: only a higher one is asked for, and who is behind
     is told. */
  spread_expect (
      "up 1\nup 2\nhave 1 9 b\nt 200\nchunk 1 9 b 0 5\nhave 2 7 a\n"
      "have 2 9 b\nhave 1 9 c\nt 400\nchunk 2 7 a 0 5\nwant 2 7 a\n",
      "> up\n"
      "tell 1: 0-\n"
      "> up\n"
      "tell 2: 0-\n"
      "> have\n"
      "> t\n"
      "tell 2: 0-\n"
      "ask 1: 9b\n"
      "> chunk\n"
      "in force: 9b, 5 bytes\n"
      "tell 2: 9b\n"
      "> have\n"
      "tell 2: 9b\n"
      "> have\n"
      "> have\n"
      "> t\n"
      "> chunk\n"
      "> want\n"
      "tell 2: 9b\n");
}

Test (spread, half_fetched)
{
  /* The peer goes away in the middle of a large document: nothing of it is in
     force, and another peer is asked from the start. */
  spread_expect (
      "up 1\nhave 1 9 A\nt 200\nchunk 1 9 A 0 32768\nup 2\nhave 2 9 A\n"
      "down 1\nt 400\nchunk 1 9 A 32768 32768\nchunk 2 9 A 0 32768\n"
      "chunk 2 9 A 32768 32768\nchunk 2 9 A 65536 4464\n",
      "> up\n"
      "tell 1: 0-\n"
      "> have\n"
      "> t\n"
      "tell 1: 0-\n"
      "ask 1: 9A\n"
      "> chunk\n"
      "> up\n"
      "tell 2: 0-\n"
      "> have\n"
      "> down\n"
      "> t\n"
      "ask 2: 9A\n"
      "> chunk\n"
      "> chunk\n"
      "> chunk\n"
      "> chunk\n"
      "in force: 9A, 70000 bytes\n");
}

Test (spread, silent_wrong_or_gapped)
{
  /* A peer that goes silent, sends other bytes, skips a chunk or sends too
     much: each is given up and another asked. */
  spread_expect ("up 1\nhave 1 9 A\nt 200\nchunk 1 9 A 0 32768\nt 2400\n"
                 "up 2\nhave 2 9 A\nt 2600\nchunk 2 9 A 32768 100\n"
                 "have 1 9 a\nt 2800\nchunk 1 9 a 0 5 bad\nt 3000\n"
                 "have 2 9 A\nt 3200\nchunk 2 9 A 0 40000\nt 3400\n",
                 "> up\n"
                 "tell 1: 0-\n"
                 "> have\n"
                 "> t\n"
                 "tell 1: 0-\n"
                 "ask 1: 9A\n"
                 "> chunk\n"
                 "> t\n"
                 "tell 1: 0-\n"
                 "tell 1: 0-\n"
                 "> up\n"
                 "tell 2: 0-\n"
                 "> have\n"
                 "> t\n"
                 "ask 2: 9A\n"
                 "> chunk\n"
                 "> have\n"
                 "> t\n"
                 "ask 1: 9a\n"
                 "> chunk\n"
                 "> t\n"
                 "> have\n"
                 "> t\n"
                 "tell 1: 0-\n"
                 "ask 2: 9A\n"
                 "> chunk\n"
                 "> t\n");
}

Test (spread, peer_moves_on_while_it_sends)
{
  /* The peer takes a newer document in the middle of ours and drops the old
     one: it says so, and the newer is asked for at once. */
  spread_expect (
      "up 1\nhave 1 9 A\nt 200\nchunk 1 9 A 0 32768\nhave 1 10 B\nt 400\n"
      "chunk 1 9 A 32768 32768\nchunk 1 10 B 0 32768\n",
      "> up\n"
      "tell 1: 0-\n"
      "> have\n"
      "> t\n"
      "tell 1: 0-\n"
      "ask 1: 9A\n"
      "> chunk\n"
      "> have\n"
      "> t\n"
      "ask 1: 10B\n"
      "> chunk\n"
      "> chunk\n");
}

Test (spread, large_document_one_after_the_other)
{
  /* Seven peers ask at once.  Each is served whole before the next; with four
     waiting the seventh is sent away and asks somebody else.  A newer revision
     ends what is left of the old. */
  spread_expect (
      "reader on\nt 100\nmanifest 7 C 9\ndoc 7 C\nup 1\nup 2\nup 3\nup 4\n"
      "up 5\nup 6\nup 7\nwant 1 7 C\nwant 2 7 C\nwant 3 7 C\nwant 4 7 C\n"
      "want 5 7 C\nwant 6 7 C\nwant 7 7 C\nt 200\nmanifest 11 b 11\n"
      "doc 11 b\nt 300\n",
      "> reader\n"
      "> t\n"
      "read manifest\n"
      "> manifest\n"
      "read doc 7C\n"
      "> doc\n"
      "in force: 7C, 900000 bytes\n"
      "watch from 10\n"
      "> up\n"
      "tell 1: 7C\n"
      "> up\n"
      "tell 2: 7C\n"
      "> up\n"
      "tell 3: 7C\n"
      "> up\n"
      "tell 4: 7C\n"
      "> up\n"
      "tell 5: 7C\n"
      "> up\n"
      "tell 6: 7C\n"
      "> up\n"
      "tell 7: 7C\n"
      "> want\n"
      "send 1: 7C 0..900000 of 900000\n"
      "> want\n"
      "send 2: 7C 0..900000 of 900000\n"
      "> want\n"
      "send 3: 7C 0..262144 of 900000\n"
      "> want\n"
      "> want\n"
      "> want\n"
      "> want\n"
      "send 7: 7C 0..0 of 900000\n"
      "> t\n"
      "tell 1: 7C\n"
      "send 3: 7C 262144..900000 of 900000\n"
      "send 4: 7C 0..900000 of 900000\n"
      "send 5: 7C 0..524288 of 900000\n"
      "> manifest\n"
      "read doc 11b\n"
      "> doc\n"
      "in force: 11b, 5 bytes\n"
      "tell 1: 11b\n"
      "tell 2: 11b\n"
      "tell 3: 11b\n"
      "tell 4: 11b\n"
      "tell 5: 11b\n"
      "tell 6: 11b\n"
      "tell 7: 11b\n"
      "> t\n");
}

Test (spread, sent_away)
{
  /* The peer serves others: another one that has it is asked at once, and the
     first only when it offers again. */
  spread_expect (
      "up 1\nup 2\nhave 1 9 A\nt 200\nchunk 1 9 A 0 0\nt 400\nhave 2 9 A\n"
      "t 600\nchunk 2 9 A 0 0\nhave 1 9 A\nt 800\n",
      "> up\n"
      "tell 1: 0-\n"
      "> up\n"
      "tell 2: 0-\n"
      "> have\n"
      "> t\n"
      "tell 2: 0-\n"
      "ask 1: 9A\n"
      "> chunk\n"
      "> t\n"
      "> have\n"
      "> t\n"
      "ask 2: 9A\n"
      "> chunk\n"
      "> have\n"
      "> t\n"
      "ask 1: 9A\n");
}

Test (spread, watch_ends_or_goes_silent)
{
  /* The watch ends: the manifest is read again, then watched from there.  A
     watch that is silent for good looks like one without news; a read now
     and then finds what it missed. */
  spread_expect (
      "reader on\nt 100\nmanifest 7 a 9\ndoc 7 a\nfail\nt 700\n"
      "manifest 8 b 12\ndoc 8 b\nt 31000\nmanifest 13 c 13\ndoc 13 c\n"
      "reader off\nt 70000\n",
      "> reader\n"
      "> t\n"
      "read manifest\n"
      "> manifest\n"
      "read doc 7a\n"
      "> doc\n"
      "in force: 7a, 5 bytes\n"
      "watch from 10\n"
      "> fail\n"
      "> t\n"
      "read manifest\n"
      "> manifest\n"
      "read doc 8b\n"
      "> doc\n"
      "in force: 8b, 5 bytes\n"
      "watch from 13\n"
      "> t\n"
      "read manifest\n"
      "> manifest\n"
      "read doc 13c\n"
      "> doc\n"
      "in force: 13c, 5 bytes\n"
      "> reader\n"
      "> t\n");
}
