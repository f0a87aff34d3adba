package cmd

import (
	"bytes"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestCheck checks the settings that the trial fleet is started with, and a
// file with faults.
func TestCheck(t *testing.T) {
	t.Chdir(t.TempDir())
	convey.Convey("Settings are checked without starting anything", t, func() {
		var out, errOut bytes.Buffer
		convey.So(Execute([]string{"standin", "keys"}, &out, &errOut), convey.ShouldEqual, ExitOK)
		convey.So(Execute([]string{"standin", "fleet"}, &out, &errOut), convey.ShouldEqual, ExitOK)

		convey.Convey("the trial fleet's have no fault", func() {
			out.Reset()
			args := []string{"check", "-s", "settings/balancer-0.json", "-s", "settings/agent-9.json"}
			convey.So(Execute(args, &out, &errOut), convey.ShouldEqual, ExitOK)
			convey.So(out.String(), convey.ShouldEqual, "settings/balancer-0.json: settings of role balancer, no fault\n"+
				"settings/agent-9.json: settings of role agent, no fault\n")
		})
		convey.Convey("a file of another role has faults, and the other file is still checked", func() {
			out.Reset()
			args := []string{"check", "--role", "agent", "-s", "settings/balancer-0.json", "-s", "settings/agent-9.json"}
			convey.So(Execute(args, &out, &errOut), convey.ShouldEqual, ExitUsage)
			convey.So(errOut.String(), convey.ShouldContainSubstring, "Callers: found an unknown field")
			convey.So(errOut.String(), convey.ShouldContainSubstring, "1 of 2 settings files are wrong")
			convey.So(out.String(), convey.ShouldContainSubstring, "agent-9.json: settings of role agent, no fault")
		})
	})
}
