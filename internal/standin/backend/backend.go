// Package backend stands in for a firm's backend server: a few slots, cold
// starts, shedding, cancellation and deadlines, a health endpoint that lags,
// and a book of every run.
//
// # Usage
//
//	se, err := backend.Open(ctx, cfg)
//	err = se.Run(ctx)
//	runs := se.Book.Runs()
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

// The headers between the trial callers and the server.
const (
	// HeaderIdentity is the caller's own name for a request.
	HeaderIdentity = "Trial-Identity"
	// HeaderService is the name of the service that the caller means.
	HeaderService = "Trial-Service"
	// HeaderShed marks a refusal that came before any work.
	HeaderShed = "Trial-Shed"
)

const maxBody = 1 << 20 // bytes

// Settings are the settings of the stand-in.
type Settings struct {
	// Address is the HTTP address.
	Address netip.AddrPort
	// Service is the name of the service served.
	Service string
	// Slots is the number of requests worked on at once.
	Slots int
	// QueueLimit is the number of waiting requests beyond which more are shed.
	QueueLimit int
	// MeanWork is the mean time of the work for one request.
	MeanWork settings.Duration
	// Spread is the standard deviation of the work's logarithm.
	Spread float64
	// ColdFor is how long after the start work takes ColdFactor times as long.
	ColdFor settings.Duration
	// ColdFactor is the slow-down of a cold server.
	ColdFactor float64
	// HealthLag is how old the reported load is.
	HealthLag settings.Duration
	// AnswerSize is the padding of an answer in bytes.
	AnswerSize int
	// Seed seeds the times of the work.
	Seed uint64
}

// Defaults returns the settings of an ordinary server.
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

// Server is one stand-in server.
type Server struct {
	// Executions records every run.
	Executions Book
	// Slowdown multiplies the work's time in percent; 100 is ordinary.
	Slowdown atomic.Int64

	cfg      Settings
	listener *link.Listener
	started  time.Time
	slots    chan struct{}
	waiting  atomic.Int64
	health   lagging

	mu     sync.Mutex
	random *rand.Rand
}

// Answer is the body of every answer.
type Answer struct {
	// Identity repeats the caller's own name for the request.
	Identity string
	// Service is the service that did the work.
	Service string
	// Host is the server's address.
	Host netip.AddrPort
	// Digest is the CRC-32 of the request's body.
	Digest uint32
	// Padding makes the answer as long as the settings say.
	Padding string
}

// Open takes the server's address.
func Open(ctx context.Context, cfg Settings) (*Server, error) {
	se := &Server{
		cfg:     cfg,
		started: time.Now(),
		slots:   make(chan struct{}, cfg.Slots),
		random:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		health:  lagging{lag: time.Duration(cfg.HealthLag)},
	}
	se.Slowdown.Store(100)
	var err error
	se.listener, err = link.Listen(ctx, cfg.Address, nil, se)
	return se, err
}

// Address returns the server's address.
func (se *Server) Address() netip.AddrPort { return se.listener.Address() }

// Run serves until the context ends.
func (se *Server) Run(ctx context.Context) error {
	return se.listener.Run(ctx)
}

// ServeHTTP does the work of a request, or tells health, load and the book.
func (se *Server) ServeHTTP(wr http.ResponseWriter, re *http.Request) {
	switch re.URL.Path {
	case "/Health":
		writeJSON(wr, se.health.report(time.Now(), se.load()))
	case "/Book":
		writeJSON(wr, se.Executions.All())
	default:
		se.work(wr, re)
	}
}

// load returns the requests in work and in the queue.
func (se *Server) load() int {
	return len(se.slots) + int(se.waiting.Load())
}

func (se *Server) work(wr http.ResponseWriter, re *http.Request) {
	body, err := io.ReadAll(io.LimitReader(re.Body, maxBody))
	if err != nil {
		http.Error(wr, "body unreadable", http.StatusBadRequest)
		return
	}
	if !se.enter(re.Context()) {
		wr.Header().Set(HeaderShed, "true")
		http.Error(wr, "shed", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-se.slots }()

	position := se.Executions.start(Execution{
		Identity:  re.Header.Get(HeaderIdentity),
		Path:      re.URL.Path,
		Service:   re.Header.Get(HeaderService),
		StartedAt: time.Now(),
	})
	cancelled := !sleep(re.Context(), se.duration())
	se.Executions.finish(position, time.Now(), cancelled)
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

// enter waits for a slot. It returns false if the request is shed.
func (se *Server) enter(ctx context.Context) bool {
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

// duration draws the time of one piece of work from a log-normal distribution.
func (se *Server) duration() time.Duration {
	se.mu.Lock()
	normal := se.random.NormFloat64()
	se.mu.Unlock()
	factor := math.Exp(se.cfg.Spread*normal - se.cfg.Spread*se.cfg.Spread/2)
	if time.Since(se.started) < time.Duration(se.cfg.ColdFor) {
		factor *= se.cfg.ColdFactor
	}
	factor *= float64(se.Slowdown.Load()) / 100
	return time.Duration(float64(se.cfg.MeanWork) * factor)
}

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
