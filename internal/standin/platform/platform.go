// Package platform implements the platform's object API in memory for the demo
// and the tests: objects with versions, conditional writes, watches by long
// poll and a count of the calls, in which a watch counts as one call. It
// simulates faults, which can be switched at run time: outage, refusal, delay,
// and writes that are lost before or after their effect.
//
// # Usage
//
//	se := platform.New()
//	go se.Serve(ctx, netip.MustParseAddrPort("127.0.0.1:7070"), nil)
//	se.SetOutage(true)
package platform

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/protocol/object"
)

// headerTimeout bounds the time to read the header of a call.
const headerTimeout = 5 * time.Second

// Calls counts the calls that the store has received, by kind, including those
// that a fault kept from taking effect.
type Calls struct {
	Reads   uint64
	Writes  uint64
	Deletes uint64
	Lists   uint64
	Watches uint64
}

// Total returns the number of calls of every kind.
func (ca Calls) Total() uint64 {
	return ca.Reads + ca.Writes + ca.Deletes + ca.Lists + ca.Watches
}

// Faults are the faults that the store simulates.
type Faults struct {
	// Outage closes every connection without an answer or an effect.
	Outage bool
	// Refusal answers every call with 503 and without an effect.
	Refusal bool
	// Delay is added to each call before its effect.
	Delay time.Duration
	// DropWrites is the number of next writes that are lost before they take
	// effect and get no answer.
	DropWrites int
	// DropWriteAnswers is the number of next writes that are processed but get no
	// answer. A write whose condition does not hold counts too.
	DropWriteAnswers int
}

// Server is the in-memory store. The zero value is not usable; call New.
type Server struct {
	// Now is the store's clock. It must not be changed while calls are served.
	Now func() time.Time

	mu      sync.Mutex
	objects *Objects
	faults  Faults
	calls   Calls
	// changed is closed and replaced by notify, to wake the waiting watches.
	changed chan struct{}
}

// New returns an empty store without faults.
func New() *Server {
	return &Server{
		Now:     time.Now,
		objects: NewObjects(),
		changed: make(chan struct{}),
	}
}

// Calls returns the number of calls received so far.
func (se *Server) Calls() Calls {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.calls
}

// SetFaults replaces the simulated faults.
func (se *Server) SetFaults(fa Faults) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.faults = fa
	se.notify()
}

// SetOutage begins or ends an outage. Waiting watches end without an answer.
func (se *Server) SetOutage(down bool) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.faults.Outage = down
	se.notify()
}

// DropWriteAnswers sets Faults.DropWriteAnswers: the given number of next writes
// are processed but get no answer.
func (se *Server) DropWriteAnswers(writes int) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.faults.DropWriteAnswers = writes
}

// Backup returns a copy of the present objects.
func (se *Server) Backup() *Objects {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.objects.Backup()
}

// Restore replaces the objects by those of a backup.
func (se *Server) Restore(backup *Objects) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.objects.Restore(backup)
	se.notify()
}

// notify wakes the waiting watches. The caller holds the lock.
func (se *Server) notify() {
	close(se.changed)
	se.changed = make(chan struct{})
}

// Serve listens on the address and serves calls until the context ends. Without
// a TLS configuration it serves plain HTTP.
func (se *Server) Serve(ctx context.Context, address netip.AddrPort, tc *tls.Config) error {
	li, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrapf(err, "listen at %s", address)
	}
	return se.ServeListener(ctx, li, tc)
}

// ServeListener serves calls from the listener until the context ends. Without a
// TLS configuration it serves plain HTTP.
func (se *Server) ServeListener(ctx context.Context, li net.Listener, tc *tls.Config) error {
	if tc != nil {
		li = tls.NewListener(li, tc)
	}
	hs := &http.Server{
		Handler:           se,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { _ = hs.Close() })
	defer stop()
	if err := hs.Serve(li); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve objects at %s", li.Addr())
	}
	return nil
}

var _ http.Handler = (*Server)(nil)

// waitForVersion blocks until the object has another version than the given one
// and returns the object, or object.ErrNotFound if it was deleted. It returns
// object.ErrUnchanged once the given time has come, and object.ErrUnanswered if
// an outage begins or the context ends before.
func (se *Server) waitForVersion(ctx context.Context, name string, version object.Version, until time.Time) (object.Object, error) {
	tm := time.NewTimer(until.Sub(se.Now()))
	defer tm.Stop()
	for {
		se.mu.Lock()
		found, err := se.objects.Get(name)
		changed := se.changed
		down := se.faults.Outage
		se.mu.Unlock()
		if down {
			return found, object.ErrUnanswered
		}
		if found.Version != version {
			return found, err
		}
		select {
		case <-changed:
		case <-tm.C:
			return found, object.ErrUnchanged
		case <-ctx.Done():
			return found, object.ErrUnanswered
		}
	}
}
