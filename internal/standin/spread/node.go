package spread

import (
	"maps"
	"net/netip"
	"slices"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/rollout"
)

// act does what the replica asks for.
func (fl *Fleet) act(no *Node, actions []rollout.Action) {
	for _, ac := range actions {
		switch ac.Kind {
		case rollout.ActionCall:
			fl.call(no, no.client.Submit(fl.Now, ac.Call, ac.Deadline))
		case rollout.ActionPublish:
			fl.spread(no, ac.Item)
		case rollout.ActionApply:
			fl.applied++
			no.Applied = append(no.Applied, ac.State.Version())
		case rollout.ActionCatchUp:
			fl.ask(no, ac)
		case rollout.ActionReport:
			fl.send(no, ac.Peer, reportBytes, func(peer *Node) {
				fl.act(peer, peer.Replica.HandleReport(fl.Now, no.Member.Address, ac.Report))
			})
		case rollout.ActionNotice:
			fl.Notices = append(fl.Notices, ac.Notice)
		case rollout.ActionWake:
			fl.wake(no, ac)
		}
	}
}

// wake ticks the replica at the time, unless an earlier tick is due.
func (fl *Fleet) wake(no *Node, ac rollout.Action) {
	if no.wakeAt.After(fl.Now) && !ac.Deadline.Before(no.wakeAt) {
		return
	}
	no.wakeAt = ac.Deadline
	epoch := no.epoch
	fl.after(ac.Deadline.Sub(fl.Now), func() {
		if no.epoch == epoch && !no.Stopped && no.wakeAt.Equal(ac.Deadline) {
			fl.act(no, no.Replica.Tick(fl.Now))
		}
	})
}

// send carries a message to a peer, or loses it.
func (fl *Fleet) send(no *Node, to netip.AddrPort, bytes int, deliver func(*Node)) {
	peer, known := fl.places[to]
	if !known || no.Stopped {
		return
	}
	fl.BytesSent += uint64(bytes)
	if fl.chance(fl.Options.LossPercent) {
		return
	}
	epoch := peer.epoch
	fl.after(fl.latency(), func() {
		if peer.epoch == epoch && !peer.Stopped {
			deliver(peer)
		}
	})
}

// ask sends a catch-up request to a peer and delivers the response.
func (fl *Fleet) ask(no *Node, ac rollout.Action) {
	fl.send(no, ac.Peer, itemBytes, func(peer *Node) {
		do := peer.Replica.HandleCatchUp(ac.Request)
		size := itemBytes + len(do.Root)
		for _, va := range do.Values {
			size += len(va.Bytes)
		}
		for _, de := range do.Deltas {
			size += len(de)
		}
		fl.send(peer, no.Member.Address, size, func(no *Node) {
			fl.act(no, no.Replica.HandleCatchUpResponse(fl.Now, peer.Member.Address, do))
		})
	})
}

// spread takes an item that is new to the instance and pushes it to some peers.
func (fl *Fleet) spread(no *Node, it rollout.Item) {
	if old, known := no.items[it.Key]; known && !it.Revision.Supersedes(old.Revision) {
		return
	}
	no.items[it.Key] = it
	for range fanOut {
		fl.give(no, fl.Nodes[fl.random.IntN(len(fl.Nodes))], it)
	}
}

// give sends an item, which the peer takes and pushes on if it is new there.
func (fl *Fleet) give(no, peer *Node, it rollout.Item) {
	fl.send(no, peer.Member.Address, itemBytes+len(it.Body), func(peer *Node) {
		if old, known := peer.items[it.Key]; known && !it.Revision.Supersedes(old.Revision) {
			return
		}
		fl.spread(peer, it)
		fl.act(peer, peer.Replica.HandleItem(fl.Now, it))
	})
}

// digest compares the items with those of a random peer from time to time.
func (fl *Fleet) digest(no *Node, epoch int) {
	if no.epoch != epoch {
		return
	}
	peer := fl.Nodes[fl.random.IntN(len(fl.Nodes))]
	fl.send(no, peer.Member.Address, digestBytes, func(peer *Node) {
		for _, key := range slices.Sorted(maps.Keys(peer.items)) {
			it := peer.items[key]
			if old, known := no.items[it.Key]; !known || it.Revision.Supersedes(old.Revision) {
				fl.give(peer, no, it)
			}
		}
	})
	fl.after(digestInterval, func() { fl.digest(no, epoch) })
}

// call carries the calls of the instance's store client.
func (fl *Fleet) call(no *Node, actions []archive.Action) {
	epoch := no.epoch
	alive := func() bool { return no.epoch == epoch && !no.Stopped }
	for _, ac := range actions {
		switch ac.Kind {
		case archive.ActionSend:
			fl.store(ac, func(an archive.Answer) {
				if alive() {
					fl.call(no, no.client.HandleAnswer(fl.Now, an))
				}
			})
		case archive.ActionWake:
			fl.after(ac.Deadline.Sub(fl.Now), func() {
				if alive() {
					fl.call(no, no.client.Tick(fl.Now))
				}
			})
		case archive.ActionComplete:
			fl.act(no, no.Replica.HandleAnswer(fl.Now, ac.Answer))
		}
	}
}
