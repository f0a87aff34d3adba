// Package desk holds the HTTP handler of an agent. It reads the callers'
// requests, hands them to the backend server or to other agents, and writes the
// answers. A dispatch.Dispatcher makes the decisions; this package does the
// I/O: it reports events to the dispatcher and carries out the actions that the
// dispatcher returns.
//
// The dispatcher is called under one lock; goroutines that wait do so without
// holding it. Request bodies are read completely before the dispatcher decides.
// Answers up to a limit are read completely before the caller gets a byte;
// longer ones are streamed. If such an answer breaks off, the HTTP stream is
// reset rather than ended, so that the caller can't take a truncated answer for
// a complete one.
//
// Lock order: Handler.mu only; no other lock is taken while it is held.
//
// # Usage
//
//	ha := desk.New(desk.Config{Host: record, Slots: 2, Backend: address, Pool: pool, Metrics: registry, Secret: secret})
//	ha.Register(mux)
//	ha.SetHosts(view)
//	server := &http3.Server{Handler: ha}
//	report := ha.Stop(deadline)
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

// The bounds of what is read into memory.
const (
	// maxRequestBody is the largest body of a caller's request in bytes. A
	// longer one is answered with 413 and the outcome NotRun.
	maxRequestBody = 1 << 20
	// maxBufferedAnswer is the largest body in bytes of an answer that is read
	// completely before it is sent. Longer ones are streamed.
	maxBufferedAnswer = 256 << 10
	// maxRecordedAnswer is the largest body in bytes of an answer to an
	// unrepeatable request, or to one that runs for another agent. Such answers
	// are recorded or sent to that agent and can't be streamed, so that longer
	// ones count as failed.
	maxRecordedAnswer = 2 << 20
)

// responseGrace is how long after a request's deadline another agent's response
// to it is still awaited.
const responseGrace = 500 * time.Millisecond

// Config holds the settings of a Handler and the objects that it uses.
type Config struct {
	// Host is the record of the host that the agent announces.
	Host register.Host
	// Label is the first part of metric labels until SetService is called.
	Label string
	// Slots is the number of requests that the backend server runs at once.
	Slots int
	// Backend is the address of the backend server.
	Backend netip.AddrPort
	// Secret is the deployment's secret, from which the ticket key is derived.
	Secret []byte
	// Pool holds the connections to other agents.
	Pool *link.Pool
	// Metrics takes the durations and outcomes of requests.
	Metrics *gauge.Registry
}

// Handler serves the requests of callers and of other agents at one agent. It is
// safe for concurrent use.
type Handler struct {
	cfg         Config
	home        ledger.Home
	ticketCodec ticket.Codec
	backend     http.RoundTripper
	metrics     requestMetrics
	service     atomic.Pointer[catalog.Service]

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	tasks      map[dispatch.RequestID]*task
	// idByPeerRequest holds this agent's numbers of relayed and delegated requests.
	idByPeerRequest map[peerRequest]dispatch.RequestID
	// controlAddresses holds the control addresses of the peers by host address.
	controlAddresses map[netip.AddrPort]netip.AddrPort
	// assembler joins the pages of ledgers that other agents hand over.
	assembler *relay.Assembler
	lastID    dispatch.RequestID
	timer     *time.Timer
	// stopped takes the result of a planned stop.
	stopped chan dispatch.Stopped
	closed  bool
}

// peerRequest identifies a request that another agent relayed or delegated to
// this one, by that agent's host address and its number of the request.
type peerRequest struct {
	peer   netip.AddrPort
	number dispatch.RequestID
}

// New returns the Handler of an agent that starts now.
func New(cfg Config) *Handler {
	now := time.Now()
	home := ledger.Home{Host: cfg.Host.Address, Incarnation: cfg.Host.Incarnation}
	ha := &Handler{
		cfg:         cfg,
		home:        home,
		ticketCodec: ticket.NewCodec(ticketKey(cfg.Secret)),
		backend: &http.Transport{
			DisableCompression: true,
			// A late second copy of an answer must not reach the next caller.
			DisableKeepAlives: true,
		},
		metrics: requestMetrics{registry: cfg.Metrics},
		dispatcher: dispatch.NewDispatcher(now, dispatch.Settings{
			Home:    home,
			Service: cfg.Host.Service,
			Slots:   cfg.Slots,
			Limits:  ledger.DefaultLimits(),
			Seed:    uint64(now.UnixNano()),
		}),
		tasks:            make(map[dispatch.RequestID]*task),
		idByPeerRequest:  make(map[peerRequest]dispatch.RequestID),
		controlAddresses: make(map[netip.AddrPort]netip.AddrPort),
		assembler:        relay.NewAssembler(),
		stopped:          make(chan dispatch.Stopped, 1),
	}
	ha.timer = time.AfterFunc(time.Hour, ha.onTimer)
	return ha
}

