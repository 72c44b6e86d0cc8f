package object

import (
	"errors"
	"fmt"

	"github.com/marjoramflow/marjoramflow/fault"
)

// ErrBaseMismatch is wrapped by the error of Delta.Apply if the delta was made from
// another set. The caller then needs the whole set.
var ErrBaseMismatch = errors.New("delta does not fit this set")

// Delta is the difference between two sets. Its size depends on the number of
// changed objects, not on the size of the sets. It is encoded as JSON.
type Delta struct {
	// From and To are the digests of the two sets.
	From           string                   `json:"from"`
	To             string                   `json:"to"`
	Services       KindDelta[Service]       `json:"services,omitzero"`
	Targets        KindDelta[Target]        `json:"targets,omitzero"`
	Versions       KindDelta[Version]       `json:"versions,omitzero"`
	Tiers          KindDelta[Tier]          `json:"tiers,omitzero"`
	ClientAccounts KindDelta[ClientAccount] `json:"clientAccounts,omitzero"`
	Moves          KindDelta[Move]          `json:"moves,omitzero"`
	Ingresses      KindDelta[Ingress]       `json:"ingresses,omitzero"`
	Evacuations    KindDelta[Evacuation]    `json:"evacuations,omitzero"`
}

// KindDelta holds the changed objects of one kind.
type KindDelta[T any] struct {
	// Put holds added and changed objects, in name order.
	Put []T `json:"put,omitempty"`
	// Remove holds the names of removed objects, in name order.
	Remove []string `json:"remove,omitempty"`
}

// IsZero reports whether the delta holds no change. The JSON encoder omits such a
// delta.
func (k KindDelta[T]) IsZero() bool {
	return len(k.Put) == 0 && len(k.Remove) == 0
}

// MakeDelta returns the delta from a to b. It returns an error if a name appears
// twice in one kind of either set, which Check also reports.
func MakeDelta(a, b *Set) (*Delta, error) {
	if err := errors.Join(checkUniqueNames(a), checkUniqueNames(b)); err != nil {
		return nil, fault.Wrap(err, "object.delta", "")
	}
	return &Delta{
		From:           a.Digest(),
		To:             b.Digest(),
		Services:       makeKindDelta(a.Services, b.Services),
		Targets:        makeKindDelta(a.Targets, b.Targets),
		Versions:       makeKindDelta(a.Versions, b.Versions),
		Tiers:          makeKindDelta(a.Tiers, b.Tiers),
		ClientAccounts: makeKindDelta(a.ClientAccounts, b.ClientAccounts),
		Moves:          makeKindDelta(a.Moves, b.Moves),
		Ingresses:      makeKindDelta(a.Ingresses, b.Ingresses),
		Evacuations:    makeKindDelta(a.Evacuations, b.Evacuations),
	}, nil
}

// Apply returns the set that the delta leads to from s, in canonical order, and
// does not change s. It returns an error that wraps ErrBaseMismatch if the result
// does not have the digest To. The result shares objects with s and the delta.
func (d *Delta) Apply(s *Set) (*Set, error) {
	result := &Set{
		Services:       applyKindDelta(d.Services, s.Services),
		Targets:        applyKindDelta(d.Targets, s.Targets),
		Versions:       applyKindDelta(d.Versions, s.Versions),
		Tiers:          applyKindDelta(d.Tiers, s.Tiers),
		ClientAccounts: applyKindDelta(d.ClientAccounts, s.ClientAccounts),
		Moves:          applyKindDelta(d.Moves, s.Moves),
		Ingresses:      applyKindDelta(d.Ingresses, s.Ingresses),
		Evacuations:    applyKindDelta(d.Evacuations, s.Evacuations),
	}
	if result.Digest() != d.To {
		return nil, fault.Wrap(ErrBaseMismatch, "object.apply", "")
	}
	return result, nil
}

func checkUniqueNames(s *Set) error {
	for kind, names := range s.allNames() {
		seen := make(map[string]bool, len(names))
		for _, name := range names {
			if seen[name] {
				return fmt.Errorf("%s %q appears twice", kind, name)
			}
			seen[name] = true
		}
	}
	return nil
}

func makeKindDelta[T named](a, b []T) KindDelta[T] {
	var k KindDelta[T]
	walkPairs(a, b, func(before, after *T) {
		switch {
		case after == nil:
			k.Remove = append(k.Remove, (*before).objectName())
		case before == nil || !sameObject(*before, *after):
			k.Put = append(k.Put, *after)
		}
	})
	return k
}

func applyKindDelta[T named](k KindDelta[T], objects []T) []T {
	replaced := make(map[string]bool, len(k.Put)+len(k.Remove))
	for _, o := range k.Put {
		replaced[o.objectName()] = true
	}
	for _, name := range k.Remove {
		replaced[name] = true
	}
	out := make([]T, 0, len(objects)+len(k.Put))
	for _, o := range objects {
		if !replaced[o.objectName()] {
			out = append(out, o)
		}
	}
	return sortedByName(append(out, k.Put...))
}
