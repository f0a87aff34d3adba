package relay

import (
	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// The limits of a page and a snapshot. A page must fit into one message.
const (
	// maxPageBytes is the largest total size of a page's answers in bytes. A single
	// larger answer has a page to itself.
	maxPageBytes = 1 << 20
	// maxPageSpent is the largest number of spent sequences in a page.
	maxPageSpent = 1 << 16
	// maxPages is the largest number of pages of a snapshot that a receiver accepts.
	maxPages = 256
)

// Page is the body of a KindHandover message: a part of a ledger's snapshot. Every
// page repeats the snapshot's home, service, number, last sequence and floor.
type Page struct {
	Snapshot ledger.Snapshot
	// Index is the position of the page, from zero to Count-1.
	Index int
	// Count is the number of pages of the snapshot.
	Count int
}

// Split divides a snapshot into pages.
func Split(sn ledger.Snapshot) []Page {
	empty := sn
	empty.Spent, empty.Records = nil, nil
	pages := []Page{{Snapshot: empty}}
	last := func() *ledger.Snapshot { return &pages[len(pages)-1].Snapshot }
	for start := 0; start < len(sn.Spent); start += maxPageSpent {
		if start > 0 {
			pages = append(pages, Page{Snapshot: empty})
		}
		last().Spent = sn.Spent[start:min(start+maxPageSpent, len(sn.Spent))]
	}
	bytes := 0
	for _, re := range sn.Records {
		if bytes > 0 && bytes+re.Answer.Size() > maxPageBytes {
			pages = append(pages, Page{Snapshot: empty})
			bytes = 0
		}
		last().Records = append(last().Records, re)
		bytes += re.Answer.Size() + 1
	}
	for at := range pages {
		pages[at].Index, pages[at].Count = at, len(pages)
	}
	return pages
}

// Assembler restores snapshots from their pages. The pages of a snapshot must be
// added in order; an incomplete snapshot is never returned. An Assembler is not
// safe for concurrent use.
type Assembler struct {
	partial map[ledger.Home]Page
}

// NewAssembler returns an assembler without pages.
func NewAssembler() *Assembler {
	return &Assembler{partial: make(map[ledger.Home]Page)}
}

// Add adds a page. It returns the whole snapshot and true once the last page is
// added. A page whose index or count is out of range is an error. So is a page that
// does not follow the one added before, after which the pages of its home are
// discarded.
func (as *Assembler) Add(pa Page) (ledger.Snapshot, bool, error) {
	home := pa.Snapshot.Home
	if pa.Count < 1 || pa.Count > maxPages || pa.Index < 0 || pa.Index >= pa.Count {
		return ledger.Snapshot{}, false, errors.Errorf("ledger page with index %d of %d pages is out of range", pa.Index, pa.Count)
	}
	if pa.Index > 0 {
		previous, ok := as.partial[home]
		if !ok || previous.Snapshot.Number != pa.Snapshot.Number || previous.Index+1 != pa.Index || previous.Count != pa.Count {
			delete(as.partial, home)
			return ledger.Snapshot{}, false, errors.Errorf("ledger page with index %d of host %s does not follow the page before it", pa.Index, home.Host)
		}
		pa.Snapshot.Spent = append(previous.Snapshot.Spent, pa.Snapshot.Spent...)
		pa.Snapshot.Records = append(previous.Snapshot.Records, pa.Snapshot.Records...)
	}
	if pa.Index+1 < pa.Count {
		as.partial[home] = pa
		return ledger.Snapshot{}, false, nil
	}
	delete(as.partial, home)
	return pa.Snapshot, true, nil
}
