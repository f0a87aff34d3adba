package cmd

import (
	"bytes"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestExecute checks exit codes and texts of command lines that start no process.
func TestExecute(t *testing.T) {
	cases := []struct {
		name   string
		args   []string
		code   int
		output string
		errors string
	}{
		{name: "help", args: []string{"--help"}, code: ExitOK, output: "Available commands"},
		{name: "help of a command", args: []string{"call", "--help"}, code: ExitOK, output: "--service"},
		{name: "version", args: []string{"version"}, code: ExitOK, output: "corneltiller "},
		{name: "no command", args: nil, code: ExitUsage, errors: "specify one command"},
		{name: "unknown command", args: []string{"juggle"}, code: ExitUsage, errors: "juggle"},
		{name: "missing settings", args: []string{"balancer", "--settings", "testdata/absent.json"}, code: ExitUsage, errors: "absent.json"},
		{name: "unknown plan", args: []string{"demo", "--plan", "absent"}, code: ExitFailed, errors: "calm"},
	}
	convey.Convey("Each command line returns its exit code and prints its text", t, func() {
		for _, tc := range cases {
			convey.Convey(tc.name, func() {
				var out, errOut bytes.Buffer
				convey.So(Execute(tc.args, &out, &errOut), convey.ShouldEqual, tc.code)
				convey.So(out.String(), convey.ShouldContainSubstring, tc.output)
				convey.So(errOut.String(), convey.ShouldContainSubstring, tc.errors)
			})
		}
	})
}
