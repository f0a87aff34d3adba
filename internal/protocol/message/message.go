// Package message encodes the messages that balancers, agents and consoles send
// each other over their connections. A message is a CBOR array of its kind, an
// exchange number and a body, whose type depends on the kind.
//
// # Usage
//
//	msg, err := message.New(message.KindMembership, body)
//	err = msg.Decode(&record)
package message

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Kind is the type of a message. It determines the type of the body.
type Kind uint16

// The kinds of the messages between processes.
const (
	// KindFailure answers a request that the peer refused; the body is a Failure.
	KindFailure Kind = iota + 1
	// KindMembership carries the heartbeats, suspicions and gossip of the membership
	// protocol.
	KindMembership
	// KindRelay carries a caller's request from one agent to another.
	KindRelay
	// KindNotice carries a relay.Notice about free slots or a withdrawn request
	// from one agent to another.
	KindNotice
	// KindHandover carries a relay.Page, a part of a ledger's snapshot, from a
	// stopping agent to another agent, which then answers repeats of the requests.
	KindHandover
	// KindQuery carries an operator's status query to a balancer or agent.
	KindQuery
	// KindCatchUp requests the configuration changes that the sender lacks from a
	// peer.
	KindCatchUp
	// KindReport carries a report of the versions that instances have in force.
	KindReport
	// KindItem carries a rollout.Item directly to a peer, from a process that
	// doesn't spread items by gossip.
	KindItem
)

// IsRequestTraffic reports whether the traffic of the kind grows with the requests
// that agents pass to each other. Other kinds are control traffic, which grows with
// the number of instances.
func (ki Kind) IsRequestTraffic() bool {
	return ki == KindRelay || ki == KindNotice || ki == KindHandover
}

// MaxLength is the largest length of an encoded message in bytes.
const MaxLength = 4 << 20

// Message is one message on a connection between two processes.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	// Exchange is the number that an answer has in common with its request. It is
	// zero in a message that wants no answer.
	Exchange uint64
	Body     cbor.RawMessage
}

// Failure is the body of a KindFailure message.
type Failure struct {
	// Step is the operation that the peer attempted.
	Step string
	// Reason is why it failed.
	Reason string
}

// boundedMode limits the memory that a message of a hostile peer can make the
// decoder allocate.
var boundedMode = mustDecMode(cbor.DecOptions{
	MaxArrayElements:  1 << 17,
	MaxMapPairs:       1 << 16,
	MaxNestedLevels:   16,
	ExtraReturnErrors: cbor.ExtraDecErrorNone,
})

func mustDecMode(op cbor.DecOptions) cbor.DecMode {
	mode, err := op.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// New returns a message with the encoded body.
func New(kind Kind, body any) (Message, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return Message{}, errors.Wrapf(err, "encode body of message kind %d", kind)
	}
	return Message{Kind: kind, Body: data}, nil
}

// Decode decodes the message's body into target.
func (msg Message) Decode(target any) error {
	if err := boundedMode.Unmarshal(msg.Body, target); err != nil {
		return errors.Wrapf(err, "decode body of message kind %d", msg.Kind)
	}
	return nil
}

// Marshal returns the encoded message.
func Marshal(msg Message) ([]byte, error) {
	data, err := cbor.Marshal(msg)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return data, nil
}

// Unmarshal decodes a message, but not its body.
func Unmarshal(data []byte) (Message, error) {
	var msg Message
	if err := boundedMode.Unmarshal(data, &msg); err != nil {
		return Message{}, errors.Wrap(err, "decode message")
	}
	return msg, nil
}
