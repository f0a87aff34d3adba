package catalog

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// randomLifetime is the longest time that a flow lasts in the random test of coverage.
const randomLifetime = time.Minute

var randomAddress = netip.MustParseAddrPort("198.18.0.1:443")

// writtenVersion is a version of the configuration in the store. The service is "" if it has
// no route for the address.
type writtenVersion struct {
	number  uint64
	service string
	// replacedAt is when the next version was written, zero before.
	replacedAt time.Time
}

// coverageReader is a process that reads the configuration from the store or gets it from
// others.
type coverageReader struct {
	former *FormerServices
	routes *Routes
	// chain is the coverage of what it has read without skipping a version, and next the index
	// of the first version that it hasn't read.
	chain Coverage
	next  int
}

// coverageModel is a store with its history and processes that follow it in all ways.
type coverageModel struct {
	now     time.Time
	written []writtenVersion
	readers []*coverageReader
}

func (cm *coverageModel) routesOf(index int) *Routes {
	ve := cm.written[index]
	ro := &Routes{Version: ve.number, Addresses: make(map[netip.AddrPort]Route)}
	if ve.service != "" {
		ro.Addresses[randomAddress] = Route{Services: WeightedServices{{Service: ve.service, Weight: 1}}}
	}
	return ro
}

func (cm *coverageModel) write(rt *rapid.T) {
	last := &cm.written[len(cm.written)-1]
	last.replacedAt = cm.now
	number := last.number + uint64(rapid.IntRange(1, 3).Draw(rt, "increment"))
	service := rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(rt, "service")
	cm.written = append(cm.written, writtenVersion{number: number, service: service})
}

// put puts routes in force at the reader as a process does.
func (cm *coverageModel) put(cr *coverageReader, ro *Routes) {
	switch {
	case cr.routes == nil:
		cr.routes = cr.former.Succeed(cm.now, nil, ro)
	case ro.Version > cr.routes.Version:
		cr.routes = cr.former.Succeed(cm.now, cr.routes, ro)
	case !cr.routes.Covers(cm.now, ro):
		cr.routes = cr.former.Succeed(cm.now, ro, cr.routes)
	}
}

// list reads the newest version.
func (cm *coverageModel) list(cr *coverageReader) {
	newest := len(cm.written) - 1
	cr.chain = cr.former.Begin(cm.now, cm.written[newest].number)
	cr.next = newest + 1
	cm.put(cr, cm.routesOf(newest).WithCoverage(cr.chain))
}

// watch reads the versions since the last read.
func (cm *coverageModel) watch(cr *coverageReader) {
	if cr.next == 0 {
		cm.list(cr)
		return
	}
	for ; cr.next < len(cm.written); cr.next++ {
		cm.put(cr, cm.routesOf(cr.next).WithCoverage(cr.chain))
	}
}

// send sends the routes in force from one reader to another.
func (cm *coverageModel) send(from, to *coverageReader) {
	if from.routes != nil {
		cm.put(to, from.routes.WithCoverage(Coverage{From: from.routes.From}))
	}
}

// missing returns a service at whose hosts flows of the address may be open under the
// reader's version or an older one, and which its routes don't name.
func (cm *coverageModel) missing(cr *coverageReader) string {
	if cr.routes == nil || !cr.routes.IsComplete(cm.now) {
		return ""
	}
	for _, ve := range slices.Backward(cm.written) {
		if ve.number > cr.routes.Version {
			continue
		}
		ended := !ve.replacedAt.IsZero() && cm.now.Sub(ve.replacedAt) >= randomLifetime
		if ve.service == "" || ended {
			return ""
		}
		if !cr.routes.Addresses[randomAddress].Services.Names(ve.service) {
			return ve.service
		}
	}
	return ""
}

// Processes that read the store after pauses, and send each other what they have, must never
// take their former services for all while flows at others may be open.
func TestCompleteRoutesNameAllServices(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cm := &coverageModel{
			now:     time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC),
			written: []writtenVersion{{number: 1, service: "a"}},
		}
		for range 3 {
			cm.readers = append(cm.readers, &coverageReader{former: NewFormerServices(randomLifetime)})
		}
		reader := func(label string) int { return rapid.IntRange(0, len(cm.readers)-1).Draw(rt, label) }
		rt.Repeat(map[string]func(*rapid.T){
			"write": cm.write,
			"list":  func(*rapid.T) { cm.list(cm.readers[reader("reader")]) },
			"watch": func(*rapid.T) { cm.watch(cm.readers[reader("reader")]) },
			"send":  func(*rapid.T) { cm.send(cm.readers[reader("from")], cm.readers[reader("to")]) },
			"restart": func(*rapid.T) {
				cm.readers[reader("reader")] = &coverageReader{former: NewFormerServices(randomLifetime)}
			},
			"wait": func(rt *rapid.T) {
				cm.now = cm.now.Add(time.Duration(rapid.IntRange(1, 70_000).Draw(rt, "milliseconds")) * time.Millisecond)
			},
			"": func(rt *rapid.T) {
				for i, cr := range cm.readers {
					if service := cm.missing(cr); service != "" {
						rt.Fatalf("reader %d has version %d for complete without %s", i, cr.routes.Version, service)
					}
				}
			},
		})
	})
}
