package dispatch

import (
	"flag"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// start is the time at which each test begins.
var start = time.Unix(1_700_000_000, 0)

// requestTimeout is the time from the arrival of a request to its deadline.
const requestTimeout = 2 * time.Second

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "150")
	_ = flag.Set("rapid.checks", "600")
	os.Exit(m.Run())
}

// callerRequest is a request of a caller, with what the test knows of it: the
// number of its runs on backend servers, and the outcomes that the caller
// received.
type callerRequest struct {
	number     int
	repeatable bool
	ticket     ledger.Ticket
	runs       int
	notRun     bool
	answered   bool
}

// sender identifies the request at the agent that sent it, to which the response
// goes.
type sender struct {
	agent       int
	incarnation uint64
	id          RequestID
	relay       bool
}

// task is a request that an agent has not responded to.
type task struct {
	request  *callerRequest
	from     sender
	fromPeer bool
}

// message is a message between two agents. Any message may be delayed, reordered
// or lost.
type message struct {
	to          int
	incarnation uint64
	// event is delivered if request is nil; otherwise request arrives as a new
	// one.
	event   Event
	request *callerRequest
	origin  Origin
	class   Class
	from    sender
	// failure is the event that the sender gets if the message is lost; nil if it
	// gets none.
	failure Event
}

// execution is a request at a backend server.
type execution struct {
	agent       int
	incarnation uint64
	id          RequestID
	request     *callerRequest
	started     bool
}

// agent is a simulated agent, with the state that its driver keeps.
type agent struct {
	dispatcher  *Dispatcher
	host        netip.AddrPort
	tasks       map[RequestID]task
	lastID      RequestID
	stopped     bool
	incarnation uint64
}

// cluster simulates a few agents, their backend servers and callers.
type cluster struct {
	rt         *rapid.T
	now        time.Time
	agents     []*agent
	messages   []message
	executions []execution
	requests   []*callerRequest
}

// newCluster starts the agents, tells them of each other and waits for the end
// of their slow start.
func newCluster(rt *rapid.T, agents int) *cluster {
	cl := &cluster{rt: rt, now: start}
	for at := range agents {
		host := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(at + 1)}), 8443)
		cl.agents = append(cl.agents, &agent{host: host})
	}
	for at := range agents {
		cl.restart(at)
	}
	cl.updatePeers()
	cl.now = cl.now.Add(slowStartTime)
	return cl
}

// restart starts the next incarnation of the agent. The state of the earlier
// one is lost.
func (cl *cluster) restart(at int) {
	ag := cl.agents[at]
	ag.incarnation++
	ag.stopped = false
	ag.tasks = map[RequestID]task{}
	ag.dispatcher = NewDispatcher(cl.now, Settings{
		Home:    ledger.Home{Host: ag.host, Incarnation: ag.incarnation},
		Service: 5,
		Slots:   2,
		Limits:  ledger.Limits{Entries: 64, Bytes: 1 << 16, Window: 1 << 10},
		Seed:    uint64(at),
	})
}

// updatePeers tells each agent of all others that have not stopped.
func (cl *cluster) updatePeers() {
	for at := range cl.agents {
		var peers []Peer
		for other, pe := range cl.agents {
			if other != at && !pe.stopped {
				peers = append(peers, Peer{
					Host: pe.host, Incarnation: pe.incarnation, TakesNewWork: !pe.dispatcher.drain.stopping(),
				})
			}
		}
		if !cl.agents[at].stopped {
			cl.handle(at, PeersChanged{Peers: peers})
		}
	}
}

// find returns the index of the agent with the address.
func (cl *cluster) find(host netip.AddrPort) int {
	return slices.IndexFunc(cl.agents, func(ag *agent) bool { return ag.host == host })
}

// send queues a message to the current incarnation of the agent.
func (cl *cluster) send(host netip.AddrPort, ms message) {
	ms.to = cl.find(host)
	ms.incarnation = cl.agents[ms.to].incarnation
	cl.messages = append(cl.messages, ms)
}

