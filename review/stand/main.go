// Command stand runs the scripted cases of the review. It plays the platform's store, the
// servers, the operator and the clients, and starts the daemons of the deploy file as
// separate processes on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is one case. It returns a description of the broken rule, or "" if the rule held.
// An error means that the case could not run.
type scenario func(b *bench) (broken string, err error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		os.Exit(runServerProcess(os.Args[2:]))
	}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand SCENARIO RECORD-FILE, in the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(runScenario(scenarios[os.Args[1]], os.Args[2]))
}

// runScenario runs a scenario and returns its exit code.
func runScenario(play scenario, recordPath string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	b, err := newBench(recordPath, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	defer b.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		b.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(b)
	switch {
	case err != nil:
		b.rec.line("result: could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken != "":
		b.rec.line("result: broken: %s", broken)
		fmt.Printf("broken: %s (record: %s)\n", broken, filepath.Base(recordPath))
		return exitBroken
	}
	b.rec.line("result: held")
	fmt.Println("held")
	return exitHeld
}
