package settings

import (
	"fmt"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	// File is the path of the settings file.
	File string
	// Line and Column count from one; the column counts bytes.
	Line   int
	Column int
	// Field is the path of the field, such as Services[0].ID, or empty for the
	// whole file.
	Field string
	// Found describes what the file has there.
	Found string
	// Want describes what is expected there.
	Want string
}

// Error returns the fault as one line of text.
func (fa Fault) Error() string {
	position := fmt.Sprintf("%s:%d:%d", fa.File, fa.Line, fa.Column)
	if fa.Field != "" {
		position += ": " + fa.Field
	}
	return fmt.Sprintf("%s: found %s, want %s", position, fa.Found, fa.Want)
}

// Faults are all faults of a file, in the order of their positions.
type Faults []Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, fa := range fs {
		lines = append(lines, fa.Error())
	}
	return strings.Join(lines, "\n")
}
