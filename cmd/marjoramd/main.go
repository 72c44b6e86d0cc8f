// Command marjoramd is the daemon of marjoramflow.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/marjoramflow/marjoramflow/daemon"
	"github.com/marjoramflow/marjoramflow/settings"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "marjoramd:", err)
		os.Exit(1)
	}
}

// rootCommand returns the command that runs the daemon, with its subcommands.
func rootCommand() *cobra.Command {
	var path string
	root := &cobra.Command{
		Use:           "marjoramd",
		Short:         "Request scheduler daemon",
		Version:       daemon.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd.Context(), path)
		},
	}
	root.PersistentFlags().StringVar(&path, "settings", "/etc/marjoramflow/settings.yaml", "file with the daemon's settings")
	root.AddCommand(checkCommand(&path), printCommand(&path))
	return root
}

func checkCommand(path *string) *cobra.Command {
	return &cobra.Command{
		Use:   "check-settings",
		Short: "Check the settings file and exit",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.Load(*path); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
			return nil
		},
	}
}

func printCommand(path *string) *cobra.Command {
	return &cobra.Command{
		Use:   "print-settings",
		Short: "Print the settings with all defaults; secrets are hidden",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(*path)
			if err != nil {
				return err
			}
			return s.Dump(cmd.OutOrStdout())
		},
	}
}

// reload reads the settings file again at each SIGHUP until the context ends.
func reload(ctx context.Context, d daemon.Runner) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			d.Reload()
		}
	}
}

// run starts the daemon and serves until SIGTERM or SIGINT.
func run(ctx context.Context, path string) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.Open(path, os.Stdout)
	if err != nil {
		return err
	}
	go reload(ctx, d)
	return d.Run(ctx)
}
