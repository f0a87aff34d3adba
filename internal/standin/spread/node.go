package spread

import (
	"maps"
	"net/netip"
	"slices"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/rollout"
)

// perform carries out the actions that the instance's replica returned.
func (fl *Fleet) perform(no *Node, actions []rollout.Action) {
	for _, ac := range actions {
		switch ac.Kind {
		case rollout.ActionCall:
			fl.performClientActions(no, no.client.Submit(fl.Now, ac.Call, ac.Deadline))
		case rollout.ActionPublish:
			fl.gossip(no, ac.Item)
		case rollout.ActionApply:
			fl.appliedCount++
			no.Applied = append(no.Applied, ac.State.Version())
		case rollout.ActionCatchUp:
			fl.requestCatchUp(no, ac)
		case rollout.ActionReport:
			fl.send(no, ac.Peer, reportBytes, func(peer *Node) {
				fl.perform(peer, peer.Replica.HandleReport(fl.Now, no.Member.Address, ac.Report))
			})
		case rollout.ActionNotice:
			fl.Notices = append(fl.Notices, ac.Notice)
		case rollout.ActionWake:
			fl.wake(no, ac)
		}
	}
}

// wake schedules a tick of the replica at the deadline, unless an earlier tick is
// scheduled. A later one is replaced.
func (fl *Fleet) wake(no *Node, ac rollout.Action) {
	if no.wakeAt.After(fl.Now) && !ac.Deadline.Before(no.wakeAt) {
		return
	}
	no.wakeAt = ac.Deadline
	starts := no.starts
	fl.after(ac.Deadline.Sub(fl.Now), func() {
		if no.starts == starts && !no.Stopped && no.wakeAt.Equal(ac.Deadline) {
			fl.perform(no, no.Replica.Tick(fl.Now))
		}
	})
}

// send delivers a message to a peer after a latency, unless it is lost, either side
// is stopped, or the peer is restarted meanwhile.
func (fl *Fleet) send(no *Node, to netip.AddrPort, bytes int, deliver func(*Node)) {
	peer, known := fl.nodesByAddress[to]
	if !known || no.Stopped {
		return
	}
	fl.BytesSent += uint64(bytes)
	if fl.chance(fl.Options.LossPercent) {
		return
	}
	starts := peer.starts
	fl.after(fl.latency(), func() {
		if peer.starts == starts && !peer.Stopped {
			deliver(peer)
		}
	})
}

// requestCatchUp sends a catch-up request to a peer and delivers the response.
func (fl *Fleet) requestCatchUp(no *Node, ac rollout.Action) {
	fl.send(no, ac.Peer, itemBytes, func(peer *Node) {
		response := peer.Replica.HandleCatchUp(ac.Request)
		size := itemBytes + len(response.Root)
		for _, va := range response.Values {
			size += len(va.Bytes)
		}
		for _, de := range response.Deltas {
			size += len(de)
		}
		fl.send(peer, no.Member.Address, size, func(no *Node) {
			fl.perform(no, no.Replica.HandleCatchUpResponse(fl.Now, peer.Member.Address, response))
		})
	})
}

// gossip stores an item and pushes it to random peers. It does nothing if the
// instance holds the same or a newer revision.
func (fl *Fleet) gossip(no *Node, it rollout.Item) {
	if old, known := no.items[it.Key]; known && !it.Revision.Supersedes(old.Revision) {
		return
	}
	no.items[it.Key] = it
	for range gossipFanOut {
		fl.pushItem(no, fl.Nodes[fl.random.IntN(len(fl.Nodes))], it)
	}
}

// pushItem sends an item to a peer, which stores it and pushes it on unless it holds
// the same or a newer revision.
func (fl *Fleet) pushItem(no, peer *Node, it rollout.Item) {
	fl.send(no, peer.Member.Address, itemBytes+len(it.Body), func(peer *Node) {
		if old, known := peer.items[it.Key]; known && !it.Revision.Supersedes(old.Revision) {
			return
		}
		fl.gossip(peer, it)
		fl.perform(peer, peer.Replica.HandleItem(fl.Now, it))
	})
}

// exchangeDigest sends a digest to a random peer every digestInterval, and the peer
// pushes the items that the instance lacks or holds in an older revision.
func (fl *Fleet) exchangeDigest(no *Node, starts int) {
	if no.starts != starts {
		return
	}
	peer := fl.Nodes[fl.random.IntN(len(fl.Nodes))]
	fl.send(no, peer.Member.Address, digestBytes, func(peer *Node) {
		for _, key := range slices.Sorted(maps.Keys(peer.items)) {
			it := peer.items[key]
			if old, known := no.items[it.Key]; !known || it.Revision.Supersedes(old.Revision) {
				fl.pushItem(peer, no, it)
			}
		}
	})
	fl.after(digestInterval, func() { fl.exchangeDigest(no, starts) })
}

// performClientActions carries out the actions that the instance's store client
// returned.
func (fl *Fleet) performClientActions(no *Node, actions []archive.Action) {
	starts := no.starts
	alive := func() bool { return no.starts == starts && !no.Stopped }
	for _, ac := range actions {
		switch ac.Kind {
		case archive.ActionSend:
			if no.StoreRejects {
				an := archive.Answer{ID: ac.Call.ID, Attempt: ac.Attempt, Result: archive.ResultRefused}
				fl.after(2*fl.latency(), func() {
					if alive() {
						fl.performClientActions(no, no.client.HandleAnswer(fl.Now, an))
					}
				})
				continue
			}
			fl.sendStoreCall(no, ac, func(an archive.Answer) {
				if alive() && !no.StoreLost && !no.StoreRejects {
					fl.performClientActions(no, no.client.HandleAnswer(fl.Now, an))
				}
			})
		case archive.ActionWake:
			fl.after(ac.Deadline.Sub(fl.Now), func() {
				if alive() {
					fl.performClientActions(no, no.client.Tick(fl.Now))
				}
			})
		case archive.ActionComplete:
			fl.perform(no, no.Replica.HandleAnswer(fl.Now, ac.Answer))
		}
	}
}
