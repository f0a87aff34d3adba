package test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
)

const (
	benchFlows         = 700
	bytesPerKilobyte   = 1024
	maxConcurrentOpens = 16
)

// residentBytes returns the resident set size of a process in bytes.
func (fl *fleet) residentBytes(name string) int {
	fl.tb.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", fl.processes[name].Process.Pid))
	if err != nil {
		fl.tb.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == "VmRSS:" {
			kilobytes, err := strconv.Atoi(fields[1])
			if err != nil {
				fl.tb.Fatal(err)
			}
			return kilobytes * bytesPerKilobyte
		}
	}
	fl.tb.Fatal("no VmRSS line")
	return 0
}

// residentOf sums the resident set sizes of the first count processes of a role, in
// bytes.
func (fl *fleet) residentOf(role string, count int) int {
	total := 0
	for i := range count {
		total += fl.residentBytes(fmt.Sprintf("%s-%d", role, i))
	}
	return total
}

// BenchmarkResidentBytesPerFlow opens flows to the service yardline and reports by how
// many bytes per flow the resident memory of its agents and of the balancers grows.
func BenchmarkResidentBytesPerFlow(b *testing.B) {
	fl := startFleet(b)
	// The last three agents serve ledgerwash.
	agents := len(fl.Agents) - 3
	before, balancersBefore := fl.residentOf("agent", agents), fl.residentOf("balancer", len(fl.Balancers))
	for b.Loop() {
		fl.openFlows(benchFlows)
	}
	flows := float64(benchFlows * b.N)
	b.ReportMetric(float64(fl.residentOf("agent", agents)-before)/flows, "agent-bytes/flow")
	b.ReportMetric(float64(fl.residentOf("balancer", len(fl.Balancers))-balancersBefore)/flows, "balancer-bytes/flow")
}

// openFlows opens flows to the first service with one request each.
func (fl *fleet) openFlows(count int) {
	slots := make(chan struct{}, maxConcurrentOpens)
	var pending sync.WaitGroup
	for range count {
		ca, _ := fl.openCaller(0)
		slots <- struct{}{}
		pending.Go(func() {
			defer func() { <-slots }()
			if _, err := status(ca); err != nil {
				fl.tb.Error(err)
			}
		})
	}
	pending.Wait()
}
