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

	"corneltiller.dev/corneltiller/internal/coordination/evacuation"
	"corneltiller.dev/corneltiller/internal/coordination/members"
	"corneltiller.dev/corneltiller/internal/protocol/waybill"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/gauge"
)

const (
	// maxDatagram is the size of a read buffer in bytes; a longer datagram is
	// truncated.
	maxDatagram = 2048
	// readBufferSize is the size of the kernel's receive buffer of a socket in
	// bytes. It holds a burst that arrives while the process waits for a CPU.
	readBufferSize = 1 << 20
	// readHeaderTimeout bounds how long a client may take to send the header of an
	// HTTP request.
	readHeaderTimeout = 2 * time.Second
	// inForceWithin is the time after its acknowledgement by which all processes apply a
	// change of the configuration.
	inForceWithin = 3 * time.Second
)

// node is the part that balancers and agents share: the view of the members, the
// socket for messages between processes, the configuration, the timer and the
// metrics.
type node struct {
	settings settings.Carrier
	store    Store
	metrics  *gauge.Registry
	// peerConn is the socket for messages between processes.
	peerConn *net.UDPConn
	started  time.Time
	// firstStart says that the whole system starts for the first time. It is set
	// for agents only.
	firstStart bool

	// mu guards the fields up to scratch, the state machine of the role and its
	// fields that change, and the settings that Reload changes.
	mu     sync.Mutex
	view   *members.View
	routes *catalog.Routes
	// former keeps the services that addresses had before.
	former *catalog.FormerServices
	// recorded is the service record in the store as far as it is known.
	recorded serviceRecord
	// evacuations is nil if evacuation is off.
	evacuations *evacuation.Keeper
	// reviews decides when the process reviews the entries in the store. Only balancers
	// do so.
	reviews members.Reviews
	// timer calls handleTimer at wakeAt, which is zero while the timer isn't set.
	timer  *time.Timer
	wakeAt time.Time
	// ownEntry is the process's entry as it was found in the store, the zero value if it
	// was written by this process. withdrawn says that it is removed for good.
	ownEntry  Entry
	withdrawn bool
	// scratch is a reused buffer in which outgoing messages are built.
	scratch []byte

	// The functions below are set by the role and called with mu held.

	// onDeadline tells the role's state machine the time. It is called at the time
	// that the function deadline returns, and may be called before it.
	onDeadline func(now time.Time)
	// deadline returns when onDeadline is due, zero if no call is.
	deadline func() time.Time
	// onFlowMessage handles a message about flows.
	onFlowMessage func(now time.Time, from netip.AddrPort, datagram []byte)
	// onEntriesListed handles a list of all members' entries that was read from the store
	// and added to the view.
	onEntriesListed func(now time.Time)
	// onMemberChanged handles a member that was added or has a new record.
	onMemberChanged func(now time.Time, re members.Record)
	// onMemberRemoved handles a member that was removed.
	onMemberRemoved func(address netip.AddrPort)
	// onMemberHeard handles the arrival of a membership message.
	onMemberHeard func(now time.Time, from netip.AddrPort)
	// onRoutes handles routes that are put in force.
	onRoutes func(now time.Time, ro *catalog.Routes)
	// onEvacuations handles a set of evacuated domains that is put in force.
	onEvacuations func(now time.Time, set evacuation.Set)

	// entryMissing is signaled when the process's own entry may be missing from the
	// store.
	entryMissing chan struct{}
	// entriesDoubtful is signaled when the store may hold entries of processes that
	// are gone, or lack entries of members.
	entriesDoubtful chan struct{}
	// reviewsChanged is signaled when another balancer has reviewed the entries.
	reviewsChanged chan struct{}
	// servicesChanged is signaled when routes from the store were put in force.
	servicesChanged chan struct{}
}

