package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/settings"
)

const (
	token   = "operator-token-0123456789"
	example = "../../object/testdata/authority.yaml"
)

// stubBackend is a Backend that stores generations in memory. It is not safe for
// concurrent use.
type stubBackend struct {
	adminapi.Backend
	generations []*object.Set
	daemons     []adminapi.DaemonStatus
}

func (b *stubBackend) Current(context.Context) (adminapi.Config, error) {
	last := len(b.generations) - 1
	return adminapi.Config{Generation: uint64(last), Set: b.generations[last]}, nil
}

func (b *stubBackend) Generation(_ context.Context, n uint64) (*object.Set, error) {
	if n >= uint64(len(b.generations)) {
		return nil, adminapi.ErrNoGeneration
	}
	return b.generations[n], nil
}

func (b *stubBackend) Publish(_ context.Context, base uint64, set *object.Set, _ string) (uint64, error) {
	if current := uint64(len(b.generations) - 1); base != current {
		return 0, &adminapi.GenerationConflictError{Current: current}
	}
	b.generations = append(b.generations, set)
	return base + 1, nil
}

func (b *stubBackend) Daemons(context.Context) ([]adminapi.DaemonStatus, error) {
	return b.daemons, nil
}

func (b *stubBackend) Moves(context.Context) ([]adminapi.MoveStatus, error) {
	return []adminapi.MoveStatus{{Name: "assistant-to-2", Phase: "shifting", SharePercent: 5, Holder: "entry-2"}}, nil
}

func (b *stubBackend) Targets(context.Context) ([]adminapi.TargetStatus, error) {
	return []adminapi.TargetStatus{{Name: "llm-1", State: "ejected", Reason: "slow"}}, nil
}

func (b *stubBackend) Tiers(context.Context) ([]adminapi.TierStatus, error) {
	return []adminapi.TierStatus{{Name: "clerks", Waiting: 3}}, nil
}

func (b *stubBackend) Accounts(context.Context) ([]adminapi.AccountStatus, error) {
	return []adminapi.AccountStatus{{Name: "field", Tier: "clerks", RequestsPerSecond: 10}}, nil
}

// harness runs command lines against a server in the same process.
type harness struct {
	backend *stubBackend
	handler http.Handler
	environ map[string]string
	stdin   string
}

func newHarness() *harness {
	h := &harness{
		backend: &stubBackend{generations: []*object.Set{{}}},
		environ: map[string]string{tokenVariable: token, serversVariable: "10.0.0.1:8081, 10.0.0.2:8081"},
	}
	h.handler = adminapi.NewServer(adminapi.ServerOptions{
		Daemon:    "entry-1",
		Version:   "v9",
		Backend:   h.backend,
		Operators: map[string]settings.Secret{"ana": settings.NewSecret(token)},
		Now:       func() time.Time { return time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC) },
	}).Handler()
	return h
}

// RoundTrip passes requests for 10.0.0.2 to the server. 10.0.0.1 is unreachable.
func (h *harness) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host == "10.0.0.1:8081" {
		return nil, fmt.Errorf("no route to host")
	}
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// result is the exit code and the output of a command line.
type result struct {
	code           int
	stdout, stderr string
}

func (h *harness) run(args ...string) result {
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), args, Environment{
		Stdin: strings.NewReader(h.stdin), Stdout: &stdout, Stderr: &stderr, Transport: h,
		Getenv: func(name string) string { return h.environ[name] },
	})
	return result{code, stdout.String(), stderr.String()}
}

