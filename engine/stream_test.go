package engine

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a finish reason that is missed, or seen where there is none, in frames
// that are not decoded.
func TestFinishReasonIsFound(t *testing.T) {
	cases := []struct {
		name, choices string
		last          bool
	}{
		{"no choices", ``, false},
		{"empty", `[]`, false},
		{"null", `[{"index":0,"delta":{"content":"a"},"finish_reason":null}]`, false},
		{"set", `[{"index":0,"delta":{},"finish_reason":"stop"}]`, true},
		{"spaces", `[ {"index":0, "finish_reason" : "length"} ]`, true},
		{"absent", `[{"index":0,"delta":{"content":"a"}}]`, false},
		{"one of two", `[{"index":0,"finish_reason":null},{"index":1,"finish_reason":"stop"}]`, true},
		{"null in the text, set in the frame", `[{"delta":{"content":"\"finish_reason\":null"},"finish_reason":"stop"}]`, true},
		{"set in the text, null in the frame", `[{"delta":{"content":"\"finish_reason\":\"stop\""},"finish_reason":null}]`, false},
	}
	for _, c := range cases {
		f := &Frame{Choices: []byte(c.choices)}
		if c.choices == "" {
			f.Choices = nil
		}
		last, err := f.hasFinishReason()
		assert.NilError(t, err, c.name)
		assert.Equal(t, last, c.last, c.name)
	}
}

// Guards against relaying choices that are not a JSON array.
func TestChoicesMustBeAnArray(t *testing.T) {
	f := &Frame{Choices: []byte(`{"finish_reason":null}`)}
	_, err := f.hasFinishReason()
	assert.Assert(t, err != nil)
}
