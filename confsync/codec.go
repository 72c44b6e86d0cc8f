package confsync

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/object"
)

// Codec encodes sets and the differences between them. Sets with the same
// objects have the same digest. Implementations are safe for concurrent use.
type Codec interface {
	Encode(set *object.Set) ([]byte, error)
	Decode(data []byte) (*object.Set, error)
	Digest(set *object.Set) (string, error)
	// Delta returns what leads from one set to another. Apply does not change
	// base.
	Delta(from, to *object.Set) ([]byte, error)
	Apply(base *object.Set, delta []byte) (*object.Set, error)
}

// jsonCodec writes whole sets as JSON with the objects in name order. A delta
// holds the changed objects and the names of removed ones.
type jsonCodec struct{}

// kindDelta holds the changes of one kind of objects.
type kindDelta[T any] struct {
	Put    []T      `json:"put,omitempty"`
	Remove []string `json:"remove,omitempty"`
}

type setDelta struct {
	Services       kindDelta[object.Service]       `json:"services,omitzero"`
	Targets        kindDelta[object.Target]        `json:"targets,omitzero"`
	Versions       kindDelta[object.Version]       `json:"versions,omitzero"`
	Tiers          kindDelta[object.Tier]          `json:"tiers,omitzero"`
	ClientAccounts kindDelta[object.ClientAccount] `json:"clientAccounts,omitzero"`
	Moves          kindDelta[object.Move]          `json:"moves,omitzero"`
}

func serviceName(o object.Service) string       { return o.Name }
func targetName(o object.Target) string         { return o.Name }
func versionName(o object.Version) string       { return o.Name }
func tierName(o object.Tier) string             { return o.Name }
func accountName(o object.ClientAccount) string { return o.Name }
func moveName(o object.Move) string             { return o.Name }

// Encode implements Codec.
func (jsonCodec) Encode(set *object.Set) ([]byte, error) {
	data, err := json.Marshal(&object.Set{
		Services:       byName(set.Services, serviceName),
		Targets:        byName(set.Targets, targetName),
		Versions:       byName(set.Versions, versionName),
		Tiers:          byName(set.Tiers, tierName),
		ClientAccounts: byName(set.ClientAccounts, accountName),
		Moves:          byName(set.Moves, moveName),
	})
	return data, fault.Wrap(err, "config.encode", "")
}

// Decode implements Codec.
func (jsonCodec) Decode(data []byte) (*object.Set, error) {
	set := &object.Set{}
	if err := json.Unmarshal(data, set); err != nil {
		return nil, fault.Wrap(err, "config.decode", "")
	}
	return set, nil
}

// Digest implements Codec. It is the SHA-256 digest of the encoding.
func (c jsonCodec) Digest(set *object.Set) (string, error) {
	data, err := c.Encode(set)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Delta implements Codec.
func (jsonCodec) Delta(from, to *object.Set) ([]byte, error) {
	data, err := json.Marshal(setDelta{
		Services:       diffKind(from.Services, to.Services, serviceName),
		Targets:        diffKind(from.Targets, to.Targets, targetName),
		Versions:       diffKind(from.Versions, to.Versions, versionName),
		Tiers:          diffKind(from.Tiers, to.Tiers, tierName),
		ClientAccounts: diffKind(from.ClientAccounts, to.ClientAccounts, accountName),
		Moves:          diffKind(from.Moves, to.Moves, moveName),
	})
	return data, fault.Wrap(err, "config.delta", "")
}

// Apply implements Codec.
func (jsonCodec) Apply(base *object.Set, delta []byte) (*object.Set, error) {
	var d setDelta
	if err := json.Unmarshal(delta, &d); err != nil {
		return nil, fault.Wrap(err, "config.apply", "")
	}
	return &object.Set{
		Services:       applyKind(base.Services, d.Services, serviceName),
		Targets:        applyKind(base.Targets, d.Targets, targetName),
		Versions:       applyKind(base.Versions, d.Versions, versionName),
		Tiers:          applyKind(base.Tiers, d.Tiers, tierName),
		ClientAccounts: applyKind(base.ClientAccounts, d.ClientAccounts, accountName),
		Moves:          applyKind(base.Moves, d.Moves, moveName),
	}, nil
}

// byName returns a sorted copy that is never nil, so that an empty kind has one
// encoding.
func byName[T any](objects []T, name func(T) string) []T {
	out := append(make([]T, 0, len(objects)), objects...)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}

func diffKind[T any](from, to []T, name func(T) string) kindDelta[T] {
	before := make(map[string][]byte, len(from))
	for _, o := range from {
		before[name(o)], _ = json.Marshal(o)
	}
	var d kindDelta[T]
	for _, o := range byName(to, name) {
		encoded, _ := json.Marshal(o)
		if old, ok := before[name(o)]; !ok || !bytes.Equal(old, encoded) {
			d.Put = append(d.Put, o)
		}
		delete(before, name(o))
	}
	for n := range before {
		d.Remove = append(d.Remove, n)
	}
	slices.Sort(d.Remove)
	return d
}

func applyKind[T any](objects []T, d kindDelta[T], name func(T) string) []T {
	replaced := make(map[string]bool, len(d.Put)+len(d.Remove))
	for _, o := range d.Put {
		replaced[name(o)] = true
	}
	for _, n := range d.Remove {
		replaced[n] = true
	}
	var out []T
	for _, o := range objects {
		if !replaced[name(o)] {
			out = append(out, o)
		}
	}
	return byName(append(out, d.Put...), name)
}
