package adminapi

import (
	"time"

	"github.com/marjoramflow/marjoramflow/object"
)

// Config is one generation of the configuration. Generation 0 is the empty set
// before the first publication.
type Config struct {
	Generation uint64      `json:"generation" yaml:"generation"`
	Digest     string      `json:"digest" yaml:"digest"`
	Set        *object.Set `json:"set" yaml:"set"`
}

// SetRequest carries a set to check or to compare.
type SetRequest struct {
	Set *object.Set `json:"set"`
}

// CheckResponse lists the problems of a set; empty when it can be published.
type CheckResponse struct {
	Problems object.Problems `json:"problems"`
}

// DiffResponse lists the changes between two generations. To is 0 when the
// second set is the one of the request.
type DiffResponse struct {
	From    uint64          `json:"from" yaml:"from"`
	To      uint64          `json:"to,omitempty" yaml:"to,omitempty"`
	Changes []object.Change `json:"changes" yaml:"changes"`
}

// PublishRequest publishes a set that was made from generation Base. The set is
// given whole or as its delta from the base. Tools that publish often send
// deltas: a set of 7,800 targets has 1.6 MB.
type PublishRequest struct {
	Base  uint64        `json:"base"`
	Set   *object.Set   `json:"set,omitempty"`
	Delta *object.Delta `json:"delta,omitempty"`
}

// RevertRequest publishes the content of an older generation.
type RevertRequest struct {
	// Generation is the generation to return to.
	Generation uint64 `json:"generation"`
	// Base is the generation that the operator saw in force.
	Base uint64 `json:"base"`
}

// PublishResponse names the generation that holds the requested content.
type PublishResponse struct {
	Generation uint64 `json:"generation" yaml:"generation"`
	Digest     string `json:"digest" yaml:"digest"`
	// Unchanged says that the content was in force before, so that no generation
	// was published.
	Unchanged bool `json:"unchanged,omitempty" yaml:"unchanged,omitempty"`
}

// DaemonStatus is the state of one daemon as seen by the daemon that answers.
type DaemonStatus struct {
	Name       string `json:"name" yaml:"name"`
	DataCentre string `json:"dataCentre" yaml:"dataCentre"`
	Address    string `json:"address" yaml:"address"`
	// Reachable says that the daemon was heard from within the keepalive time.
	Reachable bool `json:"reachable" yaml:"reachable"`
	// Generation is the last generation that the daemon reported.
	Generation uint64 `json:"generation" yaml:"generation"`
	// LastHeard is the time of its last message; zero when there was none.
	LastHeard time.Time `json:"lastHeard,omitzero" yaml:"lastHeard,omitempty"`
}

// Status says where which generation is in force.
type Status struct {
	// Daemon is the daemon that answers.
	Daemon string `json:"daemon" yaml:"daemon"`
	// Generation is the newest one that this daemon knows.
	Generation uint64         `json:"generation" yaml:"generation"`
	Digest     string         `json:"digest" yaml:"digest"`
	Daemons    []DaemonStatus `json:"daemons" yaml:"daemons"`
	// Behind names reachable daemons with an older generation.
	Behind []string `json:"behind" yaml:"behind"`
	// Unreachable names daemons that are not reached.
	Unreachable []string `json:"unreachable" yaml:"unreachable"`
}

// MoveStatus is the progress of a move.
type MoveStatus struct {
	Name    string `json:"name" yaml:"name"`
	Service string `json:"service" yaml:"service"`
	From    string `json:"from" yaml:"from"`
	To      string `json:"to" yaml:"to"`
	// Phase is pending, loading, shifting, done or reversed.
	Phase string `json:"phase" yaml:"phase"`
	// SharePercent is the share of traffic of the new version.
	SharePercent float64   `json:"sharePercent" yaml:"sharePercent"`
	Attempt      int       `json:"attempt" yaml:"attempt"`
	Deadline     time.Time `json:"deadline" yaml:"deadline"`
	// Holder is the daemon that holds the lease; Fencing is its fencing number.
	Holder  string `json:"holder,omitempty" yaml:"holder,omitempty"`
	Fencing uint64 `json:"fencing,omitempty" yaml:"fencing,omitempty"`
	Reason  string `json:"reason,omitempty" yaml:"reason,omitempty"`
}

// TargetStatus is the state of a target as seen by the daemon that answers.
type TargetStatus struct {
	Name       string `json:"name" yaml:"name"`
	Service    string `json:"service" yaml:"service"`
	DataCentre string `json:"dataCentre" yaml:"dataCentre"`
	// State is up, down, ejected, leaving or unknown.
	State    string `json:"state" yaml:"state"`
	Version  string `json:"version,omitempty" yaml:"version,omitempty"`
	Slots    int    `json:"slots" yaml:"slots"`
	InFlight int    `json:"inFlight" yaml:"inFlight"`
	// Owner is the daemon that owns the target's group.
	Owner  string `json:"owner,omitempty" yaml:"owner,omitempty"`
	Reason string `json:"reason,omitempty" yaml:"reason,omitempty"`
}

// TierStatus is the load of a tier on the daemon that answers.
type TierStatus struct {
	Name    string `json:"name" yaml:"name"`
	Rank    int    `json:"rank" yaml:"rank"`
	Waiting int    `json:"waiting" yaml:"waiting"`
	Running int    `json:"running" yaml:"running"`
	Done    int64  `json:"done" yaml:"done"`
	Shed    int64  `json:"shed" yaml:"shed"`
}

// AccountStatus is the use of a client account's limits on the daemon that
// answers. Limits of 0 are no limit.
type AccountStatus struct {
	Name string `json:"name" yaml:"name"`
	Tier string `json:"tier" yaml:"tier"`
	// RequestsPerSecond and TokensPerSecond are the limits over all daemons.
	RequestsPerSecond float64 `json:"requestsPerSecond" yaml:"requestsPerSecond"`
	TokensPerSecond   float64 `json:"tokensPerSecond" yaml:"tokensPerSecond"`
	// Portion is the daemon's portion of the request limit, per second.
	Portion float64 `json:"portion" yaml:"portion"`
	Done    int64   `json:"done" yaml:"done"`
	Limited int64   `json:"limited" yaml:"limited"`
}

// Version says what the daemon that answers runs.
type Version struct {
	Daemon  string `json:"daemon" yaml:"daemon"`
	Version string `json:"version" yaml:"version"`
}
