package platform

import (
	"sort"
	"strings"
	"time"

	"corneltiller.dev/corneltiller/internal/protocol/object"
)

// Objects is the state of the store without any fault: versions, conditional
// writes and deletes. It has no lock and no clock; Server adds both.
type Objects struct {
	stored  map[string]object.Object
	counter object.Version
}

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{stored: make(map[string]object.Object)}
}

// Get returns the object or object.ErrNotFound.
func (ob *Objects) Get(name string) (object.Object, error) {
	found, ok := ob.stored[name]
	if !ok {
		return object.Object{Name: name}, object.ErrNotFound
	}
	return found, nil
}

// Put writes the value if the object still has the version, object.Absent for
// one that must not exist yet. After object.ErrConflict the returned object
// holds the present version.
func (ob *Objects) Put(now time.Time, name string, value []byte, version object.Version) (object.Object, error) {
	if len(value) > object.MaxValueBytes {
		return object.Object{Name: name}, object.ErrTooLarge
	}
	found := ob.stored[name]
	if found.Version != version {
		return found, object.ErrConflict
	}
	ob.counter++
	written := object.Object{
		Name:    name,
		Version: ob.counter,
		Written: now,
		Value:   append([]byte(nil), value...),
		Size:    len(value),
	}
	ob.stored[name] = written
	return written, nil
}

// Delete removes the object if it still has the version.
func (ob *Objects) Delete(name string, version object.Version) error {
	found, ok := ob.stored[name]
	if !ok {
		return object.ErrNotFound
	}
	if found.Version != version {
		return object.ErrConflict
	}
	delete(ob.stored, name)
	return nil
}

// List returns the objects whose names begin with the prefix, by name and
// without their values.
func (ob *Objects) List(prefix string) object.Listing {
	var li object.Listing
	for name, found := range ob.stored {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		found.Value = nil
		li.Objects = append(li.Objects, found)
	}
	sort.Slice(li.Objects, func(i, j int) bool {
		return li.Objects[i].Name < li.Objects[j].Name
	})
	return li
}

// Backup returns a copy of the present state.
func (ob *Objects) Backup() *Objects {
	copied := NewObjects()
	for name, found := range ob.stored {
		copied.stored[name] = found
	}
	copied.counter = ob.counter
	return copied
}

// Restore replaces the state by that of a backup. The counter goes on, so that
// a condition from before the restore can't hold by chance.
func (ob *Objects) Restore(backup *Objects) {
	counter := ob.counter
	*ob = *backup.Backup()
	ob.counter = max(ob.counter, counter)
	for name, found := range ob.stored {
		ob.counter++
		found.Version = ob.counter
		ob.stored[name] = found
	}
}
