// Command marjoramctl checks, publishes and inspects the configuration of a
// running marjoramflow. "marjoramctl help" lists its commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/marjoramflow/marjoramflow/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], ctl.Environment{
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Getenv: os.Getenv,
	})
	stop()
	os.Exit(code)
}
