package route

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// settledTable returns a table whose hosts are all settled and whose services are
// ranked.
func settledTable(hosts []register.Host) *Table {
	ta := NewTable(testKey, testStart.Add(-2*HolderWindow), hosts)
	for !ta.Deadline().IsZero() {
		ta = ta.Next(testStart, nil)
	}
	return ta
}

func TestNegativeLog(t *testing.T) {
	Convey("The integer logarithm has known values and doesn't rise with its argument", t, func() {
		So(negativeLog(1<<63), ShouldEqual, 1<<32)
		So(negativeLog(1<<62), ShouldEqual, 2<<32)
		So(negativeLog(3<<62), ShouldAlmostEqual, 1782572487, 1000) // log2(4/3)
		for x := uint64(1); x < 1<<63; x += x/4 + 1 {
			So(negativeLog(x), ShouldBeGreaterThanOrEqualTo, negativeLog(x+x/8))
		}
	})
}

// chainsOf returns the chains of the first 5000 callers.
func chainsOf(ta *Table) (chains []Chain) {
	for i := range 5000 {
		chains = append(chains, ta.Candidates(testService, callerAddress(i)))
	}
	return chains
}

func TestTableIsAFunctionOfTheRecords(t *testing.T) {
	Convey("Settled tables with the same hosts give the same chains, in whatever order the records arrived", t, func() {
		hosts := readyHosts(60)
		whole := settledTable(hosts)

		grown := settledTable(hosts[:20])
		for i, ho := range hosts[20:] {
			grown = grown.Next(testStart.Add(time.Duration(i)*time.Second), []register.Host{ho})
		}
		extra := readyHost(99)
		grown = grown.Next(testStart.Add(time.Minute), []register.Host{extra})
		extra.State, extra.Sequence = register.StateGone, 2
		grown = grown.Next(testStart.Add(2*time.Minute), []register.Host{extra})
		for grown.Deadline() != (time.Time{}) {
			grown = grown.Next(grown.Deadline().Add(time.Hour), nil)
		}

		So(chainsOf(grown), ShouldResemble, chainsOf(whole))
		So(grown.Length(), ShouldEqual, 60)
	})
}

func TestChainsNameFormerOwners(t *testing.T) {
	Convey("Given a settled table", t, func() {
		old := settledTable(readyHosts(40))
		before := chainsOf(old)

		Convey("A draining host owns no buckets and is asked until it is gone", func() {
			ho := readyHost(3)
			ho.State, ho.Sequence = register.StateDraining, 2
			drained := old.Next(testStart, []register.Host{ho}).Next(testStart.Add(time.Hour), nil)
			for i, ch := range chainsOf(drained) {
				So(ch.Hosts[0].Address, ShouldNotEqual, ho.Address)
				if before[i].Hosts[0].Address == ho.Address {
					So(ch.HolderCount, ShouldEqual, 2)
					So(ch.Hosts[1].Address, ShouldEqual, ho.Address)
				} else {
					So(ch.Hosts[0], ShouldResemble, before[i].Hosts[0])
				}
			}
		})

		Convey("The former owner follows a joining host in the chain until HolderWindow ends", func() {
			ho := readyHost(77)
			joined := old.Next(testStart, []register.Host{ho})
			settled := joined.Next(testStart.Add(HolderWindow), nil)
			won := 0
			for i, ch := range chainsOf(joined) {
				if ch.Hosts[0].Address == ho.Address {
					won++
					So(ch.Hosts[1], ShouldResemble, before[i].Hosts[0])
					So(ch.HolderCount, ShouldEqual, 2)
				}
			}
			So(won, ShouldBeBetween, 5000/41/2, 5000/41*2)
			for _, ch := range chainsOf(settled) {
				So(ch.HolderCount, ShouldEqual, 1)
			}
		})

		Convey("A host whose address is reassigned to another service leaves the old one", func() {
			ho := readyHost(3)
			ho.Service, ho.Incarnation = testService+1, 2
			moved := old.Next(testStart, []register.Host{ho})
			for _, ch := range chainsOf(moved) {
				So(ch.contains(ho.Address), ShouldBeFalse)
			}
			_, re := moved.Resolve(testService, ho.Address, 1)
			So(re, ShouldEqual, ReasonWrongService)
			_, re = moved.Resolve(testService+1, ho.Address, 1)
			So(re, ShouldEqual, ReasonStaleIncarnation)
			_, re = moved.Resolve(testService+1, ho.Address, 2)
			So(re, ShouldEqual, ReasonNone)
			_, re = moved.Resolve(testService, hostAddress(999), 1)
			So(re, ShouldEqual, ReasonUnknownTarget)
		})
	})
}

func TestCandidatesDoNotAllocate(t *testing.T) {
	Convey("Neither a Table nor a FlowTable allocates memory for a packet of an open flow", t, func() {
		ta := settledTable(readyHosts(500)).Next(testStart, []register.Host{readyHost(600)})
		So(testing.AllocsPerRun(100, func() { ta.Candidates(testService, callerAddress(1)) }), ShouldEqual, 0)
		fl := NewFlowTable(readyHost(0), testKey, testStart, 10)
		pk := packetTo(fl, 1)
		fl.Decide(testStart, pk)
		So(testing.AllocsPerRun(100, func() { fl.Decide(testStart, pk) }), ShouldEqual, 0)
	})
}
