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
	server := serverBook{agent: agent, service: "yardline", runs: []backend.Execution{run}}
	drained := server
	drained.drainedAt = start.Add(-2 * drainGrace)
	crashed := server
	crashed.crashedAt = start
	misrouted := server
	misrouted.service = "ledgerwash"
	doubled := server
	doubled.runs = []backend.Execution{run, run}

	cases := []struct {
		name   string
		entry  entry
		server serverBook
		broken []string
	}{
		{name: "a booking that ran once", entry: entry{outcome: OutcomeAnswered, booking: true}, server: server},
		{name: "a booking that never ran", entry: entry{outcome: OutcomeAnswered, booking: true}, broken: []string{"LostBookings=1"}},
		{name: "a booking that ran twice", entry: entry{outcome: OutcomeUnknown, booking: true, host: agent}, server: doubled, broken: []string{"DoubledBookings=1", "CutByStop=1"}},
		{name: "a refusal that ran", entry: entry{outcome: OutcomeNotRun}, server: server, broken: []string{"NotRunButRan=1"}},
		{name: "an answer of another request", entry: entry{outcome: OutcomeAnswered, wrong: true}, server: server, broken: []string{"WrongAnswers=1"}},
		{name: "a request at another service", entry: entry{outcome: OutcomeAnswered}, server: misrouted, broken: []string{"MisroutedPackets=1"}},
		{name: "work long after a drain", entry: entry{outcome: OutcomeAnswered}, server: drained, broken: []string{"NewWorkAfterDrain=1"}},
		{name: "a request cut without a crash", entry: entry{outcome: OutcomeUnknown, host: agent}, server: server, broken: []string{"CutByStop=1"}},
		{name: "a request lost with its host", entry: entry{outcome: OutcomeUnknown, host: agent}, server: crashed},
	}
	convey.Convey("The comparison of the books tells", t, func() {
		for _, tc := range cases {
			convey.Convey(tc.name, func() {
				re := &Report{}
				tc.entry.identity = "1"
				compare(re, &callerBook{entries: []entry{tc.entry}}, []serverBook{tc.server})
				convey.So(re.Broken(), convey.ShouldResemble, tc.broken)
			})
		}
	})
}
