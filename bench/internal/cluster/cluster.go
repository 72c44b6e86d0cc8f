// Package cluster starts stand-in servers and daemons as separate processes on
// loopback addresses, for the demo, the measurements and the end-to-end tests.
package cluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/settings"
)

// Programs holds the paths of marjoramd, marjoramctl and marjorambench.
type Programs struct {
	Daemon, Ctl, Bench string
}

// Daemon is a daemon of a cluster. CallerAddress, AdminAddress and PeerAddress are the addresses
// on which it listens.
type Daemon struct {
	*Process
	DataCentre    string
	Region        string
	CallerAddress string
	AdminAddress  string
	PeerAddress   string
}

// Server is a stand-in server or a naive scheduler of a cluster.
type Server struct {
	*Process
	DataCentre string
	Address    string
}

// Cluster is a running deployment.
type Cluster struct {
	Dir          string
	Programs     Programs
	Spec         Spec
	Set          *object.Set
	Platform     *Server
	Engines      []*Server
	PlainServers []*Server
	Daemons      []*Daemon
	// NaiveServers holds the naive schedulers that StartNaive started.
	NaiveServers []*Server
}

const (
	readyTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	stopTimeout  = 30 * time.Second
)

// Start starts the stand-ins and the daemons of a spec and writes settings and logs
// into dir. It neither publishes the configuration nor waits for the daemons to be
// ready. Close kills all processes.
func Start(ctx context.Context, dir string, programs Programs, spec Spec) (*Cluster, error) {
	spec.fillDefaults()
	c := &Cluster{Dir: dir, Programs: programs, Spec: spec, Set: spec.baseSet()}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	var err error
	c.Platform, err = c.startStandIn("platform", "", "platform")
	if err != nil {
		return err
	}
	for i := range c.Spec.DataCentres {
		if err := c.startTargets(&c.Spec.DataCentres[i]); err != nil {
			return err
		}
	}
	if err := c.waitStandIns(ctx); err != nil {
		return err
	}
	for i := range c.Spec.DataCentres {
		if err := c.addDaemons(&c.Spec.DataCentres[i]); err != nil {
			return err
		}
	}
	for _, d := range c.Daemons {
		if err := c.writeSettings(d); err != nil {
			return err
		}
	}
	if err := c.PutVMs(ctx, c.VMs()); err != nil {
		return err
	}
	for _, d := range c.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return nil
}

// startStandIn starts one stand-in server on a free address.
func (c *Cluster) startStandIn(name, dataCentre string, args ...string) (*Server, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	args = append([]string{"standin"}, append(args, "--listen", address)...)
	s := &Server{Process: NewProcess(c.Dir, name, c.Programs.Bench, args...), DataCentre: dataCentre, Address: address}
	return s, s.Start()
}

func (c *Cluster) startTargets(dc *DataCentre) error {
	for i, e := range dc.Engines {
		name := fmt.Sprintf("%s-engine-%d", dc.Name, i+1)
		s, err := c.startStandIn(name, dc.Name, "engine", "--name", name,
			"--versions", strings.Join(c.Spec.LoadedModels, ","),
			"--prefill", fmt.Sprint(e.PrefillTokensPerSecond),
			"--decode-base", e.DecodeBase.String(),
			"--decode-sequence", e.DecodePerSequence.String(),
			"--batch", fmt.Sprint(e.MaxBatch),
			"--kv-tokens", fmt.Sprint(e.KVTokens),
			fmt.Sprintf("--stamp=%t", e.Stamp),
			"--seed", fmt.Sprint(len(c.Engines)+1))
		if err != nil {
			return err
		}
		c.Engines = append(c.Engines, s)
		c.addTarget(dc, s, ModelService, e)
	}
	for i := range dc.PlainServers {
		name := fmt.Sprintf("%s-plain-%d", dc.Name, i+1)
		versions := strings.Join(versionsOf(c.Set, PlainService), ",")
		s, err := c.startStandIn(name, dc.Name, "plain", "--service-time", c.Spec.PlainServiceTime.String(), "--versions", versions)
		if err != nil {
			return err
		}
		c.PlainServers = append(c.PlainServers, s)
		c.addTarget(dc, s, PlainService, Engine{Hardware: "gen1", MaxBatch: 8})
	}
	return nil
}

func (c *Cluster) addTarget(dc *DataCentre, s *Server, service string, e Engine) {
	c.Set.Targets = append(c.Set.Targets, object.Target{
		Name:          s.Name,
		Service:       service,
		DataCentre:    dc.Name,
		Region:        dc.Region,
		Address:       s.Address,
		Hardware:      e.Hardware,
		Slots:         e.MaxBatch,
		KVTokens:      e.KVTokens,
		Versions:      versionsOf(c.Set, service),
		ChecksFencing: e.ChecksFencing,
	})
}

// addDaemons adds the daemons of a data centre without starting them.
func (c *Cluster) addDaemons(dc *DataCentre) error {
	for i := range dc.Daemons {
		daemon := &Daemon{DataCentre: dc.Name, Region: dc.Region}
		for _, address := range []*string{&daemon.CallerAddress, &daemon.AdminAddress, &daemon.PeerAddress} {
			var err error
			if *address, err = freeAddress(); err != nil {
				return err
			}
		}
		name := fmt.Sprintf("%s-%d", dc.Name, i+1)
		daemon.Process = c.daemonProcess(name, c.settingsPath(name))
		daemon.environment = c.Spec.DaemonEnvironment
		c.Daemons = append(c.Daemons, daemon)
	}
	return nil
}

