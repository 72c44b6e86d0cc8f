// Package grants is the entry's side of the grant protocol: it asks the owners of
// target groups for permission to run a request, waits in their queues, reserves
// again when a group gets another owner, and signals preemption.
//
// A Client is safe for concurrent use. The goroutines of the mesh deliver replies by
// calling OnMessage, which never blocks.
package grants
