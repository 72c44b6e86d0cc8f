package daemon

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/membership"
	"github.com/marjoramflow/marjoramflow/metrics"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// backend implements adminapi.Backend. It is safe for concurrent use.
type backend struct {
	daemon *Daemon
}

// reachableTimeout is the time without a frame after which a daemon is reported as
// unreachable. The keepalive closes silent sessions after 3 s.
const reachableTimeout = 3 * time.Second

// errNotReady is returned by Ready before the first configuration and during a stop.
var errNotReady = errors.New("the daemon has no configuration yet or is stopping")

// Current implements adminapi.Backend.
func (b backend) Current(context.Context) (adminapi.Config, error) {
	index := b.daemon.topologies.Index()
	if index == nil {
		return adminapi.Config{Set: &object.Set{}}, nil
	}
	return adminapi.Config{Generation: index.Generation, Digest: index.Set.Digest(), Set: index.Set}, nil
}

// Ready implements adminapi.Backend.
func (b backend) Ready(context.Context) error {
	if b.daemon.ready() {
		return nil
	}
	return errNotReady
}

// Daemons implements adminapi.Backend. It leaves out dead daemons.
func (b backend) Daemons(context.Context) ([]adminapi.DaemonStatus, error) {
	statuses := b.daemon.peerStatuses.snapshot()
	now := time.Now()
	var out []adminapi.DaemonStatus
	for _, m := range b.daemon.members.Members() {
		if m.State == membership.Dead {
			continue
		}
		s := adminapi.DaemonStatus{Name: m.Name, DataCentre: m.DataCentre, Address: m.Address}
		if m.Name == b.daemon.settings.Name {
			s.Reachable = true
			s.Generation = b.daemon.generation()
			s.LastHeard = now
		} else if status, ok := statuses[m.Name]; ok {
			s.Reachable = now.Sub(status.lastHeard) < reachableTimeout
			s.Generation = status.generation
			s.LastHeard = status.lastHeard
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b adminapi.DaemonStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out, nil
}

// Moves implements adminapi.Backend.
func (b backend) Moves(context.Context) ([]adminapi.MoveStatus, error) {
	var out []adminapi.MoveStatus
	for _, m := range b.daemon.moves.Status() {
		out = append(out, moveStatus(m))
	}
	return out, nil
}

func moveStatus(m rollout.MoveStatus) adminapi.MoveStatus {
	return adminapi.MoveStatus{
		Name:         m.Move,
		Service:      m.Service,
		From:         m.From,
		To:           m.To,
		Phase:        string(m.Phase),
		SharePercent: float64(m.Share) * 100 / rollout.FullShare,
		Attempt:      m.Attempt,
		Deadline:     m.Deadline,
		Holder:       m.Holder,
		Fencing:      m.Fence,
		Reason:       cmp.Or(m.Reason, m.CutReason, m.WaitingFor),
	}
}

// Targets implements adminapi.Backend. The probed state is known only for targets that this
// daemon owns.
func (b backend) Targets(context.Context) ([]adminapi.TargetStatus, error) {
	index := b.daemon.topologies.Index()
	if index == nil {
		return nil, nil
	}
	states := b.daemon.targetStates.snapshot()
	owners := b.daemon.topologies.ownersByTarget()
	out := make([]adminapi.TargetStatus, 0, len(index.Set.Targets))
	for i := range index.Set.Targets {
		t := &index.Set.Targets[i]
		s := adminapi.TargetStatus{
			Name:       t.Name,
			Service:    t.Service,
			DataCentre: t.DataCentre,
			State:      "unknown",
			Slots:      t.Slots,
			InFlight:   b.daemon.grants.InFlight(t.Name),
			Owner:      owners[t.Name],
		}
		if state, ok := states[t.Name]; ok && s.Owner == b.daemon.settings.Name {
			s.State = state
		}
		switch {
		case t.Leaving:
			s.State = "leaving"
		case t.Evacuated:
			s.State = "evacuated"
		}
		out = append(out, s)
	}
	return out, nil
}

// Tiers implements adminapi.Backend. The counts are those of this daemon.
func (b backend) Tiers(context.Context) ([]adminapi.TierStatus, error) {
	index := b.daemon.topologies.Index()
	if index == nil {
		return nil, nil
	}
	counts := b.daemon.metrics.Snapshot().Requests
	var out []adminapi.TierStatus
	for _, t := range index.Tiers() {
		ofTier := func(c metrics.RequestCount) bool { return c.Tier == t.Name }
		out = append(out, adminapi.TierStatus{
			Name:    t.Name,
			Rank:    t.Rank,
			Running: b.daemon.grants.RunningInTier(t.Rank),
			Waiting: b.daemon.grants.WaitingInTier(t.Rank),
			Done:    countRequests(counts, metrics.Done, ofTier),
			Shed:    countRequests(counts, metrics.Shed, ofTier),
		})
	}
	return out, nil
}

// Accounts implements adminapi.Backend. The counts are those of this daemon.
func (b backend) Accounts(context.Context) ([]adminapi.AccountStatus, error) {
	index := b.daemon.topologies.Index()
	if index == nil {
		return nil, nil
	}
	counts := b.daemon.metrics.Snapshot().Requests
	out := make([]adminapi.AccountStatus, 0, len(index.Set.ClientAccounts))
	for i := range index.Set.ClientAccounts {
		a := &index.Set.ClientAccounts[i]
		ofAccount := func(c metrics.RequestCount) bool { return c.Account == a.Name }
		out = append(out, adminapi.AccountStatus{
			Name:              a.Name,
			Tier:              a.Tier,
			RequestsPerSecond: a.RequestsPerSecond,
			TokensPerSecond:   a.TokensPerSecond,
			Portion:           b.daemon.accountLimiter.requestPortion(a.Name),
			Done:              countRequests(counts, metrics.Done, ofAccount),
			Limited:           countRequests(counts, metrics.Limited, ofAccount),
		})
	}
	return out, nil
}

// countRequests returns the number of requests that have an outcome and satisfy match.
func countRequests(counts []metrics.RequestCount, outcome metrics.Outcome, match func(metrics.RequestCount) bool) int64 {
	total := int64(0)
	for _, c := range counts {
		if c.Outcome == outcome && match(c) {
			total += c.Count
		}
	}
	return total
}
