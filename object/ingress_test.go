package object

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func ingressSet() *Set {
	return &Set{
		Services: []Service{
			{Name: "letters", Kind: PlainService, Version: "letters-1", Discovered: true},
			{Name: "depot", Kind: PlainService, Version: "depot-1", Discovered: true},
		},
		Versions: []Version{{Name: "letters-1", Service: "letters"}, {Name: "depot-1", Service: "depot"}},
		Tiers:    []Tier{{Name: "high", Rank: 0, Deadline: time.Second}, {Name: "low", Rank: 3, Deadline: time.Second}},
		ClientAccounts: []ClientAccount{
			{Name: "clerk", Tier: "high"}, {Name: "donor", Tier: "low"}, {Name: "guest", Tier: "low"},
		},
		Ingresses: []Ingress{
			testIngress("letters", "a.example", "/", "high", "letters"),
			testIngress("depot", "a.example", "/depot/", "low", "depot"),
			testIngress("stock", "a.example", "/depot/stock/", "low", "depot"),
			testIngress("other", "b.example", "/depot/", "high", "letters"),
		},
	}
}

func testIngress(name, host, prefix, tier, service string) Ingress {
	return Ingress{
		Name: name, Host: host, Prefix: prefix, Tier: tier, Repeat: RepeatSafe, Attempts: 1,
		Timeout: 2 * time.Second, Objective: 300 * time.Millisecond, Backends: []Backend{{service, 1}},
	}
}

// Guards against requests being routed to the service of a shorter prefix or of
// another host.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	set := ingressSet()
	assert.NilError(t, set.Check().Err())
	x := NewIndex(1, set)
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/", "letters"},
		{"a.example", "/depotx/1", "letters"},
		{"a.example", "/depot/1", "depot"},
		{"a.example", "/depot/stock", "depot"},
		{"a.example", "/depot/stock/1/2", "stock"},
		{"b.example", "/depot/stock/1", "other"},
	} {
		in := x.MatchIngress(tc.host, tc.path)
		assert.Assert(t, in != nil, tc.path)
		assert.Equal(t, in.Name, tc.want, tc.path)
	}
	assert.Assert(t, x.MatchIngress("b.example", "/") == nil)
	assert.Assert(t, x.MatchIngress("c.example", "/depot/") == nil)
}

// Guards against accepting a set with an invalid ingress.
func TestIngressFaultsAreReported(t *testing.T) {
	for _, tc := range []struct {
		mutate func(*Set)
		want   string
	}{
		{func(s *Set) { s.Ingresses[0].Tier = "none" }, "does not exist"},
		{func(s *Set) { s.Ingresses[0].Prefix = "/x" }, "must end with"},
		{func(s *Set) { s.Ingresses[0].Backends[0].Service = "none" }, "does not exist"},
		{func(s *Set) { s.Ingresses[0].Backends[0].Weight = 0 }, "weight above zero"},
		{func(s *Set) { s.Services[0].Discovered = false }, "not discovered"},
		{func(s *Set) { s.Ingresses[0].Attempts = 0 }, "at least 1"},
		{func(s *Set) { s.Ingresses[0].Timeout = 0 }, "above zero"},
		{func(s *Set) { s.Ingresses[0].Repeat = "often" }, "repeat"},
		{func(s *Set) { s.Ingresses[1].Prefix = "/" }, "clashes"},
	} {
		set := ingressSet()
		tc.mutate(set)
		err := set.Check().Err()
		assert.Assert(t, err != nil && strings.Contains(err.Error(), tc.want), "%s: %v", tc.want, err)
	}
}

// Guards against the tier of an ingress taking precedence over the tier of the
// account.
func TestPrecedenceIsByAccountFirst(t *testing.T) {
	x := NewIndex(1, ingressSet())
	rank := func(account, in string) int {
		return x.Precedence(x.ClientAccount(account), findByName(x.Set.Ingresses, in).(*Ingress))
	}
	assert.Assert(t, rank("clerk", "letters") < rank("clerk", "depot"))
	assert.Assert(t, rank("clerk", "depot") < rank("donor", "letters"))
	assert.Assert(t, rank("donor", "letters") < rank("donor", "depot"))
	assert.Equal(t, rank("donor", "depot"), rank("guest", "depot"))
	assert.Assert(t, x.Precedence(nil, &x.Set.Ingresses[0]) < x.Precedence(nil, &x.Set.Ingresses[1]))
}

// Guards against a choice of back ends that does not follow their weights.
func TestBackendsAreChosenByWeight(t *testing.T) {
	in := Ingress{Backends: []Backend{{"a", 90}, {"b", 0}, {"c", 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[in.ChooseService(float64(i)/1000)]++
	}
	assert.Equal(t, counts["a"], 900)
	assert.Equal(t, counts["b"], 0)
	assert.Equal(t, counts["c"], 100)
}

// Guards against a set of another system that is refused for the form of its names, against
// names that break a header field, and against forms that operators' own sets must not have.
func TestExternalSetPermitsForeignNames(t *testing.T) {
	build := func(name string, external bool) *Set {
		return &Set{
			External: external, Services: []Service{{Name: name, Kind: PlainService, Version: name + ".v", Discovered: true}},
			Versions:       []Version{{Name: name + ".v", Service: name}},
			ClientAccounts: []ClientAccount{{Name: name}},
			Targets:        []Target{{Name: name, Service: name, DataCentre: name, Region: name, Address: "10.0.0.1:80", Hardware: name, Slots: 1, Versions: []string{name + ".v"}}},
		}
	}
	for _, name := range []string{"a b/é", strings.Repeat("n", 200), "-x", "+4:5@"} {
		assert.NilError(t, build(name, true).Check().Err(), name)
		assert.Assert(t, len(build(name, false).Check()) > 0, name)
	}
	for _, name := range []string{"", "a\r\nX-Other: 1", "a\x00", "a\xff", strings.Repeat("n", 2000)} {
		assert.Assert(t, len(build(name, true).Check()) > 0, "%q", name)
	}
}
