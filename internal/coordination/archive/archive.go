// Package archive decides when a call to the platform's object store is sent,
// retried or given up. It has deadlines, jittered exponential backoff, a rate
// limit and a circuit breaker. It does no I/O and reads no clock: every input
// carries the time, and every output is a list of actions for the caller.
//
// A read is retried until its deadline; a watch that is retried doesn't wait for a
// change, so that the submitter soon learns of the store's present era. A write is
// retried only if it is known to have had no effect. A write without an answer is
// completed with ResultUnanswered, and the submitter finds out by reading whether it
// had an effect.
//
// # Usage
//
//	cl := archive.New(archive.DefaultPolicy, random)
//	do(cl.Submit(now, call, deadline))
//	do(cl.HandleAnswer(now, answer))
//	do(cl.Tick(now))
package archive

import (
	"math/rand/v2"
	"time"
)

// Kind is the kind of a call.
type Kind uint8

// The kinds of calls.
const (
	KindGet Kind = iota + 1
	KindPut
	KindDelete
	KindList
	KindWatch
)

// writes reports whether a call of the kind can change an object.
func (ki Kind) writes() bool {
	return ki == KindPut || ki == KindDelete
}

// Object is a stored value with the store's version of it, which is unrelated to
// the version of a configuration.
type Object struct {
	Name    string
	Version uint64
	// Era is the store's era when it answered, zero if unknown. Versions of different
	// eras can't be compared.
	Era   uint64
	Value []byte
	// StoreTime is the store's clock when it answered, zero if unknown.
	StoreTime time.Time
}

// Call is one call to the store.
type Call struct {
	// ID is chosen by the submitter and unique among its open calls.
	ID   uint64
	Kind Kind
	// Object holds the name. For a write it also holds the value and the version
	// that the object must have in the store for the write to succeed; for a
	// watch, the version after which to wait for a newer one.
	Object
	// Until is when a watch ends if the object does not change. It has passed for a
	// watch that is retried.
	Until time.Time
}

// Result is the result of a call.
type Result uint8

// The results of a call.
const (
	// ResultDone says that the call succeeded.
	ResultDone Result = iota + 1
	// ResultNotFound says that the object does not exist.
	ResultNotFound
	// ResultConflict says that a write had no effect because the object has
	// another version than the one given.
	ResultConflict
	// ResultUnchanged says that a watch ended and the object had not changed.
	ResultUnchanged
	// ResultRefused says that the call had no effect: the store refused it or
	// it was never sent.
	ResultRefused
	// ResultUnanswered says that it is not known whether the call had an effect,
	// for instance because no answer came.
	ResultUnanswered
	// ResultTooLarge says that the store does not accept a value of that size.
	ResultTooLarge
)

// failed reports whether the result counts as a failure of the store.
func (re Result) failed() bool {
	return re == ResultRefused || re == ResultUnanswered
}

// Answer is the result of a call, or of one attempt of it.
type Answer struct {
	ID uint64
	// Attempt is the number of the answered attempt, from the ActionSend.
	Attempt int
	Result  Result
	Object  Object
	// Objects are the objects found by a list, with names and versions.
	Objects []Object
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionSend requests that Call is sent; its answer is due before Deadline.
	ActionSend ActionKind = iota + 1
	// ActionComplete tells the submitter of Call that it has ended with Answer.
	ActionComplete
	// ActionWake requests a Tick at Deadline.
	ActionWake
)

// Action is something that the caller is to do. The comments on the kinds say
// which fields are set.
type Action struct {
	Kind     ActionKind
	Call     Call
	Attempt  int
	Deadline time.Time
	Answer   Answer
}

// Policy holds the settings of a client.
type Policy struct {
	// AttemptTimeout bounds one attempt. For a watch it counts from Call.Until.
	AttemptTimeout time.Duration
	// BackoffMin and BackoffMax bound the delay before another attempt, before
	// jitter, which takes off up to half of it.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// CallsPerSecond and Burst are the rate and the size of the token bucket
	// that limits attempts.
	CallsPerSecond float64
	Burst          float64
	// FailuresToOpen is the number of consecutive failed attempts that opens the
	// circuit.
	FailuresToOpen int
}

