// Package carrier runs the balancer and agent processes of the layer-4 load
// balancer on a platform that provides the store and the packet fabric. It adds the
// sockets, timers, HTTP servers and store calls to the state machines of the
// carriage and members packages, and performs the actions that they return. It
// makes no load-balancing or membership decisions itself.
//
// A balancer forwards callers' packets from the fabric to agents. An agent runs
// beside a host, delivers the packets to it and returns its answers to the
// callers. Both are built on a node, which takes part in membership and receives
// the configuration.
//
// Each process has one mutex, which guards its state machines. The goroutines
// that read sockets lock it for one datagram at a time. Nothing that waits,
// such as a store call, is done while it is held.
//
// # Usage
//
// The caller sets every field of the configuration; none has a default.
//
//	ba, err := carrier.OpenBalancer(cfg)
//	err = ba.Run(ctx)
package carrier

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// ErrRevisionExpired says that a position is of no use any more, because the store
// has dropped the changes since then, or because the position belongs to another
// history than the store's present one. What is there must be read again.
var ErrRevisionExpired = errors.New("revision expired in the store")

// Codec decodes and encodes the packets of callers and hosts.
type Codec struct {
	// DecodeCallerPacket decodes a caller's packet.
	DecodeCallerPacket func(datagram []byte) (carriage.Packet, error)
	// DecodeHostPacket decodes a host's packet, or a caller's packet that the
	// host returned.
	DecodeHostPacket func(datagram []byte) (carriage.Packet, error)
	// ClearReturned removes the mark of a returned packet in place, so that the
	// datagram is the caller's packet again.
	ClearReturned func(datagram []byte)
	// EncodeReset returns the packet that ends a flow for its caller. The
	// argument acknowledged is the sequence number of the next byte that the
	// caller waits for, zero before the flow is open.
	EncodeReset func(flow carriage.Flow, acknowledged uint32) []byte
}

// History identifies a sequence of revisions. The store gives out the same numbers
// again after a restore, so revisions of different histories can't be compared.
type History struct {
	Store netip.AddrPort
	// Era is how often the store was restored from a copy, by its own count, zero
	// if it doesn't say.
	Era uint64
}

// Position is a place in the store's history.
type Position struct {
	History
	// Revision is zero if nothing was read yet.
	Revision uint64
}

// String returns the era and the revision.
func (po Position) String() string { return fmt.Sprintf("era %d revision %d", po.Era, po.Revision) }

// Entry is the membership record of a process as the store holds it.
type Entry struct {
	// Name is the name of the process.
	Name string
	// Position is that of the entry's last change.
	Position
	Record members.Record
}

// EvacuationChange is the start or the end of the evacuation of a failure domain.
type EvacuationChange struct {
	Domain string
	// Removed says that the domain is no longer evacuated.
	Removed bool
}

// Store holds the functions that call the platform's store.
type Store struct {
	// ListEntries returns the entries of all processes. It gives the call for each
	// page PageTimeout and ends by itself, because the context of its caller sets no
	// time limit.
	ListEntries func(ctx context.Context) ([]Entry, error)
	// WriteEntry writes the entry of this process under the name. ErrRevisionExpired is
	// returned, wrapped, if the store was restored meanwhile.
	WriteEntry func(ctx context.Context, name string, re members.Record) error
	// RemoveEntry removes an entry unless it has changed since it was read.
	// ErrRevisionExpired is returned, wrapped, if the store was restored since then;
	// another entry of the same name may be removed then.
	RemoveEntry func(ctx context.Context, en Entry) error
	// RemoveOwnEntry removes the entry that this process has written under the name, with
	// one call, unless it has changed since.
	RemoveOwnEntry func(ctx context.Context, name string) error
	// Routes reads the configuration and the store's position. The routes are nil
	// if the store has no configuration.
	Routes func(ctx context.Context) (*catalog.Routes, Position, error)
	// Watch waits until the deadline for configurations that were written after the
	// position, and returns all of them, the oldest first, with the store's position.
	// ErrRevisionExpired is returned, wrapped, if the store can't watch from the position.
	Watch func(ctx context.Context, after Position, deadline time.Time) ([]*catalog.Routes, Position, error)
	// Services reads the service record and its revision. The record is nil, and the
	// revision zero, if the store has none. A nil function stands for a store that keeps
	// no record.
	Services func(ctx context.Context) (*catalog.ServiceRecord, uint64, error)
	// WriteServices replaces the service record that has the revision, or creates it if
	// that is zero, and returns the new revision. ErrRecordChanged is returned, wrapped, if
	// the record has another revision, and ErrRecordTooLarge if it can't be stored.
	WriteServices func(ctx context.Context, record *catalog.ServiceRecord, revision uint64) (uint64, error)
	// Evacuations reads the names of the evacuated failure domains and the store's
	// position.
	Evacuations func(ctx context.Context) ([]string, Position, error)
	// WatchEvacuations waits until the deadline for changes of the evacuations that were
	// made after the position, and returns them in order with the store's position. The
	// error wraps ErrRevisionExpired as that of Watch does.
	WatchEvacuations func(ctx context.Context, after Position, deadline time.Time) ([]EvacuationChange, Position, error)
}
