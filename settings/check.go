package settings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/marjoramflow/marjoramflow/internal/yamldoc"
)

// minTokenLength is the shortest token that is accepted, in bytes. Shorter
// tokens can be guessed.
const minTokenLength = 16

// maxNameLength bounds names, which messages between daemons carry.
const maxNameLength = 63

var (
	// namePattern is the form of daemon names, which may be derived from addresses.
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)
	// placePattern is the form of names of data centres and regions in objects.
	placePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
)

// Problem is one fault of the settings.
type Problem struct {
	// File and Line are set when the settings were read from a file.
	File string
	Line int
	// Key is the path of the setting, such as "listen.admin".
	Key     string
	Message string
}

// String returns the problem in one line.
func (p Problem) String() string {
	text := p.Message
	if p.Key != "" {
		text = p.Key + ": " + text
	}
	if p.Line > 0 {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, text)
	}
	if p.File != "" {
		return p.File + ": " + text
	}
	return text
}

// Problems is an error that lists every fault of the settings.
type Problems []Problem

// Error lists all problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Check returns nil, or an error of type Problems with every fault that can be
// seen without reading other files or opening connections.
func (s *Settings) Check() error {
	c := &checker{}
	c.name("name", s.Name, namePattern)
	c.name("dataCentre", s.DataCentre, placePattern)
	c.name("region", s.Region, placePattern)
	c.listen(s)
	if s.Gateway.Enabled() {
		c.gateway(s)
	} else {
		c.platform(s.Platform)
	}
	c.seeds(s)
	c.tls(s.TLS)
	c.tokens(s.Tokens)
	c.limits(s.Limits)
	c.log(s.Log)
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

// withPositions adds file and line to problems.
func (p Problems) withPositions(file string, positions map[string]yamldoc.Position) Problems {
	for i := range p {
		p[i].File = file
		for key := p[i].Key; key != "" && p[i].Line == 0; {
			p[i].Line = positions[key].Line
			key = key[:max(strings.LastIndexAny(key, ".["), 0)]
		}
	}
	return p
}

type checker struct {
	problems Problems
}

func (c *checker) report(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Key: key, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) name(key, value string, form *regexp.Regexp) {
	switch {
	case value == "":
		c.report(key, "is missing")
	case len(value) > maxNameLength || !form.MatchString(value):
		c.report(key, "%q must have at most %d characters of the form %s", value, maxNameLength, form)
	}
}

// listen checks that the three addresses are set and that no two sockets clash.
func (c *checker) listen(s *Settings) {
	addresses := []struct{ key, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
	}
	if !s.Gateway.Enabled() || s.Listen.Admin != "" {
		addresses = append(addresses, struct{ key, value string }{"listen.admin", s.Listen.Admin})
	}
	if s.Gateway.Enabled() {
		addresses = append(addresses,
			struct{ key, value string }{"gateway.ready", s.Gateway.Ready},
			struct{ key, value string }{"gateway.metrics", s.Gateway.Metrics})
	}
	var taken []netip.AddrPort
	var keys []string
	for _, a := range addresses {
		address, ok := c.address(a.key, a.value)
		if !ok {
			continue
		}
		for i, other := range taken {
			if clash(address, other) {
				c.report(a.key, "address %s clashes with %s", a.value, keys[i])
			}
		}
		taken = append(taken, address)
		keys = append(keys, a.key)
	}
}

// clash reports whether two sockets cannot be open together: an unspecified
// address takes the port on all addresses of the VM.
func clash(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (c *checker) address(key, value string) (netip.AddrPort, bool) {
	if value == "" {
		c.report(key, "is missing")
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.report(key, "%q must be an IP number and a port, such as 10.0.0.7:8000", value)
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), true
}

// gateway checks what a daemon on a platform with a metadata store needs.
func (c *checker) gateway(s *Settings) {
	g := &s.Gateway
	c.address("gateway.store", g.Store)
	c.duration("gateway.grace", g.Grace)
	c.duration("gateway.retryWindow", g.RetryWindow)
	c.duration("gateway.limitWindow", g.LimitWindow)
	c.duration("gateway.applyWithin", g.ApplyWithin)
	if g.LimitOverage < 0 || g.LimitSlack < 0 {
		c.report("gateway.limitOverage", "limitOverage %v and limitSlack %v must not be below zero", g.LimitOverage, g.LimitSlack)
	}
	c.positive("gateway.memoryMb", float64(g.MemoryMB))
	if g.RetryRatio < 0 || g.RetrySlack < 0 {
		c.report("gateway.retryRatio", "retryRatio %v and retrySlack %d must not be below zero", g.RetryRatio, g.RetrySlack)
	}
	for dataCentre, region := range g.DataCentres {
		c.name("gateway.dataCentres", dataCentre, placePattern)
		c.name("gateway.dataCentres."+dataCentre, region, placePattern)
	}
	if g.DataCentres[s.DataCentre] != s.Region {
		c.report("gateway.dataCentres", "data centre %q must be listed with region %q", s.DataCentre, s.Region)
	}
}

func (c *checker) platform(p Platform) {
	c.baseURL("platform.table", p.Table)
	c.baseURL("platform.objects", p.Objects)
	c.baseURL("platform.weights", p.Weights)
	c.baseURL("platform.vms", p.VMs)
}

// baseURL checks a URL whose host is an IP number. The message leaves out the
// URL's user part, which may hold a password.
func (c *checker) baseURL(key, value string) {
	if value == "" {
		c.report(key, "is missing")
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.report(key, "must be a URL such as http://10.0.0.9:9000")
		return
	}
	if u.User != nil {
		c.report(key, "must not hold a user or a password")
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.report(key, "host %q must be an IP number", u.Hostname())
	}
}

func (c *checker) seeds(s *Settings) {
	for i, seed := range s.Seeds {
		key := fmt.Sprintf("seeds[%d]", i)
		c.name(key+".name", seed.Name, namePattern)
		c.name(key+".dataCentre", seed.DataCentre, placePattern)
		address, ok := c.address(key+".address", seed.Address)
		if ok && (address.Port() == 0 || address.Addr().IsUnspecified()) {
			c.report(key+".address", "%q is not the address of one daemon", seed.Address)
		}
		if slices.ContainsFunc(s.Seeds[:i], func(o Seed) bool { return o.Address == seed.Address }) {
			c.report(key+".address", "address %s is listed twice", seed.Address)
		}
	}
}

func (c *checker) tls(t TLS) {
	files := []struct{ key, value string }{
		{"tls.certificate", t.Certificate},
		{"tls.key", t.Key},
		{"tls.authority", t.Authority},
	}
	if t == (TLS{}) {
		return
	}
	for _, f := range files {
		if f.value == "" {
			c.report(f.key, "is missing: certificate, key and authority are set together or not at all")
		}
	}
}

// tokens checks the length of tokens and that no two names share one. Messages
// name the holders and never the token.
func (c *checker) tokens(t Tokens) {
	holders := map[string]string{}
	c.tokenMap("tokens.operators", t.Operators, holders)
	c.tokenMap("tokens.callers", t.Callers, holders)
}

func (c *checker) tokenMap(key string, tokens map[string]Secret, holders map[string]string) {
	names := make([]string, 0, len(tokens))
	for name := range tokens {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		at := key + "." + name
		token := tokens[name].Reveal()
		if len(token) < minTokenLength {
			c.report(at, "token has %d bytes, at least %d are required", len(token), minTokenLength)
			continue
		}
		if strings.ContainsFunc(token, func(r rune) bool { return r <= ' ' || r > '~' }) {
			c.report(at, "token must hold printable ASCII characters without spaces")
		}
		if other, taken := holders[token]; taken {
			c.report(at, "token is the same as that of %s", other)
			continue
		}
		holders[token] = at
	}
}

func (c *checker) limits(l Limits) {
	c.positive("limits.bodyBytes", float64(l.BodyBytes))
	c.positive("limits.headerBytes", float64(l.HeaderBytes))
	c.positive("limits.openRequests", float64(l.OpenRequests))
	c.positive("limits.storeReads", l.StoreReads)
	c.positive("limits.storeWrites", l.StoreWrites)
	c.duration("limits.headerTimeout", l.HeaderTimeout)
	c.duration("limits.idleTimeout", l.IdleTimeout)
	c.duration("limits.drain", l.Drain)
	c.duration("limits.shutdown", l.Shutdown)
}

func (c *checker) positive(key string, value float64) {
	if value < 1 || value > math.MaxInt64 {
		c.report(key, "%v must be at least 1", value)
	}
}

func (c *checker) duration(key string, value time.Duration) {
	if value <= 0 {
		c.report(key, "%v must be above zero", value)
	}
}

func (c *checker) log(l Log) {
	if _, err := logrus.ParseLevel(l.Level); err != nil {
		c.report("log.level", "%q is not one of panic, fatal, error, warn, info, debug, trace", l.Level)
	}
	if l.Format != "json" && l.Format != "text" {
		c.report("log.format", "%q must be json or text", l.Format)
	}
}
