package object

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func readExample(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile("testdata/authority.yaml")
	assert.NilError(t, err)
	return string(data)
}

// allProblems parses and checks one file.
func allProblems(text string) Problems {
	_, problems := ParseFiles(File{Name: "set.yaml", Data: []byte(text)})
	return problems
}

// Guards against rules that reject a valid set.
func TestExampleHasNoProblems(t *testing.T) {
	assert.NilError(t, allProblems(readExample(t)).Err())
}

// Each case breaks one rule and guards against the rule not being applied or its
// problem being reported at the wrong position.
func TestRules(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           string
	}{
		{"unknown key", "  slots: 8\n", "  slots: 8\n  slot: 8\n", `set.yaml:26:3: target "llm-1": slot: unknown key`},
		{"key in wrong case", "kvTokens: 100000", "kvtokens: 1", `did you mean "kvTokens"?`},
		{"key given twice", "  slots: 8\n", "  slots: 8\n  slots: 9\n", `slots: key is given twice`},
		{"wrong type", "slots: 8\n", "slots: many\n", `set.yaml:25:10: target "llm-1": slots: must be a whole number without a unit, found text`},
		{"number as text", "name: public", "name: 7", `put it in quotes`},
		{"missing unit", "timeout: 2s", "timeout: 2", `set.yaml:13:14: service "depot": routes[0].timeout: needs a duration with its unit`},
		{"bad unit", "soak: 30s", "soak: 30 sec", `move "assistant-to-2": soak: needs a duration with its unit`},
		{"time without zone", "2027-03-01T18:00:00Z", "2027-03-01T18:00:00", `needs a time with its zone`},
		{"rate with unit", "requestsPerSecond: 10\n", "requestsPerSecond: 10/s\n", `must be a finite number without a unit`},
		{"rate not finite", "requestsPerSecond: 10\n", "requestsPerSecond: .inf\n", `must be a finite number`},
		{"anchor", "name: public", "name: &a public", `anchors and aliases are not supported`},
		{"missing name", "- name: public\n  tier", "- tier", `clientAccount "#2": name: name is missing`},
		{"name with slash", "name: public", "name: pub/lic", `may hold letters, digits`},
		{"long name", "name: public", "name: " + strings.Repeat("x", 64), `name has 64 characters`},
		{"duplicate name", "name: donors\n", "name: clerks\n", `tier "clerks": name: name is already taken by tier "clerks" (set.yaml:50:3)`},
		{"kind", "kind: plain", "kind: batch", `kind "batch" must be "model" or "plain"`},
		{"service without version", "  version: depot-1\n", "", `service "depot": version: version is missing`},
		{"unknown version of service", "  version: depot-1\n", "  version: depot-9\n", `version "depot-9" does not exist`},
		{"version of another service", "  version: depot-1\n", "  version: assistant-1\n", `version "assistant-1" belongs to service "assistant", not "depot"`},
		{"plain service without routes", "kind: model", "kind: plain", `a plain service needs at least one route`},
		{"method", "method: GET", "method: get", `method "get" must be one of`},
		{"relative path", "path: /dispatch", "path: dispatch", `must start with '/'`},
		{"path with dots", "path: /dispatch", "path: /a/../dispatch", `segments`},
		{"path with query", "path: /dispatch", "path: /dispatch?a", `without query`},
		{"negative timeout", "timeout: 2s", "timeout: -2s", `timeout -2s is below zero`},
		{"duplicate route name", "name: dispatch", "name: stock", `another route of the service has the name "stock"`},
		{"route clash in a service", "method: GET\n    path: /stock/", "method: POST\n    path: /dispatch", `routes[1].path: POST /dispatch clashes with route "stock" of service "depot"`},
		{"route clash with a model service", "path: /dispatch", "path: /v1/chat/completions", `clashes with route "chat" of service "assistant"`},
		{"target of unknown service", "- name: depot-1\n  service: depot", "- name: depot-1\n  service: depott", `service "depott" does not exist`},
		{"KV cache of a plain target", "  slots: 16\n", "  slots: 16\n  kvTokens: 5\n", `a target of a plain service has no KV cache`},
		{"negative KV cache", "kvTokens: 100000", "kvTokens: -1", `kvTokens -1 is below zero`},
		{"hardware with tab", "hardware: gen-1\n  slots: 16", "hardware: \"gen\\t\"\n  slots: 16", `hardware: "gen\t" must be at most 128 printable`},
		{"model with line break", "assistant-2\n  service: assistant\n  model: saathi", "assistant-2\n  service: assistant\n  model: \"a\\nb\"", `model: "a\nb" must be`},
		{"no slots", "slots: 16", "slots: 0", `slots 0 must be at least 1`},
		{"no data centre", "  dataCentre: lhr-a\n  region: lahore\n  address: 10.0.0.2", "  region: lahore\n  address: 10.0.0.2", `target "depot-1": dataCentre: name is missing`},
		{"data centre in two regions", "region: lahore\n  address: 10.0.0.2", "region: quetta\n  address: 10.0.0.2", `data centre "lhr-a" is in region "quetta" here and in region "lahore" at target "llm-1"`},
		{"host name", "10.0.0.2:8000", "depot.local:8000", `must be an IP number and a port`},
		{"address without port", "10.0.0.2:8000", "10.0.0.2", `must be an IP number and a port`},
		{"port zero", "10.0.0.2:8000", "10.0.0.2:0", `needs a port above 0`},
		{"unspecified address", "10.0.0.2:8000", "0.0.0.0:8000", `is not the address of one server`},
		{"duplicate address", "10.0.0.2:8000", "10.0.0.1:8000", `address 10.0.0.1:8000 is already taken by target "llm-1" (set.yaml:19:3)`},
		{"duplicate address in IPv6 form", "10.0.0.2:8000", `"[::ffff:10.0.0.1]:8000"`, `is already taken by target "llm-1"`},
		{"target without versions", "versions: [depot-1]", "versions: []", `a target needs at least one version`},
		{"unknown version of target", "versions: [depot-1]", "versions: [depot-1, depot-2]", `versions[1]: version "depot-2" does not exist`},
		{"version listed twice", "versions: [depot-1]", "versions: [depot-1, depot-1]", `version "depot-1" is listed twice`},
		{"target with foreign version", "versions: [depot-1]", "versions: [depot-1, assistant-1]", `belongs to service "assistant", not "depot"`},
		{"version that no target serves", "[assistant-1, assistant-2]", "[assistant-1]", `version "assistant-2": name: no target of service "assistant" lists the version`},
		{"version of unknown service", "- name: depot-1\n  service: depot\ntiers", "- name: depot-1\n  service: stores\ntiers", `version "depot-1": service: service "stores" does not exist`},
		{"model version without model", "assistant-2\n  service: assistant\n  model: saathi\n", "assistant-2\n  service: assistant\n", `needs a model`},
		{"plain version with model", "- name: depot-1\n  service: depot\ntiers", "- name: depot-1\n  service: depot\n  model: m\ntiers", `has no model, found "m"`},
		{"plain version with weights", "- name: depot-1\n  service: depot\ntiers", "- name: depot-1\n  service: depot\n  weightBytes: 3\ntiers", `has no weights`},
		{"negative weights", "weightBytes: 1000\n- name: depot-1", "weightBytes: -1\n- name: depot-1", `weightBytes -1 is below zero`},
		{"equal ranks", "rank: 1", "rank: 0", `rank 0 is already taken by tier "clerks"`},
		{"negative rank", "rank: 1", "rank: -1", `rank -1 must be from 0 (highest) to 15`},
		{"rank too large", "rank: 1", "rank: 16", `rank 16 must be from 0`},
		{"no deadline", "  deadline: 1m\n", "", `tier "donors": deadline: deadline 0s must be above zero`},
		{"negative first token", "firstToken: 5s", "firstToken: -5s", `firstToken -5s is below zero`},
		{"first token after deadline", "firstToken: 5s", "firstToken: 5m", `firstToken 5m0s is after the deadline 1m0s`},
		{"unknown tier", "tier: donors", "tier: friends", `clientAccount "public": tier: tier "friends" does not exist`},
		{"unknown service of account", "services: [assistant]", "services: [assistent]", `services[0]: service "assistent" does not exist`},
		{"negative request limit", "requestsPerSecond: 10\n", "requestsPerSecond: -1\n", `limit -1 is below zero`},
		{"negative token limit", "tokensPerSecond: 1000.5", "tokensPerSecond: -0.5", `limit -0.5 is below zero`},
		{"digest form", "6b51d431df5d", "6B51", `must be a SHA-256 digest in 64 lower-case hex digits`},
		{"digest twice", "tokensPerSecond: 1000.5", "tokenDigests: [6b51d431df5d7f141cbececcf79edf3dd861c3b4069f0b11661a3eefacbba918]", `the same token is listed by clientAccount "field"`},
		{"move of unknown service", "  service: assistant\n  from", "  service: asistant\n  from", `move "assistant-to-2": service: service "asistant" does not exist`},
		{"move from itself", "to: assistant-2", "to: assistant-1", `from and to are the same version`},
		{"move to unknown version", "to: assistant-2", "to: assistant-3", `to: version "assistant-3" does not exist`},
		{"move to foreign version", "to: assistant-2", "to: depot-1", `belongs to service "depot"`},
		{"move of another version", "  version: assistant-1\n", "  version: assistant-0\n", `which is neither from nor to`},
		{"no move deadline", "  deadline: 2027-03-01T18:00:00Z\n", "", `deadline must be a time from 2000 to 9999`},
		{"negative attempt", "attempt: 1", "attempt: -1", `attempt -1 is below zero`},
		{"negative soak", "soak: 30s", "soak: -30s", `soak -30s is below zero`},
		{"steps that fall", "[1, 5, 20, 50, 100]", "[1, 20, 5, 50, 100]", `steps[2]: step 5 must be above the step before, 20`},
		{"steps that end early", "[1, 5, 20, 50, 100]", "[1, 50]", `the last step must be 100 percent, found 50`},
		{"step above 100", "[1, 5, 20, 50, 100]", "[1, 100, 101]", `step 101 must be above 0 and at most 100 percent`},
		{"step finer than a share", "[1, 5, 20, 50, 100]", "[0.001, 100]", `step 0.001 must be a multiple of 0.01 percent`},
		{"overlapping moves", "moves:\n", "moves:\n- name: other\n  service: assistant\n  from: assistant-1\n  to: assistant-2\n  deadline: 2028-01-01T00:00:00Z\n", `service "assistant" already has move "other"`},
	}
	example := readExample(t)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, strings.Count(example, tc.old) > 0, true, "the example lacks %q", tc.old)
			problems := allProblems(strings.Replace(example, tc.old, tc.new, 1))
			assert.ErrorContains(t, problems.Err(), tc.want)
		})
	}
}

