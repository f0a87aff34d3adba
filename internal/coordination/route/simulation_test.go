package route

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

func TestMain(m *testing.M) {
	// Flags on the command line override these values.
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.checks", "500")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

const testService register.ServiceID = 7

var (
	testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	testKey   = DeriveKey([]byte("test"))
)

func hostAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func callerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, byte(i >> 16), byte(i >> 8), byte(i)}), uint16(40000+i%1000))
}

func readyHost(i int) register.Host {
	return register.Host{
		Revision: register.Revision{Incarnation: 1, Sequence: 1},
		Address:  hostAddress(i), Service: testService,
		State: register.StateReady, Weight: register.FullWeight,
	}
}

func readyHosts(count int) []register.Host {
	hosts := make([]register.Host, count)
	for i := range hosts {
		hosts[i] = readyHost(i)
	}
	return hosts
}

// event is a function that runs at a virtual time.
type event struct {
	at  time.Time
	run func()
}

// events is a heap.Interface with the earliest event first.
type events []event

func (ev events) Len() int           { return len(ev) }
func (ev events) Less(i, j int) bool { return ev[i].at.Before(ev[j].at) }
func (ev events) Swap(i, j int)      { ev[i], ev[j] = ev[j], ev[i] }
func (ev *events) Push(x any)        { *ev = append(*ev, x.(event)) }
func (ev *events) Pop() any {
	last := (*ev)[len(*ev)-1]
	*ev = (*ev)[:len(*ev)-1]
	return last
}

// testView is one balancer's view of the hosts, from which it selects the chain of
// a packet.
type testView interface {
	next(now time.Time, ho register.Host)
	chain(now time.Time, caller netip.AddrPort) Chain
}

type tableView struct{ *Table }

func (vi *tableView) next(now time.Time, ho register.Host) {
	vi.Table = vi.Next(now, []register.Host{ho})
}

func (vi *tableView) chain(now time.Time, caller netip.AddrPort) Chain {
	if deadline := vi.Deadline(); !deadline.IsZero() && !deadline.After(now) {
		vi.Table = vi.Next(now, nil)
	}
	return vi.Candidates(testService, caller)
}

// testAgent is one host of the simulation with its agent.
type testAgent struct {
	record register.Host
	table  *FlowTable
	dead   bool
}

// testFlow is a flow of plain datagrams, as its caller sees it.
type testFlow struct {
	caller netip.AddrPort
	holder *testAgent
	// seen is when a host last received a packet of the flow.
	seen  time.Time
	ended bool
}

// simulation runs balancers and agents in virtual time. Their views differ, as
// records reach them at different times; packets are lost, duplicated and
// reordered.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	queue     events
	views     []testView
	agents    map[netip.AddrPort]*testAgent
	ordered   []*testAgent
	flows     []*testFlow
	skew      time.Duration
	lossShare float64
	// broken counts flows that reached a second host, the others count packets.
	broken, misrouted, dropped, openedWhileDraining, hopLimit, delivered int
}

func newSimulation(seed uint64, hosts, balancers int, newView func([]register.Host) testView) *simulation {
	si := &simulation{now: testStart, random: rand.New(rand.NewPCG(seed, 1)), agents: make(map[netip.AddrPort]*testAgent), skew: 5 * time.Second}
	records := readyHosts(hosts)
	for _, ho := range records {
		si.addAgent(ho)
	}
	for range balancers {
		si.views = append(si.views, newView(records))
	}
	return si
}

func newTableView(hosts []register.Host) testView {
	return &tableView{NewTable(testKey, testStart.Add(-2*HolderWindow), hosts).Next(testStart.Add(-HolderWindow), nil)}
}

func (si *simulation) addAgent(ho register.Host) *testAgent {
	ag := &testAgent{record: ho, table: NewFlowTable(ho, testKey, testStart, 1<<16)}
	si.agents[ho.Address] = ag
	si.ordered = append(si.ordered, ag)
	for _, other := range si.ordered {
		ag.table.UpdatePeer(other.record)
	}
	return ag
}

func (si *simulation) after(delay time.Duration, run func()) {
	heap.Push(&si.queue, event{si.now.Add(delay), run})
}

func (si *simulation) runUntil(end time.Time) {
	for len(si.queue) > 0 && !si.queue[0].at.After(end) {
		ev := heap.Pop(&si.queue).(event)
		si.now = ev.at
		ev.run()
	}
	si.now = end
}

