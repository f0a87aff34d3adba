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

// patience is the time from a request to its deadline.
const patience = 2 * time.Second

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "150")
	_ = flag.Set("rapid.checks", "600")
	os.Exit(m.Run())
}

// order is a caller's request with the books that are kept of it.
type order struct {
	number     int
	repeatable bool
	ticket     ledger.Ticket
	runs       int
	notRun     bool
	answered   bool
}

// sender is where the response to a request goes.
type sender struct {
	agent       int
	incarnation uint64
	id          RequestID
	relay       bool
}

// task is a request as the shell of one agent keeps it.
type task struct {
	order *order
	from  sender
	peer  bool
}

// parcel is a message between two agents. Any may be late, crossed or lost.
type parcel struct {
	to          int
	incarnation uint64
	// event is delivered, or request is opened as a new task.
	event   Event
	request *order
	origin  Origin
	class   Class
	from    sender
	// failure is what the sender sees if the parcel is lost.
	failure Event
}

// execution is a request at a backend server.
type execution struct {
	agent       int
	incarnation uint64
	id          RequestID
	order       *order
	begun       bool
}

// process is one agent with its shell's tables.
type process struct {
	desk    *Dispatcher
	host    netip.AddrPort
	tasks   map[RequestID]task
	lastID  RequestID
	stopped bool
	inc     uint64
}

// world is a few agents, their backend servers and callers.
type world struct {
	rt         *rapid.T
	now        time.Time
	agents     []*process
	parcels    []parcel
	executions []execution
	orders     []*order
}

// newWorld starts the agents and lets them know each other.
func newWorld(rt *rapid.T, agents int) *world {
	wo := &world{rt: rt, now: start}
	for at := range agents {
		host := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(at + 1)}), 8443)
		wo.agents = append(wo.agents, &process{host: host})
	}
	for at := range agents {
		wo.boot(at)
	}
	wo.introduce()
	wo.now = wo.now.Add(rampTime)
	return wo
}

// boot starts the next incarnation of the agent.
func (wo *world) boot(at int) {
	pr := wo.agents[at]
	pr.inc++
	pr.stopped = false
	pr.tasks = map[RequestID]task{}
	pr.desk = NewDispatcher(wo.now, Settings{
		Home:    ledger.Home{Host: pr.host, Incarnation: pr.inc},
		Service: 5,
		Slots:   2,
		Limits:  ledger.Limits{Entries: 64, Bytes: 1 << 16, Window: 1 << 10},
		Seed:    uint64(at),
	})
}

// introduce tells each agent of all others.
func (wo *world) introduce() {
	for at := range wo.agents {
		var peers []Peer
		for other, pe := range wo.agents {
			if other != at && !pe.stopped {
				peers = append(peers, Peer{
					Host: pe.host, Incarnation: pe.inc, TakesNewWork: !pe.desk.drain.stopping(),
				})
			}
		}
		if !wo.agents[at].stopped {
			wo.handle(at, PeersChanged{Peers: peers})
		}
	}
}

// find returns the index of the agent with the host.
func (wo *world) find(host netip.AddrPort) int {
	return slices.IndexFunc(wo.agents, func(pr *process) bool { return pr.host == host })
}

// send puts a parcel on its way to the current incarnation of the host.
func (wo *world) send(host netip.AddrPort, pa parcel) {
	pa.to = wo.find(host)
	pa.incarnation = wo.agents[pa.to].inc
	wo.parcels = append(wo.parcels, pa)
}

// open hands a request to the agent.
func (wo *world) open(at int, or *order, origin Origin, class Class, from sender) {
	pr := wo.agents[at]
	pr.lastID++
	pr.tasks[pr.lastID] = task{order: or, from: from, peer: origin != OriginCaller}
	re := Request{
		ID:         pr.lastID,
		Origin:     origin,
		Caller:     netip.AddrFrom4([4]byte{10, 0, 0, byte(or.number % 3)}),
		Class:      class,
		Deadline:   wo.now.Add(patience),
		Repeatable: or.repeatable,
		Ticket:     or.ticket,
		Digest:     ledger.Digest{byte(or.number)},
	}
	if re.Origin != OriginCaller {
		re.Peer = wo.agents[from.agent].host
	}
	wo.handle(at, Arrived{Request: re})
}

// handle gives the event to the agent's core and carries the actions out.
func (wo *world) handle(at int, ev Event) {
	pr := wo.agents[at]
	for _, ac := range slices.Clone(pr.desk.Handle(wo.now, ev)) {
		wo.carryOut(at, pr, ac)
	}
}

// carryOut does what the shell does for the action.
func (wo *world) carryOut(at int, pr *process, ac Action) {
	me := sender{agent: at, incarnation: pr.inc}
	switch ac := ac.(type) {
	case Respond:
		wo.respond(pr, ac)
	case Execute:
		wo.executions = append(wo.executions, execution{
			agent: at, incarnation: pr.inc, id: ac.ID, order: pr.tasks[ac.ID].order,
		})
	case Relay:
		me.id, me.relay = ac.ID, true
		wo.send(ac.Peer, parcel{
			request: pr.tasks[ac.ID].order, origin: OriginRelay, from: me, failure: RelayFailed{ID: ac.ID},
		})
	case Delegate:
		me.id = ac.ID
		wo.send(ac.Peer, parcel{
			request: pr.tasks[ac.ID].order, origin: OriginDelegate, from: me,
			failure: DelegateFailed{ID: ac.ID, Peer: ac.Peer, Sent: true},
		})
	case Probe:
		wo.send(ac.Peer, parcel{event: Probed{Peer: pr.host, Class: ac.Class}, from: me})
	case Grant:
		wo.send(ac.Peer, parcel{event: Granted{Peer: pr.host, Load: ac.Load}, from: me})
	case Decline:
		wo.send(ac.Peer, parcel{event: Declined{Peer: pr.host}, from: me})
	case HandOver:
		for _, sn := range ac.Snapshots {
			wo.send(ac.Peer, parcel{event: SnapshotReceived{Snapshot: sn}, from: me})
		}
		wo.send(ac.Peer, parcel{
			event: TimerFired{}, from: me, failure: HandedOver{Peer: ac.Peer},
		})
	case Stopped:
		pr.stopped = true
		wo.introduce()
	}
}

