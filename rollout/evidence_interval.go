package rollout

import "time"

const (
	// maxEvidenceInterval is the time between two evidence messages, except in a short soak.
	// Evidence takes two hops, and a bad version has to be at zero share within 2 s of the
	// evidence against it.
	maxEvidenceInterval = 500 * time.Millisecond
	// minEvidenceInterval bounds the messages and evaluations of a short soak.
	minEvidenceInterval = 50 * time.Millisecond
	// messagesPerSoak is the number of evidence messages in a soak, if the bounds permit it.
	messagesPerSoak = 20
)

// evidenceInterval returns the time between two evidence messages, and between two evaluations of
// what they bring, during a soak of the given length. A fault that shows only at full share harms
// every caller until it is known, and a short soak leaves little time to know it.
func evidenceInterval(soak time.Duration) time.Duration {
	return min(max(soak/messagesPerSoak, minEvidenceInterval), maxEvidenceInterval)
}
