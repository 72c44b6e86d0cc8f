// Package entry handles a request from start to end on the daemon that accepted
// it, its entry. It asks the owner of a target group for a grant, dispatches the
// request to a target, relays the answer, and resumes a stream that was cut or
// preempted. It tells a caller that a request did not run only when that is certain.
//
// A Runner is safe for concurrent use; each request runs in the goroutine of its
// caller. The other parts of the daemon are reached through the interfaces in
// ports.go and forward_ports.go.
package entry
