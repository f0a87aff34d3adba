package members

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"corneltiller.dev/corneltiller/internal/state/register"
)

var began = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7000)
}

// fleet simulates processes that exchange messages in virtual time.
type fleet struct {
	now    time.Time
	random *rand.Rand
	// loss is the share of datagrams that are lost.
	loss  float64
	nodes map[netip.AddrPort]*View
	// configs holds the version of the last configuration that each process
	// received, registered the number of its KindRegister actions.
	configs    map[netip.AddrPort]uint64
	registered map[netip.AddrPort]int
	removed    int
	sent       int
	bytes      int
	transit    []datagram
}

// datagram is a message in transit.
type datagram struct {
	from, to netip.AddrPort
	message  Message
	arrives  time.Time
}

func newFleet(seed uint64) *fleet {
	return &fleet{
		now: began, random: rand.New(rand.NewPCG(seed, 2)), nodes: make(map[netip.AddrPort]*View),
		configs: make(map[netip.AddrPort]uint64), registered: make(map[netip.AddrPort]int),
	}
}

// start starts a process, a balancer below number 100 and an agent from 100 on.
// It finds the numbers in found in the store and is given the seeds.
func (fl *fleet) start(number int, incarnation uint64, found, seeds []int) *View {
	role := RoleAgent
	if number < 100 {
		role = RoleBalancer
	}
	self := Record{Revision: register.Revision{Incarnation: incarnation}, Address: addressOf(number), Role: role, Domain: "a"}
	vi := NewView(self)
	fl.nodes[self.Address] = vi
	var records []Record
	for _, it := range found {
		re := Record{Address: addressOf(it), Role: RoleAgent, Domain: "a"}
		if it < 100 {
			re.Role = RoleBalancer
		}
		records = append(records, re)
	}
	var addresses []netip.AddrPort
	for _, it := range seeds {
		addresses = append(addresses, addressOf(it))
	}
	fl.perform(self.Address, vi.Join(fl.now, records, addresses))
	return vi
}

func (fl *fleet) perform(from netip.AddrPort, list []Action) {
	for _, ac := range slices.Clone(list) {
		switch ac.Kind {
		case KindSend:
			fl.sent++
			data, err := ac.Message.Encode()
			if err != nil || len(data) > 1400 {
				panic(fmt.Sprint("message of ", len(data), " bytes: ", err))
			}
			fl.bytes += len(data)
			msg, err := Decode(data)
			if err != nil {
				panic(err)
			}
			if fl.random.Float64() >= fl.loss {
				fl.transit = append(fl.transit, datagram{from: from, to: ac.To, message: msg, arrives: fl.now.Add(time.Millisecond)})
			}
		case KindConfiguration:
			fl.configs[from] = ac.Version
			fl.nodes[from].Accept(ac.Version, ac.Data, false)
		case KindRegister:
			fl.registered[from]++
		case KindRemoved:
			fl.removed++
		}
	}
}

// run simulates the time span in steps of a millisecond; while no datagram is in
// transit it skips to the next deadline.
func (fl *fleet) run(span time.Duration) {
	for end := fl.now.Add(span); fl.now.Before(end); {
		arrived := fl.transit
		fl.transit = nil
		for _, da := range arrived {
			if da.arrives.After(fl.now) {
				fl.transit = append(fl.transit, da)
				continue
			}
			if vi, ok := fl.nodes[da.to]; ok {
				fl.perform(da.to, vi.Handle(fl.now, da.from, da.message))
			}
		}
		for _, address := range fl.addresses() {
			if vi := fl.nodes[address]; !fl.now.Before(vi.Deadline()) {
				fl.perform(address, vi.Tick(fl.now))
			}
		}
		fl.now = fl.now.Add(time.Millisecond)
		if len(fl.transit) == 0 {
			fl.now = fl.nextDeadline(end)
		}
	}
}

func (fl *fleet) nextDeadline(end time.Time) time.Time {
	next := end
	for _, vi := range fl.nodes {
		if at := vi.Deadline(); at.Before(next) {
			next = at
		}
	}
	if next.Before(fl.now) {
		return fl.now
	}
	return next
}

