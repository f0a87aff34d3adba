package carriage

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/state/register"
)

var began = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

const (
	worldService = "yardline"
	worldSlots   = 2
	worldDelay   = time.Millisecond
	worldPatient = 1400 * time.Millisecond
)

var worldAddress = netip.MustParseAddrPort("198.18.0.1:443")

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (ev events) Len() int { return len(ev) }
func (ev events) Less(i, j int) bool {
	if ev[i].at.Equal(ev[j].at) {
		return ev[i].order < ev[j].order
	}
	return ev[i].at.Before(ev[j].at)
}
func (ev events) Swap(i, j int) { ev[i], ev[j] = ev[j], ev[i] }
func (ev *events) Push(x any)   { *ev = append(*ev, x.(event)) }
func (ev *events) Pop() any {
	last := len(*ev) - 1
	it := (*ev)[last]
	*ev = (*ev)[:last]
	return it
}

// world plays callers, a fabric, balancers, agents and hosts in virtual time.
type world struct {
	now       time.Time
	queue     events
	order     int
	random    *rand.Rand
	loss      float64
	balancers []*worldBalancer
	rotation  []int
	hosts     []*worldHost
	callers   map[Flow]*worldCaller
	routes    *catalog.Routes
	next      uint32
	// cut is a balancer that reaches no other process, nil for none.
	cut *worldBalancer

	// What callers and hosts saw.
	served, refused, failed int
	late                    int
	strays                  map[Flow]int
	resetsOfOpen            int
	openedAfterDrain        int
	wrong                   int
	deliveries, refusals    int
	brokenByHost            int
}

type worldBalancer struct {
	address netip.AddrPort
	placer  *Placer
	live    bool
	wake    time.Time
}

type worldHost struct {
	address netip.AddrPort
	domain  string
	service string
	gate    *Gate
	// agent says that the agent runs, alive that the host does.
	agent, alive bool
	// refusing says that the host returns every opening, breaking that it resets
	// each flow that it has accepted.
	refusing, breaking bool
	born               time.Time
	sequence           uint64
	draining           time.Time
	flows              map[Flow]*worldFlow
	working            int
	waiting            []Flow
	work               time.Duration
}

type worldFlow struct {
	first    uint32
	open     bool
	answered bool
}

type worldCaller struct {
	flow     Flow
	began    time.Time
	accepted bool
	number   uint32
	done     bool
}

func newWorld(seed uint64, balancers, hosts int) *world {
	wo := &world{
		now: began, random: rand.New(rand.NewPCG(seed, 1)), callers: make(map[Flow]*worldCaller),
		strays: make(map[Flow]int),
		routes: &catalog.Routes{Version: 1, Addresses: map[netip.AddrPort]catalog.Route{
			worldAddress: {Services: catalog.WeightedServices{{Service: worldService, Weight: 1}}, LatencyTarget: 100 * time.Millisecond},
		}},
	}
	for i := range hosts {
		wo.hosts = append(wo.hosts, &worldHost{
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i + 1)}), 7000),
			domain:  string(rune('a' + i%3)), service: worldService, work: 15 * time.Millisecond,
		})
	}
	for i := range balancers {
		wo.balancers = append(wo.balancers, &worldBalancer{
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7000),
		})
	}
	for i := range wo.hosts {
		wo.startHost(i)
		wo.startAgent(i)
	}
	for i := range wo.balancers {
		wo.startBalancer(i)
	}
	return wo
}

func (wo *world) after(delay time.Duration, run func()) {
	wo.order++
	heap.Push(&wo.queue, event{at: wo.now.Add(delay), order: wo.order, run: run})
}

// send runs after the network's delay, unless the datagram is lost.
func (wo *world) send(run func()) {
	if wo.random.Float64() < wo.loss {
		return
	}
	wo.after(worldDelay+time.Duration(wo.random.IntN(400))*time.Microsecond, run)
}

func (wo *world) runUntil(end time.Time) {
	for len(wo.queue) > 0 && !wo.queue[0].at.After(end) {
		ev := heap.Pop(&wo.queue).(event)
		wo.now = ev.at
		ev.run()
	}
	wo.now = end
}

