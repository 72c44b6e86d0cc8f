// Package entry runs the life of a request on the daemon that accepted it: it
// asks for a grant, dispatches to a target, relays the answer, resumes a stream
// that was cut or preempted, and tells the caller truthfully when a request did
// not run.
//
// An Entry is safe for concurrent use; each request is run by the goroutine
// that calls it. All other parts of the daemon are reached through the
// interfaces in ports.go.
package entry
