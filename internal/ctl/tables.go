package ctl

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/marjoramflow/marjoramflow/object"
)

// columns are the fields that tables of objects show, by kind. The other fields
// are shown by the formats json and yaml.
var columns = map[object.Kind][]string{
	object.KindService:       {"name", "kind", "version"},
	object.KindTarget:        {"name", "service", "dataCentre", "region", "address", "hardware", "slots", "versions", "leaving"},
	object.KindVersion:       {"name", "service", "model", "weightBytes"},
	object.KindTier:          {"name", "rank", "firstToken", "deadline"},
	object.KindClientAccount: {"name", "tier", "services", "requestsPerSecond", "tokensPerSecond"},
	object.KindMove:          {"name", "service", "from", "to", "deadline", "attempt", "steps", "soak"},
	object.KindIngress:       {"name", "host", "prefix", "backends", "repeat", "tier", "timeout"},
}

func objectTable(kind object.Kind, objects []json.RawMessage) *table {
	out := &table{}
	for _, name := range columns[kind] {
		out.header = append(out.header, strings.ToUpper(name))
	}
	for _, data := range objects {
		var fields map[string]json.RawMessage
		// The daemon's answer is valid JSON; a value that is no object has no fields.
		_ = json.Unmarshal(data, &fields)
		var row []string
		for _, name := range columns[kind] {
			row = append(row, compact(fields[name]))
		}
		out.rows = append(out.rows, row)
	}
	return out
}

func mapTable(values map[string]string) *table {
	out := &table{}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		out.add(key, values[key])
	}
	return out
}
