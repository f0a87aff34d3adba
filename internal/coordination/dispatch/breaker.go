package dispatch

import (
	"math/bits"
	"time"
)

// The behaviour of the breaker.
const (
	// breakerFailures is the number of failures among the last 16 results that
	// opens the breaker.
	breakerFailures = 8
	// firstPause is the first time that the breaker stays open.
	firstPause = 500 * time.Millisecond
	// longestPause bounds the doubling of the pause.
	longestPause = 16 * time.Second
	// trialSuccesses closes a half-open breaker.
	trialSuccesses = 3
)

// Breaker is a circuit breaker before the backend server. A server that fails
// fast would otherwise seem idle and draw requests from its peers.
type Breaker struct {
	// results has a bit set for each failure of the last 16, the latest lowest.
	results uint16
	pause   time.Duration
	until   time.Time
	open    bool
	trials  int
}

// Allows reports whether a request may be handed over while running others
// run. A half-open breaker lets one through at a time.
func (br *Breaker) Allows(now time.Time, running int) bool {
	if !br.open {
		return true
	}
	return !now.Before(br.until) && running == 0
}

// Open reports whether the breaker distrusts the backend server.
func (br *Breaker) Open() bool {
	return br.open
}

// Until returns when an open breaker allows a trial.
func (br *Breaker) Until() time.Time {
	return br.until
}

// Observe takes the result of a hand-over. It reports whether the breaker
// closed.
func (br *Breaker) Observe(now time.Time, failed bool) bool {
	if br.open {
		return br.observeTrial(now, failed)
	}
	br.results <<= 1
	if failed {
		br.results |= 1
	}
	if bits.OnesCount16(br.results) >= breakerFailures {
		br.open = true
		br.pause = firstPause
		br.until = now.Add(br.pause)
		br.trials = 0
	}
	return false
}

// observeTrial takes the result of a trial.
func (br *Breaker) observeTrial(now time.Time, failed bool) bool {
	if failed {
		br.pause = min(2*br.pause, longestPause)
		br.until = now.Add(br.pause)
		br.trials = 0
		return false
	}
	br.trials++
	if br.trials < trialSuccesses {
		return false
	}
	*br = Breaker{}
	return true
}
