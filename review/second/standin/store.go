package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedMeta is the metadata of an object of the store.
type storedMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storedObject struct {
	Meta   storedMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storedEvent struct {
	Object  storedObject `json:"object"`
	Removed bool         `json:"removed"`
	kind    string
}

// store is the platform's metadata store: objects by kind and name, with conditional
// writes and watches. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	events   []storedEvent
	changed  chan struct{}
	listener net.Listener
}

// pageObjects is the number of objects in one answer.
const pageObjects = 500

func startStore(address netip.AddrPort) (*store, error) {
	li, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	st := &store{revision: 1, objects: make(map[string]map[string]storedObject), changed: make(chan struct{}), listener: li}
	go func() { _ = http.Serve(li, http.HandlerFunc(st.serve)) }()
	return st, nil
}

func (st *store) close() { _ = st.listener.Close() }

func (st *store) serve(wr http.ResponseWriter, rq *http.Request) {
	path, ok := strings.CutPrefix(rq.URL.Path, "/v1/objects/")
	if !ok {
		http.NotFound(wr, rq)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	var body storedObject
	if rq.Method == http.MethodPost || rq.Method == http.MethodPut {
		if err := json.NewDecoder(rq.Body).Decode(&body); err != nil {
			wr.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	switch {
	case rq.Method == http.MethodGet && rq.URL.Query().Has("watch"):
		st.watch(wr, rq, kind)
	case rq.Method == http.MethodGet && !named:
		st.list(wr, kind, rq.URL.Query().Get("after"))
	case rq.Method == http.MethodGet:
		st.get(wr, kind, name)
	case rq.Method == http.MethodPost:
		st.create(wr, kind, body)
	case rq.Method == http.MethodPut && !strings.Contains(name, "/"):
		st.replace(wr, kind, name, body)
	case rq.Method == http.MethodDelete:
		revision, _ := strconv.ParseUint(rq.URL.Query().Get("revision"), 10, 64)
		st.remove(wr, kind, name, revision)
	default:
		wr.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func answer(wr http.ResponseWriter, status int, body any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(body)
}

// put stores the object with the next revision and wakes the watches. It is called with
// mu held.
func (st *store) put(kind string, ob storedObject) storedObject {
	st.revision++
	ob.Meta.Revision = st.revision
	if ob.Meta.Created == 0 {
		ob.Meta.Created = st.revision
	}
	if st.objects[kind] == nil {
		st.objects[kind] = make(map[string]storedObject)
	}
	st.objects[kind][ob.Meta.Name] = ob
	st.note(storedEvent{Object: ob, kind: kind})
	return ob
}

func (st *store) note(ev storedEvent) {
	st.events = append(st.events, ev)
	close(st.changed)
	st.changed = make(chan struct{})
}

// write stores an object for the operator and returns when it was acknowledged.
func (st *store) write(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(kind, storedObject{Meta: storedMeta{Name: name}, Spec: raw})
	return time.Now()
}

func (st *store) list(wr http.ResponseWriter, kind, after string) {
	st.mu.Lock()
	items := []storedObject{}
	for _, ob := range st.objects[kind] {
		if ob.Meta.Name > after {
			items = append(items, ob)
		}
	}
	revision := st.revision
	st.mu.Unlock()
	slices.SortFunc(items, func(a, b storedObject) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	more := len(items) > pageObjects
	items = items[:min(len(items), pageObjects)]
	answer(wr, http.StatusOK, map[string]any{"items": items, "more": more, "current_rev": revision})
}

func (st *store) get(wr http.ResponseWriter, kind, name string) {
	st.mu.Lock()
	ob, ok := st.objects[kind][name]
	st.mu.Unlock()
	if !ok {
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	answer(wr, http.StatusOK, ob)
}

func (st *store) create(wr http.ResponseWriter, kind string, ob storedObject) {
	st.mu.Lock()
	present, ok := st.objects[kind][ob.Meta.Name]
	if !ok {
		ob = st.put(kind, storedObject{Meta: storedMeta{Name: ob.Meta.Name}, Spec: ob.Spec})
	}
	st.mu.Unlock()
	if ok {
		answer(wr, http.StatusConflict, present)
		return
	}
	answer(wr, http.StatusOK, ob)
}

func (st *store) replace(wr http.ResponseWriter, kind, name string, ob storedObject) {
	st.mu.Lock()
	present, ok := st.objects[kind][name]
	conflict := ok && ob.Meta.Revision != 0 && ob.Meta.Revision != present.Meta.Revision
	if ok && !conflict {
		present.Spec = ob.Spec
		present = st.put(kind, present)
	}
	st.mu.Unlock()
	switch {
	case !ok:
		wr.WriteHeader(http.StatusNotFound)
	case conflict:
		answer(wr, http.StatusConflict, present)
	default:
		answer(wr, http.StatusOK, present)
	}
}

func (st *store) remove(wr http.ResponseWriter, kind, name string, revision uint64) {
	st.mu.Lock()
	present, ok := st.objects[kind][name]
	conflict := ok && revision != 0 && revision != present.Meta.Revision
	if ok && !conflict {
		delete(st.objects[kind], name)
		st.revision++
		gone := present
		gone.Meta.Revision = st.revision
		st.note(storedEvent{Object: gone, Removed: true, kind: kind})
	}
	st.mu.Unlock()
	switch {
	case !ok:
		wr.WriteHeader(http.StatusNotFound)
	case conflict:
		answer(wr, http.StatusConflict, present)
	default:
		answer(wr, http.StatusOK, present)
	}
}

// watch answers as soon as an object of the kind has changed after the revision, or when
// wait_ms have passed.
func (st *store) watch(wr http.ResponseWriter, rq *http.Request, kind string) {
	after, _ := strconv.ParseUint(rq.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(rq.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for ended := false; ; {
		st.mu.Lock()
		events := []storedEvent{}
		for _, ev := range st.events {
			if ev.kind == kind && ev.Object.Meta.Revision > after {
				events = append(events, ev)
			}
		}
		revision, changed := st.revision, st.changed
		st.mu.Unlock()
		if len(events) > 0 || ended {
			answer(wr, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-rq.Context().Done():
			return
		}
	}
}
