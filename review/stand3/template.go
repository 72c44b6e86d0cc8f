package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

// fillTemplate fills in a settings template of the deploy file: values, values as JSON, and
// sections that are rendered if their value is present.
func fillTemplate(text string, fields map[string]any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, after, found := strings.Cut(rest, "}}")
		if !found {
			return "", fmt.Errorf("template: a placeholder has no end")
		}
		text = after
		switch name, isSection := strings.CutPrefix(tag, "#"); {
		case isSection:
			end := "{{/" + name + "}}"
			inner, after, found := strings.Cut(text, end)
			if !found {
				return "", fmt.Errorf("template: section %q has no end", name)
			}
			text = after
			if lookUp(fields, name) == nil {
				continue
			}
			filled, err := fillTemplate(inner, fields)
			if err != nil {
				return "", err
			}
			out.WriteString(filled)
		default:
			path, isJSON := strings.CutSuffix(tag, "|json")
			value := lookUp(fields, path)
			_, isTable := value.(map[string]string)
			if isJSON || isTable {
				encoded, err := json.Marshal(value)
				if err != nil {
					return "", err
				}
				out.Write(encoded)
			} else if value != nil {
				fmt.Fprint(&out, value)
			}
		}
	}
}

// lookUp returns the value at a path of names and indices, or nil.
func lookUp(value any, path string) any {
	for _, name := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			var index int
			if _, err := fmt.Sscan(name, &index); err != nil || index >= len(v) {
				return nil
			}
			value = v[index]
		default:
			return nil
		}
	}
	return value
}
