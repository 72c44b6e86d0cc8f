package rendezvous

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an Owner that differs from the first member of Rank. Daemons would
// then disagree about the owner of a group.
func TestOwnerIsFirstOfRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfDistinct(rapid.StringN(1, 8, -1), rapid.ID[string]).Draw(t, "members")
		key := rapid.String().Draw(t, "key")
		want := ""
		if ranked := Rank(key, members); len(ranked) > 0 {
			want = ranked[0]
		}
		assert.Equal(t, Owner(key, members), want)
	})
}

// Guards against a leaving member moving keys that it did not own.
func TestRemovalMovesOnlyKeysOfTheRemovedMember(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	rest := members[:4]
	for i := range 1000 {
		key := fmt.Sprintf("key-%d", i)
		before := Owner(key, members)
		if before != "e" {
			assert.Equal(t, Owner(key, rest), before)
		}
	}
}
