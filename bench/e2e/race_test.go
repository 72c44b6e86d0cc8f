//go:build race

package e2e

// buildFlags makes the processes run with the race detector when the tests do.
var buildFlags = []string{"-race"}
