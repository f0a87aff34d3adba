package cmd

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// hangupRole names the role that a child process of TestHangupDuringAPlannedStop runs.
const hangupRole = "CORNELTILLER_TEST_HANGUP_ROLE"

// stopSlowly is a role whose planned stop lasts until its standard input ends.
func stopSlowly(ctx context.Context) error {
	fmt.Println("running")
	<-ctx.Done()
	fmt.Println("stopping")
	_, err := bufio.NewReader(os.Stdin).ReadByte()
	fmt.Println("stopped:", err)
	return nil
}

// runHangupRole runs the role in the child process.
func runHangupRole(t *testing.T, role string) {
	ctx, stop := signalContext()
	defer stop()
	ru := &run{Context: ctx}
	co := platformRoleCommand("slow", "Stop slowly", func(ctx context.Context, _ string) error { return stopSlowly(ctx) })
	if role == "own" {
		co = roleCommand("slow", "Stop slowly", "", struct{}{}, func(ru *run, _ struct{}) error {
			return stopSlowly(ru)
		})
		co.options.(*settingsOptions).Settings = filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(co.options.(*settingsOptions).Settings, []byte("{}"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := co.action(ru, nil); err != nil {
		t.Fatal(err)
	}
}

// A SIGHUP in its planned stop ended a process at once, with requests in progress.
func TestHangupDuringAPlannedStop(t *testing.T) {
	if role := os.Getenv(hangupRole); role != "" {
		runHangupRole(t, role)
		return
	}
	for _, role := range []string{"platform", "own"} {
		Convey("A role goes on at SIGHUP before its planned stop and within it: "+role, t, func() {
			child := exec.Command(os.Args[0], "-test.run", "^TestHangupDuringAPlannedStop$")
			child.Env = append(os.Environ(), hangupRole+"="+role)
			input, err := child.StdinPipe()
			So(err, ShouldBeNil)
			output, err := child.StdoutPipe()
			So(err, ShouldBeNil)
			So(child.Start(), ShouldBeNil)
			lines := bufio.NewScanner(output)
			next := func() string {
				if !lines.Scan() {
					return "the process has ended"
				}
				return lines.Text()
			}
			So(next(), ShouldEqual, "running")
			So(child.Process.Signal(syscall.SIGHUP), ShouldBeNil)
			So(child.Process.Signal(syscall.SIGTERM), ShouldBeNil)
			So(next(), ShouldEqual, "stopping")
			So(child.Process.Signal(syscall.SIGHUP), ShouldBeNil)
			So(input.Close(), ShouldBeNil)
			So(next(), ShouldEqual, "stopped: EOF")
			for lines.Scan() {
			}
			So(child.Wait(), ShouldBeNil)
		})
	}
}
