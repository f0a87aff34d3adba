package dispatch

// The retry budget in thousandths of a retry.
const (
	// retryShare is what each request earns: one retry for ten requests.
	retryShare = 100
	// retryCost is what one retry or hedge costs.
	retryCost = 1000
	// retryCap bounds what a quiet time saves up.
	retryCap = 10 * retryCost
)

// Budget bounds retries and hedges to a share of the requests.
type Budget struct {
	balance int
}

// Earn accounts for a first attempt.
func (bu *Budget) Earn() {
	bu.balance = min(bu.balance+retryShare, retryCap)
}

// Spend reports whether a retry is allowed, and accounts for it.
func (bu *Budget) Spend() bool {
	if bu.balance < retryCost {
		return false
	}
	bu.balance -= retryCost
	return true
}
