package workload

import (
	"math"
	"time"
)

const (
	// checkHalfLife is the time in which the weight of a prediction halves. It is that
	// of the learned distributions.
	checkHalfLife = 10 * time.Second
	// minPredictions is the weight of predictions from which their errors mean
	// something.
	minPredictions = 30
)

// predictions are the predictions of the total time of a request, made while it was
// being worked on, in milliseconds: sums, sums of squares, and the same of its ages at
// these moments.
type predictions struct {
	count, total, totalSquared, age, ageSquared float64
}

// check compares the errors of two predictions of a request's rest: from its kind and
// age, and as the mean rest of all requests, which a count of requests implies. The
// sums decay with checkHalfLife.
type check struct {
	last time.Time
	// count is the number of predictions, rest the sum of the true rests, model and
	// counts the sums of squared errors in units of the squared mean cost.
	count, rest, model, counts float64
}

func milliseconds(du time.Duration) float64 { return float64(du) / float64(time.Millisecond) }

// observe predicts the rest of a request that is being worked on.
func (ho *Host) observe(now time.Time, rq *Request) {
	if rq.started.IsZero() || !ho.model.Known() {
		return
	}
	age := milliseconds(now.Sub(rq.started))
	total := age + milliseconds(ho.rest(now, rq))
	rq.count++
	rq.total += total
	rq.totalSquared += total * total
	rq.age += age
	rq.ageSquared += age * age
}

// judge adds the errors of a request's predictions once its time is known.
func (ch *check) judge(now time.Time, pr *predictions, took, mean float64) {
	if pr.count == 0 || mean <= 0 {
		return
	}
	factor := 1.0
	if !ch.last.IsZero() && now.After(ch.last) {
		factor = math.Exp2(-float64(now.Sub(ch.last)) / float64(checkHalfLife))
	}
	ch.last = now
	ch.count = ch.count*factor + pr.count
	ch.rest = ch.rest*factor + (pr.count*took - pr.age)
	typical := took - ch.rest/ch.count
	// These are the sums of (total-took)² and of (age+rest-took)² over the predictions.
	square := mean * mean
	ch.model = ch.model*factor + (pr.totalSquared-2*took*pr.total+pr.count*took*took)/square
	ch.counts = ch.counts*factor + (pr.ageSquared-2*typical*pr.age+pr.count*typical*typical)/square
}

// advantage returns Figures.Advantage, zero while there are too few predictions.
func (ch *check) advantage(now time.Time) float64 {
	if ch.count < minPredictions || now.Sub(ch.last) > checkHalfLife {
		return 0
	}
	return (ch.counts - ch.model) / ch.count
}
