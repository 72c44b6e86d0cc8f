// Package coldstart limits the requests that a cold target gets. A target that has just
// started is slow, and crashes if it gets many more requests per second than its service
// states.
//
// Limits holds the figures of a service and the excess that the platform tolerates. State
// holds what is known about the cold time of one target: what the target reported, and what
// is assumed when it is used again and has not reported since. Limiter counts the grants of a
// target, warm or cold, and says whether a cold target may get one more.
//
// The package does no I/O and takes the time as an argument. Its types have no locks; each
// value must be used by one goroutine at a time.
package coldstart