// DefaultPolicy is the policy of a process of which there are few, such as the
// console.
var DefaultPolicy = Policy{
	AttemptTimeout: 2 * time.Second,
	BackoffMin:     50 * time.Millisecond,
	BackoffMax:     5 * time.Second,
	CallsPerSecond: 50,
	Burst:          200,
	FailuresToOpen: 3,
}

// State is the state of the circuit breaker.
type State uint8

// The states of the circuit breaker.
const (
	// StateClosed admits every call.
	StateClosed State = iota
	// StateOpen admits no call until the backoff has ended.
	StateOpen
	// StateProbing admits no further call until an attempt ends, usually that of
	// the call sent as a probe.
	StateProbing
)

// call is a call that is not complete.
type call struct {
	Call
	deadline time.Time
	// due is when the next attempt may be sent, expires when the one in flight
	// counts as unanswered.
	due      time.Time
	expires  time.Time
	attempts int
	inFlight bool
}

// Client is the state machine for the store calls of one process. It is not safe
// for concurrent use.
type Client struct {
	policy Policy
	random *rand.Rand
	// calls are the calls that are not complete.
	calls      []*call
	tokens     float64
	refilledAt time.Time
	// failures is the number of consecutive failed attempts.
	failures int
	state    State
	// probeAt is when an open circuit admits a probe.
	probeAt time.Time
}

// New returns a client with a full token bucket and a closed circuit.
func New(po Policy, random *rand.Rand) *Client {
	return &Client{policy: po, random: random, tokens: po.Burst}
}

// State returns the state of the circuit breaker.
func (cl *Client) State() State {
	return cl.state
}

// Submit accepts a call, which is completed by the deadline.
func (cl *Client) Submit(now time.Time, ca Call, deadline time.Time) []Action {
	cl.calls = append(cl.calls, &call{Call: ca, deadline: deadline, due: now})
	return cl.Tick(now)
}

// HandleAnswer handles the answer to one attempt. An answer to an attempt that
// has expired or to a call that is complete is ignored.
func (cl *Client) HandleAnswer(now time.Time, an Answer) []Action {
	ca := cl.find(an.ID)
	if ca == nil || !ca.inFlight || ca.attempts != an.Attempt {
		return nil
	}
	return append(cl.finishAttempt(now, ca, an), cl.Tick(now)...)
}

// Tick completes expired calls, sends the calls that are due, and requests the
// next tick if calls are left.
func (cl *Client) Tick(now time.Time) []Action {
	var actions []Action
	for _, ca := range append([]*call(nil), cl.calls...) {
		switch {
		case ca.inFlight && !now.Before(ca.expires):
			an := Answer{ID: ca.ID, Attempt: ca.attempts, Result: ResultUnanswered}
			actions = append(actions, cl.finishAttempt(now, ca, an)...)
		case !ca.inFlight && !now.Before(ca.deadline):
			actions = append(actions, cl.complete(ca, Answer{ID: ca.ID, Result: ResultRefused}))
		}
	}
	for _, ca := range cl.calls {
		if !ca.inFlight && !now.Before(ca.due) && cl.admit(now) {
			actions = append(actions, cl.send(now, ca))
		}
	}
	if at, any := cl.nextWake(now); any {
		actions = append(actions, Action{Kind: ActionWake, Deadline: at})
	}
	return actions
}

// Abandon drops all calls without completing them, for when no submitter waits
// for them any more. The next submitter may use their IDs again, so none of them
// may stay.
func (cl *Client) Abandon(now time.Time) {
	clear(cl.calls)
	cl.calls = cl.calls[:0]
	if cl.state == StateProbing {
		cl.state = StateOpen
		cl.probeAt = now
	}
}

// find returns the call with the ID, or nil.
func (cl *Client) find(id uint64) *call {
	for _, ca := range cl.calls {
		if ca.ID == id {
			return ca
		}
	}
	return nil
}

// admit takes a token if the circuit admits a call, and reports whether a call may
// be sent.
func (cl *Client) admit(now time.Time) bool {
	if cl.state == StateProbing || cl.state == StateOpen && now.Before(cl.probeAt) {
		return false
	}
	cl.refill(now)
	if cl.tokens < 1 {
		return false
	}
	cl.tokens--
	if cl.state == StateOpen {
		cl.state = StateProbing
	}
	return true
}

