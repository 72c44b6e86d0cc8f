// Package settings reads the static settings of a daemon: its name, place,
// addresses, keys and bounds. They come from one YAML file and do not change
// while the daemon runs. Objects that operators publish at run time are defined
// in package object.
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
	// Seeds are peers to try while the VM list cannot be read.
	Seeds  []Seed `yaml:"seeds"`
	TLS    TLS    `yaml:"tls"`
	Tokens Tokens `yaml:"tokens"`
	Limits Limits `yaml:"limits"`
	Log    Log    `yaml:"log"`
	// Gateway makes the daemon serve opaque requests of a platform that holds the
	// configuration itself; without a store, the product's own interface is served.
	Gateway Gateway `yaml:"gateway"`
}

// Gateway holds what a daemon needs on a platform with a metadata store, a registry
// of targets and a manifest. The services under Platform and the tokens are not
// used then.
type Gateway struct {
	// Store is the address (IP:port) of the metadata store.
	Store string `yaml:"store"`
	// Ready and Metrics are the addresses (IP:port) of the readiness probe and of
	// the metrics.
	Ready   string `yaml:"ready"`
	Metrics string `yaml:"metrics"`
	// DataCentres names the region of each data centre.
	DataCentres map[string]string `yaml:"dataCentres"`
	// Grace is the time between the request to stop and the end by force.
	Grace time.Duration `yaml:"grace"`
	// RetryRatio is the share of a service's requests that all daemons together may
	// send again, with RetrySlack more in each RetryWindow.
	RetryRatio  float64       `yaml:"retryRatio"`
	RetryWindow time.Duration `yaml:"retryWindow"`
	RetrySlack  int           `yaml:"retrySlack"`
	// In each LimitWindow, an account may take its rate and burst, LimitOverage of
	// that more, and LimitSlack in the unit of its limit, over all daemons.
	LimitWindow  time.Duration `yaml:"limitWindow"`
	LimitOverage float64       `yaml:"limitOverage"`
	LimitSlack   float64       `yaml:"limitSlack"`
	// ApplyWithin is the time in which a change in the store has to be in force here.
	ApplyWithin time.Duration `yaml:"applyWithin"`
	// MemoryMB is the memory that the process may use.
	MemoryMB int `yaml:"memoryMb"`
}

// Seed is a peer that is known without the VM list.
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

// TLS holds the files that authenticate daemons to one another. All three are
// set or none. They are read again when they change.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Tokens are bearer tokens, by operator name and by client account name. They
// never appear in logs or dumps.
type Tokens struct {
	Operators map[string]Secret `yaml:"operators"`
	Callers   map[string]Secret `yaml:"callers"`
}

// Limits bound what one caller connection or one stop may take.
type Limits struct {
	// BodyBytes bounds a request body; headers are bounded by HeaderBytes.
	BodyBytes   int64 `yaml:"bodyBytes"`
	HeaderBytes int   `yaml:"headerBytes"`
	// HeaderTimeout bounds the time to read a request's headers.
	HeaderTimeout time.Duration `yaml:"headerTimeout"`
	// IdleTimeout closes idle caller connections.
	IdleTimeout time.Duration `yaml:"idleTimeout"`
	// Drain is the time between readiness off and the closing of the callers'
	// port, in which the balancer notices.
	Drain time.Duration `yaml:"drain"`
	// Shutdown bounds a graceful stop after that.
	Shutdown time.Duration `yaml:"shutdown"`
	// OpenRequests bounds the requests held at once; more are refused.
	OpenRequests int `yaml:"openRequests"`
	// StoreReads and StoreWrites bound the daemon's calls of the table service and
	// the object store together, per second. All daemons together must stay within
	// what the platform gives.
	StoreReads  float64 `yaml:"storeReads"`
	StoreWrites float64 `yaml:"storeWrites"`
}

// Log sets the format and the level of the log.
type Log struct {
	Level  string `yaml:"level"`
	Format string `yaml:"format"`
}

// Default bounds. They suit small VMs: 4,096 open requests with 64 KiB bodies
// stay below 300 MB.
const (
	defaultBodyBytes     = 4 << 20
	defaultHeaderBytes   = 32 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	defaultDrain         = 2 * time.Second
	defaultShutdown      = 60 * time.Second
	defaultOpenRequests  = 4096
	// Eight daemons of a small deployment then use at most 240 of several hundred
	// writes and 480 of two thousand reads a second.
	defaultStoreReads  = 60
	defaultStoreWrites = 30
)

// Default returns settings with every bound at its default.
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
	}
}

// Load reads settings from a file, fills in defaults and checks them. Unknown
// keys, bad units and all faults that Check finds are returned together, as an
// error that wraps Problems.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, "settings.read", path)
	}
	s, err := Parse(path, data)
	return s, fault.Wrap(err, "settings.check", path)
}

// Parse reads settings like Load does. The name of the file is used in messages.
func Parse(name string, data []byte) (*Settings, error) {
	s := Default()
	result := yamldoc.Decode(data, s)
	var problems Problems
	unread := map[string]bool{}
	for _, issue := range result.Issues {
		unread[issue.Path] = true
		problems = append(problems, Problem{File: name, Line: issue.Line, Key: issue.Path, Message: issue.Message})
	}
	var found Problems
	if errors.As(s.Check(), &found) {
		found = slices.DeleteFunc(found, func(p Problem) bool { return unread[p.Key] })
		problems = append(problems, found.withPositions(name, result.Positions)...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// Dump writes the settings as YAML with the secrets hidden.
func (s *Settings) Dump(w io.Writer) error {
	data, err := yaml.Marshal(s)
	if err != nil {
		return fault.Wrap(err, "settings.dump", "")
	}
	_, err = w.Write(data)
	return fault.Wrap(err, "settings.dump", "")
}

// Enabled says whether the daemon runs on a platform with a metadata store.
func (g *Gateway) Enabled() bool {
	return g.Store != ""
}
