package queueing

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// agents are the dispatch cores of all hosts.
type agents struct {
	*loop
	workload Workload
	nodes    []*node
	index    map[netip.AddrPort]int
	entries  map[dispatch.RequestID]entry
	lastID   dispatch.RequestID
	book     *book
	source   *source
}

// node is one agent.
type node struct {
	desk *dispatch.Dispatcher
	host netip.AddrPort
	wake time.Time
}

// entry is a request as one agent holds it.
type entry struct {
	call *call
	// home is the agent that awaits a delegated request, under its own number.
	home   int
	homeID dispatch.RequestID
	moved  bool
}

// newAgents returns agents that know each other.
func newAgents(lo *loop, wl Workload, bo *book, so *source) *agents {
	ag := &agents{
		loop: lo, workload: wl, book: bo, source: so,
		index:   make(map[netip.AddrPort]int),
		entries: make(map[dispatch.RequestID]entry),
	}
	var peers []dispatch.Peer
	for at := range wl.Hosts {
		addr := netip.AddrFrom4([4]byte{127, 1, byte(at >> 8), byte(at)})
		host := netip.AddrPortFrom(addr, 8443)
		ag.index[host] = at
		peers = append(peers, dispatch.Peer{Host: host, Incarnation: 1, TakesNewWork: true})
		ag.nodes = append(ag.nodes, &node{host: host, desk: dispatch.NewDispatcher(epoch, dispatch.Settings{
			Home:   ledger.Home{Host: host, Incarnation: 1},
			Slots:  wl.Slots,
			Limits: ledger.Limits{Entries: 64, Bytes: 1 << 16, Window: 1 << 10},
			Seed:   wl.Seed + uint64(at),
		})})
	}
	for at := range ag.nodes {
		others := append(append([]dispatch.Peer{}, peers[:at]...), peers[at+1:]...)
		ag.handle(at, dispatch.PeersChanged{Peers: others})
	}
	return ag
}

// arrive hands a request to the agent that its flow is hashed to.
func (ag *agents) arrive(ca *call) {
	ag.open(ca.host, entry{call: ca}, dispatch.OriginCaller)
}

// open hands a request to the agent.
func (ag *agents) open(at int, en entry, origin dispatch.Origin) {
	ag.lastID++
	ag.entries[ag.lastID] = en
	re := dispatch.Request{
		ID:         ag.lastID,
		Origin:     origin,
		Caller:     netip.AddrFrom4([4]byte{10, byte(en.call.host >> 8), byte(en.call.host), byte(en.call.caller)}),
		Class:      en.call.class,
		Deadline:   en.call.deadline,
		Repeatable: true,
	}
	if origin == dispatch.OriginDelegate {
		re.Peer = ag.nodes[en.home].host
	}
	ag.handle(at, dispatch.Arrived{Request: re})
}

// handle gives the event to the agent and carries its actions out.
func (ag *agents) handle(at int, ev dispatch.Event) {
	no := ag.nodes[at]
	for _, ac := range no.desk.Handle(ag.now, ev) {
		ag.carryOut(at, ac)
	}
	next := no.desk.NextWake()
	if next.IsZero() || next.Equal(no.wake) {
		return
	}
	no.wake = next
	ag.at(next, func() {
		if no.wake.Equal(next) {
			ag.handle(at, dispatch.TimerFired{})
		}
	})
}

// send delivers the event to the agent of the host after the delay.
func (ag *agents) send(host netip.AddrPort, ev dispatch.Event) {
	ag.book.messages++
	to := ag.index[host]
	ag.after(hopDelay, func() { ag.handle(to, ev) })
}

// carryOut does what the shell does for the action.
func (ag *agents) carryOut(at int, ac dispatch.Action) {
	host := ag.nodes[at].host
	switch ac := ac.(type) {
	case dispatch.Respond:
		ag.respond(at, ac)
	case dispatch.Execute:
		ag.execute(at, ac)
	case dispatch.Delegate:
		ag.book.messages++
		en := entry{call: ag.entries[ac.ID].call, home: at, homeID: ac.ID, moved: true}
		to := ag.index[ac.Peer]
		ag.after(hopDelay, func() { ag.open(to, en, dispatch.OriginDelegate) })
	case dispatch.Probe:
		ag.send(ac.Peer, dispatch.Probed{Peer: host, Class: ac.Class})
	case dispatch.Grant:
		ag.send(ac.Peer, dispatch.Granted{Peer: host, Load: ac.Load})
	case dispatch.Decline:
		ag.send(ac.Peer, dispatch.Declined{Peer: host})
	}
}

// execute runs a request at the backend server of the agent.
func (ag *agents) execute(at int, ac dispatch.Execute) {
	ca := ag.entries[ac.ID].call
	ag.book.run(ag.now, ca, at)
	ag.after(ag.workload.serviceAt(ag.now, ca), func() {
		ag.handle(at, dispatch.Executed{ID: ac.ID, Result: dispatch.ResultComplete})
	})
}

// respond ends a request at the agent.
func (ag *agents) respond(at int, re dispatch.Respond) {
	en := ag.entries[re.ID]
	delete(ag.entries, re.ID)
	if en.moved {
		ag.send(ag.nodes[en.home].host, dispatch.Delegated{
			ID: en.homeID, Peer: ag.nodes[at].host, Outcome: re.Outcome, Reason: re.Reason,
		})
		return
	}
	if re.Outcome == ledger.Answered {
		ag.book.answer(ag.now, en.call)
		return
	}
	if !ag.workload.Retries || en.call.tries >= callerRetries {
		ag.book.refuse(en.call)
		return
	}
	en.call.tries++
	delay := retryDelay << en.call.tries
	ag.after(delay/2+time.Duration(ag.source.random.Int64N(int64(delay))), func() { ag.arrive(en.call) })
}

// Run measures the policy under the workload.
func Run(wl Workload, po Policy) Report {
	lo := &loop{now: epoch}
	bo := newBook(wl)
	so := newSource(wl)
	var arrive func(*call)
	if po == PolicyAgents {
		arrive = newAgents(lo, wl, bo, so).arrive
	} else {
		arrive = newBaseline(lo, wl, po, bo).arrive
	}
	var next func()
	next = func() {
		ca := so.draw()
		lo.at(ca.arrival, func() {
			bo.arrive(ca)
			arrive(ca)
			next()
		})
	}
	next()
	lo.runUntil(epoch.Add(warmUp + wl.Span))
	return bo.report()
}
