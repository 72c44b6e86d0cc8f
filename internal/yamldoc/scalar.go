package yamldoc

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"regexp"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// scalarFunc sets target from node. It returns a message if the node has no valid
// value for the target, else "".
type scalarFunc func(node ast.Node, target reflect.Value) string

var (
	durationType        = reflect.TypeFor[time.Duration]()
	timeType            = reflect.TypeFor[time.Time]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// scalarDecoder returns the function that decodes scalars of the target's type, and
// false if the type is no scalar.
func scalarDecoder(target reflect.Value) (scalarFunc, bool) {
	switch {
	case target.Type() == durationType:
		return setDuration, true
	case target.Type() == timeType:
		return setTime, true
	case target.Addr().Type().Implements(textUnmarshalerType):
		return setTextUnmarshaler, true
	}
	switch target.Kind() {
	case reflect.String:
		return setString, true
	case reflect.Bool:
		return setBool, true
	case reflect.Int, reflect.Int64:
		return setInt, true
	case reflect.Float64:
		return setFloat, true
	}
	return nil, false
}

func setString(node ast.Node, target reflect.Value) string {
	text, ok := textOf(node)
	if !ok {
		return fmt.Sprintf("must be text, found %s; put it in quotes if it is meant as text", describeKind(node))
	}
	target.SetString(text)
	return ""
}

func setTextUnmarshaler(node ast.Node, target reflect.Value) string {
	text, ok := textOf(node)
	if !ok {
		return fmt.Sprintf("must be text, found %s; put it in quotes if it is meant as text", describeKind(node))
	}
	if err := target.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
		return err.Error()
	}
	return ""
}

func setBool(node ast.Node, target reflect.Value) string {
	value, ok := node.(*ast.BoolNode)
	if !ok {
		return fmt.Sprintf("must be true or false, found %s", describeKind(node))
	}
	target.SetBool(value.Value)
	return ""
}

func setInt(node ast.Node, target reflect.Value) string {
	integer, ok := node.(*ast.IntegerNode)
	if !ok {
		return fmt.Sprintf("must be a whole number without a unit, found %s", describeKind(node))
	}
	switch value := integer.Value.(type) {
	case int64:
		target.SetInt(value)
		return ""
	case uint64:
		if value <= math.MaxInt64 {
			target.SetInt(int64(value))
			return ""
		}
	}
	return "number is out of range"
}

func setFloat(node ast.Node, target reflect.Value) string {
	switch number := node.(type) {
	case *ast.FloatNode:
		target.SetFloat(number.Value)
	case *ast.IntegerNode:
		switch value := number.Value.(type) {
		case int64:
			target.SetFloat(float64(value))
		case uint64:
			target.SetFloat(float64(value))
		}
	default:
		value, ok := parseUnquotedNumber(node)
		if !ok {
			return fmt.Sprintf("must be a finite number without a unit, found %s", describeKind(node))
		}
		target.SetFloat(value)
	}
	if math.IsInf(target.Float(), 0) || math.IsNaN(target.Float()) {
		target.SetFloat(0)
		return "must be a finite number"
	}
	return ""
}

// decimalNumber matches the decimal numbers of YAML 1.2.
var decimalNumber = regexp.MustCompile(`^[-+]?(\.[0-9]+|[0-9]+(\.[0-9]*)?)([eE][-+]?[0-9]+)?$`)

// parseUnquotedNumber parses unquoted numbers that are valid in YAML 1.2 but that
// the YAML library returns as text: those with an exponent, such as 1e+06, and
// those above 64 bits.
func parseUnquotedNumber(node ast.Node) (float64, bool) {
	text, ok := node.(*ast.StringNode)
	if !ok || text.Token.Type != token.StringType || !decimalNumber.MatchString(text.Value) {
		return 0, false
	}
	// Numbers out of range become infinite, which the caller rejects.
	value, _ := strconv.ParseFloat(text.Value, 64)
	return value, true
}

func setDuration(node ast.Node, target reflect.Value) string {
	text, ok := textOf(node)
	if !ok {
		return fmt.Sprintf(`needs a duration with its unit, such as "5s" or "200ms", found %s`, describeKind(node))
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Sprintf(`needs a duration with its unit, such as "5s" or "200ms", found %q`, text)
	}
	target.SetInt(int64(value))
	return ""
}

func setTime(node ast.Node, target reflect.Value) string {
	const want = `needs a time with its zone, such as "2027-03-01T18:00:00Z"`
	text, ok := textOf(node)
	if !ok {
		return fmt.Sprintf("%s, found %s", want, describeKind(node))
	}
	value, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return fmt.Sprintf("%s, found %q", want, text)
	}
	target.Set(reflect.ValueOf(value.UTC()))
	return ""
}
