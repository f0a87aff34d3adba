package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the platform's store.
type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// store is a stand-in for the platform's metadata store. It loses nothing and answers
// at once.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// listen serves the store at the address until the returned function is called.
func (s *store) listen(address string) (string, func(), error) {
	li, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: s}
	go server.Serve(li)
	return li.Addr().String(), func() { server.Close() }, nil
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	var sent object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&sent) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodGet && name == "":
		items := []object{}
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
		reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "current_rev": s.revision})
	case r.Method == http.MethodPost:
		if taken, exists := s.objects[kind][sent.Meta.Name]; exists {
			reply(w, http.StatusConflict, taken)
			return
		}
		reply(w, http.StatusOK, s.put(kind, sent.Meta.Name, sent.Spec))
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, current)
	case stale(r, sent, current):
		reply(w, http.StatusConflict, current)
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.put(kind, name, sent.Spec))
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		s.note(event{kind: kind, revision: s.revision, Object: current, Removed: true})
		w.WriteHeader(http.StatusOK)
	}
}

// stale reports whether the request's revision, if any, isn't the object's.
func stale(r *http.Request, sent, current object) bool {
	revision := sent.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		revision, _ = strconv.ParseUint(text, 10, 64)
	}
	return revision != 0 && revision != current.Meta.Revision
}

// put stores an object. It is called with mu held.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o := s.objects[kind][name]
	s.revision++
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, spec
	s.objects[kind][name] = o
	s.note(event{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *store) note(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write is the operator's write of the configuration. Its return is the acknowledgement.
func (s *store) write(spec any) {
	data, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put("config", "main", data)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": found, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