// arrive lets a request arrive at the agent.
func (cl *cluster) arrive(at int, cr *callerRequest, origin Origin, class Class, from sender) {
	ag := cl.agents[at]
	ag.lastID++
	ag.tasks[ag.lastID] = task{request: cr, from: from, fromPeer: origin != OriginCaller}
	re := Request{
		ID:         ag.lastID,
		Origin:     origin,
		Caller:     netip.AddrFrom4([4]byte{10, 0, 0, byte(cr.number % 3)}),
		Class:      class,
		Deadline:   cl.now.Add(requestTimeout),
		Repeatable: cr.repeatable,
		Ticket:     cr.ticket,
		Digest:     ledger.Digest{byte(cr.number)},
	}
	if re.Origin != OriginCaller {
		re.Peer = cl.agents[from.agent].host
	}
	cl.handle(at, Arrived{Request: re})
}

// handle gives the event to the agent's dispatcher and carries the actions out.
func (cl *cluster) handle(at int, ev Event) {
	ag := cl.agents[at]
	for _, ac := range slices.Clone(ag.dispatcher.Handle(cl.now, ev)) {
		cl.carryOut(at, ag, ac)
	}
}

// carryOut does what the driver does for the action.
func (cl *cluster) carryOut(at int, ag *agent, ac Action) {
	me := sender{agent: at, incarnation: ag.incarnation}
	switch ac := ac.(type) {
	case Respond:
		cl.respond(ag, ac)
	case Execute:
		cl.executions = append(cl.executions, execution{
			agent: at, incarnation: ag.incarnation, id: ac.ID, request: ag.tasks[ac.ID].request,
		})
	case Relay:
		me.id, me.relay = ac.ID, true
		cl.send(ac.Peer, message{
			request: ag.tasks[ac.ID].request, origin: OriginRelay, from: me, failure: RelayFailed{ID: ac.ID},
		})
	case Delegate:
		me.id = ac.ID
		cl.send(ac.Peer, message{
			request: ag.tasks[ac.ID].request, origin: OriginDelegate, from: me,
			failure: DelegateFailed{ID: ac.ID, Peer: ac.Peer, Sent: true},
		})
	case Probe:
		cl.send(ac.Peer, message{event: Probed{Peer: ag.host, Class: ac.Class}, from: me})
	case Grant:
		cl.send(ac.Peer, message{event: Granted{Peer: ag.host, Load: ac.Load}, from: me})
	case Decline:
		cl.send(ac.Peer, message{event: Declined{Peer: ag.host}, from: me})
	case HandOver:
		for _, sn := range ac.Snapshots {
			cl.send(ac.Peer, message{event: SnapshotReceived{Snapshot: sn}, from: me})
		}
		// If this last message arrives, deliver reports that the peer adopted the
		// snapshots.
		cl.send(ac.Peer, message{
			event: TimerFired{}, from: me, failure: HandedOver{Peer: ac.Peer},
		})
	case Stopped:
		ag.stopped = true
		cl.updatePeers()
	}
}

// respond passes the outcome to the caller or sends it to the peer.
func (cl *cluster) respond(ag *agent, re Respond) {
	ta, ok := ag.tasks[re.ID]
	if !ok {
		cl.rt.Fatalf("second response to request %d: %+v", re.ID, re)
	}
	delete(ag.tasks, re.ID)
	if ta.fromPeer {
		var ev Event = Delegated{ID: ta.from.id, Peer: ag.host, Outcome: re.Outcome, Reason: re.Reason, Answer: re.Answer}
		failure := Event(DelegateFailed{ID: ta.from.id, Peer: ag.host, Sent: true})
		if ta.from.relay {
			ev = Relayed{ID: ta.from.id, Outcome: re.Outcome, Reason: re.Reason, Held: re.Held, Answer: re.Answer}
			failure = RelayFailed{ID: ta.from.id}
		}
		cl.messages = append(cl.messages, message{
			to: ta.from.agent, incarnation: ta.from.incarnation, event: ev,
			failure: failure, from: sender{agent: ta.from.agent, incarnation: ta.from.incarnation},
		})
		return
	}
	cl.recordOutcome(ta.request, re)
}

