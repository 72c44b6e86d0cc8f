// Command marjorambench runs stand-in servers, load, the demo and the
// measurements. It is a tool for developers and is not shipped.
package main

import (
	"fmt"
	"os"

	"github.com/marjoramflow/marjoramflow/bench/internal/cli"
)

func main() {
	if err := cli.Root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "marjorambench:", err)
		os.Exit(1)
	}
}
