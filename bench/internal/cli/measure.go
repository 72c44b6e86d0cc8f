package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/internal/measure"
)

func measureCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "measure", Short: "Run measurements and print tables; without an argument all of them"}
	cmd.AddCommand(speedCommand(), daemonsCommand(), faultsCommand(), goodputCommand())
	cmd.Args = cobra.NoArgs
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		for _, part := range cmd.Commands() {
			fmt.Fprintf(cmd.OutOrStdout(), "\n## %s\n\n", part.Name())
			part.SetContext(cmd.Context())
			if err := part.RunE(part, nil); err != nil {
				return fmt.Errorf("%s: %w", part.Name(), err)
			}
		}
		return nil
	}
	return cmd
}

func goodputCommand() *cobra.Command {
	o := measure.DefaultGoodput
	cmd := &cobra.Command{
		Use:   "goodput",
		Short: "Goodput by tier at several loads, beside the naive scheduler",
		RunE: func(cmd *cobra.Command, _ []string) error {
			programs, err := cluster.FindPrograms()
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

func speedCommand() *cobra.Command {
	o := measure.DefaultSpeed
	cmd := &cobra.Command{
		Use:   "speed",
		Short: "Added time, CPU and memory per token, request and stream",
		RunE: func(cmd *cobra.Command, _ []string) error {
			programs, err := cluster.FindPrograms()
			if err != nil {
				return err
			}
			return measure.Speed(cmd.Context(), programs, o, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.DurationVar(&o.Duration, "duration", o.Duration, "duration of each load")
	flags.StringSliceVar(&o.Variants, "variants", o.Variants, "variants to measure")
	flags.StringVar(&o.Profile, "profile", "", "existing directory for a CPU profile of the daemon")
	flags.IntVar(&o.Engines, "engines", o.Engines, "number of stand-in engines")
	flags.IntVar(&o.Streams, "streams", o.Streams, "streams open at full load")
	flags.Float64Var(&o.Rate, "rate", o.Rate, "tokens per second at half load")
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the requests")
	return cmd
}

func daemonsCommand() *cobra.Command {
	o := measure.DefaultDaemons
	cmd := &cobra.Command{
		Use:   "daemons",
		Short: "Use of daemons by their number, with fitted lines",
		RunE: func(cmd *cobra.Command, _ []string) error {
			programs, err := cluster.FindPrograms()
			if err != nil {
				return err
			}
			if err := measure.Daemons(cmd.Context(), programs, o, cmd.OutOrStdout()); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout())
			return measure.Owners(cmd.Context(), programs, o, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.IntSliceVar(&o.Targets, "targets", o.Targets, "numbers of configured targets")
	flags.IntSliceVar(&o.Counts, "counts", o.Counts, "numbers of daemons")
	flags.DurationVar(&o.Duration, "duration", o.Duration, "duration of each measurement")
	flags.StringVar(&o.Profile, "profile", "", "existing directory for CPU profiles of the daemons")
	flags.IntVar(&o.Processors, "processors", o.Processors, "GOMAXPROCS of the daemons; 0 is the machine's cores")
	flags.Float64Var(&o.Rate, "rate", o.Rate, "requests per second and daemon under load")
	flags.IntVar(&o.Publications, "publications", o.Publications, "publications that are timed")
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the requests")
	return cmd
}

func faultsCommand() *cobra.Command {
	o := measure.DefaultFaults
	cmd := &cobra.Command{
		Use:   "faults",
		Short: "Goodput by tier under faults, beside the naive scheduler",
		RunE: func(cmd *cobra.Command, _ []string) error {
			programs, err := cluster.FindPrograms()
			if err != nil {
				return err
			}
			return measure.Faults(cmd.Context(), programs, o, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.Float64Var(&o.Load, "load", o.Load, "load as a factor of the capacity")
	flags.DurationVar(&o.Duration, "duration", o.Duration, "duration of each run")
	flags.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the requests")
	flags.IntVar(&o.Daemons, "daemons", o.Daemons, "number of daemons")
	return cmd
}
