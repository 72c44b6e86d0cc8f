package object

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/internal/yamldoc"
)

// Canonical returns a copy of the set with the objects of each kind in name
// order and without positions. The objects themselves are shared.
func (s *Set) Canonical() *Set {
	return &Set{
		Services:       sortedByName(s.Services),
		Targets:        sortedByName(s.Targets),
		Versions:       sortedByName(s.Versions),
		Tiers:          sortedByName(s.Tiers),
		ClientAccounts: sortedByName(s.ClientAccounts),
		Moves:          sortedByName(s.Moves),
		Ingresses:      sortedByName(s.Ingresses),
		Evacuations:    sortedByName(s.Evacuations),
	}
}

// sortedByName returns a copy of objects in name order. The copy is never nil, so
// that nil and empty lists have the same encoding.
func sortedByName[T named](objects []T) []T {
	out := append(make([]T, 0, len(objects)), objects...)
	slices.SortStableFunc(out, func(a, b T) int {
		return cmp.Compare(a.objectName(), b.objectName())
	})
	return out
}

// Encode returns the canonical JSON of the set: objects in name order. Sets
// with the same objects have the same encoding.
func (s *Set) Encode() ([]byte, error) {
	data, err := json.Marshal(s.Canonical())
	return data, fault.Wrap(err, "object.encode", "")
}

// DecodeSet decodes a set from the JSON that Encode returns.
func DecodeSet(data []byte) (*Set, error) {
	var s Set
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fault.Wrap(err, "object.decode", "")
	}
	return &s, nil
}

// FormatYAML returns the set as a YAML file that Parse can read.
func (s *Set) FormatYAML() ([]byte, error) {
	encoded, err := s.Encode()
	if err != nil {
		return nil, err
	}
	text, err := yamldoc.FromJSON(encoded)
	return text, fault.Wrap(err, "object.format", "")
}

// Digest returns the SHA-256 digest (hex) of the objects. It does not depend on
// the order of the objects within a kind, on positions, or on the time zone in
// which a deadline is written.
func (s *Set) Digest() string {
	h := sha256.New()
	hashKind(h, KindService, s.Services)
	hashKind(h, KindTarget, s.Targets)
	hashKind(h, KindVersion, s.Versions)
	hashKind(h, KindTier, s.Tiers)
	hashKind(h, KindClientAccount, s.ClientAccounts)
	hashKind(h, KindMove, s.Moves)
	hashKind(h, KindIngress, s.Ingresses)
	hashKind(h, KindEvacuation, s.Evacuations)
	return hex.EncodeToString(h.Sum(nil))
}

// hashKind adds the objects of a kind to a hash, in name order, one line each.
func hashKind[T named](h hash.Hash, kind Kind, objects []T) {
	for _, o := range sortedByName(objects) {
		_, _ = h.Write([]byte(kind))
		_, _ = h.Write(encodeObject(o))
		_, _ = h.Write([]byte{'\n'})
	}
}

// encodeObject returns the JSON of an object. An object that has no JSON form,
// because it holds a number that is not finite, is encoded in Go syntax; Check
// reports such numbers.
func encodeObject[T named](o T) []byte {
	data, err := json.Marshal(o)
	if err != nil {
		return fmt.Appendf(nil, "%#v", o)
	}
	return data
}

// sameObject reports whether two objects have the same content.
func sameObject[T named](a, b T) bool {
	return bytes.Equal(encodeObject(a), encodeObject(b))
}

// jsonDuration is a duration that is encoded with its unit, such as "1m30s", so
// that JSON output can be edited and published again.
type jsonDuration time.Duration

func (d jsonDuration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

func (d *jsonDuration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	*d = jsonDuration(value)
	return err
}

// plainRoute is Route without its methods, so that encoding it does not call
// Route.MarshalJSON again. The other plain types serve the same purpose.
type plainRoute Route

type routeJSON struct {
	plainRoute
	Timeout jsonDuration `json:"timeout,omitzero"`
}

// MarshalJSON encodes durations with their unit.
func (o Route) MarshalJSON() ([]byte, error) {
	return json.Marshal(routeJSON{plainRoute(o), jsonDuration(o.Timeout)})
}

// UnmarshalJSON decodes durations with their unit.
func (o *Route) UnmarshalJSON(data []byte) error {
	var v routeJSON
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	*o = Route(v.plainRoute)
	o.Timeout = time.Duration(v.Timeout)
	return nil
}

type plainTier Tier

type tierJSON struct {
	plainTier
	FirstToken jsonDuration `json:"firstToken"`
	Deadline   jsonDuration `json:"deadline"`
}

// MarshalJSON encodes durations with their unit.
func (o Tier) MarshalJSON() ([]byte, error) {
	return json.Marshal(tierJSON{plainTier(o), jsonDuration(o.FirstToken), jsonDuration(o.Deadline)})
}

// UnmarshalJSON decodes durations with their unit.
func (o *Tier) UnmarshalJSON(data []byte) error {
	var v tierJSON
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	*o = Tier(v.plainTier)
	o.FirstToken = time.Duration(v.FirstToken)
	o.Deadline = time.Duration(v.Deadline)
	return nil
}

type plainMove Move

type moveJSON struct {
	plainMove
	Deadline time.Time    `json:"deadline"`
	Soak     jsonDuration `json:"soak,omitzero"`
}

// MarshalJSON encodes durations with their unit and the deadline in UTC.
func (o Move) MarshalJSON() ([]byte, error) {
	return json.Marshal(moveJSON{plainMove(o), o.Deadline.UTC(), jsonDuration(o.Soak)})
}

// UnmarshalJSON decodes durations with their unit and the deadline in UTC.
func (o *Move) UnmarshalJSON(data []byte) error {
	var v moveJSON
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	*o = Move(v.plainMove)
	o.Deadline = v.Deadline.UTC()
	o.Soak = time.Duration(v.Soak)
	return nil
}

type plainIngress Ingress

type ingressJSON struct {
	plainIngress
	Timeout   jsonDuration `json:"timeout"`
	Objective jsonDuration `json:"objective"`
	MaxGap    jsonDuration `json:"maxGap,omitzero"`
}

// MarshalJSON encodes durations with their unit.
func (o Ingress) MarshalJSON() ([]byte, error) {
	return json.Marshal(ingressJSON{plainIngress(o), jsonDuration(o.Timeout), jsonDuration(o.Objective), jsonDuration(o.MaxGap)})
}

// UnmarshalJSON decodes durations with their unit.
func (o *Ingress) UnmarshalJSON(data []byte) error {
	var v ingressJSON
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	*o = Ingress(v.plainIngress)
	o.Timeout = time.Duration(v.Timeout)
	o.Objective = time.Duration(v.Objective)
	o.MaxGap = time.Duration(v.MaxGap)
	return nil
}
