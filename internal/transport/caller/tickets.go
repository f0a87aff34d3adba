package caller

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/protocol/outcome"
	"corneltiller.dev/corneltiller/internal/protocol/ticket"
	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// The handling of tickets.
const (
	// ticketLife is how long an unused ticket is kept.
	ticketLife = time.Minute
	// ticketLimit bounds the tickets that are kept.
	ticketLimit = 16
	// attemptLimit bounds how often one request is sent.
	attemptLimit = 5
	// repeatDelay is the time before a request is sent again after an error.
	repeatDelay = 100 * time.Millisecond
)

// Tickets is an http.RoundTripper that sends unrepeatable requests with a
// ticket. A request that was refused for its ticket is sent with a fresh one;
// a request whose answer was lost is sent again with the same ticket, so that
// it runs at most once. It is safe for concurrent use.
type Tickets struct {
	// Next sends the requests.
	Next http.RoundTripper

	mu   sync.Mutex
	kept []keptTicket
}

// keptTicket is an unused ticket.
type keptTicket struct {
	token  string
	expiry time.Time
}

// RoundTrip sends a request and returns the answer.
func (ti *Tickets) RoundTrip(re *http.Request) (*http.Response, error) {
	at, err := outcome.Parse(time.Now(), re.Method, re.Header)
	if err != nil {
		return nil, errors.Wrap(err, "read request header")
	}
	if deadline, ok := re.Context().Deadline(); ok && re.Header.Get(outcome.HeaderTimeout) == "" {
		re = re.Clone(re.Context())
		remaining := max(1, time.Until(deadline).Milliseconds())
		re.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(remaining, 10))
	}
	switch {
	case at.Token != "":
		answer, err := ti.Next.RoundTrip(re)
		ti.learn(answer)
		return answer, err
	case at.Repeatable:
		return ti.sendRepeatable(re)
	default:
		return ti.sendOnce(re)
	}
}

// sendRepeatable sends a request again when its flow ended or its agent drains:
// another flow leads elsewhere.
func (ti *Tickets) sendRepeatable(re *http.Request) (*http.Response, error) {
	body, err := readBody(re)
	if err != nil {
		return nil, err
	}
	for attempt := 1; ; attempt++ {
		answer, err := ti.Next.RoundTrip(withTicket(re, body, ""))
		ti.learn(answer)
		draining := err == nil && refusedBy(answer, dispatch.ReasonDraining)
		if err == nil && !draining || attempt == attemptLimit || !pause(re) {
			return answer, err
		}
		if draining {
			answer.Body.Close()
		}
	}
}

// readBody reads the body of a request, which may be sent several times.
func readBody(re *http.Request) ([]byte, error) {
	if re.Body == nil {
		return nil, nil
	}
	defer re.Body.Close()
	body, err := io.ReadAll(re.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	return body, nil
}

// Forget drops all unused tickets, because the agent that issued them is
// likely gone.
func (ti *Tickets) Forget() {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.kept = nil
}

// sendOnce sends an unrepeatable request until it has an outcome.
func (ti *Tickets) sendOnce(re *http.Request) (*http.Response, error) {
	body, err := readBody(re)
	if err != nil {
		return nil, err
	}
	token := ti.take()
	for attempt := 1; ; attempt++ {
		answer, err := ti.Next.RoundTrip(withTicket(re, body, token))
		ti.learn(answer)
		switch {
		case attempt == attemptLimit || re.Context().Err() != nil:
			return answer, err
		case err != nil:
			// The first attempt of a flow may find its agent gone. Without
			// a ticket nothing ran.
			if !pause(re) {
				return nil, err
			}
		case refusedBy(answer, dispatch.ReasonDraining):
			// The ticket is final as not run; another flow leads elsewhere.
			if !pause(re) {
				return answer, nil
			}
			answer.Body.Close()
			token = ti.take()
		case refusedBy(answer, dispatch.ReasonTicketRequired, dispatch.ReasonTicketRefused):
			next := ti.take()
			if next == "" {
				return answer, nil
			}
			answer.Body.Close()
			token = next
		default:
			return answer, nil
		}
	}
}

// withTicket returns a copy of the request with the body and the ticket.
func withTicket(re *http.Request, body []byte, token string) *http.Request {
	out := re.Clone(re.Context())
	out.Body = io.NopCloser(bytes.NewReader(body))
	out.ContentLength = int64(len(body))
	if token != "" {
		out.Header.Set(ticket.Header, token)
	}
	return out
}

// refusedBy reports whether the request did not run for one of the reasons.
func refusedBy(answer *http.Response, reasons ...dispatch.Reason) bool {
	if ou, ok := outcome.Read(answer.Header); !ok || ou != ledger.NotRun {
		return false
	}
	return slices.ContainsFunc(reasons, func(re dispatch.Reason) bool {
		return answer.Header.Get(outcome.HeaderReason) == re.String()
	})
}

// pause waits before a repeat. It reports false if the request was canceled.
func pause(re *http.Request) bool {
	timer := time.NewTimer(repeatDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-re.Context().Done():
		return false
	}
}

// learn keeps the fresh ticket of an answer.
func (ti *Tickets) learn(answer *http.Response) {
	if answer == nil || answer.Header.Get(ticket.Header) == "" {
		return
	}
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.kept = append(ti.kept, keptTicket{
		token:  answer.Header.Get(ticket.Header),
		expiry: time.Now().Add(ticketLife),
	})
	if len(ti.kept) > ticketLimit {
		ti.kept = ti.kept[1:]
	}
}

// take returns the latest unused ticket, or an empty token.
func (ti *Tickets) take() string {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	if len(ti.kept) == 0 {
		return ""
	}
	last := ti.kept[len(ti.kept)-1]
	ti.kept = ti.kept[:len(ti.kept)-1]
	if time.Now().After(last.expiry) {
		ti.kept = nil
		return ""
	}
	return last.token
}
