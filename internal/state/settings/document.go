package settings

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// document is a settings file while it is read: its text, where each field
// stands in it, and the faults found so far.
type document struct {
	name   string
	data   []byte
	places map[string]int
	faults Faults
}

func newDocument(name string, data []byte) *document {
	return &document{name: name, data: data, places: make(map[string]int)}
}

// parse returns the syntax tree.
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

// faultAt adds a fault at an offset of the text.
func (do *document) faultAt(offset int, field, found, want string) {
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

// fault adds a fault at the place of a field, or of the nearest field around
// it that the file has.
func (do *document) fault(field, found, want string) {
	for at := field; ; at = parentOf(at) {
		if offset, ok := do.places[at]; ok || at == "" {
			do.faultAt(offset, field, found, want)
			return
		}
	}
}

// has reports whether a fault of the field itself was found.
func (do *document) has(field string) bool {
	return slices.ContainsFunc(do.faults, func(fa Fault) bool { return fa.Field == field })
}

// parentOf returns the path of the field around a field.
func parentOf(field string) string {
	return field[:max(0, strings.LastIndexAny(field, ".["))]
}

// join returns the path of a field of a struct.
func join(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}
