package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/internal/measure"
)

func measureCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "measure", Short: "Run measurements and print tables; without a sub-command all of them"}
	cmd.AddCommand(speedCommand(), daemonsCommand(), faultsCommand(), goodputCommand())
	cmd.Args = cobra.NoArgs
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		for _, sub := range cmd.Commands() {
			fmt.Fprintf(cmd.OutOrStdout(), "\n## %s\n\n", sub.Name())
			sub.SetContext(cmd.Context())
			if err := sub.RunE(sub, nil); err != nil {
				return fmt.Errorf("%s: %w", sub.Name(), err)
			}
		}
		return nil
	}
	return cmd
}

func goodputCommand() *cobra.Command {
	options := measure.DefaultGoodput
	cmd := &cobra.Command{
		Use:   "goodput",
		Short: "Goodput by tier at several loads, compared with the naive scheduler",
		RunE: func(cmd *cobra.Command, _ []string) error {
			programs, err := cluster.FindPrograms()
			if err != nil {
				return err
			}
			return measure.Goodput(cmd.Context(), programs, options, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.Float64SliceVar(&options.Loads, "loads", options.Loads, "loads as factors of the engines' capacity")
	flags.DurationVar(&options.Duration, "duration", options.Duration, "duration of each run")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the requests")
	flags.IntVar(&options.Daemons, "daemons", options.Daemons, "number of daemons")
	flags.Float64Var(&options.Skew, "skew", options.Skew, "share of the requests that one daemon gets")
	return cmd
}

func speedCommand() *cobra.Command {
	options := measure.DefaultSpeed
	cmd := &cobra.Command{
		Use:   "speed",
		Short: "Added time, CPU and memory per token, request and stream",
		RunE: func(cmd *cobra.Command, _ []string) error {
			programs, err := cluster.FindPrograms()
			if err != nil {
				return err
			}
			return measure.Speed(cmd.Context(), programs, options, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.DurationVar(&options.Duration, "duration", options.Duration, "duration of each load")
	flags.StringSliceVar(&options.Variants, "variants", options.Variants, "variants to measure")
	flags.StringVar(&options.Profile, "profile", "", "existing directory for a CPU profile of the daemon")
	flags.IntVar(&options.Engines, "engines", options.Engines, "number of stand-in engines")
	flags.IntVar(&options.Streams, "streams", options.Streams, "streams kept open at full load")
	flags.Float64Var(&options.Rate, "rate", options.Rate, "tokens per second at half load")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the requests")
	return cmd
}

func daemonsCommand() *cobra.Command {
	options := measure.DefaultDaemons
	cmd := &cobra.Command{
		Use:   "daemons",
		Short: "CPU, memory and traffic per daemon by the number of daemons, with fitted lines",
		RunE: func(cmd *cobra.Command, _ []string) error {
			programs, err := cluster.FindPrograms()
			if err != nil {
				return err
			}
			if err := measure.Daemons(cmd.Context(), programs, options, cmd.OutOrStdout()); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout())
			return measure.Owners(cmd.Context(), programs, options, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.IntSliceVar(&options.Targets, "targets", options.Targets, "numbers of configured targets")
	flags.IntSliceVar(&options.Counts, "counts", options.Counts, "numbers of daemons")
	flags.DurationVar(&options.Duration, "duration", options.Duration, "duration of each measurement")
	flags.StringVar(&options.Profile, "profile", "", "existing directory for CPU profiles of the daemons")
	flags.IntVar(&options.Processors, "processors", options.Processors, "GOMAXPROCS of the daemons; 0 is the number of the machine's cores")
	flags.Float64Var(&options.Rate, "rate", options.Rate, "requests per second for each daemon under load")
	flags.IntVar(&options.Publications, "publications", options.Publications, "number of publications to time")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the requests")
	return cmd
}

func faultsCommand() *cobra.Command {
	options := measure.DefaultFaults
	cmd := &cobra.Command{
		Use:   "faults",
		Short: "Goodput by tier under faults, compared with the naive scheduler",
		RunE: func(cmd *cobra.Command, _ []string) error {
			programs, err := cluster.FindPrograms()
			if err != nil {
				return err
			}
			return measure.Faults(cmd.Context(), programs, options, cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.Float64Var(&options.Load, "load", options.Load, "load as a factor of the engines' capacity")
	flags.DurationVar(&options.Duration, "duration", options.Duration, "duration of each run")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the requests")
	flags.IntVar(&options.Daemons, "daemons", options.Daemons, "number of daemons")
	return cmd
}