// newNode opens the socket for messages between processes. The caller sets the
// functions of the role.
func newNode(st settings.Carrier, sr Store, rg *gauge.Registry, role members.Role) (*node, error) {
	now := time.Now()
	peerConn, err := listenUDP(st.Peers)
	if err != nil {
		return nil, err
	}
	no := &node{
		settings: st, store: sr, metrics: rg, peerConn: peerConn, started: now,
		former: newFormerServices(time.Duration(st.FlowLifetime)),
		view: members.NewView(members.Record{
			Revision: register.Revision{Incarnation: uint64(now.UnixMilli())},
			Address:  st.Peers, Role: role, Domain: st.Domain,
		}),
		entryMissing:    make(chan struct{}, 1),
		entriesDoubtful: make(chan struct{}, 1),
		reviewsChanged:  make(chan struct{}, 1),
		servicesChanged: make(chan struct{}, 1),
	}
	if st.EvacuateWithin > 0 {
		no.evacuations = evacuation.NewKeeper(st.Domain)
	}
	no.timer = time.AfterFunc(math.MaxInt64, no.handleTimer)
	return no, nil
}

// newFormerServices returns a FormerServices for flows of the lifetime, which may be opened
// until all processes apply the routes that end them.
func newFormerServices(lifetime time.Duration) *catalog.FormerServices {
	return catalog.NewFormerServices(lifetime + inForceWithin)
}

// listenUDP opens a UDP socket. An error is wrapped with the address.
func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	// The kernel silently limits the size; an error is ignored because a smaller
	// buffer works as well.
	_ = conn.SetReadBuffer(readBufferSize)
	return conn, nil
}

// readDatagrams calls handle with each datagram until the socket is closed. The
// datagram is valid until handle returns.
func readDatagrams(conn *net.UDPConn, handle func(from netip.AddrPort, datagram []byte)) error {
	return readWithWait(conn, func(from netip.AddrPort, datagram []byte, _ time.Duration) { handle(from, datagram) })
}

// readWithWait does the same and tells how long each datagram has waited in the socket,
// if requestArrivalTimes was called for it.
func readWithWait(conn *net.UDPConn, handle func(from netip.AddrPort, datagram []byte, wait time.Duration)) error {
	buffer, control := make([]byte, maxDatagram), make([]byte, controlBytes)
	for {
		n, controlled, _, from, err := conn.ReadMsgUDPAddrPort(buffer, control)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error for a datagram sent earlier, such as "port
			// unreachable"; the socket still works.
			klog.V(2).InfoS("Socket error", "err", err)
			continue
		}
		wait := time.Duration(0)
		if controlled > 0 {
			wait = waitOf(time.Now(), control[:controlled])
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n], wait)
	}
}

// serve runs an HTTP server until the context ends. An error is wrapped with the
// address.
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

// handleTimer handles the deadlines that have passed and sets the timer again.
func (no *node) handleTimer() {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	no.wakeAt = time.Time{}
	no.onDeadline(now)
	if at := no.view.Deadline(); !now.Before(at) {
		list := no.view.Tick(now)
		greeted := no.greetedMembers(list)
		no.performMemberActions(now, list)
		no.sendEvacuations(greeted)
	}
	no.tickEvacuations(now)
	no.schedule(now)
}

// schedule sets the timer to the earliest of the deadlines of the view, of the role and
// of the evacuations, unless it already fires by then. It is called with mu held.
func (no *node) schedule(now time.Time) {
	at := no.view.Deadline()
	if de := no.deadline(); !de.IsZero() && (at.IsZero() || de.Before(at)) {
		at = de
	}
	if de := no.evacuationsDeadline(); !de.IsZero() && (at.IsZero() || de.Before(at)) {
		at = de
	}
	if at.IsZero() || !no.wakeAt.IsZero() && !at.Before(no.wakeAt) {
		return
	}
	no.wakeAt = at
	no.timer.Reset(max(at.Sub(now), 0))
}

