package carrier

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"
)

const (
	// stopMargin is the part of the setting StopWithin that is kept for closing the
	// sockets and servers after the work has ended.
	stopMargin = time.Second
	// stopCheckInterval is the time between two checks whether the work has ended.
	stopCheckInterval = 100 * time.Millisecond
)

// lifecycle holds the steps in which balancers and agents differ when they start
// and stop.
type lifecycle struct {
	// start adds the role's goroutines to the group. They return when the context
	// ends or the role's sockets are closed.
	start func(work context.Context, gr *errgroup.Group)
	// drain stops taking new work. It is called with mu held.
	drain func(now time.Time)
	// idle reports whether no work is left. It is called with mu held.
	idle func(now time.Time) bool
	// minStopTime is the shortest time of a graceful shutdown.
	minStopTime time.Duration
	// leaves reports whether the process is not to come back, so that its entry in the
	// store is removed after the work has ended. It is called with mu held; nil stands for
	// a process whose entry stays.
	leaves func() bool
	// closeSockets closes the role's sockets.
	closeSockets func()
}

// run runs the process until the context ends, then shuts it down gracefully. It
// returns the first error of a goroutine.
func (no *node) run(ctx context.Context, li lifecycle) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	gr, work := errgroup.WithContext(work)
	gr.Go(func() error { return readDatagrams(no.peerConn, no.handleMessage) })
	gr.Go(func() error { return no.join(work) })
	gr.Go(func() error { return serve(work, no.settings.Metrics, no.metrics) })
	li.start(work, gr)
	gr.Go(func() error {
		defer cancel()
		no.stop(ctx, work, li)
		li.closeSockets()
		no.close()
		return nil
	})
	no.mu.Lock()
	no.schedule(time.Now())
	no.mu.Unlock()
	err := gr.Wait()
	klog.InfoS("Process stopped", "name", no.settings.Name, "uptime", time.Since(no.started).Round(time.Millisecond), "err", err)
	return err
}

// stop waits for the end of ctx, then starts draining and waits until no work is
// left, for at least the shortest time of a shutdown and at most until the
// deadline. It returns at once when the context work ends because a goroutine
// failed.
func (no *node) stop(ctx, work context.Context, li lifecycle) {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return
	}
	began := time.Now()
	no.mu.Lock()
	deadline := began.Add(time.Duration(no.settings.StopWithin) - stopMargin)
	li.drain(began)
	no.mu.Unlock()
	klog.InfoS("Process stopping", "name", no.settings.Name, "within", deadline.Sub(began))
	for time.Now().Before(deadline) && sleepContext(work, stopCheckInterval) {
		if now := time.Now(); now.Sub(began) > li.minStopTime && no.isIdle(now, li) {
			break
		}
	}
	if no.mayLeave(li) {
		// Half of stopMargin is left for closing the sockets.
		no.withdrawEntry(work, time.Until(deadline.Add(stopMargin/2)))
	}
}

func (no *node) mayLeave(li lifecycle) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return li.leaves != nil && li.leaves()
}

func (no *node) isIdle(now time.Time, li lifecycle) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return li.idle(now)
}

// close closes the socket for messages between processes and stops the timer.
func (no *node) close() {
	no.peerConn.Close()
	no.timer.Stop()
}
