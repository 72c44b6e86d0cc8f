package confsync

import (
	"encoding/json"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/object"
)

// Codec encodes sets and the differences between them. Sets with the same
// objects have the same digest. Implementations are safe for concurrent use.
type Codec interface {
	Encode(set *object.Set) ([]byte, error)
	Decode(data []byte) (*object.Set, error)
	Digest(set *object.Set) (string, error)
	// Delta returns the encoded difference between two sets. Apply returns the set
	// that such a difference leads to, and does not change base.
	Delta(from, to *object.Set) ([]byte, error)
	Apply(base *object.Set, delta []byte) (*object.Set, error)
}

// jsonCodec encodes sets and deltas in the JSON form that package object defines.
type jsonCodec struct{}

func (jsonCodec) Encode(set *object.Set) ([]byte, error) {
	return set.Encode()
}

func (jsonCodec) Decode(data []byte) (*object.Set, error) {
	return object.DecodeSet(data)
}

func (jsonCodec) Digest(set *object.Set) (string, error) {
	return set.Digest(), nil
}

func (jsonCodec) Delta(from, to *object.Set) ([]byte, error) {
	delta, err := object.MakeDelta(from, to)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(delta)
	return data, fault.Wrap(err, "config.delta", "")
}

func (jsonCodec) Apply(base *object.Set, data []byte) (*object.Set, error) {
	var delta object.Delta
	if err := json.Unmarshal(data, &delta); err != nil {
		return nil, fault.Wrap(err, "config.apply", "")
	}
	return delta.Apply(base)
}
