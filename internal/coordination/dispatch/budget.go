package dispatch

// The amounts of the retry budget, in thousandths of a retry.
const (
	// retryShare is what each request of a caller adds: one retry for ten
	// requests.
	retryShare = 100
	// retryCost is what one retry costs.
	retryCost = 1000
	// maxBalance bounds the balance to ten retries.
	maxBalance = 10 * retryCost
)

// RetryBudget bounds the retries of requests that may have run to a share of
// the requests of callers.
type RetryBudget struct {
	balance int
}

// Earn adds the share of one new request.
func (bu *RetryBudget) Earn() {
	bu.balance = min(bu.balance+retryShare, maxBalance)
}

// Spend reports whether the budget allows a retry, and charges it if so.
func (bu *RetryBudget) Spend() bool {
	if bu.balance < retryCost {
		return false
	}
	bu.balance -= retryCost
	return true
}
