package object

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// setGenerator returns a generator of sets with unique names. The sets need not pass
// Check.
func setGenerator(label string) *rapid.Generator[*Set] {
	return rapid.Custom(func(t *rapid.T) *Set {
		duration := rapid.Map(rapid.Int64Range(0, 1e12), func(n int64) time.Duration { return time.Duration(n) })
		text := rapid.StringN(0, 6, -1)
		names := func(kind string) []string {
			return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 0, 5, rapid.ID[string]).Draw(t, label+kind)
		}
		s := &Set{}
		for _, n := range names("services") {
			routes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Route {
				return Route{Name: text.Draw(t, "route"), Path: text.Draw(t, "path"), Timeout: duration.Draw(t, "timeout")}
			}), 0, 2).Draw(t, "routes")
			s.Services = append(s.Services, Service{Name: n, Kind: PlainService, Routes: routes})
		}
		for _, n := range names("targets") {
			s.Targets = append(s.Targets, Target{Name: n, Slots: rapid.IntRange(-1, 3).Draw(t, "slots"),
				Versions: rapid.SliceOfN(text, 0, 2).Draw(t, "versions"), Leaving: rapid.Bool().Draw(t, "leaving")})
		}
		for _, n := range names("versions") {
			s.Versions = append(s.Versions, Version{Name: n, WeightBytes: rapid.Int64().Draw(t, "bytes")})
		}
		for _, n := range names("tiers") {
			s.Tiers = append(s.Tiers, Tier{Name: n, FirstToken: duration.Draw(t, "first"), Deadline: duration.Draw(t, "deadline")})
		}
		for _, n := range names("accounts") {
			s.ClientAccounts = append(s.ClientAccounts, ClientAccount{Name: n,
				RequestsPerSecond: rapid.Float64Range(0, 1e6).Draw(t, "rate"), TokenDigests: rapid.SliceOfN(text, 0, 2).Draw(t, "digests")})
		}
		for _, n := range names("moves") {
			deadline := time.Unix(rapid.Int64Range(1e9, 4e9).Draw(t, "at"), rapid.Int64Range(0, 999999999).Draw(t, "ns"))
			zone := time.FixedZone("", rapid.IntRange(-12, 12).Draw(t, "zone")*3600)
			s.Moves = append(s.Moves, Move{Name: n, Deadline: deadline.In(zone), Soak: duration.Draw(t, "soak"),
				Steps: rapid.SliceOfN(rapid.Float64Range(0, 100), 0, 3).Draw(t, "steps")})
		}
		return s
	})
}

// Guards against deltas that lose objects, keep removed ones or mix them up, and
// against an encoding of deltas that is not lossless.
func TestDeltaLeadsFromOneSetToTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := setGenerator("a").Draw(t, "a"), setGenerator("b").Draw(t, "b")
		delta, err := MakeDelta(a, b)
		assert.NilError(t, err)
		encoded, err := json.Marshal(delta)
		assert.NilError(t, err)
		var decoded Delta
		assert.NilError(t, json.Unmarshal(encoded, &decoded))

		before := a.Digest()
		got, err := decoded.Apply(a)
		assert.NilError(t, err)
		assert.Equal(t, a.Digest(), before, "Apply changed its input")
		want, err := b.Encode()
		assert.NilError(t, err)
		have, err := got.Encode()
		assert.NilError(t, err)
		assert.Equal(t, string(have), string(want))
		assert.Equal(t, len(Diff(got, b)), 0)
		assert.Equal(t, len(Diff(a, b)) == 0, a.Digest() == b.Digest())
	})
}

// Guards against a delta being applied to a set that it was not made from, and
// against making a delta of sets in which a name appears twice.
func TestDeltaRefusesAnotherBase(t *testing.T) {
	a := &Set{Tiers: []Tier{{Name: "x", Rank: 1}}}
	b := &Set{Tiers: []Tier{{Name: "x", Rank: 2}}}
	delta, err := MakeDelta(a, b)
	assert.NilError(t, err)
	_, err = delta.Apply(&Set{Tiers: []Tier{{Name: "y"}}})
	assert.Assert(t, errors.Is(err, ErrBaseMismatch))

	_, err = MakeDelta(&Set{Tiers: []Tier{{Name: "x"}, {Name: "x"}}}, b)
	assert.ErrorContains(t, err, "appears twice")
}

