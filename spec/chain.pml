/*
 * Daisy chain of candidate hosts with two balancers whose views change in a
 * different order while packets of one flow are in flight. The page chain.md
 * says what is abstracted away.
 *
 * run:    safety -DSMALL
 * run:    safety -DFIXED
 * run:    safety -DRESTART
 * run:    progress:delivered -DSMALL -DFIXED
 * run:    progress:delivered -DSMALL -DRESTART
 * mutant: safety -DFIXED -DNO_REDIRECT
 * mutant: safety -DSMALL -DSHORT_HISTORY
 * mutant: safety -DSMALL -DNEWEST_FIRST
 * mutant: safety -DFIXED -DDRAIN_OPENS
 * mutant: safety -DFIXED -DNO_SPARE_RULE
 * mutant: safety -DFIXED -DFORGETS_OBLIGATION
 * mutant: safety -DRESTART -DNO_INCARNATION
 * mutant: safety -DRESTART -DANY_SPARE
 * mutant: safety -DRESTART -DNO_SECOND_CHOICE
 * mutant: progress:delivered -DSMALL -DFIXED -DNO_SPARE_RULE -DNO_HOP_LIMIT
 */
#ifdef SMALL
#define PACKETS 2
#else
#define PACKETS 3
#endif
#define HOSTS 3
#define NONE 9
#define HOP_LIMIT 7

/* A chain entry names a host and its incarnation: entry 3 is host 0 restarted. */
#define RESTARTED 3
#define HOST(entry) ((entry) % HOSTS)

byte winner0 = 0; /* of the flow's bucket, in the view that both started from */
byte winner1;     /* after the first change alone */
byte winner2;     /* after the second change alone */
byte winner12;    /* after both */
byte view[2];     /* changes that each balancer has applied: a bit each */

byte holder = NONE;      /* host that has the flow */
byte redirect[HOSTS] = NONE; /* entry to which an agent handed the flow */
bool obliged[HOSTS]; /* the flow was passed to a second choice, which must open it */
byte drainer = NONE;     /* host that will drain */
bool draining;
bool dead;               /* host 0 is down */
bool restarted;          /* host 0 runs its next incarnation */
byte delivered;
byte lost;

#ifdef NO_INCARNATION
#define ALIVE(entry) (!(HOST(entry) == 0 && dead))
#else
#define ALIVE(entry) ((entry) == RESTARTED -> restarted : ((entry) == 0 -> (!dead && !restarted) : true))
#endif
#define DOWN(entry) (HOST(entry) == 0 && dead)
#define DRAINS(host) (draining && drainer == (host))

/* One host is overloaded at times, and then drains. */
#ifdef RESTART
#define PASSES(host) true
#else
#define PASSES(host) (drainer == (host))
#endif

inline open(host) {
  assert(holder == NONE);      /* at most one agent opens a flow */
  assert(!DRAINS(host));       /* a draining host opens none */
  holder = host;
  redirect[host] = NONE
}

proctype Balancer(byte me) {
  /* Balancer 0 hears of change 1 first, balancer 1 of change 2. */
#ifdef RESTART
  if
  :: me == 0 -> view[0] = 1; view[0] = 3
  :: me == 1 -> view[1] = 3 /* hears of the restart only, never of the removal */
  fi
#else
  view[me] = 1 + me;
  view[me] = 3
#endif
}

byte launched; /* packets are alike: they start in their order */

