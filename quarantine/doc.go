// Package quarantine identifies crash requests: requests that crash the targets
// they run on, also known as queries of death or poison requests.
//
// When a target is lost, every request in flight on it becomes a suspect. A
// suspect may run again, but only on a target that runs no other suspect. If a
// second target is lost with the suspect in flight, the suspect is pending for one
// burst window (1 s) and is then quarantined: every daemon refuses it for 24
// hours. A crash request is therefore stopped after two targets.
//
// A suspect that finishes is cleared. When a request is quarantined, the other
// suspects that were in flight on the targets that it crashed are cleared too,
// because it explains those losses.
//
// The loss of many targets at the same moment has another cause, such as the
// failure of a rack, a data centre or a network. When three or more targets
// without a suspect are lost within one burst window, the losses of that window
// are therefore discounted: they are no evidence against requests. A request that
// was in flight in such a burst becomes a suspect at its next loss, even if that
// loss is part of a burst again. Several crash requests that are sent at once are
// found in this way too, but each of them may crash a third target.
//
// A request in flight beside the only suspect of a lost target does not become a
// suspect. If this happens to it again before it finishes, it may be the cause
// itself: no request is quarantined for that loss, and all requests in flight
// become suspects. If such a request is quarantined later, a request that was
// quarantined before it is cleared when other quarantined requests explain all
// losses that count against it.
//
// Two losses at different times for other reasons, with the same request in
// flight both times, look like a crash request to this package. When the cause of
// a loss becomes known, DiscountLoss withdraws the loss as evidence and ends a
// quarantine that depends on it.
//
// A request is identified by its fingerprint, the hash of the request body. The
// callers of the package send its notices to other daemons, which merge them.
//
// The package does no I/O and reads no clock; the caller passes the time. A
// Tracker is safe for concurrent use.
package quarantine
