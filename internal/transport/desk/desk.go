// Package desk is the shell of the dispatch core: the HTTP handler of an
// agent. It reads the callers' requests, hands them to the backend server or to
// other agents as the core decides, and writes the answers.
//
// The core is driven under one lock; every wait happens in a goroutine outside
// of it. Requests are read whole. Answers up to a limit are read whole before
// the caller gets a byte; longer ones are streamed, and a stream that breaks is
// reset rather than ended, so that no truncated answer looks whole.
//
// Lock order: Desk.mu only; no other lock is taken while it is held.
//
// # Usage
//
//	de := desk.Open(desk.Config{Host: record, Slots: 2, Backend: address, Pool: pool, Board: board, Secret: secret})
//	de.Register(mux)
//	de.SetHosts(view)
//	server := &http3.Server{Handler: de}
//	report := de.Stop(deadline)
package desk

import (
	"crypto/sha256"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/protocol/relay"
	"corneltiller.dev/corneltiller/internal/protocol/ticket"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/ledger"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

// The bounds of what is read whole.
const (
	// maxBody is the largest body of a request in bytes.
	maxBody = 1 << 20
	// maxBuffered is the largest answer in bytes that is read whole before it
	// is sent.
	maxBuffered = 256 << 10
	// maxRecorded is the largest answer in bytes to an unrepeatable request or
	// to one that ran for another agent.
	maxRecorded = 2 << 20
)

// responseGrace is how long past a deadline another agent's response is read.
const responseGrace = 500 * time.Millisecond

// Config is what a Desk needs to run.
type Config struct {
	// Host is the record of the host that the agent announces.
	Host register.Host
	// Label names the service in metrics until SetService.
	Label   string
	Slots   int
	Backend netip.AddrPort
	// Secret is the deployment's secret, from which the ticket key is derived.
	Secret []byte
	Pool   *link.Pool
	Board  *gauge.Registry
}

// Desk serves the requests of one agent.
type Desk struct {
	cfg     Config
	home    ledger.Home
	sealer  ticket.Sealer
	backend http.RoundTripper
	meters  meters
	service atomic.Pointer[catalog.Service]

	mu       sync.Mutex
	core     *dispatch.Dispatcher
	tasks    map[dispatch.RequestID]*task
	numbers  map[origin]dispatch.RequestID
	controls map[netip.AddrPort]netip.AddrPort
	binder   *relay.Binder
	lastID   dispatch.RequestID
	timer    *time.Timer
	stopped  chan dispatch.Stopped
	closed   bool
}

// origin names a request by the agent that passed it on.
type origin struct {
	from   netip.AddrPort
	number dispatch.RequestID
}

// Open returns the Desk of an agent.
func Open(cfg Config) *Desk {
	now := time.Now()
	home := ledger.Home{Host: cfg.Host.Address, Incarnation: cfg.Host.Incarnation}
	de := &Desk{
		cfg:    cfg,
		home:   home,
		sealer: ticket.NewSealer(ticketKey(cfg.Secret)),
		backend: &http.Transport{
			MaxIdleConnsPerHost: cfg.Slots,
			DisableCompression:  true,
		},
		meters: meters{board: cfg.Board},
		core: dispatch.NewDispatcher(now, dispatch.Settings{
			Home:    home,
			Service: cfg.Host.Service,
			Slots:   cfg.Slots,
			Limits:  ledger.DefaultLimits(),
			Seed:    uint64(now.UnixNano()),
		}),
		tasks:    make(map[dispatch.RequestID]*task),
		numbers:  make(map[origin]dispatch.RequestID),
		controls: make(map[netip.AddrPort]netip.AddrPort),
		binder:   relay.NewBinder(),
		stopped:  make(chan dispatch.Stopped, 1),
	}
	de.timer = time.AfterFunc(time.Hour, de.elapsed)
	return de
}

// ticketKey derives the key of the tickets from the deployment's secret.
func ticketKey(secret []byte) [ticket.KeySize]byte {
	sum := sha256.Sum256(append([]byte("corneltiller ticket "), secret...))
	return [ticket.KeySize]byte(sum[:ticket.KeySize])
}

// SetHosts takes the records of all known hosts. Those of other services and
// of this host are ignored.
func (de *Desk) SetHosts(hosts []register.Host) {
	de.mu.Lock()
	defer de.mu.Unlock()
	clear(de.controls)
	var peers []dispatch.Peer
	for _, ho := range hosts {
		if ho.Service != de.cfg.Host.Service || ho.Address == de.home.Host || ho.State == register.StateGone {
			continue
		}
		de.controls[ho.Address] = ho.Control
		peers = append(peers, dispatch.Peer{
			Host:         ho.Address,
			Incarnation:  ho.Incarnation,
			TakesNewWork: ho.State.TakesNewWork(),
		})
	}
	de.handle(dispatch.PeersChanged{Peers: peers})
}

// Load returns the utilisation of the backend server in percent.
func (de *Desk) Load() uint16 {
	de.mu.Lock()
	defer de.mu.Unlock()
	return uint16(de.core.Load() / 10)
}

// Stop drains the desk and hands its ledger over. It returns what was left
// when the stop ended, at the latest at the deadline.
func (de *Desk) Stop(deadline time.Time) dispatch.Stopped {
	de.mu.Lock()
	de.handle(dispatch.StopRequested{Deadline: deadline})
	de.mu.Unlock()
	re := <-de.stopped
	klog.InfoS("Desk stopped", "Host", de.home.Host, "Cut", re.Unfinished, "LedgerAdopted", re.Adopted)
	return re
}

// Close ends the desk's timer. Requests in progress are left to their callers.
func (de *Desk) Close() {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.closed = true
	de.timer.Stop()
}

// elapsed tells the core that the time it asked for came.
func (de *Desk) elapsed() {
	de.mu.Lock()
	defer de.mu.Unlock()
	if !de.closed {
		de.handle(dispatch.TimerFired{})
	}
}

// tell gives an event to the core.
func (de *Desk) tell(ev dispatch.Event) {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.handle(ev)
}

// handle gives an event to the core and starts what it decided. The caller
// holds the lock.
func (de *Desk) handle(ev dispatch.Event) {
	now := time.Now()
	for _, ac := range de.core.Handle(now, ev) {
		de.carryOut(ac)
	}
	if next := de.core.NextWake(); !next.IsZero() && !de.closed {
		de.timer.Reset(next.Sub(now))
	}
}

// carryOut starts an action without waiting for it.
func (de *Desk) carryOut(ac dispatch.Action) {
	switch ac := ac.(type) {
	case dispatch.Respond:
		de.respond(ac)
	case dispatch.Execute:
		de.execute(ac)
	case dispatch.Cancel:
		de.tasks[ac.ID].cancelRun()
	case dispatch.Relay:
		de.relay(ac)
	case dispatch.Delegate:
		de.delegate(ac)
	case dispatch.Withdraw:
		de.notify(ac.Peer, relay.Notice{Verb: relay.VerbWithdraw, Number: ac.ID})
	case dispatch.Probe:
		de.notify(ac.Peer, relay.Notice{Verb: relay.VerbProbe, Class: ac.Class})
	case dispatch.Grant:
		de.notify(ac.Peer, relay.Notice{Verb: relay.VerbGrant, Load: ac.Load})
	case dispatch.Decline:
		de.notify(ac.Peer, relay.Notice{Verb: relay.VerbDecline})
	case dispatch.HandOver:
		go de.handOver(ac)
	case dispatch.Stopped:
		de.stopped <- ac
	}
}
