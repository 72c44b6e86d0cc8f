package yamldoc

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strings"
)

// plainText matches text that needs no quotes in YAML: words, paths, durations,
// times and addresses.
var plainText = regexp.MustCompile(`^([A-Za-z/][A-Za-z0-9_./-]*|` +
	`([0-9]+(\.[0-9]+)?(h|m|s|ms|ns))+|` +
	`\d{4}-\d\d-\d\dT[0-9:.]+Z|` +
	`\d+\.\d+\.\d+\.\d+:\d+)$`)

// reservedWords are plain words that some YAML parsers read as null, booleans or
// numbers.
var reservedWords = map[string]bool{
	"null": true, "true": true, "false": true, "yes": true, "no": true,
	"on": true, "off": true, "y": true, "n": true, "inf": true, "nan": true,
}

// FromJSON converts a JSON value to YAML and keeps the order of the keys. It does
// not use the YAML library's encoder, which writes strings such as ".inf" without
// quotes.
func FromJSON(value []byte) ([]byte, error) {
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		return nil, err
	}
	inline, block, err := yamlLines(compact.Bytes())
	if err != nil {
		return nil, err
	}
	if block == nil {
		block = []string{inline}
	}
	return []byte(strings.Join(block, "\n") + "\n"), nil
}

// yamlLines turns a JSON value into YAML: text on one line, or the lines of a
// block for a list or a mapping that is not empty.
func yamlLines(value json.RawMessage) (inline string, block []string, err error) {
	switch value[0] {
	case '{':
		block, err = yamlMapping(value)
		return "{}", block, err
	case '[':
		block, err = yamlList(value)
		return "[]", block, err
	case '"':
		inline, err = yamlText(value)
		return inline, nil, err
	}
	return string(value), nil, nil
}

func yamlMapping(value json.RawMessage) ([]string, error) {
	var block []string
	d := json.NewDecoder(bytes.NewReader(value))
	if _, err := d.Token(); err != nil {
		return nil, err
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return nil, err
		}
		var field json.RawMessage
		if err := d.Decode(&field); err != nil {
			return nil, err
		}
		inline, lines, err := yamlLines(field)
		if err != nil {
			return nil, err
		}
		name := key.(string) + ":"
		switch {
		case lines == nil:
			block = append(block, name+" "+inline)
		case field[0] == '[':
			block = append(append(block, name), lines...)
		default:
			block = append(append(block, name), indent(lines)...)
		}
	}
	return block, nil
}

func yamlList(value json.RawMessage) ([]string, error) {
	var items []json.RawMessage
	if err := json.Unmarshal(value, &items); err != nil {
		return nil, err
	}
	var block []string
	for _, item := range items {
		inline, lines, err := yamlLines(item)
		if err != nil {
			return nil, err
		}
		if lines == nil {
			block = append(block, "- "+inline)
			continue
		}
		block = append(block, "- "+lines[0])
		block = append(block, indent(lines[1:])...)
	}
	return block, nil
}

func indent(lines []string) []string {
	out := make([]string, len(lines))
	for i, line := range lines {
		out[i] = "  " + line
	}
	return out
}

// yamlText returns a JSON string without quotes if YAML reads it as the same text,
// else in its JSON quotes, which are valid YAML.
func yamlText(value json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		return "", err
	}
	if plainText.MatchString(text) && !reservedWords[strings.ToLower(text)] {
		return text, nil
	}
	return string(value), nil
}
