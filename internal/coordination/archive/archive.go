// Package archive decides when a call to the platform's store is sent, sent
// again or given up: deadlines, jittered backoff, a call budget and the circuit
// state. It is a decision core: events and times go in, actions come out.
//
// A read is repeated until its deadline. A write is repeated only if the store
// stated that it had no effect; a write without an answer is handed back as
// ResultUnanswered, for the caller to settle by reading.
//
// # Usage
//
//	cl := archive.New(archive.DefaultPolicy, random)
//	do(cl.Submit(now, call, deadline))
//	do(cl.Answered(now, answer))
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

// writes reports whether the call may have an effect.
func (ki Kind) writes() bool {
	return ki == KindPut || ki == KindDelete
}

// Object is a stored value with the store's version of it.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
	// StoreTime is the store's clock at the answer, zero if unknown.
	StoreTime time.Time
}

// Call is one call of the object API.
type Call struct {
	// ID is chosen by the submitter and unique among its open calls.
	ID   uint64
	Kind Kind
	// Object holds the name, for a write also the value and the version that
	// the write depends on, for a watch the version after which to wait.
	Object
	// Until is when a watch ends without news.
	Until time.Time
}

// Result is how a call ended.
type Result uint8

// The results of a call.
const (
	// ResultDone says that the call succeeded.
	ResultDone Result = iota + 1
	// ResultNotFound says that the object does not exist.
	ResultNotFound
	// ResultConflict says that the object has another version.
	ResultConflict
	// ResultUnchanged says that a watch ended without news.
	ResultUnchanged
	// ResultRefused says that the call had no effect: the store refused it or
	// it was never sent.
	ResultRefused
	// ResultUnanswered says that the effect of the call is not known.
	ResultUnanswered
	// ResultTooLarge says that the store does not hold values of that size.
	ResultTooLarge
)

// failed reports whether the store could not be used.
func (re Result) failed() bool {
	return re == ResultRefused || re == ResultUnanswered
}

// Answer is the end of one call, or of one attempt of it.
type Answer struct {
	ID uint64
	// Attempt is the attempt that is answered, from the ActionSend.
	Attempt int
	Result  Result
	Object  Object
	// Objects are the objects found by a list, with their versions.
	Objects []Object
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionSend asks to send Call, to be answered before Deadline.
	ActionSend ActionKind = iota + 1
	// ActionComplete hands Answer back to the submitter.
	ActionComplete
	// ActionWake asks for a Tick at Deadline.
	ActionWake
)

// Action is what the shell is to do.
type Action struct {
	Kind     ActionKind
	Call     Call
	Attempt  int
	Deadline time.Time
	Answer   Answer
}

// Policy holds the limits of a client.
type Policy struct {
	// AttemptTimeout bounds one attempt.
	AttemptTimeout time.Duration
	// BackoffMin and BackoffMax bound the delay before another attempt.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// CallsPerSecond and Burst are the call budget.
	CallsPerSecond float64
	Burst          float64
	// FailuresToOpen is the number of failed attempts in a row that open the circuit.
	FailuresToOpen int
}

// DefaultPolicy is the policy of one process.
var DefaultPolicy = Policy{
	AttemptTimeout: 2 * time.Second,
	BackoffMin:     50 * time.Millisecond,
	BackoffMax:     5 * time.Second,
	CallsPerSecond: 50,
	Burst:          200,
	FailuresToOpen:       3,
}

// State is the state of the circuit.
type State uint8

// The states of the circuit.
const (
	// StateClosed lets every call pass.
	StateClosed State = iota
	// StateOpen lets no call pass until the backoff has ended.
	StateOpen
	// StateProbing lets a single call pass.
	StateProbing
)

// call is an open call.
type call struct {
	Call
	deadline time.Time
	// due is when the next attempt may be sent, expires when the present one
	// counts as unanswered.
	due      time.Time
	expires  time.Time
	attempts int
	sent     bool
}

// Client is the decision core for the calls of one process.
type Client struct {
	policy   Policy
	random   *rand.Rand
	open     []*call
	tokens   float64
	filled   time.Time
	failures int
	state    State
	reopens  time.Time
}

// New returns a client with a full budget and a closed circuit.
func New(po Policy, random *rand.Rand) *Client {
	return &Client{policy: po, random: random, tokens: po.Burst}
}

// State returns the state of the circuit.
func (cl *Client) State() State {
	return cl.state
}

// Submit accepts a call, to be completed by the deadline.
func (cl *Client) Submit(now time.Time, ca Call, deadline time.Time) []Action {
	cl.open = append(cl.open, &call{Call: ca, deadline: deadline, due: now})
	return cl.Tick(now)
}

