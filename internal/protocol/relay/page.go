package relay

import (
	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// The size of a page, so that it fits into one message.
const (
	// pageBytes bounds the answers of a page unless it holds a single one.
	pageBytes = 1 << 20
	// pageSpent bounds the spent sequences of a page.
	pageSpent = 1 << 16
	// pageLimit bounds the pages of a snapshot.
	pageLimit = 256
)

// Page is the body of a KindHandover message: a part of a snapshot. All pages
// repeat the snapshot's identity and bounds.
type Page struct {
	Snapshot ledger.Snapshot
	// Index counts from zero up to Count-1.
	Index int
	Count int
}

// Split returns the pages of the snapshot.
func Split(sn ledger.Snapshot) []Page {
	blank := sn
	blank.Spent, blank.Records = nil, nil
	pages := []Page{{Snapshot: blank}}
	last := func() *ledger.Snapshot { return &pages[len(pages)-1].Snapshot }
	for start := 0; start < len(sn.Spent); start += pageSpent {
		if start > 0 {
			pages = append(pages, Page{Snapshot: blank})
		}
		last().Spent = sn.Spent[start:min(start+pageSpent, len(sn.Spent))]
	}
	bytes := 0
	for _, re := range sn.Records {
		if bytes > 0 && bytes+re.Answer.Size() > pageBytes {
			pages = append(pages, Page{Snapshot: blank})
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

// Assembler puts the pages of snapshots together. Pages of one snapshot come in
// order; an incomplete snapshot is never returned.
type Assembler struct {
	partial map[ledger.Home]Page
}

// NewAssembler returns an empty binder.
func NewAssembler() *Assembler {
	return &Assembler{partial: make(map[ledger.Home]Page)}
}

// Add takes a page. It reports true with the whole snapshot once the last page
// is there.
func (bi *Assembler) Add(pa Page) (ledger.Snapshot, bool, error) {
	home := pa.Snapshot.Home
	if pa.Count < 1 || pa.Count > pageLimit || pa.Index < 0 || pa.Index >= pa.Count {
		return ledger.Snapshot{}, false, errors.Errorf("page %d of %d out of range", pa.Index, pa.Count)
	}
	if pa.Index > 0 {
		former, ok := bi.partial[home]
		if !ok || former.Snapshot.Number != pa.Snapshot.Number || former.Index+1 != pa.Index || former.Count != pa.Count {
			delete(bi.partial, home)
			return ledger.Snapshot{}, false, errors.Errorf("page %d of the ledger of %s without its predecessor", pa.Index, home.Host)
		}
		pa.Snapshot.Spent = append(former.Snapshot.Spent, pa.Snapshot.Spent...)
		pa.Snapshot.Records = append(former.Snapshot.Records, pa.Snapshot.Records...)
	}
	if pa.Index+1 < pa.Count {
		bi.partial[home] = pa
		return ledger.Snapshot{}, false, nil
	}
	delete(bi.partial, home)
	return pa.Snapshot, true, nil
}