// handleMessage handles one datagram from another process.
func (no *node) handleMessage(from netip.AddrPort, datagram []byte) {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	defer no.schedule(now)
	var err error
	switch waybill.KindOf(datagram) {
	case waybill.KindMember:
		var msg members.Message
		if msg, err = members.Decode(datagram[1:]); err == nil {
			no.performMemberActions(now, no.view.Handle(now, from, msg))
			if gr := msg.Greeting; gr != nil && gr.Joins() && gr.Record.Address == from {
				no.sendEvacuations([]netip.AddrPort{from})
			}
			no.onMemberHeard(now, from)
		}
	case waybill.KindAskConfirmation:
		var version uint64
		if version, err = waybill.DecodeAskConfirmation(datagram); err == nil {
			no.performMemberActions(now, no.view.HandleAskConfirmation(from, version))
		}
	case waybill.KindConfirmation:
		var version uint64
		var ago time.Duration
		if version, ago, err = waybill.DecodeConfirmation(datagram); err == nil {
			no.performMemberActions(now, no.view.HandleConfirmation(from, version, now.Add(-ago)))
		}
	case waybill.KindEvacuations:
		var pa evacuation.Page
		if pa, err = waybill.DecodeEvacuations(datagram); err == nil {
			no.handleEvacuations(now, from, pa)
		}
	case waybill.KindEntriesReviewed:
		var clean bool
		var ago time.Duration
		if clean, ago, err = waybill.DecodeEntriesReviewed(datagram); err == nil {
			no.handleEntriesReviewed(now, from, clean, ago)
		}
	default:
		no.onFlowMessage(now, from, datagram)
	}
	if err != nil {
		no.refuseMessage(from, err)
	}
}

// refuseMessage counts and logs a message that can't be decoded.
func (no *node) refuseMessage(from netip.AddrPort, err error) {
	no.metrics.Count("MessagesRefused", 1)
	klog.V(1).InfoS("Message refused", "from", from, "err", err)
}

// performMemberActions performs the actions of the view. It is called with mu held.
func (no *node) performMemberActions(now time.Time, list []members.Action) {
	// The role's functions may use the view again, which reuses the list.
	var changed []members.Record
	var removed []netip.AddrPort
	sent := make(map[*members.Greeting][]byte)
	for _, ac := range list {
		switch ac.Kind {
		case members.KindSend:
			no.sendMessage(ac, sent)
		case members.KindChanged:
			changed = append(changed, ac.Record)
		case members.KindConfiguration:
			no.handleRoutes(now, ac)
		case members.KindRegister:
			signal(no.entryMissing)
		case members.KindAskConfirmation:
			no.metrics.Count("ConfirmationsAsked", 1)
			no.send(ac.To, waybill.AppendAskConfirmation(nil, ac.Version))
		case members.KindConfirmation:
			no.send(ac.To, waybill.AppendConfirmation(nil, ac.Version, now.Sub(ac.Since)))
		case members.KindRemoved:
			klog.InfoS("Member removed", "member", ac.To, "silent", now.Sub(ac.Since).Round(time.Millisecond))
			removed = append(removed, ac.To)
			signal(no.entriesDoubtful)
		}
	}
	for _, re := range changed {
		no.onMemberChanged(now, re)
	}
	for _, address := range removed {
		no.onMemberRemoved(address)
	}
}

// sendMessage sends the membership message of an action. A greeting that went to
// another member before is not encoded again.
func (no *node) sendMessage(ac members.Action, sent map[*members.Greeting][]byte) {
	datagram, ok := sent[ac.Message.Greeting]
	if !ok {
		data, err := ac.Message.Encode()
		if err != nil {
			klog.ErrorS(err, "Message not sent", "to", ac.To)
			return
		}
		datagram = append([]byte{byte(waybill.KindMember)}, data...)
	}
	if ac.Message.Greeting != nil {
		sent[ac.Message.Greeting] = datagram
	}
	no.send(ac.To, datagram)
}

// send sends a datagram to another process. A failure is only counted and logged:
// the network may lose any datagram, so the state machines don't rely on it.
func (no *node) send(to netip.AddrPort, datagram []byte) {
	if _, err := no.peerConn.WriteToUDPAddrPort(datagram, to); err != nil {
		no.metrics.Count("SendsFailed", 1)
		klog.V(1).InfoS("Datagram not sent", "to", to, "err", err)
	}
}

