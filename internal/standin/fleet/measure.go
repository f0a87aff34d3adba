package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"corneltiller.dev/corneltiller/internal/coordination/delivery"
	"corneltiller.dev/corneltiller/internal/coordination/membership"
	"corneltiller.dev/corneltiller/internal/coordination/roster"
	"corneltiller.dev/corneltiller/internal/state/register"
)

// hostsPerBalancer is the ratio at the target size.
const hostsPerBalancer = 6

// How long the phases of a measurement take in virtual time.
const (
	settleTime  = 3 * time.Second
	steadyTime  = 3 * time.Second
	patience    = 10 * time.Second
	measureStep = 20 * time.Millisecond
)

// Figures are what one fleet was measured to need.
type Figures struct {
	Balancers int
	Hosts     int
	// BalancerBytes and AgentBytes are sent by one node in a second.
	BalancerBytes float64
	AgentBytes    float64
	// Processor is the processor time of one node in a second.
	Processor time.Duration
	// Detection is the time from a crash to the first removal, Removal the
	// time until all balancers know it.
	Detection time.Duration
	Removal   time.Duration
	// Urgent and Ordinary are the times until an item is known to all
	// balancers.
	Urgent   time.Duration
	Ordinary time.Duration
	// ChangeBytes is what one balancer sends for one changed record.
	ChangeBytes float64
	// FalseRemovals is the number of living nodes that were removed.
	FalseRemovals int
}

// Measure runs a fleet with the number of nodes in nine failure domains at the
// loss, which is a share between 0 and 1.
func Measure(nodes int, loss float64, seed uint64) Figures {
	balancers := max(3, nodes/(1+hostsPerBalancer))
	fl := New(Options{Balancers: balancers, Hosts: nodes - balancers, Domains: 9, Seed: seed})
	fl.Loss = loss
	fl.Run(settleTime)
	fi := Figures{Balancers: balancers, Hosts: nodes - balancers}
	fl.measureSteady(&fi)
	fl.measureCrash(&fi)
	fi.Urgent = fl.measureSpread(true)
	fi.Ordinary = fl.measureSpread(false)
	fl.measureChanges(&fi)
	return fi
}

// measureSteady notes what the fleet needs when nothing happens.
func (fl *Fleet) measureSteady(fi *Figures) {
	balancers, agents := spent(fl.Balancers), spent(fl.Hosts)
	began := time.Now()
	fl.Run(steadyTime)
	elapsed := time.Since(began)
	seconds := steadyTime.Seconds()
	fi.BalancerBytes = float64(spent(fl.Balancers)-balancers) / seconds / float64(fi.Balancers)
	fi.AgentBytes = float64(spent(fl.Hosts)-agents) / seconds / float64(fi.Hosts)
	fi.Processor = elapsed / time.Duration(steadyTime.Seconds()*float64(fi.Balancers+fi.Hosts))
}

// spent returns the control bytes that the nodes have sent.
func spent(nodes []*Node) uint64 {
	var bytes uint64
	for _, nd := range nodes {
		bytes += nd.Core.ControlBytesSent()
	}
	return bytes
}

// measureCrash notes how a crashed host leaves the rotation.
func (fl *Fleet) measureCrash(fi *Figures) {
	victim := fl.Hosts[len(fl.Hosts)/2]
	began := fl.Now
	fl.Crash(victim)
	fl.RunUntil(patience, measureStep, func() bool {
		known := fl.countBalancers(func(nd *Node) bool {
			me, _ := nd.Core.Roster().Member(victim.Subject())
			return me.Standing(fl.Now) == roster.StandingRemoved
		})
		if known > 0 && fi.Detection == 0 {
			fi.Detection = fl.Now.Sub(began)
		}
		return known == len(fl.Balancers)
	})
	fi.Removal = fl.Now.Sub(began)
	for _, nd := range fl.Balancers {
		for _, re := range nd.Removals {
			if re.Subject != victim.Subject() {
				fi.FalseRemovals++
			}
		}
	}
}

// measureSpread returns the time until an item is known to all balancers.
func (fl *Fleet) measureSpread(urgent bool) time.Duration {
	it := delivery.Item{
		Revision: register.Revision{Incarnation: 1, Sequence: 1},
		Kind:     delivery.KindConfiguration,
		Key:      delivery.Key(fmt.Sprint("measure-", urgent)),
		Urgent:   urgent,
		Body:     make([]byte, 64),
	}
	origin := fl.Balancers[0]
	acts, err := origin.Core.Publish(it, fl.Now)
	if err != nil {
		return 0
	}
	fl.Do(origin, acts)
	took, _ := fl.RunUntil(patience, measureStep, func() bool {
		return fl.countBalancers(func(nd *Node) bool {
			_, ok := nd.Core.Table().Get(it.Identity(), fl.Now)
			return ok
		}) == len(fl.Balancers)
	})
	return took
}

