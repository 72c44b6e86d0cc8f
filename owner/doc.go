// Package owner decides which request runs on which target. The targets of a
// service in one data centre are divided into groups of at most 8 (Assign), and
// one daemon owns each group (Group). The owner holds the queue of the group and
// knows exactly which requests are in flight on its targets.
//
// A request is granted a target, queued, or refused. The reason of a refusal
// tells the entry whether it helps to ask another group, to retry later or to
// permit preemption:
//
//   - no-target, too-large and deadline: the group cannot serve the request even
//     when idle. This is not shedding.
//   - preemption-needed: the request would be late unless lower-tier work is
//     preempted, which the Reserve did not permit. The entry asks other groups
//     first, then this one again with MayPreempt. This is not shedding either.
//   - capacity and expired: the request is shed. The group sheds only when no
//     preemptible work of a lower tier runs any more on the targets that the
//     request can use.
//   - busy: no target can start an Immediate request in time now. This is not
//     shedding either.
//
// The package is pure: it does no I/O, takes the time as an argument and returns
// decisions. A Group has no locks and must be used by one goroutine at a time.
package owner
