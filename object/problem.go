package object

import (
	"fmt"
	"strconv"
	"strings"
)

// Kind names a kind of object, as it appears in messages and in the
// administration API.
type Kind string

// The kinds of objects.
const (
	KindService       Kind = "service"
	KindTarget        Kind = "target"
	KindVersion       Kind = "version"
	KindTier          Kind = "tier"
	KindClientAccount Kind = "clientAccount"
	KindMove          Kind = "move"
	KindIngress       Kind = "ingress"
)

// Kinds lists all kinds in the order of a set.
func Kinds() []Kind {
	return []Kind{KindService, KindTarget, KindVersion, KindTier, KindClientAccount, KindMove, KindIngress}
}

// listKey is the key of the kind's list in a file, such as "targets".
func (k Kind) listKey() string {
	return string(k) + "s"
}

// Position is a place in a file. Line and Column count from 1.
type Position struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String returns "file:line:column" without the parts that are unknown.
func (p Position) String() string {
	text := p.File
	for _, number := range []int{p.Line, p.Column} {
		if number == 0 {
			break
		}
		if text != "" {
			text += ":"
		}
		text += strconv.Itoa(number)
	}
	return text
}

// Positions holds the position of each value by its path in the set, such as
// "targets[3].address".
type Positions map[string]Position

// Equal reports true: sets that were read from different places are equal when
// their objects are. Comparison libraries for tests call it.
func (p Positions) Equal(Positions) bool {
	return true
}

// findByName returns the position of the longest known prefix of path.
func (p Positions) find(path string) Position {
	for path != "" {
		if position, ok := p[path]; ok {
			return position
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return Position{}
}

// Locate adds positions to problems that were found elsewhere in the same set,
// such as by a daemon, where positions are unknown. An object that appears
// twice is found at its first place.
func (s *Set) Locate(problems Problems) Problems {
	indexes := map[Kind]map[string]int{}
	for kind, names := range s.allNames() {
		indexes[kind] = make(map[string]int, len(names))
		for i := range names {
			name := objectLabel(names, i)
			if _, taken := indexes[kind][name]; !taken {
				indexes[kind][name] = i
			}
		}
	}
	located := make(Problems, len(problems))
	for i, p := range problems {
		located[i] = p
		if index, ok := indexes[p.Kind][p.Object]; ok && p.Position == (Position{}) {
			located[i].Position = s.Positions.find(joinPath(p.Kind, index, p.Field))
		}
	}
	return located
}

// Problem is one fault of a set.
type Problem struct {
	Position
	Kind Kind `json:"kind,omitempty"`
	// Object is the object's name, or its place in the list, such as "#3", when
	// it has none.
	Object string `json:"object,omitempty"`
	// Field is the path within the object, such as "routes[0].path".
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String returns the problem in one line.
func (p Problem) String() string {
	var b strings.Builder
	if at := p.Position.String(); at != "" {
		b.WriteString(at + ": ")
	}
	if p.Kind != "" {
		fmt.Fprintf(&b, "%s %q: ", p.Kind, p.Object)
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems are all faults that were found; empty when there is none.
type Problems []Problem

// Err returns the problems as an error, or nil when there is none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return &ProblemsError{Problems: p}
}

// ProblemsError is the error form of Problems.
type ProblemsError struct {
	Problems Problems
}

// Error lists all problems, one a line.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
