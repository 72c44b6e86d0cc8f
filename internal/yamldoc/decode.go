package yamldoc

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Position is a position in a file. Line and Column count from 1; 0 is unknown.
type Position struct {
	Line   int
	Column int
}

// Issue is one error in a document.
type Issue struct {
	// Path names the value, such as "targets[3].address"; empty for the document.
	Path string
	Position
	Message string
}

// Result holds what Decode found besides the decoded value.
type Result struct {
	Issues []Issue
	// Positions holds the position of each value that was read, by its path.
	Positions map[string]Position
}

// Decode decodes data into out, a pointer to a struct with yaml tags. If data holds
// several documents, they are decoded in order: lists are appended to, and other
// values must not be given twice. Values without an issue are set even when others
// have one.
func Decode(data []byte, out any) Result {
	d := &decoder{result: Result{Positions: map[string]Position{}}}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxError(err)
		return d.result
	}
	target := reflect.ValueOf(out).Elem()
	for _, document := range file.Docs {
		if document.Body == nil || isEmpty(document.Body) {
			continue
		}
		d.decodeValue("", document.Body, target)
	}
	return d.result
}

type decoder struct {
	result Result
}

func (d *decoder) addSyntaxError(err error) {
	issue := Issue{Message: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		issue.Message = located.GetMessage()
		if t := located.GetToken(); t != nil && t.Position != nil {
			issue.Position = Position{Line: t.Position.Line, Column: t.Position.Column}
		}
	}
	d.result.Issues = append(d.result.Issues, issue)
}

func (d *decoder) addIssue(path string, node ast.Node, format string, args ...any) {
	d.result.Issues = append(d.result.Issues, Issue{
		Path:     path,
		Position: positionOf(node),
		Message:  fmt.Sprintf(format, args...),
	})
}

// decodeValue decodes node into target and reports whether target was set.
func (d *decoder) decodeValue(path string, node ast.Node, target reflect.Value) bool {
	if reason := unsupportedReason(node); reason != "" {
		d.addIssue(path, node, "%s", reason)
		return false
	}
	if decode, ok := scalarDecoder(target); ok {
		return d.decodeScalar(path, node, target, decode)
	}
	switch target.Kind() {
	case reflect.Struct:
		return d.decodeStruct(path, node, target)
	case reflect.Slice:
		return d.decodeList(path, node, target)
	case reflect.Map:
		return d.decodeMapping(path, node, target)
	default:
		d.addIssue(path, node, "values of type %s are not supported", target.Type())
		return false
	}
}

func (d *decoder) decodeScalar(path string, node ast.Node, target reflect.Value, decode scalarFunc) bool {
	if message := decode(node, target); message != "" {
		d.addIssue(path, node, "%s", message)
		return false
	}
	return true
}

// decodeStruct decodes a mapping into a struct by its yaml tags. It reports false
// when node is neither a mapping nor empty; issues of single fields do not count.
func (d *decoder) decodeStruct(path string, node ast.Node, target reflect.Value) bool {
	if isEmpty(node) {
		return true
	}
	pairs, ok := pairsOf(node)
	if !ok {
		d.addIssue(path, node, "must be a mapping of keys to values, found %s", describeKind(node))
		return false
	}
	fields := fieldIndexes(target.Type())
	seen := map[string]bool{}
	for _, pair := range pairs {
		key, ok := d.decodeKey(path, pair)
		if !ok {
			continue
		}
		index, known := fields[key]
		if !known {
			d.addIssue(join(path, key), pair.Key, "unknown key%s", suggestion(key, fields))
			continue
		}
		if seen[key] {
			d.addIssue(join(path, key), pair.Key, "key is given twice")
			continue
		}
		seen[key] = true
		child := join(path, key)
		if _, repeated := d.result.Positions[child]; repeated && target.Field(index).Kind() != reflect.Slice {
			d.addIssue(child, pair.Key, "key is given in an earlier document of the file")
			continue
		}
		d.result.Positions[child] = positionOf(pair.Key)
		d.decodeValue(child, pair.Value, target.Field(index))
	}
	return true
}

// decodeList appends the items of a sequence to a slice. It reports false when node
// is neither a sequence nor empty; issues of single items do not count.
func (d *decoder) decodeList(path string, node ast.Node, target reflect.Value) bool {
	if isEmpty(node) {
		return true
	}
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addIssue(path, node, "must be a list, found %s", describeKind(node))
		return false
	}
	for _, item := range sequence.Values {
		child := fmt.Sprintf("%s[%d]", path, target.Len())
		d.result.Positions[child] = positionOf(item)
		element := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(child, item, element)
		target.Set(reflect.Append(target, element))
	}
	return true
}

// decodeMapping adds the pairs of a mapping to a map with string keys. It reports
// false when node is neither a mapping nor empty; issues of single values do not
// count.
func (d *decoder) decodeMapping(path string, node ast.Node, target reflect.Value) bool {
	if isEmpty(node) {
		return true
	}
	pairs, ok := pairsOf(node)
	if !ok {
		d.addIssue(path, node, "must be a mapping of keys to values, found %s", describeKind(node))
		return false
	}
	if target.IsNil() {
		target.Set(reflect.MakeMap(target.Type()))
	}
	for _, pair := range pairs {
		key, ok := d.decodeKey(path, pair)
		if !ok {
			continue
		}
		child := join(path, key)
		mapKey := reflect.ValueOf(key)
		if target.MapIndex(mapKey).IsValid() {
			d.addIssue(child, pair.Key, "key is given twice")
			continue
		}
		d.result.Positions[child] = positionOf(pair.Key)
		element := reflect.New(target.Type().Elem()).Elem()
		if d.decodeValue(child, pair.Value, element) {
			target.SetMapIndex(mapKey, element)
		}
	}
	return true
}

func (d *decoder) decodeKey(path string, pair *ast.MappingValueNode) (string, bool) {
	text, ok := pair.Key.(*ast.StringNode)
	if !ok {
		d.addIssue(path, pair.Key, "keys must be plain text")
		return "", false
	}
	return text.Value, true
}

// fieldIndexes returns the index of each struct field by its yaml key.
func fieldIndexes(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

// suggestion names a known key that differs from the given one only in case, or
// lists all known keys.
func suggestion(key string, fields map[string]int) string {
	known := make([]string, 0, len(fields))
	for name := range fields {
		if strings.EqualFold(name, key) {
			return fmt.Sprintf("; did you mean %q?", name)
		}
		known = append(known, name)
	}
	slices.Sort(known)
	return "; known keys are " + strings.Join(known, ", ")
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
