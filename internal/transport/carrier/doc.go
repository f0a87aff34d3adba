// Package carrier runs the processes that carry flows: the sockets, timers and
// servers around the decision cores of the carriage and members packages. It
// holds no decision.
//
// Each process has one lock, which guards its cores. Readers of sockets take it
// for one datagram at a time; nothing that waits is done under it.
//
// # Usage
//
//	ba, err := carrier.OpenBalancer(carrier.BalancerConfig{Settings: st, Format: format, Store: store})
//	err = ba.Run(ctx)
package carrier

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/carriage"
	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/state/catalog"
)

// ErrRevisionExpired says that a watch can't go on from its revision: the routes
// must be read again.
var ErrRevisionExpired = errors.New("history of the store is gone")

// Codec reads and writes the packets of callers and hosts.
type Codec struct {
	// DecodeCallerPacket reads a caller's packet.
	DecodeCallerPacket func(datagram []byte) (carriage.Packet, error)
	// DecodeHostPacket reads a host's packet, or a caller's that the host returned.
	DecodeHostPacket func(datagram []byte) (carriage.Packet, error)
	// ClearReturned makes a returned packet a caller's packet again.
	ClearReturned func(datagram []byte)
	// EncodeReset returns the packet that ends a flow for its caller, who waits for the
	// byte of the number, zero before the flow is open.
	EncodeReset func(flow carriage.Flow, number uint32) []byte
}

// Entry is a process's entry in the store.
type Entry struct {
	Name string
	// Revision is the store's number of the entry's last change.
	Revision uint64
	Record   members.Record
}

// Store makes calls to the platform's store.
type Store struct {
	// ListEntries lists the entries of all processes.
	ListEntries func(ctx context.Context) ([]Entry, error)
	// WriteEntry writes the entry of this process.
	WriteEntry func(ctx context.Context, name string, re members.Record) error
	// RemoveEntry removes an entry that has not changed.
	RemoveEntry func(ctx context.Context, en Entry) error
	// Routes reads the configuration and the store's revision. Without a
	// configuration the routes are nil.
	Routes func(ctx context.Context) (*catalog.Routes, uint64, error)
	// Watch waits until the deadline for a configuration that is newer than the
	// revision. The routes are nil if there was none.
	Watch func(ctx context.Context, revision uint64, deadline time.Time) (*catalog.Routes, uint64, error)
}
