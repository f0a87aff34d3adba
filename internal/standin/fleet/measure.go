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

// hostsPerBalancer is the ratio of hosts to balancers at the target size.
const hostsPerBalancer = 6

// Phases of a measurement, in virtual time; measureTimeout limits the wait for a
// condition, which is evaluated every measureStep.
const (
	settleTime     = 3 * time.Second
	idleTime       = 3 * time.Second
	measureTimeout = 10 * time.Second
	measureStep    = 20 * time.Millisecond
)

// Measurements holds the results of one simulated fleet. Times are virtual unless
// stated otherwise.
type Measurements struct {
	Balancers int
	Hosts     int
	// BalancerBytes and AgentBytes are the control bytes that one balancer and one
	// agent send per second without changes.
	BalancerBytes float64
	AgentBytes    float64
	// SimulationTime is the wall-clock time that the simulation of one node takes per
	// virtual second, as an estimate of its processor time.
	SimulationTime time.Duration
	// Detection is the time from a host's crash until the first balancer treats it
	// as removed, 0 if none does; Removal is the time until all balancers do, or about
	// measureTimeout if they do not.
	Detection time.Duration
	Removal   time.Duration
	// UrgentSpread and OrdinarySpread are the times from the publication of an
	// urgent and of an ordinary item until all balancers have it.
	UrgentSpread   time.Duration
	OrdinarySpread time.Duration
	// ChangeBytes is the number of bytes that one balancer sends for one changed
	// record.
	ChangeBytes float64
	// FalseRemovals is the number of published removals of nodes that had not
	// crashed, up to Removal after the crash.
	FalseRemovals int
}

// Measure simulates a fleet of that many nodes in nine failure domains. The loss is
// the share of lost messages, between 0 and 1.
func Measure(nodes int, loss float64, seed uint64) Measurements {
	balancers := max(3, nodes/(1+hostsPerBalancer))
	fl := New(Options{Balancers: balancers, Hosts: nodes - balancers, Domains: 9, Seed: seed})
	fl.Loss = loss
	fl.Run(settleTime)
	ms := Measurements{Balancers: balancers, Hosts: nodes - balancers}
	fl.measureIdle(&ms)
	fl.measureCrash(&ms)
	ms.UrgentSpread = fl.measureItemSpread(true)
	ms.OrdinarySpread = fl.measureItemSpread(false)
	fl.measureRecordChanges(&ms)
	return ms
}

// measureIdle measures traffic and processor time without changes.
func (fl *Fleet) measureIdle(ms *Measurements) {
	balancers, agents := controlBytesSent(fl.Balancers), controlBytesSent(fl.Hosts)
	began := time.Now()
	fl.Run(idleTime)
	elapsed := time.Since(began)
	seconds := idleTime.Seconds()
	ms.BalancerBytes = float64(controlBytesSent(fl.Balancers)-balancers) / seconds / float64(ms.Balancers)
	ms.AgentBytes = float64(controlBytesSent(fl.Hosts)-agents) / seconds / float64(ms.Hosts)
	ms.SimulationTime = elapsed / time.Duration(idleTime.Seconds()*float64(ms.Balancers+ms.Hosts))
}

// controlBytesSent returns the sum of the control bytes that the nodes have sent.
func controlBytesSent(nodes []*Node) uint64 {
	var bytes uint64
	for _, nd := range nodes {
		bytes += nd.Core.ControlBytesSent()
	}
	return bytes
}

// measureCrash crashes a host and measures how soon it is out of rotation.
func (fl *Fleet) measureCrash(ms *Measurements) {
	crashed := fl.Hosts[len(fl.Hosts)/2]
	began := fl.Now
	fl.Crash(crashed)
	fl.RunUntil(measureTimeout, measureStep, func() bool {
		removed := fl.countBalancers(func(nd *Node) bool {
			me, _ := nd.Core.Roster().Member(crashed.Subject())
			return me.Standing(fl.Now) == roster.StandingRemoved
		})
		if removed > 0 && ms.Detection == 0 {
			ms.Detection = fl.Now.Sub(began)
		}
		return removed == len(fl.Balancers)
	})
	ms.Removal = fl.Now.Sub(began)
	for _, nd := range fl.Balancers {
		for _, re := range nd.Removals {
			if re.Subject != crashed.Subject() {
				ms.FalseRemovals++
			}
		}
	}
}

// measureItemSpread publishes an item and returns the time until all balancers
// have it, or about measureTimeout if they do not. It returns 0 if the item cannot
// be published.
func (fl *Fleet) measureItemSpread(urgent bool) time.Duration {
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
	fl.Perform(origin, acts)
	took, _ := fl.RunUntil(measureTimeout, measureStep, func() bool {
		return fl.countBalancers(func(nd *Node) bool {
			_, ok := nd.Core.Table().Get(it.Identity(), fl.Now)
			return ok
		}) == len(fl.Balancers)
	})
	return took
}

