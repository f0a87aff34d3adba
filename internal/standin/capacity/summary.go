package capacity

// claims returns the rows of the table by role. Each names the mechanism that
// carries the cost and what gives way first as it grows.
func claims() []claim {
	return append(balancerClaims(), otherClaims()...)
}

func balancerClaims() []claim {
	return []claim{
		{
			role: "balancer", what: "memory: steering table of all hosts", quantity: "memory of the steering table",
			limit: limitMemoryBytes, mechanism: "one table of records, chosen from by rendezvous hashing; no flow is held",
			breaks: "memory, in proportion to the hosts",
		},
		{
			role: "balancer", what: "memory: membership", quantity: "memory of the membership, hosts' share included",
			limit: limitMemoryBytes, mechanism: "a record of each host and balancer, newest only",
			breaks: "memory, in proportion to the records",
		},
		{
			role: "balancer", what: "processor: one changed record", quantity: "time to take one changed record",
			mechanism: "the next table shares what did not change",
			breaks:    "a domain lost at once: thousands of records change within seconds",
		},
		{
			role: "balancer", what: "processor: candidates of one first packet", quantity: "time to choose the candidates of a packet",
			mechanism: "rendezvous hashing over the service's own hosts only",
			breaks:    "a service of very many hosts: the time grows with them",
		},
		{
			role: "balancer", what: "messages: membership, mean", quantity: "bytes sent for membership a second",
			limit: limitBytesASecond, mechanism: "gossip under a token bucket, urgent records first",
			breaks: "freshness: records wait in the queue when many change",
		},
		{
			role: "balancer", what: "messages: membership, most in one second while hosts crash", quantity: "most bytes sent in one second",
			limit: limitBytesASecond, mechanism: "the same bucket",
			breaks: "time until all know of a crash",
		},
		{
			role: "balancer", what: "processor: membership in quiet", quantity: "processor time for membership a second, hosts' share included",
			limit: limitProcessorShare, mechanism: "work only for messages that the budget lets through",
			breaks: "digests, if they cover all records at once",
		},
		{
			role: "balancer", what: "time until a change is in force everywhere", quantity: "time until a change is in force everywhere",
			limit: limitInForceSeconds, mechanism: "two watching balancers a domain, gossip to the rest",
			breaks: "the number of gossip rounds, which grows with the logarithm of the fleet",
		},
		{
			role: "balancer", what: "messages: one change of the configuration", quantity: "bytes sent for one change",
			limit: limitBytesAChange, mechanism: "the change is sent, not the configuration",
			breaks: "9,800 changes a day are one each 9 s; a burst shares the byte budget with membership",
		},
	}
}

func otherClaims() []claim {
	return []claim{
		{
			role: "agent", what: "memory: 5,000 flows", quantity: "memory of the flow table",
			limit: limitMemoryBytes, mechanism: "each agent holds its own flows only",
			breaks: "the table's capacity, at which the oldest knowledge goes",
		},
		{
			role: "agent", what: "processor: one new flow", quantity: "time to open one flow",
			mechanism: "11 new flows a second on each host",
			breaks:    "the handshake of QUIC, which costs far more",
		},
		{
			role: "agent", what: "messages: membership, mean", quantity: "bytes sent for membership a second",
			limit: limitBytesASecond, mechanism: "heartbeats to a few watchers, records of its own interests only",
			breaks: "none known",
		},
		{
			role: "agent", what: "memory: ledger of tickets", mechanism: "bounded by entries and bytes",
			limit: limitMemoryBytes, breaks: "the window in which a repeat gets the recorded answer",
		},
		{
			role: "platform", what: "store calls in quiet", quantity: "store calls a second in quiet",
			limit: limitReadsASecond, mechanism: "two watchers a domain by rendezvous; the rest hear by gossip",
			breaks: "wrong views after a split: more instances than two believe that they watch",
		},
		{
			role: "platform", what: "size of the root and its shards", mechanism: "immutable shards below 1 MB",
			breaks: "the root's list of shards",
		},
		{
			role: "console", what: "processor: one change over 19,000 addresses", mechanism: "only the shard of the service is written",
			breaks: "checks over the whole configuration",
		},
	}
}
