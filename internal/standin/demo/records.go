package demo

import (
	"net/netip"
	"sync"
	"time"

	"corneltiller.dev/corneltiller/internal/standin/backend"
)

// Outcome is the outcome of a request as its caller learned it.
type Outcome uint8

// The outcomes of a request: answered with status 200, certainly not executed, or
// possibly executed.
const (
	OutcomeAnswered Outcome = iota + 1
	OutcomeNotRun
	OutcomeUnknown
)

// request is one request as its caller recorded it.
type request struct {
	identity string
	flow     int
	service  string
	// booking marks a POST request, which must run exactly once if it is answered and
	// at most once otherwise.
	booking    bool
	deferrable bool
	startedAt  time.Time
	finishedAt time.Time
	outcome    Outcome
	// host is the agent that was last known to hold the flow when the request was
	// sent: the one that an answer to the caller named last.
	host netip.AddrPort
	// answeredBy is the agent named in the answer, if any.
	answeredBy netip.AddrPort
	// wrongAnswer reports that the answer was incomplete or belonged to another
	// request.
	wrongAnswer bool
	// failure is the error or the status and reason that the caller got, if any.
	failure string
	// reason is the reason header of the answer, if an agent set it.
	reason string
}

// brokenFlow is one flow that ended without a graceful close by the host.
type brokenFlow struct {
	flow int
	at   time.Time
	host netip.AddrPort
	err  error
}

// callerRecords records the requests and flows as the callers saw them. It is safe
// for concurrent use.
type callerRecords struct {
	mu          sync.Mutex
	requests    []request
	brokenFlows []brokenFlow
	flows       int
}

func (cr *callerRecords) add(rq request) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.requests = append(cr.requests, rq)
}

func (cr *callerRecords) addBrokenFlow(bf brokenFlow) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.brokenFlows = append(cr.brokenFlows, bf)
}

func (cr *callerRecords) addFlow() {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.flows++
}

func (cr *callerRecords) requestCount() int {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return len(cr.requests)
}

// serverRecords holds the runs that one backend server recorded, and when the plan
// crashed, drained or added its host; a zero time means never.
type serverRecords struct {
	// agent is the datagram address of the host's agent.
	agent     netip.AddrPort
	service   string
	runs      []backend.Execution
	crashedAt time.Time
	drainedAt time.Time
	joinedAt  time.Time
}

// undisturbed reports whether the plan has neither added, drained nor crashed the
// server's host.
func (sr *serverRecords) undisturbed() bool {
	return sr.crashedAt.IsZero() && sr.drainedAt.IsZero() && sr.joinedAt.IsZero()
}

// workTime returns the total duration of the server's finished runs.
func (sr *serverRecords) workTime() time.Duration {
	var total time.Duration
	for _, ru := range sr.runs {
		if !ru.FinishedAt.IsZero() {
			total += ru.FinishedAt.Sub(ru.StartedAt)
		}
	}
	return total
}