// refill adds the tokens that accrued since the last call.
func (cl *Client) refill(now time.Time) {
	if !cl.refilledAt.IsZero() {
		cl.tokens += now.Sub(cl.refilledAt).Seconds() * cl.policy.CallsPerSecond
	}
	cl.tokens = min(cl.tokens, cl.policy.Burst)
	cl.refilledAt = now
}

// send starts an attempt of the call.
func (cl *Client) send(now time.Time, ca *call) Action {
	ca.inFlight = true
	ca.attempts++
	ca.expires = now.Add(cl.policy.AttemptTimeout)
	if ca.Kind == KindWatch {
		ca.expires = ca.Until.Add(cl.policy.AttemptTimeout)
	}
	if ca.deadline.Before(ca.expires) {
		ca.expires = ca.deadline
	}
	return Action{Kind: ActionSend, Call: ca.Call, Attempt: ca.attempts, Deadline: ca.expires}
}

// finishAttempt ends an attempt of the call: it schedules a retry if the result
// and the deadline allow one, and completes the call otherwise.
func (cl *Client) finishAttempt(now time.Time, ca *call, an Answer) []Action {
	ca.inFlight = false
	cl.updateCircuit(now, an.Result)
	repeat := an.Result == ResultRefused || an.Result == ResultUnanswered && !ca.Kind.writes()
	ca.due = now.Add(cl.backoff(ca.attempts))
	if repeat && ca.due.Before(ca.deadline) {
		ca.Until = now
		return nil
	}
	return []Action{cl.complete(ca, an)}
}

// updateCircuit opens the circuit after FailuresToOpen consecutive failures and
// closes it after one success.
func (cl *Client) updateCircuit(now time.Time, re Result) {
	if !re.failed() {
		cl.failures = 0
		cl.state = StateClosed
		return
	}
	cl.failures++
	if cl.failures < cl.policy.FailuresToOpen {
		return
	}
	cl.state = StateOpen
	cl.probeAt = now.Add(cl.backoff(cl.failures))
}

// backoff returns a delay of which the bound doubles with each attempt, from
// BackoffMin to BackoffMax: a random one between half the bound and the bound.
func (cl *Client) backoff(attempts int) time.Duration {
	ceiling := cl.policy.BackoffMax
	if shift := attempts - 1; shift < 16 {
		ceiling = min(ceiling, cl.policy.BackoffMin<<shift)
	}
	return ceiling/2 + time.Duration(cl.random.Int64N(int64(ceiling/2)+1))
}

// complete removes the call and returns the action that hands back its answer.
func (cl *Client) complete(ca *call, an Answer) Action {
	for i, other := range cl.calls {
		if other == ca {
			cl.calls = append(cl.calls[:i:i], cl.calls[i+1:]...)
			break
		}
	}
	return Action{Kind: ActionComplete, Call: ca.Call, Answer: an}
}

// nextWake returns when the first call expires or can be sent, and false if there
// is none.
func (cl *Client) nextWake(now time.Time) (time.Time, bool) {
	var earliest time.Time
	for _, ca := range cl.calls {
		at := ca.expires
		if !ca.inFlight {
			at = cl.earliestSend(now, ca)
		}
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest, !earliest.IsZero()
}

// earliestSend returns when a waiting call can be sent at the earliest, or its
// deadline if that is before.
func (cl *Client) earliestSend(now time.Time, ca *call) time.Time {
	at := ca.due
	if cl.state == StateOpen && at.Before(cl.probeAt) {
		at = cl.probeAt
	}
	if cl.tokens < 1 {
		lacking := time.Duration((1 - cl.tokens) / cl.policy.CallsPerSecond * float64(time.Second))
		if full := now.Add(lacking + time.Millisecond); at.Before(full) {
			at = full
		}
	}
	if cl.state == StateProbing || ca.deadline.Before(at) {
		return ca.deadline
	}
	return at
}

// InstancePolicy is the policy of a balancer or agent. There are many of them, so
// each may send fewer calls.
var InstancePolicy = Policy{
	AttemptTimeout: 2 * time.Second,
	BackoffMin:     200 * time.Millisecond,
	BackoffMax:     30 * time.Second,
	CallsPerSecond: 2,
	Burst:          100,
	FailuresToOpen: 3,
}
