// Package rendezvous ranks members for a key by highest random weight hashing.
// All daemons with the same member list compute the same ranks, and a member
// that joins or leaves moves only the keys that it ranks first for.
//
// The package is pure. Cost grows with the number of members, so callers cache
// the result per member list.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member with the highest weight for key, or "" when there
// are no members.
func Owner(key string, members []string) string {
	best := ""
	bestWeight := uint64(0)
	for _, member := range members {
		w := weight(key, member)
		if best == "" || w > bestWeight || (w == bestWeight && member < best) {
			best = member
			bestWeight = w
		}
	}
	return best
}

// Rank returns the members by falling weight for key. The input is not changed.
func Rank(key string, members []string) []string {
	type ranked struct {
		member string
		weight uint64
	}
	all := make([]ranked, len(members))
	for i, member := range members {
		all[i] = ranked{member: member, weight: weight(key, member)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member, b.member))
	})
	out := make([]string, len(all))
	for i, r := range all {
		out[i] = r.member
	}
	return out
}

// weight hashes key and member. The zero byte keeps ("a", "bc") and ("ab", "c") apart.
func weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}
