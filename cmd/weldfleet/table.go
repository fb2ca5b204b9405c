package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const columnGap = 2

// table is text in columns.
type table struct{ rows [][]string }

func newTable(titles ...string) *table { return &table{rows: [][]string{titles}} }

// add appends a row. An empty cell is shown as a dash, so that columns can be told apart by machines too.
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
		if row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

func (t *table) print(out io.Writer) error {
	writer := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	for _, row := range t.rows {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

func formatList(token, sequence uint64) string { return fmt.Sprintf("%d.%d", token, sequence) }
