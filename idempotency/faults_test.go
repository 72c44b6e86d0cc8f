package idempotency

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/provider"
)

// simSeeds is the number of fault schedules; MARJORAM_SEEDS sets another one.
func simSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("MARJORAM_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 20
}

// Guards against a request that runs twice, a false "not run", answers of one
// key that differ, and keys that stay blocked although nothing ran, under lost
// and late answers, outages of the table and deaths of daemons.
func TestRandomFaults(t *testing.T) {
	executed := 0
	outcomes := map[string]int{}
	for seed := range simSeeds() {
		s := simulate(t, seed, variant{})
		assert.Equal(t, len(s.violations), 0, "seed %d: %v", seed, s.violations)
		for _, n := range s.executions {
			executed += n
		}
		for outcome, n := range s.outcomes {
			outcomes[outcome] += n
		}
	}
	t.Logf("seeds 0 to %d: %d of %d keys executed once; answers %v", simSeeds()-1, executed, simKeys*simSeeds(), outcomes)
}

// noClaim is the naive register: it lets every request run.
type noClaim struct{}

func (noClaim) Claim(context.Context, Key, uint64) (Result, error) {
	return Result{Outcome: Claimed, HeldClaim: &HeldClaim{}}, nil
}
func (noClaim) Complete(context.Context, *HeldClaim, Answer) error { return nil }
func (noClaim) Abandon(*HeldClaim)                                 {}
func (noClaim) MarkUnknown(*HeldClaim)                             {}

// noTokenCompare makes every row that this daemon tried to claim look like its own.
type noTokenCompare struct {
	provider.Table
	mu     sync.Mutex
	tokens map[string]string
}

func (n *noTokenCompare) Commit(ctx context.Context, writes ...provider.Write) error {
	n.mu.Lock()
	for _, w := range writes {
		var r record
		if json.Unmarshal(w.Value, &r) == nil && r.State == stateClaimed {
			n.tokens[w.Key] = r.Token
		}
	}
	n.mu.Unlock()
	return n.Table.Commit(ctx, writes...)
}

func (n *noTokenCompare) Get(ctx context.Context, keys ...string) ([]provider.Row, error) {
	rows, err := n.Table.Get(ctx, keys...)
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, row := range rows {
		var r record
		if token := n.tokens[row.Key]; token != "" && json.Unmarshal(row.Value, &r) == nil {
			r.Token = token
			rows[i].Value = r.encode()
		}
	}
	return rows, err
}

// staleReads returns for each row what its first read returned.
type staleReads struct {
	provider.Table
	mu    sync.Mutex
	first map[string]provider.Row
}

func (r *staleReads) Get(ctx context.Context, keys ...string) ([]provider.Row, error) {
	rows, err := r.Table.Get(ctx, keys...)
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, row := range rows {
		if old, ok := r.first[row.Key]; ok {
			rows[i] = old
		} else if row.Version > 0 {
			r.first[row.Key] = row
		}
	}
	return rows, err
}

// rewritten changes the commits of a table.
type rewritten struct {
	provider.Table
	commit func(ctx context.Context, table provider.Table, writes []provider.Write) error
}

func (r rewritten) Commit(ctx context.Context, writes ...provider.Write) error {
	return r.commit(ctx, r.Table, writes)
}

func rewrite(f func(ctx context.Context, table provider.Table, writes []provider.Write) error) func(provider.Table) provider.Table {
	return func(table provider.Table) provider.Table { return rewritten{table, f} }
}

// Guards against a simulation that cannot fail: with any one guard removed it
// must find the violation that the guard prevents.
func TestRemovedGuardsAreNoticed(t *testing.T) {
	const twice, falseNotRun, order = "was executed", "answered with not run", "linearizability"
	cases := map[string]struct {
		variant variant
		want    string
	}{
		"no claim": {variant{register: func() register { return noClaim{} }}, twice},
		"no token compare": {variant{table: func(table provider.Table) provider.Table {
			return &noTokenCompare{Table: table, tokens: map[string]string{}}
		}}, twice},
		"dispatch before the claim is certain": {variant{dispatchOnError: true}, twice},
		"abandon a request that may have run":  {variant{abandonOnLoss: true}, twice},
		"not run for a lost answer":            {variant{notRunOnLoss: true}, falseNotRun},
		"stale reads": {variant{table: func(table provider.Table) provider.Table {
			return &staleReads{Table: table, first: map[string]provider.Row{}}
		}}, order},
		"lost answer taken for success": {variant{table: rewrite(func(ctx context.Context, table provider.Table, writes []provider.Write) error {
			if err := table.Commit(ctx, writes...); !errors.Is(err, provider.ErrUnknown) {
				return err
			}
			return nil
		})}, twice},
		"unconditional writes": {variant{table: rewrite(func(ctx context.Context, table provider.Table, writes []provider.Write) error {
			for i := range writes {
				writes[i].Unconditional = true
			}
			return table.Commit(ctx, writes...)
		})}, twice},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const seeds = 60
			for seed := range uint64(seeds) {
				s := simulate(t, seed, c.variant)
				for _, v := range s.violations {
					if strings.Contains(v, c.want) {
						t.Logf("seed %d: %s (%d violations)", seed, v, len(s.violations))
						return
					}
				}
			}
			t.Fatalf("no violation %q in %d seeds", c.want, seeds)
		})
	}
}
