package object

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// ChangeOp is the kind of a change of an object.
type ChangeOp string

const (
	// Added objects are in the second set only.
	Added ChangeOp = "added"
	// Removed objects are in the first set only.
	Removed ChangeOp = "removed"
	// Changed objects are in both sets with different content.
	Changed ChangeOp = "changed"
)

// Change is the difference of one object between two sets.
type Change struct {
	Op   ChangeOp `json:"op" yaml:"op"`
	Kind Kind     `json:"kind" yaml:"kind"`
	Name string   `json:"name" yaml:"name"`
	// Fields lists the fields of a changed object; empty for other changes.
	Fields []FieldChange `json:"fields,omitempty" yaml:"fields,omitempty"`
}

// FieldChange is the difference of one field. The values are text for people.
type FieldChange struct {
	Field  string `json:"field" yaml:"field"`
	Before string `json:"before" yaml:"before"`
	After  string `json:"after" yaml:"after"`
}

// String returns the change in one line.
func (c Change) String() string {
	text := fmt.Sprintf("%s %s %q", c.Op, c.Kind, c.Name)
	for _, f := range c.Fields {
		text += fmt.Sprintf("; %s: %s -> %s", f.Field, f.Before, f.After)
	}
	return text
}

// Diff returns the changes that lead from a to b, in the order of kinds and names.
// Objects with the same name are compared in pairs; names are unique in sets that
// pass Check.
func Diff(a, b *Set) []Change {
	var changes []Change
	changes = append(changes, diffKind(KindService, a.Services, b.Services)...)
	changes = append(changes, diffKind(KindTarget, a.Targets, b.Targets)...)
	changes = append(changes, diffKind(KindVersion, a.Versions, b.Versions)...)
	changes = append(changes, diffKind(KindTier, a.Tiers, b.Tiers)...)
	changes = append(changes, diffKind(KindClientAccount, a.ClientAccounts, b.ClientAccounts)...)
	changes = append(changes, diffKind(KindMove, a.Moves, b.Moves)...)
	changes = append(changes, diffKind(KindIngress, a.Ingresses, b.Ingresses)...)
	changes = append(changes, diffKind(KindEvacuation, a.Evacuations, b.Evacuations)...)
	return changes
}

func diffKind[T named](kind Kind, a, b []T) []Change {
	var changes []Change
	walkPairs(a, b, func(before, after *T) {
		switch {
		case after == nil:
			changes = append(changes, Change{Op: Removed, Kind: kind, Name: (*before).objectName()})
		case before == nil:
			changes = append(changes, Change{Op: Added, Kind: kind, Name: (*after).objectName()})
		case !sameObject(*before, *after):
			changes = append(changes, Change{
				Op:     Changed,
				Kind:   kind,
				Name:   (*after).objectName(),
				Fields: fieldChanges(*before, *after),
			})
		}
	})
	return changes
}

// walkPairs calls visit for the objects of both lists, paired by name and in name
// order. For an object that is in one list only, the other argument is nil.
func walkPairs[T named](a, b []T, visit func(before, after *T)) {
	a, b = sortedByName(a), sortedByName(b)
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case j == len(b) || (i < len(a) && a[i].objectName() < b[j].objectName()):
			visit(&a[i], nil)
			i++
		case i == len(a) || b[j].objectName() < a[i].objectName():
			visit(nil, &b[j])
			j++
		default:
			visit(&a[i], &b[j])
			i++
			j++
		}
	}
}

// fieldChanges returns the fields of two objects that differ, named by their YAML
// keys.
func fieldChanges[T named](before, after T) []FieldChange {
	var changes []FieldChange
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
		x, y := fieldText(a.Field(i)), fieldText(b.Field(i))
		if x != y {
			changes = append(changes, FieldChange{Field: name, Before: x, After: y})
		}
	}
	return changes
}

func fieldText(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case string:
		return fmt.Sprintf("%q", value)
	case []string:
		return fmt.Sprintf("%q", value)
	case time.Time:
		return value.UTC().Format(time.RFC3339Nano)
	default:
		return fmt.Sprintf("%+v", value)
	}
}