func (fl *fleet) addresses() []netip.AddrPort {
	var list []netip.AddrPort
	for address := range fl.nodes {
		list = append(list, address)
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return list
}

// complete reports whether every balancer has as many records as there are other
// processes, and every agent as many as there are balancers.
func (fl *fleet) complete() bool {
	balancers := 0
	for _, vi := range fl.nodes {
		if vi.Self().Role == RoleBalancer {
			balancers++
		}
	}
	for _, vi := range fl.nodes {
		want := len(fl.nodes) - 1
		if vi.Self().Role == RoleAgent {
			want = balancers
		}
		if len(vi.Records()) != want {
			return false
		}
	}
	return true
}

func TestJoin(t *testing.T) {
	Convey("Processes that know only three seeds find each other within 3 s", t, func() {
		fl := newFleet(1)
		for i := range 20 {
			fl.start(1+i%7+100*(i/7), 1, nil, []int{1, 2, 3})
		}
		fl.run(3 * time.Second)
		So(fl.complete(), ShouldBeTrue)
	})
	Convey("A process that finds the others in the store is known to all within a second", t, func() {
		fl := newFleet(2)
		for i := 1; i <= 5; i++ {
			fl.start(i, 1, []int{1, 2, 3, 4, 5}, nil)
		}
		fl.run(2 * time.Second)
		fl.start(101, 1, []int{1, 2, 3, 4, 5}, nil)
		fl.run(time.Second)
		So(fl.complete(), ShouldBeTrue)
	})
	Convey("Changes of a process that restarted with its clock set back supersede the record of its previous start", t, func() {
		fl := newFleet(3)
		fl.start(1, 100, nil, []int{1})
		fl.start(101, 100, []int{1}, nil)
		fl.run(time.Second)
		vi := fl.start(101, 50, []int{1}, nil)
		fl.run(2 * time.Second)
		fl.perform(addressOf(101), vi.SetSelf(fl.now, Record{State: register.StateReady, Service: "yardline", Slots: 2}))
		fl.run(time.Second)
		So(fl.nodes[addressOf(1)].Records()[0].State, ShouldEqual, register.StateReady)
	})
}

func TestRemoveSilentMember(t *testing.T) {
	Convey("A silent member is removed, and registers itself in the store again when it is back", t, func() {
		fl := newFleet(4)
		for i := 1; i <= 4; i++ {
			fl.start(i, 1, []int{1, 2, 3, 4}, nil)
		}
		fl.run(2 * time.Second)
		cut := fl.nodes[addressOf(4)]
		delete(fl.nodes, addressOf(4))
		fl.run(40 * time.Second)
		So(fl.complete(), ShouldBeTrue)
		So(fl.removed, ShouldBeGreaterThanOrEqualTo, 3)
		fl.nodes[addressOf(4)] = cut
		fl.run(5 * time.Second)
		So(fl.complete(), ShouldBeTrue)
		So(fl.registered[addressOf(4)], ShouldBeGreaterThan, 0)
	})
}

func TestConfigurationDistribution(t *testing.T) {
	Convey("A configuration of many pages reaches all members, an older one changes nothing", t, func() {
		fl := newFleet(5)
		for i := 1; i <= 6; i++ {
			fl.start(i, 1, []int{1, 2, 3, 4, 5, 6}, nil)
		}
		fl.run(2 * time.Second)
		fl.loss = 0.1
		data := make([]byte, 12*bytesInPage+7)
		fl.perform(addressOf(1), fl.nodes[addressOf(1)].Publish(7, data, true))
		fl.run(100 * time.Millisecond)
		fl.perform(addressOf(2), fl.nodes[addressOf(2)].Publish(5, data, true))
		fl.run(20 * time.Second)
		for i := 2; i <= 6; i++ {
			So(fl.nodes[addressOf(i)].Version(), ShouldEqual, 7)
		}
	})
}

func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl := newFleet(rapid.Uint64().Draw(rt, "seed"))
		fl.loss = float64(rapid.IntRange(0, 30).Draw(rt, "loss")) / 100
		count := rapid.IntRange(2, 8).Draw(rt, "balancers")
		for i := 1; i <= count; i++ {
			fl.start(i, 1, nil, []int{1, 2, 3})
		}
		for i := range rapid.IntRange(0, 8).Draw(rt, "agents") {
			fl.start(101+i, 1, nil, []int{1, 2, 3})
			fl.run(time.Duration(rapid.IntRange(0, 500).Draw(rt, "pause")) * time.Millisecond)
		}
		fl.run(time.Second)
		restarted := rapid.IntRange(1, count).Draw(rt, "restarted")
		fl.start(restarted, 2, nil, []int{1, 2, 3})
		fl.perform(addressOf(restarted), fl.nodes[addressOf(restarted)].Publish(9, []byte("nine"), false))
		fl.loss = 0
		fl.run(30 * time.Second)
		if !fl.complete() {
			rt.Fatal("not every balancer knows all processes and every agent all balancers after 30 s")
		}
		for address, vi := range fl.nodes {
			if vi.Version() != 9 {
				rt.Fatalf("%s has configuration version %d, want 9", address, vi.Version())
			}
		}
	})
}

