// Package naive is a simple scheduler with the same methods as owner.Group. It is
// the baseline of the comparison and the differential tests: first come, first
// served; round robin over targets with a free slot by its own counts only; no
// preemption, no early refusal, no predictions.
package naive
