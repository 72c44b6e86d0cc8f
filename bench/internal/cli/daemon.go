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

// daemonCommand returns the command that runs a daemon under the CPU profiler; the
// shipped daemon has no profiling.
func daemonCommand() *cobra.Command {
	var settingsPath, profilePath string
	cmd := &cobra.Command{
		Use:   "daemon",
		Short: "Run a daemon and write a CPU profile when it stops",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runWithProfile(cmd.Context(), settingsPath, profilePath)
		},
	}
	cmd.Flags().StringVar(&settingsPath, "settings", "", "file with the daemon's settings")
	cmd.Flags().StringVar(&profilePath, "cpu-profile", "daemon.cpu", "file of the CPU profile")
	return cmd
}

// runWithProfile runs a daemon until SIGTERM or SIGINT and writes its CPU profile
// when it stops.
func runWithProfile(ctx context.Context, settingsPath, profilePath string) (err error) {
	file, err := os.Create(profilePath)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	server, err := daemon.Open(settingsPath, os.Stderr)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := pprof.StartCPUProfile(file); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	return server.Run(ctx)
}
