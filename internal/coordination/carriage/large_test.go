package carriage

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// killAll stops all balancers and agents at once and starts them again one after
// the other within the given time, in random order. The fabric sends packets to a
// balancer from its start on.
func (si *simulation) killAll(down, within time.Duration) {
	si.rotation = nil
	for i := range si.balancers {
		si.balancers[i].live = false
		si.after(down+time.Duration(si.random.Int64N(int64(within))), func() { si.startBalancer(i) })
	}
	for i := range si.hosts {
		si.stopAgent(i)
		si.after(down+time.Duration(si.random.Int64N(int64(within))), func() { si.startAgent(i) })
	}
}

func TestSearchesAtScale(t *testing.T) {
	Convey("After a restart of all processes few agents answer that they possibly hold a flow", t, func() {
		for _, hosts := range []int{30, 150} {
			si := newSimulation(uint64(hosts), 6, hosts)
			si.load(20*hosts, began.Add(8*time.Second))
			si.keepAll(3*hosts, began.Add(8*time.Second), time.Second)
			si.runUntil(began.Add(4 * time.Second))
			si.killAll(700*time.Millisecond, 500*time.Millisecond)
			si.runUntil(began.Add(5500 * time.Millisecond))
			possibles, served := si.possibles, si.served
			si.runUntil(began.Add(12 * time.Second))
			So(si.served-served, ShouldBeGreaterThan, 50*hosts)
			So(si.possibles-possibles, ShouldBeLessThan, (si.served-served)/2)
		}
	})
}
