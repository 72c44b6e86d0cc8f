// Package balancer chooses the target of a request inside a target group, and
// on the entry side the group to ask.
//
// Inside a group, a Picker chooses among the targets that have room. The policies
// are random, least outstanding on the group's own counts, power of two on reported
// load, fewest late streams, and earliest predicted finish with prefix reuse.
// PredictedFinish is the default; FewestLate is used by gateways. The others are
// kept for comparison.
//
// The package does no I/O and reads no clock. A Picker or GroupChooser is not safe
// for concurrent use.
package balancer
