// Package grants is the entry's side of the grant protocol: it asks the owners of
// target groups for permission to run a request, waits in their queues, follows
// a group to its next owner, and passes preemption on.
//
// A Client is safe for concurrent use. Replies are delivered by OnMessage from
// the goroutines of the mesh and never block.
package grants