// measureRecordChanges measures how many bytes a changed host record costs each
// balancer, in addition to what it sends without changes.
func (fl *Fleet) measureRecordChanges(ms *Measurements) {
	const changes = 20
	const span = 5 * time.Second
	before := controlBytesSent(fl.Balancers)
	for number := range changes {
		nd := fl.Hosts[number%len(fl.Hosts)]
		fl.Perform(nd, nd.Core.SetState(register.StateDraining, fl.Now))
		fl.Run(span / changes)
	}
	sent := float64(controlBytesSent(fl.Balancers)-before) / float64(ms.Balancers)
	ms.ChangeBytes = (sent - ms.BalancerBytes*span.Seconds()) / changes
}

// countBalancers returns the number of balancers for which the condition holds.
func (fl *Fleet) countBalancers(condition func(nd *Node) bool) int {
	count := 0
	for _, nd := range fl.Balancers {
		if condition(nd) {
			count++
		}
	}
	return count
}

// RecordMemory returns the heap bytes per record of a balancer that holds the
// records of that many balancers and hosts.
func RecordMemory(balancers, hosts int) float64 {
	items := Records(balancers, hosts)
	control := netip.MustParseAddrPort("10.255.0.1:7443")
	before := liveHeapBytes()
	nd := membership.NewBalancer(register.Balancer{
		Revision: register.Revision{Incarnation: 1},
		Address:  control,
		Control:  control,
	}, nil, rand.New(rand.NewPCG(1, 1)), startTime)
	nd.Restore(items, startTime)
	after := liveHeapBytes()
	runtime.KeepAlive(nd)
	runtime.KeepAlive(items)
	return float64(after-before) / float64(balancers+hosts)
}

// liveHeapBytes collects garbage and returns the bytes of allocated heap objects.
func liveHeapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Records returns the membership records of that many balancers and hosts, as
// items, the balancers first.
func Records(balancers, hosts int) []delivery.Item {
	items := make([]delivery.Item, 0, balancers+hosts)
	for number := range balancers + hosts {
		address := netip.AddrPortFrom(addressOf(1+number), datagramPort)
		control := netip.AddrPortFrom(addressOf(1+number), controlPort)
		revision := register.Revision{Incarnation: uint64(startTime.UnixMilli()), Sequence: 5}
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

// ViewSource is where a joining balancer gets the records of the other members.
type ViewSource string

// The sources of a view. Benchmark names contain the values.
const (
	// SourceDonor copies the view from a running balancer.
	SourceDonor ViewSource = "Donor"
	// SourceGossip uses gossip and digests only.
	SourceGossip ViewSource = "Announcements"
	// SourceSnapshot reads a snapshot from the store that lacks the last
	// snapshotLag changes, and gets these from gossip and digests.
	SourceSnapshot ViewSource = "Snapshot"
)

// JoinResult holds the time and traffic of one join.
type JoinResult struct {
	// Elapsed is the virtual time until the joiner's table equals that of the
	// first balancer, or about the limit if it does not.
	Elapsed time.Duration
	// Complete reports whether the tables were equal within the limit.
	Complete bool
	// DonorBytes is the number of bytes of view transfers, GossipBytes that of the
	// control bytes that all balancers sent meanwhile.
	DonorBytes  int
	GossipBytes int
}

// snapshotLag is the number of records that changed after the snapshot was taken:
// as many as change in ten minutes at the target size.
const snapshotLag = 150

// MeasureJoin adds one balancer to a fleet that holds that many host records, and
// waits at most the limit, in virtual time, for its view to be complete.
func MeasureJoin(source ViewSource, records int, limit time.Duration) JoinResult {
	const balancers = 9
	fl := New(Options{Balancers: balancers, Domains: 9, Seed: 1})
	items := Records(0, records)
	for _, nd := range fl.Balancers {
		fl.performActions(nd, nd.Core.Restore(items, fl.Now))
	}
	fl.Run(settleTime)
	gossip := controlBytesSent(fl.Balancers)
	joiner := fl.startJoiner(source, items)
	took, complete := fl.RunUntil(limit, measureStep, func() bool {
		return joiner.Core.Table().Root() == fl.Balancers[0].Core.Table().Root()
	})
	jr := JoinResult{Elapsed: took, Complete: complete, GossipBytes: int(controlBytesSent(fl.Balancers) - gossip)}
	for _, nd := range fl.Balancers {
		jr.DonorBytes += nd.TransferBytes
	}
	return jr
}

// startJoiner starts a balancer that gets its view from the source.
func (fl *Fleet) startJoiner(source ViewSource, items []delivery.Item) *Node {
	if source == SourceDonor {
		return fl.AddBalancer()
	}
	fl.dropSends = true
	joiner := fl.AddBalancer()
	fl.dropSends = false
	var known []delivery.Item
	for _, nd := range fl.Balancers[:len(fl.Balancers)-1] {
		it, _ := nd.Core.Table().Get(roster.RecordIdentity(nd.Subject()), fl.Now)
		known = append(known, it)
	}
	if source == SourceSnapshot {
		known = append(known, items[min(snapshotLag, len(items)):]...)
	}
	fl.performActions(joiner, joiner.Core.Restore(known, fl.Now))
	return joiner
}
