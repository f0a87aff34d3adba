package carrier

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"
)

const (
	// stopMargin is the part of the time to stop that is left for the end itself.
	stopMargin = time.Second
	// stopCheck is the time between two looks whether the work has ended.
	stopCheck = 100 * time.Millisecond
)

// life is how a role starts its loops and ends.
type life struct {
	// start starts the loops of the role, which end with the context.
	start func(work context.Context, gr *errgroup.Group)
	// leave takes no new work from now on; called with the lock held.
	leave func(now time.Time)
	// idle reports whether no work is left; called with the lock held.
	idle func(now time.Time) bool
	// least is the least time of a graceful shutdown.
	least time.Duration
	// close ends the sockets of the role.
	close func()
}

// run runs the loops until the context ends and the work after it.
func (no *node) run(ctx context.Context, li life) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	gr, work := errgroup.WithContext(work)
	gr.Go(func() error { return read(no.peers, no.takeMessage) })
	gr.Go(func() error { return no.join(work) })
	gr.Go(func() error { return serve(work, no.settings.Metrics, no.board) })
	li.start(work, gr)
	gr.Go(func() error {
		defer cancel()
		no.stop(ctx, work, li)
		li.close()
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

// stop waits for the end of the context, then for that of the work.
func (no *node) stop(ctx, work context.Context, li life) {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return
	}
	began := time.Now()
	no.mu.Lock()
	deadline := began.Add(time.Duration(no.settings.StopWithin) - stopMargin)
	li.leave(began)
	no.mu.Unlock()
	klog.InfoS("Process stopping", "name", no.settings.Name, "within", deadline.Sub(began))
	for time.Now().Before(deadline) && sleep(work, stopCheck) {
		if now := time.Now(); now.Sub(began) > li.least && no.isIdle(now, li) {
			return
		}
	}
}

func (no *node) isIdle(now time.Time, li life) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return li.idle(now)
}

// close ends the socket between processes and the timer.
func (no *node) close() {
	no.peers.Close()
	no.timer.Stop()
}
