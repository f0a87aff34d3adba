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
	// bookingShare is the share of bookings among the requests that may not wait.
	bookingShare = 0.3
	// deferrablePriority is the RFC 9218 urgency of requests that may wait.
	deferrablePriority = "u=6"
)

// stream is the traffic of many callers to one service.
type stream struct {
	service settings.Service
	// flows is the number of callers, each with one flow at a time.
	flows int
	// rate is the number of requests per second of all callers together.
	rate float64
	// deferrable marks requests that may wait.
	deferrable bool
}

// traffic runs the callers and records what they see.
type traffic struct {
	authority *x509.CertPool
	records   *callerRecords
	seed      uint64
}

// drive sends the requests of every stream until the context ends, and returns when
// every request has an outcome.
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

// driver sends the requests of one caller, which has one flow at a time.
type driver struct {
	traffic      *traffic
	stream       stream
	flow         int
	random       *rand.Rand
	caller       *caller.Caller
	meanInterval time.Duration

	mu   sync.Mutex
	host netip.AddrPort
}

func (tr *traffic) newDriver(flow int, st stream) *driver {
	dr := &driver{
		traffic:      tr,
		stream:       st,
		flow:         flow,
		random:       rand.New(rand.NewPCG(tr.seed, uint64(flow))),
		meanInterval: time.Duration(float64(st.flows) / st.rate * float64(time.Second)),
	}
	tr.records.addFlow()
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
		dr.traffic.records.addFlow()
		return
	}
	dr.traffic.records.addBrokenFlow(brokenFlow{flow: dr.flow, at: time.Now(), host: dr.lastHost(), err: err})
}

func (dr *driver) lastHost() netip.AddrPort {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.host
}

// run sends requests at exponentially distributed intervals until the context
// ends, and waits for the pending ones.
func (dr *driver) run(ctx context.Context) {
	var pending sync.WaitGroup
	for number := 0; ; number++ {
		pause := time.Duration(dr.random.ExpFloat64() * float64(dr.meanInterval))
		booking := !dr.stream.deferrable && dr.random.Float64() < bookingShare
		select {
		case <-ctx.Done():
			pending.Wait()
			dr.caller.Close()
			return
		case <-time.After(pause):
		}
		rq := request{
			identity:   fmt.Sprintf("%d-%d-%d", dr.traffic.seed, dr.flow, number),
			flow:       dr.flow,
			service:    dr.stream.service.Name,
			booking:    booking,
			deferrable: dr.stream.deferrable,
			startedAt:  time.Now(),
		}
		pending.Go(func() { dr.request(rq) })
	}
}

func (dr *driver) request(rq request) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	body := "order " + rq.identity
	rq.host = dr.lastHost()
	dr.send(ctx, &rq, body)
	rq.finishedAt = time.Now()
	dr.traffic.records.add(rq)
}

// send makes the request and records its outcome.
func (dr *driver) send(ctx context.Context, rq *request, body string) {
	rq.outcome = OutcomeUnknown
	answer, err := dr.caller.Do(newRequest(ctx, rq, body))
	if err != nil {
		rq.failure = err.Error()
		if errors.Is(err, caller.ErrNotRun) {
			rq.outcome = OutcomeNotRun
		}
		return
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		rq.failure = err.Error()
		return
	}
	dr.recordHost(rq, answer.Header)
	rq.reason = answer.Header.Get(outcome.HeaderReason)
	ou, _ := outcome.Read(answer.Header)
	switch {
	case answer.StatusCode == http.StatusOK:
		rq.outcome = OutcomeAnswered
		dr.check(rq, body, data)
	case ou == ledger.NotRun, answer.Header.Get(backend.HeaderShed) != "":
		rq.outcome = OutcomeNotRun
	default:
		rq.failure = answer.Status + " " + rq.reason
	}
}

// check records whether an answer is complete and belongs to its request.
func (dr *driver) check(rq *request, body string, data []byte) {
	var an backend.Answer
	if err := json.Unmarshal(data, &an); err != nil {
		rq.wrongAnswer = true
		return
	}
	complete := len(an.Padding) == backend.Defaults().AnswerSize
	own := an.Identity == rq.identity && an.Service == rq.service
	rq.wrongAnswer = !complete || !own || an.Digest != crc32.ChecksumIEEE([]byte(body))
}

// recordHost records the agent that the answer names as the holder of the flow.
func (dr *driver) recordHost(rq *request, he http.Header) {
	host, err := netip.ParseAddrPort(he.Get(outcome.HeaderHost))
	if err != nil {
		return
	}
	rq.answeredBy = host
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.host = host
}

func newRequest(ctx context.Context, rq *request, body string) *http.Request {
	method, path := http.MethodGet, "/status"
	switch {
	case rq.booking:
		method, path = http.MethodPost, "/bookings"
	case rq.deferrable:
		path = "/invoices"
	}
	re, err := http.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	if err != nil {
		panic(err) // The method and the path are constants.
	}
	re.Header.Set(backend.HeaderIdentity, rq.identity)
	re.Header.Set(backend.HeaderService, rq.service)
	if rq.deferrable {
		re.Header.Set("Priority", deferrablePriority)
	}
	return re
}
