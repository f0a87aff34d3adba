// Package warmup limits the openings that a host gets while it is cold: in the first
// seconds after its start it can take only a part of its usual rate. The answered load is
// a burst of openings at a time when many hosts are cold, such as after an evacuation ends
// or after a loss of power. The package uses no sockets, clock or goroutines.
//
// The limit holds in any sliding second, as a bucket of tokens would let twice the rate
// pass in the second that begins with a full bucket. An agent limits what it hands to its
// host; each balancer limits what it sends to a cold host to its share, so that the excess
// goes to other hosts without having been declined.
//
// # Usage
//
//	limit := warmup.Limit(perSecond)
//	if li.Allows(now, limit) {
//		li.Add(now, limit)
//	}
package warmup
