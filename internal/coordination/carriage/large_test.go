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

// Each search asked every agent again with each copy of a packet, one datagram a question:
// with 150 hosts 14 datagrams for each answer that a caller got, and a part of the answers
// "possibly" came on top. Questions and answers are counted from the kill on, as the rate
// limit moves them to later.
func TestSearchesAtScale(t *testing.T) {
	Convey("After a restart of all processes searches cost less than 6 datagrams for each answer that a caller gets", t, func() {
		for _, hosts := range []int{30, 150} {
			si := newSimulation(uint64(hosts), 6, hosts)
			si.load(20*hosts, began.Add(8*time.Second))
			si.keepAll(3*hosts, began.Add(8*time.Second), time.Second)
			si.runUntil(began.Add(4 * time.Second))
			So(si.finds+si.possibles, ShouldEqual, 0)
			before := si.served
			si.killAll(700*time.Millisecond, 500*time.Millisecond)
			si.runUntil(began.Add(5500 * time.Millisecond))
			served := si.served
			si.runUntil(began.Add(12 * time.Second))
			So(si.served-served, ShouldBeGreaterThan, 50*hosts)
			So(si.finds+si.possibles, ShouldBeLessThan, 6*(si.served-before))
			t.Logf("%d hosts: %d messages, %d answers", hosts, si.finds+si.possibles, si.served-before)
		}
	})
}
