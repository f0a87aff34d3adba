package settings

import (
	"cmp"
	"io"
	"os"
	"reflect"
	"slices"

	"github.com/go-faster/errors"
)

// maxFileBytes bounds a settings file and each key file.
const maxFileBytes = 1 << 20

// Load reads a file of JSON with comments over the defaults. If anything in it
// is wrong, the error is a Faults with every fault found.
func Load[T any](path string, defaults T) (T, error) {
	data, err := readBounded(path)
	if err != nil {
		return defaults, errors.Wrap(err, "read settings")
	}
	return Parse(path, data, defaults)
}

// Parse reads the content of the file of that name as Load does.
func Parse[T any](name string, data []byte, defaults T) (T, error) {
	do := newDocument(name, data)
	loaded := defaults
	root, ok := do.parse()
	if !ok {
		return defaults, do.result()
	}
	do.decode(root, reflect.ValueOf(&loaded).Elem(), "")
	if do.has("") {
		return defaults, do.result()
	}
	ch := &checker{document: do, listeners: make(map[string][]listener)}
	ch.checkTags(reflect.ValueOf(&loaded).Elem(), "")
	ch.checkListeners()
	ch.checkRole(&loaded)
	if len(do.faults) > 0 {
		return defaults, do.result()
	}
	return loaded, nil
}

// readBounded returns the content of a file of at most maxFileBytes.
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

// result returns the faults in the order of their places.
func (do *document) result() error {
	slices.SortStableFunc(do.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return do.faults
}
