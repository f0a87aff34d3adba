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

// ownerName is the only owner.
const ownerName = "glenrug"

// first is the first change: it names the owner.
func (fl *Fleet) first() change.Edit {
	return change.Edit{Summary: "first", Apply: func(co *catalog.Configuration) error {
		co.Owners = []catalog.Owner{{Name: ownerName, Key: change.PublicKey(fl.owner)}}
		return nil
	}}
}

// AddService returns an edit that adds a service of its own with two addresses.
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

// Change commits the edits at once, whatever the faults.
func (fl *Fleet) Change(edits ...change.Edit) {
	fl.commit(change.Request{Edits: edits})
}

// commit runs a change directly against the store and wakes the watches.
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
	fl.Written()
}

// Written tells the waiting watches that the root was written.
func (fl *Fleet) Written() {
	found, err := fl.Objects.Get(change.RootName)
	if err != nil {
		panic(err)
	}
	fl.roots = append(fl.roots, found.Value)
	waiting := fl.watches
	fl.watches = nil
	for _, wa := range waiting {
		fl.after(fl.latency(), func() { wa.answer(fl.rootAnswer()) })
	}
}

// rootAnswer shows the root, now and then an older one.
func (fl *Fleet) rootAnswer() archive.Answer {
	an := fl.execute(archive.Call{Kind: archive.KindGet, Object: archive.Object{Name: change.RootName}})
	if fl.chance(fl.Options.StaleWatchPercent) {
		an.Object.Value = fl.roots[fl.random.IntN(len(fl.roots))]
		an.Object.Version--
	}
	return an
}

// store carries one attempt of an instance's call to the store and back.
func (fl *Fleet) store(ac archive.Action, answer func(archive.Answer)) {
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
		fl.count(ac.Call.Kind)
		if fl.StoreDown {
			return
		}
		if ac.Call.Kind == archive.KindWatch {
			fl.watch(ac, reply)
			return
		}
		reply(fl.execute(ac.Call))
	})
}

func (fl *Fleet) count(kind archive.Kind) {
	if kind == archive.KindWatch {
		fl.Calls.Watches++
		return
	}
	fl.Calls.Reads++
}

// watch answers at the next write, or at the end of the wait.
func (fl *Fleet) watch(ac archive.Action, reply func(archive.Answer)) {
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
	fl.after(ac.Call.Until.Sub(fl.Now), func() { once(archive.Answer{Result: archive.ResultUnchanged}) })
}

// execute applies one call to the store.
func (fl *Fleet) execute(ca archive.Call) archive.Answer {
	var found object.Object
	var err error
	if ca.Kind == archive.KindPut {
		found, err = fl.Objects.Put(fl.Now, ca.Name, ca.Value, object.Version(ca.Version))
	} else {
		found, err = fl.Objects.Get(ca.Name)
	}
	an := archive.Answer{ID: ca.ID, Attempt: 1, Result: archive.ResultDone}
	an.Object = archive.Object{Name: ca.Name, Version: uint64(found.Version), Value: found.Value, StoreTime: fl.Now}
	switch {
	case errors.Is(err, object.ErrNotFound):
		an.Result = archive.ResultNotFound
	case err != nil:
		an.Result = archive.ResultConflict
	}
	return an
}

// RestoreStore puts the store back to a backup.
func (fl *Fleet) RestoreStore(backup *platform.Objects) {
	fl.Objects.Restore(backup)
	fl.Written()
}
