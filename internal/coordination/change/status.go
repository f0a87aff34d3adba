package change

import (
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// StatusQuery is the state machine that finds out what became of an attempt at
// a change whose outcome was unknown.
//
// It only reads, unless it is to settle the change. Then, if the attempt is
// still pending, it raises the fence of the root, so that the attempt can no
// longer take effect.
type StatusQuery struct {
	callTracker
	identity Identity
	base     catalog.Version
	settle   bool
	step     step
	done     bool
	status   Status
	entry    Entry
	err      error
}

// NewStatusQuery returns a query for the attempt, which settles a pending one
// if settle is true. It returns catalog.ErrInvalid for text that is not an
// identity.
func NewStatusQuery(identity Identity, settle bool) (*StatusQuery, error) {
	base, err := identity.Base()
	if err != nil {
		return nil, err
	}
	return &StatusQuery{identity: identity, base: base, settle: settle}, nil
}

// Done reports whether the query has ended.
func (sq *StatusQuery) Done() bool {
	return sq.done
}

// Status returns the status of the attempt, with its history entry if it was
// accepted. An error says that the status could not be determined.
func (sq *StatusQuery) Status() (Status, Entry, error) {
	return sq.status, sq.entry, sq.err
}

func (sq *StatusQuery) finish(status Status, err error) []archive.Call {
	sq.done = true
	sq.status, sq.err = status, err
	return nil
}

// Start returns the first call.
func (sq *StatusQuery) Start(time.Time) []archive.Call {
	sq.step = stepReadRoot
	return []archive.Call{sq.read(RootName)}
}

// Handle takes the answer to one call and returns the next calls.
func (sq *StatusQuery) Handle(now time.Time, an archive.Answer) []archive.Call {
	if sq.done || !sq.countAnswer(an) {
		return nil
	}
	if sq.step == stepWriteFence {
		return sq.fenceWritten(now, an)
	}
	switch {
	case an.Result == archive.ResultNotFound && sq.step == stepReadRoot:
		return sq.finish(StatusStoreBehind, nil)
	case an.Result == archive.ResultNotFound:
		return sq.finish(StatusNotRetained, nil)
	case an.Result != archive.ResultDone:
		return sq.finish(StatusPending, ErrUnreachable)
	case sq.step == stepReadPage:
		return sq.pageRead(an)
	}
	return sq.rootRead(an)
}

func (sq *StatusQuery) rootRead(an archive.Answer) []archive.Call {
	ro, err := DecodeRoot(an.Object.Value)
	if err != nil {
		return sq.finish(StatusPending, err)
	}
	status := ro.StatusOf(sq.identity, sq.base)
	switch {
	case status == StatusPending && sq.settle:
		sq.step = stepWriteFence
		ob := archive.Object{Name: RootName, Version: an.Object.Version, Value: raiseFence(ro, sq.identity).Encode()}
		return []archive.Call{sq.call(archive.KindPut, ob)}
	case status == StatusNotRetained:
		return sq.readPage(ro)
	}
	sq.findEntry(ro.History)
	return sq.finish(status, nil)
}

func (sq *StatusQuery) readPage(ro *Root) []archive.Call {
	pa, ok := ro.pageFor(sq.base)
	if !ok {
		return sq.finish(StatusNotRetained, nil)
	}
	sq.step = stepReadPage
	return []archive.Call{sq.read(pa.Name)}
}

func (sq *StatusQuery) pageRead(an archive.Answer) []archive.Call {
	history, err := DecodePage(an.Object.Value)
	if err != nil {
		return sq.finish(StatusNotRetained, err)
	}
	sq.findEntry(history)
	return sq.finish(statusIn(history, sq.identity, sq.base), nil)
}

func (sq *StatusQuery) findEntry(history []Entry) {
	for _, en := range history {
		if en.Identity == sq.identity {
			sq.entry = en
		}
	}
}

// fenceWritten ends the query if the fence was raised. If the root has changed
// or no answer came, it reads the root again.
func (sq *StatusQuery) fenceWritten(now time.Time, an archive.Answer) []archive.Call {
	switch an.Result {
	case archive.ResultDone:
		return sq.finish(StatusAborted, nil)
	case archive.ResultConflict, archive.ResultUnanswered:
		return sq.Start(now)
	default:
		return sq.finish(StatusPending, ErrUnreachable)
	}
}
