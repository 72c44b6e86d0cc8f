// Package owners is the owner's side of the grant protocol. In each daemon, one
// goroutine holds the target groups that the daemon owns, takes the messages of
// entries from a bounded ring, and sends back grants, refusals and preemptions.
//
// A full ring refuses the newest message. The entry then gets no reply, and asks
// another group after its timeout.
package owners
