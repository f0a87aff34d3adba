package route

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// fleetHosts returns the 42,000 hosts of a large fleet: 20 services of 500 hosts
// each and others of 7.
func fleetHosts() []register.Host {
	const total, large, largeHosts, smallHosts = 42_000, 20, 500, 7
	hosts := readyHosts(total)
	for i := range hosts {
		if i < large*largeHosts {
			hosts[i].Service = register.ServiceID(1 + i/largeHosts)
		} else {
			hosts[i].Service = register.ServiceID(1000 + i/smallHosts)
		}
	}
	return hosts
}

func BenchmarkCandidates(b *testing.B) {
	for _, hosts := range []int{3, 7, 32, 500} {
		for _, joining := range []int{0, 1, 4, 50} {
			b.Run(fmt.Sprintf("Hosts=%d/Joining=%d", hosts, joining), func(b *testing.B) {
				ta := settledTable(readyHosts(hosts))
				for i := range joining {
					ta = ta.Next(testStart, []register.Host{readyHost(1000 + i)})
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					ta.Candidates(testService, callerAddress(i))
				}
			})
		}
	}
}

func BenchmarkTable(b *testing.B) {
	hosts := fleetHosts()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ta := settledTable(hosts)
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := float64(after.HeapAlloc-before.HeapAlloc) / (1 << 20)

	b.Run("New", func(b *testing.B) {
		for b.Loop() {
			NewTable(testKey, testStart, hosts)
		}
		b.ReportMetric(held, "MB-settled")
	})
	for name, i := range map[string]int{"NextLargeService": 100, "NextSmallService": 41_000} {
		b.Run(name, func(b *testing.B) {
			ho := hosts[i]
			ho.State, ho.Sequence = register.StateDraining, 2
			for b.Loop() {
				ta.Next(testStart, []register.Host{ho})
			}
		})
	}
	b.Run("SettleLargeService", func(b *testing.B) {
		ho := readyHost(50_000)
		ho.Service = 1
		joined := ta.Next(testStart, []register.Host{ho})
		for b.Loop() {
			joined.Next(testStart.Add(HolderWindow), nil)
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	b.Run("Accept", func(b *testing.B) {
		fl := NewFlowTable(readyHost(0), testKey, testStart, 1<<20)
		packets := make([]Packet, 5000)
		for i := range packets {
			packets[i] = packetTo(fl, i)
			fl.Decide(testStart, packets[i])
		}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			fl.Decide(testStart, packets[i%len(packets)])
		}
	})
	b.Run("Routable", func(b *testing.B) {
		fl := NewFlowTable(readyHost(0), testKey, testStart, 1<<20)
		pk := packetTo(fl, 1)
		pk.Routable, pk.Target = true, Target{hostAddress(0), 1}
		b.ReportAllocs()
		for b.Loop() {
			fl.Decide(testStart, pk)
		}
	})
	b.Run("Open", func(b *testing.B) {
		fl := NewFlowTable(readyHost(0), testKey, testStart, 1<<30)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			fl.Decide(testStart.Add(time.Duration(i)*50*time.Microsecond), packetTo(fl, i))
		}
	})
}

func BenchmarkFlowMemory(b *testing.B) {
	const flows = 200_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		fl := NewFlowTable(readyHost(0), testKey, testStart, flows)
		for i := range flows {
			fl.Decide(testStart, packetTo(fl, i))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
		runtime.KeepAlive(fl)
	}
}

// BenchmarkBucketsMoved reports how many callers change their host when a host
// joins and when it drains, as a multiple of the callers that the host gains.
func BenchmarkBucketsMoved(b *testing.B) {
	for _, ba := range baselines() {
		for _, hosts := range []int{3, 7, 500} {
			b.Run(fmt.Sprintf("%s/Hosts=%d", ba.name, hosts), func(b *testing.B) {
				for b.Loop() {
					join, leave := movedRatios(ba.newView, hosts)
					b.ReportMetric(join, "join-moved/least")
					b.ReportMetric(leave, "leave-moved/least")
				}
			})
		}
	}
}

// movedRatios returns the callers that change their host when one joins and when it
// drains, each divided by the number of callers that the host gains.
func movedRatios(newView func([]register.Host) testView, hosts int) (join, leave float64) {
	const callers = 50_000
	owners := func(vi testView) (addresses []Candidate) {
		for i := range callers {
			addresses = append(addresses, vi.chain(testStart, callerAddress(i)).Hosts[0])
		}
		return addresses
	}
	vi := newView(readyHosts(hosts))
	before := owners(vi)
	joined := readyHost(1000)
	vi.next(testStart, joined)
	during := owners(vi)
	joined.State, joined.Sequence = register.StateDraining, 2
	vi.next(testStart, joined)
	afterwards := owners(vi)
	var gained, moved, movedBack float64
	for i := range callers {
		if during[i].Address == joined.Address {
			gained++
		}
		if during[i] != before[i] {
			moved++
		}
		if afterwards[i] != during[i] {
			movedBack++
		}
	}
	return moved / gained, movedBack / gained
}

// BenchmarkBrokenFlows counts the flows that a change of hosts breaks. The flows
// are plain datagrams, whose packets never name their host.
func BenchmarkBrokenFlows(b *testing.B) {
	changes := []struct {
		name  string
		apply func(*simulation)
	}{
		{"Join", func(si *simulation) { si.join(100, register.StateReady, register.FullWeight) }},
		{"Drain", func(si *simulation) {
			si.setState(si.ordered[3], register.StateDraining, register.FullWeight)
		}},
		{"Leave", func(si *simulation) {
			ag := si.ordered[3]
			si.setState(ag, register.StateDraining, register.FullWeight)
			si.after(15*time.Second, func() {
				for _, fw := range si.flows {
					fw.ended = fw.ended || fw.holder == ag
				}
				si.setState(ag, register.StateGone, register.FullWeight)
				si.after(time.Second, func() { ag.dead = true })
			})
		}},
		{"Crash", func(si *simulation) { si.crash(si.ordered[3]) }},
		{"JoinAndDrain", func(si *simulation) {
			si.join(100, register.StateReady, register.FullWeight)
			si.setState(si.ordered[3], register.StateDraining, register.FullWeight)
		}},
	}
	const flows, hosts = 1000, 7
	for _, ba := range baselines() {
		for _, balancers := range []int{3, 30, 300} {
			for _, ch := range changes {
				b.Run(fmt.Sprintf("%s/Balancers=%d/%s", ba.name, balancers, ch.name), func(b *testing.B) {
					for b.Loop() {
						si := newSimulation(7, hosts, balancers, ba.newView)
						si.startFlows(flows, 25*time.Second, time.Second, testStart.Add(40*time.Second))
						si.runUntil(testStart.Add(10 * time.Second))
						ch.apply(si)
						si.runUntil(testStart.Add(41 * time.Second))
						b.ReportMetric(float64(si.broken), "broken/change")
						b.ReportMetric(float64(flows), "flows")
					}
				})
			}
		}
	}
}

// BenchmarkRolling replaces all hosts of a service one after another. At the
// shorter intervals the hosts don't settle in between, so there may be more
// possible holders than a chain has room for.
func BenchmarkRolling(b *testing.B) {
	for _, every := range []time.Duration{10 * time.Second, 20 * time.Second, 45 * time.Second} {
		b.Run(fmt.Sprintf("Every=%s", every), func(b *testing.B) {
			for b.Loop() {
				const hosts, flows = 7, 1000
				si := newSimulation(7, hosts, 30, newTableView)
				end := testStart.Add(10*time.Second + (hosts+2)*every)
				si.startFlows(flows, 10*time.Second, 2*time.Second, end)
				si.runUntil(testStart.Add(10 * time.Second))
				for i := range hosts {
					si.join(100+i, register.StateReady, register.FullWeight)
					si.setState(si.ordered[i], register.StateDraining, register.FullWeight)
					si.runUntil(si.now.Add(every))
				}
				si.runUntil(end)
				b.ReportMetric(float64(si.broken)/hosts, "broken/replacement")
				b.ReportMetric(flows, "flows")
			}
		})
	}
}

// BenchmarkImbalance opens and closes flows until the hosts' shares are stable, at
// a mean utilisation of 80%, and compares the most loaded host with the mean. With
// LateBinding hosts may offer a new flow to their second choice.
func BenchmarkImbalance(b *testing.B) {
	for _, hosts := range []int{3, 7, 500} {
		for _, late := range []bool{false, true} {
			b.Run(fmt.Sprintf("Hosts=%d/LateBinding=%t", hosts, late), func(b *testing.B) {
				for b.Loop() {
					flows, work, hops := imbalance(hosts, late)
					b.ReportMetric(flows, "flows-largest/mean")
					b.ReportMetric(work, "work-largest/mean")
					b.ReportMetric(hops, "hops/flow")
				}
			})
		}
	}
}

// share holds the open flows of one host and the work that they cause.
type share struct {
	table *FlowTable
	flows int
	work  float64
}

type openFlow struct {
	host   int
	caller int
	work   float64
}

// imbalance returns the flows and the work of the most loaded host, divided by the
// mean, and the mean number of times that the first packet of a flow is forwarded.
func imbalance(hosts int, late bool) (flows, work, hops float64) {
	const perHost = 2000
	random := rand.New(rand.NewPCG(7, 7))
	ta := settledTable(readyHosts(hosts))
	shares := make([]share, hosts)
	for i := range shares {
		shares[i].table = NewFlowTable(readyHost(i), testKey, testStart, 1<<16)
	}
	open := make([]openFlow, 0, hosts*perHost)
	forwarded, opened := 0, 0
	refresh := max(hosts*perHost/60, 1)
	for step := range 5 * hosts * perHost {
		now := testStart.Add(time.Duration(step) * 30 * time.Second / time.Duration(hosts*perHost))
		if step%refresh == 0 {
			setUtilisations(shares)
		}
		if len(open) == cap(open) {
			i := random.IntN(len(open))
			fw := open[i]
			open[i] = open[len(open)-1]
			open = open[:len(open)-1]
			shares[fw.host].flows--
			shares[fw.host].work -= fw.work
			shares[fw.host].table.SetConnections(shares[fw.host].flows)
		}
		ch := ta.Candidates(testService, callerAddress(step))
		if !late {
			ch.Count = 1
		}
		host, forwards := openFlowAt(shares, now, Packet{Header: Header{Service: testService, Caller: callerAddress(step), Chain: ch}})
		forwarded += forwards
		opened++
		fw := openFlow{host: host, caller: step, work: random.ExpFloat64()}
		open = append(open, fw)
		shares[host].flows++
		shares[host].work += fw.work
		shares[host].table.SetConnections(shares[host].flows)
	}
	return largestOverMean(shares, func(sh share) float64 { return float64(sh.flows) }),
		largestOverMean(shares, func(sh share) float64 { return sh.work }), float64(forwarded) / float64(opened)
}

// setUtilisations sets the utilisation of each host in proportion to its work, with
// a mean of 80%.
func setUtilisations(shares []share) {
	total := 0.0
	for _, sh := range shares {
		total += sh.work
	}
	for i, sh := range shares {
		ho := readyHost(i)
		ho.Load = uint16(80 * sh.work * float64(len(shares)) / max(total, 1))
		shares[i].table.UpdateSelf(ho)
	}
}

// openFlowAt passes a packet of a new flow between the hosts until one opens the
// flow. It returns that host and the number of times the packet was forwarded.
func openFlowAt(shares []share, now time.Time, pk Packet) (host, hops int) {
	to := pk.Chain.Hosts[0].Address
	for {
		ip := to.Addr().As4()
		host = int(ip[2])<<8 | int(ip[3])
		de := shares[host].table.Decide(now, pk)
		if de.Action != ActionForward {
			// From now on the flow is counted by SetConnections instead.
			shares[host].table.Close(pk.Caller, pk.ID)
			return host, hops
		}
		pk.Header, pk.Sender, to = de.Header, to, de.To
		hops++
	}
}

func largestOverMean(shares []share, value func(share) float64) float64 {
	largest, total := 0.0, 0.0
	for _, sh := range shares {
		largest = max(largest, value(sh))
		total += value(sh)
	}
	return largest * float64(len(shares)) / total
}
