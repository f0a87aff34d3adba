package capacity

// summaryRows returns the rows of the table by role. Each names the mechanism that
// bounds the cost and the resource or property that fails first as the fleet grows.
func summaryRows() []summaryRow {
	return append(balancerRows(), otherRows()...)
}

func balancerRows() []summaryRow {
	return []summaryRow{
		{
			role: "balancer", item: "memory: steering table of all hosts", quantity: "memory of the steering table",
			limit: limitMemoryBytes, mechanism: "one table of records, chosen from by rendezvous hashing; no flow is held",
			bottleneck: "memory, in proportion to the hosts",
		},
		{
			role: "balancer", item: "memory: membership", quantity: "memory of the membership, hosts' share included",
			limit: limitMemoryBytes, mechanism: "a record of each host and balancer, newest only",
			bottleneck: "memory, in proportion to the records",
		},
		{
			role: "balancer", item: "processor: one changed record", quantity: "time to take one changed record",
			mechanism:  "the next table shares what did not change",
			bottleneck: "a domain lost at once: thousands of records change within seconds",
		},
		{
			role: "balancer", item: "processor: candidates of one first packet", quantity: "time to choose the candidates of a packet",
			mechanism:  "rendezvous hashing over the service's own hosts only",
			bottleneck: "a service of very many hosts: the time grows with them",
		},
		{
			role: "balancer", item: "messages: membership, mean", quantity: "bytes sent for membership a second",
			limit: limitBytesPerSecond, mechanism: "gossip under a token bucket, urgent records first",
			bottleneck: "freshness: records wait in the queue when many change",
		},
		{
			role: "balancer", item: "messages: membership, most in one second while hosts crash", quantity: "most bytes sent in one second",
			limit: limitBytesPerSecond, mechanism: "the same bucket",
			bottleneck: "time until all know of a crash",
		},
		{
			role: "balancer", item: "processor: membership in quiet", quantity: "processor time for membership a second, hosts' share included",
			limit: limitProcessorShare, mechanism: "work only for messages that the budget lets through",
			bottleneck: "digests, if they cover all records at once",
		},
		{
			role: "balancer", item: "time until a change is in force everywhere", quantity: "time until a change is in force everywhere",
			limit: limitInForceSeconds, mechanism: "two watching balancers a domain, gossip to the rest",
			bottleneck: "the number of gossip rounds, which grows with the logarithm of the fleet",
		},
		{
			role: "balancer", item: "messages: one change of the configuration", quantity: "bytes sent for one change",
			limit: limitBytesPerChange, mechanism: "the change is sent, not the configuration",
			bottleneck: "9,800 changes a day are one each 9 s; a burst shares the byte budget with membership",
		},
	}
}

func otherRows() []summaryRow {
	return []summaryRow{
		{
			role: "agent", item: "memory: 5,000 flows", quantity: "memory of the flow table",
			limit: limitMemoryBytes, mechanism: "each agent holds its own flows only",
			bottleneck: "the table's capacity, at which the oldest knowledge goes",
		},
		{
			role: "agent", item: "processor: one new flow", quantity: "time to open one flow",
			mechanism:  "11 new flows a second on each host",
			bottleneck: "the handshake of QUIC, which costs far more",
		},
		{
			role: "agent", item: "messages: membership, mean", quantity: "bytes sent for membership a second",
			limit: limitBytesPerSecond, mechanism: "heartbeats to a few watchers, records of its own interests only",
			bottleneck: "none known",
		},
		{
			role: "agent", item: "memory: ledger of tickets", mechanism: "bounded by entries and bytes",
			limit: limitMemoryBytes, bottleneck: "the window in which a repeat gets the recorded answer",
		},
		{
			role: "platform", item: "store calls in quiet", quantity: "store calls a second in quiet",
			limit: limitStoreCallsPerSecond, mechanism: "two watchers a domain by rendezvous; the rest hear by gossip",
			bottleneck: "wrong views after a split: more instances than two believe that they watch",
		},
		{
			role: "platform", item: "size of the root and its shards", mechanism: "immutable shards below 1 MB",
			bottleneck: "the root's list of shards",
		},
		{
			role: "console", item: "processor: one change over 19,000 addresses", mechanism: "only the shard of the service is written",
			bottleneck: "checks over the whole configuration",
		},
	}
}
