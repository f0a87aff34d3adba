/*
 * An address passes from one service to another. The page retire.md says what
 * is abstracted away.
 *
 * run:    safety
 * run:    progress:granted
 * mutant: safety -DNO_RETIREMENT
 * mutant: safety -DIGNORES_JOINERS
 * mutant: safety -DNO_QUIET_TIME
 * mutant: progress:granted -DWAITS_FOR_THE_DEAD
 */
#define INSTANCES 3 /* two balancers; instance 2 is the agent of the old service */
#define AGENT 2

/* Versions: 1 the address is the old service's, 2 it is retired, 3 it is the new one's. */
byte accepted = 1;
byte inForce[INSTANCES]; /* 0 for an instance that is not there */
byte joins = 1;
byte deaths = 1;
byte flying;             /* packets to the old service, on their way to a balancer */
byte forwarded;          /* packets that a balancer sent on to the old service's agent */
bool sentToNew;          /* a caller of the new service has sent a packet */
byte forwardedNew;       /* such packets, taken by a balancer for the old service */

#define LIVE_AT_LEAST(number) \
  ((inForce[0] == 0 || inForce[0] >= number) && (inForce[1] == 0 || inForce[1] >= number) && \
   (inForce[2] == 0 || inForce[2] >= number))

proctype Operator() {
  accepted = 2;
  atomic {
#ifndef NO_RETIREMENT
#ifndef WAITS_FOR_THE_DEAD
    LIVE_AT_LEAST(2);
#else
    inForce[0] >= 2 && inForce[1] >= 2 && inForce[2] >= 2;
#endif
#endif
#ifndef NO_QUIET_TIME
    flying == 0 && forwarded == 0; /* the longest life of a packet has passed */
#endif
    accepted = 3
  }
}

proctype Instance(byte me) {
end:
  do
  :: atomic { inForce[me] != 0 && inForce[me] < accepted -> inForce[me]++ }
  od
}

proctype Fleet() {
  byte donor;
end:
  do
  :: atomic { deaths > 0 && inForce[0] != 0 -> deaths--; inForce[0] = 0 }
  :: atomic { joins > 0 -> joins-- /* nothing replaces it */ }
  :: atomic { joins > 0 && inForce[0] == 0 && inForce[1] != 0 -> joins--;
      donor = inForce[1] }
#ifdef IGNORES_JOINERS
    /* the state is taken from the donor, and counted only when it is in force */
    atomic { inForce[0] = donor; donor = 0 }
#else
    /* a joiner takes no packet before it has what was accepted meanwhile */
    atomic { inForce[0] = accepted; donor = 0 }
#endif
  od
}

proctype Callers() {
  byte sends = 2;
end:
  do
  :: atomic { sends > 0 && accepted == 1 -> sends--; flying++ }
  :: atomic { accepted == 3 && !sentToNew -> sentToNew = true }
  od
}

proctype Balancer(byte me) {
end:
  do
  :: atomic { flying > 0 && inForce[me] == 1 -> flying--; forwarded++ }
  :: atomic { flying > 0 && inForce[me] == 2 -> flying-- /* refused, counted */ }
  :: atomic { flying > 0 && inForce[me] == 3 -> flying--; assert(false) /* old caller, new service */ }
  :: atomic { sentToNew && inForce[me] == 1 -> assert(false) /* new caller, old service */ }
  od
}

proctype Agent() {
end:
  do
  :: atomic { forwarded > 0 && inForce[AGENT] != 0 -> forwarded-- }
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
    for (i : 0 .. INSTANCES - 1) { inForce[i] = 1 }
    run Operator();
    for (i : 0 .. INSTANCES - 1) { run Instance(i) }
    run Fleet();
    run Callers();
    run Balancer(0);
    run Balancer(1);
    run Agent()
  }
}

/* Progress: the address is given again. */
ltl granted { <> (accepted == 3) }
