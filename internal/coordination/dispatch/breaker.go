package dispatch

import (
	"math/bits"
	"time"
)

// The parameters of the breaker.
const (
	// breakerFailures is the number of failures among the last 16 results that
	// opens the breaker.
	breakerFailures = 8
	// firstPause is how long a breaker that has just opened allows no request.
	firstPause = 500 * time.Millisecond
	// maxPause bounds the pause, which doubles after each failed trial.
	maxPause = 16 * time.Second
	// trialSuccesses is the number of successful trials that closes the breaker.
	trialSuccesses = 3
)

// Breaker is a circuit breaker in front of the backend server. A server that
// fails fast would otherwise seem idle and attract requests of peers.
type Breaker struct {
	// results has a bit for each of the last 16 results, the latest lowest; a set
	// bit is a failure.
	results uint16
	pause   time.Duration
	// trialTime is when an open breaker becomes half-open.
	trialTime time.Time
	// open is set until the breaker closes, also while it is half-open.
	open bool
	// trials is the number of consecutive successful trials.
	trials int
}

// Allows reports whether a request may be handed to the backend server while the
// given number of requests runs there or has a reserved slot. A half-open breaker
// lets through one request at a time.
func (br *Breaker) Allows(now time.Time, running int) bool {
	if !br.open {
		return true
	}
	return !now.Before(br.trialTime) && running == 0
}

// IsOpen reports whether the breaker is open or half-open.
func (br *Breaker) IsOpen() bool {
	return br.open
}

// TrialTime returns when an open breaker becomes half-open.
func (br *Breaker) TrialTime() time.Time {
	return br.trialTime
}

// Observe records the result of an execution. It reports whether the breaker
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
		br.trialTime = now.Add(br.pause)
		br.trials = 0
	}
	return false
}

// observeTrial records the result of a trial and reports whether the breaker
// closed.
func (br *Breaker) observeTrial(now time.Time, failed bool) bool {
	if failed {
		br.pause = min(2*br.pause, maxPause)
		br.trialTime = now.Add(br.pause)
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