// Guards against encodings that lose content, in JSON and in YAML.
func TestEncodingsAreLossless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := setGenerator("").Draw(t, "set")
		encoded, err := s.Encode()
		assert.NilError(t, err)
		fromJSON, err := DecodeSet(encoded)
		assert.NilError(t, err)
		assert.Equal(t, fromJSON.Digest(), s.Digest())
	})
	set, problems := Parse("x", []byte(readExample(t)))
	assert.NilError(t, problems.Err())
	text, err := set.FormatYAML()
	assert.NilError(t, err)
	again, problems := Parse("y", text)
	assert.NilError(t, problems.Err(), "%s", text)
	assert.Equal(t, again.Digest(), set.Digest())
	encoded, err := set.Encode()
	assert.NilError(t, err)
	asYAML, problems := Parse("z", encoded)
	assert.NilError(t, problems.Err(), "JSON output cannot be published again")
	assert.Equal(t, asYAML.Digest(), set.Digest())
}

// Guards against text in a valid set that YAML reads as another type, such as a
// name that looks like a number.
func TestYAMLKeepsText(t *testing.T) {
	tricky := rapid.SampledFrom([]string{"1", "1e3", "0x1F", "1_000", "null", "true", "yes", "1.5", "2027-03-01", "00", "0o7", "1.0.", "a", "Inf", "nan"})
	name := rapid.OneOf(tricky, rapid.StringMatching(`[A-Za-z0-9][A-Za-z0-9._-]{0,4}`))
	model := rapid.OneOf(tricky, rapid.SampledFrom([]string{"", "~", ".inf", "- a", "a: b", "a #b", "[x", "{x", "'", "\"", "&a", "*a", "!t", "<<", "---", "%a", "@a", "`a"}),
		rapid.StringMatching(`[!-~]([ -~]{0,6}[!-~])?`))
	rapid.Check(t, func(t *rapid.T) {
		n := name.Draw(t, "name")
		s := &Set{
			Versions:       []Version{{Name: n, Service: n, Model: model.Draw(t, "model"), WeightBytes: rapid.Int64().Draw(t, "bytes")}},
			Targets:        []Target{{Name: n, Hardware: model.Draw(t, "hardware"), Versions: []string{n, name.Draw(t, "version")}}},
			ClientAccounts: []ClientAccount{{Name: n, RequestsPerSecond: rapid.Float64Min(0).Draw(t, "rate")}},
		}
		text, err := s.FormatYAML()
		assert.NilError(t, err)
		fromYAML, problems := Parse("x", text)
		assert.NilError(t, problems.Err(), "%s", text)
		assert.Equal(t, fromYAML.Digest(), s.Digest(), "%s", text)
	})
}

// Guards against a digest that depends on object order and so differs between
// an operator's file and the set in force, and against one that does not change
// with the content.
func TestDigestIgnoresOrder(t *testing.T) {
	set, _ := Parse("x", []byte(readExample(t)))
	before := set.Digest()
	slices.Reverse(set.Targets)
	slices.Reverse(set.Versions)
	assert.Equal(t, set.Digest(), before)
	set.Targets[0].Slots++
	assert.Assert(t, set.Digest() != before)
}

// Guards against changes that do not name the fields that differ.
func TestDiffNamesFields(t *testing.T) {
	a, _ := Parse("x", []byte(readExample(t)))
	b, _ := Parse("x", []byte(strings.NewReplacer("slots: 8\n", "slots: 4\n", "name: public", "name: open").Replace(readExample(t))))
	assert.DeepEqual(t, Diff(a, b), []Change{
		{Op: Changed, Kind: KindTarget, Name: "llm-1", Fields: []FieldChange{{Field: "slots", Before: "8", After: "4"}}},
		{Op: Added, Kind: KindClientAccount, Name: "open"},
		{Op: Removed, Kind: KindClientAccount, Name: "public"},
	})
}

