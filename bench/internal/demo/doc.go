// Package demo runs a deployment as separate processes, injects faults, publishes
// moves, and checks the promises R1 to R9 of the design page. It compares the answers
// that callers got with the execution logs of the stand-in servers.
package demo
