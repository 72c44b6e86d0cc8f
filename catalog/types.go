// Package catalog keeps the configuration that a daemon reads from the platform: the
// operator's manifest, the targets that register themselves, and the orders to move a
// service to another version. It combines them into one object set, which is validated as a
// whole before it is in force.
//
// State does no input or output. Watcher follows a Source in the background. While the
// source is unavailable, it keeps the last known state, so that the daemon continues to
// serve.
package catalog

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/marjoramflow/marjoramflow/object"
)

// Manifest is the operator's configuration. Its tiers, services, ingresses and
// accounts refer to one another; targets come from the registry.
type Manifest struct {
	// Version increases with each manifest.
	Version   uint64
	Services  []object.Service
	Tiers     []object.Tier
	Accounts  []object.ClientAccount
	Ingresses []object.Ingress
	Limits    CallerLimits
	// KVTokens is the size, in tokens, of the KV cache of each target, by engine service.
	KVTokens map[string]int
}

// CallerLimits bounds the size and the timing of callers' requests.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// SetDefaults replaces the limits that are not stated, which are zero, by those of defaults.
func (l *CallerLimits) SetDefaults(defaults CallerLimits) {
	l.HeaderBytes = cmp.Or(l.HeaderBytes, defaults.HeaderBytes)
	l.BodyBytes = cmp.Or(l.BodyBytes, defaults.BodyBytes)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, defaults.HeaderTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaults.IdleTimeout)
}

// Instance is one target as it is registered.
type Instance struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is the version of the target's software.
	Version string
	Slots   int
	// Draining is set if the target finishes its requests and must get no new ones.
	Draining bool
	// StartedAt is the start time of the process by the target's clock.
	StartedAt time.Time
	// ColdUntil is when the target is warm; it has passed if the target is warm already, and
	// is zero if the entry does not say. It goes to ColdTimes and is not part of the state.
	ColdUntil time.Time
}

// Order is an operator's order to move the traffic of a service to a version.
type Order struct {
	Service string
	// To is the version of the software.
	To string
	// MaxDuration is the time within which the move must end.
	MaxDuration time.Duration
	// Revision is that of the order's row. It distinguishes orders for the same version.
	Revision uint64
}

// Evacuation is an operator's order to take a data centre out of service, until its row is
// deleted.
type Evacuation struct {
	DataCentre string
}

// Topic is one of the parts of a source, which are read separately.
type Topic int

// Topics of a source.
const (
	// OperatorTopic holds the manifest and the orders.
	OperatorTopic Topic = iota
	// RegistryTopic holds the registered targets.
	RegistryTopic
	// topicCount is the number of topics.
	topicCount
)

// String returns the topic's name for logs.
func (t Topic) String() string {
	return [...]string{"operator", "registry"}[t]
}

// Record is one row of a topic. At most one of Manifest, Instance, Order and
// Evacuation is set, and none
// if the row is deleted or could not be decoded.
type Record struct {
	Key      string
	Revision uint64
	Deleted  bool
	Manifest *Manifest
	Instance *Instance
	Order    *Order
	// Evacuation is in force from this row until it is deleted.
	Evacuation *Evacuation
	// Raw is the encoded row as the source stores it, to be passed on to other daemons.
	Raw []byte
	// Err is the reason why the row could not be decoded, else nil.
	Err error
}

// Batch is a list of records and the revision up to which it is complete.
type Batch struct {
	Records  []Record
	Revision uint64
	// AfterOutage is set if the source was unavailable before: targets that are missing may
	// have expired only because they could not report to it.
	AfterOutage bool
}

// Push is a batch that another daemon pushed. It holds all changes between the revisions
// After and Revision, so only a daemon that has the topic up to After may apply it.
type Push struct {
	After uint64
	// Whole is set if the batch is a complete snapshot of the topic; After is then 0.
	Whole bool
	Batch
}

// ErrHistoryLost is returned by Source.Changes when the source no longer has the changes
// after the revision, so that a new snapshot is needed.
var ErrHistoryLost = errors.New("the source no longer has the changes after the requested revision")

// Source gives access to the topics in the platform's store. Its methods are safe for
// concurrent use.
type Source interface {
	// Snapshot returns all records of a topic at one revision. If there are more than
	// maxRecords, it may return only a part of them and complete is false. A maxRecords of
	// zero means no bound.
	Snapshot(ctx context.Context, topic Topic, maxRecords int) (batch Batch, complete bool, err error)
	// Changes returns the records that changed after a revision. If there are none, it
	// waits for some, at most for the time wait; the batch may then be empty.
	Changes(ctx context.Context, topic Topic, after uint64, wait time.Duration) (Batch, error)
	// Decode decodes a row that another daemon passed on.
	Decode(topic Topic, key string, revision uint64, raw []byte) Record
}