// Guards against accepting moves that cannot be done in time and attempts that
// decrease, and against refusing a past move that is published again unchanged.
func TestCheckChange(t *testing.T) {
	now := time.Date(2027, 3, 1, 0, 0, 0, 0, time.UTC)
	move := Move{Name: "m", Deadline: now.Add(34 * time.Second), Soak: 30 * time.Second, Attempt: 2}
	late := &Set{Moves: []Move{move}}
	assert.ErrorContains(t, CheckChange(nil, late, now).Err(), `move "m": deadline: deadline 2027-03-01T00:00:34Z leaves 34s`)
	assert.Equal(t, len(CheckChange(late, late, now)), 0)
	move.Deadline = now.Add(35 * time.Second)
	assert.Equal(t, len(CheckChange(nil, &Set{Moves: []Move{move}}, now)), 0)
	move.Attempt = 1
	assert.ErrorContains(t, CheckChange(late, &Set{Moves: []Move{move}}, now).Err(), "attempt 1 is below 2")
}

// Guards against lookups that return the wrong object, or one where there is none.
func TestIndexLookups(t *testing.T) {
	set, problems := Parse("x", []byte(readExample(t)))
	assert.NilError(t, problems.Err())
	token := "field-token"
	set.ClientAccounts[0].TokenDigests = []string{fmt.Sprintf("%x", sha256.Sum256([]byte(token)))}
	x := NewIndex(7, set)
	assert.Equal(t, x.Target("llm-1").Slots, 8)
	assert.Assert(t, x.Target("llm-9") == nil)
	assert.Equal(t, x.TargetAt("10.0.0.2:8000").Name, "depot-1")
	assert.Equal(t, len(x.TargetsIn("assistant", "lhr-a")), 1)
	assert.Equal(t, len(x.TargetsIn("assistant", "qta-a")), 0)
	assert.DeepEqual(t, x.DataCentresOf("depot"), []string{"lhr-a"})
	assert.Equal(t, x.RegionOf("lhr-a"), "lahore")
	assert.Equal(t, x.MoveOf("assistant").Name, "assistant-to-2")
	assert.Equal(t, x.ModelService("saathi").Name, "assistant")
	assert.Equal(t, x.ModelService("assistant").Name, "assistant")
	assert.Equal(t, x.AccountByToken(token).Name, "field")
	assert.Assert(t, x.AccountByToken("other") == nil)
	assert.Equal(t, x.TierOf(x.ClientAccount("field")).Name, "clerks")
	assert.Equal(t, x.Tiers()[0].Rank, 0)
	assert.Assert(t, x.Permits("field", "depot"))
	assert.Assert(t, !x.Permits("public", "depot"))
}

// Guards against route matching that differs from a scan over all routes.
func TestMatchAgreesWithScan(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "c"})
	path := rapid.Custom(func(t *rapid.T) string {
		p := "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, "segments"), "/")
		if p != "/" && rapid.Bool().Draw(t, "prefix") {
			p += "/"
		}
		return p
	})
	rapid.Check(t, func(t *rapid.T) {
		set := &Set{Services: []Service{{Name: "s", Kind: PlainService}, {Name: "m", Kind: ModelService}}}
		for i, p := range rapid.SliceOfNDistinct(path, 0, 6, rapid.ID[string]).Draw(t, "paths") {
			set.Services[0].Routes = append(set.Services[0].Routes, Route{Name: fmt.Sprint(i), Method: "GET", Path: p})
		}
		requestPath := path.Draw(t, "call")
		want := scanRoutes(set.Services[0].Routes, requestPath)
		got := ""
		x := NewIndex(1, set)
		if matches := x.MatchRoutes("GET", requestPath); len(matches) > 0 {
			got = matches[0].Route.Path
		}
		assert.Equal(t, got, want)
		assert.Equal(t, len(x.MatchRoutes("PUT", requestPath)), 0)
		assert.Equal(t, len(x.MatchRoutes("POST", DefaultModelPath)), 1)
	})
}

