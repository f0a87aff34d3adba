package settings

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong in a settings file.
type Fault struct {
	// File is the path of the settings file.
	File string
	// Line and Column count from one; the column counts bytes.
	Line   int
	Column int
	// Field is the path of the field, such as Services[0].ID, or empty for the
	// whole file.
	Field string
	// Found is what stands there.
	Found string
	// Want is what is expected there.
	Want string
}

// Error returns the fault on one line.
func (fa Fault) Error() string {
	place := fmt.Sprintf("%s:%d:%d", fa.File, fa.Line, fa.Column)
	if fa.Field != "" {
		place += ": " + fa.Field
	}
	return fmt.Sprintf("%s: found %s, want %s", place, fa.Found, fa.Want)
}

// Faults are all faults of a file, in the order of their places.
type Faults []Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, fa := range fs {
		lines = append(lines, fa.Error())
	}
	return strings.Join(lines, "\n")
}
