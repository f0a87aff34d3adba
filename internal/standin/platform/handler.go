package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/protocol/object"
)

// ServeHTTP handles one call of the object API. It closes the connection without
// an answer if a fault requires that.
func (se *Server) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	rw.Header().Set("Date", se.Now().UTC().Format(http.TimeFormat))
	se.setEra(rw)
	name, single := strings.CutPrefix(rq.URL.Path, object.Root+"/")
	wait := object.ParsePreference(rq.Header.Get("Prefer"))
	fa := se.countCall(rq.Method, single, wait > 0)
	if fa.Outage {
		panic(http.ErrAbortHandler)
	}
	if fa.Refusal {
		writeProblem(rw, http.StatusServiceUnavailable, object.Absent)
		return
	}
	if !sleep(rq, fa.Delay) {
		panic(http.ErrAbortHandler)
	}
	switch {
	case rq.Method == http.MethodGet && !single && rq.URL.Path == object.Root:
		se.list(rw, rq.URL.Query().Get("prefix"))
	case !single || name == "":
		writeProblem(rw, http.StatusNotFound, object.Absent)
	case rq.Method == http.MethodGet && wait > 0:
		se.watch(rw, rq, name, wait)
	case rq.Method == http.MethodGet:
		se.get(rw, name)
	case rq.Method == http.MethodPut:
		se.put(rw, rq, name)
	case rq.Method == http.MethodDelete:
		se.remove(rw, rq, name)
	default:
		writeProblem(rw, http.StatusMethodNotAllowed, object.Absent)
	}
}

// countCall counts the call by its kind and returns the present faults. single
// tells a read of one object from a listing, waits a watch from a read.
func (se *Server) countCall(method string, single, waits bool) Faults {
	se.mu.Lock()
	defer se.mu.Unlock()
	switch {
	case method == http.MethodPut:
		se.calls.Writes++
	case method == http.MethodDelete:
		se.calls.Deletes++
	case !single:
		se.calls.Lists++
	case waits:
		se.calls.Watches++
	default:
		se.calls.Reads++
	}
	return se.faults
}

// sleep waits for the delay. It returns false if the caller cancels the call
// before.
func sleep(rq *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	tm := time.NewTimer(delay)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-rq.Context().Done():
		return false
	}
}

// setEra sets the header with the present era. A call that waits sets it again before
// its answer.
func (se *Server) setEra(rw http.ResponseWriter) {
	se.mu.Lock()
	defer se.mu.Unlock()
	rw.Header().Set(object.EraHeader, strconv.FormatUint(uint64(se.objects.Era()), 10))
}

func (se *Server) list(rw http.ResponseWriter, prefix string) {
	se.mu.Lock()
	li := se.objects.List(prefix)
	se.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(li)
}

func (se *Server) get(rw http.ResponseWriter, name string) {
	se.mu.Lock()
	found, err := se.objects.Get(name)
	se.mu.Unlock()
	writeObject(rw, found, err)
}

func (se *Server) watch(rw http.ResponseWriter, rq *http.Request, name string, wait time.Duration) {
	version, err := object.ParseETag(rq.Header.Get("If-None-Match"))
	if err != nil {
		writeProblem(rw, http.StatusBadRequest, object.Absent)
		return
	}
	found, err := se.waitForVersion(rq.Context(), name, version, se.Now().Add(wait))
	se.setEra(rw)
	writeObject(rw, found, err)
}

func (se *Server) put(rw http.ResponseWriter, rq *http.Request, name string) {
	version, ok := parseCondition(rq)
	if !ok {
		writeProblem(rw, http.StatusPreconditionRequired, object.Absent)
		return
	}
	value, err := io.ReadAll(io.LimitReader(rq.Body, object.MaxValueBytes+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	se.mu.Lock()
	if se.faults.DropWrites > 0 {
		se.faults.DropWrites--
		se.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	written, err := se.objects.Put(se.Now(), name, value, version)
	lost := se.faults.DropWriteAnswers > 0
	if lost {
		se.faults.DropWriteAnswers--
	}
	se.notify()
	se.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	written.Value = nil
	writeObject(rw, written, err)
}

func (se *Server) remove(rw http.ResponseWriter, rq *http.Request, name string) {
	version, ok := parseCondition(rq)
	if !ok {
		writeProblem(rw, http.StatusPreconditionRequired, object.Absent)
		return
	}
	se.mu.Lock()
	err := se.objects.Delete(name, version)
	se.notify()
	se.mu.Unlock()
	writeObject(rw, object.Object{Name: name, Version: version}, err)
}

// parseCondition returns the version that the object must have for the write to
// take effect. It returns false if the call states none.
func parseCondition(rq *http.Request) (object.Version, bool) {
	if rq.Header.Get("If-None-Match") == "*" {
		return object.Absent, true
	}
	version, err := object.ParseETag(rq.Header.Get("If-Match"))
	return version, err == nil
}

// writeObject answers with the object, or with the status for the error. It
// closes the connection without an answer on any other error.
func writeObject(rw http.ResponseWriter, found object.Object, err error) {
	switch {
	case err == nil:
		rw.Header().Set("Etag", object.ETag(found.Version))
		rw.Header().Set("Last-Modified", found.Written.UTC().Format(http.TimeFormat))
		_, _ = rw.Write(found.Value)
	case errors.Is(err, object.ErrUnchanged):
		rw.WriteHeader(http.StatusNotModified)
	case errors.Is(err, object.ErrNotFound):
		writeProblem(rw, http.StatusNotFound, object.Absent)
	case errors.Is(err, object.ErrConflict):
		writeProblem(rw, http.StatusPreconditionFailed, found.Version)
	case errors.Is(err, object.ErrTooLarge):
		writeProblem(rw, http.StatusRequestEntityTooLarge, object.Absent)
	default:
		panic(http.ErrAbortHandler)
	}
}

// writeProblem answers with a problem, which states that the call had no effect.
func writeProblem(rw http.ResponseWriter, status int, version object.Version) {
	rw.Header().Set("Content-Type", "application/problem+json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(object.Problem{
		Status:  status,
		Title:   http.StatusText(status),
		Version: version,
	})
}
