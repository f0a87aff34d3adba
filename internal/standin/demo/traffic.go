package demo

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"corneltiller.dev/corneltiller/internal/protocol/outcome"
	"corneltiller.dev/corneltiller/internal/standin/backend"
	"corneltiller.dev/corneltiller/internal/state/ledger"
	"corneltiller.dev/corneltiller/internal/state/settings"
	"corneltiller.dev/corneltiller/internal/transport/caller"
)

const (
	requestTimeout = 5 * time.Second
	bookingShare   = 0.3
	// deferrablePriority is the RFC 9218 urgency of invoices and wash reports.
	deferrablePriority = "u=6"
)

// stream is the traffic of many callers to one service.
type stream struct {
	service settings.Service
	// flows is the number of callers.
	flows int
	// rate is the number of requests a second of all callers together.
	rate float64
	// deferrable tells traffic that may wait.
	deferrable bool
}

// traffic drives the callers.
type traffic struct {
	authority *x509.CertPool
	book      *callerBook
	seed      uint64
}

// drive runs every stream until the context ends, and returns when every
// request has an outcome.
func (tr *traffic) drive(ctx context.Context, streams []stream) error {
	var eg errgroup.Group
	flow := 0
	for _, st := range streams {
		for range st.flows {
			dr := tr.newDriver(flow, st)
			flow++
			eg.Go(func() error {
				dr.run(ctx)
				return nil
			})
		}
	}
	return eg.Wait()
}

// driver is one caller with one flow at a time.
type driver struct {
	traffic *traffic
	stream  stream
	flow    int
	random  *rand.Rand
	caller  *caller.Caller
	every   time.Duration

	mu   sync.Mutex
	host netip.AddrPort
}

func (tr *traffic) newDriver(flow int, st stream) *driver {
	dr := &driver{
		traffic: tr,
		stream:  st,
		flow:    flow,
		random:  rand.New(rand.NewPCG(tr.seed, uint64(flow))),
		every:   time.Duration(float64(st.flows) / st.rate * float64(time.Second)),
	}
	tr.book.addFlow()
	dr.caller = caller.Open(caller.Config{
		Service:   st.service.Addresses[0],
		Authority: tr.authority,
		Name:      "localhost",
		OnEnd:     dr.ended,
	})
	return dr
}

func (dr *driver) ended(err error) {
	if caller.IsGracefulClose(err) {
		dr.traffic.book.addFlow()
		return
	}
	dr.traffic.book.addEnding(ending{flow: dr.flow, at: time.Now(), host: dr.lastHost(), err: err})
}

func (dr *driver) lastHost() netip.AddrPort {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.host
}

// run sends requests at exponentially distributed intervals.
func (dr *driver) run(ctx context.Context) {
	var pending sync.WaitGroup
	for number := 0; ; number++ {
		pause := time.Duration(dr.random.ExpFloat64() * float64(dr.every))
		booking := !dr.stream.deferrable && dr.random.Float64() < bookingShare
		select {
		case <-ctx.Done():
			pending.Wait()
			dr.caller.Close()
			return
		case <-time.After(pause):
		}
		en := entry{
			identity:   fmt.Sprintf("%d-%d-%d", dr.traffic.seed, dr.flow, number),
			flow:       dr.flow,
			service:    dr.stream.service.Name,
			booking:    booking,
			deferrable: dr.stream.deferrable,
			startedAt:  time.Now(),
		}
		pending.Go(func() { dr.request(en) })
	}
}

func (dr *driver) request(en entry) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	body := "order " + en.identity
	en.host = dr.lastHost()
	dr.send(ctx, &en, body)
	en.finishedAt = time.Now()
	dr.traffic.book.add(en)
}

// send makes the request and fills in what the caller was told.
func (dr *driver) send(ctx context.Context, en *entry, body string) {
	en.outcome = OutcomeUnknown
	answer, err := dr.caller.Do(newRequest(ctx, en, body))
	if err != nil {
		en.failure = err.Error()
		if errors.Is(err, caller.ErrNotRun) {
			en.outcome = OutcomeNotRun
		}
		return
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		en.failure = err.Error()
		return
	}
	dr.learnHost(en, answer.Header)
	en.reason = answer.Header.Get(outcome.HeaderReason)
	ou, _ := outcome.Read(answer.Header)
	switch {
	case answer.StatusCode == http.StatusOK:
		en.outcome = OutcomeAnswered
		dr.check(en, body, data)
	case ou == ledger.NotRun, answer.Header.Get(backend.HeaderShed) != "":
		en.outcome = OutcomeNotRun
	default:
		en.failure = answer.Status + " " + en.reason
	}
}

// check compares an answer with its request.
func (dr *driver) check(en *entry, body string, data []byte) {
	var an backend.Answer
	if err := json.Unmarshal(data, &an); err != nil {
		en.wrong = true
		return
	}
	whole := len(an.Padding) == backend.Defaults().AnswerSize
	own := an.Identity == en.identity && an.Service == en.service
	en.wrong = !whole || !own || an.Digest != crc32.ChecksumIEEE([]byte(body))
}

// learnHost keeps the agent that holds the flow.
func (dr *driver) learnHost(en *entry, he http.Header) {
	host, err := netip.ParseAddrPort(he.Get(outcome.HeaderHost))
	if err != nil {
		return
	}
	en.answeredBy = host
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.host = host
}

func newRequest(ctx context.Context, en *entry, body string) *http.Request {
	method, path := http.MethodGet, "/status"
	switch {
	case en.booking:
		method, path = http.MethodPost, "/bookings"
	case en.deferrable:
		path = "/invoices"
	}
	re, err := http.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	if err != nil {
		panic(err) // The method and the path are constants.
	}
	re.Header.Set(backend.HeaderIdentity, en.identity)
	re.Header.Set(backend.HeaderService, en.service)
	if en.deferrable {
		re.Header.Set("Priority", deferrablePriority)
	}
	return re
}
