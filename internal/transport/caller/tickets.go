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

// The limits of tickets and retries.
const (
	// ticketLifetime is how long an unused ticket is kept.
	ticketLifetime = time.Minute
	// maxTickets is the greatest number of unused tickets that are kept.
	maxTickets = 16
	// maxAttempts is how often one request is sent at most.
	maxAttempts = 5
	// retryDelay is the time before a request is sent again after an error or a
	// refusal by a draining agent.
	retryDelay = 100 * time.Millisecond
)

// TicketTransport is an http.RoundTripper that sends unrepeatable requests with a
// ticket. A request that was refused for lack of a valid ticket is sent again with
// a fresh one; a request whose answer was lost is sent again with the same ticket,
// so that it runs at most once. It is safe for concurrent use.
type TicketTransport struct {
	// Next is the round tripper that sends the requests.
	Next http.RoundTripper

	mu   sync.Mutex
	kept []keptTicket
}

// keptTicket is an unused ticket and when it expires.
type keptTicket struct {
	token  string
	expiry time.Time
}

// RoundTrip sends a request, at most maxAttempts times, and returns the last answer.
// A request that has a ticket already is sent once. A deadline of the request's
// context is sent along in the timeout header unless that is set.
func (tt *TicketTransport) RoundTrip(re *http.Request) (*http.Response, error) {
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
		answer, err := tt.Next.RoundTrip(re)
		tt.keep(answer)
		return answer, err
	case at.Repeatable:
		return tt.sendRepeatable(re)
	default:
		return tt.sendUnrepeatable(re)
	}
}

// sendRepeatable sends a request again if its flow ended or its agent is draining:
// a new flow may lead to another agent.
func (tt *TicketTransport) sendRepeatable(re *http.Request) (*http.Response, error) {
	body, err := readBody(re)
	if err != nil {
		return nil, err
	}
	for attempt := 1; ; attempt++ {
		answer, err := tt.Next.RoundTrip(withTicket(re, body, ""))
		tt.keep(answer)
		draining := err == nil && refusedFor(answer, dispatch.ReasonDraining)
		if err == nil && !draining || attempt == maxAttempts || !waitForRetry(re) {
			return answer, err
		}
		if draining {
			answer.Body.Close()
		}
	}
}

// readBody reads and closes the body of a request, which may be sent several times.
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

// DropTickets drops all unused tickets. It is for the end of a flow, when the agent that
// issued them is probably gone.
func (tt *TicketTransport) DropTickets() {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.kept = nil
}

// sendUnrepeatable sends an unrepeatable request, again if needed, with tickets that
// let it run at most once.
func (tt *TicketTransport) sendUnrepeatable(re *http.Request) (*http.Response, error) {
	body, err := readBody(re)
	if err != nil {
		return nil, err
	}
	token := tt.take()
	for attempt := 1; ; attempt++ {
		answer, err := tt.Next.RoundTrip(withTicket(re, body, token))
		tt.keep(answer)
		switch {
		case attempt == maxAttempts || re.Context().Err() != nil:
			return answer, err
		case err != nil:
			// The agent may be gone. The same token is sent again: a request with
			// a ticket runs at most once, and one without a ticket isn't run.
			if !waitForRetry(re) {
				return nil, err
			}
		case refusedFor(answer, dispatch.ReasonDraining):
			// The ticket's outcome is final, NotRun, so the request needs another
			// ticket. A new flow may lead to another agent.
			if !waitForRetry(re) {
				return answer, nil
			}
			answer.Body.Close()
			token = tt.take()
		case refusedFor(answer, dispatch.ReasonTicketRequired, dispatch.ReasonTicketRefused):
			next := tt.take()
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

// withTicket returns a copy of the request with the body and, unless the token is
// empty, the ticket.
func withTicket(re *http.Request, body []byte, token string) *http.Request {
	out := re.Clone(re.Context())
	out.Body = io.NopCloser(bytes.NewReader(body))
	out.ContentLength = int64(len(body))
	if token != "" {
		out.Header.Set(ticket.Header, token)
	}
	return out
}

// refusedFor reports whether the answer says that the request did not run for one of
// the reasons.
func refusedFor(answer *http.Response, reasons ...dispatch.Reason) bool {
	if ou, ok := outcome.Read(answer.Header); !ok || ou != ledger.NotRun {
		return false
	}
	return slices.ContainsFunc(reasons, func(re dispatch.Reason) bool {
		return answer.Header.Get(outcome.HeaderReason) == re.String()
	})
}

// waitForRetry waits for retryDelay. It returns false if the request was canceled.
func waitForRetry(re *http.Request) bool {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-re.Context().Done():
		return false
	}
}

// keep keeps the fresh ticket of an answer, if the answer has one, and drops the
// oldest beyond maxTickets.
func (tt *TicketTransport) keep(answer *http.Response) {
	if answer == nil || answer.Header.Get(ticket.Header) == "" {
		return
	}
	tt.mu.Lock()
	defer tt.mu.Unlock()
	tt.kept = append(tt.kept, keptTicket{
		token:  answer.Header.Get(ticket.Header),
		expiry: time.Now().Add(ticketLifetime),
	})
	if len(tt.kept) > maxTickets {
		tt.kept = tt.kept[1:]
	}
}

// take removes and returns the latest unused ticket, or an empty token if none is
// valid any more.
func (tt *TicketTransport) take() string {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if len(tt.kept) == 0 {
		return ""
	}
	last := tt.kept[len(tt.kept)-1]
	tt.kept = tt.kept[:len(tt.kept)-1]
	if time.Now().After(last.expiry) {
		tt.kept = nil
		return ""
	}
	return last.token
}
