package cli

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/marjoramflow/marjoramflow/bench/internal/losses"
)

// lossesCommand returns the command that tells from daemons' logs which requests were lost or
// late, and why.
func lossesCommand() *cobra.Command {
	window, worst, plotFile := 2*time.Second, 0, ""
	command := &cobra.Command{
		Use:   "losses LOG",
		Short: "Count late and lost requests by window, class and cause, from the logs of daemons",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer file.Close()
			log, err := losses.Read(file)
			if err != nil {
				return err
			}
			if plotFile != "" {
				if err := losses.NewUsage(log).Plot(plotFile, args[0]); err != nil {
					return err
				}
			}
			return losses.Print(cmd.OutOrStdout(), losses.Analyze(log).Rows(window), worst)
		},
	}
	command.Flags().DurationVar(&window, "window", window, "length of a window")
	command.Flags().IntVar(&worst, "worst", 0, "print only this many rows, those with most losses")
	command.Flags().StringVar(&plotFile, "plot", "", "write a plot of the slots in use to this file (.png, .svg, .pdf)")
	return command
}
