package evacuation

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// spreadStep is the step of the virtual time, and the longest transit of a datagram.
const spreadStep = 10 * time.Millisecond

// spreadBound is the time within which an acknowledged evacuation has to be in force.
const spreadBound = 5 * time.Second

// spreadProcess is a process of a spread.
type spreadProcess struct {
	Member
	keeper *Keeper
	// reads says that the process reads the store, at times that differ by readAfter.
	reads     bool
	readAfter time.Duration
	nextGreet time.Time
	// contacted is when the process last greeted each member or heard of it.
	contacted map[netip.AddrPort]time.Time
	// informed is when the process learned of the evacuation, zero before.
	informed time.Time
}

// spread simulates in virtual time how a changed set reaches all processes, with what the
// shell does: it sends what the Keeper returns, and with the regular greeting each second
// the set goes to the least recently contacted member. Agents know the balancers only.
type spread struct {
	now       time.Time
	random    *rand.Rand
	processes []*spreadProcess
	// loss is the share of lost datagrams; cut are two domains without a link.
	loss float64
	cut  [2]string
	mail []spreadMail
}

type spreadMail struct {
	from, to netip.AddrPort
	page     Page
}

// newSpread returns a spread of three domains with two balancers and six agents each,
// which all know an empty set. The first balancer of each reading domain reads the store.
func newSpread(seed uint64, loss float64, reading ...string) *spread {
	sp := &spread{now: began, random: rand.New(rand.NewPCG(seed, 7)), loss: loss}
	for i := range 24 {
		domain := string(rune('a' + i/8))
		pr := &spreadProcess{
			Member: Member{Address: address(i), Domain: domain, Balancer: i%8 < 2}, keeper: NewKeeper(domain),
			contacted: make(map[netip.AddrPort]time.Time), nextGreet: began.Add(time.Duration(sp.random.IntN(1000)) * time.Millisecond),
		}
		pr.reads = i%8 == 0 && slices.Contains(reading, domain)
		pr.readAfter = time.Duration(sp.random.IntN(300)) * time.Millisecond
		pr.keeper.Receive(setAt(1, 1).Pages()[0])
		pr.keeper.Read(began, setAt(1, 1), false, nil)
		sp.processes = append(sp.processes, pr)
	}
	for _, pr := range sp.processes {
		for _, other := range sp.processes {
			if other != pr && (pr.Balancer || other.Balancer) {
				pr.contacted[other.Address] = began.Add(-time.Duration(sp.random.IntN(9000)) * time.Millisecond)
			}
		}
	}
	return sp
}

func (sp *spread) at(address netip.AddrPort) *spreadProcess {
	return sp.processes[slices.IndexFunc(sp.processes, func(pr *spreadProcess) bool { return pr.Address == address })]
}

// send sends the process's set to the addresses.
func (sp *spread) send(pr *spreadProcess, to ...netip.AddrPort) {
	set, _ := pr.keeper.Set()
	for _, address := range to {
		lost := sp.random.Float64() < sp.loss
		link := []string{pr.Domain, sp.at(address).Domain}
		if lost || link[0] != link[1] && slices.Contains(link, sp.cut[0]) && slices.Contains(link, sp.cut[1]) {
			continue
		}
		for _, pa := range set.Pages() {
			sp.mail = append(sp.mail, spreadMail{from: pr.Address, to: address, page: pa})
		}
	}
}

// members returns the other members that the process knows.
func (sp *spread) members(pr *spreadProcess) []Member {
	var list []Member
	for _, other := range sp.processes {
		if _, known := pr.contacted[other.Address]; known {
			list = append(list, other.Member)
		}
	}
	return list
}

// greet sends the set to the least recently contacted member.
func (sp *spread) greet(pr *spreadProcess) {
	var to netip.AddrPort
	for _, other := range sp.members(pr) {
		if !to.IsValid() || pr.contacted[other.Address].Before(pr.contacted[to]) {
			to = other.Address
		}
	}
	pr.contacted[to] = sp.now
	pr.nextGreet = sp.now.Add(time.Second)
	sp.send(pr, to)
}

