// Command stand2 runs the scripts of the second review: it starts the daemons as processes
// and plays the platform's store, the servers, the clients and the operator.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*record) bool{
		"rollout-under-load": rolloutUnderLoad,
		"rollout-again":      rolloutAgain,
		"garbled-length":     garbledLength,
		"garbled-id":         garbledID,
		"order-back":         orderBack,
		"resume-running":     resumeWhileRunning,
		// The crashing part is the second of two shared ones, or the 37th of 40.
		"part-after-events": partCrash(2, 1, 2),
		"part-of-many":      partCrash(40, 36, 0),
	}
	run := cases[os.Args[1]]
	if run == nil {
		cannotRun("no case %q", os.Args[1])
	}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, os.Interrupt, syscall.SIGTERM)
	go func() {
		cannotRun("ended by signal %v", <-ends)
	}()
	rec := newRecord(os.Args[2])
	if run(rec) {
		rec.log("the rule held")
		os.Exit(0)
	}
	rec.log("THE RULE WAS BROKEN")
	os.Exit(1)
}

// trouble reports whether the case plays its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }
