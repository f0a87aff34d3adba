// Package explain asks a running balancer where it would send a new flow, and serves
// the answer on the balancer's side, at /Explain of its metrics address.
//
// # Usage
//
//	registry.Handle(explain.Path, explain.Handler(answer))
//	an, err := explain.Ask(ctx, "10.1.0.28:9095", caller, address)
package explain

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/protocol/explanation"
)

const (
	// Path is the path at which balancers answer.
	Path = "/Explain"
	// Timeout is how long Ask waits for an answer.
	Timeout = 2 * time.Second
	// maxAnswer bounds the bytes of an answer. A host takes about 400 bytes.
	maxAnswer = 64 << 20
)

// The names of the parameters.
const (
	parameterCaller  = "caller"
	parameterAddress = "address"
)

var (
	// ErrNoAnswer says that nothing answered at the address.
	ErrNoAnswer = errors.New("no answer")
	// ErrNoBalancer says that what answered at the address isn't a balancer's metrics
	// address, or a balancer of a build without this question.
	ErrNoBalancer = errors.New("no balancer that can explain")
)

// statuses are the HTTP statuses of the problems.
var statuses = map[explanation.ProblemKind]int{
	explanation.BadQuestion:     http.StatusBadRequest,
	explanation.UnknownAddress:  http.StatusNotFound,
	explanation.NoConfiguration: http.StatusServiceUnavailable,
	explanation.StaleView:       http.StatusServiceUnavailable,
}

// Handler serves the answers of the function. Each answer is an explanation.Answer as
// JSON, also if it has a problem, which the HTTP status then tells too.
//
// The function is called for one request at a time. It locks the balancer's state, and
// packets would otherwise wait for that lock behind all questions sent at once.
func Handler(answer func(caller, address netip.AddrPort) explanation.Answer) http.Handler {
	var mu sync.Mutex
	serialized := func(caller, address netip.AddrPort) explanation.Answer {
		mu.Lock()
		defer mu.Unlock()
		return answer(caller, address)
	}
	return http.HandlerFunc(func(wr http.ResponseWriter, re *http.Request) {
		if re.Method != http.MethodGet {
			wr.Header().Set("Allow", http.MethodGet)
			http.Error(wr, "only GET is allowed", http.StatusMethodNotAllowed)
			return
		}
		write(wr, answerTo(re.URL.Query(), serialized))
	})
}

// answerTo returns the answer to the parameters of a request.
func answerTo(parameters url.Values, answer func(caller, address netip.AddrPort) explanation.Answer) explanation.Answer {
	var an explanation.Answer
	caller, err := ParseAddress(parameters.Get(parameterCaller))
	if err != nil {
		an.SetProblem(explanation.BadQuestion, "%s", errors.Wrap(err, parameterCaller))
		return an
	}
	address, err := ParseAddress(parameters.Get(parameterAddress))
	if err != nil {
		an.SetProblem(explanation.BadQuestion, "%s", errors.Wrap(err, parameterAddress))
		return an
	}
	return answer(caller, address)
}

// ParseAddress parses an IP address with a port. An IPv4 address that is written as
// an IPv6 address is converted, as balancers receive it.
func ParseAddress(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, errors.New("missing, want IP:PORT")
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
		return netip.AddrPort{}, errors.Errorf("%q isn't IP:PORT", text)
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), nil
}

// write writes the answer as JSON.
func write(wr http.ResponseWriter, an explanation.Answer) {
	data, err := json.Marshal(an)
	if err != nil {
		http.Error(wr, err.Error(), http.StatusInternalServerError)
		return
	}
	wr.Header().Set("Content-Type", "application/json")
	if an.Problem != nil {
		wr.WriteHeader(statusOf(an.Problem.Kind))
	}
	_, _ = wr.Write(append(data, '\n'))
}

// statusOf returns the HTTP status of a problem.
func statusOf(kind explanation.ProblemKind) int {
	if status, ok := statuses[kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Ask asks the balancer with the metrics address, and waits for Timeout at most. Errors
// name the address; they wrap ErrNoAnswer or ErrNoBalancer. A problem of the answer is
// no error of Ask.
func Ask(ctx context.Context, balancer netip.AddrPort, caller, address netip.AddrPort) (explanation.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	parameters := url.Values{parameterCaller: {caller.String()}, parameterAddress: {address.String()}}
	target := url.URL{Scheme: "http", Host: balancer.String(), Path: Path, RawQuery: parameters.Encode()}
	var an explanation.Answer
	re, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return an, errors.Wrap(err, "build request")
	}
	// Balancers are reached without a proxy, and each question uses its own connection.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(re)
	if err != nil {
		return an, noAnswer(ctx, balancer, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return an, noAnswer(ctx, balancer, err)
	}
	if err := json.Unmarshal(data, &an); err != nil || an.Outcome == "" && an.Problem == nil {
		return an, errors.Wrapf(ErrNoBalancer, "ask %s (status %s; is it the setting Metrics of a balancer?)", balancer, response.Status)
	}
	return an, nil
}

// noAnswer returns the error for a balancer that didn't answer because of the cause.
func noAnswer(ctx context.Context, balancer netip.AddrPort, cause error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errors.Wrapf(ErrNoAnswer, "ask balancer %s: within %s", balancer, Timeout)
	}
	var ue *url.Error
	if errors.As(cause, &ue) {
		// The text of a url.Error repeats the whole question.
		cause = ue.Err
	}
	return errors.Wrapf(ErrNoAnswer, "ask balancer %s: %v", balancer, cause)
}
