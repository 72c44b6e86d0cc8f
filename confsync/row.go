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
	// currentKey is the key of the row that names the configuration in force.
	currentKey = "config/current"
	// maxEarlierSets is the number of earlier generations that the row keeps. A
	// publisher that got no answer to its commit finds its token there, even if
	// others have published since.
	maxEarlierSets = 32
)

// currentRow is the value of the row with the key currentKey. Generation numbers
// start at 1; generation 0 means that nothing was published yet.
type currentRow struct {
	Generation uint64 `json:"generation"`
	Digest     string `json:"digest"`
	Token      string `json:"token"`
	Operator   string `json:"operator"`
	// Earlier holds the preceding generations, the newest first.
	Earlier []earlierSet `json:"earlier,omitempty"`
}

// earlierSet names the set of an earlier generation.
type earlierSet struct {
	Token  string `json:"token"`
	Digest string `json:"digest"`
}

// setObjectName returns the name of a set in the object store.
func setObjectName(generation uint64, token string) string {
	return fmt.Sprintf("sets/%d-%s", generation, token)
}

// atGeneration returns the row of the current or an earlier generation, without
// Operator and Earlier for an earlier one. It returns false if the generation
// was not published or the row does not keep it any more.
func (r *currentRow) atGeneration(generation uint64) (*currentRow, bool) {
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

// publishedWith reports whether the generation was published with the token, as
// far back as the row keeps earlier generations.
func (r *currentRow) publishedWith(generation uint64, token string) bool {
	row, ok := r.atGeneration(generation)
	return ok && row.Token == token
}

// next returns the row of the generation after r.
func (r *currentRow) next(digest, token, operator string) *currentRow {
	earlier := make([]earlierSet, 0, maxEarlierSets)
	if r.Generation > 0 {
		earlier = append(earlier, earlierSet{Token: r.Token, Digest: r.Digest})
	}
	earlier = append(earlier, r.Earlier[:min(len(r.Earlier), maxEarlierSets-len(earlier))]...)
	return &currentRow{
		Generation: r.Generation + 1,
		Digest:     digest,
		Token:      token,
		Operator:   operator,
		Earlier:    earlier,
	}
}

// readRow returns the row and its version in the table. Before the first
// publication, it returns a row of generation 0 and version 0.
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

// readSet reads the set that a row names from the object store. It fails if the
// set does not have the digest in the row.
func readSet(ctx context.Context, objects provider.Objects, codec Codec, row *currentRow) (*object.Set, error) {
	name := setObjectName(row.Generation, row.Token)
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
