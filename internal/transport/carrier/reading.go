package carrier

import (
	"context"
	"time"
)

// reading is the state of a loop that reads a part of the store and watches it for changes:
// the position to watch from, the failures since the last answer, and how often in a row the
// position had expired.
type reading struct {
	position        Position
	failed, expired backoff
}

// expire drops a position that has expired, so that everything is read again: at once the
// first time, after a pause if the position expires again before a watch has succeeded.
func (re *reading) expire(ctx context.Context, began time.Time) {
	re.position = Position{}
	re.expired.waitAfterFirst(ctx, began, maxBackoff)
}

// advance takes over the position of an answer.
func (re *reading) advance(next Position) {
	if re.position.Revision > 0 {
		re.expired = backoff{}
	}
	re.failed = backoff{}
	re.position = next
}

// rest notes that the store isn't read for now. A position that expires meanwhile, and
// failures before, say nothing about the store when it is read again.
func (re *reading) rest() { re.failed, re.expired = backoff{}, backoff{} }
