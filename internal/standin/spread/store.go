package spread

import (
	"crypto/ed25519"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/protocol/object"
	"corneltiller.dev/corneltiller/internal/standin/platform"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// ownerName names the only owner of the configuration.
const ownerName = "glenrug"

// initialEdit returns the edit of the first change, which sets the owner.
func (fl *Fleet) initialEdit() change.Edit {
	return change.Edit{Summary: "first", Apply: func(co *catalog.Configuration) error {
		co.Owners = []catalog.Owner{{Name: ownerName, Key: change.PublicKey(fl.owner)}}
		return nil
	}}
}

// AddService returns an edit that adds a service with two addresses. Its name and
// addresses are derived from the number.
func AddService(number int) change.Edit {
	name := fmt.Sprintf("service-%d", number)
	return change.Edit{Summary: "CREATE SERVICE " + name, Apply: func(co *catalog.Configuration) error {
		host := netip.AddrFrom4([4]byte{192, byte(number >> 16), byte(number >> 8), byte(number)})
		co.Services = append(co.Services, catalog.Service{
			ID:        co.NextService,
			Name:      name,
			Firm:      ownerName,
			Addresses: []netip.AddrPort{netip.AddrPortFrom(host, 443), netip.AddrPortFrom(host, 8443)},
			Hosts:     []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")},
			Classes:   []catalog.Class{{Name: "bookings", Urgent: true, Paths: []string{"/book"}, Weight: 100}},
		})
		co.NextService++
		return nil
	}}
}

// Change commits the edits to the store immediately, unaffected by simulated faults.
func (fl *Fleet) Change(edits ...change.Edit) {
	fl.commit(change.Request{Edits: edits})
}

// commit executes a change directly against the store and answers the waiting
// watch calls. It panics if the change is not accepted.
func (fl *Fleet) commit(rq change.Request) {
	rq.Owner = ownerName
	rq.Sign = func(message []byte) []byte { return ed25519.Sign(fl.owner, message) }
	rq.Deadline = fl.Now.Add(time.Minute)
	co := change.NewCommit(rq, fl.random)
	calls := co.Start(fl.Now)
	for len(calls) > 0 {
		ca := calls[0]
		calls = append(calls[1:], co.Handle(fl.Now, fl.execute(ca))...)
	}
	if ou := co.Outcome(); ou.Kind != change.OutcomeAccepted {
		panic(fmt.Sprintf("change %s: %s", ou.Kind, ou.Reason))
	}
	fl.NotifyWatches()
}

// NotifyWatches answers the waiting watch calls after the root was written. While the
// store is down they are cut off.
func (fl *Fleet) NotifyWatches() {
	found, err := fl.Objects.Get(change.RootName)
	if err != nil {
		panic(err)
	}
	fl.roots = append(fl.roots, found.Value)
	waiting := fl.watches
	fl.watches = nil
	for _, wa := range waiting {
		fl.after(fl.latency(), func() {
			if fl.StoreDown {
				wa.answer(archive.Answer{Result: archive.ResultUnanswered})
				return
			}
			wa.answer(fl.rootAnswer())
		})
	}
}

// rootAnswer returns the root or, for StaleWatchPercent of the calls, the previous
// version number with a root chosen at random from all written so far.
func (fl *Fleet) rootAnswer() archive.Answer {
	an := fl.execute(archive.Call{Kind: archive.KindGet, Object: archive.Object{Name: change.RootName}})
	if fl.chance(fl.Options.StaleWatchPercent) {
		an.Object.Value = fl.roots[fl.random.IntN(len(fl.roots))]
		an.Object.Version--
	}
	return an
}

// sendStoreCall sends one attempt of an instance's call to the store and delivers
// the answer, unless the call or the answer is lost.
func (fl *Fleet) sendStoreCall(no *Node, ac archive.Action, answer func(archive.Answer)) {
	lostBefore := fl.chance(fl.Options.StoreLossPercent)
	lostAfter := fl.chance(fl.Options.StoreLossPercent)
	reply := func(an archive.Answer) {
		an.ID, an.Attempt = ac.Call.ID, ac.Attempt
		if !lostAfter {
			fl.after(fl.latency(), func() { answer(an) })
		}
	}
	fl.after(fl.latency(), func() {
		if lostBefore {
			return
		}
		fl.countCall(ac.Call.Kind)
		if fl.StoreDown || no.StoreLost {
			return
		}
		if ac.Call.Kind == archive.KindWatch {
			fl.waitForWrite(ac, reply)
			return
		}
		reply(fl.execute(ac.Call))
	})
}

func (fl *Fleet) countCall(kind archive.Kind) {
	if kind == archive.KindWatch {
		fl.Calls.Watches++
		return
	}
	fl.Calls.Reads++
}

// waitForWrite answers a watch call: at once if the root is not at the version of
// the call, else at the next write, or as unchanged at the end of the wait.
func (fl *Fleet) waitForWrite(ac archive.Action, reply func(archive.Answer)) {
	an := fl.rootAnswer()
	if an.Result != archive.ResultDone || an.Object.Version != ac.Call.Version {
		reply(an)
		return
	}
	answered := false
	once := func(an archive.Answer) {
		if !answered {
			answered = true
			reply(an)
		}
	}
	fl.watches = append(fl.watches, watch{version: ac.Call.Version, until: ac.Call.Until, answer: once})
	fl.after(ac.Call.Until.Sub(fl.Now), func() {
		if !fl.StoreDown {
			once(archive.Answer{Result: archive.ResultUnchanged, Object: archive.Object{Era: uint64(fl.Objects.Era())}})
		}
	})
}

// execute executes one call at the store.
func (fl *Fleet) execute(ca archive.Call) archive.Answer {
	var found object.Object
	var err error
	if ca.Kind == archive.KindPut {
		found, err = fl.Objects.Put(fl.Now, ca.Name, ca.Value, object.Version(ca.Version))
	} else {
		found, err = fl.Objects.Get(ca.Name)
	}
	an := archive.Answer{ID: ca.ID, Attempt: 1, Result: archive.ResultDone}
	an.Object = archive.Object{
		Name: ca.Name, Version: uint64(found.Version), Era: uint64(fl.Objects.Era()), Value: found.Value, StoreTime: fl.Now,
	}
	switch {
	case errors.Is(err, object.ErrNotFound):
		an.Result = archive.ResultNotFound
	case err != nil:
		an.Result = archive.ResultConflict
	}
	return an
}

// RestoreStore replaces the store's objects by those of a backup.
func (fl *Fleet) RestoreStore(backup *platform.Objects) {
	fl.Objects.Restore(backup)
	fl.NotifyWatches()
}
