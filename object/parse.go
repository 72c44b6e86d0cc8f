package object

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/marjoramflow/marjoramflow/internal/yamldoc"
)

// Parse reads the objects of one file in YAML. The name is used in positions
// only. Unknown keys, values of the wrong type and missing units are problems.
// The set holds what could be read even if there are problems, so that Check can
// report further ones.
func Parse(name string, data []byte) (*Set, Problems) {
	set := &Set{}
	result := yamldoc.Decode(data, set)
	set.Positions = make(Positions, len(result.Positions))
	for path, at := range result.Positions {
		set.Positions[path] = Position{File: name, Line: at.Line, Column: at.Column}
	}
	var problems Problems
	names := set.allNames()
	for _, issue := range result.Issues {
		kind, object, field := resolvePath(issue.Path, names)
		problems = append(problems, Problem{
			Position: Position{File: name, Line: issue.Line, Column: issue.Column},
			Kind:     kind,
			Object:   object,
			Field:    field,
			Message:  issue.Message,
		})
	}
	return set, problems
}

// File is the name and content of one file of objects.
type File struct {
	Name string
	Data []byte
}

// ParseFiles parses, merges and checks files. It returns the merged set and the
// problems of all files. A value that cannot be read is reported once: what Check
// finds about the zero value in its place is left out.
func ParseFiles(files ...File) (*Set, Problems) {
	sets := make([]*Set, len(files))
	var problems Problems
	for i, file := range files {
		var found Problems
		sets[i], found = Parse(file.Name, file.Data)
		problems = append(problems, found...)
	}
	type location struct {
		file, field string
		line        int
	}
	unreadable := map[location]bool{}
	for _, p := range problems {
		unreadable[location{p.File, p.Field, p.Line}] = true
	}
	merged := Merge(sets...)
	for _, p := range merged.Check() {
		if !unreadable[location{p.File, p.Field, p.Line}] {
			problems = append(problems, p)
		}
	}
	return merged, problems
}

// Merge joins sets that were read from several files. Objects that appear in
// more than one of them are kept, so that Check reports them with their positions.
func Merge(sets ...*Set) *Set {
	merged := &Set{Positions: Positions{}}
	for _, s := range sets {
		merged.addPositions(s)
		merged.Services = append(merged.Services, s.Services...)
		merged.Targets = append(merged.Targets, s.Targets...)
		merged.Versions = append(merged.Versions, s.Versions...)
		merged.Tiers = append(merged.Tiers, s.Tiers...)
		merged.ClientAccounts = append(merged.ClientAccounts, s.ClientAccounts...)
		merged.Moves = append(merged.Moves, s.Moves...)
		merged.Ingresses = append(merged.Ingresses, s.Ingresses...)
		merged.Evacuations = append(merged.Evacuations, s.Evacuations...)
	}
	return merged
}

// addPositions copies the positions of other into s. The indexes are shifted by
// the number of objects that s already holds.
func (s *Set) addPositions(other *Set) {
	existing := s.allNames()
	for path, position := range other.Positions {
		kind, index, field, ok := splitPath(path)
		if !ok {
			continue
		}
		s.Positions[joinPath(kind, index+len(existing[kind]), field)] = position
	}
}

// resolvePath returns the kind, the label of the object and the field that a path
// in a file refers to. A path that leads to no object is returned as the field.
func resolvePath(path string, names map[Kind][]string) (Kind, string, string) {
	kind, index, field, ok := splitPath(path)
	if !ok {
		return "", "", path
	}
	return kind, objectLabel(names[kind], index), field
}

// objectLabel returns the name of an object or, if it has none, its number in the
// list, such as "#3", counted from 1.
func objectLabel(names []string, index int) string {
	if index < len(names) && names[index] != "" {
		return names[index]
	}
	return "#" + strconv.Itoa(index+1)
}

// splitPath splits "targets[3].address" into its kind, index and field.
func splitPath(path string) (kind Kind, index int, field string, ok bool) {
	list, rest, found := strings.Cut(path, "[")
	if !found {
		return "", 0, "", false
	}
	number, rest, found := strings.Cut(rest, "]")
	if !found {
		return "", 0, "", false
	}
	index, err := strconv.Atoi(number)
	if err != nil {
		return "", 0, "", false
	}
	for _, k := range Kinds() {
		if k.listKey() == list {
			return k, index, strings.TrimPrefix(rest, "."), true
		}
	}
	return "", 0, "", false
}

func joinPath(kind Kind, index int, field string) string {
	path := fmt.Sprintf("%s[%d]", kind.listKey(), index)
	if field != "" {
		path += "." + field
	}
	return path
}
