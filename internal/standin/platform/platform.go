// Package platform is the stand-in of the platform's object API for the demo
// and the tests: objects with versions, conditional writes, watches by long
// poll and a count of the calls, in which a waiting watch counts as one. Its
// faults are switched at run time: outage, refusal, delay, and calls that are
// lost before or after their effect.
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

// Calls counts the calls that the store has taken, by kind.
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

// Faults are the faults that the store shows.
type Faults struct {
	// Outage closes every connection without an answer or an effect.
	Outage bool
	// Refusal answers every call with 503 and without an effect.
	Refusal bool
	// Delay is added to each call before its effect.
	Delay time.Duration
	// DropWrites is how many coming writes get lost before their effect.
	DropWrites int
	// LoseAnswers is how many coming writes take effect without an answer.
	LoseAnswers int
}

// Server is the stand-in store. The zero value is not usable; call New.
type Server struct {
	// Now is the store's clock.
	Now func() time.Time

	mu      sync.Mutex
	objects *Objects
	faults  Faults
	calls   Calls
	// changed is closed and replaced at each write, delete and switch of faults.
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

// Calls returns the number of calls taken so far.
func (se *Server) Calls() Calls {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.calls
}

// SetFaults replaces the faults that the store shows.
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

// DropWriteAnswers lets the next writes take effect without an answer.
func (se *Server) DropWriteAnswers(writes int) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.faults.LoseAnswers = writes
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

// Serve takes calls at the address until the context ends. Without a TLS
// configuration it speaks plain HTTP.
func (se *Server) Serve(ctx context.Context, address netip.AddrPort, tc *tls.Config) error {
	li, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrapf(err, "listen at %s", address)
	}
	return se.ServeListener(ctx, li, tc)
}

// ServeListener takes calls from the listener until the context ends.
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

// wait blocks until the store shows another version than the given one, the
// wait ends, or the context does.
func (se *Server) wait(ctx context.Context, name string, version object.Version, until time.Time) (object.Object, error) {
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
