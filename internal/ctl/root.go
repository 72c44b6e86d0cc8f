package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/settings"
)

// Names of environment variables.
const (
	tokenVariable   = "MARJORAM_TOKEN"
	serversVariable = "MARJORAM_SERVERS"
)

// Environment holds the parts of the process that commands use.
type Environment struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	Getenv         func(string) string
	// Transport sends requests to the servers; nil means an http.Transport that
	// dials them.
	Transport http.RoundTripper
}

// Run runs one command line, without the program's name, and returns the exit
// code. Errors are written to Stderr.
func Run(ctx context.Context, args []string, env Environment) int {
	t := &tool{env: env}
	root := t.rootCommand()
	root.SetArgs(args)
	root.SetIn(env.Stdin)
	root.SetOut(env.Stdout)
	root.SetErr(env.Stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(env.Stderr, "marjoramctl:", err)
	}
	return exitCode(err, t.argsAccepted)
}

// tool holds the environment and the flags that all commands share.
type tool struct {
	env          Environment
	servers      []string
	tokenFile    string
	caFile       string
	outputFormat string
	// argsAccepted is set when cobra has accepted the command line.
	argsAccepted bool
}

func (t *tool) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "marjoramctl",
		Short: "Check, publish and inspect the configuration of marjoramflow",
		Long: `marjoramctl checks, publishes and inspects the configuration of a running
marjoramflow. It talks to the administration address of any daemon; with several
servers it tries them in turn.

The operator's token comes from --token-file or from the variable MARJORAM_TOKEN,
the servers from --server or from MARJORAM_SERVERS (separated by commas).

` + exitHelp,
		Example: `  export MARJORAM_SERVERS=10.0.0.1:8081,10.0.0.2:8081
  marjoramctl check objects/
  marjoramctl get set > current.yaml
  marjoramctl publish --wait current.yaml`,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			t.argsAccepted = true
			return t.checkOutputFormat()
		},
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&t.servers, "server", nil, "administration address `IP:PORT` or URL; repeat it for several")
	flags.StringVar(&t.tokenFile, "token-file", "", "file with the operator's token")
	flags.StringVar(&t.caFile, "ca-file", "", "file with the certificates that https servers are checked against")
	flags.StringVarP(&t.outputFormat, "output", "o", "", "output format: table, json or yaml")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json", "yaml"}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(
		t.checkCommand(),
		t.diffCommand(),
		t.publishCommand(),
		t.getCommand(),
		t.statusCommand(),
		t.drainCommand(),
		t.undrainCommand(),
		t.revertCommand(),
		t.versionCommand(),
	)
	return root
}

func (t *tool) checkOutputFormat() error {
	switch t.outputFormat {
	case "", formatTable, formatJSON, formatYAML:
		return nil
	}
	return usageError(fmt.Sprintf("output format %q must be table, json or yaml", t.outputFormat))
}

// serverList returns the servers given by the flags or, without flags, by the
// environment variable.
func (t *tool) serverList() []string {
	if len(t.servers) > 0 {
		return t.servers
	}
	var servers []string
	for _, server := range strings.Split(t.env.Getenv(serversVariable), ",") {
		if server = strings.TrimSpace(server); server != "" {
			servers = append(servers, server)
		}
	}
	return servers
}

// newClient returns a client for the servers and the token that the flags and the
// environment give.
func (t *tool) newClient() (*adminapi.Client, error) {
	servers := t.serverList()
	if len(servers) == 0 {
		return nil, usageError("no server: give --server or set " + serversVariable)
	}
	token, err := t.readToken()
	if err != nil {
		return nil, err
	}
	config, err := t.tlsConfig()
	if err != nil {
		return nil, err
	}
	client, err := adminapi.NewClient(adminapi.ClientOptions{Servers: servers, Token: token, TLS: config, Transport: t.env.Transport})
	if err != nil {
		return nil, usageError(err.Error())
	}
	return client, nil
}

// readToken returns the operator's token from the token file or, without one, from
// the environment.
func (t *tool) readToken() (settings.Secret, error) {
	text := t.env.Getenv(tokenVariable)
	if t.tokenFile != "" {
		data, err := os.ReadFile(t.tokenFile)
		if err != nil {
			return settings.Secret{}, fault.Wrap(err, "ctl.token", t.tokenFile)
		}
		text = string(data)
	}
	text = strings.TrimSpace(text)
	if text == "" {
		return settings.Secret{}, usageError("no token: give --token-file or set " + tokenVariable)
	}
	return settings.NewSecret(text), nil
}

// tlsConfig returns a configuration that trusts the certificates of the CA file,
// or nil if no file is given.
func (t *tool) tlsConfig() (*tls.Config, error) {
	if t.caFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(t.caFile)
	if err != nil {
		return nil, fault.Wrap(err, "ctl.ca", t.caFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fault.New("ctl.ca", t.caFile, "the file holds no certificate")
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
