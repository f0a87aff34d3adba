package members

import "hash/fnv"

// digest summarizes a set of records. Equal sets have equal digests, in whatever
// order their records were added. The zero value is the digest of no record.
type digest struct {
	// sum covers all records, balancerSum only those of balancers.
	sum, balancerSum uint64
	// balancers is the number of balancers.
	balancers int
}

// add adds a record.
func (di *digest) add(re Record) {
	hash := hashOf(re)
	di.sum += hash
	if re.Role == RoleBalancer {
		di.balancerSum += hash
		di.balancers++
	}
}

// remove removes a record that was added.
func (di *digest) remove(re Record) {
	hash := hashOf(re)
	di.sum -= hash
	if re.Role == RoleBalancer {
		di.balancerSum -= hash
		di.balancers--
	}
}

// hashOf returns a hash of the record's address and revision.
func hashOf(re Record) uint64 {
	ha := fnv.New64a()
	address, _ := re.Address.MarshalBinary()
	ha.Write(address)
	var number [16]byte
	for i := range 8 {
		number[i] = byte(re.Incarnation >> (8 * i))
		number[8+i] = byte(re.Sequence >> (8 * i))
	}
	ha.Write(number[:])
	return ha.Sum64()
}
