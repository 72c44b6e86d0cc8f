package confsync

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// largeSet returns a set of the size that is planned for in two years: 7,800
// targets and 800 accounts. The first target has the given number of slots.
func largeSet(slots int) *object.Set {
	set := &object.Set{Services: []object.Service{{Name: "assistant", Kind: object.ModelService, Version: "v1"}}}
	for i := range 7800 {
		set.Targets = append(set.Targets, object.Target{
			Name: fmt.Sprintf("target-%05d", i), Service: "assistant", DataCentre: "lhr-a", Region: "punjab",
			Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), Hardware: "gen2", Slots: 32, KVTokens: 400_000,
			Versions: []string{"v1", "v2"},
		})
	}
	set.Targets[0].Slots = slots
	for i := range 800 {
		set.ClientAccounts = append(set.ClientAccounts, object.ClientAccount{Name: fmt.Sprintf("account-%03d", i), Tier: "gold"})
	}
	return set
}

// BenchmarkReceiveDelta measures the cost of one change on a daemon with the set
// planned for in two years: applying the delta and checking the digest of the
// whole set.
func BenchmarkReceiveDelta(b *testing.B) {
	codec := jsonCodec{}
	from, to := largeSet(8), largeSet(9)
	delta, err := codec.Delta(from, to)
	assert.NilError(b, err)
	digest, err := codec.Digest(to)
	assert.NilError(b, err)
	whole, err := codec.Encode(to)
	assert.NilError(b, err)
	s := NewSyncer(Config{})
	current := &installedSet{generation: 1, set: from}
	for b.Loop() {
		_, err := s.decode(current, deltaMessage(delta, digest))
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(len(whole)), "set-B")
	b.ReportMetric(float64(len(delta)), "delta-B")
}

func deltaMessage(delta []byte, digest string) *peerpb.ConfigData {
	return &peerpb.ConfigData{Base: 1, Generation: 2, Data: delta, Digest: digest}
}
