// Package backend implements a simulated backend server over HTTP for the demo
// and the tests. It executes a limited number of requests at once, refuses
// requests beyond its queue limit, stops work that the caller cancels, is slow
// for a while after its start, reports its load with a delay, and records every
// execution, so that a test can tell which requests ran and how often.
//
// # Usage
//
//	se, err := backend.Open(ctx, cfg)
//	err = se.Run(ctx)
//	executions := se.Executions.All()
package backend

import (
	"context"
	"encoding/json"
	"hash/crc32"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/link"
)

// The headers that callers in a test and the server exchange.
const (
	// HeaderIdentity is the identity that the caller gave the request.
	HeaderIdentity = "Trial-Identity"
	// HeaderService is the name of the service that the caller addressed.
	HeaderService = "Trial-Service"
	// HeaderShed is "true" on the answer to a request that was refused without
	// being executed.
	HeaderShed = "Trial-Shed"
)

// maxBody is the number of bytes of a request's body that are read; the rest
// is ignored.
const maxBody = 1 << 20

// Settings are the settings of the simulated backend server.
type Settings struct {
	// Address is the address to listen on for HTTP requests.
	Address netip.AddrPort
	// Service is the name of the service that the server belongs to.
	Service string
	// Slots is the number of requests that are executed at once.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot; further
	// requests are refused.
	QueueLimit int
	// MeanWork is the mean execution time of a request.
	MeanWork settings.Duration
	// Spread is the standard deviation of the logarithm of the execution time.
	Spread float64
	// ColdFor is the time after the start in which an execution takes ColdFactor
	// times as long.
	ColdFor settings.Duration
	// ColdFactor is the factor on execution times during ColdFor.
	ColdFactor float64
	// HealthLag is the least age at which the health endpoint replaces its sample
	// of the load. The answer that replaces it still reports the old sample.
	HealthLag settings.Duration
	// AnswerSize is the length of an answer's Padding in bytes.
	AnswerSize int
	// Seed seeds the random execution times.
	Seed uint64
}

// Defaults returns settings without an address and a service, and without a
// slow period after the start.
func Defaults() Settings {
	return Settings{
		Slots:      2,
		QueueLimit: 64,
		MeanWork:   settings.Duration(5 * time.Millisecond),
		Spread:     0.5,
		ColdFactor: 3,
		HealthLag:  settings.Duration(time.Second),
		AnswerSize: 256,
	}
}

// Server is a simulated backend server. It implements http.Handler.
type Server struct {
	// Executions records every execution.
	Executions ExecutionLog
	// WorkTimePercent is a factor on execution times in percent; 100 leaves them
	// unchanged.
	WorkTimePercent atomic.Int64

	cfg      Settings
	listener *link.Listener
	started  time.Time
	slots    chan struct{}
	waiting  atomic.Int64
	health   delayedLoad

	mu     sync.Mutex
	random *rand.Rand
}

// Answer is the JSON body of the answer to an executed request.
type Answer struct {
	// Identity is the value of the request's HeaderIdentity.
	Identity string
	// Service is the name of the service that the server belongs to.
	Service string
	// Host is the server's address.
	Host netip.AddrPort
	// Digest is the CRC-32 (IEEE) of the bytes of the request's body that were read.
	Digest uint32
	// Padding is filler of Settings.AnswerSize bytes.
	Padding string
}

// Open returns a server that listens on the address of its settings. It serves
// requests once Run is called.
func Open(ctx context.Context, cfg Settings) (*Server, error) {
	se := &Server{
		cfg:     cfg,
		started: time.Now(),
		slots:   make(chan struct{}, cfg.Slots),
		random:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		health:  delayedLoad{interval: time.Duration(cfg.HealthLag)},
	}
	se.WorkTimePercent.Store(100)
	var err error
	se.listener, err = link.Listen(ctx, cfg.Address, nil, se)
	return se, err
}

// Address returns the address that the server listens on.
func (se *Server) Address() netip.AddrPort { return se.listener.Address() }

// Run serves until the context ends.
func (se *Server) Run(ctx context.Context) error {
	return se.listener.Run(ctx)
}

// ServeHTTP answers /Health with a Health and /Book with a list of Execution,
// both as JSON, and executes a request to any other path.
func (se *Server) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	switch re.URL.Path {
	case "/Health":
		writeJSON(wr, se.health.report(time.Now(), se.pending()))
	case "/Book":
		writeJSON(wr, se.Executions.All())
	default:
		se.execute(wr, re)
	}
}

// pending returns the number of requests that are executed or wait for a slot.
func (se *Server) pending() int {
	return len(se.slots) + int(se.waiting.Load())
}

// execute waits for a slot, holds it for a random execution time and answers.
// A request that is cancelled during the execution, by the caller or because the
// server stops, gets no answer body.
func (se *Server) execute(wr http.ResponseWriter, re *http.Request) {
	body, err := io.ReadAll(io.LimitReader(re.Body, maxBody))
	if err != nil {
		http.Error(wr, "body unreadable", http.StatusBadRequest)
		return
	}
	if !se.acquireSlot(re.Context()) {
		wr.Header().Set(HeaderShed, "true")
		http.Error(wr, "shed", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-se.slots }()

	index := se.Executions.start(Execution{
		Identity:  re.Header.Get(HeaderIdentity),
		Path:      re.URL.Path,
		Service:   re.Header.Get(HeaderService),
		StartedAt: time.Now(),
	})
	cancelled := !sleep(re.Context(), se.drawWorkTime())
	se.Executions.finish(index, time.Now(), cancelled)
	if cancelled {
		return
	}
	writeJSON(wr, Answer{
		Identity: re.Header.Get(HeaderIdentity),
		Service:  se.cfg.Service,
		Host:     se.Address(),
		Digest:   crc32.ChecksumIEEE(body),
		Padding:  padding(se.cfg.AnswerSize),
	})
}

// acquireSlot waits for a slot. It returns false if the queue is full or the
// context ends first.
func (se *Server) acquireSlot(ctx context.Context) bool {
	if int(se.waiting.Add(1)) > se.cfg.QueueLimit {
		se.waiting.Add(-1)
		return false
	}
	defer se.waiting.Add(-1)
	select {
	case se.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// drawWorkTime draws an execution time from a log-normal distribution.
func (se *Server) drawWorkTime() time.Duration {
	se.mu.Lock()
	normal := se.random.NormFloat64()
	se.mu.Unlock()
	factor := math.Exp(se.cfg.Spread*normal - se.cfg.Spread*se.cfg.Spread/2)
	if time.Since(se.started) < time.Duration(se.cfg.ColdFor) {
		factor *= se.cfg.ColdFactor
	}
	factor *= float64(se.WorkTimePercent.Load()) / 100
	return time.Duration(float64(se.cfg.MeanWork) * factor)
}

// sleep waits for the duration. It returns false if the context ends first.
func sleep(ctx context.Context, du time.Duration) bool {
	timer := time.NewTimer(du)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func padding(length int) string {
	text := make([]byte, length)
	for i := range text {
		text[i] = 'x'
	}
	return string(text)
}

func writeJSON(wr http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(wr, err.Error(), http.StatusInternalServerError)
		return
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = wr.Write(data)
}
