package settings

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// document is a settings file that is being read: its text, the offset of each
// field in it, and the faults found so far.
type document struct {
	name string
	data []byte
	// offsets maps the path of each field to the byte offset of its value.
	offsets map[string]int
	faults  Faults
}

func newDocument(name string, data []byte) *document {
	return &document{name: name, data: data, offsets: make(map[string]int)}
}

// parse returns the syntax tree. If the text isn't valid JSON with comments, it
// adds a fault and returns false.
func (do *document) parse() (hujson.Value, bool) {
	root, err := hujson.Parse(do.data)
	if err == nil {
		return root, true
	}
	fa := Fault{File: do.name, Line: 1, Column: 1, Found: err.Error(), Want: "JSON with comments"}
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr == nil {
		fa.Line, fa.Column = line, column
		_, fa.Found, _ = strings.Cut(err.Error(), ": ")
		_, fa.Found, _ = strings.Cut(fa.Found, ": ")
	}
	do.faults = append(do.faults, fa)
	return hujson.Value{}, false
}

// addFaultAt adds a fault at a byte offset of the text.
func (do *document) addFaultAt(offset int, field, found, want string) {
	before := do.data[:min(offset, len(do.data))]
	do.faults = append(do.faults, Fault{
		File:   do.name,
		Line:   bytes.Count(before, []byte("\n")) + 1,
		Column: len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1,
		Field:  field,
		Found:  found,
		Want:   want,
	})
}

// addFault adds a fault at the position of the field's value. If the file doesn't
// have the field, the position is that of the innermost enclosing field it has.
func (do *document) addFault(field, found, want string) {
	for at := field; ; at = parentPath(at) {
		if offset, ok := do.offsets[at]; ok || at == "" {
			do.addFaultAt(offset, field, found, want)
			return
		}
	}
}

// hasFault reports whether there is a fault of the field itself, not of a field
// within it.
func (do *document) hasFault(field string) bool {
	return slices.ContainsFunc(do.faults, func(fa Fault) bool { return fa.Field == field })
}

// parentPath returns the path of the field that encloses a field, empty for the
// whole file.
func parentPath(field string) string {
	return field[:max(0, strings.LastIndexAny(field, ".["))]
}

// joinPath returns the path of a field of the struct at the path parent.
func joinPath(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}
