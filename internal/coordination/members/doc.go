// Package members keeps a process's view of the fleet where the platform has no
// list of machines, and spreads the configuration. It is a decision core
// without sockets, clock or goroutines.
//
// Each process is the only writer of its Record. It finds the others in the
// store when it starts, or through seeds while the store is away, and greets
// them. After that nothing is read from the store: a change of a record is sent
// to all at once, and once in a GreetInterval a process greets the member that it
// has heard from least recently. A greeting carries the sender's record, a
// digest of its view and the version of its configuration; where the digests
// differ the two exchange their views, where the versions differ the newer
// configuration is sent. A member that leaves several greetings unanswered is
// removed; it is taken back as soon as it greets again.
//
// # Usage
//
//	vi := members.NewView(record, rank)
//	for _, ac := range vi.Join(now, found, seeds) {
//		send(ac.To, ac.Message)
//	}
//	actions, err := vi.Handle(now, from, message)
//	actions = vi.Tick(now) // at vi.Deadline()
package members