// scanRoutes returns the path of the route that matches, found by a scan.
func scanRoutes(routes []Route, path string) string {
	best := ""
	for _, r := range routes {
		if r.Path == path {
			return path
		}
		if strings.HasSuffix(r.Path, "/") && strings.HasPrefix(path, r.Path) && len(r.Path) > len(best) {
			best = r.Path
		}
	}
	return best
}

// Guards against input that makes the parser or the rules panic, and against
// accepted sets that differ after they were formatted and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(readExample(f)))
	f.Add([]byte("tiers: [{name: a, rank: 0, deadline: 1s}]\n---\nmoves:\n"))
	f.Add([]byte("tiers: &a [*a]\n<<: *a\n"))
	f.Add([]byte("services: {a: b}\n? [x]\n: y\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, problems := ParseFiles(File{Name: "fuzz", Data: data})
		if len(problems) > 0 {
			return
		}
		text, err := set.FormatYAML()
		assert.NilError(t, err)
		again, problems := Parse("again", text)
		assert.NilError(t, problems.Err())
		assert.Equal(t, again.Digest(), set.Digest())
		NewIndex(1, set).MatchRoutes("GET", "/")
	})
}

// Guards against deltas from peers that make Apply panic, and against accepting a
// delta whose result does not have the digest in the delta.
func FuzzDelta(f *testing.F) {
	f.Add([]byte(`{"to":"x","tiers":{"put":[{"name":"a","deadline":"1s"}],"remove":["b"]}}`))
	f.Add([]byte(`{"moves":{"put":[{"name":"a","deadline":"2027-01-01T00:00:00Z","soak":"x"}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var delta Delta
		if json.Unmarshal(data, &delta) != nil {
			return
		}
		set, err := delta.Apply(&Set{Tiers: []Tier{{Name: "b"}}})
		if err == nil {
			assert.Equal(t, set.Digest(), delta.To)
		}
	})
}

// largeSet returns a set of the size that is planned for in two years: 7,800
// targets and 800 accounts.
func largeSet() *Set {
	s := &Set{}
	for i := range 5 {
		name := fmt.Sprintf("service-%d", i)
		s.Services = append(s.Services, Service{Name: name, Kind: ModelService, Version: name + "-v1"})
		s.Versions = append(s.Versions, Version{Name: name + "-v1", Service: name, Model: name})
	}
	for i := range 7800 {
		service := fmt.Sprintf("service-%d", i%5)
		s.Targets = append(s.Targets, Target{Name: fmt.Sprintf("target-%d", i), Service: service, DataCentre: fmt.Sprintf("dc-%d", i%16),
			Region: fmt.Sprintf("region-%d", i%16%7), Address: fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250), Slots: 8, Versions: []string{service + "-v1"}})
	}
	s.Tiers = []Tier{{Name: "top", Deadline: time.Minute}}
	for i := range 800 {
		s.ClientAccounts = append(s.ClientAccounts, ClientAccount{Name: fmt.Sprintf("account-%d", i), Tier: "top",
			TokenDigests: []string{fmt.Sprintf("%x", sha256.Sum256(fmt.Append(nil, i)))}})
	}
	return s
}

// BenchmarkInstall measures the work of a daemon per generation with the set
// planned for in two years: applying a delta of one object and building the
// index.
func BenchmarkInstall(b *testing.B) {
	from := largeSet()
	assert.NilError(b, from.Check().Err())
	to := from.Canonical()
	to.Targets[0].Slots++
	delta, err := MakeDelta(from, to)
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		set, err := delta.Apply(from)
		assert.NilError(b, err)
		NewIndex(1, set)
	}
}

func BenchmarkMatch(b *testing.B) {
	x := NewIndex(1, largeSet())
	b.ReportAllocs()
	for b.Loop() {
		x.MatchRoutes("POST", DefaultModelPath)
	}
}
