package route

import (
	"flag"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/state/register"
)

var update = flag.Bool("update", false, "write the golden files")

func TestExplain(t *testing.T) {
	Convey("An explanation names each host that a packet may visit and why", t, func() {
		caller := callerAddress(3)
		ta := settledTable(readyHosts(7))
		owner, _ := ta.Locate(ta.Candidates(testService, caller).Hosts[0].Address)
		text := Explain(ta, testService, caller).String()
		owner.State, owner.Sequence = register.StateDraining, 2
		ta = ta.Next(testStart, []register.Host{owner, readyHost(20)})
		text += "\n\n" + Explain(ta, testService, caller).String()
		text += "\n\n" + Explain(ta, 99, caller).String() + "\n"

		const golden = "testdata/explain.golden"
		if *update {
			So(os.WriteFile(golden, []byte(text), 0o600), ShouldBeNil)
		}
		want, err := os.ReadFile(golden)
		So(err, ShouldBeNil)
		So(text, ShouldEqual, string(want))
	})
	Convey("A trace shows what an agent knows of a flow", t, func() {
		fl := NewFlowTable(readyHost(0), testKey, testStart, 10)
		fl.Decide(testStart, packetTo(fl, 1))
		pk := packetTo(fl, 2)
		pk.Chain = chainOf(2, 0, 1)
		fl.Decide(testStart, pk)
		So(fl.Trace(testStart, callerAddress(1), nil).Known, ShouldEqual, "Held")
		So(fl.Trace(testStart, callerAddress(2), nil), ShouldResemble,
			Trace{Known: "Asked", Peer: hostAddress(1), Deadline: testStart.Add(FlowIdle)})
		So(fl.Trace(testStart.Add(FlowIdle), callerAddress(1), nil).Known, ShouldEqual, "Unknown")
	})
}
