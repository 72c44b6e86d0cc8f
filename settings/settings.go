// Package settings reads and checks the static settings of a daemon: its name,
// data centre, addresses, keys and limits. They come from one YAML file and do
// not change while the daemon runs. Package object defines the objects that
// operators publish at run time.
package settings

import (
	"errors"
	"io"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/internal/yamldoc"
)

// Settings are the static settings of one daemon.
type Settings struct {
	// Name is unique among all daemons and stable for the life of the VM.
	Name       string `yaml:"name"`
	DataCentre string `yaml:"dataCentre"`
	Region     string `yaml:"region"`

	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	// Seeds are the peers to connect to while the VM list cannot be read.
	Seeds  []Seed `yaml:"seeds"`
	TLS    TLS    `yaml:"tls"`
	Tokens Tokens `yaml:"tokens"`
	Limits Limits `yaml:"limits"`
	Log    Log    `yaml:"log"`
	// Gateway.Store, if set, makes the daemon forward the opaque requests of a
	// platform that holds the configuration itself; their bodies are passed on
	// unchanged. Otherwise the daemon serves marjoramflow's own interface.
	Gateway Gateway `yaml:"gateway"`
}

// Gateway holds the settings of a daemon on a platform with a metadata store, a
// registry of targets and a manifest. Such a daemon does not use the settings
// Platform and Tokens.
type Gateway struct {
	// Store is the address (IP:port) of the metadata store.
	Store string `yaml:"store"`
	// Ready and Metrics are the addresses (IP:port) of the readiness probe and of
	// the metrics.
	Ready   string `yaml:"ready"`
	Metrics string `yaml:"metrics"`
	// DataCentres maps each data centre to its region.
	DataCentres map[string]string `yaml:"dataCentres"`
	// Grace is the time between the platform's request to stop and the moment it
	// kills the process.
	Grace time.Duration `yaml:"grace"`
	// RetryRatio is the fraction of a service's requests that all daemons together
	// may retry in each RetryWindow; RetrySlack more retries are allowed in each.
	RetryRatio  float64       `yaml:"retryRatio"`
	RetryWindow time.Duration `yaml:"retryWindow"`
	RetrySlack  float64       `yaml:"retrySlack"`
	// In each LimitWindow, all daemons together may admit for a client account its
	// rate and burst, the fraction LimitOverage of that in addition, and LimitSlack
	// in the unit of its limit.
	LimitWindow  time.Duration `yaml:"limitWindow"`
	LimitOverage float64       `yaml:"limitOverage"`
	LimitSlack   float64       `yaml:"limitSlack"`
	// In any one second, all daemons together may send a cold target the rate that its
	// service states times ColdOverage, and ColdSlack requests in addition.
	ColdOverage float64 `yaml:"coldOverage"`
	ColdSlack   float64 `yaml:"coldSlack"`
	// ApplyWithin is the time within which a change in the store must be in force
	// on this daemon.
	ApplyWithin time.Duration `yaml:"applyWithin"`
	// MemoryMB is the memory that the process may use, in MB.
	MemoryMB float64 `yaml:"memoryMb"`
	// Overflow decides when requests leave their data centre.
	Overflow Overflow `yaml:"overflow"`
}

// Overflow holds the costs by which a daemon decides when a request leaves its data centre.
// If it is not enabled, every request that finds no free target asks each data centre.
type Overflow struct {
	Enabled bool `yaml:"enabled"`
	// NearbyMsPerMB and FarMsPerMB are the wait, in milliseconds, that a request has to be
	// spared for each megabyte of its prompt and answer that goes to another data centre
	// of the region, or to another region.
	NearbyMsPerMB float64 `yaml:"nearbyMsPerMb"`
	FarMsPerMB    float64 `yaml:"farMsPerMb"`
}

// Seed is a peer whose address is configured, so that it is known without the VM
// list.
type Seed struct {
	Name       string `yaml:"name"`
	DataCentre string `yaml:"dataCentre"`
	// Address is IP:port.
	Address string `yaml:"address"`
}

