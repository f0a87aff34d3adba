package membership

import (
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/coordination/roster"
)

// farewellPeers is the number of balancers to which one call of Farewell sends.
const farewellPeers = 4

// Farewell returns messages that tell a few balancers of the view, drawn at random,
// that this node is gone. They aren't taken from the control budget. Gossip sends
// the record only to the balancers that the node exchanges messages with, which may
// all have failed, so this is called until a farewell has arrived. Before SetState
// with StateGone it returns nothing.
func (no *Node) Farewell(now time.Time) []Action {
	it, ok := no.farewellItem(now)
	if !ok {
		return nil
	}
	peers := append([]delivery.Peer(nil), no.otherBalancers(now)...)
	no.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var acts []Action
	for _, pe := range peers[:min(farewellPeers, len(peers))] {
		msg := delivery.Message{Delta: &delivery.Delta{Items: []delivery.Item{it}}}
		acts = append(acts, Send{To: pe.Address, Message: Message{Gossip: &msg}})
	}
	return acts
}

// IsFarewell reports whether the message says that this node is gone.
func (no *Node) IsFarewell(msg Message, now time.Time) bool {
	own, ok := no.farewellItem(now)
	if !ok || msg.Gossip == nil || msg.Gossip.Delta == nil {
		return false
	}
	for _, it := range msg.Gossip.Delta.Items {
		if it.Identity() == own.Identity() && it.Revision == own.Revision {
			return true
		}
	}
	return false
}

// farewellItem returns the item with this node's record if its state is Gone.
func (no *Node) farewellItem(now time.Time) (delivery.Item, bool) {
	if !no.announcer.Gone() {
		return delivery.Item{}, false
	}
	return no.gossip.Table().Get(roster.RecordIdentity(no.announcer.Subject()), now)
}
