package balancer

import "time"

// Load summarizes one target group, as its owner reported it last.
type Load struct {
	// FreeSlots counts the free slots of the targets that are up.
	FreeSlots int
	// Waiting counts the waiting requests by tier.
	Waiting []int
	// LowestTier is the lowest tier (largest number) that waits or runs
	// preemptibly; -1 when there is none.
	LowestTier int
	// PredictedWait is the predicted time until the waiting work is done.
	PredictedWait time.Duration
}
