package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// The markers around the generated part of the page.
const (
	BeginMarker = "<!-- begin: measured by corneltiller capacity -->"
	EndMarker   = "<!-- end -->"
)

// The limits that the target sets. Those on processor time (as a share of one
// core), memory and control traffic hold for each balancer and agent. Those on the
// time until a change is in force and on store calls hold for the whole fleet.
const (
	limitProcessorShare      = 0.03
	limitMemoryBytes         = 128e6
	limitBytesPerSecond      = 2048
	limitInForceSeconds      = 19
	limitStoreCallsPerSecond = 2000
	// limitBytesPerChange is the number of bytes that limitBytesPerSecond allows a
	// balancer to send in the mean time between two changes.
	limitBytesPerChange = limitBytesPerSecond * 86400 / TargetChangesPerDay
)

// Page returns the generated part of docs/CAPACITY.md.
func Page(slopes []Slope) string {
	var page strings.Builder
	page.WriteString("\n## At the target, by role\n\n")
	page.WriteString("| role | what | at the target | limit | carried by | breaks first |\n|---|---|---|---|---|---|\n")
	for _, sr := range summaryRows() {
		fmt.Fprintf(&page, "| %s | %s | %s | %s | %s | %s |\n", sr.role, sr.item, sr.valueText(slopes), sr.limitText(slopes), sr.mechanism, sr.bottleneck)
	}
	page.WriteString("\n## Slopes\n\n")
	page.WriteString("| role | quantity | n | sizes | line | R² | largest residual | at the target |\n|---|---|---|---|---|---|---|---|\n")
	for _, sl := range slopes {
		fmt.Fprintf(&page, "| %s | %s | %s | %s | %s | %s | %.0f%% | %s |\n",
			sl.Role, sl.Quantity, sl.Per, sizesText(sl), lineText(sl),
			rSquaredText(sl), 100*sl.Residual, formatAmount(sl.At(sl.Target), sl.Unit))
	}
	return page.String()
}

// Replace returns the document with the text between the markers replaced. It
// returns an error if a marker is missing or they are in the wrong order.
func Replace(document, generated string) (string, error) {
	head, rest, ok := strings.Cut(document, BeginMarker)
	if !ok {
		return "", errors.Errorf("document has no marker %q", BeginMarker)
	}
	_, tail, ok := strings.Cut(rest, EndMarker)
	if !ok {
		return "", errors.Errorf("document has no marker %q after the begin marker", EndMarker)
	}
	return head + BeginMarker + "\n" + generated + "\n" + EndMarker + tail, nil
}

// minStrongFitRSquared is the coefficient of determination below which an
// extrapolated value is marked as a weak fit.
const minStrongFitRSquared = 0.9

// summaryRow is one row of the table by role.
type summaryRow struct {
	role string
	item string
	// quantity is the Slope.Quantity that the value is taken from, empty if the item
	// is not measured.
	quantity string
	// limit is the limit that the target sets, in the unit of the slope; zero if it
	// sets none.
	limit      float64
	mechanism  string
	bottleneck string
}

// slope returns the slope with the row's role and quantity.
func (sr summaryRow) slope(slopes []Slope) (Slope, bool) {
	for _, sl := range slopes {
		if sr.quantity != "" && sl.Quantity == sr.quantity && sl.Role == sr.role {
			return sl, true
		}
	}
	return Slope{}, false
}

// valueText returns the value at the target for the page.
func (sr summaryRow) valueText(slopes []Slope) string {
	sl, ok := sr.slope(slopes)
	if !ok {
		return "not measured"
	}
	value := formatAmount(sl.At(sl.Target), sl.Unit)
	if !sl.Constant() && sl.RSquared < minStrongFitRSquared {
		value += " (weak fit)"
	}
	return value
}

// limitText returns the limit and whether the value at the target is within it.
func (sr summaryRow) limitText(slopes []Slope) string {
	sl, ok := sr.slope(slopes)
	switch {
	case sr.limit == 0:
		return "none set"
	case !ok:
		return "set, not compared"
	case sl.At(sl.Target) > sr.limit:
		return formatAmount(sr.limit, sl.Unit) + ", **missed**"
	default:
		return formatAmount(sr.limit, sl.Unit) + ", kept"
	}
}

// formatAmount formats a value with a metric prefix that fits its magnitude. It
// formats processor seconds per second, unit "s/s", as a percentage of a core.
func formatAmount(value float64, unit string) string {
	magnitude := max(value, -value)
	switch {
	case unit == "s/s":
		return fmt.Sprintf("%.3g%% of a core", 100*value)
	case strings.HasPrefix(unit, "B") && magnitude >= 1e6:
		return fmt.Sprintf("%.3g M%s", value/1e6, unit)
	case strings.HasPrefix(unit, "B") && magnitude >= 1e3:
		return fmt.Sprintf("%.3g k%s", value/1e3, unit)
	case unit == "s" && magnitude < 1e-6:
		return fmt.Sprintf("%.3g ns", value*1e9)
	case unit == "s" && magnitude < 1e-3:
		return fmt.Sprintf("%.3g µs", value*1e6)
	case unit == "s" && magnitude < 1:
		return fmt.Sprintf("%.3g ms", value*1e3)
	default:
		return strings.TrimSpace(fmt.Sprintf("%.4g %s", value, unit))
	}
}

func sizesText(sl Slope) string {
	texts := make([]string, 0, len(sl.Sizes))
	for _, size := range sl.Sizes {
		texts = append(texts, formatNumber(size))
	}
	return strings.Join(texts, ", ")
}

// rSquaredText returns the coefficient of determination, or a dash if all values
// are equal.
func rSquaredText(sl Slope) string {
	if math.IsNaN(sl.RSquared) {
		return "–"
	}
	return fmt.Sprintf("%.3f", sl.RSquared)
}

func lineText(sl Slope) string {
	switch {
	case sl.Constant():
		return "none: the largest value stands"
	case sl.Logarithmic:
		return fmt.Sprintf("%s + %s · log₂ n", formatAmount(sl.Intercept, sl.Unit), formatAmount(sl.Gradient, sl.Unit))
	default:
		return fmt.Sprintf("%s + %s · n", formatAmount(sl.Intercept, sl.Unit), formatAmount(sl.Gradient, sl.Unit))
	}
}

func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}
