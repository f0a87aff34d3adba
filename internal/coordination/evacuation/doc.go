// Package evacuation holds what a process knows of the failure domains that the operator
// evacuates: nothing new is sent to their hosts. It is a state machine without sockets,
// clock and goroutines; callers pass in the time and send what it returns.
//
// The answered failure is the loss of a domain that the operator foresees, such as
// planned work on its power supply. The store holds the domains. Balancers that watch it
// read them and send a changed Set to the members. The newer of two sets, by the position
// of the store at which it was read, replaces the older one; a set is taken back only
// because the store says so.
//
// # Usage
//
//	ke := evacuation.NewKeeper("a")
//	set, refused := evacuation.NewSet(origin, names)
//	taken, to := ke.Read(now, set, false, members)
//	taken, answer := ke.Receive(page)
//	to = ke.Tick(now) // at ke.Deadline()
package evacuation
