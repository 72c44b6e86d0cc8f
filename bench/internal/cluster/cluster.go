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

// Programs are the paths of the binaries.
type Programs struct {
	Daemon, Tool, Bench string
}

// Daemon is a daemon of a cluster.
type Daemon struct {
	*Process
	DataCentre string
	Region     string
	Callers    string
	Admin      string
	Peers      string
}

// Server is a stand-in server of a cluster.
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
	// Naive are the naive schedulers that StartNaive started.
	Naive []*Server
}

const (
	readyTimeout = 30 * time.Second
	pollPause    = 20 * time.Millisecond
	stopTimeout  = 30 * time.Second
)

// Start starts the stand-ins and the daemons of a spec. The configuration is not
// published yet. Close ends all processes.
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
	c.Platform, err = c.standin("platform", "", "platform")
	if err != nil {
		return err
	}
	for i := range c.Spec.DataCentres {
		if err := c.startTargets(&c.Spec.DataCentres[i]); err != nil {
			return err
		}
	}
	if err := c.waitServers(ctx); err != nil {
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

// standin starts one stand-in server.
func (c *Cluster) standin(name, dataCentre string, args ...string) (*Server, error) {
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
		s, err := c.standin(name, dc.Name, "engine", "--name", name,
			"--versions", strings.Join(c.Spec.Loaded, ","),
			"--prefill", fmt.Sprint(e.Prefill),
			"--decode-base", e.DecodeBase.String(),
			"--decode-sequence", e.DecodePer.String(),
			"--batch", fmt.Sprint(e.Batch),
			"--kv-tokens", fmt.Sprint(e.KVTokens),
			fmt.Sprintf("--stamp=%t", e.Stamp),
			"--seed", fmt.Sprint(len(c.Engines)+1))
		if err != nil {
			return err
		}
		c.Engines = append(c.Engines, s)
		c.addTarget(dc, s, ModelService, e)
	}
	for i := range dc.Plains {
		name := fmt.Sprintf("%s-plain-%d", dc.Name, i+1)
		versions := strings.Join(versionsOf(c.Set, PlainService), ",")
		s, err := c.standin(name, dc.Name, "plain", "--service-time", c.Spec.PlainTime.String(), "--versions", versions)
		if err != nil {
			return err
		}
		c.PlainServers = append(c.PlainServers, s)
		c.addTarget(dc, s, PlainService, Engine{Hardware: "gen1", Batch: 8})
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
		Slots:         e.Batch,
		KVTokens:      e.KVTokens,
		Versions:      versionsOf(c.Set, service),
		ChecksFencing: e.ChecksFencing,
	})
}

// addDaemons adds the daemons of a data centre.
func (c *Cluster) addDaemons(dc *DataCentre) error {
	for i := range dc.Daemons {
		m := &Daemon{DataCentre: dc.Name, Region: dc.Region}
		for _, address := range []*string{&m.Callers, &m.Admin, &m.Peers} {
			var err error
			if *address, err = freeAddress(); err != nil {
				return err
			}
		}
		name := fmt.Sprintf("%s-%d", dc.Name, i+1)
		m.Process = c.daemonProcess(name, c.settingsPath(name))
		m.environment = c.Spec.DaemonEnvironment
		c.Daemons = append(c.Daemons, m)
	}
	return nil
}

func (c *Cluster) settingsPath(daemon string) string {
	return filepath.Join(c.Dir, daemon+".yaml")
}

func (c *Cluster) daemonProcess(name, path string) *Process {
	if c.Spec.Profile == "" {
		return NewProcess(c.Dir, name, c.Programs.Daemon, "--settings", path)
	}
	profile := filepath.Join(c.Spec.Profile, name+".cpu")
	return NewProcess(c.Dir, name, c.Programs.Bench, "daemon", "--settings", path, "--cpu-profile", profile)
}

// daemonSettings mirrors the settings file; secrets are plain here, since the
// settings package hides them when it writes.
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

// writeSettings writes the settings file of a daemon. The addresses of all
// daemons are known by then, for the seeds.
func (c *Cluster) writeSettings(m *Daemon) error {
	callers := make(map[string]string)
	for _, a := range c.Spec.Accounts {
		callers[a.Name] = CallerToken(a.Name)
	}
	base := "http://" + c.Platform.Address
	file := daemonSettings{
		Name:       m.Name,
		DataCentre: m.DataCentre,
		Region:     m.Region,
		Listen:     map[string]string{"callers": m.Callers, "admin": m.Admin, "peers": m.Peers},
		Platform:   map[string]string{"table": base, "objects": base, "weights": base, "vms": base},
		Tokens:     map[string]any{"operators": map[string]string{"ops": OperatorToken}, "callers": callers},
	}
	if c.Spec.Seeds {
		file.Seeds = c.seeds(m)
	}
	if c.Spec.TLS != nil {
		files, err := c.Spec.TLS(m.Name)
		if err != nil {
			return err
		}
		file.TLS = &files
	}
	data, err := yaml.Marshal(file)
	if err != nil {
		return err
	}
	return os.WriteFile(c.settingsPath(m.Name), data, 0o600)
}

// seeds lists all daemons but one.
func (c *Cluster) seeds(except *Daemon) []settings.Seed {
	var seeds []settings.Seed
	for _, d := range c.Daemons {
		if d != except {
			seeds = append(seeds, settings.Seed{Name: d.Name, DataCentre: d.DataCentre, Address: d.Peers})
		}
	}
	return seeds
}

// VMs returns the VM list with everything live.
func (c *Cluster) VMs() []provider.VM {
	var vms []provider.VM
	for _, d := range c.Daemons {
		vms = append(vms, provider.VM{Name: d.Name, Address: d.Peers, DataCentre: d.DataCentre, Role: provider.RoleEntry, State: provider.VMLive})
	}
	for _, s := range append(append([]*Server{}, c.Engines...), c.PlainServers...) {
		vms = append(vms, provider.VM{Name: s.Name, Address: s.Address, DataCentre: s.DataCentre, Role: provider.RoleTarget, State: provider.VMLive})
	}
	return vms
}

// Close ends all processes at once.
func (c *Cluster) Close() {
	for _, d := range c.Daemons {
		d.Kill()
	}
	for _, s := range c.servers() {
		s.Kill()
	}
}

func (c *Cluster) servers() []*Server {
	var all []*Server
	if c.Platform != nil {
		all = append(all, c.Platform)
	}
	all = append(all, c.Engines...)
	all = append(all, c.PlainServers...)
	return append(all, c.Naive...)
}

// Ports are taken in turn from firstPort on. Ports that the system hands out may
// be given to an outgoing connection or handed out again before their process
// listens, which happened with a hundred addresses.
const firstPort = 20000

var lastPort atomic.Int32

// freeAddress returns a loopback address that is free and is not returned again.
// The host depends on the process id, so that clusters of several programs do not
// meet; outgoing connections have the host 127.0.0.1.
func freeAddress() (string, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.1", 64+pid>>8&63, pid&255)
	var last error
	for range 100 {
		address := fmt.Sprintf("%s:%d", host, firstPort+lastPort.Add(1))
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
		last = err
	}
	return "", last
}
