/*
 * Commit of the configuration and of the final say by one conditional update
 * of a single root object. The page commit.md says what is abstracted away.
 *
 * run:    safety
 * run:    safety -DRESTORE
 * run:    progress:converge -DSMALL
 * run:    progress:converge -DSMALL -DRESTORE
 * mutant: safety -DNO_COMPARE
 * mutant: safety -DTRUST_CONFLICT
 * mutant: safety -DTRUST_SILENCE
 * mutant: safety -DNO_WINDOW
 * mutant: safety -DNO_MONOTONE
 * mutant: safety -DRESTORE -DREUSED_VERSIONS
 * mutant: safety -DRESTORE -DNO_BEHIND_CHECK
 * mutant: safety -DRESTORE -DHASTY_REPAIR
 * mutant: progress:converge -DSMALL -DRESTORE -DNO_REPAIR
 */
#ifdef SMALL
#define CONSOLES 2
#else
#define CONSOLES 3
#endif
#define TRIES 1
#define READERS 2
#define OWNER_OF(console) ((console) % 2)

mtype = { Quiet, Sent, Applied, Conflicted };

typedef Root {
  byte term;
  byte number;
  byte owner;
  byte content; /* one bit for each change that is included */
  byte recent   /* the short history: the newest change identity */
};
#define WINDOW 1

/* The store. The object version is opaque and never given twice. */
Root root;
byte version = 1;
byte issued = 1;
bool up = true;

/* One write in flight for each console: the store may take it at any time. */
mtype flight[CONSOLES] = Quiet;
byte condition[CONSOLES];
Root proposal[CONSOLES];

/* What instances have in force. */
Root force[READERS];

byte refused;  /* identities that an operator was told are refused */
byte finished; /* consoles that have ended */
bool settled;  /* faults have ended for good */

#define NEWER(a, b) (a.term > b.term || (a.term == b.term && a.number > b.number))
#define COPY(to, from) \
  to.term = from.term; to.number = from.number; to.owner = from.owner; \
  to.content = from.content; to.recent = from.recent
#define BEHIND (NEWER(force[0], root) || NEWER(force[1], root))
#define BIT(identity) (1 << ((identity) - 1))

inline write(next) {
  assert((next.content & refused) == 0); /* a refused change never takes effect */
  assert((root.content & ~next.content) == 0); /* no accepted change is lost */
  COPY(root, next);
  issued++;
  version = issued
}

proctype Console(byte me) {
  byte tries, identity, base, number;
  do
  :: tries < TRIES ->
    atomic {
      up;
#if defined(RESTORE) && !defined(NO_BEHIND_CHECK)
      !BEHIND;
#endif
      tries++;
      identity = me * TRIES + tries;
      if
      :: root.owner != OWNER_OF(me) -> refused = refused | BIT(identity); goto next
      :: else
      fi;
      base = version;
      number = root.number;
      COPY(proposal[me], root);
      proposal[me].number = root.number + 1;
      proposal[me].content = root.content | BIT(identity);
      proposal[me].recent = identity;
      condition[me] = base;
      if
      :: true /* an ordinary change */
      :: proposal[me].term = root.term + 1; proposal[me].owner = 1 - root.owner
      fi;
      flight[me] = Sent
    }
    /* The answer arrives, or is lost, or the console pauses: read to settle. */
    do
    :: atomic {
        up;
#if defined(RESTORE) && !defined(NO_BEHIND_CHECK)
        !BEHIND;
#endif
        if
#ifdef TRUST_CONFLICT
        :: flight[me] == Conflicted ->
          refused = refused | BIT(identity);
          assert((root.content & BIT(identity)) == 0);
          break
#endif
#ifdef TRUST_SILENCE
        :: flight[me] == Sent -> refused = refused | BIT(identity); break
#endif
        :: root.recent == identity ->
          assert((root.content & BIT(identity)) != 0);
          break /* accepted */
        :: else ->
          if
          :: version == base && flight[me] != Sent -> flight[me] = Sent /* repeat the same write */
          :: version == base && flight[me] == Sent -> skip
          :: version != base ->
            if
#ifndef NO_WINDOW
            :: root.number < number || root.number - number > WINDOW -> break /* unknown */
            :: else
#else
            :: true
#endif
              ->
              assert((root.content & BIT(identity)) == 0);
              assert(((force[0].content | force[1].content) & BIT(identity)) == 0);
              refused = refused | BIT(identity);
              break
            fi
          fi
        fi
      }
    od;
next:
    skip
  :: tries == TRIES -> break
  od;
  finished++
}

