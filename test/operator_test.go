package test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/cmd"
	"corneltiller.dev/corneltiller/internal/protocol/explanation"
)

// owner is an owner of the configuration with its own key and console settings.
type owner struct {
	fleet    *fleet
	name     string
	settings string
	// ownerKeyClause is the clause of a statement that gives the owner's name and public key.
	ownerKeyClause string
}

// newOwner creates a key and console settings for an owner of this name.
func (fl *fleet) newOwner(name string) *owner {
	fl.tb.Helper()
	folder := fl.tb.TempDir()
	ow := &owner{fleet: fl, name: name, settings: filepath.Join(folder, "console.json")}
	st := fl.Console
	st.Owner = name
	st.OwnerKey = filepath.Join(folder, "owner.pem")
	key, err := exec.Command(binary, "ctl", "--new-key", st.OwnerKey).Output()
	if err != nil {
		fl.tb.Fatal(err)
	}
	ow.ownerKeyClause = "OWNER " + name + ` KEY "` + strings.TrimSpace(string(key)) + `"`
	data, err := json.Marshal(st)
	if err != nil {
		fl.tb.Fatal(err)
	}
	if err := os.WriteFile(ow.settings, data, 0o600); err != nil {
		fl.tb.Fatal(err)
	}
	return ow
}

// ctl runs a statement as the owner and returns the output and the exit code.
func (ow *owner) ctl(statement string) (string, int) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*startTimeout)
	defer cancel()
	co := exec.CommandContext(ctx, binary, "ctl", "--settings", ow.settings, statement)
	var output bytes.Buffer
	co.Stdout = &output
	co.Stderr = &output
	_ = co.Run()
	return output.String(), co.ProcessState.ExitCode()
}

// configure writes a first configuration with two owners and the service yardline.
// The first owner returned is the one that may change it.
func (fl *fleet) configure() (*owner, *owner) {
	fl.tb.Helper()
	first, second := fl.newOwner("glenrug"), fl.newOwner("zhuldyz")
	hosts := fl.Fabric.Answers.Addr().String()
	statements := []string{
		"INITIALIZE " + first.ownerKeyClause,
		"CREATE " + second.ownerKeyClause,
		"CREATE SERVICE yardline FOR FIRM Glenrug ADDRESS " + fl.Fabric.Services[0].String() + " HOSTS " + hosts,
	}
	for _, statement := range statements {
		if output, code := first.ctl(statement); code != cmd.ExitOK {
			fl.tb.Fatalf("%s: exit code %d: %s", statement, code, output)
		}
	}
	return first, second
}

// TestOwnersRaceDuringHandover checks that only the owner who holds the right to change
// the configuration can change it, also while that right is handed over: a change
// is in force if and only if its console reported success.
func TestOwnersRaceDuringHandover(t *testing.T) {
	fl := startFleet(t)
	first, second := fl.configure()
	convey.Convey("Two owners change the configuration during a handover", t, func() {
		output, code := second.ctl("SET CLASS early OF yardline URGENT PATHS /early")
		convey.So(code, convey.ShouldEqual, cmd.ExitFailed)
		convey.So(output, convey.ShouldContainSubstring, "glenrug holds the say")

		var racing sync.WaitGroup
		codes := make([]int, 2)
		for i, ow := range []*owner{first, second} {
			racing.Go(func() {
				_, codes[i] = ow.ctl("SET CLASS race" + ow.name + " OF yardline URGENT PATHS /race" + ow.name)
			})
		}
		handover, handed := first.ctl("HAND SAY TO zhuldyz")
		racing.Wait()
		convey.So(handover, convey.ShouldContainSubstring, "accepted")
		convey.So(handed, convey.ShouldEqual, cmd.ExitOK)

		output, code = first.ctl("SET CLASS late OF yardline URGENT PATHS /late")
		convey.So(code, convey.ShouldEqual, cmd.ExitFailed)
		convey.So(output, convey.ShouldContainSubstring, "zhuldyz holds the say")

		services, code := first.ctl("EXPLAIN SERVICE yardline")
		convey.So(code, convey.ShouldEqual, cmd.ExitOK)
		for i, ow := range []*owner{first, second} {
			present := strings.Contains(services, "race"+ow.name)
			convey.So(present, convey.ShouldEqual, codes[i] == cmd.ExitOK)
		}
		convey.So(services, convey.ShouldNotContainSubstring, "late")
	})
}

