// Package ledger records what became of each ticket that an agent issued.
//
// A ticket permits one run of one unrepeatable request at the incarnation of
// the agent that issued it. The ledger in that agent's memory is the only
// writer, so at-most-once execution needs neither agreement nor storage. A
// verdict is final: a ticket that was refused as not run never runs later, and
// one that was handed to a backend server is never handed over again, whatever
// clock the agent reads meanwhile.
//
// Memory is bounded. Answers are kept until their ticket expires. What remains
// of a ticket after that are two bits, so that a late repeat is still told
// apart as NotRun or Unknown. Tickets older than the window of bits are Unknown.
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

// Verdict says what to do with a request that carries a ticket.
type Verdict uint8

// The verdicts of Open.
const (
	// VerdictRun means that the request is new and now waits for its run.
	VerdictRun Verdict = iota + 1
	// VerdictWait means that an earlier copy is waiting or running.
	VerdictWait
	// VerdictReplay means that the recorded answer is to be sent.
	VerdictReplay
	// VerdictNotRun means that the ticket never ran and never will.
	VerdictNotRun
	// VerdictUnknown means that the ticket may have run.
	VerdictUnknown
	// VerdictMismatch means that the ticket belongs to another request; this
	// one never ran and never will.
	VerdictMismatch
	// VerdictOtherHome means that the ticket has another home.
	VerdictOtherHome
)

// Limits bound the memory of a ledger.
type Limits struct {
	// Entries is the largest number of tickets that wait, run or are recorded.
	Entries int
	// Bytes is the largest sum of the sizes of recorded answers.
	Bytes int
	// Window is the number of the latest tickets whose fate is remembered.
	Window uint64
}

// DefaultLimits returns limits that keep a ledger below 40 MB.
func DefaultLimits() Limits {
	return Limits{Entries: 1 << 16, Bytes: 24 << 20, Window: 1 << 20}
}

// Lifetime is how long a ticket stays valid after it was issued.
const Lifetime = 5 * time.Minute

// stage is the progress of an entry.
type stage uint8

const (
	stageWaiting stage = iota + 1
	stageRunning
	stageRecorded
)

// entry is the record of one ticket in use.
type entry struct {
	stage  stage
	digest Digest
	expiry time.Time
	answer Answer
}

// Ledger is the record of the tickets of one home.
type Ledger struct {
	home    Home
	service register.ServiceID
	limits  Limits
	last    uint64
	latest  time.Time
	frozen  bool
	entries map[uint64]*entry
	opened  []uint64
	bytes   int
	spent   window
	refused window
}

// New returns an empty ledger of the home.
func New(home Home, service register.ServiceID, limits Limits) *Ledger {
	return &Ledger{
		home:    home,
		service: service,
		limits:  limits,
		entries: make(map[uint64]*entry),
		spent:   newWindow(limits.Window),
		refused: newWindow(limits.Window),
	}
}

// Issue returns a fresh ticket, or an invalid one after Freeze.
func (le *Ledger) Issue(now time.Time) Ticket {
	if le.frozen {
		return Ticket{}
	}
	le.advance(now)
	le.last++
	le.spent.slide(le.last)
	le.refused.slide(le.last)
	return Ticket{
		Home:     le.home,
		Service:  le.service,
		Sequence: le.last,
		Expiry:   le.latest.Add(Lifetime),
	}
}

// OpenResult is the result of Open.
type OpenResult struct {
	Verdict Verdict
	// Answer is the recorded answer of VerdictReplay.
	Answer Answer
}

// Open decides about a request that carries the ticket. VerdictRun is returned
// at most once for each ticket.
func (le *Ledger) Open(now time.Time, ti Ticket, digest Digest) OpenResult {
	le.advance(now)
	if ti.Home != le.home || ti.Service != le.service {
		return OpenResult{Verdict: VerdictOtherHome}
	}
	if en, ok := le.entries[ti.Sequence]; ok {
		return en.repeat(digest)
	}
	if ti.Sequence > le.last || !le.spent.covers(ti.Sequence) {
		return OpenResult{Verdict: VerdictUnknown}
	}
	if le.spent.has(ti.Sequence) {
		return OpenResult{Verdict: VerdictUnknown}
	}
	if le.refused.has(ti.Sequence) {
		return OpenResult{Verdict: VerdictNotRun}
	}
	if le.frozen || !le.latest.Before(ti.Expiry) || le.full() {
		le.refused.add(ti.Sequence)
		return OpenResult{Verdict: VerdictNotRun}
	}
	le.entries[ti.Sequence] = &entry{stage: stageWaiting, digest: digest, expiry: ti.Expiry}
	le.opened = append(le.opened, ti.Sequence)
	return OpenResult{Verdict: VerdictRun}
}

