package object

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Repeat determines whether a request of an ingress may run more than once.
type Repeat string

const (
	// RepeatNever requests run at most once.
	RepeatNever Repeat = "never"
	// RepeatSafe requests may run any number of times.
	RepeatSafe Repeat = "safe"
	// RepeatResume requests may run again, and a repeated stream continues after
	// the last event that the caller has received.
	RepeatResume Repeat = "resume"
)

// Ingress routes opaque requests of a host and a path prefix to services. The
// bodies of its requests and answers pass through unchanged.
type Ingress struct {
	Name string `json:"name" yaml:"name"`
	Host string `json:"host" yaml:"host"`
	// Prefix is a path prefix that begins and ends with a slash. Of several
	// ingresses that match a path, the one with the longest prefix is used.
	Prefix   string    `json:"prefix" yaml:"prefix"`
	Backends []Backend `json:"backends" yaml:"backends"`
	Repeat   Repeat    `json:"repeat" yaml:"repeat"`
	// Stream reports whether answers are event streams.
	Stream bool `json:"stream,omitempty" yaml:"stream,omitempty"`
	// Public requests need no token.
	Public bool `json:"public,omitempty" yaml:"public,omitempty"`
	// Tier is the tier of callers whose account names none.
	Tier string `json:"tier" yaml:"tier"`
	// Attempts is the largest number of targets that one request may run on.
	Attempts int `json:"attempts" yaml:"attempts"`
	// Timeout bounds the whole answer.
	Timeout time.Duration `json:"timeout" yaml:"timeout"`
	// Objective is the time within which the answer, or the first event of a
	// stream, is due.
	Objective time.Duration `json:"objective" yaml:"objective"`
	// MaxGap is the longest pause between two events of a stream that meets its
	// objective; 0 is no bound.
	MaxGap time.Duration `json:"maxGap,omitempty" yaml:"maxGap,omitempty"`
	// AllowedRegions lists the regions that may serve the requests; empty permits all. A
	// region that has no targets is not an error.
	AllowedRegions []string `json:"allowedRegions,omitempty" yaml:"allowedRegions,omitempty"`
}

// Backend is one service of an ingress. It gets a share of the traffic in
// proportion to its weight.
type Backend struct {
	Service string `json:"service" yaml:"service"`
	Weight  int    `json:"weight" yaml:"weight"`
}

// ChooseService returns the service for a request, in proportion to the weights of the
// back ends. The fraction is a uniform random number in [0, 1).
func (o *Ingress) ChooseService(fraction float64) string {
	total := 0
	for _, b := range o.Backends {
		total += b.Weight
	}
	remaining := fraction * float64(total)
	for _, b := range o.Backends {
		remaining -= float64(b.Weight)
		if remaining < 0 {
			return b.Service
		}
	}
	return o.Backends[0].Service
}

func (c *checker) checkIngress(i int, o *Ingress) {
	if o.Host == "" {
		c.report(KindIngress, i, "host", "host is missing")
	}
	if message := pathProblem(o.Prefix); message != "" && !c.set.External {
		c.report(KindIngress, i, "prefix", "%s", message)
	} else if !strings.HasPrefix(o.Prefix, "/") {
		c.report(KindIngress, i, "prefix", "prefix %q must start with '/'", o.Prefix)
	} else if !strings.HasSuffix(o.Prefix, "/") {
		c.report(KindIngress, i, "prefix", "prefix %q must end with '/'", o.Prefix)
	}
	if o.Repeat != RepeatNever && o.Repeat != RepeatSafe && o.Repeat != RepeatResume {
		c.report(KindIngress, i, "repeat", "repeat %q must be %q, %q or %q", o.Repeat, RepeatNever, RepeatSafe, RepeatResume)
	}
	if c.tiers[o.Tier] == nil {
		c.report(KindIngress, i, "tier", "tier %q does not exist", o.Tier)
	}
	if o.Attempts < 1 {
		c.report(KindIngress, i, "attempts", "attempts %d must be at least 1", o.Attempts)
	}
	if o.Timeout <= 0 {
		c.report(KindIngress, i, "timeout", "timeout %v must be above zero", o.Timeout)
	}
	if o.Objective < 0 || o.MaxGap < 0 {
		c.report(KindIngress, i, "objective", "objective %v and maxGap %v must not be below zero", o.Objective, o.MaxGap)
	}
	c.checkBackends(i, o)
}

func (c *checker) checkBackends(i int, o *Ingress) {
	total := 0
	for j, b := range o.Backends {
		field := fmt.Sprintf("backends[%d]", j)
		service := c.services[b.Service]
		switch {
		case service == nil:
			c.report(KindIngress, i, field, "service %q does not exist", b.Service)
		case !service.Discovered:
			c.report(KindIngress, i, field, "service %q is not discovered, so it takes calls by its own routes only", b.Service)
		case b.Weight < 0:
			c.report(KindIngress, i, field, "weight %d is below zero", b.Weight)
		}
		total += b.Weight
	}
	if total <= 0 {
		c.report(KindIngress, i, "backends", "at least one backend needs a weight above zero")
	}
}

// checkIngressClashes reports ingresses with the same host and prefix.
func (c *checker) checkIngressClashes() {
	first := map[hostPrefix]int{}
	for i, o := range c.set.Ingresses {
		key := hostPrefix{o.Host, o.Prefix}
		if earlier, taken := first[key]; taken {
			c.report(KindIngress, i, "prefix", "%s%s clashes with %s", o.Host, o.Prefix, c.describe(KindIngress, earlier))
			continue
		}
		first[key] = i
	}
}

type hostPrefix struct {
	host, prefix string
}

// ingressTable finds ingresses by host and longest prefix. Prefixes end with a
// slash, so only those prefixes of a path that end with a slash are looked up.
type ingressTable struct {
	byPrefix map[hostPrefix]*Ingress
	// lengths are the lengths of all prefixes, the longest first.
	lengths []int
}

func newIngressTable(ingresses []Ingress) ingressTable {
	t := ingressTable{byPrefix: make(map[hostPrefix]*Ingress, len(ingresses))}
	for i := range ingresses {
		o := &ingresses[i]
		t.byPrefix[hostPrefix{o.Host, o.Prefix}] = o
		t.lengths = append(t.lengths, len(o.Prefix))
	}
	slices.SortFunc(t.lengths, func(a, b int) int { return cmp.Compare(b, a) })
	t.lengths = slices.Compact(t.lengths)
	return t
}

// MatchIngress returns the ingress of a host with the longest prefix of a path, or
// nil.
func (x *Index) MatchIngress(host, path string) *Ingress {
	t := &x.ingresses
	for _, length := range t.lengths {
		if length > len(path) || path[length-1] != '/' {
			continue
		}
		if found := t.byPrefix[hostPrefix{host, path[:length]}]; found != nil {
			return found
		}
	}
	return nil
}
