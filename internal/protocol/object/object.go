// Package object defines the HTTP interface of the platform's object store: the
// paths, headers, errors and JSON bodies that the store's client and the stand-in
// store have in common.
//
// # Binding
//
//	GET    /objects/NAME              reads one object (RFC 9110)
//	GET    /objects/NAME              with If-None-Match and Prefer: wait=SECONDS
//	                                  (RFC 7240) waits for another version; 304
//	                                  means that the wait ended without one
//	GET    /objects?prefix=PREFIX     lists the objects as a Listing in JSON
//	PUT    /objects/NAME              with If-None-Match: * creates, with
//	                                  If-Match updates; an unconditional PUT is 428
//	DELETE /objects/NAME              with If-Match deletes
//
// ETag holds the version, Last-Modified the time of the last write, Date the time
// of the store's clock, Store-Era how often the store was restored from a copy, and
// the body is the value. The body of an error answer is
// a Problem in JSON (RFC 9457); its Executed field tells whether the call took
// effect.
//
// # Usage
//
//	rq.Header.Set("If-Match", object.ETag(version))
package object

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// MaxValueBytes is the largest size of a value in bytes.
const MaxValueBytes = 1 << 20

// MaxWait is the longest time that one call waits for another version.
const MaxWait = 60 * time.Second

// Root is the URL path of the list of objects and the prefix of their paths.
const Root = "/objects"

// Version identifies a write of one object within an era. Versions are compared for
// equality only. After a restore the store gives out the same numbers again.
type Version uint64

// Era counts how often the store was restored from a copy. It is 1 before the first
// restore, and 0 stands for a store that doesn't say.
type Era uint64

// EraHeader is the header of every answer that holds the era.
const EraHeader = "Store-Era"

// ParseEra returns the era of an answer, 0 if it names none.
func ParseEra(he http.Header) Era {
	era, err := strconv.ParseUint(he.Get(EraHeader), 10, 64)
	if err != nil {
		return 0
	}
	return Era(era)
}

// Absent is the version of an object that does not exist: a write that is
// conditional on it creates the object.
const Absent Version = 0

// Object is one stored value with its version.
type Object struct {
	Name    string
	Version Version
	// Written is the time of the last write by the store's clock.
	Written time.Time
	// Asked is the time of the answer by the store's clock, zero if the answer gave
	// none.
	Asked time.Time `json:",omitzero"`
	// Era is the store's era when it answered.
	Era   Era    `json:",omitzero"`
	Value []byte `json:",omitempty"`
	// Size is the size of the value in bytes, also where Value is left out.
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

// The errors of calls to the store. ErrUnanswered is the only one after which it
// is unknown whether a write took effect.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the condition of a write did not hold.
	ErrConflict = errors.New("object has another version")
	// ErrUnchanged means that the wait for another version ended without one.
	ErrUnchanged = errors.New("object is unchanged")
	// ErrRefused means that the store refused the call and it had no effect.
	ErrRefused = errors.New("store refused the call")
	// ErrUnanswered means that no usable answer came: a write may have taken
	// effect or may still do so.
	ErrUnanswered = errors.New("store gave no answer")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("object value is too large")
)

// Path returns the URL path of the object.
func Path(name string) string {
	return Root + "/" + (&url.URL{Path: name}).EscapedPath()
}

// ETag returns the entity tag of the version (RFC 9110, section 8.8.3).
func ETag(ve Version) string {
	return `"` + strconv.FormatUint(uint64(ve), 10) + `"`
}

// ParseETag returns the version of an entity tag.
func ParseETag(tag string) (Version, error) {
	number, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return Absent, errors.Wrapf(err, "parse entity tag %q", tag)
	}
	return Version(number), nil
}

// Preference returns the value of a Prefer header that requests a wait (RFC 7240,
// section 4.3). Fractions of a second are rounded up.
func Preference(wait time.Duration) string {
	seconds := (wait + time.Second - 1) / time.Second
	return "wait=" + strconv.FormatInt(int64(seconds), 10)
}

// ParsePreference returns the wait that the value of a Prefer header requests, at
// most MaxWait. It returns zero if the value requests none or is malformed.
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

// ErrorOf returns the error for the HTTP status and the Problem of an answer, nil
// for success.
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