// recordOutcome records the outcome that a caller received and checks it.
func (cl *cluster) recordOutcome(cr *callerRequest, re Respond) {
	switch re.Outcome {
	case ledger.NotRun:
		if re.Reason == ReasonTicketRequired {
			cr.ticket = re.NextTicket
			return
		}
		cr.notRun = true
	case ledger.Answered:
		cr.answered = true
		if re.Answer.Status != cr.number {
			cl.rt.Fatalf("request %d got the answer of %d", cr.number, re.Answer.Status)
		}
	}
	cl.checkOutcome(cr)
}

// checkOutcome compares the outcomes that the caller received with the runs on
// the backend servers.
func (cl *cluster) checkOutcome(cr *callerRequest) {
	if !cr.repeatable && cr.runs > 1 {
		cl.rt.Fatalf("request %d ran %d times", cr.number, cr.runs)
	}
	if cr.notRun && cr.runs > 0 {
		cl.rt.Fatalf("request %d is NotRun but ran", cr.number)
	}
	if cr.answered && cr.runs == 0 {
		cl.rt.Fatalf("request %d is Answered but did not run", cr.number)
	}
}

// deliver hands a message to its receiver. If it is lost, or the receiver has
// stopped or restarted, the sender gets its failure event.
func (cl *cluster) deliver(ms message, lost bool) {
	ag := cl.agents[ms.to]
	gone := ag.stopped || ag.incarnation != ms.incarnation
	switch {
	case gone || lost:
		cl.reportLost(ms)
	case ms.request != nil:
		cl.arrive(ms.to, ms.request, ms.origin, ms.class, ms.from)
	default:
		cl.handle(ms.to, ms.event)
		if ho, ok := ms.failure.(HandedOver); ok {
			ho.Adopted = true
			cl.messages = append(cl.messages, message{to: ms.from.agent, incarnation: ms.from.incarnation, event: ho})
		}
	}
}

// loseResponse loses the first response with an answer to a delegated or
// relayed request.
func (cl *cluster) loseResponse() {
	for at, ms := range cl.messages {
		di, delegated := ms.event.(Delegated)
		re, relayed := ms.event.(Relayed)
		if delegated && di.Outcome == ledger.Answered || relayed && re.Outcome == ledger.Answered {
			cl.messages = append(cl.messages[:at:at], cl.messages[at+1:]...)
			cl.deliver(ms, true)
			return
		}
	}
}

// reportLate tells the sender that the message was lost, although it is only
// delayed and is delivered later.
func (cl *cluster) reportLate(at int) {
	ms := cl.messages[at]
	cl.messages[at].failure = nil
	cl.reportLost(ms)
}

// reportLost gives the sender the failure event of the message, if there is one
// and the sender still runs.
func (cl *cluster) reportLost(ms message) {
	ag := cl.agents[ms.from.agent]
	if ms.failure != nil && ag.incarnation == ms.from.incarnation && !ag.stopped {
		cl.handle(ms.from.agent, ms.failure)
	}
}

// stepExecution takes an execution one step further: it starts the run, or ends
// the execution. An execution that has run ends with ResultComplete or
// ResultFailed only.
func (cl *cluster) stepExecution(at int, result Result) {
	ex := cl.executions[at]
	if !ex.started && (result == ResultComplete || result == ResultFailed) {
		cl.executions[at].started = true
		ex.request.runs++
		cl.checkOutcome(ex.request)
		return
	}
	if ex.started && result != ResultComplete {
		result = ResultFailed
	}
	cl.executions = slices.Delete(cl.executions, at, at+1)
	ag := cl.agents[ex.agent]
	if ag.incarnation == ex.incarnation && !ag.stopped {
		cl.handle(ex.agent, Executed{ID: ex.id, Result: result, Answer: ledger.Answer{Status: ex.request.number}})
	}
}

// fireTimers wakes every agent whose timer is due.
func (cl *cluster) fireTimers() {
	for at, ag := range cl.agents {
		next := ag.dispatcher.NextWake()
		if !ag.stopped && !next.IsZero() && !cl.now.Before(next) {
			cl.handle(at, TimerFired{})
		}
	}
}
