// Package absence decides when a flow is known to be held by no living host, so that
// its caller can be told at once instead of being left to its timeout.
//
// Absence is proved and never assumed. An agent's Certainty tells whether the agent
// knows all flows of its host; only then may it answer Absent for a flow that it
// doesn't know. A balancer collects these answers in a Proof for each flow that it
// searches for, and asks its questions at a bounded rate, which Budget sets.
//
// The types use no sockets, clock or goroutines: callers pass in the time.
//
// # Usage
//
//	ce := absence.NewCertainty(now, lifetime, firstStart)
//	ce.FirstCheckIn(startedAt, sequence)
//	if ce.Certain(now) {
//		answer = absence.Absent
//	}
package absence
