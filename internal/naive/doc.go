// Package naive is a scheduler behind the same interface as owner.Group, against
// which the comparison and the differential tests measure: first come, first
// served; own counts only; round robin over targets with a free slot; no
// preemption, no early refusal, no predictions.
package naive
