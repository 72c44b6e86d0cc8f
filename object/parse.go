package object

import (
	"github.com/goccy/go-yaml"

	"github.com/marjoramflow/marjoramflow/fault"
)

// Parse reads a set from YAML. Unknown fields are errors.
func Parse(name string, data []byte) (*Set, error) {
	var set Set
	if err := yaml.UnmarshalWithOptions(data, &set, yaml.Strict()); err != nil {
		return nil, fault.Wrap(err, "object.parse", name)
	}
	return &set, nil
}
