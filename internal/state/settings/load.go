package settings

import (
	"cmp"
	"io"
	"os"
	"reflect"
	"slices"

	"github.com/go-faster/errors"
)

// maxFileBytes is the largest size of a settings file and of each key file, in
// bytes.
const maxFileBytes = 1 << 20

// Load reads a settings file of JSON with comments. Fields that the file doesn't
// have keep their defaults. If the file has faults, the error is a Faults with all
// of them, and the defaults are returned unchanged. Any other error means that the
// file couldn't be read.
func Load[T any](path string, defaults T) (T, error) {
	data, err := Read(path)
	if err != nil {
		return defaults, err
	}
	return Parse(path, data, defaults)
}

// Read returns the content of a settings file.
func Read(path string) ([]byte, error) {
	data, err := readBounded(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return data, nil
}

// Parse does what Load does with the content of a file. The name is used in the
// faults only.
func Parse[T any](name string, data []byte, defaults T) (T, error) {
	do := newDocument(name, data)
	loaded := defaults
	root, ok := do.parse()
	if !ok {
		return defaults, do.sortedFaults()
	}
	do.decode(root, reflect.ValueOf(&loaded).Elem(), "")
	if do.hasFault("") {
		return defaults, do.sortedFaults()
	}
	ch := &checker{document: do, listeners: make(map[string][]listenAddress)}
	ch.checkTags(reflect.ValueOf(&loaded).Elem(), "")
	ch.checkListeners()
	ch.checkRole(&loaded)
	if len(do.faults) > 0 {
		return defaults, do.sortedFaults()
	}
	return loaded, nil
}

// readBounded returns the content of a file. A file larger than maxFileBytes is an
// error.
func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxFileBytes {
		return nil, errors.Errorf("%s is larger than %d bytes", path, maxFileBytes)
	}
	return data, nil
}

// sortedFaults returns the faults in the order of their positions.
func (do *document) sortedFaults() error {
	slices.SortStableFunc(do.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return do.faults
}
