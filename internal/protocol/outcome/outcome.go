// Package outcome reads and writes the HTTP header fields in which callers state
// the priority, the timeout and the repeatability of a request, and in which
// answers state the outcome.
//
// Callers send Priority (RFC 9218), Idempotency-Key, Corneltiller-Repeatable,
// Corneltiller-Timeout-Milliseconds and Corneltiller-Ticket. Every answer carries
// Corneltiller-Outcome.
//
// A backend server refuses a request before running it by answering with
// Corneltiller-Outcome: NotRun. Any other answer counts as Answered.
//
// # Usage
//
//	at, err := outcome.Parse(now, re.Method, re.Header)
//	outcome.Write(wr.Header(), ledger.NotRun, dispatch.ReasonOverloaded)
package outcome

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/dispatch"
	"corneltiller.dev/corneltiller/internal/protocol/ticket"
	"corneltiller.dev/corneltiller/internal/state/ledger"
)

// The header fields of requests and answers.
const (
	// HeaderOutcome holds the outcome: Answered, NotRun or Unknown.
	HeaderOutcome = "Corneltiller-Outcome"
	// HeaderReason holds the reason for an outcome other than Answered.
	HeaderReason = "Corneltiller-Reason"
	// HeaderHost holds the datagram address of the agent that holds the flow.
	HeaderHost = "Corneltiller-Host"
	// HeaderTimeout holds the time that the caller waits for an answer, in
	// milliseconds from the arrival of the request. It is a duration and not a
	// time of day, because clocks of instances differ.
	HeaderTimeout = "Corneltiller-Timeout-Milliseconds"
	// HeaderRepeatable holds whether the request may run more than once, ?1 or
	// ?0. It takes precedence over HeaderIdempotencyKey and the method.
	HeaderRepeatable = "Corneltiller-Repeatable"
	// HeaderIdempotencyKey holds a key by which the backend server runs repeats of
	// a request only once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderPriority holds the urgency of the request (RFC 9218).
	HeaderPriority = "Priority"
)

// headerPrefix begins the names of the header fields that the project defines.
const headerPrefix = "Corneltiller-"

// The defaults and limits of the values.
const (
	// DefaultTimeout is the timeout of requests without HeaderTimeout.
	DefaultTimeout = 30 * time.Second
	// MaxTimeout is the largest timeout; longer ones are shortened to it.
	MaxTimeout = 5 * time.Minute
	// defaultUrgency is the default urgency of RFC 9218, section 4.1. Requests
	// with a larger value are deferrable.
	defaultUrgency = 3
	// maxUrgency is the largest urgency value, that of the least urgent requests.
	maxUrgency = 7
	// retryAfter is the value of Retry-After in answers with status 503 to
	// requests that were not run, in seconds.
	retryAfter = "1"
)

// The errors of Parse.
var (
	// ErrPriority means that HeaderPriority is malformed or its urgency is out of
	// range.
	ErrPriority = errors.New("malformed Priority header field")
	// ErrTimeout means that HeaderTimeout is not a positive number of at most 31
	// bits.
	ErrTimeout = errors.New("malformed Corneltiller-Timeout-Milliseconds header field")
	// ErrRepeatable means that HeaderRepeatable is neither ?1 nor ?0.
	ErrRepeatable = errors.New("malformed Corneltiller-Repeatable header field")
)

// Attributes are the properties of a request that its header fields and method
// state.
type Attributes struct {
	Class      dispatch.Class
	Deadline   time.Time
	Repeatable bool
	// Token is the encoded ticket of the request, or empty.
	Token string
}

// Parse returns the attributes of a request that arrived at the time now. Errors
// are ErrPriority, ErrTimeout and ErrRepeatable.
func Parse(now time.Time, method string, he http.Header) (Attributes, error) {
	at := Attributes{Token: he.Get(ticket.Header)}
	urgency, err := parseUrgency(strings.Join(he.Values(HeaderPriority), ","))
	if err != nil {
		return Attributes{}, err
	}
	if urgency > defaultUrgency {
		at.Class = dispatch.ClassDeferrable
	}
	timeout, err := parseTimeout(he.Get(HeaderTimeout))
	if err != nil {
		return Attributes{}, err
	}
	at.Deadline = now.Add(timeout)
	at.Repeatable, err = parseRepeatable(method, he)
	return at, err
}

// parseUrgency returns the urgency of a Priority field, defaultUrgency if it has
// none.
func parseUrgency(field string) (int, error) {
	urgency := defaultUrgency
	for _, member := range strings.Split(field, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(member), "=")
		if key != "u" {
			if strings.ContainsAny(key, " \t\"") {
				return 0, ErrPriority
			}
			continue
		}
		number, err := strconv.Atoi(value)
		if err != nil || number < 0 || number > maxUrgency {
			return 0, ErrPriority
		}
		urgency = number
	}
	return urgency, nil
}

// parseTimeout returns the time that the caller waits for an answer, at most
// MaxTimeout.
func parseTimeout(field string) (time.Duration, error) {
	if field == "" {
		return DefaultTimeout, nil
	}
	number, err := strconv.ParseInt(field, 10, 32)
	if err != nil || number <= 0 {
		return 0, ErrTimeout
	}
	return min(time.Duration(number)*time.Millisecond, MaxTimeout), nil
}

// parseRepeatable reports whether the request may run more than once, by
// HeaderRepeatable, HeaderIdempotencyKey or the method.
func parseRepeatable(method string, he http.Header) (bool, error) {
	switch he.Get(HeaderRepeatable) {
	case "?1":
		return true, nil
	case "?0":
		return false, nil
	case "":
	default:
		return false, ErrRepeatable
	}
	if he.Get(HeaderIdempotencyKey) != "" {
		return true, nil
	}
	return Idempotent(method), nil
}

// Idempotent reports whether the method is idempotent (RFC 9110, section 9.2.2).
func Idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// Write sets the outcome and its reason in the header of an answer. For a request
// that was not run and gets status 503 it also sets Retry-After.
func Write(he http.Header, ou ledger.Outcome, re dispatch.Reason) {
	he.Set(HeaderOutcome, ou.String())
	if re == dispatch.ReasonNone {
		return
	}
	he.Set(HeaderReason, re.String())
	if ou == ledger.NotRun && Status(ou, re) == http.StatusServiceUnavailable {
		he.Set("Retry-After", retryAfter)
	}
}

// Read returns the outcome in the header of an answer. It returns false if there
// is none or it is unknown to this version.
func Read(he http.Header) (ledger.Outcome, bool) {
	for ou := ledger.Answered; ou <= ledger.Unknown; ou++ {
		if he.Get(HeaderOutcome) == ou.String() {
			return ou, true
		}
	}
	return 0, false
}

// Status returns the HTTP status of an outcome other than Answered.
func Status(ou ledger.Outcome, re dispatch.Reason) int {
	switch re {
	case dispatch.ReasonTicketRequired:
		return http.StatusPreconditionRequired
	case dispatch.ReasonTicketRefused, dispatch.ReasonTicketSpent:
		return http.StatusConflict
	case dispatch.ReasonTicketMismatch:
		return http.StatusUnprocessableEntity
	case dispatch.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		if ou == ledger.NotRun {
			return http.StatusServiceUnavailable
		}
		return http.StatusBadGateway
	}
}

// Strip removes the header fields that the project defines, so that neither a
// backend server nor a caller can set them for the other.
func Strip(he http.Header) {
	for name := range he {
		if strings.HasPrefix(name, headerPrefix) {
			delete(he, name)
		}
	}
}
