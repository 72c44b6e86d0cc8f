// Command review-3 plays the cases of the third review that are scripts. It starts the
// daemons as separate processes with the command of the deploy file and stands in for the
// platform's store, the servers, the operator and the clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// cases holds the function of each case. It returns whether the rule was broken.
var cases = map[string]func(*run) (bool, error){
	"lost-outcome":   lostOutcome,
	"odd-entries":    oddEntries,
	"restored-store": restoredStore,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordPath string) int {
	r, err := newRun(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-3:", err)
		return cannotRun
	}
	broken, err := cases[name](r)
	r.close()
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return cannotRun
	case broken:
		r.note("result: the rule was broken")
		return ruleBroken
	}
	r.note("result: the rule held")
	return ruleHeld
}
