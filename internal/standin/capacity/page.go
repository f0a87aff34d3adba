package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// The markers between which the page's generated part stands.
const (
	BeginMarker = "<!-- begin: measured by corneltiller capacity -->"
	EndMarker   = "<!-- end -->"
)

// The limits of the target for control on one node.
const (
	limitProcessorShare = 0.03
	limitMemoryBytes    = 128e6
	limitBytesASecond   = 2048
	limitInForceSeconds = 19
	limitReadsASecond   = 2000
	// limitBytesAChange is what the budget lets a node send between two changes.
	limitBytesAChange = limitBytesASecond * 86400 / TargetChangesADay
)

// Page returns the generated part of docs/CAPACITY.md.
func Page(slopes []Slope) string {
	var page strings.Builder
	page.WriteString("\n## At the target, by role\n\n")
	page.WriteString("| role | what | at the target | limit | carried by | breaks first |\n|---|---|---|---|---|---|\n")
	for _, cl := range claims() {
		fmt.Fprintf(&page, "| %s | %s | %s | %s | %s | %s |\n", cl.role, cl.what, cl.figure(slopes), cl.limitText(slopes), cl.mechanism, cl.breaks)
	}
	page.WriteString("\n## Slopes\n\n")
	page.WriteString("| role | quantity | n | sizes | line | R² | largest residual | at the target |\n|---|---|---|---|---|---|---|---|\n")
	for _, sl := range slopes {
		fmt.Fprintf(&page, "| %s | %s | %s | %s | %s | %s | %.0f%% | %s |\n",
			sl.Role, sl.Quantity, sl.Per, sizesText(sl), lineText(sl),
			determinationText(sl), 100*sl.Residual, amount(sl.At(sl.Target), sl.Unit))
	}
	return page.String()
}

// Replace returns the document with the text between the markers replaced.
func Replace(document, generated string) (string, error) {
	head, rest, ok := strings.Cut(document, BeginMarker)
	if !ok {
		return "", errors.Errorf("find the marker %q", BeginMarker)
	}
	_, tail, ok := strings.Cut(rest, EndMarker)
	if !ok {
		return "", errors.Errorf("find the marker %q", EndMarker)
	}
	return head + BeginMarker + "\n" + generated + "\n" + EndMarker + tail, nil
}

// goodFit is the determination below which a figure is marked as uncertain.
const goodFit = 0.9

// claim is one row of the table by role.
type claim struct {
	role string
	what string
	// quantity names the slope that the figure comes from, empty if there is none.
	quantity string
	// limit is that of the target, zero if it sets none.
	limit     float64
	mechanism string
	breaks    string
}

// slope returns the slope that the claim is read from.
func (cl claim) slope(slopes []Slope) (Slope, bool) {
	for _, sl := range slopes {
		if cl.quantity != "" && sl.Quantity == cl.quantity && sl.Role == cl.role {
			return sl, true
		}
	}
	return Slope{}, false
}

func (cl claim) figure(slopes []Slope) string {
	sl, ok := cl.slope(slopes)
	if !ok {
		return "not measured"
	}
	figure := amount(sl.At(sl.Target), sl.Unit)
	if !sl.Constant() && sl.Determination < goodFit {
		figure += " (weak fit)"
	}
	return figure
}

// limitText returns the limit and whether the figure keeps it.
func (cl claim) limitText(slopes []Slope) string {
	sl, ok := cl.slope(slopes)
	switch {
	case cl.limit == 0:
		return "none set"
	case !ok:
		return "set, not compared"
	case sl.At(sl.Target) > cl.limit:
		return amount(cl.limit, sl.Unit) + ", **missed**"
	default:
		return amount(cl.limit, sl.Unit) + ", kept"
	}
}

// amount writes a value with a unit in the size that reads best.
func amount(value float64, unit string) string {
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
		texts = append(texts, number(size))
	}
	return strings.Join(texts, ", ")
}

// determinationText is a dash when all values are equal.
func determinationText(sl Slope) string {
	if math.IsNaN(sl.Determination) {
		return "–"
	}
	return fmt.Sprintf("%.3f", sl.Determination)
}

func lineText(sl Slope) string {
	switch {
	case sl.Constant():
		return "none: the largest value stands"
	case sl.Logarithmic:
		return fmt.Sprintf("%s + %s · log₂ n", amount(sl.Intercept, sl.Unit), amount(sl.Gradient, sl.Unit))
	default:
		return fmt.Sprintf("%s + %s · n", amount(sl.Intercept, sl.Unit), amount(sl.Gradient, sl.Unit))
	}
}

func number(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}
