package fleet

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"corneltiller.dev/corneltiller/internal/coordination/membership"
	"corneltiller.dev/corneltiller/internal/state/register"
)

const (
	// leaveInterval is the time between two checks in Leave.
	leaveInterval = 10 * time.Millisecond
	// farewellInterval is the time after which further balancers are told.
	farewellInterval = 200 * time.Millisecond
	// farewellTimeout bounds the time in which Leave tells balancers.
	farewellTimeout = 5 * time.Second
	// minFarewells is the number of messages that must arrive: one receiver may
	// fail before it passes the news on.
	minFarewells = 2
)

// Leave announces that this node is gone. It waits until minFarewells messages with
// the news have arrived, or one at each other balancer if there are fewer, and the
// other queued messages were sent, at most for farewellTimeout or until the context
// ends.
func (fl *Fleet) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, farewellTimeout)
	defer cancel()
	fl.SetState(register.StateGone)
	ticker := time.NewTicker(leaveInterval)
	defer ticker.Stop()
	next := time.Now().Add(farewellInterval)
	for {
		farewells, wanted := fl.farewells()
		if farewells >= wanted && !fl.pending() {
			return
		}
		if now := time.Now(); farewells < wanted && !now.Before(next) {
			next = now.Add(farewellInterval)
			fl.handle((*membership.Node).Farewell)
		}
		select {
		case <-ctx.Done():
			klog.InfoS("Left without having told other balancers", "Control", fl.control, "Told", farewells, "Wanted", wanted)
			return
		case <-ticker.C:
		}
	}
}

// farewells returns the number of farewells that have arrived, and how many are
// wanted.
func (fl *Fleet) farewells() (arrived, wanted int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	others := 0
	for _, ba := range fl.node.Roster().Balancers(time.Now()) {
		if ba.Control != fl.control {
			others++
		}
	}
	return fl.farewellsArrived, min(minFarewells, others)
}

// isFarewell reports whether the message says that this node is gone.
func (fl *Fleet) isFarewell(msg membership.Message) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.node.IsFarewell(msg, time.Now())
}

// countFarewell counts a farewell that has arrived.
func (fl *Fleet) countFarewell() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.farewellsArrived++
}

// pending reports whether any sender is busy.
func (fl *Fleet) pending() bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, sd := range fl.senders {
		if sd.busy() {
			return true
		}
	}
	return false
}
