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
	"unicode"

	"github.com/sirupsen/logrus"

	"github.com/marjoramflow/marjoramflow/internal/yamldoc"
)

// minTokenBytes is the minimum length of a token. Shorter tokens can be guessed.
const minTokenBytes = 16

// maxNameBytes is the maximum length of a name. It is bounded because messages
// between daemons contain names.
const maxNameBytes = 63

// maxForeignNameBytes is the maximum length of a name that a platform chooses. Row keys of at
// most 200 bytes contain it.
const maxForeignNameBytes = 160

var (
	// namePattern matches daemon names. It permits colons, since names may be
	// derived from addresses.
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)
	// locationPattern matches names of data centres and regions, in the form that
	// objects permit.
	locationPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
)

// Problem is one error in the settings.
type Problem struct {
	// File and Line give the position in the settings file. Line is 0 if the
	// position is unknown.
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

// Problems is an error that lists all problems of the settings.
type Problems []Problem

// Error returns all problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Check returns nil or an error of type Problems with all problems that can be
// found without reading other files or opening connections.
func (s *Settings) Check() error {
	c := &checker{foreignNames: s.Gateway.Enabled()}
	c.checkName("name", s.Name, namePattern)
	c.checkName("dataCentre", s.DataCentre, locationPattern)
	c.checkName("region", s.Region, locationPattern)
	c.checkListen(s)
	if s.Gateway.Enabled() {
		c.checkGateway(s)
	} else {
		c.checkPlatform(s.Platform)
	}
	c.checkSeeds(s)
	c.checkTLS(s.TLS)
	c.checkTokens(s.Tokens)
	c.checkLimits(s.Limits)
	c.checkLog(s.Log)
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

// withPositions adds file and line to the problems and returns them. A problem
// whose key is not in the file gets the line of the nearest enclosing key.
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

// checker collects the problems that its methods find.
type checker struct {
	problems Problems
	// foreignNames is set if a platform chooses the names of daemons and locations.
	foreignNames bool
}

func (c *checker) report(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Key: key, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkName(key, value string, pattern *regexp.Regexp) {
	switch {
	case value == "":
		c.report(key, "is missing")
	case c.foreignNames:
		if len(value) > maxForeignNameBytes || strings.ContainsFunc(value, unicode.IsControl) {
			c.report(key, "%q must have at most %d bytes and no control characters", value, maxForeignNameBytes)
		}
	case len(value) > maxNameBytes || !pattern.MatchString(value):
		c.report(key, "%q must have at most %d characters of the form %s", value, maxNameBytes, pattern)
	}
}

// checkListen checks that the required addresses are set and that no two of them
// clash.
func (c *checker) checkListen(s *Settings) {
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
		address, ok := c.checkAddress(a.key, a.value)
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

// clash reports whether the daemon cannot listen on both addresses. An
// unspecified IP address occupies the port on all addresses of the VM.
func clash(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (c *checker) checkAddress(key, value string) (netip.AddrPort, bool) {
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

// maxOverflowMsPerMB bounds the cost of a megabyte in milliseconds. No request waits for an
// hour, so a larger figure is a mistake of units.
const maxOverflowMsPerMB = 3.6e6

// checkGateway checks the settings of a daemon on a platform with a metadata
// store, except for its listen addresses.
func (c *checker) checkGateway(s *Settings) {
	g := &s.Gateway
	c.checkAddress("gateway.store", g.Store)
	c.checkNotNegative("gateway.grace", g.Grace)
	c.checkDuration("gateway.retryWindow", g.RetryWindow)
	c.checkDuration("gateway.limitWindow", g.LimitWindow)
	c.checkNotNegative("gateway.applyWithin", g.ApplyWithin)
	if g.LimitOverage < 0 || g.LimitSlack < 0 {
		c.report("gateway.limitOverage", "limitOverage %v and limitSlack %v must not be below zero", g.LimitOverage, g.LimitSlack)
	}
	if g.ColdOverage < 0 || g.ColdSlack < 0 {
		c.report("gateway.coldOverage", "coldOverage %v and coldSlack %v must not be below zero", g.ColdOverage, g.ColdSlack)
	}
	c.checkAtLeastOne("gateway.memoryMb", g.MemoryMB)
	if g.RetryRatio < 0 || g.RetrySlack < 0 {
		c.report("gateway.retryRatio", "retryRatio %v and retrySlack %v must not be below zero", g.RetryRatio, g.RetrySlack)
	}
	if o := g.Overflow; !(o.NearbyMsPerMB >= 0 && o.FarMsPerMB >= o.NearbyMsPerMB && o.FarMsPerMB <= maxOverflowMsPerMB) {
		c.report("gateway.overflow", "nearbyMsPerMb %v and farMsPerMb %v must rise from 0 to at most %v", o.NearbyMsPerMB, o.FarMsPerMB, maxOverflowMsPerMB)
	}
	for dataCentre, region := range g.DataCentres {
		c.checkName("gateway.dataCentres", dataCentre, locationPattern)
		c.checkName("gateway.dataCentres."+dataCentre, region, locationPattern)
	}
	if g.DataCentres[s.DataCentre] != s.Region {
		c.report("gateway.dataCentres", "data centre %q must be listed with region %q", s.DataCentre, s.Region)
	}
}

func (c *checker) checkPlatform(p Platform) {
	c.checkBaseURL("platform.table", p.Table)
	c.checkBaseURL("platform.objects", p.Objects)
	c.checkBaseURL("platform.weights", p.Weights)
	c.checkBaseURL("platform.vms", p.VMs)
}

// checkBaseURL checks that a URL is http or https and that its host is an IP
// address. The messages leave out the user part of the URL, which may contain a
// password.
func (c *checker) checkBaseURL(key, value string) {
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

func (c *checker) checkSeeds(s *Settings) {
	for i, seed := range s.Seeds {
		key := fmt.Sprintf("seeds[%d]", i)
		c.checkName(key+".name", seed.Name, namePattern)
		c.checkName(key+".dataCentre", seed.DataCentre, locationPattern)
		address, ok := c.checkAddress(key+".address", seed.Address)
		if ok && (address.Port() == 0 || address.Addr().IsUnspecified()) {
			c.report(key+".address", "%q is not the address of one daemon", seed.Address)
		}
		if slices.ContainsFunc(s.Seeds[:i], func(o Seed) bool { return o.Address == seed.Address }) {
			c.report(key+".address", "address %s is listed twice", seed.Address)
		}
	}
}

func (c *checker) checkTLS(t TLS) {
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

// checkTokens checks the length and the characters of tokens, and that no two
// names share a token. The messages contain the names and never the token.
func (c *checker) checkTokens(t Tokens) {
	keyByToken := map[string]string{}
	c.checkTokenMap("tokens.operators", t.Operators, keyByToken)
	c.checkTokenMap("tokens.callers", t.Callers, keyByToken)
}

// checkTokenMap checks tokens by name. keyByToken maps the tokens seen so far to
// their settings keys.
func (c *checker) checkTokenMap(key string, tokens map[string]Secret, keyByToken map[string]string) {
	names := make([]string, 0, len(tokens))
	for name := range tokens {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		tokenKey := key + "." + name
		token := tokens[name].Reveal()
		if len(token) < minTokenBytes {
			c.report(tokenKey, "token has %d bytes, at least %d are required", len(token), minTokenBytes)
			continue
		}
		if strings.ContainsFunc(token, func(r rune) bool { return r <= ' ' || r > '~' }) {
			c.report(tokenKey, "token must hold printable ASCII characters without spaces")
		}
		if other, taken := keyByToken[token]; taken {
			c.report(tokenKey, "token is the same as that of %s", other)
			continue
		}
		keyByToken[token] = tokenKey
	}
}

func (c *checker) checkLimits(l Limits) {
	c.checkAtLeastOne("limits.bodyBytes", float64(l.BodyBytes))
	c.checkAtLeastOne("limits.headerBytes", float64(l.HeaderBytes))
	c.checkAtLeastOne("limits.openRequests", float64(l.OpenRequests))
	c.checkAtLeastOne("limits.storeReads", l.StoreReads)
	c.checkAtLeastOne("limits.storeWrites", l.StoreWrites)
	c.checkDuration("limits.headerTimeout", l.HeaderTimeout)
	c.checkDuration("limits.idleTimeout", l.IdleTimeout)
	c.checkDuration("limits.drain", l.Drain)
	c.checkDuration("limits.shutdown", l.Shutdown)
}

func (c *checker) checkAtLeastOne(key string, value float64) {
	if value < 1 || value > math.MaxInt64 {
		c.report(key, "%v must be at least 1", value)
	}
}

func (c *checker) checkDuration(key string, value time.Duration) {
	if value <= 0 {
		c.report(key, "%v must be above zero", value)
	}
}

func (c *checker) checkNotNegative(key string, value time.Duration) {
	if value < 0 {
		c.report(key, "%v must not be below zero", value)
	}
}

func (c *checker) checkLog(l Log) {
	if _, err := logrus.ParseLevel(l.Level); err != nil {
		c.report("log.level", "%q is not one of panic, fatal, error, warn, info, debug, trace", l.Level)
	}
	if l.Format != "json" && l.Format != "text" {
		c.report("log.format", "%q must be json or text", l.Format)
	}
}
