// Package cli holds the commands of marjorambench.
package cli

import "github.com/spf13/cobra"

// Root returns the command tree.
func Root() *cobra.Command {
	root := &cobra.Command{
		Use:           "marjorambench",
		Short:         "Stand-in servers, load and measurements for marjoramflow",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(standinCommand(), naiveCommand(), measureCommand(), demoCommand(), daemonCommand(), soakCommand(), lossesCommand())
	return root
}
