package change

import (
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// StatusQuery is the decision core that finds out what became of a change whose
// outcome was unknown. Only if it settles does it write: it raises the fence of
// a root that the change could still follow, after which the change can't take
// effect any more.
type StatusQuery struct {
	callTracker
	identity Identity
	base     catalog.Version
	settle   bool
	step     step
	done     bool
	status     Status
	entry    Entry
	err      error
}

// NewStatusQuery returns an inquiry about the change. It returns an error for text
// that is no identity.
func NewStatusQuery(identity Identity, settle bool) (*StatusQuery, error) {
	base, err := identity.Base()
	if err != nil {
		return nil, err
	}
	return &StatusQuery{identity: identity, base: base, settle: settle}, nil
}

// Done reports whether the inquiry has ended.
func (in *StatusQuery) Done() bool {
	return in.done
}

// Status returns what became of the change, with its entry if it was accepted.
func (in *StatusQuery) Status() (Status, Entry, error) {
	return in.status, in.entry, in.err
}

func (in *StatusQuery) end(fate Status, err error) []archive.Call {
	in.done = true
	in.status, in.err = fate, err
	return nil
}

// Start returns the first call.
func (in *StatusQuery) Start(time.Time) []archive.Call {
	in.step = stepRoot
	return []archive.Call{in.read(RootName)}
}

// Handle takes the answer to one call and returns the next calls.
func (in *StatusQuery) Handle(now time.Time, an archive.Answer) []archive.Call {
	if in.done || !in.countAnswer(an) {
		return nil
	}
	if in.step == stepFence {
		return in.fenceWritten(now, an)
	}
	switch {
	case an.Result == archive.ResultNotFound && in.step == stepRoot:
		return in.end(StatusStoreBehind, nil)
	case an.Result == archive.ResultNotFound:
		return in.end(StatusNotRetained, nil)
	case an.Result != archive.ResultDone:
		return in.end(StatusPending, ErrUnreachable)
	case in.step == stepPage:
		return in.pageRead(an)
	}
	return in.rootRead(an)
}

func (in *StatusQuery) rootRead(an archive.Answer) []archive.Call {
	ro, err := DecodeRoot(an.Object.Value)
	if err != nil {
		return in.end(StatusPending, err)
	}
	fate := ro.StatusOf(in.identity, in.base)
	switch {
	case fate == StatusPending && in.settle:
		in.step = stepFence
		ob := archive.Object{Name: RootName, Version: an.Object.Version, Value: raiseFence(ro, in.identity).Encode()}
		return []archive.Call{in.call(archive.KindPut, ob)}
	case fate == StatusNotRetained:
		return in.readPage(ro)
	}
	in.findEntry(ro.History)
	return in.end(fate, nil)
}

func (in *StatusQuery) readPage(ro *Root) []archive.Call {
	pa, ok := ro.pageFor(in.base)
	if !ok {
		return in.end(StatusNotRetained, nil)
	}
	in.step = stepPage
	return []archive.Call{in.read(pa.Name)}
}

func (in *StatusQuery) pageRead(an archive.Answer) []archive.Call {
	history, err := DecodePage(an.Object.Value)
	if err != nil {
		return in.end(StatusNotRetained, err)
	}
	in.findEntry(history)
	return in.end(statusIn(history, in.identity, in.base), nil)
}

func (in *StatusQuery) findEntry(history []Entry) {
	for _, en := range history {
		if en.Identity == in.identity {
			in.entry = en
		}
	}
}

// fenceWritten ends with a raised fence; otherwise the root is read again.
func (in *StatusQuery) fenceWritten(now time.Time, an archive.Answer) []archive.Call {
	switch an.Result {
	case archive.ResultDone:
		return in.end(StatusAborted, nil)
	case archive.ResultConflict, archive.ResultUnanswered:
		return in.Start(now)
	default:
		return in.end(StatusPending, ErrUnreachable)
	}
}