func (c *Cluster) settingsPath(daemon string) string {
	return filepath.Join(c.Dir, daemon+".yaml")
}

// daemonProcess describes the process of a daemon: marjoramd, or marjorambench's
// daemon command if the spec asks for CPU profiles.
func (c *Cluster) daemonProcess(name, settingsPath string) *Process {
	if c.Spec.Profile == "" {
		return NewProcess(c.Dir, name, c.Programs.Daemon, "--settings", settingsPath)
	}
	profile := filepath.Join(c.Spec.Profile, name+".cpu")
	return NewProcess(c.Dir, name, c.Programs.Bench, "daemon", "--settings", settingsPath, "--cpu-profile", profile)
}

// daemonSettings has the layout of the settings file. Its secrets are plain strings,
// since the type of the settings package masks them when it is encoded.
type daemonSettings struct {
	Name       string            `yaml:"name"`
	DataCentre string            `yaml:"dataCentre"`
	Region     string            `yaml:"region"`
	Listen     map[string]string `yaml:"listen"`
	Platform   map[string]string `yaml:"platform"`
	Seeds      []settings.Seed   `yaml:"seeds,omitempty"`
	TLS        *settings.TLS     `yaml:"tls,omitempty"`
	Tokens     map[string]any    `yaml:"tokens"`
}

// writeSettings writes the settings file of a daemon. Call it after addDaemons for
// all data centres, since the seeds contain the addresses of the other daemons.
func (c *Cluster) writeSettings(daemon *Daemon) error {
	callerTokens := make(map[string]string)
	for _, a := range c.Spec.Accounts {
		callerTokens[a.Name] = CallerToken(a.Name)
	}
	platformURL := "http://" + c.Platform.Address
	file := daemonSettings{
		Name:       daemon.Name,
		DataCentre: daemon.DataCentre,
		Region:     daemon.Region,
		Listen:     map[string]string{"callers": daemon.CallerAddress, "admin": daemon.AdminAddress, "peers": daemon.PeerAddress},
		Platform:   map[string]string{"table": platformURL, "objects": platformURL, "weights": platformURL, "vms": platformURL},
		Tokens:     map[string]any{"operators": map[string]string{"ops": OperatorToken}, "callers": callerTokens},
	}
	if c.Spec.Seeds {
		file.Seeds = c.seeds(daemon)
	}
	if c.Spec.TLS != nil {
		files, err := c.Spec.TLS(daemon.Name)
		if err != nil {
			return err
		}
		file.TLS = &files
	}
	data, err := yaml.Marshal(file)
	if err != nil {
		return err
	}
	return os.WriteFile(c.settingsPath(daemon.Name), data, 0o600)
}

// seeds returns the seeds of a daemon: all daemons but itself.
func (c *Cluster) seeds(except *Daemon) []settings.Seed {
	var seeds []settings.Seed
	for _, d := range c.Daemons {
		if d != except {
			seeds = append(seeds, settings.Seed{Name: d.Name, DataCentre: d.DataCentre, Address: d.PeerAddress})
		}
	}
	return seeds
}

// VMs returns the VM list in which all daemons and targets are live.
func (c *Cluster) VMs() []provider.VM {
	var vms []provider.VM
	for _, d := range c.Daemons {
		vms = append(vms, provider.VM{Name: d.Name, Address: d.PeerAddress, DataCentre: d.DataCentre, Role: provider.RoleEntry, State: provider.VMLive})
	}
	for _, s := range append(append([]*Server{}, c.Engines...), c.PlainServers...) {
		vms = append(vms, provider.VM{Name: s.Name, Address: s.Address, DataCentre: s.DataCentre, Role: provider.RoleTarget, State: provider.VMLive})
	}
	return vms
}

// Close kills all processes.
func (c *Cluster) Close() {
	for _, d := range c.Daemons {
		d.Kill()
	}
	for _, s := range c.servers() {
		s.Kill()
	}
}

func (c *Cluster) servers() []*Server {
	var servers []*Server
	if c.Platform != nil {
		servers = append(servers, c.Platform)
	}
	servers = append(servers, c.Engines...)
	servers = append(servers, c.PlainServers...)
	return append(servers, c.NaiveServers...)
}

// basePort is the port below the first one that freeAddress tries; later calls use
// the next higher ports. A port chosen by the operating system may be given to an
// outgoing connection or chosen again before the process listens on it, which
// happened with a hundred addresses.
const basePort = 20000

// portsTried is the number of ports that freeAddress has tried.
var portsTried atomic.Int32

// freeAddress returns a loopback address that nothing listens on and that no other
// call in this process returns. The host depends on the process id, so that clusters
// of different processes get different addresses, and differs from 127.0.0.1, the
// host of outgoing connections. It fails if it finds 100 ports in a row in use. It is
// safe for concurrent use.
func freeAddress() (string, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.1", 64+pid>>8&63, pid&255)
	var lastErr error
	for range 100 {
		address := fmt.Sprintf("%s:%d", host, basePort+portsTried.Add(1))
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
		lastErr = err
	}
	return "", lastErr
}