// Guards against a check that stops at the first problem, and against problems
// that lack the file, line, kind, object or field.
func TestAllProblemsAreListedWithPositions(t *testing.T) {
	text := strings.NewReplacer("slots: 8\n", "slots: x\n", "rank: 1", "rank: 0", "tier: donors", "tier: none").Replace(readExample(t))
	problems := allProblems(text)
	assert.Equal(t, len(problems), 3, "%v", problems.Err())
	for _, p := range problems {
		assert.Assert(t, p.File == "set.yaml" && p.Line > 0 && p.Kind != "" && p.Object != "" && p.Field != "", "%+v", p)
	}
}

// Guards against positions that point into the wrong file after a merge.
func TestMergeKeepsPositions(t *testing.T) {
	a, problems := Parse("a.yaml", []byte("tiers:\n- name: x\n  rank: 0\n  deadline: 1s\n"))
	assert.NilError(t, problems.Err())
	b, problems := Parse("b.yaml", []byte("# second file\ntiers:\n- name: x\n  rank: 1\n  deadline: 1s\n"))
	assert.NilError(t, problems.Err())
	found := Merge(a, b).Check()
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].String(), `b.yaml:3:3: tier "x": name: name is already taken by tier "x" (a.yaml:2:3)`)
}

// Guards against problems that a daemon reports being shown without their position
// in the operator's file.
func TestLocate(t *testing.T) {
	set, problems := Parse("set.yaml", []byte(readExample(t)))
	assert.NilError(t, problems.Err())
	found := set.Locate(Problems{{Kind: KindMove, Object: "assistant-to-2", Field: "steps[1]"}, {Message: "other"}})
	assert.Equal(t, found[0].Position.String(), "set.yaml:75:14")
	assert.Equal(t, found[1].Position, Position{})
}

// Guards against a syntax error without a position, and against documents of a
// file being ignored.
func TestParseDocuments(t *testing.T) {
	_, problems := Parse("x.yaml", []byte("tiers:\n- name: [\n"))
	assert.Equal(t, len(problems), 1)
	assert.Assert(t, problems[0].Line > 0)

	set, problems := Parse("x.yaml", []byte("tiers:\n- name: a\n---\ntiers:\n- name: b\n"))
	assert.NilError(t, problems.Err())
	assert.DeepEqual(t, set.names(KindTier), []string{"a", "b"})
}
