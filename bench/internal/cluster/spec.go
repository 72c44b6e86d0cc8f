package cluster

import (
	"fmt"
	"time"

	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/settings"
)

// Spec describes a cluster: data centres with daemons, engines and plain servers,
// and the objects of their configuration.
type Spec struct {
	DataCentres []DataCentre
	// Tiers and Accounts default to three tiers and one account for each.
	Tiers    []object.Tier
	Accounts []object.ClientAccount
	// PlainServiceTime is the processing time of one call of a plain server; 0 is 5 ms.
	PlainServiceTime time.Duration
	// ExtraVersions holds versions in addition to ModelVersion and PlainVersion.
	ExtraVersions []object.Version
	Moves         []object.Move
	// DaemonEnvironment is added to the environment of daemons and naive schedulers.
	DaemonEnvironment []string
	// Profile is a directory for CPU profiles of the daemons; empty makes none. The
	// daemons then run inside marjorambench and write their profile when they stop.
	Profile string
	// LoadedModels are the models that engines have loaded at start; the default is
	// ModelName.
	LoadedModels []string
	// Seeds makes each daemon's settings list the addresses of all other daemons.
	Seeds bool
	// TLS creates the key files of a daemon; nil runs the peer sessions without TLS.
	TLS func(daemon string) (settings.TLS, error)
}

// DataCentre is one data centre of a Spec. Daemons and PlainServers are the numbers of
// daemons and of plain servers.
type DataCentre struct {
	Name         string
	Region       string
	Daemons      int
	Engines      []Engine
	PlainServers int
}

// Engine is one model engine of a Spec.
type Engine struct {
	Hardware               string
	MaxBatch               int
	KVTokens               int
	PrefillTokensPerSecond float64
	DecodeBase             time.Duration
	DecodePerSequence      time.Duration
	ChecksFencing          bool
	// Stamp makes the engine write times into each token.
	Stamp bool
}

// Names of the services and versions of every cluster.
const (
	ModelService = "assistant"
	PlainService = "booking"
	ModelVersion = "assistant-1"
	PlainVersion = "booking-1"
	ModelName    = "m1"
)

// Default tiers, the highest first.
var defaultTiers = []object.Tier{
	{Name: "gold", Rank: 0, FirstToken: 1800 * time.Millisecond, Deadline: 20 * time.Second},
	{Name: "silver", Rank: 1, FirstToken: 1800 * time.Millisecond, Deadline: 20 * time.Second},
	{Name: "bronze", Rank: 2, FirstToken: 1800 * time.Millisecond, Deadline: 20 * time.Second},
}

// Default accounts: one per tier.
var defaultAccounts = []object.ClientAccount{
	{Name: "clerks", Tier: "gold"},
	{Name: "donors", Tier: "silver"},
	{Name: "reports", Tier: "bronze"},
}

func (s *Spec) fillDefaults() {
	if len(s.Tiers) == 0 {
		s.Tiers = defaultTiers
	}
	if len(s.Accounts) == 0 {
		s.Accounts = defaultAccounts
	}
	if s.PlainServiceTime == 0 {
		s.PlainServiceTime = 5 * time.Millisecond
	}
	if len(s.LoadedModels) == 0 {
		s.LoadedModels = []string{ModelName}
	}
}

// FastEngine and SlowEngine are two hardware generations; the fast one has three
// times the speed.
var (
	FastEngine = Engine{Hardware: "gen2", MaxBatch: 16, KVTokens: 64000, PrefillTokensPerSecond: 24000, DecodeBase: 8 * time.Millisecond, DecodePerSequence: 200 * time.Microsecond, ChecksFencing: true}
	SlowEngine = Engine{Hardware: "gen1", MaxBatch: 8, KVTokens: 32000, PrefillTokensPerSecond: 8000, DecodeBase: 24 * time.Millisecond, DecodePerSequence: 600 * time.Microsecond, ChecksFencing: false}
)

// TwoRegions returns a small deployment like those of the users: three data centres
// in two regions.
func TwoRegions() Spec {
	return Spec{DataCentres: []DataCentre{
		{Name: "pe-recife", Region: "pernambuco", Daemons: 2, Engines: []Engine{FastEngine, SlowEngine}, PlainServers: 1},
		{Name: "pe-caruaru", Region: "pernambuco", Daemons: 2, Engines: []Engine{FastEngine}, PlainServers: 1},
		{Name: "ce-fortaleza", Region: "ceara", Daemons: 2, Engines: []Engine{SlowEngine}, PlainServers: 1},
	}}
}

// OneDataCentre returns one data centre with the given number of daemons, a fast and
// a slow engine, and a plain server.
func OneDataCentre(daemons int) Spec {
	return Spec{DataCentres: []DataCentre{
		{Name: "lhr-a", Region: "lahore", Daemons: daemons, Engines: []Engine{FastEngine, SlowEngine}, PlainServers: 1},
	}}
}

// baseSet returns the objects of a spec except targets, which are added when their
// servers start.
func (s *Spec) baseSet() *object.Set {
	set := &object.Set{
		Services: []object.Service{
			{Name: ModelService, Kind: object.ModelService, Version: ModelVersion},
			{Name: PlainService, Kind: object.PlainService, Version: PlainVersion, Routes: []object.Route{
				{Name: "reserve", Method: "POST", Path: "/reservations"},
				{Name: "stock", Method: "GET", Path: "/stock", Idempotent: true},
			}},
		},
		Versions: []object.Version{
			{Name: ModelVersion, Service: ModelService, Model: ModelName},
			{Name: PlainVersion, Service: PlainService},
		},
		Tiers:          s.Tiers,
		ClientAccounts: s.Accounts,
		Moves:          s.Moves,
	}
	set.Versions = append(set.Versions, s.ExtraVersions...)
	return set
}

// versionsOf returns the names of a service's versions in a set.
func versionsOf(set *object.Set, service string) []string {
	var names []string
	for _, v := range set.Versions {
		if v.Service == service {
			names = append(names, v.Name)
		}
	}
	return names
}

// CallerToken returns the bearer token of a client account, the same in every cluster.
func CallerToken(account string) string {
	return fmt.Sprintf("caller-token-of-%s-0123456789", account)
}

// OperatorToken is the bearer token of the operator in every cluster.
const OperatorToken = "operator-token-0123456789abcdef"
