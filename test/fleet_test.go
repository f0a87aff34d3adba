// Package test holds end-to-end tests: they run all balancers, agents and stand-ins
// as separate processes on loopback and cause failures in them.
package test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"corneltiller.dev/corneltiller/internal/standin/trial"
	"corneltiller.dev/corneltiller/internal/transport/keys"
)

// startTimeout bounds the wait for a service's first answer, and each run of the call
// command.
const startTimeout = 20 * time.Second

// fleet is a trial fleet of running processes.
type fleet struct {
	*trial.Fleet
	tb    testing.TB
	paths keys.Paths
	// processes holds the running processes by name.
	processes map[string]*exec.Cmd
	// arguments holds the command line of each process by name.
	arguments map[string][]string
}

// binary is built once for all tests of the package.
var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "corneltiller")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "corneltiller")
	if output, err := exec.Command("go", "build", "-o", binary, "..").CombinedOutput(); err != nil {
		panic(string(output))
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// startFleet starts every process and waits until each service answers a request.
func startFleet(tb testing.TB) *fleet {
	tb.Helper()
	folder := tb.TempDir()
	paths, err := keys.Generate(filepath.Join(folder, "keys"), time.Now())
	if err != nil {
		tb.Fatal(err)
	}
	fl := &fleet{
		Fleet:     trial.New(loopback(), paths),
		tb:        tb,
		paths:     paths,
		processes: make(map[string]*exec.Cmd),
		arguments: make(map[string][]string),
	}
	processes, err := fl.Write(folder)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(fl.stopAll)
	for _, pr := range processes {
		fl.arguments[pr.Name] = pr.Arguments
		fl.start(pr.Name)
	}
	for i := range fl.Fabric.Services {
		fl.awaitAnswer(i)
	}
	return fl
}

// loopback returns an address derived from the process ID, so that concurrent test
// processes use different ones.
func loopback() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(20 + pid%200), byte(pid / 200 % 250), 1})
}

// start starts a process with the arguments of its first start.
func (fl *fleet) start(name string) {
	fl.tb.Helper()
	co := exec.Command(binary, fl.arguments[name]...)
	co.Stderr = &logWriter{tb: fl.tb, name: name}
	if err := co.Start(); err != nil {
		fl.tb.Fatal(err)
	}
	fl.processes[name] = co
}

// signal sends a signal to a process.
func (fl *fleet) signal(name string, sig os.Signal) {
	fl.tb.Helper()
	if err := fl.processes[name].Process.Signal(sig); err != nil {
		fl.tb.Fatal(err)
	}
}

// wait waits for a process to end and returns its error.
func (fl *fleet) wait(name string) error {
	co := fl.processes[name]
	delete(fl.processes, name)
	return co.Wait()
}

// stopAll kills all processes and waits until they have ended.
func (fl *fleet) stopAll() {
	for _, co := range fl.processes {
		co.Process.Kill()
	}
	for _, co := range fl.processes {
		co.Wait()
	}
}

// call runs the call command against a service and returns its output and exit code.
func (fl *fleet) call(service int, arguments ...string) (string, int) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	all := append([]string{"call", "--service", fl.Fabric.Services[service].String(), "--authority", fl.paths.Authority}, arguments...)
	co := exec.CommandContext(ctx, binary, all...)
	var output bytes.Buffer
	co.Stdout = &output
	co.Stderr = &output
	_ = co.Run()
	return output.String(), co.ProcessState.ExitCode()
}

// awaitAnswer calls the service until a call succeeds; after startTimeout it fails
// the test.
func (fl *fleet) awaitAnswer(service int) {
	fl.tb.Helper()
	deadline := time.Now().Add(startTimeout)
	for {
		output, code := fl.call(service, "--within", "1s", "/status")
		if code == 0 {
			return
		}
		if time.Now().After(deadline) {
			fl.tb.Fatalf("service %d doesn't answer: %s", service, output)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// logWriter writes a process's standard error to the log of the test.
type logWriter struct {
	tb   testing.TB
	name string
}

func (lw *logWriter) Write(text []byte) (int, error) {
	lw.tb.Logf("%s: %s", lw.name, bytes.TrimSpace(text))
	return len(text), nil
}

func decode[T any](tb testing.TB, text string) T {
	tb.Helper()
	var value T
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		tb.Fatalf("decode %q: %v", text, err)
	}
	return value
}
