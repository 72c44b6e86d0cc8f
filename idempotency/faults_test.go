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

// seedCount is the number of fault schedules: 20, or MARJORAM_SEEDS.
func seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("MARJORAM_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 20
}

// Guards against a request that runs twice, one that ran and was answered with
// "not run", different answers for one key, and keys that stay blocked although
// nothing ran. The faults are lost and late answers, outages of the table and
// crashes of daemons.
func TestRandomFaults(t *testing.T) {
	executed := 0
	outcomes := map[string]int{}
	for seed := range seedCount() {
		s := simulate(t, seed, variant{})
		assert.Equal(t, len(s.violations), 0, "seed %d: %v", seed, s.violations)
		for _, n := range s.executions {
			executed += n
		}
		for outcome, n := range s.outcomes {
			outcomes[outcome] += n
		}
	}
	t.Logf("seeds 0 to %d: %d of %d keys executed once; answers %v", seedCount()-1, executed, simKeys*seedCount(), outcomes)
}

// noClaim is a naive implementation of claimStore that lets every request run.
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

// staleReads returns for each row the result of its first read that found it.
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

// commitHookTable replaces the commits of a table by a function.
type commitHookTable struct {
	provider.Table
	hook func(ctx context.Context, table provider.Table, writes []provider.Write) error
}

func (t commitHookTable) Commit(ctx context.Context, writes ...provider.Write) error {
	return t.hook(ctx, t.Table, writes)
}

func withCommitHook(hook func(ctx context.Context, table provider.Table, writes []provider.Write) error) func(provider.Table) provider.Table {
	return func(table provider.Table) provider.Table { return commitHookTable{table, hook} }
}

// Guards against a simulation that finds no violations. With any one safeguard
// removed, it must report the violation that the safeguard prevents.
func TestRemovedGuardsAreNoticed(t *testing.T) {
	const twice, falseNotRun, order = "was executed", "answered with not run", "linearizability"
	cases := map[string]struct {
		variant variant
		want    string
	}{
		"no claim": {variant{newStore: func() claimStore { return noClaim{} }}, twice},
		"no token compare": {variant{wrapTable: func(table provider.Table) provider.Table {
			return &noTokenCompare{Table: table, tokens: map[string]string{}}
		}}, twice},
		"dispatch before the claim is certain": {variant{dispatchOnError: true}, twice},
		"abandon a request that may have run":  {variant{abandonOnLoss: true}, twice},
		"not run for a lost answer":            {variant{notRunOnLoss: true}, falseNotRun},
		"stale reads": {variant{wrapTable: func(table provider.Table) provider.Table {
			return &staleReads{Table: table, first: map[string]provider.Row{}}
		}}, order},
		"lost answer taken for success": {variant{wrapTable: withCommitHook(func(ctx context.Context, table provider.Table, writes []provider.Write) error {
			if err := table.Commit(ctx, writes...); !errors.Is(err, provider.ErrOutcomeUnknown) {
				return err
			}
			return nil
		})}, twice},
		"unconditional writes": {variant{wrapTable: withCommitHook(func(ctx context.Context, table provider.Table, writes []provider.Write) error {
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
