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
	KindEvacuation    Kind = "evacuation"
)

// Kinds returns all kinds in the order of the fields of Set.
func Kinds() []Kind {
	return []Kind{KindService, KindTarget, KindVersion, KindTier, KindClientAccount, KindMove, KindIngress, KindEvacuation}
}

// listKey returns the key of the kind's list in a file, such as "targets".
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

// Equal always returns true, so that sets that were read from different files are
// equal if their objects are. Comparison libraries for tests call it.
func (p Positions) Equal(Positions) bool {
	return true
}

// find returns the position of the value at path or, if that is unknown, of the
// innermost enclosing value that has one. It returns the zero Position if there
// is none.
func (p Positions) find(path string) Position {
	for path != "" {
		if position, ok := p[path]; ok {
			return position
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return Position{}
}

// Locate returns the problems with positions added to those that have none, such
// as problems that a daemon found in the same set. For an object that appears
// twice, it adds the position of the first one.
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

// Problem is one violation of a rule in a set.
type Problem struct {
	Position
	Kind Kind `json:"kind,omitempty"`
	// Object is the object's name or, if it has none, its number in the list,
	// such as "#3", counted from 1.
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

// Problems lists all problems that were found; it is empty if there are none.
type Problems []Problem

// Err returns the problems as a *ProblemsError, or nil if there are none.
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
