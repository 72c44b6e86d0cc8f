package provider

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
)

// maxKeySegmentLength bounds a name in a row key, in bytes, so that keys of a few segments
// fit into the 200 bytes that table services permit.
const maxKeySegmentLength = 80

// plainSegment matches names that stand in row keys as they are.
var plainSegment = regexp.MustCompile(`^[A-Za-z0-9._-]+$`)

// KeySegment returns the form of a name in a row key: the name itself, or a digest of it if
// it is long or holds characters that keys may not have.
func KeySegment(name string) string {
	if len(name) <= maxKeySegmentLength && plainSegment.MatchString(name) {
		return name
	}
	digest := sha256.Sum256([]byte(name))
	return "sha256-" + hex.EncodeToString(digest[:16])
}
