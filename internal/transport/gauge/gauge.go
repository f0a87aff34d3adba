// Package gauge keeps a process's metrics and serves them over HTTP: as JSON
// under /Metrics, in the text form of common scrapers under /metrics, and the
// process's readiness under /Ready.
//
// Histograms are kept for each label, such as a tenant firm or a traffic
// class, in milliseconds.
//
// # Usage
//
//	bo := gauge.NewBoard()
//	bo.Count("DatagramsRefused", 1)
//	bo.Observe("RequestMilliseconds", "Urgent", elapsed)
//	http.ListenAndServe(address, bo)
package gauge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	reservoirSize = 1028
	decayFactor   = 0.015
)

// quantiles are those that the text form gives for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Registry holds the metrics of one process. It is safe for concurrent use.
type Registry struct {
	registry metrics.Registry
	ready    atomic.Bool
}

// NewRegistry returns a board without metrics that isn't ready.
func NewRegistry() *Registry {
	return &Registry{registry: metrics.NewRegistry()}
}

// Counts returns the counters that aren't zero and whose names begin with the
// prefix, as name=count in order of the names.
func (bo *Registry) Counts(prefix string) []string {
	var list []string
	bo.registry.Each(func(name string, metric any) {
		if co, ok := metric.(metrics.Counter); ok && strings.HasPrefix(name, prefix) && co.Count() != 0 {
			list = append(list, fmt.Sprintf("%s=%d", name, co.Count()))
		}
	})
	slices.Sort(list)
	return list
}

// SetReady sets whether the process takes new work.
func (bo *Registry) SetReady(ready bool) {
	bo.ready.Store(ready)
}

// Ready reports whether the process takes new work.
func (bo *Registry) Ready() bool {
	return bo.ready.Load()
}

// Counter returns the counter of that name, for hot paths.
func (bo *Registry) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, bo.registry)
}

// Count adds to the counter of that name.
func (bo *Registry) Count(name string, delta int64) {
	bo.Counter(name).Inc(delta)
}

// Set sets the gauge of that name.
func (bo *Registry) Set(name string, value int64) {
	metrics.GetOrRegisterGauge(name, bo.registry).Update(value)
}

// Observe adds a duration to the histogram of that name and label.
func (bo *Registry) Observe(name, label string, elapsed time.Duration) {
	hi := bo.registry.GetOrRegister(name+"."+label, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayFactor))
	}).(metrics.Histogram)
	hi.Update(elapsed.Milliseconds())
}

// ServeHTTP serves the metrics and the readiness.
func (bo *Registry) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	switch re.URL.Path {
	case "/Ready":
		bo.serveReady(wr)
	case "/Metrics":
		wr.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(bo.registry, wr)
	case "/metrics":
		wr.Header().Set("Content-Type", "text/plain; version=0.0.4")
		bo.writeText(wr)
	default:
		http.NotFound(wr, re)
	}
}

func (bo *Registry) serveReady(wr http.ResponseWriter) {
	if !bo.Ready() {
		wr.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(wr, "Stopping")
		return
	}
	fmt.Fprintln(wr, "Ready")
}

// line is one sample of the text form.
type line struct {
	name string
	text string
}

func (bo *Registry) writeText(wr http.ResponseWriter) {
	var lines []line
	bo.registry.Each(func(name string, metric any) {
		lines = append(lines, textLines(name, metric)...)
	})
	slices.SortStableFunc(lines, func(a, b line) int { return strings.Compare(a.name, b.name) })
	for _, li := range lines {
		fmt.Fprintln(wr, li.text)
	}
}

func textLines(name string, metric any) []line {
	base, label, _ := strings.Cut(name, ".")
	base = "corneltiller_" + base
	switch me := metric.(type) {
	case metrics.Counter:
		return []line{{name, fmt.Sprintf("%s_total%s %d", base, labels(label, ""), me.Count())}}
	case metrics.Gauge:
		return []line{{name, fmt.Sprintf("%s%s %d", base, labels(label, ""), me.Value())}}
	case metrics.Histogram:
		return histogramLines(name, base, label, me.Snapshot())
	default:
		return nil
	}
}

func histogramLines(name, base, label string, hi metrics.Histogram) []line {
	var lines []line
	for i, value := range hi.Percentiles(quantiles) {
		quantile := fmt.Sprintf("quantile=%q", fmt.Sprint(quantiles[i]))
		lines = append(lines, line{name, fmt.Sprintf("%s%s %g", base, labels(label, quantile), value)})
	}
	lines = append(lines, line{name, fmt.Sprintf("%s_sum%s %d", base, labels(label, ""), hi.Sum())})
	return append(lines, line{name, fmt.Sprintf("%s_count%s %d", base, labels(label, ""), hi.Count())})
}

func labels(label, extra string) string {
	parts := []string{}
	if label != "" {
		parts = append(parts, fmt.Sprintf("label=%q", label))
	}
	if extra != "" {
		parts = append(parts, extra)
	}
	if len(parts) == 0 {
		return ""
	}
	return "{" + strings.Join(parts, ",") + "}"
}
