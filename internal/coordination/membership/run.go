package membership

import (
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/coordination/roster"
	"corneltiller.dev/corneltiller/internal/coordination/transfer"
)

// runRoster carries out the actions of the announcer or the watcher and appends
// those that are left to the caller.
func (no *Node) runRoster(acts []Action, todo []roster.Action, now time.Time) []Action {
	for _, act := range todo {
		switch act := act.(type) {
		case roster.Send:
			msg := act.Message
			acts = append(acts, Send{To: act.To, Message: Message{Roster: &msg}})
		case roster.Publish:
			acts = no.publishOwn(acts, act.Item, now)
		}
	}
	return acts
}

// publishOwn publishes a record or a removal of this node and applies it to this
// node's view.
func (no *Node) publishOwn(acts []Action, it delivery.Item, now time.Time) []Action {
	todo, err := no.gossip.Publish(it, now)
	if err != nil {
		return append(acts, Rejected{From: no.self.Address, Err: err})
	}
	acts = no.runGossip(acts, todo, now)
	acts = no.apply(acts, no.self.Address, it, now)
	if it.Kind == delivery.KindHostRemoval || it.Kind == delivery.KindBalancerRemoval {
		if re, err := roster.DecodeRemoval(it); err == nil {
			acts = append(acts, RemovalPublished{Removal: re})
		}
	}
	return acts
}

// runGossip carries out the actions of gossip and appends those that are left to
// the caller.
func (no *Node) runGossip(acts []Action, todo []delivery.Action, now time.Time) []Action {
	for _, act := range todo {
		switch act := act.(type) {
		case delivery.Send:
			msg := act.Message
			acts = append(acts, Send{To: act.To, Message: Message{Gossip: &msg}, InitialSync: act.InitialSync})
		case delivery.Accepted:
			acts = no.apply(acts, act.From, act.Item, now)
		case delivery.Expired:
			no.roster.Drop(act.Item)
		}
	}
	return acts
}

// apply merges a record or removal into the view, or hands over an item of another
// kind. Until the view of a joining balancer is complete, records and removals stay
// in the gossip table only; completeView merges them later.
func (no *Node) apply(acts []Action, from netip.AddrPort, it delivery.Item, now time.Time) []Action {
	if it.Kind > delivery.KindBalancerRemoval {
		return append(acts, Deliver{From: from, Item: it})
	}
	acts = no.supersedeForeign(acts, it, now)
	if !no.joined() {
		return acts
	}
	return no.applyToView(acts, from, it, now)
}

// applyToView merges a record or removal into the view.
func (no *Node) applyToView(acts []Action, from netip.AddrPort, it delivery.Item, now time.Time) []Action {
	if _, err := no.roster.Apply(it, now); err != nil {
		return append(acts, Rejected{From: from, Err: err})
	}
	no.expireRemoved(it, now)
	return acts
}

// supersedeForeign raises the revision of this node's record above that of an item
// about this node that another process wrote.
func (no *Node) supersedeForeign(acts []Action, it delivery.Item, now time.Time) []Action {
	su, ok := roster.SubjectOf(it)
	if !ok || su != no.announcer.Subject() || !no.announcer.SupersededBy(it) {
		return acts
	}
	return no.runRoster(acts, no.announcer.RaiseRevision(it.Revision), now)
}

// expireRemoved gives a record the lifetime of the removal that covers it, so that
// both expire together.
func (no *Node) expireRemoved(it delivery.Item, now time.Time) {
	su, ok := roster.SubjectOf(it)
	if !ok {
		return
	}
	me, ok := no.roster.Member(su)
	if !ok || me.Removal.Incarnation == 0 || me.Supersedes(me.Removal.Revision) {
		return
	}
	deadline := me.RemovedAt.Add(roster.TombstoneSeconds * time.Second)
	if deadline.After(now) {
		no.gossip.SetDeadline(roster.RecordIdentity(su), deadline)
	}
}

