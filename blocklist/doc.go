// Package blocklist finds parts of prompts that crash the targets that begin to answer
// them, and blocks the requests that hold them. Package quarantine does this for single
// requests; here the requests differ, and only a part of their prompts is the same.
//
// Evidence. When a target is lost, the attempts that ran there are recorded with it, whatever the
// target had sent of their answers: it may crash at any event. A loss counts against every
// shared part of these attempts' prompts until a target answers a request with that part to its
// end, anywhere in the system: a part that crashes targets is never answered, and the other
// parts of such prompts are answered as parts of other requests. Several attempts of one request
// count as one request, since that request as a whole may be the cause.
//
// Decision. A part is accused when the losses that count against it reach MinLosses, with
// as many different requests, and do not fall into one BurstWindow: the failure of a rack or
// a network takes many targets at once, with whatever they were about to answer. A part
// that was answered before needs losses in MinLosses such windows. This holds for attempts
// that targets had not begun to answer, since one last began to answer a request with the part:
// few attempts are lost at this point. With those that were begun, a part needs MinLossesBegun
// losses, twice as many if it was ever answered to its end; it must not be one that most of the
// lost attempts hold, since a target takes all that run there with it, and it must explain a good
// part of all losses. Of several such parts, the one is accused that was never answered, explains
// the most losses and is held by the fewest of the lost attempts.
//
// What is accused is the set of parts that all of these requests have in common, and a request is
// held back only if it has the whole set. So requests that share an account or a beginning with
// the ones that crash targets go on, and each of them that is answered takes its parts out of the
// set. The daemon that accuses asks the others and waits for VetoWindow: one that saw a part
// answered since the first loss vetoes it. Where targets had begun to answer, and once a set is
// blocked, only whole answers count.
//
// Return. A blocked set is not blocked for good. It is lifted as soon as any daemon sees one
// of its requests answered. For that, one request is let through as a trial TrialDelay after
// the last loss, and after each failed trial the delay grows by TrialBackoff. A set without
// a loss for Expiry is forgotten.
//
// The number of parts, losses and sets that a Tracker remembers is bounded; the ones that
// changed longest ago are forgotten first.
//
// The package does no I/O and reads no clock; the caller passes the time and sends the
// notices to the other daemons. A Tracker is safe for concurrent use.
package blocklist