proctype Packet(byte me) {
  byte chain[3];
  byte size, at, host, hops, spare, next, passer;
  bool back, asSpare;
  /* Any balancer takes the packet, with the view that it has then. */
  atomic {
    launched == me -> launched++;
    if
    :: at = 0
    :: at = 1
    fi;
#ifdef RESTART
    if
    :: view[at] == 0 -> chain[0] = 0; size = 1
    :: view[at] == 1 -> chain[0] = winner1; chain[1] = 0; size = 2
    :: view[at] == 3 ->
      chain[0] = RESTARTED; chain[1] = winner1; chain[2] = 0; size = 3;
#ifdef NO_SECOND_CHOICE
      if
      :: at == 1 -> chain[1] = 0; size = 2
      :: else
      fi
#endif
    fi;
#else
    if
    :: view[at] == 0 -> chain[0] = winner0; size = 1
    :: view[at] == 1 -> chain[0] = winner1; chain[1] = winner0; size = 2
    :: view[at] == 2 -> chain[0] = winner2; chain[1] = winner0; size = 2
    :: view[at] == 3 ->
      chain[0] = winner12;
      chain[1] = (at == 0 -> winner1 : winner2);
      chain[2] = winner0;
      size = 3
    fi;
#ifdef SHORT_HISTORY
    size = (size > 2 -> 2 : size);
#endif
#endif
    if
    :: drainer != 0 -> spare = 0
    :: drainer != 1 -> spare = 1
    :: drainer != 2 -> spare = 2
    fi;
#if defined(RESTART) && !defined(ANY_SPARE)
    /* The second choice is the host that wins when the first is removed. */
    spare = (HOST(chain[0]) == 0 -> winner1 : 2);
#endif
    at = 0
  }
  do
  :: atomic {
      hops++;
#ifndef NO_HOP_LIMIT
      assert(hops <= HOP_LIMIT); /* no loop */
#else
      hops = 0;
#endif
      next = NONE;
      host = HOST(chain[at]);
      if
      :: DOWN(chain[at]) -> lost++; goto done
      :: holder == host -> delivered++; goto done
      :: else
      fi;
      if
#ifndef NO_SPARE_RULE
      :: asSpare && (redirect[host] == NONE || redirect[host] == passer) ->
        open(host); delivered++; goto done
#else
      :: asSpare && redirect[host] == NONE -> open(host); delivered++; goto done
#endif
      :: else
      fi;
      if
      :: !ALIVE(chain[at]) ->
        /* Another incarnation neither opens nor decides. */
        if
        :: back || at == 0 -> lost++; goto done
        :: else -> at--; back = true
        fi
      :: ALIVE(chain[at]) ->
        if
        :: redirect[host] != NONE ->
          next = redirect[host];
#ifndef FORGETS_OBLIGATION
          asSpare = obliged[host]
#endif
        :: redirect[host] == NONE && !back && at < size - 1 ->
          at++;
#ifdef NEWEST_FIRST
          /* drops the oldest mention of a host instead of a newer one */
          if
          :: at == size - 1 && HOST(chain[at]) == HOST(chain[0]) -> back = true; at--
          :: else
          fi
#endif
        :: redirect[host] == NONE && (back || at == size - 1) ->
          /* This agent decides: it opens, or remembers whom it hands the flow to. */
          if
          :: HOST(chain[0]) != host ->
            next = chain[0];
#ifndef NO_REDIRECT
            redirect[host] = next;
            obliged[host] = false
#endif
          :: HOST(chain[0]) == host && !DRAINS(host) -> open(host); delivered++; goto done
#ifdef DRAIN_OPENS /* mutant */
          :: HOST(chain[0]) == host && DRAINS(host) -> open(host); delivered++; goto done
#endif
          :: HOST(chain[0]) == host && host != spare && PASSES(host) ->
            /* draining, or overloaded: the second choice opens */
            next = spare;
            asSpare = true;
#ifndef NO_REDIRECT
            redirect[host] = spare;
            obliged[host] = true
#endif
          fi
        fi;
        if
        :: next != NONE ->
          passer = chain[at];
          /* The packet goes to this one entry, which then decides. */
          chain[0] = next;
          size = 1;
          at = 0;
          back = false
        :: else
        fi
      fi
      host = 0;
      next = 0
    }
  od;
done:
  chain[0] = 0; chain[1] = 0; chain[2] = 0;
  size = 0; at = 0; host = 0; hops = 0; spare = 0; next = 0; passer = 0; back = 0; asSpare = 0
}

proctype Faults() {
#ifdef RESTART
  atomic {
    dead = true;
    redirect[0] = NONE;
    holder = (holder == 0 -> NONE : holder)
  }
  atomic { dead = false; restarted = true }
#else
  draining = true
#endif
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
#ifdef RESTART
    winner1 = 1;
    winner12 = RESTARTED;
#else
    if
#ifndef FIXED
    :: winner1 = 0; select(winner2 : 0 .. 2); select(winner12 : 0 .. 2)
    :: winner1 = 1; select(winner2 : 0 .. 2); select(winner12 : 0 .. 2)
#else
    :: winner1 = 1; winner2 = 2; winner12 = 0
#endif
    fi;
    if
    :: drainer = 0
    :: drainer = 1
    :: drainer = 2
    :: true
    fi;
#endif
    run Faults();
    run Balancer(0);
    run Balancer(1);
    for (i : 1 .. PACKETS) { run Packet(i - 1) }
  }
}

/* Progress: each packet reaches the flow's holder; one is lost only to a restart. */
#ifdef RESTART
ltl delivered { <> (delivered + lost == PACKETS) }
#else
ltl delivered { <> (delivered == PACKETS) }
#endif
