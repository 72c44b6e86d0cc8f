package idempotency

import (
	"encoding/json"
	"time"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/provider"
)

// rowState is the state of a claim as it is stored.
type rowState string

const (
	stateClaimed   rowState = "claimed"
	stateDone      rowState = "done"
	stateUnknown   rowState = "unknown"
	stateAbandoned rowState = "abandoned"
)

// record is the value of a claim's row.
type record struct {
	State       rowState `json:"state"`
	Token       string   `json:"token"`
	Fingerprint uint64   `json:"fingerprint"`
	// ClaimedMs is the claiming daemon's clock in Unix milliseconds.
	ClaimedMs int64   `json:"claimedMs"`
	Answer    *Answer `json:"answer,omitempty"`
}

func (r record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// The type holds only strings, numbers and bytes.
		panic(err)
	}
	return data
}

func decodeRecord(row provider.Row) (record, error) {
	var r record
	err := json.Unmarshal(row.Value, &r)
	return r, fault.Wrap(err, stepPrefix+".decode", row.Key)
}

// free reports whether the row may be claimed.
func (r record) free() bool {
	return r.State == stateAbandoned
}

// resultFor returns the state of the key for a request with this fingerprint. A
// claim that has not ended counts as unknown once it is older than maxRun.
func (r record) resultFor(fingerprint uint64, now time.Time, maxRun time.Duration) Result {
	switch {
	case r.free():
		return Result{Outcome: Free}
	case r.Fingerprint != fingerprint:
		return Result{Outcome: Mismatch}
	case r.State == stateDone:
		return Result{Outcome: Done, Answer: r.Answer}
	case r.State == stateClaimed && now.Sub(time.UnixMilli(r.ClaimedMs)) < maxRun:
		return Result{Outcome: InProgress}
	}
	return Result{Outcome: Unknown}
}