// Listen holds the addresses (IP:port) that the daemon listens on.
type Listen struct {
	Callers string `yaml:"callers"`
	Admin   string `yaml:"admin"`
	Peers   string `yaml:"peers"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Table   string `yaml:"table"`
	Objects string `yaml:"objects"`
	Weights string `yaml:"weights"`
	VMs     string `yaml:"vms"`
}

// TLS holds the paths of the files with which daemons authenticate to one
// another. Either all three are set or none. The files are read again when they
// change.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Tokens holds the bearer tokens of operators, by operator name, and of callers,
// by client account name. They never appear in logs or dumps.
type Tokens struct {
	Operators map[string]Secret `yaml:"operators"`
	Callers   map[string]Secret `yaml:"callers"`
}

// Limits bounds the requests of callers, the phases of a shutdown and the
// calls to the platform's store.
type Limits struct {
	// BodyBytes bounds a request body; headers are bounded by HeaderBytes.
	BodyBytes   int64 `yaml:"bodyBytes"`
	HeaderBytes int   `yaml:"headerBytes"`
	// HeaderTimeout bounds the time to read a request's headers.
	HeaderTimeout time.Duration `yaml:"headerTimeout"`
	// IdleTimeout is the time after which an idle caller connection is closed.
	IdleTimeout time.Duration `yaml:"idleTimeout"`
	// Drain is the time between the daemon reporting that it is not ready and
	// closing the callers' port. In this time the load balancer stops sending
	// requests.
	Drain time.Duration `yaml:"drain"`
	// Shutdown bounds the rest of a graceful shutdown, after Drain.
	Shutdown time.Duration `yaml:"shutdown"`
	// OpenRequests bounds the concurrent requests; further ones are refused.
	OpenRequests int `yaml:"openRequests"`
	// StoreReads and StoreWrites bound the daemon's calls of the table service and
	// the object store together, per second. The sum over all daemons must stay
	// within the platform's rate limits.
	StoreReads  float64 `yaml:"storeReads"`
	StoreWrites float64 `yaml:"storeWrites"`
}

// Log holds the level and the format of the log.
type Log struct {
	Level  string `yaml:"level"`
	Format string `yaml:"format"`
}

// Default limits. They suit small VMs: 4,096 open requests with bodies of 64 KiB
// use less than 300 MB.
const (
	defaultBodyBytes     = 4 << 20
	defaultHeaderBytes   = 32 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultDrain         = 2 * time.Second
	defaultShutdown      = 60 * time.Second
	defaultOpenRequests  = 4096
	// With these rates, the eight daemons of a small deployment use at most 240
	// writes a second, where the platform permits several hundred, and 480 reads,
	// where it permits two thousand.
	defaultStoreReads  = 60
	defaultStoreWrites = 30
)

// Default settings of a gateway, for a platform that does not state them. They are the
// strictest that usual platforms state, and permit no retries and no excess over limits.
const (
	defaultGrace       = 5 * time.Second
	defaultWindow      = 10 * time.Second
	defaultApplyWithin = 2500 * time.Millisecond
	defaultMemoryMB    = 184
	defaultColdOverage = 1
)

// Default returns settings with default limits and log settings. All others are
// empty.
func Default() *Settings {
	return &Settings{
		Limits: Limits{
			BodyBytes:     defaultBodyBytes,
			HeaderBytes:   defaultHeaderBytes,
			HeaderTimeout: defaultHeaderTimeout,
			IdleTimeout:   defaultIdleTimeout,
			Drain:         defaultDrain,
			Shutdown:      defaultShutdown,
			OpenRequests:  defaultOpenRequests,
			StoreReads:    defaultStoreReads,
			StoreWrites:   defaultStoreWrites,
		},
		Log: Log{Level: "info", Format: "json"},
		Gateway: Gateway{
			Grace:       defaultGrace,
			RetryWindow: defaultWindow,
			LimitWindow: defaultWindow,
			ApplyWithin: defaultApplyWithin,
			MemoryMB:    defaultMemoryMB,
			ColdOverage: defaultColdOverage,
		},
	}
}

// Load reads settings from a file, fills in defaults and checks them. Unknown
// keys, values that cannot be decoded and all problems that Check finds are
// returned together, as an error that wraps Problems.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, "settings.read", path)
	}
	s, err := Parse(path, data)
	return s, fault.Wrap(err, "settings.check", path)
}

// Parse decodes and checks settings like Load. name is the file name in problems.
// The error is of type Problems.
func Parse(name string, data []byte) (*Settings, error) {
	s := Default()
	result := yamldoc.Decode(data, s)
	var problems Problems
	undecoded := map[string]bool{}
	for _, issue := range result.Issues {
		undecoded[issue.Path] = true
		problems = append(problems, Problem{File: name, Line: issue.Line, Key: issue.Path, Message: issue.Message})
	}
	var checkProblems Problems
	if errors.As(s.Check(), &checkProblems) {
		checkProblems = slices.DeleteFunc(checkProblems, func(p Problem) bool { return undecoded[p.Key] })
		problems = append(problems, checkProblems.withPositions(name, result.Positions)...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// Dump writes the settings to w as YAML with a placeholder for each secret.
func (s *Settings) Dump(w io.Writer) error {
	data, err := yaml.Marshal(s)
	if err != nil {
		return fault.Wrap(err, "settings.dump", "")
	}
	_, err = w.Write(data)
	return fault.Wrap(err, "settings.dump", "")
}

// Enabled reports whether the daemon runs on a platform with a metadata store.
func (g *Gateway) Enabled() bool {
	return g.Store != ""
}
