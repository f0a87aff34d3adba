package ledger

import (
	"cmp"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Record is the recorded answer of one ticket in a Snapshot.
type Record struct {
	Sequence uint64
	Digest   Digest
	Answer   Answer
}

// Snapshot is the content of a frozen ledger. The ledger's agent hands it to other
// instances before it stops, so that they can answer repeats of its requests.
type Snapshot struct {
	Home    Home
	Service register.ServiceID
	// Number increases with each snapshot of one home.
	Number uint64
	// Last is the highest sequence that the home issued.
	Last uint64
	// Floor is the lowest sequence whose outcome is still known; it is Last+1 if
	// none is.
	Floor uint64
	// Spent are the sequences whose request ran or may still run, in ascending
	// order. Those from Floor to Last that are missing here never run.
	Spent []uint64
	// Records are the recorded answers in ascending order of their sequence.
	Records []Record
}

// FreezeAndSnapshot freezes the ledger and returns its content with that snapshot
// number. A ticket that waits or runs counts as spent, because its request may
// still run here.
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

// Archive answers repeats of requests whose home stopped. It never lets a request
// run, so any number of instances may hold the same snapshot.
type Archive struct {
	snapshots map[Home]archivedSnapshot
}

// archivedSnapshot is a snapshot with the time until which it is kept.
type archivedSnapshot struct {
	snapshot Snapshot
	// expiry is a time on the clock of the process that holds the archive.
	expiry time.Time
}

// NewArchive returns an empty archive.
func NewArchive() *Archive {
	return &Archive{snapshots: make(map[Home]archivedSnapshot)}
}

// Add keeps the snapshot for Lifetime by the clock of this process, after which
// its tickets have expired. It does nothing and reports false if it already holds
// a snapshot of the same home that is as new or newer.
func (ar *Archive) Add(now time.Time, sn Snapshot) bool {
	ar.RemoveExpired(now)
	if held, ok := ar.snapshots[sn.Home]; ok && held.snapshot.Number >= sn.Number {
		return false
	}
	ar.snapshots[sn.Home] = archivedSnapshot{snapshot: sn, expiry: now.Add(Lifetime)}
	return true
}

// RemoveExpired removes the snapshots whose tickets have expired.
func (ar *Archive) RemoveExpired(now time.Time) {
	for ho, as := range ar.snapshots {
		if !now.Before(as.expiry) {
			delete(ar.snapshots, ho)
		}
	}
}

// Snapshots returns the snapshots held, in the order of their homes, so that this
// process can hand them on before it stops.
func (ar *Archive) Snapshots() []Snapshot {
	var sns []Snapshot
	for _, as := range ar.snapshots {
		sns = append(sns, as.snapshot)
	}
	slices.SortFunc(sns, func(a, b Snapshot) int {
		if order := a.Home.Host.Compare(b.Home.Host); order != 0 {
			return order
		}
		return cmp.Compare(a.Home.Incarnation, b.Home.Incarnation)
	})
	return sns
}

// Lookup returns the verdict on a request whose ticket's home may have stopped.
// VerdictOtherHome means that the archive holds no snapshot of that home and
// service. VerdictRun and VerdictWait are never returned.
func (ar *Archive) Lookup(ti Ticket, digest Digest) OpenResult {
	as, ok := ar.snapshots[ti.Home]
	if !ok || as.snapshot.Service != ti.Service {
		return OpenResult{Verdict: VerdictOtherHome}
	}
	return as.snapshot.lookup(ti.Sequence, digest)
}

// lookup returns the verdict on a request with the ticket of that sequence.
func (sn *Snapshot) lookup(sequence uint64, digest Digest) OpenResult {
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
