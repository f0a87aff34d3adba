package cmd

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/protocol/explanation"
	"corneltiller.dev/corneltiller/internal/transport/explain"
)

var update = flag.Bool("update", false, "write the golden files")

// explanations are the golden files of the answers.
const explanations = "../internal/protocol/explanation/testdata/"

// serveAnswer serves an answer that is read from a golden file, and returns the address.
func serveAnswer(t *testing.T, file string) (explanation.Answer, string) {
	data, err := os.ReadFile(explanations + file)
	convey.So(err, convey.ShouldBeNil)
	var an explanation.Answer
	convey.So(json.Unmarshal(data, &an), convey.ShouldBeNil)
	sv := httptest.NewServer(explain.Handler(func(_, _ netip.AddrPort) explanation.Answer { return an }))
	t.Cleanup(sv.Close)
	return an, sv.Listener.Addr().String()
}

// It guards against a command that prints another form than the golden files have, or
// that succeeds although the answer has a problem.
func TestExplain(t *testing.T) {
	convey.Convey("Each answer is printed as a table and as JSON, and a problem is the error", t, func() {
		var report strings.Builder
		for _, name := range []string{"placement", "remaining-work", "chain", "waiting", "refused", "unknown-address", "no-configuration"} {
			an, balancer := serveAnswer(t, name+".json")
			args := []string{"explain", "--balancer", balancer, "--caller", "100.64.0.25:1047", "--address", "198.18.0.1:443"}
			var out, errOut, jsonOut bytes.Buffer
			code := Execute(args, &out, &errOut)
			table, err := os.ReadFile(explanations + name + ".txt")
			convey.So(err, convey.ShouldBeNil)
			convey.So(out.String(), convey.ShouldEqual, string(table))
			convey.So(Execute(append(args, "--json"), &jsonOut, &bytes.Buffer{}), convey.ShouldEqual, code)
			var got explanation.Answer
			convey.So(json.Unmarshal(jsonOut.Bytes(), &got), convey.ShouldBeNil)
			convey.So(got, convey.ShouldResemble, an)
			convey.So(strings.Count(jsonOut.String(), "\n"), convey.ShouldEqual, 1)
			fmt.Fprintf(&report, "%s: exit code %d\n%s", name, code, strings.ReplaceAll(errOut.String(), balancer, "BALANCER"))
		}
		for _, args := range []string{
			"--balancer edge-1 --caller 100.64.0.25:1047 --address 198.18.0.1:443",
			"--balancer 127.0.0.1:9 --caller 100.64.0.25 --address 198.18.0.1:443",
			"--balancer 127.0.0.1:9 --caller 100.64.0.25:1047 --address 198.18.0.1:0",
			"--balancer 127.0.0.1:9 --caller 100.64.0.25:1047 --address 198.18.0.1:443",
		} {
			var out, errOut bytes.Buffer
			code := Execute(append([]string{"explain"}, strings.Fields(args)...), &out, &errOut)
			convey.So(out.String(), convey.ShouldBeEmpty)
			fmt.Fprintf(&report, "%s: exit code %d\n%s", args, code, errOut.String())
		}
		const golden = "testdata/explain.golden"
		if *update {
			convey.So(os.WriteFile(golden, []byte(report.String()), 0o600), convey.ShouldBeNil)
		}
		want, err := os.ReadFile(golden)
		convey.So(err, convey.ShouldBeNil)
		convey.So(report.String(), convey.ShouldEqual, string(want))
	})
}