func TestMalformedMessages(t *testing.T) {
	Convey("Records without a valid address or role, pages out of range and greetings for another address change nothing", t, func() {
		vi := NewView(Record{Address: addressOf(1), Role: RoleBalancer})
		vi.Handle(began, addressOf(2), Message{Page: &Page{Records: []Record{{}, {Address: addressOf(3), Role: 9}}}})
		vi.Handle(began, addressOf(2), Message{Page: &Page{Version: 3, Index: 5, Count: 2, Data: []byte("x")}})
		vi.Handle(began, addressOf(2), Message{Greeting: &Greeting{Record: Record{Address: addressOf(4), Role: RoleAgent}}})
		So(len(vi.Records()), ShouldEqual, 0)
		So(vi.Version(), ShouldEqual, 0)
	})
}

// A process that had read the configuration from the store before it was greeted never
// got what its peers know besides, such as the former services of an address.
func TestConfigurationOfAJoiningMember(t *testing.T) {
	Convey("A process that joins with the version of its peers gets their configuration once", t, func() {
		older, joining := NewView(Record{Address: addressOf(1), Role: RoleBalancer, Domain: "a"}), NewView(Record{Address: addressOf(2), Role: RoleBalancer, Domain: "a"})
		older.Publish(6, []byte("older"), true)
		older.Publish(7, []byte("with history"), false)
		joining.Publish(7, []byte("from the store"), true)
		var configurations []string
		var deliver func(to, from *View, list []Action)
		deliver = func(to, from *View, list []Action) {
			for _, ac := range slices.Clone(list) {
				switch ac.Kind {
				case KindSend:
					deliver(from, to, to.Handle(began, from.Self().Address, ac.Message))
				case KindConfiguration:
					configurations = append(configurations, string(ac.Data))
					from.Accept(ac.Version, ac.Data, false)
				}
			}
		}
		deliver(older, joining, joining.Join(began, []Record{older.Self()}, nil))
		So(configurations, ShouldResemble, []string{"with history"})
		deliver(older, joining, joining.Tick(began.Add(time.Minute)))
		deliver(joining, older, older.Tick(began.Add(time.Minute)))
		So(len(configurations), ShouldEqual, 1)
	})
}

func FuzzDecode(f *testing.F) {
	me := Message{Greeting: &Greeting{Record: Record{Address: addressOf(1), Role: RoleAgent}}}
	data, err := me.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		msg, err := Decode(data)
		if err != nil {
			return
		}
		vi := NewView(Record{Address: addressOf(1), Role: RoleBalancer})
		vi.Handle(began, addressOf(2), msg)
		for _, re := range vi.Records() {
			if !re.Address.IsValid() {
				t.Fatal("a record without an address was kept")
			}
		}
	})
}

func TestControlTraffic(t *testing.T) {
	// budget is the number of bytes a second that a process may send as control
	// traffic by the project's targets.
	const budget = 2000
	Convey("While one host a second changes its state the average process sends less than the budget", t, func() {
		fl := newFleet(6)
		var all []int
		for i := range 48 {
			all = append(all, 1+i)
		}
		for i := range 152 {
			all = append(all, 101+i)
		}
		for _, number := range all {
			fl.start(number, 1, all, nil)
		}
		fl.run(30 * time.Second)
		fl.bytes = 0
		for i := range 20 {
			address := addressOf(101 + i)
			fl.perform(address, fl.nodes[address].SetSelf(fl.now, Record{State: register.StateReady, Service: "yardline", Slots: 2}))
			fl.run(time.Second)
		}
		So(fl.bytes/20/len(all), ShouldBeLessThan, budget)
	})
}
