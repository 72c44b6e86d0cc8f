// Package membership decides which daemons and which targets are live.
//
// Table holds the daemons. The platform's VM list is only a hint, since it lags
// behind; traffic, probes and gossip are evidence. A daemon that is silent
// becomes suspect, and is removed after a grace period unless it is heard from
// or refutes the suspicion with a higher incarnation number. A daemon that says
// that it leaves is removed at once.
//
// Targets holds the servers that do the work. They are probed and listed, and
// stay in the pool when a large share of them vanishes from the list at once.
//
// The package is pure: callers pass the time, and act on the returned actions.
// Nothing in it is safe for concurrent use.
package membership
