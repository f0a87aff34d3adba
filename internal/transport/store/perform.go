package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/protocol/object"
)

// Perform makes one attempt of a call; a call of the configuration's root may take
// several calls to the store (see archive.Eras). An attempt that isn't answered before
// its deadline has the result archive.ResultUnanswered.
func (cl *Client) Perform(ctx context.Context, ac archive.Action) archive.Answer {
	ctx, cancel := context.WithDeadline(ctx, ac.Deadline)
	defer cancel()
	eras := archive.NewEras(change.RootName, cl.era.Load())
	an := eras.Perform(ac.Call, func(ca archive.Call) archive.Answer { return cl.perform(ctx, ca) })
	cl.era.Store(eras.Present())
	an.Attempt = ac.Attempt
	return an
}

// perform makes one call to the store.
func (cl *Client) perform(ctx context.Context, ca archive.Call) archive.Answer {
	an := archive.Answer{ID: ca.ID}
	found, err := cl.attempt(ctx, ca, &an)
	an.Result = resultOf(err)
	an.Object = archive.Object{
		Name:      ca.Name,
		Version:   uint64(found.Version),
		Era:       uint64(found.Era),
		Value:     found.Value,
		StoreTime: found.Asked,
	}
	return an
}

// attempt makes the call. It returns the object that was read or written; a list
// is returned in an.Objects.
func (cl *Client) attempt(ctx context.Context, ca archive.Call, an *archive.Answer) (object.Object, error) {
	version := object.Version(ca.Version)
	switch ca.Kind {
	case archive.KindPut:
		return cl.Put(ctx, ca.Name, ca.Value, version)
	case archive.KindDelete:
		return object.Object{}, cl.Delete(ctx, ca.Name, version)
	case archive.KindWatch:
		return cl.Watch(ctx, ca.Name, version, ca.Until)
	case archive.KindList:
		li, err := cl.List(ctx, ca.Name)
		for _, ob := range li.Objects {
			an.Objects = append(an.Objects, archive.Object{Name: ob.Name, Version: uint64(ob.Version)})
		}
		return object.Object{}, err
	default:
		return cl.Get(ctx, ca.Name)
	}
}

// resultOf returns the result for an error of the object package. All other errors
// count as unanswered.
func resultOf(err error) archive.Result {
	switch {
	case err == nil:
		return archive.ResultDone
	case errors.Is(err, object.ErrNotFound):
		return archive.ResultNotFound
	case errors.Is(err, object.ErrConflict):
		return archive.ResultConflict
	case errors.Is(err, object.ErrUnchanged):
		return archive.ResultUnchanged
	case errors.Is(err, object.ErrRefused):
		return archive.ResultRefused
	case errors.Is(err, object.ErrTooLarge):
		return archive.ResultTooLarge
	default:
		return archive.ResultUnanswered
	}
}

// StateMachine decides which calls to the store are made, such as the steps of a
// configuration change, and by their answers which calls follow. Calls that it
// returns together may be made concurrently. It uses no clock or goroutines.
type StateMachine interface {
	// Start returns the first calls.
	Start(now time.Time) []archive.Call
	// Handle handles the answer to a call and returns the calls that follow.
	Handle(now time.Time, an archive.Answer) []archive.Call
	// Done reports whether no further answer is needed.
	Done() bool
}

// Run runs a state machine until it is done. The function deadline is called for
// each call to the store and returns when the call expires. If the context ends
// first, calls in progress are abandoned and the context's error is returned,
// wrapped with the store's address.
func (cl *Client) Run(ctx context.Context, calls *archive.Client, sm StateMachine, deadline func() time.Time) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { calls.Abandon(time.Now()) }()
	answers := make(chan archive.Answer)
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	var queue []archive.Action
	submit := func(list []archive.Call) {
		for _, ca := range list {
			queue = append(queue, calls.Submit(time.Now(), ca, deadline())...)
		}
	}
	submit(sm.Start(time.Now()))
	for !sm.Done() {
		for len(queue) > 0 {
			ac := queue[0]
			queue = queue[1:]
			switch ac.Kind {
			case archive.ActionSend:
				go cl.deliver(ctx, ac, answers)
			case archive.ActionWake:
				wake.Reset(time.Until(ac.Deadline))
			case archive.ActionComplete:
				submit(sm.Handle(time.Now(), ac.Answer))
			}
		}
		if sm.Done() {
			break
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for store %s", cl.Address)
		case an := <-answers:
			queue = append(queue, calls.HandleAnswer(time.Now(), an)...)
		case <-wake.C:
			queue = append(queue, calls.Tick(time.Now())...)
		}
	}
	return nil
}

// deliver performs the attempt and sends its answer to the channel, unless the
// context ends first.
func (cl *Client) deliver(ctx context.Context, ac archive.Action, answers chan<- archive.Answer) {
	an := cl.Perform(ctx, ac)
	select {
	case answers <- an:
	case <-ctx.Done():
	}
}
