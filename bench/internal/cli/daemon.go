package cli

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/marjoramflow/marjoramflow/daemon"
)

// daemonCommand runs a daemon with a CPU profile. The shipped daemon has no
// profiling.
func daemonCommand() *cobra.Command {
	var path, profile string
	cmd := &cobra.Command{
		Use:   "daemon",
		Short: "Run a daemon and write a CPU profile when it stops",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return profiled(cmd.Context(), path, profile)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "file with the daemon's settings")
	cmd.Flags().StringVar(&profile, "cpu-profile", "daemon.cpu", "file of the CPU profile")
	return cmd
}

func profiled(ctx context.Context, path, profile string) (err error) {
	file, err := os.Create(profile)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	d, err := daemon.Open(path, os.Stderr)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := pprof.StartCPUProfile(file); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	return d.Run(ctx)
}