// repeat decides about a further request with the ticket of the entry.
func (en *entry) repeat(digest Digest) OpenResult {
	if en.digest != digest {
		return OpenResult{Verdict: VerdictMismatch}
	}
	if en.stage == stageRecorded {
		return OpenResult{Verdict: VerdictReplay, Answer: en.answer}
	}
	return OpenResult{Verdict: VerdictWait}
}

// Start marks the ticket as handed to a backend server. It reports false,
// and the request must not be handed over, unless the ticket was waiting.
func (le *Ledger) Start(sequence uint64) bool {
	en, ok := le.entries[sequence]
	if !ok || en.stage != stageWaiting {
		return false
	}
	en.stage = stageRunning
	le.spent.add(sequence)
	return true
}

// Record keeps the whole answer of a running ticket for its repeats.
func (le *Ledger) Record(sequence uint64, answer Answer) {
	en, ok := le.entries[sequence]
	if !ok || en.stage != stageRunning {
		return
	}
	en.stage = stageRecorded
	en.answer = answer
	le.bytes += answer.Size()
	le.trim()
}

// ReturnToWaiting takes back a running ticket whose hand-over provably failed, so that
// it waits again.
func (le *Ledger) ReturnToWaiting(sequence uint64) {
	en, ok := le.entries[sequence]
	if !ok || en.stage != stageRunning {
		return
	}
	en.stage = stageWaiting
	le.spent.remove(sequence)
}

// MarkNotRun makes NotRun final for a ticket that was waiting, or whose backend
// server refused it before running.
func (le *Ledger) MarkNotRun(sequence uint64) {
	en, ok := le.entries[sequence]
	if !ok || en.stage == stageRecorded {
		return
	}
	delete(le.entries, sequence)
	le.spent.remove(sequence)
	le.refused.add(sequence)
}

// MarkUnknown makes Unknown final for a running ticket whose answer is lost.
func (le *Ledger) MarkUnknown(sequence uint64) {
	if en, ok := le.entries[sequence]; ok && en.stage == stageRunning {
		delete(le.entries, sequence)
	}
}

// Freeze ends the issue of tickets and refuses those not yet opened. It
// cannot be undone.
func (le *Ledger) Freeze() {
	le.frozen = true
}

// Frozen reports whether the ledger takes no further tickets.
func (le *Ledger) Frozen() bool {
	return le.frozen
}

// Len returns the number of tickets that wait, run or are recorded.
func (le *Ledger) Len() int {
	return len(le.entries)
}

// Bytes returns the sum of the sizes of the recorded answers.
func (le *Ledger) Bytes() int {
	return le.bytes
}

// advance moves the ledger's time, which never goes back, and drops the
// answers of expired tickets.
func (le *Ledger) advance(now time.Time) {
	if now.After(le.latest) {
		le.latest = now
	}
	for len(le.opened) > 0 {
		en, ok := le.entries[le.opened[0]]
		if ok && (en.stage != stageRecorded || le.latest.Before(en.expiry)) {
			return
		}
		le.drop()
	}
}

// trim drops the oldest answers while all together are too large.
func (le *Ledger) trim() {
	for kept := len(le.opened); kept > 0 && le.bytes > le.limits.Bytes; kept-- {
		sequence := le.opened[0]
		en, ok := le.entries[sequence]
		if ok && en.stage != stageRecorded {
			le.opened = append(le.opened[1:], sequence)
			continue
		}
		le.drop()
	}
}

// drop forgets the answer of the ticket that was opened first. Its bit in the
// window remains.
func (le *Ledger) drop() {
	sequence := le.opened[0]
	le.opened = le.opened[1:]
	if en, ok := le.entries[sequence]; ok {
		le.bytes -= en.answer.Size()
		delete(le.entries, sequence)
	}
}

// full reports whether no further ticket can be opened.
func (le *Ledger) full() bool {
	return len(le.entries) >= le.limits.Entries
}
