// Package roster tracks which hosts and balancers belong to the fleet: it merges
// their announced records into a view, detects failures by heartbeats, and removes
// a member only when a majority of its watchers suspects it and it had time to
// refute.
//
// The package has three state machines. The Roster is the view: the newest record
// and the newest removal of each subject, merged in any order. The Announcer
// publishes the record of its own node, whose only writer it is, and sends
// heartbeats to a few balancers in different failure domains, its watchers. The
// Watcher receives heartbeats and decides on removals together with the other
// watchers of the same subject.
//
// A removal names the revision that it removes, so a subject that is alive after
// all refutes it by announcing a higher sequence number. If too large a share of a
// service or of a failure domain is removed at once, the removals are distrusted:
// the members count as part of the fleet for DistrustHold longer and operators see
// them as Distrusted.
//
// None of the three does I/O or reads a clock: they take messages and the current
// time. The Announcer and the Watcher return actions for the caller to carry out.
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

// Role is the kind of a member: host or balancer.
type Role uint8

// The roles of a member.
const (
	RoleHost Role = iota + 1
	RoleBalancer
)

// String returns the name of the role as operators read it.
func (ro Role) String() string {
	if ro == RoleBalancer {
		return "Balancer"
	}
	return "Host"
}

// Subject identifies a member of the fleet, the writer of one record. Address is
// the address in the record, not the control address.
type Subject struct {
	_       struct{} `cbor:",toarray"`
	Role    Role
	Address netip.AddrPort
}

// HashBucketCount is the number of hash buckets into which balancers are divided by
// a hash of their address. An agent subscribes to the balancers of some buckets
// instead of all balancers.
const HashBucketCount = 64

// The keys of the SipHash that assigns balancers to hash buckets and ranks them as
// watchers. All nodes must use the same.
const (
	hashKey0 uint64 = 0x7761746368657273
	hashKey1 uint64 = 0x72656e64657a766f
)

// HashBucketOf returns the hash bucket of an address, less than HashBucketCount.
func HashBucketOf(address netip.AddrPort) uint32 {
	return uint32(siphash.Hash(hashKey0, hashKey1, addressBytes(address)) % HashBucketCount)
}

// TombstoneSeconds is how long a removal, or a record in the state Gone, is kept.
const TombstoneSeconds = 24 * 60 * 60

// Removal is the decision of a majority of watchers that the subject has failed. It
// covers the records of the subject up to the revision.
type Removal struct {
	_       struct{} `cbor:",toarray"`
	Subject Subject
	register.Revision
	// Watchers are the control addresses of those that suspected the subject.
	Watchers []netip.AddrPort
}

// HostItem returns the item that publishes a host record. Its scope is the service.
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

// BalancerItem returns the item that publishes a balancer record. Its scope is the
// hash bucket.
func BalancerItem(ba register.Balancer) (delivery.Item, error) {
	body, err := register.EncodeBalancer(ba)
	if err != nil {
		return delivery.Item{}, err
	}
	it := delivery.Item{
		Revision: ba.Revision,
		Kind:     delivery.KindBalancer,
		Key:      keyOf(ba.Address),
		Scope:    HashBucketOf(ba.Address),
		Body:     body,
	}
	return withState(it, ba.State), nil
}

// RemovalItem returns the item that publishes a removal. The scope is that of the
// removed record.
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

// DecodeRemoval decodes the body of a removal. It returns an error wrapping
// register.ErrInvalidRecord if the address or revision is not that of the item.
func DecodeRemoval(it delivery.Item) (Removal, error) {
	var re Removal
	if err := cbor.Unmarshal(it.Body, &re); err != nil {
		return Removal{}, errors.Wrap(err, "decode removal")
	}
	if !re.Subject.Address.IsValid() || re.Revision != it.Revision || keyOf(re.Subject.Address) != it.Key {
		return Removal{}, errors.Wrapf(register.ErrInvalidRecord, "decode removal of %s: address or revision differs from the item", re.Subject.Address)
	}
	return re, nil
}

// SubjectOf returns the subject of a record or removal, and false for an item that
// is neither or whose key is no address.
func SubjectOf(it delivery.Item) (Subject, bool) {
	if it.Kind > delivery.KindBalancerRemoval {
		return Subject{}, false
	}
	address, ok := addressOf(it.Key)
	return Subject{Role: roleOf(it.Kind), Address: address}, ok
}

// RecordIdentity returns the identity of the item that holds the record of the
// subject.
func RecordIdentity(su Subject) delivery.Identity {
	kind := delivery.KindHost
	if su.Role == RoleBalancer {
		kind = delivery.KindBalancer
	}
	return delivery.Identity{Kind: kind, Key: keyOf(su.Address)}
}

// withState returns the item with the urgency and lifetime for the state: Draining
// and Gone are urgent, and Gone expires after TombstoneSeconds.
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