// handleRoutes decodes a configuration that another member sent and puts it in
// force. One that is refused is asked for again.
func (no *node) handleRoutes(now time.Time, ac members.Action) {
	ro, err := waybill.DecodeRoutes(ac.Data)
	if err == nil && ro.Version != ac.Version {
		err = errors.Wrapf(waybill.ErrMalformed, "configuration %d in pages of %d", ro.Version, ac.Version)
	}
	if err != nil {
		no.metrics.Count("ConfigurationsRefused", 1)
		klog.ErrorS(err, "Configuration refused", "version", ac.Version, "from", ac.To)
		return
	}
	no.view.Accept(ac.Version, ac.Data, ro.From != 0)
	no.setRoutes(now, ro, "member")
}

// setRoutes puts the routes in force, with the former services of their addresses. Older
// ones than the present ones only add former services. It is called with mu held.
func (no *node) setRoutes(now time.Time, ro *catalog.Routes, source string) {
	before := uint64(0)
	if no.routes != nil {
		before = no.routes.Version
	}
	no.routes = no.succeedRoutes(now, ro)
	no.onRoutes(now, no.routes)
	no.metrics.Set("ConfigurationVersion", int64(no.routes.Version))
	klog.InfoS("Configuration in force", "version", no.routes.Version, "before", before, "read", ro.Version,
		"addresses", len(no.routes.Addresses), "warmUps", len(no.routes.WarmUps), "source", source)
	if !no.routes.IsComplete(now) {
		klog.InfoS("Former services may be unknown; flows are searched at all services", "version", no.routes.Version,
			"coversFrom", no.routes.From, "before", before, "for", no.routes.CompleteAt.Sub(now).Round(time.Millisecond))
	}
}

// succeedRoutes returns the routes to be in force after the given ones were read. It is
// called with mu held.
func (no *node) succeedRoutes(now time.Time, ro *catalog.Routes) *catalog.Routes {
	switch {
	case no.routes == nil:
		return no.former.Succeed(now, no.recorded.record.Routes(), ro)
	case ro.Version > no.routes.Version:
		return no.former.Succeed(now, no.routes, ro)
	case ro.Version == no.routes.Version:
		// A member may know more former services of the same version, and the warm-up
		// limits, which a former build that read it from the store leaves out.
		return no.former.Succeed(now, ro, no.routes.WithWarmUpsOf(ro))
	default:
		return no.former.Succeed(now, ro, no.routes)
	}
}

// publish puts routes from the store in force, which are given oldest first, if they are
// newer or name more former services, and sends them to other members.
func (no *node) publish(list []*catalog.Routes) {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	newest := len(list) - 1
	if no.routes != nil && no.routes.Covers(now, list[newest]) {
		if list[newest].Version < no.routes.Version {
			klog.InfoS("Older configuration ignored", "version", list[newest].Version, "inForce", no.routes.Version)
		}
		return
	}
	for _, ro := range list[:newest] {
		klog.InfoS("Configuration read with a newer one", "version", ro.Version, "newer", list[newest].Version)
		no.routes = no.succeedRoutes(now, ro)
	}
	no.setRoutes(now, list[newest], "store")
	signal(no.servicesChanged)
	data, err := waybill.EncodeRoutes(no.routes)
	if err != nil {
		klog.ErrorS(err, "Configuration not sent to members", "version", no.routes.Version)
		return
	}
	no.performMemberActions(now, no.view.Publish(no.routes.Version, data, no.routes.From != 0))
	no.schedule(now)
}

// Reload applies the settings that may change while the process runs: Seeds and
// StopWithin. All others, such as the process's name and addresses, stay until it
// ends.
func (no *node) Reload(st settings.Carrier) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.settings.Seeds = st.Seeds
	no.settings.StopWithin = st.StopWithin
}

// signal wakes the receiver of a channel that holds at most one signal, without
// blocking.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
