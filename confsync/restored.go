package confsync

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// maxKnownDigests bounds the generations whose digests are remembered.
	maxKnownDigests = 64
	// restoreOperator is the operator of a generation that a daemon has written again.
	restoreOperator = "restore"
)

// noteDigest remembers the digest of a generation that was in force. The caller holds mu.
func (s *Syncer) noteDigest(generation uint64, digest string) {
	s.digests[generation] = digest
	if generation > maxKnownDigests {
		delete(s.digests, generation-maxKnownDigests)
	}
}

// noteRow remembers the digests of the generations that a row names, unless it is behind the one in
// force.
func (s *Syncer) noteRow(row *currentRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.Generation < s.Generation() {
		return
	}
	for i, earlier := range row.Earlier {
		s.noteDigest(row.Generation-uint64(i)-1, earlier.Digest)
	}
}

// isPublishedSince reports whether a row names a set that was published after the table was restored:
// its generation was in force here with another set.
func (s *Syncer) isPublishedSince(row *currentRow) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest, known := s.digests[row.Generation]
	return known && digest != row.Digest
}

// writeAgain writes the row and the set in force again if the row in the table, which has the given
// version, is one of an earlier generation: the table was restored from an older copy. A set that was
// published since becomes the next generation. A conflict means that another daemon was faster.
func (s *Syncer) writeAgain(ctx context.Context, row *currentRow, version uint64) error {
	current := s.current.Load()
	if row.Generation >= current.generation {
		return nil
	}
	set, next := current.set, &currentRow{Generation: current.generation, Digest: current.digest, Operator: restoreOperator}
	if s.isPublishedSince(row) {
		published, err := readSet(ctx, s.config.Objects, s.codec, row)
		if err != nil {
			return err
		}
		set, next = published, &currentRow{Generation: current.generation + 1, Digest: row.Digest, Operator: row.Operator}
	}
	next.Token = restoreOperator + "-" + next.Digest
	data, err := s.codec.Encode(set)
	if err != nil {
		return err
	}
	name := setObjectName(next.Generation, next.Token)
	if err := s.config.Objects.Put(ctx, name, data); err != nil {
		return fault.Wrap(err, "config.restore", name)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return fault.Wrap(err, "config.restore", currentKey)
	}
	err = s.config.Table.Commit(ctx, provider.Write{Key: currentKey, Value: value, IfVersion: version})
	var conflict *provider.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return fault.Wrap(err, "config.restore", currentKey)
}
