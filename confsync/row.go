package confsync

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// currentKey is the row that names the configuration in force.
	currentKey = "config/current"
	// rowHistory is the number of earlier generations that the row keeps. A publisher whose answer was lost finds its token there, although
	// others have published since.
	rowHistory = 32
)

// currentRow is the value of the row. Generation numbers start at 1.
type currentRow struct {
	Generation uint64 `json:"generation"`
	Digest     string `json:"digest"`
	Token      string `json:"token"`
	Operator   string `json:"operator"`
	// Earlier holds the generations before, newest first.
	Earlier []earlierSet `json:"earlier,omitempty"`
}

// earlierSet names the set of an earlier generation.
type earlierSet struct {
	Token  string `json:"token"`
	Digest string `json:"digest"`
}

// objectName is the name of a set in the object store.
func objectName(generation uint64, token string) string {
	return fmt.Sprintf("sets/%d-%s", generation, token)
}

// at returns the row as it was at a generation, as far as the history reaches.
func (r *currentRow) at(generation uint64) (*currentRow, bool) {
	if generation == r.Generation {
		return r, generation > 0
	}
	if generation == 0 || generation > r.Generation {
		return nil, false
	}
	index := r.Generation - generation - 1
	if index >= uint64(len(r.Earlier)) {
		return nil, false
	}
	e := r.Earlier[index]
	return &currentRow{Generation: generation, Token: e.Token, Digest: e.Digest}, true
}

// holds tells whether the row, or one that it replaced, was written with the
// token for the generation.
func (r *currentRow) holds(generation uint64, token string) bool {
	then, ok := r.at(generation)
	return ok && then.Token == token
}

// next returns the row that replaces r.
func (r *currentRow) next(digest, token, operator string) *currentRow {
	earlier := make([]earlierSet, 0, rowHistory)
	if r.Generation > 0 {
		earlier = append(earlier, earlierSet{Token: r.Token, Digest: r.Digest})
	}
	earlier = append(earlier, r.Earlier[:min(len(r.Earlier), rowHistory-len(earlier))]...)
	return &currentRow{
		Generation: r.Generation + 1,
		Digest:     digest,
		Token:      token,
		Operator:   operator,
		Earlier:    earlier,
	}
}

// readRow reads the row and its version in the table. Before the first
// publication, it returns generation 0.
func readRow(ctx context.Context, table provider.Table) (*currentRow, uint64, error) {
	rows, err := table.Get(ctx, currentKey)
	if err != nil {
		return nil, 0, fault.Wrap(err, "config.read", currentKey)
	}
	row := &currentRow{}
	if len(rows) == 0 || rows[0].Version == 0 {
		return row, 0, nil
	}
	if err := json.Unmarshal(rows[0].Value, row); err != nil {
		return nil, 0, fault.Wrap(err, "config.read", currentKey)
	}
	return row, rows[0].Version, nil
}

// readSet reads the set that a row names and checks its digest.
func readSet(ctx context.Context, objects provider.Objects, codec Codec, row *currentRow) (*object.Set, error) {
	name := objectName(row.Generation, row.Token)
	data, err := objects.Get(ctx, name)
	if err != nil {
		return nil, fault.Wrap(err, "config.read", name)
	}
	set, err := codec.Decode(data)
	if err != nil {
		return nil, fault.Wrap(err, "config.read", name)
	}
	digest, err := codec.Digest(set)
	if err != nil {
		return nil, err
	}
	if digest != row.Digest {
		return nil, fault.New("config.read", name, "the digest of the set differs from the row")
	}
	return set, nil
}