// announce sends a host's record to every instance, each of which receives it
// after a random delay of at most skew.
func (si *simulation) announce(ho register.Host) {
	for _, vi := range si.views {
		si.after(si.delay(si.skew), func() { vi.next(si.now, ho) })
	}
	for _, ag := range si.ordered {
		si.after(si.delay(si.skew), func() { ag.table.UpdatePeer(ho) })
	}
}

func (si *simulation) delay(limit time.Duration) time.Duration {
	return time.Duration(si.random.Int64N(int64(limit) + 1))
}

func (si *simulation) setState(ag *testAgent, st register.State, weight uint16) {
	ag.record.State = st
	ag.record.Weight = weight
	ag.record.Sequence++
	ag.table.UpdateSelf(ag.record)
	si.announce(ag.record)
}

// join adds a host, or restarts it with a new incarnation.
func (si *simulation) join(i int, st register.State, weight uint16) *testAgent {
	ho := readyHost(i)
	if old, ok := si.agents[ho.Address]; ok {
		old.dead = true
		ho.Incarnation = old.record.Incarnation + 1
	}
	ho.State, ho.Weight = st, weight
	ag := si.addAgent(ho)
	si.announce(ho)
	return ag
}

// crash stops a host and ends its flows. Three seconds later the host is announced
// as Gone, unless it has been restarted.
func (si *simulation) crash(ag *testAgent) {
	ag.dead = true
	for _, fw := range si.flows {
		if fw.holder == ag {
			fw.ended = true
		}
	}
	ho := ag.record
	ho.State, ho.Sequence = register.StateGone, ho.Sequence+1
	si.after(3*time.Second, func() {
		if si.agents[ho.Address] == ag {
			si.announce(ho)
		}
	})
}

// startFlows starts flows at random times within a duration. Each sends a packet
// every period on average until the end.
func (si *simulation) startFlows(count int, within, period time.Duration, end time.Time) {
	for range count {
		fw := &testFlow{caller: callerAddress(len(si.flows))}
		si.flows = append(si.flows, fw)
		var tick func()
		tick = func() {
			if fw.ended || si.now.After(end) {
				return
			}
			si.sendPacket(fw)
			si.after(period/2+si.delay(period), tick)
		}
		si.after(si.delay(within), tick)
	}
}

func (si *simulation) sendPacket(fw *testFlow) {
	ch := si.views[si.random.IntN(len(si.views))].chain(si.now, fw.caller)
	if ch.Count == 0 {
		return
	}
	pk := Packet{Header: Header{Service: testService, Caller: fw.caller, Chain: ch}}
	si.transmit(fw, pk, ch.Hosts[0].Address)
}

// transmit delivers a packet after a random delay. A share of lossShare is lost or
// delivered twice, with equal probability.
func (si *simulation) transmit(fw *testFlow, pk Packet, to netip.AddrPort) {
	copies := 1
	if si.random.Float64() < si.lossShare {
		copies = 2 * si.random.IntN(2)
	}
	for range copies {
		si.after(100*time.Microsecond+si.delay(2*time.Millisecond), func() { si.receive(fw, pk, to) })
	}
}

func (si *simulation) receive(fw *testFlow, pk Packet, to netip.AddrPort) {
	ag := si.agents[to]
	if ag == nil || ag.dead {
		return
	}
	de := ag.table.Decide(si.now, pk)
	switch de.Action {
	case ActionAccept, ActionOpen:
		si.deliver(fw, ag, de.Action)
	case ActionForward:
		pk.Header, pk.Sender = de.Header, to
		si.transmit(fw, pk, de.To)
	case ActionDrop:
		si.dropped++
		if de.Reason == ReasonHopLimit {
			si.hopLimit++
		}
	}
}

// deliver counts a packet that a host accepts or opens a flow for, and checks that
// the flow stays on its host.
func (si *simulation) deliver(fw *testFlow, ag *testAgent, ac Action) {
	si.delivered++
	if ag.record.Service != testService {
		si.misrouted++
	}
	if ac == ActionOpen && !ag.record.State.TakesNewWork() {
		si.openedWhileDraining++
	}
	if si.now.Sub(fw.seen) > FlowIdle {
		fw.holder = nil
	}
	if fw.holder != nil && fw.holder != ag && !fw.ended {
		si.broken++
		fw.ended = true
	}
	if fw.holder == nil {
		fw.holder = ag
	}
	fw.seen = si.now
}

// stuck returns the number of live flows whose last packet arrived more than
// FlowIdle ago.
func (si *simulation) stuck() int {
	count := 0
	for _, fw := range si.flows {
		if fw.holder != nil && !fw.ended && si.now.Sub(fw.seen) > FlowIdle {
			count++
		}
	}
	return count
}