// writeEditedExample writes the example file with replacements to a new file and
// returns its path. replacements are the arguments of strings.NewReplacer.
func writeEditedExample(t *testing.T, replacements ...string) string {
	t.Helper()
	data, err := os.ReadFile(example)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "objects.yaml")
	text := strings.NewReplacer(replacements...).Replace(string(data))
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against exit codes that differ from the documented ones, and against
// messages that do not state the cause.
func TestExitCodes(t *testing.T) {
	pastDeadline := writeEditedExample(t, "2027-03-01", "2026-03-01")
	emptyDir := t.TempDir()
	cases := []struct {
		args string
		code int
		want string
	}{
		{"", ExitOK, "Available Commands"},
		{"help publish", ExitOK, "marjoramctl publish --base 41"},
		{"completion bash", ExitOK, "bash completion"},
		{"version", ExitOK, "v9"},
		{"check " + example, ExitOK, "no problems"},
		{"get set --generation 9", ExitFailure, "generation does not exist"},
		{"get tier none", ExitFailure, `tier "none" does not exist`},
		{"check missing.yaml", ExitFailure, "no such file"},
		{"check " + emptyDir, ExitFailure, "no files that end in .yaml"},
		{"drain nobody", ExitFailure, `target "nobody" does not exist`},
		{"--token-file missing get set", ExitFailure, "no such file"},
		{"launch", ExitUsage, "unknown command"},
		{"get set --lines 4", ExitUsage, "unknown flag"},
		{"get set -o xml", ExitUsage, "must be table, json or yaml"},
		{"get bales", ExitUsage, `"bales" is not`},
		{"get", ExitUsage, "arg"},
		{"status weather", ExitUsage, "invalid argument"},
		{"drain", ExitUsage, "arg"},
		{"diff", ExitUsage, "give either files or --from"},
		{"diff --to 2", ExitUsage, "give either files or --from"},
		{"revert soon", ExitUsage, "is not a generation"},
		{"publish " + example, ExitUsage, "no base"},
		{"publish --base x " + example, ExitUsage, "must be a generation"},
		{"--server ftp://x get set", ExitUsage, "is not a server address"},
		{"check " + writeEditedExample(t, "rank: 1", "rank: 0"), ExitProblems, `rank 0 is already taken`},
		{"check " + pastDeadline, ExitProblems, `objects.yaml:73:3: move "assistant-to-2": deadline`},
		{"check --local " + pastDeadline, ExitOK, "no problems"},
		{"publish --base 0 " + pastDeadline, ExitProblems, "objects.yaml:73:3"},
	}
	for _, tc := range cases {
		t.Run(tc.args, func(t *testing.T) {
			got := newHarness().run(strings.Fields(tc.args)...)
			assert.Equal(t, got.code, tc.code, "%+v", got)
			assert.Assert(t, strings.Contains(got.stdout+got.stderr, tc.want), "%+v", got)
		})
	}
}

// Guards against commands that fail without a clear message when the server or
// the token is missing, and against printing a wrong token.
func TestMissingSettings(t *testing.T) {
	h := newHarness()
	h.environ = map[string]string{serversVariable: "10.0.0.2:8081"}
	got := h.run("status")
	assert.Equal(t, got.code, ExitUsage)
	assert.Assert(t, strings.Contains(got.stderr, "no token"))
	path := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(path, []byte(token+"\n"), 0o600))
	assert.Equal(t, h.run("status", "--token-file", path).code, ExitOK)
	h.environ = map[string]string{tokenVariable: token}
	got = h.run("status")
	assert.Equal(t, got.code, ExitUsage)
	assert.Assert(t, strings.Contains(got.stderr, "no server"))
	h.environ = map[string]string{tokenVariable: "wrong-token", serversVariable: "10.0.0.2:8081"}
	got = h.run("status")
	assert.Equal(t, got.code, ExitFailure)
	assert.Assert(t, !strings.Contains(got.stderr, "wrong-token"))
}

// Guards against output of "get set" that "publish" does not accept, and against
// publishing a file over another operator's newer generation.
func TestPublishCycle(t *testing.T) {
	h := newHarness()
	assert.Equal(t, h.run("publish", "--base", "0", example).code, ExitOK)
	got := h.run("get", "set")
	assert.Assert(t, strings.HasPrefix(got.stdout, "# base-generation: 1\n"), got.stdout)
	ours := strings.Replace(got.stdout, "slots: 8", "slots: 4", 1)
	theirs := strings.Replace(got.stdout, "slots: 8", "slots: 6", 1)

	h.stdin = ours
	assert.Equal(t, h.run("publish", "-").code, ExitOK)
	h.stdin = theirs
	got = h.run("publish", "-")
	assert.Equal(t, got.code, ExitConflict, "%+v", got)
	assert.Assert(t, strings.Contains(got.stdout, "llm-1"), "the conflict does not show the change: %s", got.stdout)
	assert.Assert(t, strings.Contains(got.stderr, "generation 2 is current, not 1"), got.stderr)
	got = h.run("publish", "-", "-o", "json")
	var conflict adminapi.Conflict
	assert.NilError(t, json.Unmarshal([]byte(got.stdout), &conflict))
	assert.Equal(t, conflict.Current, uint64(2))

	assert.Equal(t, h.run("publish", "--base", "current", "-").code, ExitOK)
	got = h.run("revert", "2")
	assert.Equal(t, got.code, ExitOK, "%+v", got)
	assert.Equal(t, h.backend.generations[4].Digest(), h.backend.generations[2].Digest())
	assert.Equal(t, h.run("revert", "1", "--base", "3").code, ExitConflict)
	got = h.run("diff", "--from", "3")
	assert.Equal(t, strings.Join(strings.Fields(got.stdout), " "), `CHANGE KIND NAME FIELD BEFORE AFTER changed target llm-1 slots 6 4`)
}