func (wo *world) startBalancer(i int) {
	ba := wo.balancers[i]
	ba.placer = NewPlacer(wo.now, PlacerSettings{Domain: string(rune('a' + i%3)), OpeningTimeout: worldPatient})
	ba.live = true
	wo.rotation = append(wo.rotation, i)
	slices.Sort(wo.rotation)
	wo.performBalancer(ba, ba.placer.SetRoutes(wo.now, wo.routes))
	wo.tellBalancer(ba)
}

// stopBalancer ends a balancer at once; the fabric notices after a while.
func (wo *world) stopBalancer(i int) {
	wo.balancers[i].live = false
	wo.after(time.Second, func() {
		if !wo.balancers[i].live {
			wo.rotation = slices.DeleteFunc(wo.rotation, func(at int) bool { return at == i })
		}
	})
}

func (wo *world) tellBalancer(ba *worldBalancer) {
	var list []Agent
	for _, ho := range wo.hosts {
		if ho.gate != nil {
			re := ho.gate.Report(wo.now)
			wo.order++
			list = append(list, Agent{Revision: register.Revision{Incarnation: 1, Sequence: uint64(wo.order)}, Address: ho.address, Service: ho.service, Domain: ho.domain, State: re.State, Slots: re.Slots, ServiceTime: re.ServiceTime})
		}
	}
	ba.placer.SetOthers(len(wo.balancers) - 1)
	wo.performBalancer(ba, ba.placer.SetAgents(wo.now, list))
}

func (wo *world) announce() {
	for _, ba := range wo.balancers {
		wo.send(func() {
			if ba.live {
				wo.tellBalancer(ba)
			}
		})
	}
}

func (wo *world) startHost(i int) {
	ho := wo.hosts[i]
	ho.alive = true
	ho.born = wo.now
	ho.sequence = 0
	ho.draining = time.Time{}
	ho.flows = make(map[Flow]*worldFlow)
	ho.working = 0
	ho.waiting = nil
	wo.beat(ho, ho.born)
}

const worldBeat = 1200 * time.Millisecond

func (wo *world) beat(ho *worldHost, born time.Time) {
	if !ho.alive || !ho.born.Equal(born) {
		return
	}
	wo.checkIn(ho)
	wo.after(worldBeat, func() { wo.beat(ho, born) })
}

func (wo *world) checkIn(ho *worldHost) {
	ho.sequence++
	if ho.gate == nil || !ho.agent {
		return
	}
	ci := CheckIn{
		Name: "h" + ho.address.String(), Born: ho.born, Sequence: ho.sequence, Service: ho.service,
		Draining: !ho.draining.IsZero(), Slots: worldSlots,
	}
	list, _ := ho.gate.CheckIn(wo.now, ci)
	wo.performAgent(ho, list)
}

func (wo *world) crashHost(i int) {
	wo.hosts[i].alive = false
	wo.hosts[i].flows = nil
}

func (wo *world) drainHost(i int) {
	wo.hosts[i].draining = wo.now
	wo.checkIn(wo.hosts[i])
}

func (wo *world) startAgent(i int) {
	ho := wo.hosts[i]
	ho.agent = true
	ho.gate = NewGate(wo.now, GateSettings{
		HeartbeatInterval: worldBeat, FlowLifetime: time.Minute, OpeningTimeout: worldPatient,
		FirstStart: wo.now.Equal(began),
	})
	ho.gate.SetRoutes(wo.routes)
	if ho.alive && wo.now.Equal(began) {
		wo.checkIn(ho)
	}
	wo.armAgent(ho)
	wo.announce()
	for _, ba := range wo.balancers {
		wo.toBalancer(ba.address, func(pl *Placer) []Action { return pl.Heard(wo.now, ho.address) })
	}
}

func (wo *world) stopAgent(i int) { wo.hosts[i].agent = false }

func (wo *world) armBalancer(ba *worldBalancer) {
	at := ba.placer.Deadline()
	if at.IsZero() || !ba.wake.IsZero() && !at.Before(ba.wake) && ba.wake.After(wo.now) {
		return
	}
	ba.wake = at
	placer := ba.placer
	wo.after(max(at.Sub(wo.now), 0), func() {
		if ba.live && ba.placer == placer && ba.wake.Equal(at) {
			ba.wake = time.Time{}
			wo.performBalancer(ba, placer.Tick(wo.now))
		}
	})
}