// measureChanges notes what a changed host record costs each balancer, beyond
// what it sends when nothing happens.
func (fl *Fleet) measureChanges(fi *Figures) {
	const changes = 20
	const span = 5 * time.Second
	before := spent(fl.Balancers)
	for number := range changes {
		nd := fl.Hosts[number%len(fl.Hosts)]
		fl.Do(nd, nd.Core.SetState(register.StateDraining, fl.Now))
		fl.Run(span / changes)
	}
	sent := float64(spent(fl.Balancers)-before) / float64(fi.Balancers)
	fi.ChangeBytes = (sent - fi.BalancerBytes*span.Seconds()) / changes
}

// countBalancers returns at how many balancers the condition holds.
func (fl *Fleet) countBalancers(condition func(nd *Node) bool) int {
	count := 0
	for _, nd := range fl.Balancers {
		if condition(nd) {
			count++
		}
	}
	return count
}

// RecordMemory returns the bytes of memory that one record takes in a
// balancer that holds the given number of hosts and balancers.
func RecordMemory(balancers, hosts int) float64 {
	items := Records(balancers, hosts)
	control := netip.MustParseAddrPort("10.255.0.1:7443")
	before := heapInUse()
	no := membership.NewBalancer(register.Balancer{
		Revision: register.Revision{Incarnation: 1},
		Address:  control,
		Control:  control,
	}, nil, rand.New(rand.NewPCG(1, 1)), start)
	no.Restore(items, start)
	after := heapInUse()
	runtime.KeepAlive(no)
	runtime.KeepAlive(items)
	return float64(after-before) / float64(balancers+hosts)
}

// heapInUse returns the live bytes of the heap.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Records returns the items of that many balancers and hosts.
func Records(balancers, hosts int) []delivery.Item {
	items := make([]delivery.Item, 0, balancers+hosts)
	for number := range balancers + hosts {
		address := netip.AddrPortFrom(addressOf(1+number), datagramPort)
		control := netip.AddrPortFrom(addressOf(1+number), controlPort)
		revision := register.Revision{Incarnation: uint64(start.UnixMilli()), Sequence: 5}
		domain := fmt.Sprintf("region-%d/domain-%d", number%9/3, number%9)
		var it delivery.Item
		if number < balancers {
			it, _ = roster.BalancerItem(register.Balancer{
				Revision: revision, Address: address, Control: control, Domain: domain,
				State: register.StateReady,
			})
		} else {
			it, _ = roster.HostItem(register.Host{
				Revision: revision, Address: address, Control: control, Domain: domain,
				State: register.StateReady, Weight: register.FullWeight,
				Service: register.ServiceID(1 + number/7),
			})
		}
		items = append(items, it)
	}
	return items
}

// Way is a way for a joining balancer to get the view.
type Way string

// The ways.
const (
	// WayDonor takes the view from a live donor.
	WayDonor Way = "Donor"
	// WayAnnouncements learns from gossip and digests only.
	WayAnnouncements Way = "Announcements"
	// WaySnapshot reads a snapshot of the store that is some changes old, and
	// learns the rest from gossip and digests.
	WaySnapshot Way = "Snapshot"
)

// Join is what joining took.
type Join struct {
	// Took is the time until the joiner's table equals that of the others.
	Took time.Duration
	// Complete is false if that was not so within the patience.
	Complete bool
	// DonorBytes were sent by donors, GossipBytes by all nodes beside.
	DonorBytes  int
	GossipBytes int
}

// staleChanges is how many records have changed since the snapshot was taken:
// those of ten minutes at the target size.
const staleChanges = 150

// MeasureJoin lets one balancer join a fleet that holds the number of records.
func MeasureJoin(way Way, records int, limit time.Duration) Join {
	const balancers = 9
	fl := New(Options{Balancers: balancers, Domains: 9, Seed: 1})
	items := Records(0, records)
	for _, nd := range fl.Balancers {
		fl.run(nd, nd.Core.Restore(items, fl.Now))
	}
	fl.Run(settleTime)
	gossip := spent(fl.Balancers)
	joiner := fl.joinBy(way, items)
	took, complete := fl.RunUntil(limit, measureStep, func() bool {
		return joiner.Core.Table().Root() == fl.Balancers[0].Core.Table().Root()
	})
	jo := Join{Took: took, Complete: complete, GossipBytes: int(spent(fl.Balancers) - gossip)}
	for _, nd := range fl.Balancers {
		jo.DonorBytes += nd.TransferBytes
	}
	return jo
}

// joinBy starts a balancer that gets the view by the way.
func (fl *Fleet) joinBy(way Way, items []delivery.Item) *Node {
	if way == WayDonor {
		return fl.AddBalancer()
	}
	fl.muted = true
	joiner := fl.AddBalancer()
	fl.muted = false
	var known []delivery.Item
	for _, nd := range fl.Balancers[:len(fl.Balancers)-1] {
		it, _ := nd.Core.Table().Get(roster.RecordIdentity(nd.Subject()), fl.Now)
		known = append(known, it)
	}
	if way == WaySnapshot {
		known = append(known, items[min(staleChanges, len(items)):]...)
	}
	fl.run(joiner, joiner.Core.Restore(known, fl.Now))
	return joiner
}
