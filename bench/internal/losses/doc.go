// Package losses finds out from the logs of daemons which requests were lost or late, in
// which seconds and why. It reads the lines that the daemons of one installation wrote,
// ordered by time or not, and counts the requests of each window by cause.
package losses
