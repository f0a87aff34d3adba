package explanation

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// column is a column of the table of hosts.
type column struct {
	title string
	cell  func(ho *Host) string
}

// columns are the columns in their order. Those without any value are left out.
var columns = []column{
	{"HOST", func(ho *Host) string { return ho.Address.String() }},
	{"DOMAIN", func(ho *Host) string { return ho.Domain }},
	{"SERVICE", func(ho *Host) string { return ho.Service }},
	{"STATE", func(ho *Host) string { return ho.State }},
	{"ROLE", func(ho *Host) string { return ho.Role }},
	{"INCARNATION", func(ho *Host) string { return number(ho.Incarnation) }},
	{"WEIGHT", func(ho *Host) string { return value(ho.Weight, "%d%%") }},
	{"LOAD", func(ho *Host) string { return value(ho.Load, "%d%%") }},
	{"REPORT AGE", func(ho *Host) string { return value(ho.ReportAgeMilliseconds, "%.0fms") }},
	{"IN PROGRESS", func(ho *Host) string { return value(ho.InProgress, "%.1f") }},
	{"SLOTS", func(ho *Host) string { return value(ho.Slots, "%d") }},
	{"SERVICE TIME", func(ho *Host) string { return value(ho.ServiceTimeMilliseconds, "%.0fms") }},
	{"SLOWNESS", func(ho *Host) string { return value(ho.Slowness, "%.2f") }},
	{"REMAINING", func(ho *Host) string { return value(ho.RemainingMilliseconds, "%.0fms") }},
	{"MEAN COST", func(ho *Host) string { return value(ho.MeanCostMilliseconds, "%.0fms") }},
	{"ESTIMATED LOAD", func(ho *Host) string { return value(ho.EstimatedLoad, "%.2f") }},
	{"RELATIVE COST", func(ho *Host) string { return value(ho.RelativeCost, "%.2f") }},
	{"CANDIDATE", func(ho *Host) string { return value(ho.Candidate, "%t") }},
	{"COST", func(ho *Host) string { return value(ho.Cost, "%.3f") }},
	{"REASON", func(ho *Host) string { return ho.Reason }},
}

// value formats a value, "" if it is missing.
func value[T any](pointer *T, format string) string {
	if pointer == nil {
		return ""
	}
	return fmt.Sprintf(format, *pointer)
}

// number formats a number, "" if it is zero.
func number(n uint64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatUint(n, 10)
}

// WriteText writes the answer for people: what becomes of the flow, and a table of the
// hosts. The problem isn't part of it.
func (an *Answer) WriteText(wr io.Writer) {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	line := func(title, text string) {
		if text != "" {
			fmt.Fprintf(tw, "%s\t%s\n", title, text)
		}
	}
	line("Flow", fmt.Sprintf("%s to %s", an.Caller, an.Address))
	line("Balancer", joinTexts(an.Balancer, prefixed("domain ", an.Domain)))
	line("Configuration", joinTexts(prefixed("version ", an.Version), value(an.ConfirmedMilliseconds, "confirmed %.0fms ago")))
	line("Service", joinTexts(an.Service, an.ServiceReason))
	line("Median service time", value(an.MedianServiceTimeMilliseconds, "%.0fms"))
	line("Ranked by", joinTexts(string(an.RankedBy), value(an.MeanCostMilliseconds, "mean cost %.0fms")))
	line("Chain", an.Chain.text())
	line("Outcome", an.outcomeText())
	_ = tw.Flush()
	an.writeHosts(wr)
	if an.OtherHosts > 0 {
		fmt.Fprintf(wr, "%d more hosts that are passed over are left out\n", an.OtherHosts)
	}
}

// text returns the chain as text, "" if it is nil.
func (ch *Chain) text() string {
	if ch == nil {
		return ""
	}
	text := fmt.Sprintf("bucket %d, %d hosts may own it", ch.Bucket, ch.Hosts)
	if ch.Fresh {
		text += ", the hosts' former weights and states aren't known"
	}
	if !ch.NextChange.IsZero() {
		text += ", may become shorter at " + ch.NextChange.UTC().Format(time.RFC3339)
	}
	return text
}

// outcomeText returns the outcome as text.
func (an *Answer) outcomeText() string {
	text := strings.ToLower(string(an.Outcome))
	if an.Choice != nil {
		text += " to " + an.Choice.String()
	}
	return joinTexts(text, prefixed("mode ", an.Mode), an.Reason)
}

// writeHosts writes the table of the hosts.
func (an *Answer) writeHosts(wr io.Writer) {
	if len(an.Hosts) == 0 {
		return
	}
	used := an.usedColumns()
	fmt.Fprintln(wr)
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	for i, co := range used {
		fmt.Fprint(tw, co.title, separator(i, len(used)))
	}
	for at := range an.Hosts {
		for i, co := range used {
			cell := co.cell(&an.Hosts[at])
			if cell == "" {
				cell = "-"
			}
			fmt.Fprint(tw, cell, separator(i, len(used)))
		}
	}
	_ = tw.Flush()
}

// usedColumns returns the columns that have a value for any host.
func (an *Answer) usedColumns() []column {
	var used []column
	for _, co := range columns {
		for i := range an.Hosts {
			if co.cell(&an.Hosts[i]) != "" {
				used = append(used, co)
				break
			}
		}
	}
	return used
}

// separator returns what follows the i-th of count cells.
func separator(i, count int) string {
	if i == count-1 {
		return "\n"
	}
	return "\t"
}

// joinTexts joins the texts that aren't empty.
func joinTexts(texts ...string) string {
	var list []string
	for _, text := range texts {
		if text != "" {
			list = append(list, text)
		}
	}
	return strings.Join(list, ", ")
}

// prefixed returns the text behind a prefix, "" if the text is empty.
func prefixed(prefix, text string) string {
	if text == "" {
		return ""
	}
	return prefix + text
}
