package catalog

import (
	"bytes"
	"encoding/json"
	"fmt"

	"corneltiller.dev/corneltiller/internal/state/register"
)

// Difference describes in one line each what the second configuration adds (+)
// to, removes (-) from and changes (~) in the first.
func Difference(before, after *Configuration) []string {
	var lines []string
	old := make(map[register.ServiceID]Service, len(before.Services))
	for _, sv := range before.Services {
		old[sv.ID] = sv
	}
	for _, sv := range after.Services {
		was, known := old[sv.ID]
		delete(old, sv.ID)
		lines = append(lines, compare("service "+sv.Name, was, sv, known)...)
	}
	for _, sv := range before.Services {
		if _, gone := old[sv.ID]; gone {
			lines = append(lines, "- service "+sv.Name+" "+text(sv))
		}
	}
	lines = append(lines, compare("rules", before.Rules, after.Rules, true)...)
	lines = append(lines, compare("retired", before.Retired, after.Retired, true)...)
	lines = append(lines, compare("owners", before.Owners, after.Owners, true)...)
	lines = append(lines, compare("calendar", before.Calendar, after.Calendar, true)...)
	return append(lines, compare("say", before.Say, after.Say, true)...)
}

// compare describes the change of one part.
func compare[T any](name string, before, after T, known bool) []string {
	if !known {
		return []string{"+ " + name + " " + text(after)}
	}
	was, is := text(before), text(after)
	if was == is || bytes.Equal([]byte(was), []byte("null")) && is == "[]" {
		return nil
	}
	return []string{fmt.Sprintf("~ %s %s -> %s", name, was, is)}
}

func text(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(encoded)
}
