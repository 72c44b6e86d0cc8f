// Package owners runs the owner duty of a daemon: one goroutine holds the target
// groups that the daemon owns, takes the messages of entries from a bounded
// ring, and sends back grants, refusals and preemptions.
//
// A full ring refuses the newest message. The entry then gets no reply, and asks
// elsewhere after its timeout.
package owners
