package cli

import (
	"github.com/spf13/cobra"

	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/internal/measure"
)

func measureCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "measure", Short: "Run measurements and print tables"}
	cmd.AddCommand(goodputCommand())
	return cmd
}

func goodputCommand() *cobra.Command {
	o := measure.DefaultGoodput
	cmd := &cobra.Command{
		Use:   "goodput",
		Short: "Goodput by tier at several loads, beside the naive scheduler",
		RunE: func(cmd *cobra.Command, _ []string) error {
			programs, err := cluster.Beside()
			if err != nil {
				return err
			}
			return measure.Goodput(cmd.Context(), programs, o, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.Float64SliceVar(&o.Loads, "loads", o.Loads, "loads as factors of the capacity")
	flags.DurationVar(&o.Duration, "duration", o.Duration, "duration of each run")
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the requests")
	flags.IntVar(&o.Daemons, "daemons", o.Daemons, "number of daemons")
	flags.Float64Var(&o.Skew, "skew", o.Skew, "part of the requests that one daemon gets")
	return cmd
}
