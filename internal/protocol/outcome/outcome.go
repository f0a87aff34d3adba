// Package outcome reads and writes the header fields in which callers say what
// they want of a request and are told what became of it.
//
// Callers send Priority (RFC 9218), Idempotency-Key, and the fields below whose
// names begin with Corneltiller. Every answer carries Corneltiller-Outcome.
//
// A backend server refuses a request before running it by answering with
// Corneltiller-Outcome: NotRun. Any other answer counts as Answered.
//
// # Usage
//
//	at, err := outcome.Parse(now, re.Method, re.Header)
//	outcome.Mark(wr.Header(), ledger.NotRun, dispatch.ReasonOverloaded)
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
	// HeaderOutcome is Answered, NotRun or Unknown.
	HeaderOutcome = "Corneltiller-Outcome"
	// HeaderReason says why the outcome is not Answered.
	HeaderReason = "Corneltiller-Reason"
	// HeaderHost is the datagram address of the agent that holds the flow.
	HeaderHost = "Corneltiller-Host"
	// HeaderTimeout is the time that the caller waits, in milliseconds from the
	// arrival of the request, because clocks of instances differ.
	HeaderTimeout = "Corneltiller-Timeout-Milliseconds"
	// HeaderRepeatable is ?1 or ?0 and overrides what the method says.
	HeaderRepeatable = "Corneltiller-Repeatable"
	// HeaderIdempotencyKey marks a request that its backend server runs once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderPriority holds the urgency (RFC 9218).
	HeaderPriority = "Priority"
)

// ownPrefix begins the names of the project's own header fields.
const ownPrefix = "Corneltiller-"

// The bounds of the values.
const (
	// DefaultTimeout is the timeout of requests that carry none.
	DefaultTimeout = 30 * time.Second
	// MaxTimeout is the largest timeout that is granted.
	MaxTimeout = 5 * time.Minute
	// defaultUrgency is the urgency of RFC 9218, section 4.1.
	defaultUrgency = 3
	// maxUrgency is the value of the least urgent requests.
	maxUrgency = 7
	// retryAfter is told to callers of refused requests, in seconds.
	retryAfter = "1"
)

// The errors of Parse.
var (
	// ErrPriority means that the priority is no valid structured field.
	ErrPriority = errors.New("malformed priority")
	// ErrTimeout means that the timeout is not a positive number.
	ErrTimeout = errors.New("malformed timeout")
	// ErrRepeatable means that the mark is neither ?1 nor ?0.
	ErrRepeatable = errors.New("malformed repeatable mark")
)

// Attributes are what a caller says about a request.
type Attributes struct {
	Class      dispatch.Class
	Deadline   time.Time
	Repeatable bool
	// Token is the sealed ticket, or empty.
	Token string
}

// Parse reads the attributes of a request that arrived now. Errors are
// ErrPriority, ErrTimeout and ErrRepeatable.
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

// parseUrgency returns the urgency of a priority field.
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

// parseTimeout returns the time that the caller waits.
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

// parseRepeatable reports whether the request may run more than once.
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

// Write writes the outcome and its reason into the header of an answer.
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

// Read returns the outcome that an answer carries. It reports false if there
// is none.
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

// Strip removes the project's own fields, which neither a backend server nor a
// caller may set for the other.
func Strip(he http.Header) {
	for name := range he {
		if strings.HasPrefix(name, ownPrefix) {
			delete(he, name)
		}
	}
}