func (wo *world) armAgent(ho *worldHost) {
	at := ho.gate.Deadline()
	gate := ho.gate
	wo.after(max(at.Sub(wo.now), time.Millisecond), func() {
		if ho.agent && ho.gate == gate {
			wo.performAgent(ho, gate.Tick(wo.now))
			wo.armAgent(ho)
		}
	})
}

// wire is a packet with the head in front of the data, as the world encodes it.
func wire(pk Packet) []byte {
	data := make([]byte, 8)
	binary.BigEndian.PutUint32(data, pk.Sequence)
	binary.BigEndian.PutUint32(data[4:], pk.Acknowledged)
	return data
}

func (wo *world) performBalancer(ba *worldBalancer, list []Action) {
	for _, ac := range slices.Clone(list) {
		data := slices.Clone(ac.Data)
		if ba == wo.cut && ac.Kind != KindReset {
			continue
		}
		switch ac.Kind {
		case KindCarry:
			wo.carry(ba, ac, data)
		case KindReset:
			wo.send(func() { wo.resetCaller(ac.Flow) })
		case KindAskOthers:
			wo.askOthers(ba)
		case KindFind:
			wo.send(func() {
				if ho := wo.hostAt(ac.To); ho.agent {
					wo.performAgent(ho, ho.gate.Find(wo.now, ba.address, ac.Flow, ac.Acknowledged))
				}
			})
		case KindPing:
			wo.send(func() {
				if ho := wo.hostAt(ac.To); ho.agent {
					re := ho.gate.Report(wo.now)
					wo.toBalancer(ba.address, func(pl *Placer) []Action { return pl.Reported(wo.now, ho.address, re) })
				}
			})
		}
	}
	wo.armBalancer(ba)
}

// askOthers lets the other balancers give a sign of life.
func (wo *world) askOthers(ba *worldBalancer) {
	for _, other := range wo.balancers {
		if other != ba && other.live && other != wo.cut {
			wo.send(func() { wo.performBalancer(ba, ba.placer.Heard(wo.now, other.address)) })
		}
	}
}

// head returns the packet that the world encoded, as the sender had written it.
func (wo *world) head(ac Action, data []byte) Packet {
	pk := Packet{Flow: ac.Flow, Opening: ac.Opening}
	if len(data) >= 8 {
		pk.Sequence = binary.BigEndian.Uint32(data)
		pk.Acknowledged = binary.BigEndian.Uint32(data[4:])
	}
	return pk
}

func (wo *world) carry(ba *worldBalancer, ac Action, data []byte) {
	pk := wo.head(ac, data)
	of := Offer{Packet: pk, From: ba.address, Urgency: ac.Urgency, Tag: ac.Tag, Version: 1, Started: ac.Started}
	wo.send(func() {
		if ho := wo.hostAt(ac.To); ho.agent {
			wo.performAgent(ho, ho.gate.FromBalancer(wo.now, of, data))
		}
	})
}

func (wo *world) toBalancer(address netip.AddrPort, take func(pl *Placer) []Action) {
	wo.send(func() {
		for _, ba := range wo.balancers {
			if ba.address == address && ba.live && ba != wo.cut {
				wo.performBalancer(ba, take(ba.placer))
			}
		}
	})
}

func (wo *world) hostAt(address netip.AddrPort) *worldHost {
	at := slices.IndexFunc(wo.hosts, func(ho *worldHost) bool { return ho.address == address })
	return wo.hosts[at]
}

func (wo *world) performAgent(ho *worldHost, list []Action) {
	for _, ac := range slices.Clone(list) {
		data := slices.Clone(ac.Data)
		re := ho.gate.Report(wo.now)
		switch ac.Kind {
		case KindDeliver:
			wo.after(10*time.Microsecond, func() { wo.hostReceives(ho, wo.head(ac, data), data) })
		case KindConfirm:
			wo.toBalancer(ac.To, func(pl *Placer) []Action { return pl.Confirmed(wo.now, ho.address, ac.Flow, re) })
		case KindDecline:
			pk := wo.head(ac, data)
			wo.toBalancer(ac.To, func(pl *Placer) []Action {
				return pl.Declined(wo.now, ho.address, pk, data, ac.Reason, re)
			})
		case KindHeld:
			wo.toBalancer(ac.To, func(pl *Placer) []Action { return pl.Found(wo.now, ho.address, ac.Flow, ac.Sure) })
		case KindAnnounce:
			wo.announce()
		}
	}
}
