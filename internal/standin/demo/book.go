package demo

import (
	"net/netip"
	"sync"
	"time"

	"corneltiller.dev/corneltiller/internal/standin/backend"
)

// Outcome is what a caller was told about a request.
type Outcome uint8

// The outcomes of a request.
const (
	OutcomeAnswered Outcome = iota + 1
	OutcomeNotRun
	OutcomeUnknown
)

// entry is one request in the callers' book.
type entry struct {
	identity   string
	flow       int
	service    string
	booking    bool
	deferrable bool
	startedAt  time.Time
	finishedAt time.Time
	outcome    Outcome
	// host is the agent that held the flow when the request was sent.
	host netip.AddrPort
	// answeredBy is the agent that told the outcome, if one did.
	answeredBy netip.AddrPort
	// wrong tells an answer that wasn't whole or belonged to another request.
	wrong bool
	// failure is the error or the reason that the caller saw, if any.
	failure string
	// reason is why there was no answer, if an agent said so.
	reason string
}

// ending is the end of one flow without a goodbye.
type ending struct {
	flow int
	at   time.Time
	host netip.AddrPort
	err  error
}

// callerBook records what the callers saw. It is safe for concurrent use.
type callerBook struct {
	mu      sync.Mutex
	entries []entry
	endings []ending
	flows   int
}

func (cb *callerBook) add(en entry) {
	cb.mu.Lock()
	defer cb.mu.Unlock()
	cb.entries = append(cb.entries, en)
}

func (cb *callerBook) addEnding(en ending) {
	cb.mu.Lock()
	defer cb.mu.Unlock()
	cb.endings = append(cb.endings, en)
}

func (cb *callerBook) addFlow() {
	cb.mu.Lock()
	defer cb.mu.Unlock()
	cb.flows++
}

func (cb *callerBook) count() int {
	cb.mu.Lock()
	defer cb.mu.Unlock()
	return len(cb.entries)
}

// serverBook is the book of one backend server and what was done to its host.
type serverBook struct {
	// agent is the datagram address of the host's agent.
	agent     netip.AddrPort
	service   string
	runs      []backend.Execution
	crashedAt time.Time
	drainedAt time.Time
	joinedAt  time.Time
}

// steady reports whether the server took work through the whole demo.
func (sb *serverBook) steady() bool {
	return sb.crashedAt.IsZero() && sb.drainedAt.IsZero() && sb.joinedAt.IsZero()
}

// work returns the total time of the server's work.
func (sb *serverBook) work() time.Duration {
	var total time.Duration
	for _, ru := range sb.runs {
		if !ru.FinishedAt.IsZero() {
			total += ru.FinishedAt.Sub(ru.StartedAt)
		}
	}
	return total
}