// receiveTransfer handles a message about the transfer of the view; an agent ignores
// it.
func (no *Node) receiveTransfer(acts []Action, from netip.AddrPort, msg transfer.Message, now time.Time) []Action {
	if no.joiner == nil {
		return acts
	}
	if msg.Request != nil {
		todo := no.donor.Receive(from, *msg.Request, no.gossip.Table(), no.ViewID(), no.joined(), now)
		return no.runTransfer(acts, todo, now)
	}
	return no.runTransfer(acts, no.joiner.Receive(from, msg, now), now)
}

// runTransfer carries out the actions of the joiner or the donor and appends those
// that are left to the caller.
func (no *Node) runTransfer(acts []Action, todo []transfer.Action, now time.Time) []Action {
	for _, act := range todo {
		switch act := act.(type) {
		case transfer.Send:
			msg := act.Message
			acts = append(acts, Send{To: act.To, Message: Message{Transfer: &msg}})
		case transfer.Load:
			acts = no.runGossip(acts, no.gossip.Merge(act.Items, now), now)
		case transfer.Done:
			acts = no.completeView(acts, act, now)
		}
	}
	return acts
}

// completeView merges all items of the gossip table into the view and compares the
// table with that of the donor once more, if there is one.
func (no *Node) completeView(acts []Action, done transfer.Done, now time.Time) []Action {
	for _, it := range no.gossip.Table().Items(now) {
		if it.Kind <= delivery.KindBalancerRemoval {
			acts = no.applyToView(acts, done.Donor, it, now)
		}
	}
	no.baseView = done.View
	no.baseView.Counter -= min(no.baseView.Counter, no.roster.Changes())
	if done.Donor.IsValid() {
		acts = no.runGossip(acts, no.gossip.SendDigest(done.Donor, now), now)
	}
	return append(acts, Joined{Donor: done.Donor, View: no.ViewID()})
}

// handleChanges updates peers and watchers if balancers or watchers changed, and
// tells the caller if the view changed.
func (no *Node) handleChanges(acts []Action, now time.Time) []Action {
	if no.roster.BalancerChanges() != no.seenBalancerChanges ||
		no.announcer.WatcherChanges() != no.seenWatcherChanges {
		acts = no.refreshPeers(acts, now)
	}
	if no.roster.Changes() != no.seenChanges {
		no.seenChanges = no.roster.Changes()
		acts = append(acts, ViewChanged{})
	}
	return acts
}

// refreshPeers makes the balancers of the view candidates for watchers and peers of
// gossip. An agent gossips with its watchers only.
func (no *Node) refreshPeers(acts []Action, now time.Time) []Action {
	no.seenBalancerChanges = no.roster.BalancerChanges()
	peers := no.otherBalancers(now)
	todo := no.announcer.SetPeers(peers, no.roster.Len(), now)
	no.seenWatcherChanges = no.announcer.WatcherChanges()
	if no.joiner == nil && len(no.announcer.Watchers()) > 0 {
		peers = no.announcer.Watchers()
	}
	no.gossip.SetPeers(peers)
	return no.runRoster(acts, todo, now)
}

// otherBalancers returns the other balancers of the view. If there are fewer than
// roster.WatcherCount, it adds the seeds that are not known to have left.
func (no *Node) otherBalancers(now time.Time) []delivery.Peer {
	var peers []delivery.Peer
	for _, pe := range no.roster.Peers(now) {
		if pe.Address != no.self.Address {
			peers = append(peers, pe)
		}
	}
	if len(peers) >= roster.WatcherCount {
		return peers
	}
	for _, seed := range no.seeds {
		known := slices.ContainsFunc(peers, func(pe delivery.Peer) bool {
			return pe.Address == seed
		})
		if !known && !no.roster.BalancerHasLeft(seed, now) {
			peers = append(peers, delivery.Peer{Address: seed})
		}
	}
	return peers
}
