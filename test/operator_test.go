package test

import (
	"bytes"
	"context"
	"encoding/json"
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
)

// owner is one operator with a console of its own.
type owner struct {
	fleet    *fleet
	name     string
	settings string
	// public is the clause that names the owner's public key.
	public string
}

// newOwner writes the owner's key and settings.
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
	ow.public = "OWNER " + name + ` KEY "` + strings.TrimSpace(string(key)) + `"`
	data, err := json.Marshal(st)
	if err != nil {
		fl.tb.Fatal(err)
	}
	if err := os.WriteFile(ow.settings, data, 0o600); err != nil {
		fl.tb.Fatal(err)
	}
	return ow
}

// ctl runs a statement and returns the output and the exit code.
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

// configure writes a first configuration with both owners.
func (fl *fleet) configure() (*owner, *owner) {
	fl.tb.Helper()
	first, second := fl.newOwner("glenrug"), fl.newOwner("zhuldyz")
	hosts := fl.Fabric.Answers.Addr().String()
	statements := []string{
		"INITIALIZE " + first.public,
		"CREATE " + second.public,
		"CREATE SERVICE yardline FOR FIRM Glenrug ADDRESS " + fl.Fabric.Services[0].String() + " HOSTS " + hosts,
	}
	for _, statement := range statements {
		if output, code := first.ctl(statement); code != cmd.ExitOK {
			fl.tb.Fatalf("%s: exit code %d: %s", statement, code, output)
		}
	}
	return first, second
}

func TestOperatorsRaceAcrossTheHandover(t *testing.T) {
	fl := startFleet(t)
	first, second := fl.configure()
	convey.Convey("Owners at their own consoles", t, func() {
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

func TestOperatorsAskWhyAFlowGoesWhere(t *testing.T) {
	fl := startFleet(t)
	first, _ := fl.configure()
	convey.Convey("The console explains a flow and tells suspicions", t, func() {
		// The balancer that answers may have started a moment ago and know no host.
		output, code := "", 0
		for range 200 {
			output, code = first.ctl("EXPLAIN FLOW FROM 198.51.100.7:4000 TO " + fl.Fabric.Services[0].String())
			convey.So(code, convey.ShouldEqual, cmd.ExitOK)
			if !strings.Contains(output, "Hosts=0") {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		convey.So(output, convey.ShouldContainSubstring, "Role=Owner")
		convey.So(output, convey.ShouldContainSubstring, fl.Fabric.Answers.Addr().String())
		output, code = first.ctl("SHOW SUSPICIONS")
		convey.So(code, convey.ShouldEqual, cmd.ExitOK)
		convey.So(output, convey.ShouldContainSubstring, "suspects nobody")
	})
}

func TestServiceGoesOnWhileThePlatformIsFrozen(t *testing.T) {
	fl := startFleet(t)
	first, _ := fl.configure()
	convey.Convey("While the platform is frozen callers are answered, and no change is called accepted", t, func() {
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

func TestFrozenAgentKeepsItsFlows(t *testing.T) {
	fl := startFleet(t)
	convey.Convey("A flow goes on after its agent was frozen for a moment and resumed", t, func() {
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