// ticketKey derives the key that seals tickets from the deployment's secret.
func ticketKey(secret []byte) [ticket.KeySize]byte {
	sum := sha256.Sum256(append([]byte("corneltiller ticket "), secret...))
	return [ticket.KeySize]byte(sum[:ticket.KeySize])
}

// SetHosts replaces the known peers by the hosts of the same service in the
// given records. It ignores this host and hosts that are gone.
func (ha *Handler) SetHosts(hosts []register.Host) {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	clear(ha.controlAddresses)
	var peers []dispatch.Peer
	for _, ho := range hosts {
		if ho.Service != ha.cfg.Host.Service || ho.Address == ha.home.Host || ho.State == register.StateGone {
			continue
		}
		ha.controlAddresses[ho.Address] = ho.Control
		peers = append(peers, dispatch.Peer{
			Host:         ho.Address,
			Incarnation:  ho.Incarnation,
			TakesNewWork: ho.State.TakesNewWork(),
		})
	}
	ha.handleLocked(dispatch.PeersChanged{Peers: peers})
}

// Load returns the utilisation of the backend server in percent.
func (ha *Handler) Load() uint16 {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	return uint16(ha.dispatcher.Load() / 10)
}

// Stop drains the handler and hands its ledger over to another agent. It waits
// until that is done, at the latest until the deadline, and returns how many
// requests were unfinished then and whether the ledger was adopted.
func (ha *Handler) Stop(deadline time.Time) dispatch.Stopped {
	ha.mu.Lock()
	ha.handleLocked(dispatch.StopRequested{Deadline: deadline})
	ha.mu.Unlock()
	re := <-ha.stopped
	klog.InfoS("Request handler stopped", "Host", ha.home.Host, "Cut", re.Unfinished, "LedgerAdopted", re.Adopted)
	return re
}

// Close stops the handler's timer. It does not end or cancel requests in
// progress.
func (ha *Handler) Close() {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ha.closed = true
	ha.timer.Stop()
}

// onTimer reports to the dispatcher that the time returned by NextWake has come.
func (ha *Handler) onTimer() {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	if !ha.closed {
		ha.handleLocked(dispatch.TimerFired{})
	}
}

// handle reports an event to the dispatcher and starts the actions that it
// returns.
func (ha *Handler) handle(ev dispatch.Event) {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ha.handleLocked(ev)
}

// handleLocked does the work of handle. The lock must be held.
func (ha *Handler) handleLocked(ev dispatch.Event) {
	now := time.Now()
	for _, ac := range ha.dispatcher.Handle(now, ev) {
		ha.carryOut(ac)
	}
	if next := ha.dispatcher.NextWake(); !next.IsZero() && !ha.closed {
		ha.timer.Reset(next.Sub(now))
	}
}

// carryOut starts an action without waiting for its end. The lock must be held.
func (ha *Handler) carryOut(ac dispatch.Action) {
	switch ac := ac.(type) {
	case dispatch.Respond:
		ha.respond(ac)
	case dispatch.Execute:
		ha.execute(ac)
	case dispatch.Cancel:
		ha.tasks[ac.ID].cancelRun()
	case dispatch.Relay:
		ha.relay(ac)
	case dispatch.Delegate:
		ha.delegate(ac)
	case dispatch.Withdraw:
		ha.notify(ac.Peer, relay.Notice{Verb: relay.VerbWithdraw, Number: ac.ID})
	case dispatch.Probe:
		ha.notify(ac.Peer, relay.Notice{Verb: relay.VerbProbe, Class: ac.Class})
	case dispatch.Grant:
		ha.notify(ac.Peer, relay.Notice{Verb: relay.VerbGrant, Load: ac.Load})
	case dispatch.Decline:
		ha.notify(ac.Peer, relay.Notice{Verb: relay.VerbDecline})
	case dispatch.HandOver:
		go ha.handOver(ac)
	case dispatch.Stopped:
		ha.stopped <- ac
	}
}
