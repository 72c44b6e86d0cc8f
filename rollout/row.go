package rollout

import (
	"encoding/json"
	"time"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/provider"
)

// Phase is the state of one attempt of a move.
type Phase string

const (
	// Pending is the phase of an attempt that is recorded and has not started.
	Pending Phase = "pending"
	// Loading is the time in which the targets load the new version.
	Loading Phase = "loading"
	// Shifting is the time in which the share rises.
	Shifting Phase = "shifting"
	// Soaking is the time at full share before the move counts as done.
	Soaking Phase = "soaking"
	// Done is final: the new version serves.
	Done Phase = "done"
	// Reversed is final for the attempt: the old version serves.
	Reversed Phase = "reversed"
)

// Final reports whether the attempt has ended.
func (p Phase) Final() bool {
	return p == Done || p == Reversed
}

// FullShare is the share that stands for all traffic of a service; shares are in
// 1/10,000.
const FullShare = 10_000

// Row is the record of a move, the value of the row moves/<name>.
type Row struct {
	Move    string `json:"move"`
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	Attempt int    `json:"attempt"`
	Phase   Phase  `json:"phase"`
	// Step is the index of the share in the move's steps.
	Step int `json:"step"`
	// Share is the new version's share of the traffic in 1/10,000.
	Share uint32 `json:"share"`
	// Holder is the daemon that wrote the row, and Fence its fencing number.
	// Evidence is sent to it.
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	// Missing lists targets that had not loaded the new version when the row was
	// written; they get no requests for it.
	Missing []string `json:"missing,omitempty"`
	// Deadline is copied from the move when the attempt starts and does not change
	// afterwards.
	Deadline time.Time `json:"deadline"`
	// Started is the time of day at which the attempt was recorded.
	Started time.Time `json:"started"`
	// Reason says why the attempt was reversed, or cut after it was done.
	Reason string `json:"reason,omitempty"`
	// Cut says that a cut raced with the write of done and was recorded after it: the
	// phase stays done, but the old version serves.
	Cut bool `json:"cut,omitempty"`
}

// Supersede returns the row of an attempt that is reversed because another order replaces its
// move.
func (r Row) Supersede() Row {
	r.Phase, r.Share, r.Reason = Reversed, 0, "superseded by another order"
	return r
}

// RowKey returns the key of a move's row.
func RowKey(move string) string {
	return "moves/" + provider.KeySegment(move)
}

// LeaseKey returns the key of the lease for the moves of a service. Moves of one
// service share a lease, because its targets compare the fencing numbers of all
// commands that they receive.
func LeaseKey(service string) string {
	return "leases/moves-" + provider.KeySegment(service)
}

// Encode returns the row's value.
func (r Row) Encode() []byte {
	// A struct of strings, numbers and valid times always marshals.
	data, _ := json.Marshal(r)
	return data
}

// DecodeRow parses a row's value.
func DecodeRow(data []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(data, &r); err != nil {
		return Row{}, fault.Wrap(err, "rollout.decode", "moves")
	}
	return r, nil
}

// defaultSteps are the steps, in percent, of a move that specifies none.
var defaultSteps = []float64{1, 5, 20, 50, 100}

// Steps returns the shares of a move's steps in 1/10,000. The last one is FullShare,
// which is appended if the move does not end with it.
func Steps(m *object.Move) []uint32 {
	percents := m.Steps
	if len(percents) == 0 {
		percents = defaultSteps
	}
	steps := make([]uint32, 0, len(percents)+1)
	for _, p := range percents {
		share := uint32(min(max(p, 0), 100) * (FullShare / 100))
		if share > 0 {
			steps = append(steps, share)
		}
	}
	if len(steps) == 0 || steps[len(steps)-1] != FullShare {
		steps = append(steps, FullShare)
	}
	return steps
}
