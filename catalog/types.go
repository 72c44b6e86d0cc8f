// Package catalog keeps what the platform tells a daemon: the operator's manifest,
// the targets that register themselves, and the orders to move a service to
// another version. It turns them into one object set, which is checked as a whole
// before it is in force.
//
// State is pure. Watcher is the duty that follows a Source; it keeps the last
// picture while the source is away, so that a daemon goes on serving.
package catalog

import (
	"context"
	"errors"
	"time"

	"github.com/marjoramflow/marjoramflow/object"
)

// Manifest is the operator's configuration. Its tiers, services, ingresses and
// accounts refer to one another; targets come from the registry.
type Manifest struct {
	// Version grows with each manifest.
	Version   uint64
	Services  []object.Service
	Tiers     []object.Tier
	Accounts  []object.ClientAccount
	Ingresses []object.Ingress
	Limits    CallerLimits
	// KVTokens is the size of the KV cache of the targets of each engine service.
	KVTokens map[string]int
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Instance is one target as it registered itself.
type Instance struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is the version of its software.
	Version string
	Slots   int
	// Draining targets finish what they have and get nothing new.
	Draining bool
	// StartedAt is the start of the process, as the target's clock told it.
	StartedAt time.Time
}

// Order asks to move the traffic of a service to a version.
type Order struct {
	Service string
	To      string
	// MaxDuration is the time that the move may take.
	MaxDuration time.Duration
}

// Topic is a part of what a source tells.
type Topic int

// Topics of a source.
const (
	// OperatorTopic is the manifest and the orders.
	OperatorTopic Topic = iota
	// RegistryTopic is the targets.
	RegistryTopic
	topics
)

// String returns the topic's name in logs.
func (t Topic) String() string {
	return [...]string{"operator", "registry"}[t]
}

// Record is one row of a topic. One of the pointers is set, unless the row is
// deleted or faulty.
type Record struct {
	Key      string
	Revision uint64
	Deleted  bool
	Manifest *Manifest
	Instance *Instance
	Order    *Order
	// Raw is the row as the source keeps it, for other daemons.
	Raw []byte
	// Err says why the row could not be read.
	Err error
}

// Batch is a list of entries and the revision up to which it is complete.
type Batch struct {
	Records  []Record
	Revision uint64
	// AfterOutage says that the source was away before: what is missing may have
	// lapsed only.
	AfterOutage bool
}

// Push is a batch that another daemon passed on. It is complete for a daemon that has
// the topic up to After.
type Push struct {
	After uint64
	Batch
}

// ErrHistoryLost is returned by Changes when the source no longer has the changes
// after the revision; a snapshot is needed.
var ErrHistoryLost = errors.New("the source has dropped the history that was asked for")

// Source tells the topics. Its methods are safe for concurrent use.
type Source interface {
	// Snapshot returns every entry of a topic as of one moment. A topic with more than
	// most entries may end early: whole is false then. Zero is no bound.
	Snapshot(ctx context.Context, topic Topic, most int) (batch Batch, whole bool, err error)
	// Changes waits at most wait for entries that changed after a revision. The
	// batch may be empty.
	Changes(ctx context.Context, topic Topic, after uint64, wait time.Duration) (Batch, error)
	// Decode reads a row that another daemon passed on.
	Decode(topic Topic, key string, revision uint64, raw []byte) Record
}