#if CONSOLES > 2
#define SENT (flight[0] == Sent || flight[1] == Sent || flight[2] == Sent)
#else
#define SENT (flight[0] == Sent || flight[1] == Sent)
#endif

/* A write may reach the store twice: a proxy on the way repeats it. */
#ifdef RESTORE
byte repeats = 0;
#else
byte repeats = 1;
#endif

proctype Store() {
  byte co;
end:
  do
  :: atomic {
      up && SENT ->
      if
      :: flight[0] == Sent -> co = 0
      :: flight[1] == Sent -> co = 1
#if CONSOLES > 2
      :: flight[2] == Sent -> co = 2
#endif
      fi;
      if
#ifndef NO_COMPARE
      :: condition[co] == version
#else
      :: true
#endif
        ->
        assert(root.owner == OWNER_OF(co)); /* only the holder of the say commits */
        write(proposal[co]);
        if
        :: flight[co] = Applied
        :: repeats > 0 -> repeats-- /* the write stays in flight */
        fi
#ifndef NO_COMPARE
      :: else -> flight[co] = Conflicted
#endif
      fi;
      co = 0
    }
  od
}

/* Only the newest version in force may be written back. */
#ifndef HASTY_REPAIR
#define MAY_REPAIR (!NEWER(force[1 - me], force[me]))
#else
#define MAY_REPAIR true
#endif

inline apply(re, next) {
  if
#ifndef NO_MONOTONE
  :: NEWER(next, force[re])
#else
  :: true
#endif
    ->
    assert((force[re].content & ~next.content) == 0); /* nothing in force reverts */
    assert((next.content & refused) == 0);
    COPY(force[re], next)
#ifndef NO_MONOTONE
  :: else
#endif
  fi
}

#ifndef NO_MONOTONE
#define NEWS NEWER(force[1 - me], force[me])
#else
#define NEWS (force[1 - me].number != force[me].number)
#endif

proctype Reader(byte me) {
  Root seen;
end:
  do
  :: atomic { up && (NEWER(root, force[me])) -> COPY(seen, root)
#ifdef RESTORE
      ; apply(me, seen)
#endif
    }
#ifndef RESTORE
    atomic { apply(me, seen) }
#endif
  /* news from the other instance, possibly old */
  :: atomic { NEWS -> COPY(seen, force[1 - me])
#ifdef RESTORE
      ; apply(me, seen)
#endif
    }
#ifndef RESTORE
    atomic { apply(me, seen) }
#endif
#if defined(RESTORE) && !defined(NO_REPAIR)
  /* The store is older than what is in force here: write it back. */
  :: atomic { up && NEWER(force[me], root) && MAY_REPAIR ->
      COPY(seen, force[me]);
      seen.number = seen.number + 1;
      seen.recent = 0;
      write(seen)
    }
#endif
  od
}

proctype Faults() {
#ifndef RESTORE
  if
  :: up = false; up = true
  :: true
  fi;
#else
  Root backup;
  byte past;
  atomic { COPY(backup, root); past = version }
  atomic {
    COPY(root, backup);
#ifndef REUSED_VERSIONS
    issued++;
    version = issued
#else
    version = past;
    issued = past
#endif
  }
#endif
  settled = true
}

init {
  atomic {
    root.term = 1;
    byte i;
    for (i : 0 .. READERS - 1) { COPY(force[i], root) }
    run Store();
    run Faults();
    for (i : 0 .. READERS - 1) { run Reader(i) }
    for (i : 0 .. CONSOLES - 1) { run Console(i) }
  }
}

#ifdef PROGRESS
/* Keeps a blocked system running, so that the formula sees it. */
bit beat;

active proctype Idle() {
  do
  :: beat = 1 - beat
  od
}
#endif

/* Progress: every console gets its outcome and every instance ends with the root. */
#define SAME(re) (force[re].term == root.term && force[re].number == root.number && force[re].content == root.content)
ltl converge { <> [] (settled && finished == CONSOLES && SAME(0) && SAME(1)) }
