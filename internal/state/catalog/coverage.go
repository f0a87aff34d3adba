package catalog

import "time"

// Coverage says of which versions routes name the services of their addresses, as present
// or former ones: of those from the version From to the routes' own. A process that reads
// the configuration after a pause doesn't learn of the versions in between.
type Coverage struct {
	// From is the oldest version covered, zero if no flow is open that was opened under an
	// older one.
	From uint64
	// CompleteAt is when the flows that were opened under versions older than From have
	// ended. It is zero if From is, and in routes of another process.
	CompleteAt time.Time
}

// IsComplete reports whether the routes name all services at whose hosts flows may be open.
func (co Coverage) IsComplete(now time.Time) bool {
	return co.From == 0 || !co.CompleteAt.IsZero() && !now.Before(co.CompleteAt)
}

// settle returns the coverage with its deadline, or that of complete routes once it has
// passed. Coverage without a deadline gets the one given.
func (co Coverage) settle(now, completeAt time.Time) Coverage {
	if co.IsComplete(now) {
		return Coverage{}
	}
	if co.CompleteAt.IsZero() {
		co.CompleteAt = completeAt
	}
	return co
}

// join returns the coverage of the next routes together with that of previous ones of the
// given version. Both have their deadlines. If a version between them may be missing, the
// previous ones add nothing.
func (co Coverage) join(previous Coverage, version uint64) Coverage {
	if co.From > version {
		return co
	}
	if co.From == 0 || previous.From == 0 {
		return Coverage{}
	}
	joined := Coverage{From: min(co.From, previous.From), CompleteAt: co.CompleteAt}
	if previous.CompleteAt.Before(joined.CompleteAt) {
		joined.CompleteAt = previous.CompleteAt
	}
	return joined
}

// Covers reports whether the routes cover all versions that others do which were read from
// the store.
func (ro *Routes) Covers(now time.Time, other *Routes) bool {
	return other.Version <= ro.Version && (ro.IsComplete(now) || other.From >= ro.From)
}

// WithCoverage returns the routes with the coverage.
func (ro *Routes) WithCoverage(co Coverage) *Routes {
	covering := *ro
	covering.Coverage = co
	return &covering
}
