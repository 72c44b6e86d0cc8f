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

// CheckResponse lists the problems of a set. The list is empty when the set can
// be published.
type CheckResponse struct {
	Problems object.Problems `json:"problems"`
}

// DiffResponse lists the changes from generation From to generation To, or to
// the set in the request, in which case To is 0.
type DiffResponse struct {
	From    uint64          `json:"from" yaml:"from"`
	To      uint64          `json:"to,omitempty" yaml:"to,omitempty"`
	Changes []object.Change `json:"changes" yaml:"changes"`
}

// PublishRequest publishes a set that was made from generation Base. Exactly one
// of Set (the whole set) and Delta (its changes from the base) is given. Tools
// that publish often should send deltas: a set of 7,800 targets has 1.6 MB.
type PublishRequest struct {
	Base  uint64        `json:"base"`
	Set   *object.Set   `json:"set,omitempty"`
	Delta *object.Delta `json:"delta,omitempty"`
}

// RevertRequest publishes the content of an older generation.
type RevertRequest struct {
	// Generation is the generation whose content is published again.
	Generation uint64 `json:"generation"`
	// Base is the generation that must be current for the revert to succeed.
	Base uint64 `json:"base"`
}

// PublishResponse names the generation that holds the requested content.
type PublishResponse struct {
	Generation uint64 `json:"generation" yaml:"generation"`
	Digest     string `json:"digest" yaml:"digest"`
	// Unchanged reports that the content was already in force, so no new
	// generation was published.
	Unchanged bool `json:"unchanged,omitempty" yaml:"unchanged,omitempty"`
}

// DaemonStatus is the state of one daemon as seen by the responding daemon.
type DaemonStatus struct {
	Name       string `json:"name" yaml:"name"`
	DataCentre string `json:"dataCentre" yaml:"dataCentre"`
	Address    string `json:"address" yaml:"address"`
	// Reachable reports whether a message from the daemon arrived within the
	// keepalive timeout.
	Reachable bool `json:"reachable" yaml:"reachable"`
	// Generation is the last generation that the daemon reported.
	Generation uint64 `json:"generation" yaml:"generation"`
	// LastHeard is the time of the daemon's last message, or zero if there was none.
	LastHeard time.Time `json:"lastHeard,omitzero" yaml:"lastHeard,omitempty"`
}

// Status lists the generation in force on each daemon.
type Status struct {
	// Daemon is the name of the responding daemon.
	Daemon string `json:"daemon" yaml:"daemon"`
	// Generation is the newest generation that the responding daemon knows of.
	// Digest is empty when only another daemon has that generation.
	Generation uint64         `json:"generation" yaml:"generation"`
	Digest     string         `json:"digest" yaml:"digest"`
	Daemons    []DaemonStatus `json:"daemons" yaml:"daemons"`
	// Behind names the reachable daemons with an older generation.
	Behind []string `json:"behind" yaml:"behind"`
	// Unreachable names the daemons that are not reachable.
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
	// SharePercent is the percentage of traffic that the new version receives.
	SharePercent float64   `json:"sharePercent" yaml:"sharePercent"`
	Attempt      int       `json:"attempt" yaml:"attempt"`
	Deadline     time.Time `json:"deadline" yaml:"deadline"`
	// Holder is the daemon that holds the move's lease; Fencing is the lease's
	// fencing number.
	Holder  string `json:"holder,omitempty" yaml:"holder,omitempty"`
	Fencing uint64 `json:"fencing,omitempty" yaml:"fencing,omitempty"`
	Reason  string `json:"reason,omitempty" yaml:"reason,omitempty"`
}

// TargetStatus is the state of a target as seen by the responding daemon.
type TargetStatus struct {
	Name       string `json:"name" yaml:"name"`
	Service    string `json:"service" yaml:"service"`
	DataCentre string `json:"dataCentre" yaml:"dataCentre"`
	// State is up, down, ejected, leaving or unknown.
	State    string `json:"state" yaml:"state"`
	Version  string `json:"version,omitempty" yaml:"version,omitempty"`
	Slots    int    `json:"slots" yaml:"slots"`
	InFlight int    `json:"inFlight" yaml:"inFlight"`
	// Owner is the daemon that owns the group of the target.
	Owner  string `json:"owner,omitempty" yaml:"owner,omitempty"`
	Reason string `json:"reason,omitempty" yaml:"reason,omitempty"`
}

// TierStatus is the load of a tier on the responding daemon.
type TierStatus struct {
	Name    string `json:"name" yaml:"name"`
	Rank    int    `json:"rank" yaml:"rank"`
	Waiting int    `json:"waiting" yaml:"waiting"`
	Running int    `json:"running" yaml:"running"`
	Done    int64  `json:"done" yaml:"done"`
	Shed    int64  `json:"shed" yaml:"shed"`
}

// AccountStatus is the usage of a client account's limits on the responding
// daemon. A limit of 0 means unlimited.
type AccountStatus struct {
	Name string `json:"name" yaml:"name"`
	Tier string `json:"tier" yaml:"tier"`
	// RequestsPerSecond and TokensPerSecond are the limits for all daemons
	// together.
	RequestsPerSecond float64 `json:"requestsPerSecond" yaml:"requestsPerSecond"`
	TokensPerSecond   float64 `json:"tokensPerSecond" yaml:"tokensPerSecond"`
	// Portion is the responding daemon's portion of RequestsPerSecond, in
	// requests per second.
	Portion float64 `json:"portion" yaml:"portion"`
	Done    int64   `json:"done" yaml:"done"`
	Limited int64   `json:"limited" yaml:"limited"`
}

// Version is the name of the responding daemon and the version of its binary.
type Version struct {
	Daemon  string `json:"daemon" yaml:"daemon"`
	Version string `json:"version" yaml:"version"`
}
