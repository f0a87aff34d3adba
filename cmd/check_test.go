package cmd

import (
	"bytes"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestCheck checks the settings files that standin fleet writes, and one of them as
// a file of the wrong role.
func TestCheck(t *testing.T) {
	t.Chdir(t.TempDir())
	convey.Convey("Settings are checked without starting anything", t, func() {
		var out, errOut bytes.Buffer
		convey.So(Execute([]string{"standin", "keys"}, &out, &errOut), convey.ShouldEqual, ExitOK)
		convey.So(Execute([]string{"standin", "fleet"}, &out, &errOut), convey.ShouldEqual, ExitOK)

		convey.Convey("the files of the trial fleet have no fault", func() {
			out.Reset()
			args := []string{"check", "-s", "settings/balancer-0.json", "-s", "settings/agent-9.json"}
			convey.So(Execute(args, &out, &errOut), convey.ShouldEqual, ExitOK)
			convey.So(out.String(), convey.ShouldEqual, "settings/balancer-0.json: settings of role balancer, no fault\n"+
				"settings/agent-9.json: settings of role agent, no fault\n")
		})
		convey.Convey("a file of another role has faults, and the file after it is still checked", func() {
			out.Reset()
			args := []string{"check", "--role", "agent", "-s", "settings/balancer-0.json", "-s", "settings/agent-9.json"}
			convey.So(Execute(args, &out, &errOut), convey.ShouldEqual, ExitUsage)
			convey.So(errOut.String(), convey.ShouldContainSubstring, "Callers: found an unknown field")
			convey.So(errOut.String(), convey.ShouldContainSubstring, "1 of 2 settings files are wrong")
			convey.So(out.String(), convey.ShouldContainSubstring, "agent-9.json: settings of role agent, no fault")
		})
	})
}
