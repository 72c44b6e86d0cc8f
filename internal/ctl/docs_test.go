package ctl

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/metrics"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/settings"
)

// readGuide returns the operators' guide.
func readGuide(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../docs/operators.md")
	assert.NilError(t, err)
	return string(data)
}

// Guards against examples in the operators' guide that the programs refuse.
func TestGuideExamplesAreValid(t *testing.T) {
	blocks := regexp.MustCompile("(?s)```yaml\n(.*?)```").FindAllStringSubmatch(readGuide(t), -1)
	assert.Equal(t, len(blocks), 2)
	_, err := settings.Parse("settings", []byte(blocks[0][1]))
	assert.NilError(t, err)
	_, problems := object.ParseFiles(object.File{Name: "objects", Data: []byte(blocks[1][1])})
	assert.NilError(t, problems.Err())
}

// Guards against settings, object fields, outcomes, commands and exit codes that
// the operators' guide does not list.
func TestGuideIsComplete(t *testing.T) {
	guide := readGuide(t)
	for _, key := range yamlKeys(reflect.TypeFor[settings.Settings](), "") {
		assert.Check(t, strings.Contains(guide, "`"+key+"`"), "setting %s is missing", key)
	}
	for _, key := range yamlKeys(reflect.TypeFor[object.Set](), "") {
		name := key[strings.LastIndexByte(key, '.')+1:]
		assert.Check(t, strings.Contains(guide, "`"+name+"`") || strings.Contains(guide, name+":"), "field %s is missing", key)
	}
	for _, outcome := range []metrics.Outcome{metrics.Done, metrics.Failed, metrics.Unknown, metrics.Canceled, metrics.Shed,
		metrics.Late, metrics.Limited, metrics.Quarantined, metrics.Invalid, metrics.Unavailable} {
		assert.Check(t, strings.Contains(guide, "| `"+string(outcome)+"` |"), "outcome %s is missing", outcome)
	}
	for _, c := range (&tool{}).rootCommand().Commands() {
		assert.Check(t, strings.Contains(guide, "`"+c.Name()), "command %s is missing", c.Name())
	}
	for line := range strings.Lines(exitHelp) {
		code, meaning, found := strings.Cut(strings.TrimSpace(line), "  ")
		assert.Check(t, !found || strings.Contains(guide, "| "+code+" | "+meaning+" |"), "exit code %s differs", code)
	}
}

// yamlKeys returns the YAML keys of a struct and of the structs nested in it, as
// paths such as "listen.admin".
func yamlKeys(t reflect.Type, prefix string) []string {
	for t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	var keys []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		field := t.Field(i).Type
		for field.Kind() == reflect.Slice {
			field = field.Elem()
		}
		switch {
		case name == "-":
		case field.Kind() == reflect.Struct && strings.Contains(field.PkgPath(), "marjoramflow") && field.NumField() > 1:
			keys = append(keys, yamlKeys(field, prefix+name+".")...)
		default:
			keys = append(keys, prefix+name)
		}
	}
	return keys
}
