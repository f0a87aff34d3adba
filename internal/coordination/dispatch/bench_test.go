package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// BenchmarkRequest measures the cost of one request that starts at once: Booking
// is an unrepeatable request with a ticket, Status a repeatable one.
func BenchmarkRequest(b *testing.B) {
	for _, repeatable := range []bool{true, false} {
		name := "Booking"
		if repeatable {
			name = "Status"
		}
		b.Run(name, func(b *testing.B) { benchmarkRequest(b, repeatable) })
	}
}

// benchmarkRequest lets one dispatcher handle requests one after another.
func benchmarkRequest(b *testing.B, repeatable bool) {
	home := ledger.Home{Host: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1}
	di := NewDispatcher(start, Settings{Home: home, Slots: 2, Limits: ledger.DefaultLimits()})
	now := start
	id := RequestID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now = now.Add(10 * time.Millisecond)
		re := Request{ID: id, Caller: netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), Deadline: now.Add(requestTimeout), Repeatable: repeatable}
		if !repeatable {
			re.Ticket = di.ledger.Issue(now)
		}
		di.Handle(now, Arrived{Request: re})
		di.Handle(now.Add(time.Millisecond), Executed{ID: id, Result: ResultComplete, Answer: ledger.Answer{Status: 200}})
	}
}
