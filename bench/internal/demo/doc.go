// Package demo runs a deployment through faults and moves as separate processes
// and checks the promises R1 to R9 of the design page. What callers were told is
// compared with the execution logs of the stand-in servers.
package demo
