// Package message encodes what the system's own processes say to one another
// over their links. A message is a CBOR array of its kind, an exchange number
// and a body whose type belongs to the kind.
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

// Kind names the type of a message's body.
type Kind uint16

// The kinds of the messages between processes.
const (
	// KindFailure answers a request that the peer refused; the body is a Failure.
	KindFailure Kind = iota + 1
	// KindMembership carries heartbeats, suspicions and gossip.
	KindMembership
	// KindRelay carries a request from one agent to another.
	KindRelay
	// KindNotice asks an agent for its load.
	KindNotice
	// KindHandover carries a ledger to its successor.
	KindHandover
	// KindQuery carries an operator's question to a balancer or agent.
	KindQuery
	// KindCatchUp asks a peer for a newer configuration.
	KindCatchUp
	// KindReport carries which versions a part of the fleet has in force.
	KindReport
	// KindItem carries an item of the rollout where there is no gossip.
	KindItem
)

// IsRequestTraffic reports whether messages of the kind grow with the requests
// that move between hosts, not with the fleet.
func (ki Kind) IsRequestTraffic() bool {
	return ki == KindRelay || ki == KindNotice || ki == KindHandover
}

// MaxLength is the largest length of an encoded message in bytes.
const MaxLength = 4 << 20

// Message is one message of a link.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	// Exchange pairs an answer with its request; zero wants no answer.
	Exchange uint64
	Body     cbor.RawMessage
}

// Failure is the body of a KindFailure message.
type Failure struct {
	// Step is what the peer tried.
	Step string
	// Reason is why it failed.
	Reason string
}

// decoding bounds what a hostile peer can make a decoder allocate.
var decoding = mustDecMode(cbor.DecOptions{
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

// Decode reads the message's body into target.
func (msg Message) Decode(target any) error {
	if err := decoding.Unmarshal(msg.Body, target); err != nil {
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

// Unmarshal decodes a message.
func Unmarshal(data []byte) (Message, error) {
	var msg Message
	if err := decoding.Unmarshal(data, &msg); err != nil {
		return Message{}, errors.Wrap(err, "decode message")
	}
	return msg, nil
}
