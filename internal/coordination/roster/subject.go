// Package roster decides who is there: it joins the announced records of
// hosts and balancers to the fleet's view, watches a few of them by heartbeats,
// and removes one only when a majority of its watchers suspects it and it had
// time to refute.
//
// Three cores share the package. The Roster is the view: the newest record and
// the newest removal of each subject, joined in any order. The Announcer is the
// only writer of its own record; it sends heartbeats to a few balancers in
// different failure domains. The Watcher takes heartbeats and, with the other
// watchers of the same subject, decides on removals.
//
// A removal names the revision that it removes, so a subject that is alive
// after all refutes it by announcing a higher sequence. Removals that hit too
// large a share of a service or of a failure domain at once are distrusted:
// the hosts stay in for a while and are flagged.
//
// All cores take the time with every input and return actions.
//
// # Usage
//
//	ro := roster.New()
//	changed, err := ro.Apply(item, now)
//	hosts := ro.Rotation(service, now)
package roster

import (
	"net/netip"

	"github.com/dchest/siphash"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// Role tells hosts and balancers apart.
type Role uint8

// The roles.
const (
	RoleHost Role = iota + 1
	RoleBalancer
)

// String returns the role's name as operators read it.
func (ro Role) String() string {
	if ro == RoleBalancer {
		return "Balancer"
	}
	return "Host"
}

// Subject names the writer of a record.
type Subject struct {
	_       struct{} `cbor:",toarray"`
	Role    Role
	Address netip.AddrPort
}

// CellCount is the number of cells that balancers are spread over, so that an
// agent can take a share of all balancers.
const CellCount = 64

// The keys of the hash that places balancers in cells and ranks watchers.
const (
	rankKey0 uint64 = 0x7761746368657273
	rankKey1 uint64 = 0x72656e64657a766f
)

// CellOf returns the cell of a balancer.
func CellOf(address netip.AddrPort) uint32 {
	return uint32(siphash.Hash(rankKey0, rankKey1, addressBytes(address)) % CellCount)
}

// TombstoneSeconds is how long a record that is Gone, or a removal, is kept.
const TombstoneSeconds = 24 * 60 * 60

// Removal is the decision of a majority of watchers about one revision.
type Removal struct {
	_       struct{} `cbor:",toarray"`
	Subject Subject
	register.Revision
	// Watchers are those that suspected the subject, by control address.
	Watchers []netip.AddrPort
}

// HostItem returns the item that spreads a host record.
func HostItem(ho register.Host) (delivery.Item, error) {
	body, err := register.EncodeHost(ho)
	if err != nil {
		return delivery.Item{}, err
	}
	it := delivery.Item{
		Revision: ho.Revision,
		Kind:     delivery.KindHost,
		Key:      keyOf(ho.Address),
		Scope:    uint32(ho.Service),
		Body:     body,
	}
	return withState(it, ho.State), nil
}

// BalancerItem returns the item that spreads a balancer record.
func BalancerItem(ba register.Balancer) (delivery.Item, error) {
	body, err := register.EncodeBalancer(ba)
	if err != nil {
		return delivery.Item{}, err
	}
	it := delivery.Item{
		Revision: ba.Revision,
		Kind:     delivery.KindBalancer,
		Key:      keyOf(ba.Address),
		Scope:    CellOf(ba.Address),
		Body:     body,
	}
	return withState(it, ba.State), nil
}

// RemovalItem returns the item that spreads a removal. The scope is that of
// the removed record.
func RemovalItem(re Removal, scope uint32) (delivery.Item, error) {
	body, err := cbor.Marshal(re)
	if err != nil {
		return delivery.Item{}, errors.Wrapf(err, "encode removal of %s", re.Subject.Address)
	}
	kind := delivery.KindHostRemoval
	if re.Subject.Role == RoleBalancer {
		kind = delivery.KindBalancerRemoval
	}
	return delivery.Item{
		Revision:         re.Revision,
		Kind:             kind,
		Key:              keyOf(re.Subject.Address),
		Scope:            scope,
		Urgent:           true,
		RemainingSeconds: TombstoneSeconds,
		Body:             body,
	}, nil
}

// DecodeRemoval parses the body of a removal.
func DecodeRemoval(it delivery.Item) (Removal, error) {
	var re Removal
	if err := cbor.Unmarshal(it.Body, &re); err != nil {
		return Removal{}, errors.Wrap(err, "decode removal")
	}
	if !re.Subject.Address.IsValid() || re.Revision != it.Revision || keyOf(re.Subject.Address) != it.Key {
		return Removal{}, errors.Wrapf(register.ErrInvalidRecord, "removal of %s", re.Subject.Address)
	}
	return re, nil
}

// SubjectOf returns whom a record or removal is about.
func SubjectOf(it delivery.Item) (Subject, bool) {
	if it.Kind > delivery.KindBalancerRemoval {
		return Subject{}, false
	}
	address, ok := addressOf(it.Key)
	return Subject{Role: roleOf(it.Kind), Address: address}, ok
}

// RecordIdentity returns the name of the subject's record among all items.
func RecordIdentity(su Subject) delivery.Identity {
	kind := delivery.KindHost
	if su.Role == RoleBalancer {
		kind = delivery.KindBalancer
	}
	return delivery.Identity{Kind: kind, Key: keyOf(su.Address)}
}

// withState marks the item urgent and mortal as the state demands.
func withState(it delivery.Item, st register.State) delivery.Item {
	it.Urgent = st == register.StateDraining || st == register.StateGone
	if st == register.StateGone {
		it.RemainingSeconds = TombstoneSeconds
	}
	return it
}

func keyOf(address netip.AddrPort) delivery.Key {
	return delivery.Key(addressBytes(address))
}

func addressBytes(address netip.AddrPort) []byte {
	buf, _ := address.MarshalBinary() // never fails
	return buf
}
