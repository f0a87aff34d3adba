package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// The phases of a planned stop.
const (
	// drainGrace is how long a stopping agent still takes requests, until
	// the balancers and callers have heard of the stop.
	drainGrace = 2 * time.Second
	// handOverMargin is the time before the deadline at which the ledger is
	// handed over even though requests are still in progress.
	handOverMargin = time.Second
	// handOverTimeout bounds the wait for one successor.
	handOverTimeout = 500 * time.Millisecond
	// handOverPause is the time between a refusal and the next attempt.
	handOverPause = 100 * time.Millisecond
)

// drain is the progress of a planned stop.
type drain struct {
	// deadline is the operator's bound; it is zero before the stop.
	deadline time.Time
	// closing is when the agent takes no further requests.
	closing time.Time
	// heirs are the successors still to be tried.
	heirs []netip.AddrPort
	heir  netip.AddrPort
	// timeout ends the wait for the heir.
	timeout time.Time
	// number counts the changes of the ledger.
	number uint64
	// content counts the changes of the ledger and the archive; sent and kept
	// are its values in the last snapshot and in the last one adopted.
	content uint64
	sent    uint64
	kept    uint64
	adopted bool
	stopped bool
}

// stopping reports whether a stop was ordered.
func (dr *drain) stopping() bool {
	return !dr.deadline.IsZero()
}

// closed reports whether new requests are refused.
func (dr *drain) closed(now time.Time) bool {
	return dr.stopping() && !now.Before(dr.closing)
}

// behind reports whether no successor has the latest content.
func (dr *drain) behind() bool {
	return !dr.adopted || dr.kept != dr.content
}

// next returns when the stop goes on by itself.
func (dr *drain) next(latest time.Time) time.Time {
	if !dr.stopping() || dr.stopped {
		return time.Time{}
	}
	return later(latest, dr.closing, dr.timeout, dr.handOverTime(), dr.deadline)
}

// handOverTime is when the ledger is handed over at the latest.
func (dr *drain) handOverTime() time.Time {
	return dr.deadline.Add(-handOverMargin)
}

// stop begins a planned stop, or changes the deadline of one.
func (de *Desk) stop(now time.Time, deadline time.Time) {
	dr := &de.drain
	if !dr.stopping() {
		dr.closing = earliest(now.Add(drainGrace), deadline.Add(-handOverMargin))
	}
	dr.deadline = deadline
	de.askers = nil
}

// proceed takes the stop as far as it can go now.
func (de *Desk) proceed(now time.Time) {
	dr := &de.drain
	if !dr.closed(now) || dr.stopped {
		return
	}
	de.ledger.Freeze()
	quiet := len(de.jobs) == 0
	switch {
	case !now.Before(dr.deadline):
		de.finish()
	case !quiet && now.Before(dr.handOverTime()), now.Before(dr.timeout):
	case dr.behind() && de.handOver(now):
	case quiet:
		de.finish()
	}
}

// handOver sends all snapshots to the next successor. It reports false if
// there is none.
func (de *Desk) handOver(now time.Time) bool {
	dr := &de.drain
	if len(dr.heirs) == 0 {
		dr.heirs = de.peers.heirs(de.settings.Home)
	}
	if len(dr.heirs) == 0 {
		return false
	}
	dr.heir = dr.heirs[0]
	dr.heirs = dr.heirs[1:]
	dr.timeout = now.Add(handOverTimeout)
	dr.sent = dr.content
	own := de.ledger.FreezeAndSnapshot(dr.number)
	de.emit(HandOver{
		Peer:      dr.heir,
		Snapshots: append([]ledger.Snapshot{own}, de.archive.Snapshots()...),
	})
	return true
}

// handedOver takes the response of a successor.
func (de *Desk) handedOver(now time.Time, ev HandedOver) {
	dr := &de.drain
	if ev.Peer != dr.heir {
		return
	}
	if !ev.Adopted {
		dr.timeout = now.Add(handOverPause)
		return
	}
	dr.adopted = true
	dr.kept = dr.sent
	dr.timeout = now
	dr.heirs = append([]netip.AddrPort{dr.heir}, dr.heirs...)
	dr.heir = netip.AddrPort{}
}

// adopt keeps the snapshot of a stopping peer.
func (de *Desk) adopt(now time.Time, sn ledger.Snapshot) {
	if sn.Home != de.settings.Home && de.archive.Add(now, sn) {
		de.drain.content++
	}
}

// finish ends the stop and tells everyone who still awaits an outcome.
func (de *Desk) finish() {
	dr := &de.drain
	dr.stopped = true
	cut, adopted := len(de.jobs), !dr.behind()
	for _, id := range slices.Sorted(maps.Keys(de.jobs)) {
		if jo, ok := de.jobs[id]; ok {
			de.cut(jo)
		}
	}
	de.emit(Stopped{Cut: cut, Adopted: adopted})
}

// cut ends a job that the operator's deadline overtook.
func (de *Desk) cut(jo *job) {
	switch jo.stage {
	case stageQueued:
		de.giveUp(jo, ReasonDraining)
	case stageRunning, stageRelayed:
		de.settle(jo, ledger.Unknown, ReasonDraining, ledger.Answer{})
	}
}