// respond enters the outcome into the caller's book or sends it to the peer.
func (wo *world) respond(pr *process, re Respond) {
	ta, ok := pr.tasks[re.ID]
	if !ok {
		wo.rt.Fatalf("second response to request %d: %+v", re.ID, re)
	}
	delete(pr.tasks, re.ID)
	if ta.peer {
		var ev Event = Delegated{ID: ta.from.id, Peer: pr.host, Outcome: re.Outcome, Reason: re.Reason, Answer: re.Answer}
		failure := Event(DelegateFailed{ID: ta.from.id, Peer: pr.host, Sent: true})
		if ta.from.relay {
			ev = Relayed{ID: ta.from.id, Outcome: re.Outcome, Reason: re.Reason, Held: re.Held, Answer: re.Answer}
			failure = RelayFailed{ID: ta.from.id}
		}
		wo.parcels = append(wo.parcels, parcel{
			to: ta.from.agent, incarnation: ta.from.incarnation, event: ev,
			failure: failure, from: sender{agent: ta.from.agent, incarnation: ta.from.incarnation},
		})
		return
	}
	wo.book(ta.order, re)
}

// book enters the outcome that a caller received.
func (wo *world) book(or *order, re Respond) {
	switch re.Outcome {
	case ledger.NotRun:
		if re.Reason == ReasonTicketRequired {
			or.ticket = re.NextTicket
			return
		}
		or.notRun = true
	case ledger.Answered:
		or.answered = true
		if re.Answer.Status != or.number {
			wo.rt.Fatalf("order %d got the answer of %d", or.number, re.Answer.Status)
		}
	}
	wo.audit(or)
}

// audit compares the books of the callers and the servers about an order.
func (wo *world) audit(or *order) {
	if !or.repeatable && or.runs > 1 {
		wo.rt.Fatalf("order %d ran %d times", or.number, or.runs)
	}
	if or.notRun && or.runs > 0 {
		wo.rt.Fatalf("order %d is NotRun but ran", or.number)
	}
	if or.answered && or.runs == 0 {
		wo.rt.Fatalf("order %d is Answered but did not run", or.number)
	}
}

// deliver hands a parcel to its receiver; lost tells the sender of its loss.
func (wo *world) deliver(pa parcel, lost bool) {
	pr := wo.agents[pa.to]
	gone := pr.stopped || pr.inc != pa.incarnation
	switch {
	case gone || lost:
		wo.fail(pa)
	case pa.request != nil:
		wo.open(pa.to, pa.request, pa.origin, pa.class, pa.from)
	default:
		wo.handle(pa.to, pa.event)
		if ho, ok := pa.failure.(HandedOver); ok {
			ho.Adopted = true
			wo.parcels = append(wo.parcels, parcel{to: pa.from.agent, incarnation: pa.from.incarnation, event: ho})
		}
	}
}

// loseAnswer loses the first response to a delegated or relayed request.
func (wo *world) loseAnswer() {
	for at, pa := range wo.parcels {
		de, delegated := pa.event.(Delegated)
		re, relayed := pa.event.(Relayed)
		if delegated && de.Outcome == ledger.Answered || relayed && re.Outcome == ledger.Answered {
			wo.parcels = append(wo.parcels[:at:at], wo.parcels[at+1:]...)
			wo.deliver(pa, true)
			return
		}
	}
}

// timeOut tells the sender of a parcel that it was lost, while it is only late.
func (wo *world) timeOut(at int) {
	pa := wo.parcels[at]
	wo.parcels[at].failure = nil
	wo.fail(pa)
}

// fail tells the sender of a parcel that it brought no response.
func (wo *world) fail(pa parcel) {
	pr := wo.agents[pa.from.agent]
	if pa.failure != nil && pr.inc == pa.from.incarnation && !pr.stopped {
		wo.handle(pa.from.agent, pa.failure)
	}
}

// serve takes an execution one step further, to the result that is drawn.
func (wo *world) serve(at int, result Result) {
	ex := wo.executions[at]
	if !ex.begun && (result == ResultComplete || result == ResultFailed) {
		wo.executions[at].begun = true
		ex.order.runs++
		wo.audit(ex.order)
		return
	}
	if ex.begun && result != ResultComplete {
		result = ResultFailed
	}
	wo.executions = slices.Delete(wo.executions, at, at+1)
	pr := wo.agents[ex.agent]
	if pr.inc == ex.incarnation && !pr.stopped {
		wo.handle(ex.agent, Executed{ID: ex.id, Result: result, Answer: ledger.Answer{Status: ex.order.number}})
	}
}

// wake gives the time to every agent that waits for it.
func (wo *world) wake() {
	for at, pr := range wo.agents {
		next := pr.desk.NextWake()
		if !pr.stopped && !next.IsZero() && !wo.now.Before(next) {
			wo.handle(at, TimerFired{})
		}
	}
}
