// Package ledger gives at-most-once execution to requests that must not be
// repeated: it issues tickets and records the outcome of each.
//
// A ticket permits one run of one such request, and only by the agent that
// issued it, in the same incarnation: the ticket's home. Only the ledger in that
// agent's memory decides whether a ticket may run, so at-most-once execution
// needs neither consensus nor storage. The outcomes are final: a request that was
// refused as NotRun never runs later, and one that was sent to a backend server
// is not sent again, even if the agent's clock jumps. The one exception is
// ReturnToWaiting, for an attempt that provably did not run the request.
//
// Memory is bounded. Answers are kept until their ticket expires; while they
// exceed Limits.Bytes together, the oldest are dropped earlier. After that two
// bits for each ticket remain, which tell whether a late repeat gets NotRun or
// Unknown. Repeats of tickets older than the window of these bits get Unknown.
//
// A Ledger is not safe for concurrent use.
//
// # Usage
//
//	le := ledger.New(home, service, ledger.DefaultLimits())
//	ti := le.Issue(now)
//	if le.Open(now, ti, digest).Verdict == ledger.VerdictRun {
//		le.Start(ti.Sequence)
//		le.Record(ti.Sequence, answer)
//	}
package ledger

import (
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Verdict says how to treat a request that carries a ticket.
type Verdict uint8

// The verdicts of Ledger.Open and Archive.Lookup.
const (
	// VerdictRun means that the request is new and may run; it is now waiting.
	VerdictRun Verdict = iota + 1
	// VerdictWait means that an earlier copy of the request is waiting or running.
	VerdictWait
	// VerdictReplay means that the recorded answer is to be sent.
	VerdictReplay
	// VerdictNotRun means that the request never ran and never will.
	VerdictNotRun
	// VerdictUnknown means that the request may have run.
	VerdictUnknown
	// VerdictMismatch means that the ticket was used for another request; this
	// one never ran and never will.
	VerdictMismatch
	// VerdictOtherHome means that the ticket belongs to another home or service.
	VerdictOtherHome
)

// Limits bound the memory of a ledger.
type Limits struct {
	// Entries is the largest number of tickets that are waiting, running or
	// recorded.
	Entries int
	// Bytes is the largest total size of the recorded answers.
	Bytes int
	// Window is the number of the latest tickets whose outcome is remembered, at
	// least.
	Window uint64
}

// DefaultLimits returns limits that keep a ledger below 40 MB.
func DefaultLimits() Limits {
	return Limits{Entries: 1 << 16, Bytes: 24 << 20, Window: 1 << 20}
}

// Lifetime is how long a ticket stays valid after it was issued.
const Lifetime = 5 * time.Minute

// stage is how far the request of an entry has come.
type stage uint8

const (
	// stageWaiting has not been sent to a backend server.
	stageWaiting stage = iota + 1
	// stageRunning was sent to a backend server and has no recorded answer.
	stageRunning
	// stageRecorded has a recorded answer.
	stageRecorded
)

// entry holds a ticket that is waiting, running or recorded.
type entry struct {
	stage  stage
	digest Digest
	expiry time.Time
	answer Answer
}

// Ledger issues the tickets of one home and records their outcomes.
type Ledger struct {
	home    Home
	service register.ServiceID
	limits  Limits
	// last is the highest sequence issued.
	last uint64
	// latestTime is the latest time that was passed to Issue or Open.
	latestTime time.Time
	frozen     bool
	entries    map[uint64]*entry
	// openOrder are the sequences of opened tickets, the first to be dropped first.
	// It may include sequences whose entry was removed since.
	openOrder   []uint64
	answerBytes int
	// spent has the sequences that were sent to a backend server, notRun those
	// that were refused and never run.
	spent  window
	notRun window
}

// New returns an empty ledger of the home for one service.
func New(home Home, service register.ServiceID, limits Limits) *Ledger {
	return &Ledger{
		home:    home,
		service: service,
		limits:  limits,
		entries: make(map[uint64]*entry),
		spent:   newWindow(limits.Window),
		notRun:  newWindow(limits.Window),
	}
}

// Issue returns a new ticket, or an invalid one after Freeze.
func (le *Ledger) Issue(now time.Time) Ticket {
	if le.frozen {
		return Ticket{}
	}
	le.advanceTime(now)
	le.last++
	le.spent.slide(le.last)
	le.notRun.slide(le.last)
	return Ticket{
		Home:     le.home,
		Service:  le.service,
		Sequence: le.last,
		Expiry:   le.latestTime.Add(Lifetime),
	}
}

// OpenResult is the result of Ledger.Open and Archive.Lookup.
type OpenResult struct {
	Verdict Verdict
	// Answer is the recorded answer; it is set with VerdictReplay only.
	Answer Answer
}

// Open returns the verdict on a request that carries the ticket. It returns
// VerdictRun at most once for each ticket.
func (le *Ledger) Open(now time.Time, ti Ticket, digest Digest) OpenResult {
	le.advanceTime(now)
	if ti.Home != le.home || ti.Service != le.service {
		return OpenResult{Verdict: VerdictOtherHome}
	}
	if en, ok := le.entries[ti.Sequence]; ok {
		return en.repeatResult(digest)
	}
	if ti.Sequence > le.last || !le.spent.covers(ti.Sequence) {
		return OpenResult{Verdict: VerdictUnknown}
	}
	if le.spent.has(ti.Sequence) {
		return OpenResult{Verdict: VerdictUnknown}
	}
	if le.notRun.has(ti.Sequence) {
		return OpenResult{Verdict: VerdictNotRun}
	}
	if le.frozen || !le.latestTime.Before(ti.Expiry) || le.full() {
		le.notRun.add(ti.Sequence)
		return OpenResult{Verdict: VerdictNotRun}
	}
	le.entries[ti.Sequence] = &entry{stage: stageWaiting, digest: digest, expiry: ti.Expiry}
	le.openOrder = append(le.openOrder, ti.Sequence)
	return OpenResult{Verdict: VerdictRun}
}

// repeatResult returns the verdict on a further request with the entry's ticket.
func (en *entry) repeatResult(digest Digest) OpenResult {
	if en.digest != digest {
		return OpenResult{Verdict: VerdictMismatch}
	}
	if en.stage == stageRecorded {
		return OpenResult{Verdict: VerdictReplay, Answer: en.answer}
	}
	return OpenResult{Verdict: VerdictWait}
}

// Start marks the ticket as running, before its request is sent to a backend
// server. It reports false unless the ticket was waiting; the request must not be
// sent then.
func (le *Ledger) Start(sequence uint64) bool {
	en, ok := le.entries[sequence]
	if !ok || en.stage != stageWaiting {
		return false
	}
	en.stage = stageRunning
	le.spent.add(sequence)
	return true
}

// Record keeps the whole answer of a running ticket, to replay it to repeats of
// the request.
func (le *Ledger) Record(sequence uint64, answer Answer) {
	en, ok := le.entries[sequence]
	if !ok || en.stage != stageRunning {
		return
	}
	en.stage = stageRecorded
	en.answer = answer
	le.answerBytes += answer.Size()
	le.enforceByteLimit()
}

// ReturnToWaiting makes a running ticket wait again. It may only be called if the
// attempt to run the request at a backend server provably failed.
func (le *Ledger) ReturnToWaiting(sequence uint64) {
	en, ok := le.entries[sequence]
	if !ok || en.stage != stageRunning {
		return
	}
	en.stage = stageWaiting
	le.spent.remove(sequence)
}

// MarkNotRun makes NotRun the final outcome of a ticket that was waiting, or
// whose backend server refused the request before running it.
func (le *Ledger) MarkNotRun(sequence uint64) {
	en, ok := le.entries[sequence]
	if !ok || en.stage == stageRecorded {
		return
	}
	delete(le.entries, sequence)
	le.spent.remove(sequence)
	le.notRun.add(sequence)
}

// MarkUnknown makes Unknown the final outcome of a running ticket whose answer is
// lost.
func (le *Ledger) MarkUnknown(sequence uint64) {
	if en, ok := le.entries[sequence]; ok && en.stage == stageRunning {
		delete(le.entries, sequence)
	}
}

// Freeze stops the issue of tickets; requests with tickets that are not yet
// opened get NotRun from then on. It cannot be undone.
func (le *Ledger) Freeze() {
	le.frozen = true
}

// Frozen reports whether Freeze was called.
func (le *Ledger) Frozen() bool {
	return le.frozen
}

// Len returns the number of tickets that are waiting, running or recorded.
func (le *Ledger) Len() int {
	return len(le.entries)
}

// Bytes returns the total size of the recorded answers.
func (le *Ledger) Bytes() int {
	return le.answerBytes
}

// advanceTime sets the ledger's time, unless that would set it back, and drops
// the answers of expired tickets up to the first ticket that can't be dropped yet.
func (le *Ledger) advanceTime(now time.Time) {
	if now.After(le.latestTime) {
		le.latestTime = now
	}
	for len(le.openOrder) > 0 {
		en, ok := le.entries[le.openOrder[0]]
		if ok && (en.stage != stageRecorded || le.latestTime.Before(en.expiry)) {
			return
		}
		le.dropOldest()
	}
}

// enforceByteLimit drops answers, the oldest first, until their total size is
// within the limit. Tickets without an answer are kept, moved to the end of
// openOrder.
func (le *Ledger) enforceByteLimit() {
	for kept := len(le.openOrder); kept > 0 && le.answerBytes > le.limits.Bytes; kept-- {
		sequence := le.openOrder[0]
		en, ok := le.entries[sequence]
		if ok && en.stage != stageRecorded {
			le.openOrder = append(le.openOrder[1:], sequence)
			continue
		}
		le.dropOldest()
	}
}

// dropOldest removes the first ticket of openOrder with its answer. Its bits in
// spent and notRun remain.
func (le *Ledger) dropOldest() {
	sequence := le.openOrder[0]
	le.openOrder = le.openOrder[1:]
	if en, ok := le.entries[sequence]; ok {
		le.answerBytes -= en.answer.Size()
		delete(le.entries, sequence)
	}
}

// full reports whether the limit of entries is reached, so that no further ticket
// may be opened.
func (le *Ledger) full() bool {
	return len(le.entries) >= le.limits.Entries
}
