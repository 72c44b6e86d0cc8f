package yamldoc

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type item struct {
	Name  string  `yaml:"name"`
	Count int64   `yaml:"count"`
	Rate  float64 `yaml:"rate"`
}

type document struct {
	Title  string            `yaml:"title"`
	Every  time.Duration     `yaml:"every"`
	At     time.Time         `yaml:"at"`
	On     bool              `yaml:"on"`
	Items  []item            `yaml:"items"`
	Labels map[string]string `yaml:"labels"`
	hidden string
}

// Guards against values that Decode loses or changes.
func TestDecode(t *testing.T) {
	var got document
	result := Decode([]byte(`# comment
title: |
  two
  lines
every: 1m30s
at: 2027-03-01T23:00:00+05:00
on: true
items:
  - {name: a, count: -3, rate: 2}
  - name: b
    rate: 1e3
labels:
  x: "1"
---
items:
- name: c
`), &got)
	assert.Equal(t, len(result.Issues), 0, "%v", result.Issues)
	assert.Equal(t, got.Title, "two\nlines\n")
	assert.Equal(t, got.Every, 90*time.Second)
	assert.Equal(t, got.At, time.Date(2027, 3, 1, 18, 0, 0, 0, time.UTC))
	assert.Assert(t, got.On)
	assert.DeepEqual(t, got.Items, []item{{"a", -3, 2}, {"b", 0, 1000}, {Name: "c"}})
	assert.DeepEqual(t, got.Labels, map[string]string{"x": "1"})
	assert.Equal(t, got.hidden, "")
	assert.Equal(t, result.Positions["items[1].rate"], Position{Line: 11, Column: 5})
	assert.Equal(t, result.Positions["items[2]"], Position{Line: 16, Column: 3})
}

// Guards against YAML that differs from the JSON it was converted from.
func TestFromJSON(t *testing.T) {
	got, err := FromJSON([]byte(`{"b": [], "a": {"x": "1", "y": null}, "l": [[1, "on"], {"k": {}, "m": [{"n": 2}]}], "s": "a: b\n"}`))
	assert.NilError(t, err)
	assert.Equal(t, string(got), `b: []
a:
  x: "1"
  y: null
l:
- - 1
  - "on"
- k: {}
  m:
  - n: 2
s: "a: b\n"
`)
	got, err = FromJSON([]byte(`[]`))
	assert.NilError(t, err)
	assert.Equal(t, string(got), "[]\n")
	_, err = FromJSON([]byte(`{"a"`))
	assert.Assert(t, err != nil)
}

// Guards against invalid documents that are decoded in part without an issue.
func TestIssues(t *testing.T) {
	cases := []struct{ text, path, message string }{
		{"- a", "", "must be a mapping of keys to values, found a list"},
		{"title: a\n---\ntitle: b", "title", "key is given in an earlier document of the file"},
		{"items: 3", "items", "must be a list, found a whole number"},
		{"items: [3]", "items[0]", "must be a mapping of keys to values, found a whole number"},
		{"labels: [a]", "labels", "must be a mapping of keys to values, found a list"},
		{"labels: {a: b, a: c}", "labels.a", "key is given twice"},
		{"labels: {1: b}", "labels", "keys must be plain text"},
		{"hidden: x", "hidden", "unknown key; known keys are at, every, items, labels, on, title"},
		{"title:", "title", "must be text, found nothing; put it in quotes if it is meant as text"},
		{"title: !!str 5", "title", "tags are not supported"},
		{"<<: {title: x}", "", "keys must be plain text"},
		{"on: yes", "on", "must be true or false, found text"},
		{"items: [{count: 99999999999999999999}]", "items[0].count", "must be a whole number without a unit, found text"},
		{"items: [{count: 18446744073709551615}]", "items[0].count", "number is out of range"},
		{"every: 1e400s", "every", `needs a duration with its unit, such as "5s" or "200ms", found "1e400s"`},
		{"at: tomorrow", "at", `needs a time with its zone, such as "2027-03-01T18:00:00Z", found "tomorrow"`},
	}
	for _, tc := range cases {
		var got document
		result := Decode([]byte(tc.text), &got)
		assert.Equal(t, len(result.Issues), 1, "%s: %v", tc.text, result.Issues)
		assert.Equal(t, result.Issues[0].Path, tc.path, tc.text)
		assert.Equal(t, result.Issues[0].Message, tc.message, tc.text)
		assert.Assert(t, result.Issues[0].Line > 0, tc.text)
	}
}
