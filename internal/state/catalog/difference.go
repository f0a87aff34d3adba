package catalog

import (
	"bytes"
	"encoding/json"
	"fmt"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Difference returns one line for each service or other part that differs: +
// for what only the second configuration has, - for what only the first has,
// ~ for what changed.
func Difference(before, after *Configuration) []string {
	var lines []string
	old := make(map[register.ServiceID]Service, len(before.Services))
	for _, sv := range before.Services {
		old[sv.ID] = sv
	}
	for _, sv := range after.Services {
		was, known := old[sv.ID]
		delete(old, sv.ID)
		lines = append(lines, describeChange("service "+sv.Name, was, sv, known)...)
	}
	for _, sv := range before.Services {
		if _, gone := old[sv.ID]; gone {
			lines = append(lines, "- service "+sv.Name+" "+jsonText(sv))
		}
	}
	lines = append(lines, describeChange("rules", before.Rules, after.Rules, true)...)
	lines = append(lines, describeChange("retired", before.Retired, after.Retired, true)...)
	lines = append(lines, describeChange("owners", before.Owners, after.Owners, true)...)
	lines = append(lines, describeChange("calendar", before.Calendar, after.Calendar, true)...)
	return append(lines, describeChange("say", before.Say, after.Say, true)...)
}

// describeChange returns a line for the change of one part, none if both are
// equal. Without known the part is new.
func describeChange[T any](name string, before, after T, known bool) []string {
	if !known {
		return []string{"+ " + name + " " + jsonText(after)}
	}
	was, is := jsonText(before), jsonText(after)
	if was == is || bytes.Equal([]byte(was), []byte("null")) && is == "[]" {
		return nil
	}
	return []string{fmt.Sprintf("~ %s %s -> %s", name, was, is)}
}

// jsonText returns the value in JSON, or the text of the error.
func jsonText(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(encoded)
}
