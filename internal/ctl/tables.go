package ctl

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/marjoramflow/marjoramflow/object"
)

// objectColumns lists, by kind, the fields that tables of objects show. The
// formats json and yaml show all fields.
var objectColumns = map[object.Kind][]string{
	object.KindService:       {"name", "kind", "version"},
	object.KindTarget:        {"name", "service", "dataCentre", "region", "address", "hardware", "slots", "versions", "leaving"},
	object.KindVersion:       {"name", "service", "model", "weightBytes"},
	object.KindTier:          {"name", "rank", "firstToken", "deadline"},
	object.KindClientAccount: {"name", "tier", "services", "requestsPerSecond", "tokensPerSecond"},
	object.KindMove:          {"name", "service", "from", "to", "deadline", "attempt", "steps", "soak"},
	object.KindIngress:       {"name", "host", "prefix", "backends", "repeat", "tier", "timeout"},
	object.KindEvacuation:    {"dataCentre"},
}

// objectTable returns a table of objects, each encoded as JSON.
func objectTable(kind object.Kind, objects []json.RawMessage) *table {
	out := &table{}
	for _, name := range objectColumns[kind] {
		out.header = append(out.header, strings.ToUpper(name))
	}
	for _, data := range objects {
		var fields map[string]json.RawMessage
		// The daemon's response is valid JSON. A value that is not an object fails
		// to decode and is shown as an empty row.
		_ = json.Unmarshal(data, &fields)
		var row []string
		for _, name := range objectColumns[kind] {
			row = append(row, compactJSON(fields[name]))
		}
		out.rows = append(out.rows, row)
	}
	return out
}

// mapTable returns a table with one row for each key, in key order.
func mapTable(values map[string]string) *table {
	out := &table{}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		out.addRow(key, values[key])
	}
	return out
}
