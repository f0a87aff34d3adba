package carrier

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/protocol/waybill"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

const (
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 2048
	// socketBuffer is the kernel's buffer of a socket in bytes: a burst that
	// arrives while the process waits for the processor.
	socketBuffer = 1 << 20
	// maxRemoved bounds the removed members whose entries wait to be removed.
	maxRemoved = 64
	// readHeaderTimeout bounds how long a connection may take for its request.
	readHeaderTimeout = 2 * time.Second
)

// node is what balancers and agents share: the view of members, the socket
// between processes, the timer and the metrics.
type node struct {
	settings settings.Carrier
	store    Store
	board    *gauge.Registry
	peers    *net.UDPConn
	started  time.Time
	// firstStart says that the whole system starts for the first time.
	firstStart bool

	// mu guards everything below and the core of the role.
	mu     sync.Mutex
	view   *members.View
	routes *catalog.Routes
	// timer calls wake at wakeAt, which is zero while it isn't set.
	timer  *time.Timer
	wakeAt time.Time
	// scratch is where outgoing messages are built.
	scratch []byte

	// The role's seams; all are called with mu held. tick does what its core has
	// due, at deadline at the latest.
	tick     func(now time.Time)
	deadline func() time.Time
	// message takes a message about flows.
	message func(now time.Time, from netip.AddrPort, datagram []byte)
	// changed tells that the view has changed, heard that a member was heard and
	// rerouted that routes are in force.
	changed  func(now time.Time)
	heard    func(now time.Time, from netip.AddrPort)
	rerouted func(now time.Time, ro *catalog.Routes)

	// forgotten tells that the own entry in the store has vanished.
	forgotten chan struct{}
	// removed hands over the members whose entries are to be removed.
	removed chan netip.AddrPort
}

func newNode(st settings.Carrier, sr Store, board *gauge.Registry, role members.Role) (*node, error) {
	now := time.Now()
	peers, err := listenUDP(st.Peers)
	if err != nil {
		return nil, err
	}
	no := &node{
		settings: st, store: sr, board: board, peers: peers, started: now,
		view: members.NewView(members.Record{
			Revision: register.Revision{Incarnation: uint64(now.UnixMilli())},
			Address:  st.Peers, Role: role, Domain: st.Domain,
		}),
		forgotten: make(chan struct{}, 1),
		removed:   make(chan netip.AddrPort, maxRemoved),
	}
	no.timer = time.AfterFunc(math.MaxInt64, no.wake)
	return no, nil
}

func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	// The kernel caps the size by itself; a smaller buffer is no failure.
	_ = conn.SetReadBuffer(socketBuffer)
	return conn, nil
}

// read hands each datagram of the socket over until the socket is closed.
func read(conn *net.UDPConn, take func(from netip.AddrPort, datagram []byte)) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A refused datagram of an earlier send; the socket still works.
			klog.V(2).InfoS("Socket error", "err", err)
			continue
		}
		take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
	}
}

// serve runs an HTTP server until the context ends.
func serve(ctx context.Context, address netip.AddrPort, ha http.Handler) error {
	var lc net.ListenConfig
	li, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { sv.Close() })
	defer stop()
	if err := sv.Serve(li); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve on %s", address)
	}
	return nil
}

// wake does what has become due.
func (no *node) wake() {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	no.wakeAt = time.Time{}
	no.tick(now)
	if at := no.view.Deadline(); !now.Before(at) {
		no.perform(now, no.view.Tick(now))
	}
	no.schedule(now)
}

// schedule sets the timer to the first deadline.
func (no *node) schedule(now time.Time) {
	at := no.view.Deadline()
	if de := no.deadline(); !de.IsZero() && (at.IsZero() || de.Before(at)) {
		at = de
	}
	if at.IsZero() || !no.wakeAt.IsZero() && !at.Before(no.wakeAt) {
		return
	}
	no.wakeAt = at
	no.timer.Reset(max(at.Sub(now), 0))
}

// takeMessage handles one datagram of another process.
func (no *node) takeMessage(from netip.AddrPort, datagram []byte) {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	if waybill.KindOf(datagram) != waybill.KindMember {
		no.message(now, from, datagram)
		no.schedule(now)
		return
	}
	msg, err := members.Decode(datagram[1:])
	if err != nil {
		no.refuse(from, err)
		return
	}
	no.perform(now, no.view.Handle(now, from, msg))
	no.heard(now, from)
	no.schedule(now)
}

// refuse notes a message that can't be read.
func (no *node) refuse(from netip.AddrPort, err error) {
	no.board.Count("MessagesRefused", 1)
	klog.V(1).InfoS("Message refused", "from", from, "err", err)
}

// perform carries out what the view wants done.
func (no *node) perform(now time.Time, list []members.Action) {
	changed := false
	for _, ac := range list {
		switch ac.Kind {
		case members.KindSend:
			no.sendMessage(ac)
		case members.KindChanged:
			changed = true
		case members.KindConfiguration:
			no.takeRoutes(now, ac.Data, ac.Version)
		case members.KindRegister:
			signal(no.forgotten)
		case members.KindRemoved:
			klog.InfoS("Member removed", "member", ac.To, "silent", now.Sub(ac.Since).Round(time.Millisecond))
			select {
			case no.removed <- ac.To:
			default:
			}
		}
	}
	if changed {
		no.changed(now)
	}
}

func (no *node) sendMessage(ac members.Action) {
	data, err := ac.Message.Encode()
	if err != nil {
		klog.ErrorS(err, "Message not sent", "to", ac.To)
		return
	}
	no.send(ac.To, append([]byte{byte(waybill.KindMember)}, data...))
}

// send sends a datagram to another process. A failure is that of the network,
// which may lose any datagram.
func (no *node) send(to netip.AddrPort, datagram []byte) {
	if _, err := no.peers.WriteToUDPAddrPort(datagram, to); err != nil {
		no.board.Count("SendsFailed", 1)
		klog.V(1).InfoS("Datagram not sent", "to", to, "err", err)
	}
}

// takeRoutes takes a configuration that another member sent.
func (no *node) takeRoutes(now time.Time, data []byte, version uint64) {
	ro, err := waybill.DecodeRoutes(data)
	if err != nil {
		klog.ErrorS(err, "Configuration refused", "version", version)
		return
	}
	no.setRoutes(now, ro, "member")
}

// setRoutes puts newer routes in force.
func (no *node) setRoutes(now time.Time, ro *catalog.Routes, source string) {
	if no.routes != nil && ro.Version <= no.routes.Version {
		return
	}
	before := uint64(0)
	if no.routes != nil {
		before = no.routes.Version
	}
	no.routes = ro
	no.rerouted(now, ro)
	no.board.Set("ConfigurationVersion", int64(ro.Version))
	klog.InfoS("Configuration in force", "version", ro.Version, "before", before,
		"addresses", len(ro.Addresses), "source", source)
}

// publish puts routes from the store in force and hands them on.
func (no *node) publish(ro *catalog.Routes) {
	data, err := waybill.EncodeRoutes(ro)
	if err != nil {
		klog.ErrorS(err, "Configuration not spread", "version", ro.Version)
		return
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	no.setRoutes(now, ro, "store")
	no.perform(now, no.view.Publish(ro.Version, data))
	no.schedule(now)
}

// Reload takes what may change while the process runs: the seeds and the time to
// stop. Names and the process's own addresses hold until it ends.
func (no *node) Reload(st settings.Carrier) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.settings.Seeds = st.Seeds
	no.settings.StopWithin = st.StopWithin
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