// HandleAnswer takes the end of one attempt. An answer to an attempt that has
// expired or to a completed call is ignored.
func (cl *Client) HandleAnswer(now time.Time, an Answer) []Action {
	ca := cl.find(an.ID)
	if ca == nil || !ca.sent || ca.attempts != an.Attempt {
		return nil
	}
	return append(cl.settle(now, ca, an), cl.Tick(now)...)
}

// Tick sends what is due and completes what has expired.
func (cl *Client) Tick(now time.Time) []Action {
	var actions []Action
	for _, ca := range append([]*call(nil), cl.open...) {
		switch {
		case ca.sent && !now.Before(ca.expires):
			an := Answer{ID: ca.ID, Attempt: ca.attempts, Result: ResultUnanswered}
			actions = append(actions, cl.settle(now, ca, an)...)
		case !ca.sent && !now.Before(ca.deadline):
			actions = append(actions, cl.complete(ca, Answer{ID: ca.ID, Result: ResultRefused}))
		}
	}
	for _, ca := range cl.open {
		if !ca.sent && !now.Before(ca.due) && cl.admit(now) {
			actions = append(actions, cl.send(now, ca))
		}
	}
	if at, any := cl.next(now); any {
		actions = append(actions, Action{Kind: ActionWake, Deadline: at})
	}
	return actions
}

// Abandon gives up all open calls, whose answers nobody waits for any more. A
// later core numbers its calls from the start again, so none may stay open.
func (cl *Client) Abandon(now time.Time) {
	clear(cl.open)
	cl.open = cl.open[:0]
	if cl.state == StateProbing {
		cl.state = StateOpen
		cl.reopens = now
	}
}

func (cl *Client) find(id uint64) *call {
	for _, ca := range cl.open {
		if ca.ID == id {
			return ca
		}
	}
	return nil
}

// admit takes a token from the budget if the circuit lets a call pass.
func (cl *Client) admit(now time.Time) bool {
	if cl.state == StateProbing || cl.state == StateOpen && now.Before(cl.reopens) {
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

func (cl *Client) refill(now time.Time) {
	if !cl.filled.IsZero() {
		cl.tokens += now.Sub(cl.filled).Seconds() * cl.policy.CallsPerSecond
	}
	cl.tokens = min(cl.tokens, cl.policy.Burst)
	cl.filled = now
}

func (cl *Client) send(now time.Time, ca *call) Action {
	ca.sent = true
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

// settle decides whether the call is complete after one attempt.
func (cl *Client) settle(now time.Time, ca *call, an Answer) []Action {
	ca.sent = false
	cl.observe(now, an.Result)
	repeat := an.Result == ResultRefused || an.Result == ResultUnanswered && !ca.Kind.writes()
	ca.due = now.Add(cl.backoff(ca.attempts))
	if repeat && ca.due.Before(ca.deadline) {
		return nil
	}
	return []Action{cl.complete(ca, an)}
}

// observe moves the circuit: it opens after failures in a row and closes after
// one success.
func (cl *Client) observe(now time.Time, re Result) {
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
	cl.reopens = now.Add(cl.backoff(cl.failures))
}

// backoff returns a delay with full jitter that doubles with each attempt.
func (cl *Client) backoff(attempts int) time.Duration {
	ceiling := cl.policy.BackoffMax
	if shift := attempts - 1; shift < 16 {
		ceiling = min(ceiling, cl.policy.BackoffMin<<shift)
	}
	return ceiling/2 + time.Duration(cl.random.Int64N(int64(ceiling/2)+1))
}

func (cl *Client) complete(ca *call, an Answer) Action {
	for i, other := range cl.open {
		if other == ca {
			cl.open = append(cl.open[:i:i], cl.open[i+1:]...)
			break
		}
	}
	return Action{Kind: ActionComplete, Call: ca.Call, Answer: an}
}

// next returns when the earliest call expires or becomes due.
func (cl *Client) next(now time.Time) (time.Time, bool) {
	var earliest time.Time
	for _, ca := range cl.open {
		at := ca.expires
		if !ca.sent {
			at = cl.sendable(now, ca)
		}
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest, !earliest.IsZero()
}

// sendable returns when a waiting call can be sent at the earliest, or expires.
func (cl *Client) sendable(now time.Time, ca *call) time.Time {
	at := ca.due
	if cl.state == StateOpen && at.Before(cl.reopens) {
		at = cl.reopens
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

// InstancePolicy is the policy of a balancer or agent, of which there are many.
var InstancePolicy = Policy{
	AttemptTimeout: 2 * time.Second,
	BackoffMin:     200 * time.Millisecond,
	BackoffMax:     30 * time.Second,
	CallsPerSecond: 2,
	Burst:          100,
	FailuresToOpen:       3,
}
