package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/internal/yamldoc"
	"github.com/marjoramflow/marjoramflow/object"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// table is the form of a result for people.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// print writes a value in the chosen format; byDefault is the format when none
// is chosen.
func (t *tool) print(value any, byDefault string, asTable func() *table) error {
	format := t.output
	if format == "" {
		format = byDefault
	}
	if format == formatTable {
		return t.printTable(asTable())
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fault.Wrap(err, "ctl.output", format)
	}
	if format == formatYAML {
		if data, err = yamldoc.FromJSON(data); err != nil {
			return fault.Wrap(err, "ctl.output", format)
		}
	}
	_, err = fmt.Fprintln(t.env.Stdout, strings.TrimRight(string(data), "\n"))
	return err
}

func (t *tool) printTable(content *table) error {
	w := tabwriter.NewWriter(t.env.Stdout, 0, 4, 2, ' ', 0)
	if len(content.header) > 0 {
		fmt.Fprintln(w, strings.Join(content.header, "\t"))
	}
	for _, row := range content.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// note writes a line for people beside the result.
func (t *tool) note(format string, args ...any) {
	fmt.Fprintf(t.env.Stderr, format+"\n", args...)
}

func changesTable(changes []object.Change) *table {
	out := &table{header: []string{"CHANGE", "KIND", "NAME", "FIELD", "BEFORE", "AFTER"}}
	for _, c := range changes {
		if len(c.Fields) == 0 {
			out.add(c.Op, c.Kind, c.Name, "", "", "")
		}
		for _, f := range c.Fields {
			out.add(c.Op, c.Kind, c.Name, f.Field, f.Before, f.After)
		}
	}
	return out
}

func problemsTable(problems object.Problems) *table {
	out := &table{}
	for _, p := range problems {
		out.add(p.String())
	}
	return out
}
