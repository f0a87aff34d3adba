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

// Kind and name of the object with the configuration.
const (
	configKind = "config"
	configName = "main"
)

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// meta is the metadata of an object.
type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// object is an object of the store.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

// change is one change of the store.
type change struct {
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
	kind     string
	revision uint64
	at       time.Time
}

// store is the platform's metadata store: objects by kind and name, one revision counter,
// and watches of the changes of the last seconds.
type store struct {
	// history is how long changes are kept.
	history time.Duration
	servers []*http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	changes  []change
	// forgotten is the highest revision whose change is no longer kept.
	forgotten uint64
	changed   chan struct{}
	// answered is when a watch of the configuration was answered last, by machine.
	answered map[string]time.Time
}

func newStore(history time.Duration) *store {
	return &store{
		history: history, revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{}),
		answered: make(map[string]time.Time),
	}
}

// listen opens an address of the store, which only the machine calls.
func (st *store) listen(machine string, ip netip.Addr) (netip.AddrPort, error) {
	li, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	handler := http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) { st.serve(wr, rq, machine) })
	sv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	st.servers = append(st.servers, sv)
	go func() { _ = sv.Serve(li) }()
	return netip.MustParseAddrPort(li.Addr().String()), nil
}

// put writes an object as the operator does, and returns when the store has answered.
func (st *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	time.Sleep(storeDelay)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.write(kind, object{Meta: meta{Name: name}, Spec: data})
	return time.Now()
}

// write stores an object under a new revision. It is called with mu held.
func (st *store) write(kind string, ob object) object {
	st.revision++
	ob.Meta.Revision = st.revision
	if st.objects[kind] == nil {
		st.objects[kind] = make(map[string]object)
	}
	st.objects[kind][ob.Meta.Name] = ob
	st.note(change{Object: ob, kind: kind, revision: st.revision})
	return ob
}

// note adds a change to the history and wakes the watches. It is called with mu held.
func (st *store) note(ch change) {
	ch.at = time.Now()
	st.changes = append(st.changes, ch)
	close(st.changed)
	st.changed = make(chan struct{})
}

// forget drops the changes that are older than the history. It is called with mu held.
func (st *store) forget() {
	for len(st.changes) > 0 && time.Since(st.changes[0].at) > st.history {
		st.forgotten = st.changes[0].revision
		st.changes = st.changes[1:]
	}
}

// serve answers one call of the machine.
func (st *store) serve(wr http.ResponseWriter, rq *http.Request, machine string) {
	time.Sleep(storeDelay)
	path, ok := strings.CutPrefix(rq.URL.Path, "/v1/objects/")
	if !ok {
		http.NotFound(wr, rq)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	if rq.Method == http.MethodGet && rq.URL.Query().Has("watch") {
		st.serveWatch(wr, rq, kind)
		st.noteAnswered(machine, kind)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	switch rq.Method {
	case http.MethodGet:
		st.serveRead(wr, kind, name)
	case http.MethodPost, http.MethodPut:
		st.serveWrite(wr, rq, kind, name)
	case http.MethodDelete:
		st.serveDelete(wr, rq, kind, name)
	default:
		wr.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// serveRead answers a list, or a read of one object.
func (st *store) serveRead(wr http.ResponseWriter, kind, name string) {
	if name != "" {
		ob, ok := st.objects[kind][name]
		if !ok {
			wr.WriteHeader(http.StatusNotFound)
			return
		}
		reply(wr, http.StatusOK, ob)
		return
	}
	items := make([]object, 0, len(st.objects[kind]))
	for _, ob := range st.objects[kind] {
		items = append(items, ob)
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	reply(wr, http.StatusOK, map[string]any{"items": items, "more": false, "current_rev": st.revision})
}

func (st *store) serveWrite(wr http.ResponseWriter, rq *http.Request, kind, name string) {
	var ob object
	if err := json.NewDecoder(rq.Body).Decode(&ob); err != nil || name == "" && ob.Meta.Name == "" {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = ob.Meta.Name
	}
	present, ok := st.objects[kind][name]
	switch {
	case rq.Method == http.MethodPost && ok, ok && ob.Meta.Revision != 0 && ob.Meta.Revision != present.Meta.Revision:
		reply(wr, http.StatusConflict, present)
		return
	case rq.Method == http.MethodPut && !ok:
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	ob.Meta.Name = name
	reply(wr, http.StatusOK, st.write(kind, ob))
}

func (st *store) serveDelete(wr http.ResponseWriter, rq *http.Request, kind, name string) {
	present, ok := st.objects[kind][name]
	if !ok {
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	if text := rq.URL.Query().Get("revision"); text != "" && text != strconv.FormatUint(present.Meta.Revision, 10) {
		reply(wr, http.StatusConflict, present)
		return
	}
	delete(st.objects[kind], name)
	st.revision++
	st.note(change{Object: present, Removed: true, kind: kind, revision: st.revision})
	reply(wr, http.StatusOK, present)
}

// serveWatch answers with the changes of the kind after the revision, as soon as there is
// one, or with none when the time to wait is over.
func (st *store) serveWatch(wr http.ResponseWriter, rq *http.Request, kind string) {
	after, err := strconv.ParseUint(rq.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(rq.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		status, body, changed := st.eventsAfter(kind, after)
		if status != 0 {
			reply(wr, status, body)
			return
		}
		select {
		case <-rq.Context().Done():
			return
		case <-changed:
		case <-end:
			st.mu.Lock()
			revision := st.revision
			st.mu.Unlock()
			reply(wr, http.StatusOK, map[string]any{"events": []change{}, "current_rev": revision})
			return
		}
	}
}

// eventsAfter returns the answer to a watch, a status of zero if there is no change yet.
func (st *store) eventsAfter(kind string, after uint64) (status int, body any, changed chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.forget()
	if after < st.forgotten {
		return http.StatusGone, map[string]any{"error": "history gone"}, nil
	}
	var events []change
	for _, ch := range st.changes {
		if ch.kind == kind && ch.revision > after {
			events = append(events, ch)
		}
	}
	if len(events) == 0 {
		return 0, nil, st.changed
	}
	return http.StatusOK, map[string]any{"events": events, "current_rev": st.revision}, nil
}

// noteAnswered notes that a watch of the machine was answered.
func (st *store) noteAnswered(machine, kind string) {
	if kind != configKind {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.answered[machine] = time.Now()
}

// lastAnswer returns when a watch of the configuration was last answered to the machine.
func (st *store) lastAnswer(machine string) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.answered[machine]
}

func reply(wr http.ResponseWriter, status int, body any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(body)
}

func (st *store) close() {
	for _, sv := range st.servers {
		sv.Close()
	}
}
