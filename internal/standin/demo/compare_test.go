package demo

import (
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/standin/backend"
)

func TestCompareFindsEachBrokenPromise(t *testing.T) {
	start := time.Unix(1000, 0)
	agent := netip.MustParseAddrPort("127.0.0.1:1")
	run := backend.Execution{Identity: "1", Service: "yardline", StartedAt: start, FinishedAt: start}
	server := serverRecords{agent: agent, service: "yardline", runs: []backend.Execution{run}}
	drained := server
	drained.drainedAt = start.Add(-2 * drainGrace)
	crashed := server
	crashed.crashedAt = start
	misrouted := server
	misrouted.service = "ledgerwash"
	ranTwice := server
	ranTwice.runs = []backend.Execution{run, run}

	cases := []struct {
		name   string
		entry  request
		server serverRecords
		broken []string
	}{
		{name: "nothing for a booking that ran once", entry: request{outcome: OutcomeAnswered, booking: true}, server: server},
		{name: "a booking that never ran", entry: request{outcome: OutcomeAnswered, booking: true}, broken: []string{"LostBookings=1"}},
		{name: "a booking that ran twice", entry: request{outcome: OutcomeUnknown, booking: true, host: agent}, server: ranTwice, broken: []string{"DoubledBookings=1", "CutByStop=1"}},
		{name: "a request that ran though it was reported as not run", entry: request{outcome: OutcomeNotRun}, server: server, broken: []string{"NotRunButRan=1"}},
		{name: "an answer of another request", entry: request{outcome: OutcomeAnswered, wrongAnswer: true}, server: server, broken: []string{"WrongAnswers=1"}},
		{name: "a request that ran at another service", entry: request{outcome: OutcomeAnswered}, server: misrouted, broken: []string{"MisroutedPackets=1"}},
		{name: "work begun too long after a drain", entry: request{outcome: OutcomeAnswered}, server: drained, broken: []string{"NewWorkAfterDrain=1"}},
		{name: "a request cut without a crash", entry: request{outcome: OutcomeUnknown, host: agent}, server: server, broken: []string{"CutByStop=1"}},
		{name: "nothing for a request lost with its crashed host", entry: request{outcome: OutcomeUnknown, host: agent}, server: crashed},
	}
	convey.Convey("Comparing the records of callers and servers reports", t, func() {
		for _, tc := range cases {
			convey.Convey(tc.name, func() {
				re := &Report{}
				tc.entry.identity = "1"
				compare(re, &callerRecords{requests: []request{tc.entry}}, []serverRecords{tc.server})
				convey.So(re.BrokenPromises(), convey.ShouldResemble, tc.broken)
			})
		}
	})
}
