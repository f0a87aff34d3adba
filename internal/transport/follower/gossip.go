package follower

import (
	"net/netip"
	"slices"
	"strings"

	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/coordination/rollout"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// lifetimeSeconds is how long an announcement of a version, or a failure domain's sum
// of the instances that have one in force, stays in gossip unless it is published
// again. Deltas have no lifetime: each stays until a later delta with the same key
// replaces it.
const lifetimeSeconds = 120

// Deliver handles an item from the fleet's gossip. It ignores items that are neither
// configuration nor acknowledgements.
func (fo *Follower) Deliver(_ netip.AddrPort, it delivery.Item) {
	if it.Kind != delivery.KindConfiguration && it.Kind != delivery.KindAcknowledgement {
		return
	}
	fo.HandleItem(rollout.Item{Key: string(it.Key), Revision: it.Revision, Urgent: it.Urgent, Body: it.Body})
}

// PublishTo returns a Config.Publish that passes items to the fleet's gossip and logs
// the items that the gossip refuses.
func PublishTo(publish func(delivery.Item) error) func(rollout.Item) {
	return func(it rollout.Item) {
		item := delivery.Item{
			Revision: it.Revision,
			Kind:     delivery.KindConfiguration,
			Key:      delivery.Key(it.Key),
			Scope:    delivery.ScopeAll,
			Urgent:   it.Urgent,
			Body:     it.Body,
		}
		if strings.HasPrefix(it.Key, rollout.KeySum) {
			item.Kind = delivery.KindAcknowledgement
		}
		if !strings.HasPrefix(it.Key, rollout.KeyDelta) {
			item.RemainingSeconds = lifetimeSeconds
		}
		if err := publish(item); err != nil {
			klog.ErrorS(err, "Item not published", "Key", it.Key, "Bytes", len(it.Body))
		}
	}
}

// MembersOf returns the balancers as members, by address. A balancer passes its own
// entry, which the result contains once.
func MembersOf(balancers []register.Balancer, own ...rollout.Member) []rollout.Member {
	members := slices.Clone(own)
	for _, ba := range balancers {
		me := rollout.Member{Address: ba.Control, Domain: ba.Domain}
		if !slices.Contains(own, me) {
			members = append(members, me)
		}
	}
	slices.SortFunc(members, func(a, b rollout.Member) int { return a.Address.Compare(b.Address) })
	return members
}
