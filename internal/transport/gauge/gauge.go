// Package gauge holds the metrics of a process and serves them over HTTP: as JSON
// at /Metrics and in the Prometheus text format at /metrics. It also serves the
// readiness of the process at /Ready, and what Handle adds.
//
// Histograms hold milliseconds. There is one for each label, such as a service or
// a traffic class.
//
// # Usage
//
//	rg := gauge.NewRegistry()
//	rg.Count("PacketsRefused", 1)
//	rg.Observe("RequestMilliseconds", "Urgent", elapsed)
//	http.ListenAndServe(address, rg)
package gauge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// The size and the decay factor of the sample that a histogram keeps. They favor
// values of the last five minutes.
const (
	reservoirSize = 1028
	decayFactor   = 0.015
)

// quantiles are the quantiles that the text format has for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Registry holds the metrics and the readiness of one process. It is safe for
// concurrent use.
type Registry struct {
	registry metrics.Registry
	ready    atomic.Bool
	// handlers serve further paths of the address.
	handlers sync.Map
}

// NewRegistry returns a registry without metrics whose process isn't ready.
func NewRegistry() *Registry {
	return &Registry{registry: metrics.NewRegistry()}
}

// Counts returns the counters that aren't zero and whose names begin with the
// prefix, as sorted texts of the form name=count.
func (rg *Registry) Counts(prefix string) []string {
	var list []string
	rg.registry.Each(func(name string, metric any) {
		if co, ok := metric.(metrics.Counter); ok && strings.HasPrefix(name, prefix) && co.Count() != 0 {
			list = append(list, fmt.Sprintf("%s=%d", name, co.Count()))
		}
	})
	slices.Sort(list)
	return list
}

// SetReady sets whether the process takes new work.
func (rg *Registry) SetReady(ready bool) {
	rg.ready.Store(ready)
}

// Ready reports whether the process takes new work.
func (rg *Registry) Ready() bool {
	return rg.ready.Load()
}

// Counter returns the counter of that name, creating it if needed. Hot paths keep
// it to save the lookup of Count.
func (rg *Registry) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, rg.registry)
}

// Count adds to the counter of that name.
func (rg *Registry) Count(name string, delta int64) {
	rg.Counter(name).Inc(delta)
}

// Set sets the gauge of that name.
func (rg *Registry) Set(name string, value int64) {
	metrics.GetOrRegisterGauge(name, rg.registry).Update(value)
}

// Observe adds a duration, in whole milliseconds, to the histogram of that name
// and label.
func (rg *Registry) Observe(name, label string, elapsed time.Duration) {
	hi := rg.registry.GetOrRegister(name+"."+label, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayFactor))
	}).(metrics.Histogram)
	hi.Update(elapsed.Milliseconds())
}

// Handle serves a further path, such as /Explain, beside the metrics.
func (rg *Registry) Handle(path string, ha http.Handler) {
	rg.handlers.Store(path, ha)
}

// ServeHTTP serves the metrics and the readiness. /Ready answers with status 503
// while the process isn't ready.
func (rg *Registry) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	switch re.URL.Path {
	case "/Ready":
		rg.serveReady(wr)
	case "/Metrics":
		wr.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(rg.registry, wr)
	case "/metrics":
		wr.Header().Set("Content-Type", "text/plain; version=0.0.4")
		rg.writeText(wr)
	default:
		if ha, ok := rg.handlers.Load(re.URL.Path); ok {
			ha.(http.Handler).ServeHTTP(wr, re)
			return
		}
		http.NotFound(wr, re)
	}
}

func (rg *Registry) serveReady(wr http.ResponseWriter) {
	if !rg.Ready() {
		wr.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(wr, "Stopping")
		return
	}
	fmt.Fprintln(wr, "Ready")
}

// textLine is one line of the text format with the name of its metric.
type textLine struct {
	name string
	text string
}

func (rg *Registry) writeText(wr http.ResponseWriter) {
	var lines []textLine
	rg.registry.Each(func(name string, metric any) {
		lines = append(lines, textLines(name, metric)...)
	})
	slices.SortStableFunc(lines, func(a, b textLine) int { return strings.Compare(a.name, b.name) })
	for _, li := range lines {
		fmt.Fprintln(wr, li.text)
	}
}

func textLines(name string, metric any) []textLine {
	base, label, _ := strings.Cut(name, ".")
	base = "corneltiller_" + base
	switch me := metric.(type) {
	case metrics.Counter:
		return []textLine{{name, fmt.Sprintf("%s_total%s %d", base, labels(label, ""), me.Count())}}
	case metrics.Gauge:
		return []textLine{{name, fmt.Sprintf("%s%s %d", base, labels(label, ""), me.Value())}}
	case metrics.Histogram:
		return histogramLines(name, base, label, me.Snapshot())
	default:
		return nil
	}
}

func histogramLines(name, base, label string, hi metrics.Histogram) []textLine {
	var lines []textLine
	for i, value := range hi.Percentiles(quantiles) {
		quantile := fmt.Sprintf("quantile=%q", fmt.Sprint(quantiles[i]))
		lines = append(lines, textLine{name, fmt.Sprintf("%s%s %g", base, labels(label, quantile), value)})
	}
	lines = append(lines, textLine{name, fmt.Sprintf("%s_sum%s %d", base, labels(label, ""), hi.Sum())})
	return append(lines, textLine{name, fmt.Sprintf("%s_count%s %d", base, labels(label, ""), hi.Count())})
}

// labels returns the labels of a sample in braces, "" if there are none.
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
