// Package members implements a gossip protocol for cluster membership and for the
// distribution of the configuration, for platforms without a list of machines. It
// is a state machine that uses no sockets, clock or goroutines: callers pass in
// the time and perform the returned actions.
//
// Each process is the only writer of its Record. When it starts it finds the
// other processes in the store, or through seeds while the store is unavailable,
// and greets them. After that no members are read from the store: a process sends
// a change of its record to all members at once, and in each GreetInterval it
// greets the member that it has heard from or greeted least recently. A greeting
// carries the sender's record, a digest of its view and the version of its
// configuration. Where the digests differ the two exchange their views; where the
// versions differ the newer configuration is sent. A member that was silent for
// 15 s and left at least 4 greetings unanswered is removed; it is added again as
// soon as it sends a greeting.
//
// A few balancers of each failure domain watch the store for a newer configuration.
// The others ask them every few seconds when the store last had none. A balancer that
// gets no recent answer watches the store itself: it can't tell whether the others have
// failed, are cut off, or are turned away by the store.
//
// A balancer's view holds all other processes, an agent's view only balancers.
//
// # Usage
//
//	vi := members.NewView(record)
//	for _, ac := range vi.Join(now, found, seeds) {
//		send(ac.To, ac.Message)
//	}
//	actions := vi.Handle(now, from, message)
//	actions = vi.Tick(now) // at vi.Deadline()
package members
