//go:build race

package e2e

// The processes run with the race detector when the tests do.
var buildFlags = []string{"-race"}
