package provider

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against names that make a row key too long or are not permitted in one, and against
// two names with the same key.
func TestKeySegment(t *testing.T) {
	assert.Equal(t, KeySegment("records.to-v2_1"), "records.to-v2_1")
	seen := map[string]string{}
	for _, name := range []string{"a/b", "a b", "a+b", "é", "", strings.Repeat("n", 200), strings.Repeat("n", 201)} {
		segment := KeySegment(name)
		assert.Assert(t, len(segment) <= maxKeySegmentLength && plainSegment.MatchString(segment), "%q", segment)
		assert.Equal(t, seen[segment], "", "%q", name)
		seen[segment] = name + "."
	}
}