// TestConsoleExplainsFlowsAndSuspicions checks EXPLAIN FLOW and SHOW SUSPICIONS against
// running balancers.
func TestConsoleExplainsFlowsAndSuspicions(t *testing.T) {
	fl := startFleet(t)
	first, _ := fl.configure()
	convey.Convey("The console names the owner and host of a flow and lists suspicions", t, func() {
		// A balancer that has just started may answer before it has the configuration or
		// knows any host.
		output, code := "", 0
		for range 200 {
			output, code = first.ctl("EXPLAIN FLOW FROM 198.51.100.7:4000 TO " + fl.Fabric.Services[0].String())
			convey.So(code, convey.ShouldEqual, cmd.ExitOK)
			if strings.Contains(output, "Chosen") {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		convey.So(output, convey.ShouldContainSubstring, "  Owner ")
		convey.So(output, convey.ShouldContainSubstring, "Chosen")
		convey.So(output, convey.ShouldContainSubstring, fl.Fabric.Answers.Addr().String())
		for _, ba := range fl.Balancers {
			an := fl.explain(ba.Metrics, "198.51.100.7:4000", fl.Fabric.Services[0])
			convey.So(an.Service, convey.ShouldEqual, "yardline")
			convey.So(output, convey.ShouldContainSubstring, "sent to "+an.Choice.String()+"\n")
		}
		output, code = first.ctl("SHOW SUSPICIONS")
		convey.So(code, convey.ShouldEqual, cmd.ExitOK)
		convey.So(output, convey.ShouldContainSubstring, "suspects nobody")
	})
}

// explain runs the explain command against a balancer until the answer has a host and
// no problem, and returns it. The balancer may not have the configuration yet.
func (fl *fleet) explain(balancer netip.AddrPort, caller string, address netip.AddrPort) explanation.Answer {
	fl.tb.Helper()
	var an explanation.Answer
	var output []byte
	for range 200 {
		co := exec.Command(binary, "explain", "--json", "--balancer", balancer.String(), "--caller", caller, "--address", address.String())
		var err error
		if output, err = co.Output(); err == nil {
			if err := json.Unmarshal(output, &an); err != nil {
				fl.tb.Fatal(err)
			}
			if an.Choice != nil {
				return an
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	fl.tb.Fatalf("balancer %s doesn't explain the flow: %s", balancer, output)
	return an
}

// TestServiceContinuesWhilePlatformIsSuspended checks that requests are answered
// without the platform's store, and that a change which can't be written is not
// reported as accepted.
func TestServiceContinuesWhilePlatformIsSuspended(t *testing.T) {
	fl := startFleet(t)
	first, _ := fl.configure()
	convey.Convey("While the platform is suspended callers are answered, and no change is reported as accepted", t, func() {
		fl.signal("platform", syscall.SIGSTOP)
		_, code := fl.call(0, "-n", "50", "/status")
		convey.So(code, convey.ShouldEqual, cmd.ExitOK)
		output, code := first.ctl("SET CLASS frozen OF yardline URGENT PATHS /frozen")
		convey.So(code, convey.ShouldNotEqual, cmd.ExitOK)
		convey.So(output, convey.ShouldNotContainSubstring, "accepted")
		fl.signal("platform", syscall.SIGCONT)
		output, code = first.ctl("SET CLASS thawed OF yardline URGENT PATHS /thawed")
		convey.So(output, convey.ShouldContainSubstring, "accepted")
		convey.So(code, convey.ShouldEqual, cmd.ExitOK)
	})
}

// TestSuspendedAgentKeepsItsFlows checks that a brief suspension of an agent doesn't end
// its flows.
func TestSuspendedAgentKeepsItsFlows(t *testing.T) {
	fl := startFleet(t)
	convey.Convey("A flow stays open while its agent is briefly suspended and resumed", t, func() {
		ca, ended := fl.openCaller(0)
		an, err := status(ca)
		convey.So(err, convey.ShouldBeNil)
		name := fl.agentOf(an)
		fl.signal(name, syscall.SIGSTOP)
		answered := make(chan error, 1)
		go func() {
			_, err := status(ca)
			answered <- err
		}()
		fl.signal(name, syscall.SIGCONT)
		convey.So(<-answered, convey.ShouldBeNil)
		convey.So(ended, convey.ShouldBeEmpty)
	})
}
