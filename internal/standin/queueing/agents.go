package queueing

import (
	"net/netip"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// agents simulates the agents of all hosts. Each runs the production
// dispatch.Dispatcher; agents performs the dispatchers' actions in virtual time.
type agents struct {
	*eventLoop
	workload    Workload
	nodes       []*node
	indexByHost map[netip.AddrPort]int
	entries     map[dispatch.RequestID]entry
	lastID      dispatch.RequestID
	recorder    *recorder
	source      *source
}

// node is the agent of one host.
type node struct {
	dispatcher *dispatch.Dispatcher
	host       netip.AddrPort
	// nextWake is the time of the latest scheduled timer event; an event at any
	// other time is ignored.
	nextWake time.Time
}

// entry is a request as known to one agent.
type entry struct {
	request *callerRequest
	// delegator is the position of the agent that delegated the request, and
	// delegatorID the number that this agent gave it. Both hold only if delegated.
	delegator   int
	delegatorID dispatch.RequestID
	delegated   bool
}

// newAgents returns one agent per host, each with all others as its peers.
func newAgents(el *eventLoop, wl Workload, rc *recorder, so *source) *agents {
	ag := &agents{
		eventLoop: el, workload: wl, recorder: rc, source: so,
		indexByHost: make(map[netip.AddrPort]int),
		entries:     make(map[dispatch.RequestID]entry),
	}
	var peers []dispatch.Peer
	for at := range wl.Hosts {
		addr := netip.AddrFrom4([4]byte{127, 1, byte(at >> 8), byte(at)})
		host := netip.AddrPortFrom(addr, 8443)
		ag.indexByHost[host] = at
		peers = append(peers, dispatch.Peer{Host: host, Incarnation: 1, TakesNewWork: true})
		ag.nodes = append(ag.nodes, &node{host: host, dispatcher: dispatch.NewDispatcher(epoch, dispatch.Settings{
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

// arrive submits a request to the agent that its flow is hashed to.
func (ag *agents) arrive(ca *callerRequest) {
	ag.submit(ca.host, entry{request: ca}, dispatch.OriginCaller)
}

// submit delivers a request to the agent at the position.
func (ag *agents) submit(at int, en entry, origin dispatch.Origin) {
	ag.lastID++
	ag.entries[ag.lastID] = en
	re := dispatch.Request{
		ID:         ag.lastID,
		Origin:     origin,
		Caller:     netip.AddrFrom4([4]byte{10, byte(en.request.host >> 8), byte(en.request.host), byte(en.request.caller)}),
		Class:      en.request.class,
		Deadline:   en.request.deadline,
		Repeatable: true,
	}
	if origin == dispatch.OriginDelegate {
		re.Peer = ag.nodes[en.delegator].host
	}
	ag.handle(at, dispatch.Arrived{Request: re})
}

// handle passes the event to the agent's dispatcher, performs the resulting
// actions and schedules the dispatcher's next timer event.
func (ag *agents) handle(at int, ev dispatch.Event) {
	no := ag.nodes[at]
	for _, ac := range no.dispatcher.Handle(ag.now, ev) {
		ag.perform(at, ac)
	}
	next := no.dispatcher.NextWake()
	if next.IsZero() || next.Equal(no.nextWake) {
		return
	}
	no.nextWake = next
	ag.schedule(next, func() {
		if no.nextWake.Equal(next) {
			ag.handle(at, dispatch.TimerFired{})
		}
	})
}

// send delivers the event to the agent of the host after hopDelay and counts one
// message.
func (ag *agents) send(host netip.AddrPort, ev dispatch.Event) {
	ag.recorder.messages++
	to := ag.indexByHost[host]
	ag.scheduleAfter(hopDelay, func() { ag.handle(to, ev) })
}

// perform carries out an action of the agent's dispatcher, as package
// internal/transport/desk does in a running agent.
func (ag *agents) perform(at int, ac dispatch.Action) {
	host := ag.nodes[at].host
	switch ac := ac.(type) {
	case dispatch.Respond:
		ag.respond(at, ac)
	case dispatch.Execute:
		ag.execute(at, ac)
	case dispatch.Delegate:
		ag.recorder.messages++
		en := entry{request: ag.entries[ac.ID].request, delegator: at, delegatorID: ac.ID, delegated: true}
		to := ag.indexByHost[ac.Peer]
		ag.scheduleAfter(hopDelay, func() { ag.submit(to, en, dispatch.OriginDelegate) })
	case dispatch.Probe:
		ag.send(ac.Peer, dispatch.Probed{Peer: host, Class: ac.Class})
	case dispatch.Grant:
		ag.send(ac.Peer, dispatch.Granted{Peer: host, Load: ac.Load})
	case dispatch.Decline:
		ag.send(ac.Peer, dispatch.Declined{Peer: host})
	}
}

// execute simulates the request's execution by the agent's backend server.
func (ag *agents) execute(at int, ac dispatch.Execute) {
	ca := ag.entries[ac.ID].request
	ag.recorder.recordExecution(ag.now, ca, at)
	ag.scheduleAfter(ag.workload.serviceTimeAt(ag.now, ca), func() {
		ag.handle(at, dispatch.Executed{ID: ac.ID, Result: dispatch.ResultComplete})
	})
}

// respond returns the outcome of a request to the agent that delegated it or to
// the caller. With Workload.Retries the caller repeats a request that was not
// answered, at most maxRetries times, each time after a random delay whose mean
// doubles.
func (ag *agents) respond(at int, re dispatch.Respond) {
	en := ag.entries[re.ID]
	delete(ag.entries, re.ID)
	if en.delegated {
		ag.send(ag.nodes[en.delegator].host, dispatch.Delegated{
			ID: en.delegatorID, Peer: ag.nodes[at].host, Outcome: re.Outcome, Reason: re.Reason,
		})
		return
	}
	if re.Outcome == ledger.Answered {
		ag.recorder.recordAnswer(ag.now, en.request)
		return
	}
	if !ag.workload.Retries || en.request.retries >= maxRetries {
		ag.recorder.recordRefusal(en.request)
		return
	}
	en.request.retries++
	delay := retryDelay << en.request.retries
	ag.scheduleAfter(delay/2+time.Duration(ag.source.random.Int64N(int64(delay))), func() { ag.arrive(en.request) })
}

// Run simulates the workload under the policy and returns the results.
func Run(wl Workload, po Policy) Report {
	el := &eventLoop{now: epoch}
	rc := newRecorder(wl)
	so := newSource(wl)
	var arrive func(*callerRequest)
	if po == PolicyAgents {
		arrive = newAgents(el, wl, rc, so).arrive
	} else {
		arrive = newBaseline(el, wl, po, rc).arrive
	}
	var next func()
	next = func() {
		ca := so.draw()
		el.schedule(ca.arrival, func() {
			rc.recordArrival(ca)
			arrive(ca)
			next()
		})
	}
	next()
	el.runUntil(epoch.Add(warmUp + wl.MeasuredTime))
	return rc.report()
}
