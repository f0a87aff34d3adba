package platform

import (
	"sort"
	"strings"
	"time"

	"corneltiller.dev/corneltiller/internal/protocol/object"
)

// Objects holds the store's objects and implements versions, conditional writes
// and deletes. It simulates no faults, has no clock and isn't safe for concurrent
// use; Server adds all three.
type Objects struct {
	stored      map[string]object.Object
	lastVersion object.Version
	era         object.Era
}

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{stored: make(map[string]object.Object), era: 1}
}

// Era returns the present era.
func (ob *Objects) Era() object.Era { return ob.era }

// Get returns the object, or object.ErrNotFound.
func (ob *Objects) Get(name string) (object.Object, error) {
	found, ok := ob.stored[name]
	if !ok {
		return object.Object{Name: name}, object.ErrNotFound
	}
	return found, nil
}

// Put writes the value if the object's present version is the given one;
// object.Absent requires that the object does not exist. It returns the written
// object, object.ErrTooLarge, or object.ErrConflict with the present object.
func (ob *Objects) Put(now time.Time, name string, value []byte, version object.Version) (object.Object, error) {
	if len(value) > object.MaxValueBytes {
		return object.Object{Name: name}, object.ErrTooLarge
	}
	found := ob.stored[name]
	if found.Version != version {
		return found, object.ErrConflict
	}
	ob.lastVersion++
	written := object.Object{
		Name:    name,
		Version: ob.lastVersion,
		Written: now,
		Value:   append([]byte(nil), value...),
		Size:    len(value),
	}
	ob.stored[name] = written
	return written, nil
}

// Delete removes the object if its present version is the given one. It returns
// object.ErrNotFound or object.ErrConflict otherwise.
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
	copied.lastVersion = ob.lastVersion
	copied.era = ob.era
	return copied
}

// Restore replaces all objects by those of a backup and begins the next era. Versions
// go back with them: those given out since the backup are given out again.
func (ob *Objects) Restore(backup *Objects) {
	era := ob.era
	*ob = *backup.Backup()
	ob.era = era + 1
}
