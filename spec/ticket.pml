/*
 * At most once by ticket: one booking, repeated through several agents, while
 * the ledger moves to a successor and agents crash. The page ticket.md says
 * what is abstracted away.
 *
 * run:    safety
 * run:    progress:answered -DSMALL
 * mutant: safety -DNO_FREEZE
 * mutant: safety -DEAGER_SUCCESSOR
 * mutant: safety -DTRUSTS_OLD_COPY
 * mutant: safety -DNO_RANK
 * mutant: safety -DNO_BURN
 * mutant: safety -DNO_HORIZON
 * mutant: safety -DEXPIRED_NOT_RUN
 * mutant: safety -DCRASH_NOT_RUN
 * mutant: progress:answered -DSMALL -DNO_LINK
 */
#ifdef SMALL
#define REPEATS 2
#else
#define REPEATS 3
#endif
#define AGENTS 3 /* the ticket names agent 0; 1 and 2 may succeed */
#define NONE 9

/* What a ledger says about the ticket. */
mtype = { Absent, Running, Done, Burnt, Forgotten };
/* What an agent is with regard to the ticket's ledger. */
mtype = { Outsider, Active, Frozen, Gone, Crashed };

mtype role[AGENTS] = Outsider;
mtype entry[AGENTS] = Absent;
byte copy[AGENTS];             /* rank of the ledger's copy here, 0 for none */
bool arrived[AGENTS];          /* the copy from this agent to agent 2 has arrived */
byte successor[AGENTS] = NONE; /* in the agent's own Gone record */
bool expired[AGENTS];          /* by the agent's own clock */
byte crashes = 2;

byte runs;
bool notRun;   /* a caller was told that the booking did not run */
byte answered; /* repeats that have an outcome */

inline tellNotRun() {
  assert(runs == 0); /* "not run" is true */
  notRun = true;
  answered++;
  goto done
}

inline tell() {
  answered++;
  goto done
}

inline execute(at) {
  assert(!notRun);    /* and stays true */
  assert(runs == 0);  /* at most once */
  runs++;
  entry[at] = Running
}

/* A successor acts only when the record of the one before names it. */
#ifndef EAGER_SUCCESSOR
#define NAMED(at) (((at) == 1 && successor[0] == 1) || ((at) == 2 && (successor[0] == 2 || successor[1] == 2)))
#else
#define NAMED(at) true
#endif

/* Copies by agent 0 have rank 1, those by agent 1 have rank 2. */
inline receive(at, rank, from) {
  if
#ifndef NO_RANK
  :: role[at] == Outsider && rank > copy[at] ->
#else
  :: role[at] == Outsider ->
#endif
    copy[at] = rank;
    entry[at] = from
  :: else
  fi
}

/* One copy of the request: any agent relays it to where the ticket points. */
proctype Repeat() {
  byte at = 0;
  bool mine;
  do
  :: atomic { role[at] == Active && entry[at] == Absent && !expired[at] ->
      execute(at); mine = true }
  :: atomic { role[at] == Active && entry[at] == Absent ->
      /* refused: overload, deadline or expiry */
#ifndef NO_BURN
      entry[at] = Burnt;
#endif
      tellNotRun() }
  :: atomic { mine && role[at] == Active && entry[at] == Running -> entry[at] = Done; tell() }
  :: atomic { role[at] == Active && entry[at] == Done -> tell() }
  :: atomic { role[at] == Active && entry[at] == Burnt -> tellNotRun() }
  :: atomic { role[at] == Active && entry[at] == Forgotten ->
#ifndef EXPIRED_NOT_RUN
      tell() /* unknown */
#else
      tellNotRun()
#endif
    }
  :: atomic { role[at] == Gone && successor[at] != NONE -> at = successor[at] }
  :: atomic { role[at] == Gone && successor[at] == NONE -> tell() /* unknown */ }
  :: atomic { role[at] == Outsider && copy[at] != 0 && NAMED(at) -> role[at] = Active }
  :: atomic { role[at] == Crashed && successor[at] == NONE ->
#ifndef CRASH_NOT_RUN
      tell() /* unknown */
#else
      tellNotRun()
#endif
    }
#ifdef EAGER_SUCCESSOR
  :: atomic { at == 0 && copy[1] != 0 -> at = 1 }
#endif
#ifndef NO_LINK
  :: atomic { role[at] == Crashed && successor[at] != NONE -> at = successor[at] }
#endif
  od;
done:
  mine = false;
  at = 0
}

#ifndef NO_FREEZE
#define QUIET(me) (entry[me] != Running)
#else
#define QUIET(me) true
#endif

/*
 * The planned stop of an agent that holds the ledger. The answer to a copy may
 * be lost, so that more than one agent may receive one; a copy may also arrive
 * late, after the next holder's.
 */
proctype Stop(byte me) {
  byte to;
  mtype kept;
  bool sent[AGENTS];
end:
  atomic { role[me] == Active && QUIET(me) ->
#ifndef NO_FREEZE
    role[me] = Frozen;
#endif
    kept = entry[me]
#ifndef NO_HORIZON
    /* the copy carries the expiry up to which entries were forgotten */
#else
    kept = (kept == Forgotten -> Absent : kept)
#endif
  }
  do
  :: atomic { me == 0 && !sent[1] -> to = 1; sent[1] = true; receive(to, me + 1, kept) }
  :: atomic { !sent[2] -> to = 2; sent[2] = true }
  :: atomic { sent[2] && !arrived[me] -> arrived[me] = true; receive(2, me + 1, kept) }
  :: atomic { role[me] == Active || role[me] == Frozen ->
      if
      :: true /* nobody took it */
      :: sent[1] && me == 0 && copy[1] == 1 -> successor[me] = 1
#ifndef TRUSTS_OLD_COPY
      :: arrived[me] && copy[2] == me + 1 -> successor[me] = 2
#else
      :: copy[2] != 0 -> successor[me] = 2
#endif
      fi;
      role[me] = Gone;
      to = 0
    }
  :: atomic { role[me] == Crashed || role[me] == Gone -> break }
  od;
  /* the late copy */
  if
  :: atomic { sent[2] && !arrived[me] -> arrived[me] = true; receive(2, me + 1, kept) }
  :: true
  fi
}

proctype Faults() {
  byte who;
end:
  do
  :: atomic { crashes > 0 ->
      select(who : 0 .. 2);
      if
      :: role[who] != Crashed -> role[who] = Crashed; crashes--
      :: else
      fi;
      who = 0 }
  :: atomic { !expired[0] -> expired[0] = true }
  :: atomic { !expired[1] -> expired[1] = true }
  /* The holder forgets what has expired by its own clock. */
  :: atomic { expired[0] && role[0] == Active && entry[0] == Done -> entry[0] = Forgotten }
  :: atomic { expired[1] && role[1] == Active && entry[1] == Done -> entry[1] = Forgotten }
  od
}

#ifdef PROGRESS
bit beat;

/* Keeps a blocked system running, so that the formula sees it. */
active proctype Idle() {
  do
  :: beat = 1 - beat
  od
}
#endif

init {
  atomic {
    byte i;
    role[0] = Active;
    for (i : 1 .. REPEATS) { run Repeat() }
    run Stop(0);
    run Stop(1);
    run Faults()
  }
}

/* Progress: every copy of the request gets an outcome. */
ltl answered { <> (answered == REPEATS) }
