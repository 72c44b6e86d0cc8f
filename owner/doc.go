// Package owner decides which request runs on which target. The targets of a
// service in one data centre are divided into groups of at most 8 (Assign), and
// one daemon owns each group (Group). The owner holds the queue of the group and
// knows exactly which requests are in flight on its targets.
//
// A request is granted a target, queued, or refused. The reason of a refusal
// says whether another group, a later time or preemption can help:
//
//   - no-target, too-large and deadline: the group cannot serve the request even
//     when idle. This is not shedding.
//   - preemption-needed: the request would be late unless lower-tier work is
//     preempted, which the caller did not permit. It asks other groups first,
//     then this one again with MayPreempt. This is not shedding either.
//   - capacity and expired: the request is shed. The group refuses like this
//     only when it has no preemptible running work of a lower tier left on the
//     targets that the request can use.
//
// The package is pure: it takes the time as an argument and returns decisions.
// A Group is driven by one goroutine and has no locks.
package owner