// step delivers what was sent in the last step and lets each process act.
func (sp *spread) step(acknowledged time.Time, set Set) {
	sp.now = sp.now.Add(spreadStep)
	mail := sp.mail
	sp.mail = nil
	for _, it := range mail {
		pr := sp.at(it.to)
		pr.contacted[it.from] = sp.now
		if _, answer := pr.keeper.Receive(it.page); answer {
			sp.send(pr, it.from)
		}
	}
	for _, pr := range sp.processes {
		if pr.reads && !sp.now.Before(acknowledged.Add(pr.readAfter)) {
			pr.reads = false
			_, to := pr.keeper.Read(sp.now, set, false, sp.members(pr))
			sp.send(pr, to...)
		}
		if due := pr.keeper.Deadline(); !due.IsZero() && !sp.now.Before(due) {
			sp.send(pr, pr.keeper.Tick(sp.now)...)
		}
		if !sp.now.Before(pr.nextGreet) {
			sp.greet(pr)
		}
		if got, _ := pr.keeper.Set(); pr.informed.IsZero() && got.Origin == set.Origin {
			pr.informed = sp.now
		}
	}
}

// run evacuates domain b after a second and returns how long after the acknowledgement the
// last agent of it, and the last process of all, knew of it.
func (sp *spread) run(t *testing.T) (agents, all time.Duration) {
	acknowledged := began.Add(time.Second)
	set := setAt(1, 2, "b")
	for sp.now.Before(acknowledged) {
		sp.step(acknowledged, set)
	}
	for sp.now.Before(acknowledged.Add(30 * time.Second)) {
		sp.step(acknowledged, set)
	}
	for _, pr := range sp.processes {
		if pr.informed.IsZero() {
			t.Fatalf("%s of domain %s never learned of the evacuation", pr.Address, pr.Domain)
		}
		took := pr.informed.Sub(acknowledged)
		all = max(all, took)
		if !pr.Balancer && pr.Domain == "b" {
			agents = max(agents, took)
		}
	}
	return agents, all
}

// An evacuation that is known to some balancers only still lets openings through where both
// the balancer and the agent have an old set.
func TestSpreadWithLossesAndACutLink(t *testing.T) {
	cases := []struct {
		name    string
		loss    float64
		cut     [2]string
		reading []string
		bound   time.Duration
	}{
		{"all domains read", 0, [2]string{}, []string{"a", "b", "c"}, time.Second},
		{"a fifth of the datagrams is lost", 0.2, [2]string{}, []string{"a", "b", "c"}, spreadBound},
		{"one domain reads and a fifth is lost", 0.2, [2]string{}, []string{"a"}, spreadBound},
		{"the evacuated domain reads only itself, its link to a is cut", 0.05, [2]string{"a", "b"}, []string{"b"}, spreadBound},
		{"the evacuated domain hears from c only", 0.05, [2]string{"a", "b"}, []string{"c"}, spreadBound},
	}
	for _, it := range cases {
		Convey("The agents of the domain know of it in time if "+it.name, t, func() {
			var agents, all time.Duration
			for seed := range uint64(200) {
				sp := newSpread(seed, it.loss, it.reading...)
				sp.cut = it.cut
				one, each := sp.run(t)
				agents, all = max(agents, one), max(all, each)
			}
			t.Logf("%s: the last agent of the domain after %s, the last process after %s", it.name, agents, all)
			So(agents, ShouldBeLessThanOrEqualTo, it.bound)
		})
	}
	Convey("Through a domain that doesn't read itself it takes as long as the greetings", t, func() {
		var agents time.Duration
		for seed := range uint64(200) {
			sp := newSpread(seed, 0.05, "a")
			sp.cut = [2]string{"a", "b"}
			one, _ := sp.run(t)
			agents = max(agents, one)
		}
		t.Logf("no reader with a link to the domain: the last agent after %s", agents)
		So(agents, ShouldBeLessThanOrEqualTo, 10*time.Second)
	})
}
