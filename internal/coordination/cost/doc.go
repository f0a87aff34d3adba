// Package cost learns how long a host works on requests of different kinds. Requests
// that look alike may cost very different amounts of work; how long one has been in
// progress then tells more than how many there are.
//
// A Model keeps a distribution of service times for each route and kind of request,
// for each route and for the whole host. They forget with a half-life, and their
// memory is bounded. The package uses no clock, goroutines or randomness.
//
// # Usage
//
//	mo := cost.NewModel()
//	mo.Add(now, cost.Key{Route: address, First: true}, took)
//	expected := mo.Mean(now, key)
//	rest := mo.Rest(now, key, age)
package cost
