/*
 * Suspicion of a host by a majority of its watchers, and its refutation with a
 * higher sequence. Time passes in rounds of one heartbeat interval. The page
 * suspicion.md says what is abstracted away.
 *
 * run:    safety
 * run:    safety -DTWO_LOST_LINKS
 * run:    progress:removed -DCRASHES
 * run:    progress:removed -DCRASHES -DDEAD_WATCHER
 * run:    progress:returned -DPAUSES
 * mutant: safety -DMINORITY
 * mutant: safety -DOLD_VOTES
 * mutant: safety -DNO_REFUTATION
 * mutant: safety -DNO_GRACE
 * mutant: progress:removed -DCRASHES -DSPLIT_VOTES
 * mutant: progress:removed -DCRASHES -DDEAD_WATCHER -DUNANIMOUS
 * mutant: progress:returned -DPAUSES -DNO_REFUTATION
 */
#define WATCHERS 3
#define PATIENCE 2 /* rounds without a heartbeat until a watcher suspects */
#define LOSSES 4   /* single messages that may be lost in all */

#ifdef MINORITY
#define QUORUM 1
#elif defined(UNANIMOUS)
#define QUORUM 3
#else
#define QUORUM 2
#endif
#ifdef NO_GRACE
#define GRACE 0
#else
#define GRACE 2 /* rounds that the host has to refute */
#endif

byte sequence = 1;         /* of the host */
byte removedAt;            /* sequence of the newest removal, 0 for none */
bool crashed, paused, everPaused;
bool deaf[WATCHERS];       /* this watcher hears no heartbeat, ever: one-way loss */
byte silent[WATCHERS];     /* rounds since the last heartbeat, up to PATIENCE */
byte known[WATCHERS];      /* newest sequence that the watcher heard of */
bool suspects[WATCHERS];
byte votes[WATCHERS];      /* sequence for which the watcher votes, 0 for none */
byte grace;                /* rounds since a majority votes for one sequence */
byte agreed;               /* that sequence */
byte newest;               /* highest sequence that a watcher knows */
byte losses = LOSSES;

#define BELIEVED_ALIVE (removedAt < sequence)

inline heartbeat(wa) {
  if
  :: crashed || paused || deaf[wa] -> silent[wa] = (silent[wa] < PATIENCE -> silent[wa] + 1 : PATIENCE)
  :: else ->
    if
    :: silent[wa] = 0; known[wa] = sequence; suspects[wa] = false; votes[wa] = 0
    :: losses > 0 ->
      losses--;
      silent[wa] = (silent[wa] < PATIENCE -> silent[wa] + 1 : PATIENCE)
    fi
  fi
}

#ifdef DEAD_WATCHER
#define WATCHES(wa) (wa != 0)
#else
#define WATCHES(wa) true
#endif

inline suspect(wa) {
  if
  :: WATCHES(wa) && silent[wa] == PATIENCE && !suspects[wa] -> suspects[wa] = true; votes[wa] = known[wa]
  :: else
  fi;
  /* the host hears of it, unless that is lost, and refutes */
#ifndef NO_REFUTATION
  if
  :: suspects[wa] && votes[wa] == sequence && !crashed && !paused ->
    if
    :: refute = true
    :: losses > 0 -> losses--
    fi
  :: else
  fi
#endif
}

/* The refutation comes to each watcher by gossip, also past a lost link, and
 * also from another watcher after the host has crashed. */
inline learn(wa) {
  heard = (crashed || paused -> newest : sequence);
#ifdef SPLIT_VOTES
  heard = (crashed || paused -> 0 : sequence);
#endif
  if
  :: known[wa] < heard ->
    if
    :: known[wa] = heard;
#ifndef OLD_VOTES
      suspects[wa] = false; votes[wa] = 0; silent[wa] = 0
#endif
    :: losses > 0 -> losses--
    fi
  :: else
  fi
}

inline count(number) {
  total = 0;
  for (wa : 0 .. WATCHERS - 1) {
#ifndef OLD_VOTES
    total = total + (suspects[wa] && votes[wa] == number -> 1 : 0)
#else
    total = total + (suspects[wa] -> 1 : 0)
#endif
  }
}

inline decide() {
  count(newest);
  if
  :: total >= QUORUM && newest > removedAt ->
    if
    :: agreed == newest -> grace++
    :: else -> agreed = newest; grace = 0
    fi;
    if
    :: grace >= GRACE ->
      /* never by fewer than a majority that hear nothing now */
      assert((silent[0] == PATIENCE -> 1 : 0) + (silent[1] == PATIENCE -> 1 : 0) + (silent[2] == PATIENCE -> 1 : 0) >= 2);
      /* never a host that runs */
      assert(crashed || everPaused);
      removedAt = newest;
      agreed = 0;
      grace = 0
    :: else
    fi
  :: else -> agreed = 0; grace = 0
  fi
}

/* Only the order of sequences matters: keeps them small. */
inline rebase() {
  if
  :: sequence > 4 ->
    sequence--; newest--;
    removedAt = (removedAt > 0 -> removedAt - 1 : 0);
    agreed = (agreed > 0 -> agreed - 1 : 0);
    for (wa : 0 .. WATCHERS - 1) {
      known[wa] = (known[wa] > 0 -> known[wa] - 1 : 0);
      votes[wa] = (votes[wa] > 0 -> votes[wa] - 1 : 0)
    }
  :: else
  fi
}

active proctype Rounds() {
  byte wa, total, heard;
  bool refute;
  atomic {
    for (wa : 0 .. WATCHERS - 1) { known[wa] = 1 }
    deaf[0] = true;
#ifdef TWO_LOST_LINKS
    deaf[1] = true;
#endif
  }
  do
  :: atomic {
      refute = false;
#ifdef CRASHES
      if
      :: crashed = true
      :: !crashed
      fi;
#endif
#ifdef PAUSES
      if
      :: !everPaused -> paused = true; everPaused = true
      :: paused && removedAt == sequence -> paused = false
      :: true
      fi;
#endif
      for (wa : 0 .. WATCHERS - 1) { heartbeat(wa) }
      for (wa : 0 .. WATCHERS - 1) { suspect(wa) }
#ifndef NO_REFUTATION
      /* A host also refutes a removal that it hears of. */
      refute = refute || (removedAt == sequence && !crashed && !paused);
#endif
      sequence = sequence + (refute -> 1 : 0);
      for (wa : 0 .. WATCHERS - 1) { learn(wa) }
      newest = known[0];
      newest = (known[1] > newest -> known[1] : newest);
      newest = (known[2] > newest -> known[2] : newest);
      decide();
      rebase();
      wa = 0; total = 0; heard = 0; refute = false
    }
  od
}

/* Progress: a crashed host is removed, or it never crashes. */
ltl removed { [] (crashed -> <> (removedAt == newest)) }
/* Progress: a host that was removed while paused comes back. */
ltl returned { [] ((removedAt == sequence && !paused) -> <> (BELIEVED_ALIVE)) }
