// Package quarantine finds requests that crash the targets they run on.
//
// When a target is lost, every request in flight there becomes a suspect. A
// suspect may run again, but only on a target that runs no other suspect. If a
// second target is lost under it, it is held for one burst window (1 s) and then
// convicted: it is refused everywhere for 24 hours. At most two targets are lost
// to one request that way.
//
// A suspect that finishes is cleared. When a request is convicted, the other
// suspects of the targets that it crashed are cleared too, because their losses
// are explained.
//
// Losing many targets at the same moment has another cause, such as a rack, a
// data centre or a network. When three or more targets without a suspect are
// lost within one burst window, the losses of that window are therefore no
// evidence against requests. A request that was excused this way becomes a
// suspect at its next loss, even in a burst, so that several crashing requests
// sent at once are found as well, at the price of a third target.
//
// A request in flight beside the only suspect of a lost target is not accused.
// When that happens to it again before it finished, it may be the cause itself:
// nobody is convicted for that loss and all in flight become suspects. When it is
// convicted later, those are acquitted whose losses it and others explain.
//
// Two losses at different times for other reasons, with the same request in
// flight on both, cannot be told apart from a crashing request by this evidence.
// When the cause of a loss becomes known, DiscountLoss withdraws it and ends a
// conviction that rests on it.
//
// Requests are known by a fingerprint, the hash of the request body. Callers in
// different daemons exchange notices and merge them.
//
// The package is pure. A Tracker is safe for concurrent use.
package quarantine
