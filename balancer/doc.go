// Package balancer chooses the target of a request inside a target group, and
// on the entry side the group to ask.
//
// Inside a group, a Picker sees the targets that have room. The choices are
// random, least outstanding on the group's own counts, power of two on reported
// load, and earliest predicted finish with prefix reuse, which is the one in
// use; the others are kept to be compared with it.
//
// The package is pure. Pickers and Groups are not safe for concurrent use.
package balancer
