package ledger

import (
	"cmp"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Record is one recorded answer within a Snapshot.
type Record struct {
	Sequence uint64
	Digest   Digest
	Answer   Answer
}

// Snapshot is the content of a frozen ledger, for its successors.
type Snapshot struct {
	Home    Home
	Service register.ServiceID
	// Number grows with each snapshot of one home.
	Number uint64
	// Last is the highest sequence that the home issued.
	Last uint64
	// Floor is the lowest sequence whose fate is known.
	Floor uint64
	// Spent are the sequences that ran or may still run, in ascending order.
	Spent []uint64
	// Records are the recorded answers in ascending order of their sequence.
	Records []Record
}

// FreezeAndSnapshot freezes the ledger and returns its content. A ticket that waits or
// runs counts as spent, because it may yet run here.
func (le *Ledger) FreezeAndSnapshot(number uint64) Snapshot {
	le.Freeze()
	sn := Snapshot{
		Home:    le.home,
		Service: le.service,
		Number:  number,
		Last:    le.last,
		Floor:   le.last + 1,
	}
	for se := le.last; le.spent.covers(se); se-- {
		sn.Floor = se
		if _, open := le.entries[se]; open || le.spent.has(se) {
			sn.Spent = append(sn.Spent, se)
		}
	}
	slices.Reverse(sn.Spent)
	for _, se := range sn.Spent {
		if en, ok := le.entries[se]; ok && en.stage == stageRecorded {
			sn.Records = append(sn.Records, Record{Sequence: se, Digest: en.digest, Answer: en.answer})
		}
	}
	return sn
}

// Archive answers repeats for homes that stopped. It never runs a ticket, so
// that any number of instances may hold the same snapshot.
type Archive struct {
	shelves map[Home]shelf
}

// shelf is the snapshot of one home.
type shelf struct {
	snapshot Snapshot
	// expiry is read from the clock of the holder.
	expiry time.Time
}

// NewArchive returns an empty archive.
func NewArchive() *Archive {
	return &Archive{shelves: make(map[Home]shelf)}
}

// Add keeps the snapshot until its tickets have expired by the clock of the
// holder. It reports false unless the snapshot is newer than the one held.
func (ar *Archive) Add(now time.Time, sn Snapshot) bool {
	ar.RemoveExpired(now)
	if held, ok := ar.shelves[sn.Home]; ok && held.snapshot.Number >= sn.Number {
		return false
	}
	ar.shelves[sn.Home] = shelf{snapshot: sn, expiry: now.Add(Lifetime)}
	return true
}

// RemoveExpired forgets snapshots whose tickets have expired.
func (ar *Archive) RemoveExpired(now time.Time) {
	for ho, sh := range ar.shelves {
		if !now.Before(sh.expiry) {
			delete(ar.shelves, ho)
		}
	}
}

// Snapshots returns the held snapshots for the next successor, in the order
// of their homes.
func (ar *Archive) Snapshots() []Snapshot {
	var sns []Snapshot
	for _, sh := range ar.shelves {
		sns = append(sns, sh.snapshot)
	}
	slices.SortFunc(sns, func(a, b Snapshot) int {
		if order := a.Home.Host.Compare(b.Home.Host); order != 0 {
			return order
		}
		return cmp.Compare(a.Home.Incarnation, b.Home.Incarnation)
	})
	return sns
}

// Lookup decides about a repeat of a ticket whose home may have stopped.
// VerdictElsewhere means that the archive holds nothing of that home.
func (ar *Archive) Lookup(ti Ticket, digest Digest) OpenResult {
	sh, ok := ar.shelves[ti.Home]
	if !ok || sh.snapshot.Service != ti.Service {
		return OpenResult{Verdict: VerdictOtherHome}
	}
	return sh.snapshot.look(ti.Sequence, digest)
}

// look decides about a repeat of the sequence.
func (sn *Snapshot) look(sequence uint64, digest Digest) OpenResult {
	if sequence < sn.Floor || sequence > sn.Last {
		return OpenResult{Verdict: VerdictUnknown}
	}
	if _, spent := slices.BinarySearch(sn.Spent, sequence); !spent {
		return OpenResult{Verdict: VerdictNotRun}
	}
	at, ok := slices.BinarySearchFunc(sn.Records, sequence, func(re Record, se uint64) int {
		return cmp.Compare(re.Sequence, se)
	})
	if !ok {
		return OpenResult{Verdict: VerdictUnknown}
	}
	if sn.Records[at].Digest != digest {
		return OpenResult{Verdict: VerdictMismatch}
	}
	return OpenResult{Verdict: VerdictReplay, Answer: sn.Records[at].Answer}
}
