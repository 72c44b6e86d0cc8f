package object

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// namePattern is the form of names. Such names can be used in URLs, in log fields
// and, since they hold no slashes, in row keys of the table service.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// textPattern is the form of text that other systems define, such as the name of
// a model: printable ASCII without spaces at the ends. It may be empty.
var textPattern = regexp.MustCompile(`^([!-~]([ -~]*[!-~])?)?$`)

const (
	// maxTextLength bounds text of the form of textPattern, in bytes.
	maxTextLength = 128
	// maxExternalLength bounds names and texts of an external set, in bytes.
	maxExternalLength = 1024
	// maxNameLength bounds names, in bytes, to keep messages between daemons, which
	// carry names, small.
	maxNameLength = 63
	// MaxTiers is the number of possible ranks, 0 to MaxTiers-1. It is bounded
	// since messages between daemons hold one number per tier.
	MaxTiers = 16
	// maxPathLength bounds the path of a route and the prefix of an ingress, in
	// bytes.
	maxPathLength = 512
	// tokenDigestLength is the length of a SHA-256 digest in hex.
	tokenDigestLength = 64
	// fullSharePercent is the share of traffic, in percent, of the last step of a move.
	fullSharePercent = 100
	// shareUnitsPerPercent is the number of the smallest shares of traffic, each
	// 1/10,000, in one percent.
	shareUnitsPerPercent = 100
)

// Check returns all problems of the set, sorted by position. A set without
// problems can be published. Check reads no clock; CheckChange covers the rules
// that depend on the time.
func (s *Set) Check() Problems {
	c := newChecker(s)
	c.checkNames()
	for i := range s.Services {
		c.checkService(i, &s.Services[i])
	}
	c.checkRouteClashes()
	for i := range s.Targets {
		c.checkTarget(i, &s.Targets[i])
	}
	c.checkAddressesAndRegions()
	for i := range s.Versions {
		c.checkVersion(i, &s.Versions[i])
	}
	for i := range s.Tiers {
		c.checkTier(i, &s.Tiers[i])
	}
	c.checkRanks()
	for i := range s.ClientAccounts {
		c.checkAccount(i, &s.ClientAccounts[i])
	}
	for i := range s.Moves {
		c.checkMove(i, &s.Moves[i])
	}
	c.checkMoveOverlap()
	for i := range s.Ingresses {
		c.checkIngress(i, &s.Ingresses[i])
	}
	c.checkIngressClashes()
	return c.sortedProblems()
}

// checker collects the problems of a set. Its maps of objects by name hold the
// first object of each name.
type checker struct {
	set      *Set
	names    map[Kind][]string
	services map[string]*Service
	versions map[string]*Version
	tiers    map[string]*Tier
	// servedVersions holds the versions that at least one target of their service
	// can serve.
	servedVersions map[string]bool
	// accountByDigest holds the index of the account that lists each token digest.
	accountByDigest map[string]int
	problems        Problems
}

func newChecker(s *Set) *checker {
	c := &checker{
		set:             s,
		names:           s.allNames(),
		services:        byName(s.Services),
		versions:        byName(s.Versions),
		tiers:           byName(s.Tiers),
		servedVersions:  map[string]bool{},
		accountByDigest: map[string]int{},
	}
	for _, t := range s.Targets {
		for _, name := range t.Versions {
			if v := c.versions[name]; v != nil && v.Service == t.Service {
				c.servedVersions[name] = true
			}
		}
	}
	return c
}

// byName returns the objects by name. Of objects with the same name, it holds the
// first.
func byName[T named](objects []T) map[string]*T {
	m := make(map[string]*T, len(objects))
	for i := range objects {
		if _, taken := m[objects[i].objectName()]; !taken {
			m[objects[i].objectName()] = &objects[i]
		}
	}
	return m
}

// report adds a problem of one field of an object.
func (c *checker) report(kind Kind, index int, field, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		Position: c.set.Positions.find(joinPath(kind, index, field)),
		Kind:     kind,
		Object:   objectLabel(c.names[kind], index),
		Field:    field,
		Message:  fmt.Sprintf(format, args...),
	})
}

// describe returns the kind, name and position of an object, for the message of
// a problem of another object.
func (c *checker) describe(kind Kind, index int) string {
	text := fmt.Sprintf("%s %q", kind, objectLabel(c.names[kind], index))
	if at := c.set.Positions.find(joinPath(kind, index, "")); at != (Position{}) {
		text += " (" + at.String() + ")"
	}
	return text
}

func (c *checker) sortedProblems() Problems {
	slices.SortStableFunc(c.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return c.problems
}

func (c *checker) checkNames() {
	for _, kind := range Kinds() {
		first := map[string]int{}
		for i, name := range c.names[kind] {
			if message := c.nameProblem(name); message != "" {
				c.report(kind, i, "name", "%s", message)
				continue
			}
			if earlier, taken := first[name]; taken {
				c.report(kind, i, "name", "name is already taken by %s", c.describe(kind, earlier))
				continue
			}
			first[name] = i
		}
	}
}

// nameProblem returns a message that says what is wrong with the name of an object or a
// location, or "". External names may have any form that fits a message and a header field.
func (c *checker) nameProblem(name string) string {
	switch {
	case !c.set.External || name == "":
		return nameProblem(name)
	case len(name) > maxExternalLength:
		return fmt.Sprintf("name has %d bytes, at most %d are allowed", len(name), maxExternalLength)
	case !isPlainText(name):
		return fmt.Sprintf("name %q holds control characters", name)
	}
	return ""
}

// isPlainText reports whether a text is UTF-8 without control characters.
func isPlainText(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsFunc(text, unicode.IsControl)
}

// nameProblem returns a message that says what is wrong with a name, or "".
func nameProblem(name string) string {
	switch {
	case name == "":
		return "name is missing"
	case len(name) > maxNameLength:
		return fmt.Sprintf("name has %d characters, at most %d are allowed", len(name), maxNameLength)
	case !namePattern.MatchString(name):
		return fmt.Sprintf("name %q may hold letters, digits, '.', '_' and '-' only and starts with a letter or a digit", name)
	}
	return ""
}

// checkText checks the length and the characters of text that another system
// defines.
func (c *checker) checkText(kind Kind, index int, field, text string) {
	if c.set.External && len(text) <= maxExternalLength && isPlainText(text) {
		return
	}
	if len(text) > maxTextLength || !textPattern.MatchString(text) {
		c.report(kind, index, field, "%q must be at most %d printable ASCII characters without spaces at the ends", text, maxTextLength)
	}
}

// checkReferences reports names in a list of references to objects of one kind
// that are unknown or repeated.
func (c *checker) checkReferences(kind Kind, index int, field string, names []string, known func(string) bool, referenced Kind) {
	seen := map[string]bool{}
	for i, name := range names {
		elementField := fmt.Sprintf("%s[%d]", field, i)
		if !known(name) {
			c.report(kind, index, elementField, "%s %q does not exist", referenced, name)
		}
		if seen[name] {
			c.report(kind, index, elementField, "%s %q is listed twice", referenced, name)
		}
		seen[name] = true
	}
}

func (c *checker) hasService(name string) bool { return c.services[name] != nil }
func (c *checker) hasVersion(name string) bool { return c.versions[name] != nil }