// Guards against drain and undrain commands without effect, and against tables
// that do not show the drain mark.
func TestDrain(t *testing.T) {
	h := newHarness()
	assert.Equal(t, h.run("publish", "--base", "0", example).code, ExitOK)
	assert.Equal(t, h.run("drain", "llm-1").code, ExitOK)
	got := h.run("get", "target", "llm-1", "-o", "table")
	assert.Assert(t, strings.HasSuffix(strings.TrimSpace(got.stdout), "true"), got.stdout)
	got = h.run("drain", "llm-1")
	assert.Assert(t, strings.Contains(got.stdout, "unchanged"), got.stdout)
	assert.Equal(t, h.run("undrain", "llm-1").code, ExitOK)
	assert.Equal(t, len(h.backend.generations), 4)
}

// Guards against output formats that lose content or are not valid JSON or YAML.
func TestFormats(t *testing.T) {
	h := newHarness()
	assert.Equal(t, h.run("publish", "--base", "0", example).code, ExitOK)
	h.backend.daemons = []adminapi.DaemonStatus{{Name: "entry-1", Reachable: true, Generation: 1}, {Name: "entry-2"}}
	cases := []struct{ args, want string }{
		{"get set", "assistant-to-2"}, {"get services", "assistant"}, {"get targets", "10.0.0.1:8000"},
		{"get versions", "saathi"}, {"get tiers", "1.8s"}, {"get accounts", "public"}, {"get moves", "assistant-to-2"},
		{"status", "entry-2"}, {"status daemons", "entry-1"}, {"status moves", "shifting"}, {"status targets", "ejected"},
		{"status tiers", "clerks"}, {"status accounts", "field"}, {"version", "v9"}, {"diff --from 0", "llm-1"},
	}
	for _, tc := range cases {
		for _, format := range []string{formatTable, formatJSON, formatYAML} {
			got := h.run(append(strings.Fields(tc.args), "-o", format)...)
			assert.Equal(t, got.code, ExitOK, "%s %s: %+v", tc.args, format, got)
			if format != formatTable || tc.args != "get set" {
				assert.Assert(t, strings.Contains(got.stdout, tc.want), "%s %s: %s", tc.args, format, got.stdout)
			}
			var value any
			switch format {
			case formatJSON:
				assert.NilError(t, json.Unmarshal([]byte(got.stdout), &value), got.stdout)
			case formatYAML:
				assert.NilError(t, yaml.Unmarshal([]byte(got.stdout), &value), got.stdout)
			}
		}
	}
}

// Guards against a wait that ends too early, does not end, or does not name the
// daemons below the generation.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.backend.daemons = []adminapi.DaemonStatus{
			{Name: "entry-1", Reachable: true, Generation: 1},
			{Name: "entry-2", Reachable: true, Generation: 0},
			{Name: "entry-3", Reachable: false, Generation: 0},
		}
		got := h.run("publish", "--base", "0", "--wait", "--timeout", "5s", example)
		assert.Equal(t, got.code, ExitNotInForce, "%+v", got)
		assert.Assert(t, strings.Contains(got.stderr, "not in force after 5s on entry-2\n"), got.stderr)
		assert.Assert(t, strings.Contains(got.stderr, "not reached: entry-3"), got.stderr)

		h.backend.daemons[0].Generation, h.backend.daemons[1].Generation = 2, 2
		got = h.run("drain", "llm-1", "--wait")
		assert.Equal(t, got.code, ExitOK, "%+v", got)
		assert.Assert(t, strings.Contains(got.stderr, "in force on all 2 reachable daemons"), got.stderr)
	})
}
