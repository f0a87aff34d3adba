// Package object describes the binding of the platform's object API to HTTP:
// the paths, headers and problem types that the store client and the stand-in
// share.
//
// # Binding
//
//	GET    /objects/NAME              reads one object (RFC 9110)
//	GET    /objects/NAME              with If-None-Match and Prefer: wait=SECONDS
//	                                  (RFC 7240) waits for another version; 304
//	                                  says that the wait ended without one
//	GET    /objects?prefix=PREFIX     lists the objects as a Listing in JSON
//	PUT    /objects/NAME              with If-None-Match: * creates, with
//	                                  If-Match updates; an unconditional PUT is 428
//	DELETE /objects/NAME              with If-Match deletes
//
// The version travels as an entity tag, the time of the last write as
// Last-Modified, the value as the body. Date carries the store's own clock. An
// error is a Problem in JSON (RFC 9457); its Executed field says whether the
// call took effect.
//
// # Usage
//
//	rq.Header.Set("If-Match", object.Tag(version))
package object

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// MaxValueBytes is the size of the largest value that the store holds.
const MaxValueBytes = 1 << 20

// MaxWait is the longest wait of one watch call.
const MaxWait = 60 * time.Second

// Root is the path under which every object lives.
const Root = "/objects"

// Version numbers the writes of one object. It is compared for equality only.
type Version uint64

// Absent is the version of an object that does not exist: a Put conditional on
// it creates the object.
const Absent Version = 0

// Object is one stored value with its version.
type Object struct {
	Name    string
	Version Version
	// Written is the store's time of the last write.
	Written time.Time
	// Asked is the store's time of this answer, zero if it gave none.
	Asked time.Time `json:",omitzero"`
	Value []byte    `json:",omitempty"`
	// Size is the number of bytes of the value, also where Value is left out.
	Size int
}

// Listing is the answer to a list call. Values are left out.
type Listing struct {
	Objects []Object
}

// Problem is the JSON body of an error answer (RFC 9457).
type Problem struct {
	Status int
	Title  string
	// Executed is false where the store states that the call had no effect.
	Executed bool
	// Version is the present version of the object after a failed condition.
	Version Version
}

// The errors that a call ends with. ErrUnanswered is the only one after which
// the effect of a write is not known.
var (
	// ErrNotFound says that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that the condition of a write did not hold.
	ErrConflict = errors.New("object has another version")
	// ErrUnchanged says that a watch ended without another version.
	ErrUnchanged = errors.New("object unchanged")
	// ErrRefused says that the store refused the call without any effect.
	ErrRefused = errors.New("store refused the call")
	// ErrUnanswered says that no usable answer came: a write may have taken
	// effect or may still do so.
	ErrUnanswered = errors.New("store gave no answer")
	// ErrTooLarge says that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
)

// Path returns the URL path of the object.
func Path(name string) string {
	return Root + "/" + (&url.URL{Path: name}).EscapedPath()
}

// ETag returns the entity tag of the version (RFC 9110, section 8.8.3).
func ETag(ve Version) string {
	return `"` + strconv.FormatUint(uint64(ve), 10) + `"`
}

// ParseETag returns the version that an entity tag names.
func ParseETag(tag string) (Version, error) {
	number, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return Absent, errors.Wrapf(err, "parse entity tag %q", tag)
	}
	return Version(number), nil
}

// Preference returns the Prefer header that asks for a wait (RFC 7240, section
// 4.3). Parts of a second are rounded up.
func Preference(wait time.Duration) string {
	seconds := (wait + time.Second - 1) / time.Second
	return "wait=" + strconv.FormatInt(int64(seconds), 10)
}

// ParsePreference returns the wait that a Prefer header asks for, at most
// MaxWait; zero if it asks for none.
func ParsePreference(prefer string) time.Duration {
	text, found := strings.CutPrefix(prefer, "wait=")
	if !found {
		return 0
	}
	seconds, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, MaxWait)
}

// ErrorOf returns the error that a status stands for, nil for success.
func ErrorOf(status int, pr Problem) error {
	switch {
	case status == http.StatusNotModified:
		return ErrUnchanged
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case pr.Status == status && !pr.Executed:
		return ErrRefused
	default:
		return ErrUnanswered
	}
}
