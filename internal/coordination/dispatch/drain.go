package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// The times of a planned stop.
const (
	// drainGrace is how long a stopping agent still takes requests, because
	// balancers and callers need time to learn of the stop.
	drainGrace = 2 * time.Second
	// handOverMargin is how long before the deadline the ledger is handed over
	// even if requests are still in progress.
	handOverMargin = time.Second
	// handOverTimeout bounds the wait for the response of one successor.
	handOverTimeout = 500 * time.Millisecond
	// handOverPause is the time between a failed attempt and the next one.
	handOverPause = 100 * time.Millisecond
)

// drain is the progress of a planned stop.
type drain struct {
	// deadline is when the stop ends at the latest; it is zero before the stop.
	deadline time.Time
	// closesAt is from when on new requests are refused.
	closesAt time.Time
	// successors are the agents still to be offered the ledger.
	successors []netip.AddrPort
	// successor is the agent that the snapshots were last sent to; it is unset
	// once it adopted them.
	successor netip.AddrPort
	// nextAttempt is until when the stop waits for the response of a successor,
	// or pauses after a failed attempt.
	nextAttempt time.Time
	// ledgerChanges counts the changes of the ledger and numbers its snapshots.
	ledgerChanges uint64
	// changes counts the changes of the ledger and the archive.
	changes uint64
	// sentChanges is the value of changes when the last snapshots were sent.
	sentChanges uint64
	// adoptedChanges is the value of changes in the last snapshots that a
	// successor adopted.
	adoptedChanges uint64
	// adopted is set once a successor adopted the snapshots.
	adopted bool
	// stopped is set once Stopped was emitted.
	stopped bool
}

// stopping reports whether a stop was requested.
func (dr *drain) stopping() bool {
	return !dr.deadline.IsZero()
}

// closed reports whether new requests are refused.
func (dr *drain) closed(now time.Time) bool {
	return dr.stopping() && !now.Before(dr.closesAt)
}

// unadopted reports whether the ledger or the archive has changes that no
// successor has adopted.
func (dr *drain) unadopted() bool {
	return !dr.adopted || dr.adoptedChanges != dr.changes
}

// next returns when advanceStop is due after the latest event, or the zero
// time.
func (dr *drain) next(latest time.Time) time.Time {
	if !dr.stopping() || dr.stopped {
		return time.Time{}
	}
	return earliestAfter(latest, dr.closesAt, dr.nextAttempt, dr.handOverTime(), dr.deadline)
}

// handOverTime returns when the ledger is handed over even if requests are
// still in progress.
func (dr *drain) handOverTime() time.Time {
	return dr.deadline.Add(-handOverMargin)
}

// requestStop begins a planned stop, or changes the deadline of one. Probes of
// peers are dropped.
func (di *Dispatcher) requestStop(now time.Time, deadline time.Time) {
	dr := &di.drain
	if !dr.stopping() {
		dr.closesAt = earliest(now.Add(drainGrace), deadline.Add(-handOverMargin))
	}
	dr.deadline = deadline
	di.receivedProbes = nil
}

// advanceStop takes the stop as far as it can go now. Once new requests are
// refused, it freezes the ledger. It hands the ledger over when no request is
// in progress, at handOverTime at the latest. It ends the stop when no request
// is in progress and a successor adopted the latest snapshots or there is no
// successor, at the deadline at the latest.
func (di *Dispatcher) advanceStop(now time.Time) {
	dr := &di.drain
	if !dr.closed(now) || dr.stopped {
		return
	}
	di.ledger.Freeze()
	idle := len(di.jobs) == 0
	switch {
	case !now.Before(dr.deadline):
		di.finishStop()
	case !idle && now.Before(dr.handOverTime()), now.Before(dr.nextAttempt):
	case dr.unadopted() && di.handOver(now):
	case idle:
		di.finishStop()
	}
}

// handOver sends the snapshots of the ledger and the archive to the next
// successor. It reports false if there is none.
func (di *Dispatcher) handOver(now time.Time) bool {
	dr := &di.drain
	if len(dr.successors) == 0 {
		dr.successors = di.peers.successors(di.settings.Home)
	}
	if len(dr.successors) == 0 {
		return false
	}
	dr.successor = dr.successors[0]
	dr.successors = dr.successors[1:]
	dr.nextAttempt = now.Add(handOverTimeout)
	dr.sentChanges = dr.changes
	own := di.ledger.FreezeAndSnapshot(dr.ledgerChanges)
	di.emit(HandOver{
		Peer:      dr.successor,
		Snapshots: append([]ledger.Snapshot{own}, di.archive.Snapshots()...),
	})
	return true
}

// handedOver handles the response of a successor. A successor that adopted the
// snapshots is also the first to be offered later ones.
func (di *Dispatcher) handedOver(now time.Time, ev HandedOver) {
	dr := &di.drain
	if ev.Peer != dr.successor {
		return
	}
	if !ev.Adopted {
		dr.nextAttempt = now.Add(handOverPause)
		return
	}
	dr.adopted = true
	dr.adoptedChanges = dr.sentChanges
	dr.nextAttempt = now
	dr.successors = append([]netip.AddrPort{dr.successor}, dr.successors...)
	dr.successor = netip.AddrPort{}
}

// adoptSnapshot keeps the snapshot of a stopping peer in the archive.
func (di *Dispatcher) adoptSnapshot(now time.Time, sn ledger.Snapshot) {
	if sn.Home != di.settings.Home && di.archive.Add(now, sn) {
		di.drain.changes++
	}
}

// finishStop ends the stop and settles the requests still in progress.
func (di *Dispatcher) finishStop() {
	dr := &di.drain
	dr.stopped = true
	unfinished, adopted := len(di.jobs), !dr.unadopted()
	for _, id := range slices.Sorted(maps.Keys(di.jobs)) {
		if jo, ok := di.jobs[id]; ok {
			di.interrupt(jo)
		}
	}
	di.emit(Stopped{Unfinished: unfinished, Adopted: adopted})
}

// interrupt settles a job that is still in progress at the end of the stop.
// Duplicates are settled with the job that owns their ticket.
func (di *Dispatcher) interrupt(jo *job) {
	switch jo.stage {
	case stageQueued:
		di.giveUp(jo, ReasonDraining)
	case stageRunning, stageRelayed:
		di.settle(jo, ledger.Unknown, ReasonDraining, ledger.Answer{})
	}
}
