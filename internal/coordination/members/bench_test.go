package members

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// newBenchView returns the view of a balancer that knows a number of other members,
// a third of them balancers, and a greeting of one of them.
func newBenchView(count int) (*View, *Greeting) {
	record := func(i int) Record {
		re := Record{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7700), Role: RoleAgent, Domain: "a"}
		if i%3 == 0 {
			re.Role = RoleBalancer
		}
		re.Incarnation = 1
		return re
	}
	vi := NewView(record(0))
	var found []Record
	for i := range count {
		found = append(found, record(i+1))
	}
	vi.Join(began, found, nil)
	gr := &Greeting{Record: record(3), WantAnswer: true}
	gr.Digest = vi.digestFor(RoleBalancer)
	return vi, gr
}

func BenchmarkHandleGreeting(b *testing.B) {
	for _, count := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			vi, gr := newBenchView(count)
			for b.Loop() {
				vi.Handle(began, gr.Record.Address, Message{Greeting: gr})
			}
		})
	}
}

func BenchmarkSetSelf(b *testing.B) {
	for _, count := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			vi, _ := newBenchView(count)
			states := []register.State{register.StateReady, register.StateDraining}
			for i := 0; b.Loop(); i++ {
				vi.SetSelf(began, Record{State: states[i%2]})
			}
		})
	}
}

// BenchmarkRestartOfAll starts all processes of a fleet within 500 ms, a third of
// them balancers, each with the entries of all in the store, and runs it for two
// seconds. It reports what one process sends.
func BenchmarkRestartOfAll(b *testing.B) {
	for _, count := range []int{30, 100, 295} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var all []int
			for i := range count {
				number := 1 + i
				if i >= count*91/295 {
					number += 100
				}
				all = append(all, number)
			}
			for b.Loop() {
				fl := newFleet(uint64(count))
				for i, number := range all {
					if i%(count/10) == 0 {
						fl.run(50 * time.Millisecond)
					}
					fl.start(number, 1, all, nil)
				}
				fl.run(2 * time.Second)
				if !fl.complete() {
					b.Fatal("a view is incomplete after 2 s")
				}
				b.ReportMetric(float64(fl.sent)/float64(count), "messages/process")
				b.ReportMetric(float64(fl.bytes)/float64(count), "bytes/process")
			}
		})
	}
}
