// Package membership decides which daemons and which targets are live.
//
// Table holds the daemons. The platform's VM list lags behind and is only a hint;
// traffic, probes and gossip are evidence. A daemon that is silent becomes suspect,
// and is removed after a grace period unless it is heard from or refutes the
// suspicion with a higher incarnation number. A daemon that announces that it leaves
// is removed at once.
//
// TargetTable holds the targets. They come from the VM list and are probed, and
// stay in use when a large share of them vanishes from the list at once.
//
// The package does no I/O and reads no clock: callers pass the time, and perform
// the returned actions. Nothing in it is safe for concurrent use.
package membership
