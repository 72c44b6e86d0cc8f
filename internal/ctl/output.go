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

// table is a result in human-readable form.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) addRow(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// printValue writes a value to the standard output in the format of the --output
// flag, or in defaultFormat without the flag. toTable is called only for the
// format table.
func (t *tool) printValue(value any, defaultFormat string, toTable func() *table) error {
	format := t.outputFormat
	if format == "" {
		format = defaultFormat
	}
	if format == formatTable {
		return t.printTable(toTable())
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

// printNotice writes a line to the standard error, so that it does not mix with
// the result on the standard output.
func (t *tool) printNotice(format string, args ...any) {
	fmt.Fprintf(t.env.Stderr, format+"\n", args...)
}

func changesTable(changes []object.Change) *table {
	out := &table{header: []string{"CHANGE", "KIND", "NAME", "FIELD", "BEFORE", "AFTER"}}
	for _, c := range changes {
		if len(c.Fields) == 0 {
			out.addRow(c.Op, c.Kind, c.Name, "", "", "")
		}
		for _, f := range c.Fields {
			out.addRow(c.Op, c.Kind, c.Name, f.Field, f.Before, f.After)
		}
	}
	return out
}

func problemsTable(problems object.Problems) *table {
	out := &table{}
	for _, p := range problems {
		out.addRow(p.String())
	}
	return out
}
