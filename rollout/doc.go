// Package rollout moves the traffic of a service from one version to another by
// a deadline, or takes it back.
//
// An operator publishes a move: the service, the versions, a deadline and an
// attempt number. One daemon, the holder, holds the lease of the service's moves.
// It has the targets load the new version, then raises the share of traffic that
// the new version gets in steps: 1%, 5%, 20%, 50% and 100% unless the move says
// otherwise. A step ends as soon as the answers of the new version show that the
// next step is safe, and at the latest when the time left requires it. After a
// soak at full share the move is done.
//
// The new version is compared with the old one that serves at the same time, for
// errors, slow answers and slow streams, on each route, on each target and at each load
// level. When the comparison shows that the new version is worse, its share is cut
// to zero. Every data centre makes this comparison on its own evidence and cuts
// without waiting for the holder or the store; the holder makes it on the evidence
// of all data centres. A cut is final for the attempt. To try again, raise the
// attempt number.
//
// The move is recorded in the row moves/<name> with its phase, share and reason.
// At the deadline each daemon returns to the old version by itself unless it
// knows that the move is done; it does not need the store for that. The deadline
// is a time of day, so the clocks of the VMs should agree within a second.
//
// StateMachine, Tally, SequentialTest, Row and TrafficSplit only compute decisions and
// open no connections; the Controller holds the lease, writes the rows and sends
// commands to targets.
package rollout
