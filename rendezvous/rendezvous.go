// Package rendezvous ranks members for a key by rendezvous hashing (highest random
// weight). All daemons with the same member list compute the same ranks. When a
// member joins or leaves, only the keys for which it ranks first change their owner.
//
// The functions have no side effects. Their cost grows with the number of members,
// so callers cache the result per member list.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member with the highest weight for key, the smallest name among
// equal weights, or "" when there are no members.
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

// Rank returns the members in descending order of weight for key, and by name among
// equal weights. It does not change members.
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

// weight returns the hash of key and member. The zero byte between them gives
// ("a", "bc") and ("ab", "c") different weights.
func weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}
